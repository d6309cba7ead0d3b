//! Replicas of partitions that we stand by for, and the streams to our own subscribers.

use super::leadership::PartitionLeadership;
use super::Controller;
use crate::controller_lease::LEASE_DURATION;
use crate::rejections::{MessageFault, MessageSource};
use failover::failure_detector::{Evidence, FailoverBlocker, FailureDetector};
use failover::{assign, PartitionReplica, Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, MachineName, PartitionId, Timestamp, ZoneName};
use scheduler::PartitionState;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wire::mesh::{MeshMessage, ReplicationBatch};

/// How late a lease may end, the news of it included.
const LEASE_SLACK: Duration = Duration::from_secs(1);
/// Up to so many nodes follow everybody.
const FEW: usize = 4;
/// Time between two looks at what we know and our subscribers do not.
const DETECTOR_INTERVAL: Duration = Duration::from_millis(500);
/// How long our home partition is left to its holder while we are not in step with it.
pub(super) const REPLICA_CATCH_UP_LIMIT: Duration = Duration::from_secs(4);

/// Standing by: the part of a node that is about following and being followed.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    replicas: Replicas,
    /// Streams of the partitions that we lead, each with the term in which it was started.
    streams: BTreeMap<PartitionId, (u64, ReplicationStream)>,
    failure_detector: FailureDetector,
    /// Who stood by for each partition when it had a holder last.
    pub(super) assigned: BTreeMap<PartitionId, ControllerName>,
    scanned_at: Timestamp,
    /// When a partition whose record stood was last tried for.
    pub(super) tried_at: Timestamp,
    /// Partitions taken from holders whose records stood, with the holders' incarnations and when.
    taken: HashMap<PartitionId, (ControllerName, u64, Timestamp)>,
}

impl Controller {
    /// Who stands by for each partition, as far as we know who lives.
    pub(super) fn standbys(&self) -> BTreeMap<PartitionId, ControllerName> {
        let names: Vec<ControllerName> = self
            .nodes
            .iter()
            .map(|(name, _): &(_, ZoneName)| name.clone())
            .collect();
        let leaders = self
            .cache
            .partitions
            .iter()
            .map(|(id, p)| (*id, p.record.leader.clone()))
            .collect();
        let live = |name: &ControllerName| {
            name == self.own_name()
                || (self.peer_is_alive(name) && self.peers.get(name).is_some_and(|p| p.ready))
        };
        assign(&names, live, &leaders)
    }

    /// What we follow: partitions that we stand by for, and our own while another holds it. Where
    /// there are few nodes each follows all, so that a holder may end together with its standby.
    fn followed(
        &self,
        standbys: &BTreeMap<PartitionId, ControllerName>,
    ) -> BTreeMap<PartitionId, ReplicationSource> {
        let few = self.nodes.len() <= FEW;
        let mut wanted = BTreeMap::new();
        for (partition, held) in &self.cache.partitions {
            let record = &held.record;
            let ours = few
                || standbys.get(partition) == Some(self.own_name())
                || self.preferred_leader(*partition) == Some(self.own_name());
            if ours && record.leader != *self.own_name() {
                let leader = record.leader.clone();
                let source = ReplicationSource {
                    leader,
                    incarnation: record.incarnation,
                    term: record.term,
                };
                wanted.insert(*partition, source);
            }
        }
        wanted
    }

