//! Messages between controllers over the mesh.
//!
//! Frames are MessagePack with structs as arrays: the order of fields and the serialised names of
//! enum variants are the protocol, the names of fields in Rust are not.

use crate::users::Priority;
use serde::{Deserialize, Serialize};

/// Version of the mesh protocol; frames of another version are refused.
pub const MESH_VERSION: u16 = 5;
/// Largest frame that is sent and read, in bytes. The status of a partition of 8,000 machines with
/// names of the maximum length fits. Older versions, without this constant, read frames of up to
/// 256 KiB and close the connection on a larger one.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Queued tasks that have the same requirements.
///
/// The state service also keeps the demand of a partition, as JSON: the serde names of the fields are
/// those of the stored records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandShape {
    /// CPUs of one task, in thousandths.
    pub milli_cpus: u64,
    /// GPUs of one task, in thousandths.
    pub milli_gpus: u64,
    /// Memory of one task in MB.
    pub memory_mb: u64,
    /// Machine types that are allowed; all if absent.
    #[serde(rename = "types")]
    pub allowed_machine_types: Option<Vec<String>>,
    /// Zone that is required; any if absent.
    pub zone: Option<String>,
    /// Whether spot machines are allowed.
    #[serde(rename = "spot")]
    pub spot_allowed: bool,
    /// Number of queued tasks.
    #[serde(rename = "tasks")]
    pub task_count: u64,
    /// Number of these tasks that must start without delay: replicas of services, and work within a
    /// team's guarantee.
    #[serde(rename = "urgent")]
    pub urgent_count: u64,
    /// Owner's estimate of a task's run time in milliseconds; 0 for services.
    #[serde(rename = "estimate_ms")]
    pub estimated_run_time_ms: u64,
    /// Priority class. Work of low priority without a deadline is best-effort work.
    #[serde(default = "default_priority")]
    pub priority: Priority,
    /// Number of all tasks of a gang that must run in one zone; 0 for other work. For such a gang,
    /// `zone` is the zone where the fewest machines are missing. If the cloud has no machines left
    /// there, the whole gang may be placed in another zone.
    #[serde(rename = "gang", default)]
    pub gang_size: u64,
}

/// Priority of demand without the field `priority`.
fn default_priority() -> Priority {
    Priority::Normal
}

impl DemandShape {
    /// Whether the tasks may run on a machine of this type in this zone; `spot` tells whether it is a
    /// spot machine.
    pub fn suits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_allowed || !spot)
            && self.zone.as_deref().is_none_or(|required| required == zone)
            && self
                .allowed_machine_types
                .as_ref()
                .is_none_or(|types| types.iter().any(|name| name == machine_type))
    }
}

/// Status of a machine in its partition leader's report to the fleet planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Name of the machine.
    pub machine: String,
    /// Number of tasks on it.
    pub task_count: u32,
    /// Time since it became idle, in milliseconds.
    pub idle_ms: u64,
    /// Whether its worker sends heartbeats.
    pub reporting: bool,
    /// Whether it is quarantined: it is to be returned to the cloud once it is empty.
    pub quarantined: bool,
    /// Time since its last heartbeat in milliseconds; 0 before the first.
    pub since_heartbeat_ms: u64,
    /// Whether it can be transferred to another partition without taking capacity from work within a
    /// guarantee and without moving replicas of services.
    pub transferable: bool,
    /// Whether all its tasks are best-effort work, which can be preempted within seconds.
    pub best_effort: bool,
    /// Partition to which it is transferred once it is empty.
    pub transfer_to: Option<u32>,
}

/// Regular report of a partition leader to the fleet planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionStatus {
    /// Number of the partition.
    pub partition: u32,
    /// Term of the leadership.
    pub term: u64,
    /// Queued work.
    pub demand: Vec<DemandShape>,
    /// Machines of the partition.
    pub machines: Vec<MachineStatus>,
}

/// A message between two controllers. The serde names are those of the protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MeshMessage {
    /// Regular heartbeat of a controller.
    #[serde(rename = "Alive")]
    Heartbeat {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Revision up to which the sender's state cache is complete.
        revision: u64,
        /// Whether the sender has recently received a response from the state service.
        state_contact: bool,
        /// Whether the sender is ready to lead partitions.
        ready: bool,
        /// Age of the last heartbeat that the sender received from each other controller, in
        /// milliseconds.
        peer_heartbeat_ages: Vec<(String, u64)>,
    },
    /// Partition leader to fleet planner: the status of the partition.
    #[serde(rename = "Load")]
    PartitionStatus(PartitionStatus),
    /// Fleet planner to partition leader: release an idle machine.
    #[serde(rename = "Release")]
    ReleaseMachine {
        /// Name of the machine.
        machine: String,
        /// Partition that receives the machine; absent if it is returned to the cloud.
        to: Option<u32>,
    },
    /// Fleet planner to partition leader: transfer machines that fit a shape to another partition
    /// as they become empty, including machines that still boot.
    #[serde(rename = "Cede")]
    TransferMachines {
        /// Partition that gives the machines.
        from: u32,
        /// Partition that receives them.
        to: u32,
        /// Number of machines.
        count: u32,
        /// Work that the machines must be able to run.
        shape: DemandShape,
    },
    /// New partition leader to all controllers: a previous leader must stop at once.
    #[serde(rename = "Taken")]
    LeaderChanged {
        /// Number of the partition.
        partition: u32,
        /// Term of the new leadership.
        term: u64,
        /// Name of the new leader.
        leader: String,
    },
    /// Partition leader to all controllers: it deletes its leadership record because its workers
    /// cannot reach it. Its successor need not wait for the preferred leader.
    #[serde(rename = "GaveUp")]
    LeadershipResigned {
        /// Number of the partition.
        partition: u32,
    },
    /// Preferred leader to partition leader: the preferred leader can lead the partition again.
    #[serde(rename = "WantHome")]
    ReclaimRequest {
        /// Number of the partition.
        partition: u32,
        /// Lease of the preferred leader in the state service, to which the leadership record is to
        /// be bound.
        lease: u64,
        /// Incarnation of the preferred leader.
        incarnation: u64,
    },
    /// To all controllers: these jobs are recorded as cancelled, except those that were already
    /// terminal.
    #[serde(rename = "Cancelled")]
    JobsCancelled {
        /// Numbers of the jobs.
        jobs: Vec<u64>,
    },
    /// Partition leader to all controllers: progress of jobs, for display only.
    #[serde(rename = "Progress")]
    JobProgress {
        /// For each job: its number, the number of its tasks that are done, and the number of its
        /// running tasks.
        jobs: Vec<(u64, u64, u64)>,
    },
    /// Standby to partition leader: starts or renews the subscription to its replication stream.
    #[serde(rename = "Follow")]
    Subscribe {
        /// Number of the partition.
        partition: u32,
        /// Incarnation of the leader that is subscribed to.
        incarnation: u64,
        /// Term of the leadership that is subscribed to.
        term: u64,
        /// Number of the change up to which the subscriber has applied all changes.
        applied: u64,
    },
    /// Partition leader to standby: one batch of the replication stream.
    #[serde(rename = "Hints")]
    Replication(ReplicationBatch),
}

