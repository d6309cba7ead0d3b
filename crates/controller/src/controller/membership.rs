//! Who holds which partition: taking vacant ones, handing them home, word from peers.

use super::call_kind::{LeadershipCall, WorkerCall};
use super::heartbeats::WORKER_TIMEOUT;
use super::leadership::PartitionLeadership;
use super::standby::REPLICA_CATCH_UP_LIMIT;
use super::{CallKind, Controller, PeerStatus};
use crate::job_status_cache::TaskCounts;
use crate::records::{
    partition_key, reclaim_key, PartitionRecord, ReclaimRecord, TOKEN_COUNTER_KEY,
};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use failover::failure_detector::HEARTBEAT_TIMEOUT;
use model::DurationExt;
use model::{ControllerName, FencingToken, MachineName, PartitionId, Timestamp, WorkerEpoch};
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Time between signs of life.
const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A peer that has been silent for longer is not counted on.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a vacant partition is left to its home node while that seems alive.
const PREFERRED_LEADER_GRACE: Duration = Duration::from_millis(600);
/// How long our home partition may be held by another node that we ask over the mesh, before
/// we ask through the state service: the two may not reach each other.
const RECLAIM_AFTER: Duration = Duration::from_secs(2);
/// Pause before a partition whose workers did not reach us is taken or asked for again; it
/// doubles with every time, up to a limit.
const INITIAL_REACQUISITION_BACKOFF: Duration = Duration::from_secs(15);
const MAX_REACQUISITION_BACKOFF: Duration = Duration::from_secs(120);
/// Time between calls to its workers after that pause, and how many are called: it is asked for
/// again once one answers.
const REACHABILITY_PROBE_INTERVAL: Duration = Duration::from_secs(2);
const REACHABILITY_PROBE_COUNT: usize = 6;
/// A partition that we have given up and nobody has taken for so long is ours again: better a
/// holder that few reach than none.
const UNCLAIMED_AFTER: Duration = Duration::from_secs(5);
/// Time between two tries to take a partition whose record stands.
const FAILOVER_ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a restless node leaves its vacant home to others.
const CRASH_LOOP_GRACE: Duration = Duration::from_millis(1_500);
/// How long a vacant partition is left to each node that is before us in line.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// A partition that we have given up since its workers did not reach us.
#[derive(Debug, Default)]
pub(crate) struct ReacquisitionBackoff {
    /// Not taken again before then, whatever its workers say.
    until: Timestamp,
    /// The pause after the next time.
    pause: Duration,
    /// Some of its machines, with their addresses.
    workers: Vec<(MachineName, String)>,
    probed_at: Timestamp,
    /// One of them has answered since.
    reached: bool,
}

impl Controller {
    /// Number of partitions: one a node.
    pub(super) fn partition_count(&self) -> u32 {
        self.nodes.len() as u32
    }

    pub(super) fn preferred_leader(&self, partition: PartitionId) -> Option<&ControllerName> {
        self.nodes.get(partition.0 as usize).map(|(name, _)| name)
    }

    pub(super) fn peer_is_alive(&self, name: &ControllerName) -> bool {
        self.peers
            .get(name)
            .is_some_and(|p| self.now.duration_since(p.last_seen_at) <= PEER_TIMEOUT)
    }

    /// Whether a peer, by its own last word, has heard us lately. Each direction is a connection of its own, and
    /// one may be cut without the other.
    pub(super) fn is_reached_by(&self, peer: &ControllerName) -> bool {
        let receives_own_heartbeats = |view: &PeerStatus| {
            let us = view
                .peer_heartbeat_ages
                .iter()
                .find(|(name, _)| name == self.own_name());
            us.is_some_and(|(_, ago)| *ago <= PEER_TIMEOUT)
        };
        self.peers.get(peer).is_some_and(receives_own_heartbeats)
    }

