//! What is kept in the state service, and under which keys.
//!
//! Everything under `s/` is watched by every node; `f/` holds the final states of jobs and
//! `l/` the ledger pages of partitions, both read on demand.

use model::{JobId, MachineName, NodeName, PartitionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::users::{JobRequest, JobState};

/// Prefix of everything that is watched.
pub const WATCHED: &str = "s/";
/// Counter of tokens and terms.
pub const COUNTER: &str = "s/t";
/// Machine types, as last seen by a leader.
pub const TYPES: &str = "s/k";
/// Operators' settings.
pub const TUNING: &str = "s/c";

/// Key of an open job.
pub fn job_key(id: JobId) -> String {
    format!("s/j/{id}")
}

/// Key of a job's final state.
pub fn final_key(id: JobId) -> String {
    format!("f/{id}")
}

/// Key of a partition.
pub fn partition_key(id: PartitionId) -> String {
    format!("s/p/{id}")
}

/// Key of a machine.
pub fn machine_key(name: &MachineName) -> String {
    format!("s/m/{name}")
}

/// Key of a node's incarnation.
pub fn boot_key(name: &NodeName) -> String {
    format!("s/b/{name}")
}

/// Prefix of a partition's ledger.
pub fn ledger_prefix(id: PartitionId) -> String {
    format!("l/{id}/")
}

/// An accepted job that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub job: JobRequest,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
}

/// A job that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: JobState,
}

/// Who holds a partition. Bound to the holder's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    pub holder: NodeName,
    pub boot: u64,
    pub term: u64,
    /// Earlier holders that may still answer workers for a while.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(NodeName, u64)>,
}

/// A rented machine and whose share it is in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    #[serde(rename = "type")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub partition: PartitionId,
    pub token: u64,
    /// Given up by its holder: to be released by the leader.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// The counter, and who took each partition last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CounterRecord {
    pub next: u64,
    #[serde(default)]
    pub takers: BTreeMap<u32, (NodeName, u64)>,
    /// Holders before the last taker that were not known to be over when it took.
    #[serde(default)]
    pub suspects: BTreeMap<u32, Vec<(NodeName, u64)>>,
}

/// A node's current incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootRecord {
    pub boot: u64,
}
