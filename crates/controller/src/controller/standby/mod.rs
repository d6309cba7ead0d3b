//! Standbys: replicas of other leaders' partitions, and the replication streams of the partitions that
//! this controller leads.

mod detection;
mod view;

use super::leadership::PartitionLeadership;
use super::Controller;
use crate::rejections::{MessageFault, MessageSource};
use detection::EarlyFailover;
use failover::failure_detector::FailureDetector;
use failover::{assign_standbys, PartitionReplica, Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, MachineName, PartitionId, Timestamp};
use scheduler::PartitionState;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::mesh::{MeshMessage, ReplicationBatch};

/// If there are at most this many controllers, each of them replicates all partitions.
const MAX_CONTROLLERS_REPLICATING_ALL: usize = 4;
/// Time between two updates of subscriptions and replication streams.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a preferred leader waits for its replica to be in sync before it reclaims its
/// partition.
pub(super) const MAX_REPLICA_CATCH_UP: Duration = Duration::from_secs(4);

/// The replicas that this controller keeps, and the streams that it sends.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    replicas: Replicas,
    /// Streams of the partitions that this controller leads.
    streams: BTreeMap<PartitionId, TermStream>,
    failure_detector: FailureDetector,
    /// The standby of each partition when the partition last had a leader.
    last_standbys: BTreeMap<PartitionId, ControllerName>,
    updated_at: Timestamp,
    /// When this controller last attempted an early failover.
    failover_attempted_at: Timestamp,
    early_failovers: HashMap<PartitionId, EarlyFailover>,
}

/// The replication stream of a partition in one term. Each term starts a new stream.
#[derive(Debug, Default)]
struct TermStream {
    term: u64,
    stream: ReplicationStream,
}

impl Standby {
    /// The standby of a partition when the partition last had a leader.
    pub(super) fn last_standby_of(&self, partition: PartitionId) -> Option<&ControllerName> {
        self.last_standbys.get(&partition)
    }

    /// Whether an early failover of any partition was attempted within this time.
    pub(super) fn has_attempted_failover(&self, within: Duration, now: Timestamp) -> bool {
        now.duration_since(self.failover_attempted_at) < within
    }

    /// Records that an early failover is attempted now.
    pub(super) fn record_failover_attempt(&mut self, now: Timestamp) {
        self.failover_attempted_at = now;
    }
}

impl Controller {
    /// The standby of each partition, assigned according to which peers this controller sees alive.
    pub(super) fn standbys(&self) -> BTreeMap<PartitionId, ControllerName> {
        let names: Vec<ControllerName> = self
            .controllers
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        let leaders = self
            .cache
            .partitions
            .iter()
            .map(|(partition, recorded)| (*partition, recorded.record.leader.clone()))
            .collect();
        let is_live = |name: &ControllerName| {
            name == self.own_name() || (self.peer_is_alive(name) && self.peers.is_ready(name))
        };
        assign_standbys(&names, is_live, &leaders)
    }

    /// The partitions that this controller replicates, with their sources: those whose standby it is, and
    /// its preferred one while another controller leads it. Where there are few controllers, each of them
    /// replicates all partitions, so that a replica is left if a leader crashes together with its standby.
    fn replication_sources(
        &self,
        standbys: &BTreeMap<PartitionId, ControllerName>,
    ) -> BTreeMap<PartitionId, ReplicationSource> {
        let replicates_all = self.controllers.len() <= MAX_CONTROLLERS_REPLICATING_ALL;
        let mut sources = BTreeMap::new();
        for (partition, recorded) in &self.cache.partitions {
            let record = &recorded.record;
            let replicates = replicates_all
                || standbys.get(partition) == Some(self.own_name())
                || self.preferred_leader(*partition) == Some(self.own_name());
            if replicates && record.leader != *self.own_name() {
                let source = ReplicationSource {
                    leader: record.leader.clone(),
                    incarnation: record.incarnation,
                    term: record.term,
                };
                sources.insert(*partition, source);
            }
        }
        sources
    }

    /// Updates this controller's subscriptions and the streams to its subscribers, if that is due.
    pub(super) fn maintain_standby(&mut self) {
        if !self.state_sync.is_synced()
            || !self.registration.is_registered()
            || self.now.duration_since(self.standby.updated_at) < REPLICATION_INTERVAL
        {
            return;
        }
        self.standby.updated_at = self.now;
        let standbys = self.standbys();
        let sources = self.replication_sources(&standbys);
        self.standby.last_standbys.extend(standbys);
        for (to, message) in self.standby.replicas.subscribe(&sources, self.now) {
            self.send_to_peer(&to, message);
        }
        self.send_replication_batches();
    }