    pub(super) fn maintain_leadership(&mut self) {
        if !self.state_sync.is_synced()
            || !self.registration.is_registered()
            || self.lease.current().is_none()
            || !self.has_recent_state_read(Duration::from_secs(3))
        {
            return;
        }
        for number in 0..self.partition_count() {
            let partition = PartitionId(number);
            if let Some(held) = self.cache.partitions.get(&partition) {
                self.vacant_since.remove(&partition);
                let ours = held.record.leader == *self.own_name()
                    && held.record.incarnation == self.registration.incarnation();
                if ours && !self.leaderships.contains_key(&partition) {
                    self.partition_changed(partition);
                    self.renew_term(partition);
                }
                if !ours {
                    self.try_early_failover(partition);
                }
                continue;
            }
            let now = self.now;
            let vacant = *self.vacant_since.entry(partition).or_insert(now);
            let reacquisition_backoffs =
                self.is_backing_off_from(partition) && now < vacant + UNCLAIMED_AFTER;
            let in_line = now < vacant + self.acquisition_delay(partition);
            if self.acquiring.contains(&partition) || in_line || reacquisition_backoffs {
                continue;
            }
            self.acquire(partition, 0);
        }
        self.probe_workers();
        self.reclaim_preferred_partition();
        self.grant_reclaim_requests();
    }

    /// Takes a partition whose record stands, if its holder is known to be over or suspected to
    /// have crashed.
    fn try_early_failover(&mut self, partition: PartitionId) {
        let Some(held) = self.cache.partitions.get(&partition) else {
            return;
        };
        let (leader, incarnation, version) = (
            held.record.leader.clone(),
            held.record.incarnation,
            held.version.0,
        );
        let soon = self.now.duration_since(self.standby.tried_at) < FAILOVER_ATTEMPT_INTERVAL;
        if self.acquiring.contains(&partition) || self.is_backing_off_from(partition) || soon {
            return;
        }
        let me = self.own_name().clone();
        if self.incarnation_is_over(&(leader.clone(), incarnation)) {
            // A later incarnation has announced itself: its own partition is left to it.
            let home = self.preferred_leader(partition) == Some(&me) && !self.defers_to_peers();
            if home
                || self.standbys().get(&partition) == Some(&me)
                    && !self.preferred_leader_is_stable(partition)
            {
                self.standby.tried_at = self.now;
                self.acquire(partition, version);
            }
            return;
        }
        // The most frequent blocker first: this is checked at each event.
        if self
            .peers
            .get(&leader)
            .is_some_and(|p| self.now.duration_since(p.last_seen_at) < HEARTBEAT_TIMEOUT)
        {
            return;
        }
        let stands_by = self.standbys().get(&partition) == Some(&me);
        if stands_by && self.failover_blockers(partition).is_empty() {
            tracing::info!(%partition, %leader, "its holder has ended by several signs");
            self.standby.tried_at = self.now;
            self.record_early_failover(partition, leader, incarnation);
            self.acquire(partition, version);
        }
    }

    /// Whether a partition's home lives, and for longer than a moment.
    fn preferred_leader_is_stable(&self, partition: PartitionId) -> bool {
        let counts = |home| self.peer_is_alive(home) && !self.is_crash_looping(home);
        self.preferred_leader(partition).is_some_and(counts)
    }

    fn is_backing_off_from(&self, partition: PartitionId) -> bool {
        self.reacquisition_backoffs
            .get(&partition)
            .is_some_and(|backoff| {
                let for_good = backoff.until + MAX_REACQUISITION_BACKOFF;
                self.now < backoff.until || (!backoff.reached && self.now < for_good)
            })
    }

    /// Calls some workers of partitions that we gave up. Taking one back while they still do not
    /// reach us would cost their leases.
    fn probe_workers(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (partition, backoff) in &mut self.reacquisition_backoffs {
            let waits = now >= backoff.until
                && !backoff.reached
                && now < backoff.until + MAX_REACQUISITION_BACKOFF;
            if waits && now.duration_since(backoff.probed_at) >= REACHABILITY_PROBE_INTERVAL {
                backoff.probed_at = now;
                due.extend(
                    backoff
                        .workers
                        .iter()
                        .map(|worker| (*partition, worker.clone())),
                );
            }
        }
        for (partition, (machine, address)) in due {
            let purpose = CallKind::Worker(WorkerCall::ReachabilityProbe { partition, machine });
            self.send_probe(
                address,
                FencingToken(0),
                WorkerEpoch(0),
                purpose,
                WORKER_TIMEOUT,
            );
        }
    }

