//! Messages between controller nodes (MessagePack frames).

use crate::users::Priority;
use serde::{Deserialize, Serialize};

/// Version of the mesh protocol; frames of another version are refused.
pub const MESH_VERSION: u16 = 5;
/// Largest frame that is read and sent: the load of a partition of 8,000 machines with the longest
/// names fits. Versions before this bound read 256 KiB only and close the connection on more.
pub const MAX_FRAME: usize = 4 * 1024 * 1024;

/// Waiting work of one shape.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandShape {
    pub milli_cpus: u64,
    pub milli_gpus: u64,
    pub memory_mb: u64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub spot: bool,
    /// Tasks that wait for room.
    pub tasks: u64,
    /// Of these, tasks that must start without delay (services, work inside a guarantee).
    pub urgent: u64,
    /// Owner's estimate of a task's run time in ms; 0 for services.
    pub estimate_ms: u64,
    /// Priority of the work. What is low is done with what others leave.
    #[serde(default = "normal")]
    pub priority: Priority,
    /// All tasks of the gang, if it has to be in one zone: `zone` is then where it lacks the least,
    /// and where that has no more machines all of it may go to another. 0: no such gang.
    #[serde(default)]
    pub gang: u64,
}

/// Priority of work described by an earlier version.
fn normal() -> Priority {
    Priority::Normal
}

impl DemandShape {
    /// Whether the work may run on a machine of this type, in this zone, of this kind.
    pub fn suits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|t| t.iter().any(|name| name == machine_type))
    }
}

/// A holder's view of one of its machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    pub machine: String,
    pub tasks: u32,
    /// How long it has been without tasks.
    pub idle_ms: u64,
    pub up: bool,
    /// Quarantined: to be returned once empty.
    pub quarantined: bool,
    /// How long it has been silent, once it has reported.
    pub since_heartbeat_ms: u64,
    /// It runs nothing that is guaranteed, and no replicas.
    pub transferable: bool,
    /// All that runs on it is best-effort work, which leaves within seconds when asked.
    pub best_effort: bool,
    /// It goes to this partition as soon as it is empty.
    pub transfer_to: Option<u32>,
}

/// What a holder tells the leader about its partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionStatus {
    pub partition: u32,
    pub term: u64,
    pub demand: Vec<DemandShape>,
    pub machines: Vec<MachineStatus>,
}

/// One mesh message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MeshMessage {
    /// Regular sign of life.
    #[serde(rename = "Alive")]
    Heartbeat {
        incarnation: u64,
        /// All changes up to here are known to the sender.
        revision: u64,
        state_contact: bool,
        ready: bool,
        /// How long ago the sender heard each other node, in ms.
        heard: Vec<(String, u64)>,
    },
    /// Holder to leader.
    #[serde(rename = "Load")]
    PartitionStatus(PartitionStatus),
    /// Leader to holder: give up an idle machine, to a partition or to the cloud.
    #[serde(rename = "Release")]
    ReleaseMachine { machine: String, to: Option<u32> },
    /// Leader to holder: hand `count` machines of partition `from` that suit the shape over to
    /// another partition as they empty, those under way included.
    #[serde(rename = "Cede")]
    TransferMachines {
        from: u32,
        to: u32,
        count: u32,
        shape: DemandShape,
    },
    /// A new holder tells everybody, so that a predecessor stops at once.
    #[serde(rename = "Taken")]
    LeaderChanged {
        partition: u32,
        term: u64,
        leader: String,
    },
    /// A holder whose workers do not reach it deletes its record: its home need not be waited for.
    #[serde(rename = "GaveUp")]
    LeadershipResigned { partition: u32 },
    /// The home node of a partition offers to hold it again, under this lease.
    #[serde(rename = "WantHome")]
    ReclaimRequest {
        partition: u32,
        lease: u64,
        incarnation: u64,
    },
    /// To everybody: these jobs are recorded as cancelled, as far as they are not over.
    #[serde(rename = "Cancelled")]
    JobsCancelled { jobs: Vec<u64> },
    /// Holder to everybody: done and running tasks of jobs, for display.
    #[serde(rename = "Progress")]
    JobProgress { jobs: Vec<(u64, u64, u64)> },
    /// To a holder: the sender follows what it knows of a partition under this term, and has what
    /// was numbered up to `have`. Repeated for as long as it follows.
    #[serde(rename = "Follow")]
    Subscribe {
        partition: u32,
        incarnation: u64,
        term: u64,
        have: u64,
    },
    /// A holder's hints to whoever follows.
    #[serde(rename = "Hints")]
    Replication(ReplicationBatch),
}

/// What a holder knows of one of its machines beyond the records. Hints prove nothing: whoever takes
/// the partition on asks the machine before it relies on any.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSnapshot {
    pub machine: String,
    pub address: String,
    pub session: u64,
    /// It reports to the holder, and lately did.
    pub reporting: bool,
    /// Quarantined.
    pub quarantined: bool,
    /// Since when it has been idle, on the sender's steady clock.
    pub idle_at: Option<u64>,
    /// Images it holds, with their sizes in GB, by name.
    pub images: Vec<(String, f64)>,
}

/// What a holder has learned of a job by its failures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobFailureSnapshot {
    pub job: u64,
    /// Failures in a row of single tasks, of a few at most.
    pub failures: Vec<(u32, u32)>,
    pub failed_on: Vec<String>,
    pub successes: u32,
    pub fails_within_ms: u64,
}

/// What a hint is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReplicationKey {
    Machine(String),
    Job(u64),
}

/// One hint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedRecord {
    Machine(MachineSnapshot),
    Job(JobFailureSnapshot),
    /// There is nothing to be said of it any more.
    #[serde(rename = "Gone")]
    Removed(ReplicationKey),
}

impl ReplicatedRecord {
    /// What it is about.
    pub fn key(&self) -> ReplicationKey {
        match self {
            ReplicatedRecord::Machine(hint) => ReplicationKey::Machine(hint.machine.clone()),
            ReplicatedRecord::Job(hint) => ReplicationKey::Job(hint.job),
            ReplicatedRecord::Removed(key) => key.clone(),
        }
    }

    /// Bytes that it takes in a frame, roughly.
    pub fn weight(&self) -> usize {
        match self {
            ReplicatedRecord::Machine(hint) => {
                let images: usize = hint.images.iter().map(|(name, _)| name.len() + 10).sum();
                hint.machine.len() + hint.address.len() + 24 + images
            }
            ReplicatedRecord::Job(hint) => {
                let machines: usize = hint.failed_on.iter().map(|name| name.len() + 1).sum();
                24 + hint.failures.len() * 6 + machines
            }
            ReplicatedRecord::Removed(_) => 24,
        }
    }
}

/// Hints that changed after one number up to another.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicationBatch {
    pub partition: u32,
    pub incarnation: u64,
    pub term: u64,
    pub after: u64,
    pub upto: u64,
    /// The number of the newest change.
    pub newest: u64,
    /// Ends of hints up to this number are forgotten: whoever has less starts anew.
    pub floor: u64,
    /// The sender's steady clock.
    pub at_ms: u64,
    pub hints: Vec<ReplicatedRecord>,
}

/// A frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub version: u16,
    pub from: String,
    pub message: MeshMessage,
}
