//! What is kept in the state service, and under which keys.
//!
//! Everything under `s/` is watched by every node; `f/` holds the final states of jobs and
//! `l/` the ledger pages of partitions, both read on demand. The state service counts puts one
//! by one, so what comes in numbers (accepted jobs, cancellations, ends, machines) is packed,
//! many to a value.

use model::{ControllerName, JobId, PartitionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::mesh::DemandShape;
use wire::users::{JobKind, JobRequest, JobState, Priority};

/// Prefix of everything that is watched.
pub const WATCHED: &str = "s/";
/// Counter of tokens and terms.
pub const COUNTER: &str = "s/t";
/// Machine types, as last seen by a leader.
pub const TYPES: &str = "s/k";
/// Operators' settings.
pub const TUNING: &str = "s/c";

/// Largest value that is packed: every change of a page is sent to all nodes whole, so a page
/// is no larger than pays, whatever the state service would take.
const PAGE_BYTES: usize = 4 * 1024;
/// What a page takes besides its entries.
const PAGE_FRAME: usize = 64;

/// Room for entries on a page of packed records.
pub fn page_capacity(value_bytes: usize) -> usize {
    value_bytes.min(PAGE_BYTES).saturating_sub(PAGE_FRAME)
}

/// Bytes that a packed entry takes on its page, the separator included.
pub fn packed_size<T: Serialize>(entry: &T) -> usize {
    serde_json::to_vec(entry).map_or(usize::MAX / 2, |bytes| bytes.len() + 1)
}

/// Key of a page of accepted jobs. Only the node named writes it.
pub fn accepted_jobs_key(node: &ControllerName, page: u32) -> String {
    format!("s/j/{node}/{page:04}")
}

/// Key of a node's cancellations. Only that node writes it.
pub fn cancellations_key(node: &ControllerName) -> String {
    format!("s/x/{node}")
}

/// Key of a page of ended jobs.
pub fn terminal_jobs_key(partition: PartitionId, page: u32) -> String {
    format!("s/e/{partition}/{page:04}")
}

/// Key of a page of machines.
pub fn machines_key(page: u32) -> String {
    format!("s/m/{page:04}")
}

/// Key of a job's final state.
pub fn final_key(id: JobId) -> String {
    format!("f/{id}")
}

/// Key of a partition.
pub fn partition_key(id: PartitionId) -> String {
    format!("s/p/{id}")
}

/// Key of a home node's wish to hold its partition again. Bound to that node's lease.
pub fn reclaim_key(id: PartitionId) -> String {
    format!("s/w/{id}")
}

/// Key of a partition's demand, for a leader that its holder does not reach over the mesh.
pub fn demand_key(id: PartitionId) -> String {
    format!("s/d/{id}")
}

/// Key of a node's incarnation.
pub fn incarnation_key(name: &ControllerName) -> String {
    format!("s/b/{name}")
}

/// Prefix of a partition's ledger.
pub fn log_prefix(id: PartitionId) -> String {
    format!("l/{id}/")
}

/// An accepted job on its page, without field names since many share a value. First comes when
/// it was submitted, in ms on the nodes' common clock (`Controller::logical_time`): jobs are counted
/// against guarantees and queued in that order, whoever holds their partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PackedJob(
    pub u64,
    String,
    String,
    String,
    JobKind,
    Priority,
    u64,
    [f64; 3],
    String,
    f64,
    [bool; 3],
    [f64; 3],
    Option<f64>,
    Option<String>,
    Option<Vec<String>>,
);

impl PackedJob {
    /// Packs a submission.
    pub fn new(order: u64, job: JobRequest) -> Self {
        PackedJob(
            order,
            job.id,
            job.class,
            job.team,
            job.kind,
            job.priority,
            job.tasks,
            [job.cpus, job.gpus, job.memory_gb],
            job.image,
            job.image_gb,
            [job.one_zone, job.spread, job.spot],
            [job.estimate_s, job.checkpoint_s, job.save_s],
            job.deadline_s,
            job.zone,
            job.types,
        )
    }