    pub(super) fn handle_reachability_reply(&mut self, partition: PartitionId, reached: bool) {
        if let Some(backoff) = self.reacquisition_backoffs.get_mut(&partition) {
            backoff.reached |= reached && self.now >= backoff.until;
        }
    }

    /// Home nodes that do not reach us over the mesh ask through the state service.
    fn grant_reclaim_requests(&mut self) {
        let reclaim_requests: Vec<(PartitionId, ReclaimRecord)> = self
            .cache
            .reclaim_requests
            .iter()
            .filter(|(partition, _)| self.leaderships.contains_key(partition))
            .filter(|(_, reclaim_request)| reclaim_request.record.controller != *self.own_name())
            .map(|(partition, reclaim_request)| (*partition, reclaim_request.record.clone()))
            .collect();
        for (partition, reclaim_request) in reclaim_requests {
            self.transfer_leadership(
                partition,
                &reclaim_request.controller,
                reclaim_request.lease,
                reclaim_request.incarnation,
            );
        }
    }

    /// Gives a partition up whose workers do not reach us while other nodes may be reached: a
    /// holder that hears nobody keeps leases from being renewed and work from being placed.
    pub(super) fn resign_leadership(&mut self, partition: PartitionId) {
        // Whoever has given it up as well does no better: where all machines of a partition had died, its
        // holders gave it up to each other for ever, each before it could find that out.
        let gave_up = |name: &ControllerName| {
            let at = self.resigned_at.get(&partition).and_then(|by| by.get(name));
            at.is_some_and(|at| self.now.duration_since(*at) < MAX_REACQUISITION_BACKOFF)
        };
        let others = self.peers.iter().any(|(name, peer)| {
            let lives = self.now.duration_since(peer.last_seen_at) <= PEER_TIMEOUT;
            peer.ready && peer.state_contact && lives && !gave_up(name)
        });
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if !others || !leadership.may_transfer() {
            return;
        }
        tracing::warn!(%partition, "its workers do not reach us: giving a partition up");
        // From here on nobody is answered. The counter names us as the last taker, so whoever
        // takes it next counts our answers until we show that we know.
        leadership.begin_transfer();
        let key = partition_key(partition);
        let txn = Transaction::default()
            .when(&key, leadership.version().0)
            .write(Write::delete(&key));
        let workers = leadership
            .partition_state()
            .map(|partition_state| partition_state.addresses(REACHABILITY_PROBE_COUNT))
            .unwrap_or_default();
        let pause = self
            .reacquisition_backoffs
            .get(&partition)
            .map_or(INITIAL_REACQUISITION_BACKOFF, |backoff| backoff.pause);
        let backoff = ReacquisitionBackoff {
            until: self.now + pause,
            pause: Duration::from_millis(pause.whole_millis() * 2).min(MAX_REACQUISITION_BACKOFF),
            workers,
            ..ReacquisitionBackoff::default()
        };
        self.reacquisition_backoffs.insert(partition, backoff);
        self.broadcast(MeshMessage::LeadershipResigned {
            partition: partition.0,
        });
        self.queue_state_request(
            CallPriority::Lease,
            StateRequest::Transaction(txn),
            CallKind::Leadership(LeadershipCall::Resign(partition)),
        );
    }

    pub(super) fn handle_resignation_reply(&mut self, partition: PartitionId, reply: StateReply) {
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        match reply {
            // The watch brings the end of it.
            StateReply::Committed { .. } => {
                let term = leadership.term();
                self.relinquished_terms.insert(partition, term);
                self.leaderships.remove(&partition);
            }
            // It may yet be applied.
            StateReply::Unknown => {
                leadership.await_transfer_outcome(self.now + Duration::from_secs(2));
            }
            _ => leadership.abort_transfer(),
        }
    }

