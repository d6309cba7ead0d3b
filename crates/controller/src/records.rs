//! Records in the state service: what is stored, and under which keys.
//!
//! Every controller watches all records under [`WATCHED_PREFIX`]. Archived terminal states of jobs (`f/`)
//! and the placement logs of partitions (`l/`) are not watched but read on demand. The state service
//! counts each put against a write limit, so numerous records (accepted jobs, cancellations, terminal
//! jobs, machines) are packed into pages, with many records in one value.
//!
//! Field names of the stored form are fixed, because controllers of different builds share the records.
//! Where a Rust name differs from the stored one, a serde rename maps it.

mod keys;
mod packed_job;
mod packed_machine;
#[cfg(test)]
mod tests;

pub use keys::*;
pub use packed_job::PackedJob;
pub use packed_machine::{MachineRecord, PackedMachine};

use model::{ControllerName, JobId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::mesh::DemandShape;
use wire::users::JobState;

/// Maximum size of a page, even if the state service allows larger values: each change of a page sends
/// the whole page to all controllers.
const MAX_PAGE_BYTES: usize = 4 * 1024;
/// Bytes of a page that are not available for entries.
const PAGE_OVERHEAD_BYTES: usize = 64;

/// Bytes available for entries on a page of packed records. `value_bytes` is the state service's limit
/// for a value.
pub fn page_capacity_bytes(value_bytes: usize) -> usize {
    value_bytes
        .min(MAX_PAGE_BYTES)
        .saturating_sub(PAGE_OVERHEAD_BYTES)
}

/// Size of a packed entry in bytes, including the separator. An entry that cannot be encoded gets a size
/// that fits on no page.
pub fn packed_bytes<T: Serialize>(entry: &T) -> usize {
    serde_json::to_vec(entry).map_or(usize::MAX / 2, |bytes| bytes.len() + 1)
}

/// A page of accepted jobs. Its entries are [`PackedJob`]s, which stay undecoded until it is known which
/// of them are new.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJobsPage {
    pub jobs: Vec<serde_json::Value>,
}

/// The cancellations that a controller has accepted, of jobs that are not in a terminal state yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationsRecord {
    pub jobs: Vec<u64>,
}

/// A page of jobs in a terminal state. A job stays on it until its terminal state is archived under its id
/// and no page of accepted jobs lists it any more.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobsPage {
    #[serde(rename = "d", default)]
    pub done: Vec<u64>,
    #[serde(rename = "c", default)]
    pub cancelled: Vec<u64>,
    /// Jobs that are done and archived.
    #[serde(rename = "fd", default)]
    pub archived_done: Vec<u64>,
    /// Jobs that are cancelled and archived.
    #[serde(rename = "fc", default)]
    pub archived_cancelled: Vec<u64>,
}

impl TerminalJobsPage {
    /// The jobs on the page with their terminal states.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, JobState)> + '_ {
        let done = self.done.iter().chain(&self.archived_done);
        let cancelled = self.cancelled.iter().chain(&self.archived_cancelled);
        done.map(|id| (JobId(*id), JobState::Done))
            .chain(cancelled.map(|id| (JobId(*id), JobState::Cancelled)))
    }

    /// Number of jobs on the page.
    pub fn len(&self) -> usize {
        self.jobs().count()
    }

    /// Number of jobs on the page that are not archived.
    pub fn unarchived_count(&self) -> usize {
        self.done.len() + self.cancelled.len()
    }

    /// Whether the page has no jobs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a job that is not archived yet.
    pub fn push(&mut self, id: JobId, state: JobState) {
        match state {
            JobState::Cancelled => self.cancelled.push(id.0),
            _ => self.done.push(id.0),
        }
    }

    /// Marks at most `limit` jobs as archived and returns them with their terminal states.
    pub fn archive(&mut self, limit: usize) -> Vec<(JobId, JobState)> {
        let done = self
            .done
            .drain(..self.done.len().min(limit))
            .collect::<Vec<_>>();
        let remaining = limit - done.len();
        let cancelled = self
            .cancelled
            .drain(..self.cancelled.len().min(remaining))
            .collect::<Vec<_>>();
        self.archived_done.extend(&done);
        self.archived_cancelled.extend(&cancelled);
        TerminalJobsPage {
            done,
            cancelled,
            ..TerminalJobsPage::default()
        }
        .jobs()
        .collect()
    }

    /// Drops archived jobs that no page of accepted jobs lists any more.
    pub fn drop_unregistered(&mut self, is_registered: impl Fn(JobId) -> bool) {
        self.archived_done.retain(|id| is_registered(JobId(*id)));
        self.archived_cancelled
            .retain(|id| is_registered(JobId(*id)));
    }
}

/// The archived terminal state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalStateRecord {
    pub state: JobState,
}

/// One run of a controller process, stored as an array of the controller's name and a number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(ControllerName, u64)", into = "(ControllerName, u64)")]
pub struct ControllerIncarnation {
    pub controller: ControllerName,
    pub incarnation: u64,
}

impl From<(ControllerName, u64)> for ControllerIncarnation {
    fn from((controller, incarnation): (ControllerName, u64)) -> Self {
        ControllerIncarnation {
            controller,
            incarnation,
        }
    }
}

impl From<ControllerIncarnation> for (ControllerName, u64) {
    fn from(stored: ControllerIncarnation) -> Self {
        (stored.controller, stored.incarnation)
    }
}

/// The leadership of a partition. The record is bound to the leader's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    #[serde(rename = "holder")]
    pub leader: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    pub term: u64,
    /// Former leaders that may still answer workers for a while.
    #[serde(rename = "suspects")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed_predecessors: Vec<ControllerIncarnation>,
}

impl PartitionRecord {
    /// The incarnation of the leader that the record names.
    pub fn leader_incarnation(&self) -> ControllerIncarnation {
        ControllerIncarnation {
            controller: self.leader.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// A page of machines' records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachinesPage {
    pub machines: Vec<PackedMachine>,
}

/// A request of a partition's preferred leader to get its partition back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimRecord {
    #[serde(rename = "node")]
    pub controller: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The lease to which the controller's leadership would be bound.
    pub lease: u64,
}

/// The unmet demand of a partition, as its leader last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    pub term: u64,
    pub demand: Vec<DemandShape>,
}

/// The counter of fencing tokens and terms, and the last leader of each partition.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenCounterRecord {
    /// The next token or term.
    pub next: u64,
    /// The controller that last acquired each partition, with its incarnation.
    #[serde(rename = "takers")]
    #[serde(default)]
    pub last_leaders: BTreeMap<u32, ControllerIncarnation>,
    /// Leaders before the last one of each partition that might still have been running when the last
    /// one acquired it.
    #[serde(rename = "suspects")]
    #[serde(default)]
    pub unconfirmed_predecessors: BTreeMap<u32, Vec<ControllerIncarnation>>,
}

/// A controller's current incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Number of consecutive short runs of the controller, including the current one unless that has
    /// proved stable.
    #[serde(rename = "short_lives", default)]
    pub short_runs: u32,
}
