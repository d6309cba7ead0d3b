//! Bodies of the admin API's replies. The serialised field names are part of the API.

use super::TuningRecord;
use crate::records::PackedMachine;
use model::{ControllerName, MachineName, PartitionId};
use serde::Serialize;
use std::collections::BTreeMap;

/// Why a request failed.
#[derive(Debug, Serialize)]
pub(super) struct ErrorView {
    pub error: String,
}

/// The run-time settings and their version, on which a change of them is conditional.
#[derive(Debug, Serialize)]
pub(super) struct SettingsView {
    pub version: u64,
    pub settings: TuningRecord,
}

/// The version of the run-time settings after a change.
#[derive(Debug, Serialize)]
pub(super) struct SettingsVersionView {
    pub version: u64,
}

/// All partitions.
#[derive(Debug, Serialize)]
pub(super) struct PartitionsView<'a> {
    pub partitions: Vec<PartitionView<'a>>,
}

/// A partition. Only its leader knows the numbers of its machines and jobs.
#[derive(Debug, Serialize)]
pub(super) struct PartitionView<'a> {
    pub partition: u32,
    #[serde(rename = "home")]
    pub preferred_leader: Option<&'a ControllerName>,
    #[serde(rename = "holder")]
    pub leader: Option<&'a ControllerName>,
    pub term: Option<u64>,
    pub machines: Option<usize>,
    pub jobs: Option<usize>,
}

/// All machines.
#[derive(Debug, Serialize)]
pub(super) struct MachinesView<'a> {
    pub machines: Vec<MachineView<'a>>,
}

/// A machine. Only its partition leader knows more about it than the record shows.
#[derive(Debug, Serialize)]
pub(super) struct MachineView<'a> {
    pub machine: &'a MachineName,
    pub record: PackedMachine,
    #[serde(rename = "silent_ms")]
    pub since_heartbeat_ms: Option<u64>,
    pub tasks: Option<Vec<String>>,
    #[serde(rename = "faulty")]
    pub quarantined: Option<bool>,
    #[serde(rename = "unreached")]
    pub unreachable: Option<bool>,
}

/// The scheduling queues of all partitions that this controller leads.
#[derive(Debug, Serialize)]
pub(super) struct QueuesView {
    pub queues: Vec<QueueView>,
}

/// The scheduling queue of a partition.
#[derive(Debug, Serialize)]
pub(super) struct QueueView {
    pub partition: PartitionId,
    /// Number of entries by kind of queue.
    pub pending: BTreeMap<&'static str, usize>,
    /// Number of waiting tasks for which the present machines have no capacity.
    pub demand: u64,
}

/// The state of a job, and why it waits.
#[derive(Debug, Serialize)]
pub(super) struct JobView<'a> {
    pub id: &'a str,
    #[serde(rename = "stands")]
    pub explanation: String,
}

/// Counters and gauges for the metrics page.
#[derive(Debug, Serialize)]
pub(super) struct MetricsView<'a> {
    /// Number of entries by kind of queue.
    pub pending: BTreeMap<&'static str, u64>,
    pub incoming: Vec<IncomingView>,
    /// Number of refused requests by cause.
    pub refusals: &'a BTreeMap<&'static str, u64>,
    pub counters: CountersView,
    pub gauges: GaugesView,
}

/// Number of entries that an event has moved into a kind of queue: `[queue, event, count]`.
#[derive(Debug, Serialize)]
pub(super) struct IncomingView(pub &'static str, pub &'static str, pub u64);

/// Numbers of events since the start of the process.
#[derive(Debug, Serialize)]
pub(super) struct CountersView {
    #[serde(rename = "takeovers")]
    pub acquisitions: u64,
    #[serde(rename = "hand_overs")]
    pub transfers: u64,
    #[serde(rename = "early_takeovers")]
    pub early_failovers: u64,
    #[serde(rename = "wrong_takeovers")]
    pub false_failovers: u64,
    #[serde(rename = "stood_still")]
    pub pauses: u64,
    #[serde(rename = "cancelled_by_word")]
    pub cancelled_by_message: u64,
    #[serde(rename = "answers_withheld")]
    pub replies_withheld: u64,
    pub state_calls: u64,
    pub state_writes: u64,
    pub state_refused: u64,
    pub cloud_calls: u64,
    pub cloud_refused: u64,
}

/// Current values.
#[derive(Debug, Serialize)]
pub(super) struct GaugesView {
    pub open_jobs: usize,
    pub machines: usize,
    #[serde(rename = "partitions_held")]
    pub partitions_led: usize,
    #[serde(rename = "partitions_in_step")]
    pub replicas_in_sync: usize,
    #[serde(rename = "machines_unreached")]
    pub unreachable_machines: usize,
    #[serde(rename = "answers_left_s")]
    pub remaining_lease_validity_s: f64,
    /// 1 while the last read of the state service is too old for launches, otherwise 0.
    pub without_state: u64,
}