    /// How long we leave a vacant partition to others: its home node goes first, then who stood by
    /// for it, then the node with the fewest partitions.
    fn acquisition_delay(&self, partition: PartitionId) -> Duration {
        let Some(home) = self.preferred_leader(partition) else {
            return Duration::ZERO;
        };
        if home == self.own_name() {
            return if self.defers_to_peers() {
                CRASH_LOOP_GRACE
            } else {
                Duration::ZERO
            };
        }
        let mut wait = Duration::ZERO;
        if !self.peers.contains_key(home) && self.now.as_millis() < 3_000 {
            // We have just started ourselves; perhaps all have.
            wait = Duration::from_millis(1_500);
        } else if self.preferred_leader_is_stable(partition) && !self.was_resigned(partition) {
            wait = PREFERRED_LEADER_GRACE;
        }
        let burden = |name: &ControllerName| {
            self.cache
                .partitions
                .values()
                .filter(|p| p.record.leader == *name)
                .count()
        };
        // Who stood by for it last knows most of it.
        let standby = self.standby.assigned.get(&partition);
        let rank = |name: &ControllerName| (standby != Some(name), burden(name), name.clone());
        let mine = rank(self.own_name());
        let before = self
            .nodes
            .iter()
            .filter(|(name, _)| {
                name != self.own_name()
                    && name != home
                    && self.peer_is_alive(name)
                    && rank(name) < mine
            })
            .count() as u64;
        wait + RANK_DELAY.saturating_times(before)
    }

    fn was_resigned(&self, partition: PartitionId) -> bool {
        let by = self.resigned_at.get(&partition);
        by.is_some_and(|by| {
            by.values()
                .any(|at| self.now.duration_since(*at) < UNCLAIMED_AFTER)
        })
    }

    /// Writes a partition's record under the next term and under its new holder's lease,
    /// together with the counter.
    fn partition_txn(
        &self,
        partition: PartitionId,
        version: u64,
        record: &PartitionRecord,
        lease: u64,
    ) -> Transaction {
        let mut counter = self
            .cache
            .counter
            .as_ref()
            .map(|c| c.record.clone())
            .unwrap_or_default();
        counter.next = record.term + 1;
        counter
            .last_leaders
            .insert(partition.0, (record.leader.clone(), record.incarnation));
        counter
            .unconfirmed_predecessors
            .insert(partition.0, record.unconfirmed_predecessors.clone());
        let key = partition_key(partition);
        let value = serde_json::to_value(record).unwrap_or_default();
        let count = serde_json::to_value(counter).unwrap_or_default();
        Transaction::default()
            .when(&key, version)
            .when(TOKEN_COUNTER_KEY, self.cache.counter_version())
            .write(Write::put_leased(&key, value, lease))
            .write(Write::put(TOKEN_COUNTER_KEY, count))
    }

    /// Writes our name into a partition's record, which must still have this version (0: none).
    pub(super) fn acquire(&mut self, partition: PartitionId, version: u64) {
        let Some(lease) = self.lease.current() else {
            return;
        };
        let record = PartitionRecord {
            leader: self.own_name().clone(),
            incarnation: self.registration.incarnation(),
            term: self.cache.next_token(),
            // Those who may still answer, to be waited out by whoever comes after them.
            unconfirmed_predecessors: self.unconfirmed_predecessors_of(partition),
        };
        let txn = self.partition_txn(partition, version, &record, lease.0);
        self.acquiring.insert(partition);
        self.queue_state_request(
            CallPriority::Lease,
            StateRequest::Transaction(txn),
            CallKind::Leadership(LeadershipCall::Acquire(partition)),
        );
    }

    /// Earlier holders of a partition that may not know yet that they have lost it.
    fn unconfirmed_predecessors_of(&self, partition: PartitionId) -> Vec<(ControllerName, u64)> {
        let Some(counter) = &self.cache.counter else {
            return Vec::new();
        };
        let mut unconfirmed_predecessors: Vec<(ControllerName, u64)> = counter
            .record
            .unconfirmed_predecessors
            .get(&partition.0)
            .cloned()
            .unwrap_or_default();
        unconfirmed_predecessors.extend(counter.record.last_leaders.get(&partition.0).cloned());
        // What we answered ourselves ended when we lost it.
        unconfirmed_predecessors.retain(|predecessor| {
            !self.incarnation_is_over(predecessor) && predecessor.0 != *self.own_name()
        });
        unconfirmed_predecessors.dedup();
        unconfirmed_predecessors
    }