/// Soft state of a machine: what its partition leader knows beyond the stored records. It may be
/// outdated: a new leader contacts the machine before it relies on any of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSnapshot {
    /// Name of the machine.
    pub machine: String,
    /// Address of its worker, `host:port`.
    pub address: String,
    /// Worker epoch of its last heartbeat.
    pub worker_epoch: u64,
    /// Whether the leader has recently received its heartbeats.
    pub reporting: bool,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// When it became idle, in milliseconds on the sender's monotonic clock; absent if it is not
    /// idle.
    pub idle_since_ms: Option<u64>,
    /// Images in its cache by name, with their sizes in GB.
    pub images: Vec<(String, f64)>,
}

/// Soft state of a job: what its partition leader knows about the failures of its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobFailureSnapshot {
    /// Number of the job.
    pub job: u64,
    /// Index of each task that failed and the number of its consecutive failures, for a bounded
    /// number of tasks.
    pub failures: Vec<(u32, u32)>,
    /// Names of machines on which its tasks failed.
    pub failed_on: Vec<String>,
    /// Number of tasks that completed.
    pub successes: u32,
    /// Longest time that a task ran before it failed, in milliseconds.
    pub longest_failure_ms: u64,
}

/// Key of a replicated record: the object that the record describes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReplicationKey {
    /// The machine of this name.
    Machine(String),
    /// The job of this number.
    Job(u64),
}

/// One record of the replication stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicatedRecord {
    /// State of a machine.
    Machine(MachineSnapshot),
    /// Failures of a job.
    Job(JobFailureSnapshot),
    /// Tombstone: the leader no longer keeps soft state for the key.
    #[serde(rename = "Gone")]
    Removed(ReplicationKey),
}

impl ReplicatedRecord {
    /// Key of the record.
    pub fn key(&self) -> ReplicationKey {
        match self {
            ReplicatedRecord::Machine(snapshot) => {
                ReplicationKey::Machine(snapshot.machine.clone())
            }
            ReplicatedRecord::Job(snapshot) => ReplicationKey::Job(snapshot.job),
            ReplicatedRecord::Removed(key) => key.clone(),
        }
    }

    /// Approximate size in a frame, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        match self {
            ReplicatedRecord::Machine(snapshot) => {
                let images: usize = snapshot
                    .images
                    .iter()
                    .map(|(name, _)| name.len() + 10)
                    .sum();
                snapshot.machine.len() + snapshot.address.len() + 24 + images
            }
            ReplicatedRecord::Job(snapshot) => {
                let machines: usize = snapshot.failed_on.iter().map(|name| name.len() + 1).sum();
                24 + snapshot.failures.len() * 6 + machines
            }
            ReplicatedRecord::Removed(_) => 24,
        }
    }
}

/// Consecutive changes of the replication stream: those numbered above `after`, up to `up_to`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicationBatch {
    /// Number of the partition.
    pub partition: u32,
    /// Incarnation of the leader.
    pub incarnation: u64,
    /// Term of its leadership.
    pub term: u64,
    /// Number of the change before the first one of the batch.
    pub after: u64,
    /// Number of the last change of the batch.
    pub up_to: u64,
    /// Number of the newest change of the stream.
    pub newest: u64,
    /// Number of the change up to which tombstones have been dropped. A subscriber that has applied
    /// fewer changes must start again from 0.
    pub tombstones_dropped_up_to: u64,
    /// Time of sending, in milliseconds on the sender's monotonic clock.
    pub sent_at_ms: u64,
    /// Changed records.
    pub records: Vec<ReplicatedRecord>,
}

/// A message with its envelope. A frame is length-delimited MessagePack, in which structs are
/// arrays: the order of fields is part of the protocol, their names are not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Version of the protocol, see [`MESH_VERSION`].
    pub version: u16,
    /// Name of the sending controller.
    pub from: String,
    /// The message.
    pub message: MeshMessage,
}
