//! The subscriber's side of replication: replicas of the soft state of other leaders' partitions.
//!
//! If a batch begins after a gap in the changes that the replica has applied, it is dropped and the missing
//! changes are requested. A batch from another leader, incarnation or term than that of the replica's source
//! is ignored. When the source changes, the replica requests all changes from 0, but keeps the former
//! leader's records until the first batch of the new one arrives.

use model::{ControllerName, MachineName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::mesh::{
    JobFailureSnapshot, MachineSnapshot, MeshMessage, ReplicatedRecord, ReplicationBatch,
    ReplicationKey,
};

/// Minimum time between two renewals of a subscription.
const SUBSCRIPTION_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A replica whose last update is older than this is not in sync.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_600);
/// How long a replica is kept after this controller has stopped subscribing to the partition or the partition
/// has lost its leader.
const UNWANTED_REPLICA_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of records in the replica of one partition.
const MAX_RECORDS: usize = 20_000;

/// The leader whose replication stream a replica subscribes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicationSource {
    /// Name of the leader.
    pub leader: ControllerName,
    /// Incarnation of the leader.
    pub incarnation: u64,
    /// Term of its leadership.
    pub term: u64,
}

/// A machine as its partition leader last reported it.
#[derive(Debug)]
pub struct ReplicatedMachine {
    /// The last record of the machine.
    pub snapshot: MachineSnapshot,
    /// Since when the machine has been idle, on the clock of this controller; `None` if it is not idle.
    pub idle_since: Option<Timestamp>,
}

/// How far a replica is behind its source.
#[derive(Debug, Clone, Copy)]
pub struct ReplicationLag {
    /// Number of changes that the replica lacks.
    pub changes: u64,
    /// Since when this controller has subscribed to the source.
    pub subscribed_since: Timestamp,
    /// When the last batch was applied.
    pub updated_at: Option<Timestamp>,
}

/// The soft state of a partition as its leader has replicated it.
#[derive(Debug)]
pub struct PartitionReplica {
    source: ReplicationSource,
    /// Sequence number up to which all changes have been applied.
    applied_up_to: u64,
    /// Sequence number of the newest change that the source has announced.
    newest_announced: u64,
    subscribed_since: Timestamp,
    updated_at: Option<Timestamp>,
    /// When this controller last wanted to replicate the partition.
    last_wanted_at: Timestamp,
    renewed_at: Option<Timestamp>,
    /// Whether no change was missing after the last update.
    complete: bool,
    /// Machines of the partition by name.
    pub machines: BTreeMap<MachineName, ReplicatedMachine>,
    /// Failures of jobs, by the number of the job.
    pub job_failures: BTreeMap<u64, JobFailureSnapshot>,
}

impl PartitionReplica {
    fn new(source: ReplicationSource, now: Timestamp) -> Self {
        PartitionReplica {
            source,
            applied_up_to: 0,
            newest_announced: 0,
            subscribed_since: now,
            updated_at: None,
            last_wanted_at: now,
            renewed_at: None,
            complete: false,
            machines: BTreeMap::new(),
            job_failures: BTreeMap::new(),
        }
    }

    /// The leader that the replica subscribes to.
    pub fn source(&self) -> &ReplicationSource {
        &self.source
    }

    /// Whether the replica had all changes that its source had announced, after its last update.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// How far the replica is behind its source.
    pub fn lag(&self) -> ReplicationLag {
        ReplicationLag {
            changes: self.newest_announced - self.applied_up_to,
            subscribed_since: self.subscribed_since,
            updated_at: self.updated_at,
        }
    }

    /// Number of machines that report to the leader.
    pub fn reporting_machines(&self) -> usize {
        self.machines
            .values()
            .filter(|machine| machine.snapshot.reporting)
            .count()
    }

    /// Returns the message that starts or renews the subscription after the changes applied so far, and records
    /// the renewal.
    fn subscribe_message(&mut self, partition: PartitionId, now: Timestamp) -> MeshMessage {
        self.renewed_at = Some(now);
        let ReplicationSource {
            incarnation, term, ..
        } = self.source;
        MeshMessage::Subscribe {
            partition: partition.0,
            incarnation,
            term,
            applied: self.applied_up_to,
        }
    }

    /// Applies a record that the leader sent at `sent_at` on its clock. A full replica takes no new entries.
    fn apply(&mut self, record: ReplicatedRecord, sent_at: Timestamp, now: Timestamp) {
        let is_full = self.machines.len() + self.job_failures.len() >= MAX_RECORDS;
        match record {
            ReplicatedRecord::Machine(snapshot) => {
                let name = MachineName::from(snapshot.machine.as_str());
                if !is_full || self.machines.contains_key(&name) {
                    let machine = ReplicatedMachine {
                        idle_since: idle_since(&snapshot, sent_at, now),
                        snapshot,
                    };
                    self.machines.insert(name, machine);
                }
            }
            ReplicatedRecord::Job(snapshot) => {
                if !is_full || self.job_failures.contains_key(&snapshot.job) {
                    self.job_failures.insert(snapshot.job, snapshot);
                }
            }
            ReplicatedRecord::Removed(ReplicationKey::Machine(name)) => {
                self.machines.remove(&MachineName::from(name.as_str()));
            }
            ReplicatedRecord::Removed(ReplicationKey::Job(id)) => {
                self.job_failures.remove(&id);
            }
        }
    }