    /// Whether this incarnation is known to be over: a later one has announced itself.
    pub(super) fn incarnation_is_over(&self, (name, incarnation): &(ControllerName, u64)) -> bool {
        self.cache
            .incarnations
            .get(name)
            .is_some_and(|b| b.record.incarnation != *incarnation)
    }

    pub(super) fn handle_acquisition_reply(&mut self, partition: PartitionId, reply: &StateReply) {
        self.acquiring.remove(&partition);
        match reply {
            // The watch brings the record, and with it the holding.
            StateReply::Committed { .. } => {
                self.counters.takeovers += 1;
                self.vacant_since.remove(&partition);
            }
            // Whatever came of it, the watch tells.
            _ => {
                self.vacant_since.insert(partition, self.now);
            }
        }
    }

    /// A partition's record has changed.
    pub(super) fn partition_changed(&mut self, partition: PartitionId) {
        let Some(held) = self.cache.partitions.get(&partition).cloned() else {
            if self.leaderships.remove(&partition).is_some() {
                tracing::warn!(%partition, "lost a partition: its record is gone");
            }
            return;
        };
        let record = held.record;
        if record.leader != *self.own_name()
            || record.incarnation != self.registration.incarnation()
        {
            if self.leaderships.remove(&partition).is_some() {
                tracing::info!(%partition, leader = %record.leader, "a partition has moved on");
            }
            return;
        }
        let term = FencingToken(record.term);
        // The mirror may still show what has just been handed over.
        if self.relinquished_terms.get(&partition) == Some(&term) {
            return;
        }
        if self
            .leaderships
            .get(&partition)
            .is_some_and(|h| h.term() == term)
        {
            if let Some(leadership) = self.leaderships.get_mut(&partition) {
                leadership.set_version(held.version);
            }
            return;
        }
        let unconfirmed_predecessors: Vec<_> = record
            .unconfirmed_predecessors
            .into_iter()
            .filter(|s| !self.incarnation_is_over(s))
            .collect();
        let until = if unconfirmed_predecessors.is_empty() {
            self.now
        } else {
            self.now + self.settings.lease_validity().with_clock_drift()
        };
        tracing::info!(%partition, %term, unconfirmed_predecessors = unconfirmed_predecessors.len(), "took a partition");
        let leadership = PartitionLeadership::new(
            term,
            held.version,
            until,
            unconfirmed_predecessors,
            self.now,
        );
        self.leaderships.insert(partition, leadership);
        self.read_placement_log(partition);
        let message = MeshMessage::LeaderChanged {
            partition: partition.0,
            term: term.0,
            leader: self.own_name().to_string(),
        };
        self.broadcast(message);
    }