    fn send_replication_batches(&mut self) {
        let now = self.now;
        let mut batches = Vec::new();
        self.standby
            .streams
            .retain(|partition, _| self.leaderships.contains_key(partition));
        for (partition, TermStream { term, stream }) in &mut self.standby.streams {
            let leadership = self
                .leaderships
                .get(partition)
                .filter(|leadership| leadership.term().0 == *term);
            let Some(partition_state) = leadership.and_then(PartitionLeadership::partition_state)
            else {
                continue;
            };
            if !stream.has_subscribers(now) {
                continue;
            }
            stream.update(partition_state.replication_records(now));
            let header = ReplicationBatch {
                partition: partition.0,
                incarnation: self.registration.incarnation(),
                term: *term,
                sent_at_ms: now.as_millis(),
                ..ReplicationBatch::default()
            };
            batches.extend(stream.due_batches(&header, now));
        }
        for (to, batch) in batches {
            self.send_to_peer(&to, MeshMessage::Replication(batch));
        }
    }

    /// Handles a peer's subscription to a partition's stream. The peer has applied the changes up to the
    /// sequence number `applied`.
    pub(super) fn handle_subscription(
        &mut self,
        from: &ControllerName,
        partition: u32,
        incarnation: u64,
        term: u64,
        applied: u64,
    ) {
        let partition = PartitionId(partition);
        let leads_in_term = self
            .leaderships
            .get(&partition)
            .is_some_and(|leadership| leadership.term().0 == term);
        // A peer that subscribes to another incarnation of this controller will soon read the record of
        // the present one, and then subscribe to it.
        if !leads_in_term || incarnation != self.registration.incarnation() {
            self.counters
                .rejections
                .add(MessageSource::Peer, MessageFault::Stale);
            return;
        }
        let stream = self.standby.streams.entry(partition).or_default();
        if stream.term != term {
            *stream = TermStream {
                term,
                stream: ReplicationStream::default(),
            };
        }
        stream.stream.subscribe(from, applied, self.now);
    }

    /// Applies a batch of a leader's stream to the replica.
    pub(super) fn handle_replication_batch(
        &mut self,
        from: &ControllerName,
        batch: ReplicationBatch,
    ) {
        let now = self.now;
        if let Some(answer) = self.standby.replicas.apply(from, batch, now) {
            self.send_to_peer(from, answer);
        }
    }

    /// Whether the replica of the preferred partition is in sync, or the wait for that has reached its
    /// limit.
    pub(super) fn is_ready_to_reclaim(
        &self,
        partition: PartitionId,
        displaced_for: Duration,
    ) -> bool {
        displaced_for >= MAX_REPLICA_CATCH_UP
            || self.standby.replicas.is_in_sync(partition, self.now)
    }

    /// Records a worker's heartbeat to this controller as evidence of a crash of the leader, if the replica
    /// shows that the worker reports to the leader.
    pub(super) fn record_worker_contact(&mut self, partition: PartitionId, machine: &MachineName) {
        let reports_to_leader = |replica: &PartitionReplica| {
            replica
                .machines
                .get(machine)
                .is_some_and(|machine| machine.snapshot.reporting)
        };
        if self
            .standby
            .replicas
            .get(partition)
            .is_some_and(reports_to_leader)
        {
            self.standby
                .failure_detector
                .record_worker_contact(partition, machine, self.now);
        }
    }

    /// Applies the replica of the former leader's state to the partition's state and drops the replica.
    /// Returns the number of machines that the replica held.
    pub(super) fn apply_replica(
        &mut self,
        partition: PartitionId,
        partition_state: &mut PartitionState,
    ) -> usize {
        let Some(replica) = self.standby.replicas.remove(partition) else {
            return 0;
        };
        for machine in replica.machines.values() {
            partition_state.apply_machine_snapshot(&machine.snapshot, machine.idle_since);
        }
        for snapshot in replica.job_failures.values() {
            partition_state.apply_job_snapshot(snapshot, self.now);
        }
        replica.machines.len()
    }

    /// Number of replicas that are in sync with their leaders.
    pub(super) fn replicas_in_sync(&self) -> usize {
        let replicas = &self.standby.replicas;
        replicas
            .iter()
            .filter(|(partition, _)| replicas.is_in_sync(**partition, self.now))
            .count()
    }
}