    /// Removes all records, so that changes can be applied from 0.
    fn reset(&mut self) {
        self.machines.clear();
        self.job_failures.clear();
        self.applied_up_to = 0;
    }
}

/// Since when a machine has been idle, on the clock of this controller. The clocks of controllers differ, so
/// the result is computed from how long the machine had been idle when the record was sent.
fn idle_since(snapshot: &MachineSnapshot, sent_at: Timestamp, now: Timestamp) -> Option<Timestamp> {
    let idle_since_ms = snapshot.idle_since_ms?;
    let idle_for_ms = sent_at.as_millis() - idle_since_ms.min(sent_at.as_millis());
    Some(Timestamp::from_millis(
        now.as_millis().saturating_sub(idle_for_ms),
    ))
}

/// All replicas of a controller.
#[derive(Debug, Default)]
pub struct Replicas {
    by_partition: BTreeMap<PartitionId, PartitionReplica>,
}

impl Replicas {
    /// Makes the subscriptions match `wanted`, and drops replicas that have been unwanted for too long.
    /// Returns the messages to be sent, each with the leader that it is for.
    pub fn subscribe(
        &mut self,
        wanted: &BTreeMap<PartitionId, ReplicationSource>,
        now: Timestamp,
    ) -> Vec<(ControllerName, MeshMessage)> {
        let mut messages = Vec::new();
        for (partition, source) in wanted {
            let replica = self
                .by_partition
                .entry(*partition)
                .or_insert_with(|| PartitionReplica::new(source.clone(), now));
            if replica.source != *source {
                let new = PartitionReplica::new(source.clone(), now);
                let old = std::mem::replace(replica, new);
                replica.machines = old.machines;
                replica.job_failures = old.job_failures;
            }
            replica.last_wanted_at = now;
            if replica
                .renewed_at
                .is_none_or(|at| now.duration_since(at) >= SUBSCRIPTION_RENEWAL_INTERVAL)
            {
                messages.push((
                    source.leader.clone(),
                    replica.subscribe_message(*partition, now),
                ));
            }
        }
        self.by_partition.retain(|_, replica| {
            now.duration_since(replica.last_wanted_at) < UNWANTED_REPLICA_RETENTION
        });
        messages
    }

    /// Applies a batch from `from`. If changes before it are missing or it is inconsistent, it is not applied
    /// and the message that requests the missing changes is returned.
    pub fn apply(
        &mut self,
        from: &ControllerName,
        batch: ReplicationBatch,
        now: Timestamp,
    ) -> Option<MeshMessage> {
        let partition = PartitionId(batch.partition);
        let replica = self.by_partition.get_mut(&partition)?;
        let ReplicationSource {
            leader,
            incarnation,
            term,
        } = &replica.source;
        if (leader, *incarnation, *term) != (from, batch.incarnation, batch.term) {
            return None;
        }
        let has_gap = batch.after > replica.applied_up_to;
        if has_gap || batch.up_to < batch.after || batch.newest < batch.up_to {
            return Some(replica.subscribe_message(partition, now));
        }
        if replica.applied_up_to == 0 || replica.applied_up_to < batch.tombstones_dropped_up_to {
            // The replica has to start from 0 if it still has the records of a former leader, or if it lacks
            // tombstones that have been dropped: it would keep records that were removed.
            if batch.after != 0 {
                return Some(replica.subscribe_message(partition, now));
            }
            replica.reset();
        } else if batch.up_to < replica.applied_up_to {
            // The batch was sent before one that has been applied, so its records may be outdated.
            return None;
        }
        for record in batch.records {
            replica.apply(record, Timestamp::from_millis(batch.sent_at_ms), now);
        }
        replica.applied_up_to = batch.up_to;
        replica.newest_announced = batch.newest;
        replica.complete = replica.applied_up_to == replica.newest_announced;
        replica.updated_at = Some(now);
        None
    }

    /// The replica of a partition.
    pub fn get(&self, partition: PartitionId) -> Option<&PartitionReplica> {
        self.by_partition.get(&partition)
    }

    /// All replicas, in the order of their partitions.
    pub fn iter(&self) -> impl Iterator<Item = (&PartitionId, &PartitionReplica)> {
        self.by_partition.iter()
    }

    /// Whether the replica of a partition is complete and recent, so that a failover now would lose none of
    /// the leader's soft state.
    pub fn is_in_sync(&self, partition: PartitionId, now: Timestamp) -> bool {
        self.by_partition.get(&partition).is_some_and(|replica| {
            replica.complete
                && replica
                    .updated_at
                    .is_some_and(|at| now.duration_since(at) <= MAX_UPDATE_AGE)
        })
    }

    /// Removes and returns a replica, for a failover of its partition.
    pub fn remove(&mut self, partition: PartitionId) -> Option<PartitionReplica> {
        self.by_partition.remove(&partition)
    }
}