    /// Offers to take our own partition back from whoever holds it for us.
    fn reclaim_preferred_partition(&mut self) {
        let Some(number) = self
            .nodes
            .iter()
            .position(|(name, _)| name == self.own_name())
        else {
            return;
        };
        let partition = PartitionId(number as u32);
        let Some(lease) = self.lease.current() else {
            return;
        };
        let Some(held) = self.cache.partitions.get(&partition) else {
            return;
        };
        if held.record.leader == *self.own_name() || self.acquiring.contains(&partition) {
            self.displaced_since = None;
            return;
        }
        if self.is_backing_off_from(partition)
            || self.cache.types.is_none()
            || self.defers_to_peers()
        {
            return;
        }
        let displaced_for = self
            .now
            .duration_since(*self.displaced_since.get_or_insert(self.now));
        let known = self
            .cache
            .reclaim_requests
            .get(&partition)
            .is_some_and(|w| w.record.lease == lease.0);
        // Whoever hears the holder is handed it once it is warm.
        let unheard = !self.peer_is_alive(&held.record.leader)
            || displaced_for >= RECLAIM_AFTER + REPLICA_CATCH_UP_LIMIT;
        if displaced_for >= RECLAIM_AFTER && unheard && !known && !self.reclaim_pending {
            self.reclaim_pending = true;
            let reclaim_request = ReclaimRecord {
                controller: self.own_name().clone(),
                incarnation: self.registration.incarnation(),
                lease: lease.0,
            };
            let value = serde_json::to_value(reclaim_request).unwrap_or_default();
            let write = Write::put_leased(reclaim_key(partition), value, lease.0);
            // Late, it would ask again for what has been granted, and may have moved on since.
            let version = self
                .cache
                .reclaim_requests
                .get(&partition)
                .map_or(0, |w| w.version.0);
            let txn = Transaction::default()
                .when(reclaim_key(partition), version)
                .when(partition_key(partition), held.version.0)
                .write(write);
            self.queue_state_request(
                CallPriority::Lease,
                StateRequest::Transaction(txn),
                CallKind::Leadership(LeadershipCall::Reclaim),
            );
        }
        let Some(held) = self.cache.partitions.get(&partition) else {
            return;
        };
        let leader = held.record.leader.clone();
        let due = self
            .reclaim_requested_at
            .is_none_or(|at| self.now.duration_since(at) >= Duration::from_secs(1));
        if due && self.peer_is_alive(&leader) && self.is_warm(partition, displaced_for) {
            self.reclaim_requested_at = Some(self.now);
            let message = MeshMessage::ReclaimRequest {
                partition: partition.0,
                lease: lease.0,
                incarnation: self.registration.incarnation(),
            };
            self.send_to_peer(&leader, message);
        }
    }

    fn transfer_leadership(
        &mut self,
        partition: PartitionId,
        to: &ControllerName,
        lease: u64,
        incarnation: u64,
    ) {
        if self.preferred_leader(partition) != Some(to)
            || !self.has_recent_state_read(Duration::from_secs(3))
        {
            return;
        }
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if !leadership.may_transfer() {
            return;
        }
        // From here on nobody is answered, so the successor need not wait for us.
        leadership.begin_transfer();
        let version = leadership.version();
        // Should the outcome stay unknown, we may answer again before we know; so the successor
        // waits until we show that we do.
        let mut unconfirmed_predecessors = leadership.unconfirmed_predecessors().to_vec();
        unconfirmed_predecessors
            .push((self.settings.name.clone(), self.registration.incarnation()));
        let record = PartitionRecord {
            leader: to.clone(),
            incarnation,
            term: self.cache.next_token(),
            unconfirmed_predecessors,
        };
        let mut txn = self.partition_txn(partition, version.0, &record, lease);
        if self.cache.reclaim_requests.contains_key(&partition) {
            txn = txn.write(Write::delete(reclaim_key(partition)));
        }
        let purpose = CallKind::Leadership(LeadershipCall::Transfer {
            partition,
            to: to.clone(),
        });
        self.queue_state_request(CallPriority::Lease, StateRequest::Transaction(txn), purpose);
    }

    pub(super) fn handle_transfer_reply(
        &mut self,
        partition: PartitionId,
        to: ControllerName,
        reply: StateReply,
    ) {
        match reply {
            StateReply::Committed { .. } => {
                tracing::info!(%partition, %to, "handed a partition over");
                self.counters.hand_overs += 1;
                if let Some(leadership) = self.leaderships.remove(&partition) {
                    self.relinquished_terms.insert(partition, leadership.term());
                }
            }
            // It may yet be applied.
            StateReply::Unknown => {
                if let Some(leadership) = self.leaderships.get_mut(&partition) {
                    leadership.await_transfer_outcome(self.now + Duration::from_secs(2));
                }
            }
            _ => {
                if let Some(leadership) = self.leaderships.get_mut(&partition) {
                    leadership.abort_transfer();
                }
            }
        }
    }