    /// Its id as the user wrote it.
    pub fn id(&self) -> &str {
        &self.1
    }

    /// The submission as it came.
    pub fn request(&self) -> JobRequest {
        let [cpus, gpus, memory_gb] = self.7;
        let [one_zone, spread, spot] = self.10;
        let [estimate_s, checkpoint_s, save_s] = self.11;
        JobRequest {
            id: self.1.clone(),
            class: self.2.clone(),
            team: self.3.clone(),
            kind: self.4,
            priority: self.5,
            tasks: self.6,
            cpus,
            gpus,
            memory_gb,
            image: self.8.clone(),
            image_gb: self.9,
            types: self.14.clone(),
            zone: self.13.clone(),
            one_zone,
            spread,
            spot,
            estimate_s,
            checkpoint_s,
            save_s,
            deadline_s: self.12,
        }
    }
}

/// A page of accepted jobs. Entries stay raw until it is clear which of them are new.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJobsPage {
    pub jobs: Vec<serde_json::Value>,
}

/// A node's cancellations of jobs that are not over.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationsRecord {
    pub jobs: Vec<u64>,
}

/// Jobs that are over, while their final states are not all filed under their ids yet or a
/// page of accepted jobs still shows them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobsPage {
    #[serde(rename = "d", default)]
    pub done: Vec<u64>,
    #[serde(rename = "c", default)]
    pub cancelled: Vec<u64>,
    /// Those whose final states are filed.
    #[serde(rename = "fd", default)]
    pub filed_done: Vec<u64>,
    #[serde(rename = "fc", default)]
    pub filed_cancelled: Vec<u64>,
}

impl TerminalJobsPage {
    /// Its jobs with their final states.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, JobState)> + '_ {
        let done = self.done.iter().chain(&self.filed_done);
        let cancelled = self.cancelled.iter().chain(&self.filed_cancelled);
        done.map(|id| (JobId(*id), JobState::Done))
            .chain(cancelled.map(|id| (JobId(*id), JobState::Cancelled)))
    }

    /// How many jobs it names.
    pub fn len(&self) -> usize {
        self.jobs().count()
    }

    /// Whether it names none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a job.
    pub fn push(&mut self, id: JobId, state: JobState) {
        match state {
            JobState::Cancelled => self.cancelled.push(id.0),
            _ => self.done.push(id.0),
        }
    }

    /// Marks as many as `most` final states as filed and returns them.
    pub fn file(&mut self, most: usize) -> Vec<(JobId, JobState)> {
        let done = self
            .done
            .drain(..self.done.len().min(most))
            .collect::<Vec<_>>();
        let rest = most - done.len();
        let cancelled = self
            .cancelled
            .drain(..self.cancelled.len().min(rest))
            .collect::<Vec<_>>();
        self.filed_done.extend(&done);
        self.filed_cancelled.extend(&cancelled);
        TerminalJobsPage {
            done,
            cancelled,
            ..TerminalJobsPage::default()
        }
        .jobs()
        .collect()
    }

    /// Drops filed jobs that are listed nowhere any more.
    pub fn drop_unregistered(&mut self, is_listed: impl Fn(JobId) -> bool) {
        self.filed_done.retain(|id| is_listed(JobId(*id)));
        self.filed_cancelled.retain(|id| is_listed(JobId(*id)));
    }
}

/// A job that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    pub state: JobState,
}

/// Who holds a partition. Bound to the holder's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionRecord {
    #[serde(rename = "holder")]
    pub leader: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    pub term: u64,
    /// Earlier holders that may still answer workers for a while.
    #[serde(rename = "suspects")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unconfirmed_predecessors: Vec<(ControllerName, u64)>,
}

/// A rented machine and whose share it is in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineRecord {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub partition: PartitionId,
    pub token: u64,
    /// Given up by its holder: to be released by the leader.
    pub leaving: bool,
}

/// A machine on its page: name, type, zone, spot, partition, token, leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedMachine(pub String, String, String, bool, PartitionId, u64, bool);