    pub(super) fn maintain_standby(&mut self) {
        if !self.state_sync.is_synced()
            || !self.registration.is_registered()
            || self.now.duration_since(self.standby.scanned_at) < DETECTOR_INTERVAL
        {
            return;
        }
        let now = self.now;
        self.standby.scanned_at = now;
        let standbys = self.standbys();
        let wanted = self.followed(&standbys);
        self.standby.assigned.extend(standbys);
        for (to, message) in self.standby.replicas.subscribe(&wanted, now) {
            self.send_to_peer(&to, message);
        }
        let mut parts = Vec::new();
        self.standby
            .streams
            .retain(|partition, _| self.leaderships.contains_key(partition));
        for (partition, (term, stream)) in &mut self.standby.streams {
            let leadership = self
                .leaderships
                .get(partition)
                .filter(|h| h.term().0 == *term);
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
                at_ms: now.as_millis(),
                ..ReplicationBatch::default()
            };
            parts.extend(stream.due_batches(&header, now));
        }
        for (to, part) in parts {
            self.send_to_peer(&to, MeshMessage::Replication(part));
        }
    }

    pub(super) fn handle_subscription(
        &mut self,
        from: &ControllerName,
        partition: u32,
        incarnation: u64,
        term: u64,
        applied: u64,
    ) {
        let partition = PartitionId(partition);
        let held = self
            .leaderships
            .get(&partition)
            .is_some_and(|h| h.term().0 == term);
        // Whoever follows another incarnation of ours sees the record of this one soon.
        if !held || incarnation != self.registration.incarnation() {
            self.counters
                .rejections
                .add(MessageSource::Peer, MessageFault::Stale);
            return;
        }
        let stream = self.standby.streams.entry(partition).or_default();
        if stream.0 != term {
            *stream = (term, ReplicationStream::default());
        }
        stream.1.subscribe(from, applied, self.now);
    }

    pub(super) fn handle_replication_batch(
        &mut self,
        from: &ControllerName,
        part: ReplicationBatch,
    ) {
        let now = self.now;
        if let Some(answer) = self.standby.replicas.apply(from, part, now) {
            self.send_to_peer(from, answer);
        }
    }

    /// Whether our home partition could be taken on without a gap, or has been waited for long enough.
    pub(super) fn is_warm(&self, partition: PartitionId, displaced_for: Duration) -> bool {
        displaced_for >= REPLICA_CATCH_UP_LIMIT
            || self.standby.replicas.is_in_sync(partition, self.now)
    }

    /// A worker that reports to another holder has come to us.
    pub(super) fn record_worker_contact(&mut self, partition: PartitionId, machine: &MachineName) {
        let reports = |replica: &PartitionReplica| {
            replica
                .machines
                .get(machine)
                .is_some_and(|machine| machine.snapshot.reporting)
        };
        if self.standby.replicas.get(partition).is_some_and(reports) {
            self.standby
                .failure_detector
                .record_worker_contact(partition, machine, self.now);
        }
    }

    /// What speaks against taking over a partition whose record stands.
    pub(super) fn failover_blockers(&self, partition: PartitionId) -> Vec<FailoverBlocker> {
        let Some(held) = self.cache.partitions.get(&partition) else {
            return Vec::new();
        };
        let (leader, incarnation) = (&held.record.leader, held.record.incarnation);
        let term = held.record.term;
        let is_current = |replica: &&PartitionReplica| {
            replica.source().incarnation == incarnation && replica.source().term == term
        };
        let replica = self.standby.replicas.get(partition).filter(is_current);
        let view = self
            .peers
            .get(leader)
            .filter(|peer| peer.incarnation == incarnation);
        let others = self
            .peers
            .iter()
            .filter(|(name, _)| *name != leader && self.peer_is_alive(name));
        let peer_heartbeat_age = others
            .filter_map(|(_, peer)| {
                let said = peer
                    .peer_heartbeat_ages
                    .iter()
                    .find(|(name, _)| name == leader)?;
                Some(said.1 + self.now.duration_since(peer.last_seen_at))
            })
            .min();
        let evidence = Evidence {
            now: self.now,
            last_heartbeat: view.map(|peer| peer.last_seen_at),
            peer_heartbeat_age,
            reporting_machines: replica.map_or(0, PartitionReplica::reporting_machines),
            replica_complete: replica.is_some_and(PartitionReplica::is_complete),
            last_state_read: self.state_sync.last_read_at(),
            resumed_at: self.running_since,
        };
        self.standby
            .failure_detector
            .failover_blockers(partition, &evidence)
    }

    /// A partition was taken from a holder whose record stood.
    pub(super) fn record_early_failover(
        &mut self,
        partition: PartitionId,
        leader: ControllerName,
        incarnation: u64,
    ) {
        self.counters.early_takeovers += 1;
        self.standby
            .taken
            .insert(partition, (leader, incarnation, self.now));
    }

    /// A node is there: if we took a partition from this very incarnation just now, that was wrong.
    /// One that comes back later than its lease in the state service lasts had lost it anyway.
    pub(super) fn detect_false_suspicion(&mut self, node: &ControllerName, incarnation: u64) {
        let now = self.now;
        self.standby
            .taken
            .retain(|_, by| now.duration_since(by.2) <= LEASE_DURATION + LEASE_SLACK);
        let was_leader =
            |by: &(ControllerName, u64, Timestamp)| (&by.0, by.1) == (node, incarnation);
        let taken: Vec<PartitionId> = self
            .standby
            .taken
            .iter()
            .filter(|(_, by)| was_leader(by))
            .map(|(p, _)| *p)
            .collect();
        for partition in taken {
            tracing::warn!(%partition, %node, "took a partition from a holder that lives");
            self.standby.taken.remove(&partition);
            self.standby
                .failure_detector
                .record_false_suspicion(partition, self.now);
            self.counters.wrong_takeovers += 1;
        }
    }

    /// Gives a share what its last holder told us.
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
        for hint in replica.jobs.values() {
            partition_state.apply_job_snapshot(hint, self.now);
        }
        replica.machines.len()
    }

    /// Partitions of others that we could take on with all that their holders know.
    pub(super) fn partitions_in_step(&self) -> usize {
        let replicas = &self.standby.replicas;
        replicas
            .iter()
            .filter(|(partition, _)| replicas.is_in_sync(**partition, self.now))
            .count()
    }

    /// Who stands by for whom, and how far behind each replica is.
    pub(super) fn standby_view(&self) -> Value {
        let now = self.now;
        let standbys = self.standbys();
        let partitions: Vec<Value> = self
            .cache
            .partitions
            .iter()
            .map(|(partition, held)| {
                let blockers: Vec<&'static str> = if standbys.get(partition) == Some(self.own_name()) {
                    self.failover_blockers(*partition).iter().map(|blocker| blocker.as_str()).collect()
                } else {
                    Vec::new()
                };
                let leadership = self.leaderships.get(partition);
                let failed_checks = leadership.map(|leadership| {
                    let checks = leadership.failed_checks().iter();
                    let names: Vec<_> = checks.map(|check| check.as_str()).collect();
                    format!("[{}]", names.join(", "))
                });
                json!({
                    "waits_for": failed_checks,
                    "partition": partition.0, "holder": held.record.leader, "term": held.record.term,
                    "standby": standbys.get(partition), "failover_blockers": blockers,
                    // The name of an earlier version, kept for one release.
                    "doubts": blockers,
                })
            })
            .collect();
        let copies: Vec<Value> = self
            .standby
            .replicas
            .iter()
            .map(|(partition, replica)| {
                let lag = replica.lag();
                json!({
                    "partition": partition.0, "holder": replica.source().leader,
                    "term": replica.source().term, "behind": lag.changes,
                    "in_step": self.standby.replicas.is_in_sync(*partition, now),
                    "followed_s": now.duration_since(lag.subscribed_since).as_secs_f64(),
                    "heard_s": lag.updated_at.map(|at| now.duration_since(at).as_secs_f64()),
                    "machines": replica.machines.len(), "jobs": replica.jobs.len(),
                })
            })
            .collect();
        let followers: Vec<Value> = self
            .standby
            .streams
            .iter()
            .flat_map(|(partition, (_, stream))| {
                stream.subscribers().map(move |(node, behind)| {
                    json!({ "partition": partition.0, "node": node, "behind": behind })
                })
            })
            .collect();
        json!({ "partitions": partitions, "copies": copies, "followers": followers })
    }
}