    pub(super) fn send_peer_heartbeats(&mut self) {
        if self.now.duration_since(self.alive_at) < PEER_HEARTBEAT_INTERVAL
            && self.alive_at.as_millis() > 0
        {
            return;
        }
        self.alive_at = self.now;
        let peer_heartbeat_ages = self.peers.iter().map(|(name, peer)| {
            (
                name.to_string(),
                self.now.duration_since(peer.last_seen_at).whole_millis(),
            )
        });
        let message = MeshMessage::Heartbeat {
            peer_heartbeat_ages: peer_heartbeat_ages.collect(),
            incarnation: self.registration.incarnation(),
            revision: if self.state_sync.is_synced() {
                self.cache.revision.0
            } else {
                0
            },
            state_contact: self.state_sync.is_synced()
                && self.has_recent_state_read(Duration::from_secs(3)),
            ready: self.state_sync.is_synced() && self.registration.is_registered(),
        };
        self.broadcast(message);
    }

    pub(super) fn handle_mesh_message(&mut self, from: ControllerName, message: MeshMessage) {
        if !self.settings.peers.iter().any(|p| p.name == from) {
            self.counters
                .rejections
                .add(MessageSource::Peer, MessageFault::UnknownSender);
            return;
        }
        match message {
            MeshMessage::Heartbeat {
                incarnation,
                revision,
                state_contact,
                ready,
                peer_heartbeat_ages,
            } => {
                let peer_heartbeat_ages = peer_heartbeat_ages.iter().map(|(name, ago)| {
                    (
                        ControllerName::from(name.as_str()),
                        Duration::from_millis(*ago),
                    )
                });
                let peer_heartbeat_ages = peer_heartbeat_ages.collect();
                let view = PeerStatus {
                    last_seen_at: self.now,
                    incarnation,
                    state_contact,
                    ready,
                    peer_heartbeat_ages,
                };
                self.detect_false_suspicion(&from, incarnation);
                self.peers.insert(from.clone(), view);
                let now = self.now;
                for leadership in self.leaderships.values_mut() {
                    leadership.record_peer_revision(&from, incarnation, revision, now);
                }
            }
            MeshMessage::PartitionStatus(load) => self.handle_partition_status(load),
            MeshMessage::Subscribe {
                partition,
                incarnation,
                term,
                applied,
            } => {
                self.handle_subscription(&from, partition, incarnation, term, applied);
            }
            MeshMessage::Replication(part) => self.handle_replication_batch(&from, part),
            MeshMessage::ReleaseMachine { machine, to } => {
                self.handle_release_request(&machine, to)
            }
            MeshMessage::TransferMachines { .. } => self.handle_transfer_request(&message),
            MeshMessage::LeaderChanged { leader, .. } if leader != from.as_str() => {
                self.counters
                    .rejections
                    .add(MessageSource::Peer, MessageFault::Misrouted);
            }
            MeshMessage::LeaderChanged {
                partition,
                term,
                leader,
            } => {
                if let Some(leadership) = self.leaderships.get_mut(&PartitionId(partition)) {
                    if FencingToken(term) > leadership.term() {
                        tracing::warn!(partition, term, leader, "a successor has taken over");
                        leadership.set_successor(ControllerName::from(leader.as_str()));
                    }
                }
            }
            MeshMessage::LeadershipResigned { partition } => {
                let by = self.resigned_at.entry(PartitionId(partition)).or_default();
                by.insert(from, self.now);
            }
            MeshMessage::ReclaimRequest {
                partition,
                lease,
                incarnation,
            } => {
                if self.peers.get(&from).is_some_and(|p| p.ready) {
                    self.transfer_leadership(PartitionId(partition), &from, lease, incarnation);
                }
            }
            MeshMessage::JobsCancelled { jobs } => {
                for id in jobs {
                    self.stop_cancelled_job(model::JobId(id));
                }
            }
            MeshMessage::JobProgress { jobs } => {
                for (id, done, running) in jobs {
                    let id = model::JobId(id);
                    if self.cache.jobs.contains_key(&id) {
                        self.job_status
                            .record_progress(id, TaskCounts { done, running });
                    }
                }
            }
        }
    }
}