impl PackedMachine {
    /// Packs a record.
    pub fn new(name: &model::MachineName, record: &MachineRecord) -> Self {
        PackedMachine(
            name.to_string(),
            record.machine_type.clone(),
            record.zone.clone(),
            record.spot,
            record.partition,
            record.token,
            record.leaving,
        )
    }

    /// Bytes that the machine may come to take on its page: its token and its partition change
    /// while it stays there, and a page that outgrows the limit could not be written any more.
    pub fn max_packed_size(name: &model::MachineName, record: &MachineRecord) -> usize {
        let widest = MachineRecord {
            partition: PartitionId(u32::MAX),
            token: u64::MAX,
            leaving: false,
            ..record.clone()
        };
        packed_size(&PackedMachine::new(name, &widest))
    }

    /// The record.
    pub fn record(self) -> MachineRecord {
        let PackedMachine(_, machine_type, zone, spot, partition, token, leaving) = self;
        MachineRecord {
            machine_type,
            zone,
            spot,
            partition,
            token,
            leaving,
        }
    }
}

/// A page of machines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachinesPage {
    pub machines: Vec<PackedMachine>,
}

/// A home node's wish to hold its partition again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReclaimRecord {
    pub node: ControllerName,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The lease under which it would hold the partition.
    pub lease: u64,
}

/// What a partition lacks, as its holder last wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandRecord {
    pub term: u64,
    pub demand: Vec<DemandShape>,
}

/// The counter, and who took each partition last.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenCounterRecord {
    pub next: u64,
    #[serde(default)]
    pub takers: BTreeMap<u32, (ControllerName, u64)>,
    /// Holders before the last taker that were not known to be over when it took.
    #[serde(rename = "suspects")]
    #[serde(default)]
    pub unconfirmed_predecessors: BTreeMap<u32, Vec<(ControllerName, u64)>>,
}

/// A node's current incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Lives in a row, this one among them, that were short, as far as it knows.
    #[serde(default)]
    pub short_lives: u32,
}

#[cfg(test)]
mod tests {
    use super::*;
    use model::MachineName;

    /// Found on a grown site: pages were filled with machines under token 0 and could not be
    /// written any more once the tokens had three digits.
    #[test]
    fn a_full_page_of_machines_stays_within_its_room() {
        let room = page_capacity(4096);
        let record = |token, partition| MachineRecord {
            machine_type: "m4".into(),
            zone: "north".into(),
            spot: true,
            partition: PartitionId(partition),
            token,
            leaving: token > 0,
        };
        let name = |n: usize| MachineName::from(format!("host-{n:06}").as_str());
        let each = PackedMachine::max_packed_size(&name(1), &record(0, 0));
        let page = |token, partition| MachinesPage {
            machines: (0..room / each)
                .map(|n| PackedMachine::new(&name(n), &record(token, partition)))
                .collect(),
        };
        assert!(page(0, 0).machines.len() > 40);
        assert!(packed_size(&page(u64::MAX, u32::MAX)) <= 4096);
    }

    #[test]
    fn jobs_are_packed_without_loss() {
        let job = JobRequest {
            id: "j-000412".into(),
            class: "train".into(),
            team: "vision".into(),
            kind: JobKind::Gang,
            priority: Priority::High,
            tasks: 16,
            cpus: 8.0,
            gpus: 1.0,
            memory_gb: 64.0,
            image: "img-07".into(),
            image_gb: 6.2,
            types: Some(vec!["g8".into()]),
            zone: Some("a".into()),
            one_zone: true,
            spread: false,
            spot: true,
            estimate_s: 240.0,
            checkpoint_s: 30.0,
            save_s: 4.0,
            deadline_s: Some(900.0),
        };
        let packed = PackedJob::new(7, job.clone());
        let value = serde_json::to_value(&packed).expect("it can be packed");
        let read: PackedJob = serde_json::from_value(value).expect("it can be read");
        assert_eq!(read.request(), job);
    }
}
