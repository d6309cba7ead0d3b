//! Who holds which partition: taking vacant ones, handing them home, word from peers.

use super::heartbeats::WORKER_TIMEOUT;
use super::leadership::PartitionLeadership;
use super::standby::WARMING;
use super::{CallKind, Controller, PeerStatus};
use crate::records::{partition_key, wish_key, PartitionRecord, ReclaimRecord, COUNTER};
use crate::rejections::{MessageFault, MessageSource};
use crate::request_budget::CallPriority;
use failover::failure_detector::HEARTBEAT_TIMEOUT;
use model::DurationExt;
use model::{ControllerName, FencingToken, MachineName, PartitionId, Timestamp, WorkerEpoch};
use std::time::Duration;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Time between signs of life.
const ALIVE: Duration = Duration::from_millis(400);
/// A peer that has been silent for longer is not counted on.
const PEER_SILENCE: Duration = Duration::from_millis(1_500);
/// How long a vacant partition is left to its home node while that seems alive.
const HOME_FIRST: Duration = Duration::from_millis(600);
/// How long our home partition may be held by another node that we ask over the mesh, before
/// we ask through the state service: the two may not reach each other.
const HOMELESS: Duration = Duration::from_secs(2);
/// Pause before a partition whose workers did not reach us is taken or asked for again; it
/// doubles with every time, up to a limit.
const SHUN: Duration = Duration::from_secs(15);
const LONGEST_SHUN: Duration = Duration::from_secs(120);
/// Time between calls to its workers after that pause, and how many are called: it is asked for
/// again once one answers.
const PROBE: Duration = Duration::from_secs(2);
const PROBED: usize = 6;
/// A partition that we have given up and nobody has taken for so long is ours again: better a
/// holder that few reach than none.
const NOBODY: Duration = Duration::from_secs(5);
/// Time between two tries to take a partition whose record stands.
const EARLY_PACE: Duration = Duration::from_millis(300);
/// How long a restless node leaves its vacant home to others.
const RESTLESS_WAIT: Duration = Duration::from_millis(1_500);
/// How long a vacant partition is left to each node that is before us in line.
const LINE: Duration = Duration::from_millis(250);

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

    pub(super) fn home_of(&self, partition: PartitionId) -> Option<&ControllerName> {
        self.nodes.get(partition.0 as usize).map(|(name, _)| name)
    }

    pub(super) fn peer_lives(&self, name: &ControllerName) -> bool {
        self.peers.get(name).is_some_and(|p| self.now.duration_since(p.heard_at) <= PEER_SILENCE)
    }

    /// Whether a peer, by its own last word, has heard us lately. Each direction is a connection of its own, and
    /// one may be cut without the other.
    pub(super) fn is_heard_by(&self, peer: &ControllerName) -> bool {
        let heard = |view: &PeerStatus| {
            let us = view.heard.iter().find(|(name, _)| name == self.me());
            us.is_some_and(|(_, ago)| *ago <= PEER_SILENCE)
        };
        self.peers.get(peer).is_some_and(heard)
    }

    pub(super) fn step_partitions(&mut self) {
        if !self.synced
            || !self.booted
            || self.lease.is_none()
            || !self.in_contact(Duration::from_secs(3))
        {
            return;
        }
        for number in 0..self.partition_count() {
            let partition = PartitionId(number);
            if let Some(held) = self.mirror.partitions.get(&partition) {
                self.vacant_since.remove(&partition);
                let ours = held.record.holder == *self.me() && held.record.boot == self.boot;
                if ours && !self.holdings.contains_key(&partition) {
                    self.partition_changed(partition);
                    self.renew_term(partition);
                }
                if !ours {
                    self.take_early(partition);
                }
                continue;
            }
            let now = self.now;
            let vacant = *self.vacant_since.entry(partition).or_insert(now);
            let shunned = self.shuns(partition) && now < vacant + NOBODY;
            let in_line = now < vacant + self.wait_in_line(partition);
            if self.acquiring.contains(&partition) || in_line || shunned {
                continue;
            }
            self.acquire(partition, 0);
        }
        self.probe_workers();
        self.ask_for_home();
        self.grant_wishes();
    }

    /// Takes a partition whose record stands, if its holder is known to be over or suspected to
    /// have crashed.
    fn take_early(&mut self, partition: PartitionId) {
        let Some(held) = self.mirror.partitions.get(&partition) else { return };
        let (holder, boot, version) =
            (held.record.holder.clone(), held.record.boot, held.version.0);
        let soon = self.now.duration_since(self.standby.tried_at) < EARLY_PACE;
        if self.acquiring.contains(&partition) || self.shuns(partition) || soon {
            return;
        }
        let me = self.me().clone();
        if self.surely_ended(&(holder.clone(), boot)) {
            // A later incarnation has announced itself: its own partition is left to it.
            let home = self.home_of(partition) == Some(&me) && !self.leaves_to_others();
            if home || self.standbys().get(&partition) == Some(&me) && !self.home_counts(partition)
            {
                self.standby.tried_at = self.now;
                self.acquire(partition, version);
            }
            return;
        }
        // The most frequent blocker first: this is checked at each event.
        if self
            .peers
            .get(&holder)
            .is_some_and(|p| self.now.duration_since(p.heard_at) < HEARTBEAT_TIMEOUT)
        {
            return;
        }
        let stands_by = self.standbys().get(&partition) == Some(&me);
        if stands_by && self.failover_blockers(partition).is_empty() {
            tracing::info!(%partition, %holder, "its holder has ended by several signs");
            self.standby.tried_at = self.now;
            self.record_early_failover(partition, holder, boot);
            self.acquire(partition, version);
        }
    }

    /// Whether a partition's home lives, and for longer than a moment.
    fn home_counts(&self, partition: PartitionId) -> bool {
        let counts = |home| self.peer_lives(home) && !self.is_restless(home);
        self.home_of(partition).is_some_and(counts)
    }

    fn shuns(&self, partition: PartitionId) -> bool {
        self.shunned.get(&partition).is_some_and(|shun| {
            let for_good = shun.until + LONGEST_SHUN;
            self.now < shun.until || (!shun.reached && self.now < for_good)
        })
    }

    /// Calls some workers of partitions that we gave up. Taking one back while they still do not
    /// reach us would cost their leases.
    fn probe_workers(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (partition, shun) in &mut self.shunned {
            let waits = now >= shun.until && !shun.reached && now < shun.until + LONGEST_SHUN;
            if waits && now.duration_since(shun.probed_at) >= PROBE {
                shun.probed_at = now;
                due.extend(shun.workers.iter().map(|worker| (*partition, worker.clone())));
            }
        }
        for (partition, (machine, address)) in due {
            let purpose = CallKind::Probe { partition, machine };
            self.ask_worker(address, FencingToken(0), WorkerEpoch(0), purpose, WORKER_TIMEOUT);
        }
    }

    pub(super) fn on_probed(&mut self, partition: PartitionId, reached: bool) {
        if let Some(shun) = self.shunned.get_mut(&partition) {
            shun.reached |= reached && self.now >= shun.until;
        }
    }

    /// Home nodes that do not reach us over the mesh ask through the state service.
    fn grant_wishes(&mut self) {
        let wishes: Vec<(PartitionId, ReclaimRecord)> = self
            .mirror
            .wishes
            .iter()
            .filter(|(partition, _)| self.holdings.contains_key(partition))
            .filter(|(_, wish)| wish.record.node != *self.me())
            .map(|(partition, wish)| (*partition, wish.record.clone()))
            .collect();
        for (partition, wish) in wishes {
            self.hand_over(partition, &wish.node, wish.lease, wish.boot);
        }
    }

    /// Gives a partition up whose workers do not reach us while other nodes may be reached: a
    /// holder that hears nobody keeps leases from being renewed and work from being placed.
    pub(super) fn give_up(&mut self, partition: PartitionId) {
        // Whoever has given it up as well does no better: where all machines of a partition had died, its
        // holders gave it up to each other for ever, each before it could find that out.
        let gave_up = |name: &ControllerName| {
            let at = self.given_up_at.get(&partition).and_then(|by| by.get(name));
            at.is_some_and(|at| self.now.duration_since(*at) < LONGEST_SHUN)
        };
        let others = self.peers.iter().any(|(name, peer)| {
            let lives = self.now.duration_since(peer.heard_at) <= PEER_SILENCE;
            peer.ready && peer.state_contact && lives && !gave_up(name)
        });
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        if !others || !holding.may_hand_over() {
            return;
        }
        tracing::warn!(%partition, "its workers do not reach us: giving a partition up");
        // From here on nobody is answered. The counter names us as the last taker, so whoever
        // takes it next counts our answers until we show that we know.
        holding.set_yielding(true);
        let key = partition_key(partition);
        let txn = Transaction::default().when(&key, holding.version().0).write(Write::delete(&key));
        let workers = holding.share().map(|share| share.addresses(PROBED)).unwrap_or_default();
        let pause = self.shunned.get(&partition).map_or(SHUN, |shun| shun.pause);
        let shun = ReacquisitionBackoff {
            until: self.now + pause,
            pause: Duration::from_millis(pause.whole_millis() * 2).min(LONGEST_SHUN),
            workers,
            ..ReacquisitionBackoff::default()
        };
        self.shunned.insert(partition, shun);
        self.broadcast(MeshMessage::GaveUp { partition: partition.0 });
        self.state(
            CallPriority::Lease,
            StateRequest::Transaction(txn),
            CallKind::GiveUp(partition),
        );
    }

    pub(super) fn on_given_up(&mut self, partition: PartitionId, reply: StateReply) {
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        match reply {
            // The watch brings the end of it.
            StateReply::Committed { .. } => {
                let term = holding.term();
                self.given_away.insert(partition, term);
                self.holdings.remove(&partition);
            }
            // It may yet be applied.
            StateReply::Unknown => {
                holding.set_yielding(true);
                holding.yield_until(self.now + Duration::from_secs(2));
            }
            _ => holding.set_yielding(false),
        }
    }

    /// How long we leave a vacant partition to others: its home node goes first, then who stood by
    /// for it, then the node with the fewest partitions.
    fn wait_in_line(&self, partition: PartitionId) -> Duration {
        let Some(home) = self.home_of(partition) else { return Duration::ZERO };
        if home == self.me() {
            return if self.leaves_to_others() { RESTLESS_WAIT } else { Duration::ZERO };
        }
        let mut wait = Duration::ZERO;
        if !self.peers.contains_key(home) && self.now.as_millis() < 3_000 {
            // We have just started ourselves; perhaps all have.
            wait = Duration::from_millis(1_500);
        } else if self.home_counts(partition) && !self.was_given_up(partition) {
            wait = HOME_FIRST;
        }
        let burden = |name: &ControllerName| {
            self.mirror.partitions.values().filter(|p| p.record.holder == *name).count()
        };
        // Who stood by for it last knows most of it.
        let standby = self.standby.assigned.get(&partition);
        let rank = |name: &ControllerName| (standby != Some(name), burden(name), name.clone());
        let mine = rank(self.me());
        let before = self
            .nodes
            .iter()
            .filter(|(name, _)| {
                name != self.me() && name != home && self.peer_lives(name) && rank(name) < mine
            })
            .count() as u64;
        wait + LINE.saturating_times(before)
    }

    fn was_given_up(&self, partition: PartitionId) -> bool {
        let by = self.given_up_at.get(&partition);
        by.is_some_and(|by| by.values().any(|at| self.now.duration_since(*at) < NOBODY))
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
        let mut counter =
            self.mirror.counter.as_ref().map(|c| c.record.clone()).unwrap_or_default();
        counter.next = record.term + 1;
        counter.takers.insert(partition.0, (record.holder.clone(), record.boot));
        counter.suspects.insert(partition.0, record.suspects.clone());
        let key = partition_key(partition);
        let value = serde_json::to_value(record).unwrap_or_default();
        let count = serde_json::to_value(counter).unwrap_or_default();
        Transaction::default()
            .when(&key, version)
            .when(COUNTER, self.mirror.counter_version())
            .write(Write::put_leased(&key, value, lease))
            .write(Write::put(COUNTER, count))
    }

    /// Writes our name into a partition's record, which must still have this version (0: none).
    pub(super) fn acquire(&mut self, partition: PartitionId, version: u64) {
        let Some(lease) = self.lease else { return };
        let record = PartitionRecord {
            holder: self.me().clone(),
            boot: self.boot,
            term: self.mirror.next_token(),
            // Those who may still answer, to be waited out by whoever comes after them.
            suspects: self.suspects_of(partition),
        };
        let txn = self.partition_txn(partition, version, &record, lease.0);
        self.acquiring.insert(partition);
        self.state(
            CallPriority::Lease,
            StateRequest::Transaction(txn),
            CallKind::Acquire(partition),
        );
    }

    /// Earlier holders of a partition that may not know yet that they have lost it.
    fn suspects_of(&self, partition: PartitionId) -> Vec<(ControllerName, u64)> {
        let Some(counter) = &self.mirror.counter else { return Vec::new() };
        let mut suspects: Vec<(ControllerName, u64)> =
            counter.record.suspects.get(&partition.0).cloned().unwrap_or_default();
        suspects.extend(counter.record.takers.get(&partition.0).cloned());
        // What we answered ourselves ended when we lost it.
        suspects.retain(|suspect| !self.surely_ended(suspect) && suspect.0 != *self.me());
        suspects.dedup();
        suspects
    }

    /// Whether this incarnation is known to be over: a later one has announced itself.
    pub(super) fn surely_ended(&self, (name, boot): &(ControllerName, u64)) -> bool {
        self.mirror.boots.get(name).is_some_and(|b| b.record.boot != *boot)
    }

    pub(super) fn on_acquired(&mut self, partition: PartitionId, reply: &StateReply) {
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
        let Some(held) = self.mirror.partitions.get(&partition).cloned() else {
            if self.holdings.remove(&partition).is_some() {
                tracing::warn!(%partition, "lost a partition: its record is gone");
            }
            return;
        };
        let record = held.record;
        if record.holder != *self.me() || record.boot != self.boot {
            if self.holdings.remove(&partition).is_some() {
                tracing::info!(%partition, holder = %record.holder, "a partition has moved on");
            }
            return;
        }
        let term = FencingToken(record.term);
        // The mirror may still show what has just been handed over.
        if self.given_away.get(&partition) == Some(&term) {
            return;
        }
        if self.holdings.get(&partition).is_some_and(|h| h.term() == term) {
            if let Some(holding) = self.holdings.get_mut(&partition) {
                holding.set_version(held.version);
            }
            return;
        }
        let suspects: Vec<_> =
            record.suspects.into_iter().filter(|s| !self.surely_ended(s)).collect();
        let until = if suspects.is_empty() {
            self.now
        } else {
            self.now + self.settings.blind_span().with_clock_drift()
        };
        tracing::info!(%partition, %term, suspects = suspects.len(), "took a partition");
        let holding = PartitionLeadership::new(term, held.version, until, suspects, self.now);
        self.holdings.insert(partition, holding);
        self.load_ledger(partition);
        let message = MeshMessage::Taken {
            partition: partition.0,
            term: term.0,
            holder: self.me().to_string(),
        };
        self.broadcast(message);
    }

    /// Offers to take our own partition back from whoever holds it for us.
    fn ask_for_home(&mut self) {
        let Some(number) = self.nodes.iter().position(|(name, _)| name == self.me()) else {
            return;
        };
        let partition = PartitionId(number as u32);
        let Some(lease) = self.lease else { return };
        let Some(held) = self.mirror.partitions.get(&partition) else { return };
        if held.record.holder == *self.me() || self.acquiring.contains(&partition) {
            self.homeless_since = None;
            return;
        }
        if self.shuns(partition) || self.mirror.types.is_none() || self.leaves_to_others() {
            return;
        }
        let homeless = self.now.duration_since(*self.homeless_since.get_or_insert(self.now));
        let known = self.mirror.wishes.get(&partition).is_some_and(|w| w.record.lease == lease.0);
        // Whoever hears the holder is handed it once it is warm.
        let unheard = !self.peer_lives(&held.record.holder) || homeless >= HOMELESS + WARMING;
        if homeless >= HOMELESS && unheard && !known && !self.wishing {
            self.wishing = true;
            let wish = ReclaimRecord { node: self.me().clone(), boot: self.boot, lease: lease.0 };
            let value = serde_json::to_value(wish).unwrap_or_default();
            let write = Write::put_leased(wish_key(partition), value, lease.0);
            // Late, it would ask again for what has been granted, and may have moved on since.
            let version = self.mirror.wishes.get(&partition).map_or(0, |w| w.version.0);
            let txn = Transaction::default()
                .when(wish_key(partition), version)
                .when(partition_key(partition), held.version.0)
                .write(write);
            self.state(CallPriority::Lease, StateRequest::Transaction(txn), CallKind::Wish);
        }
        let Some(held) = self.mirror.partitions.get(&partition) else { return };
        let holder = held.record.holder.clone();
        let due = self
            .home_asked_at
            .is_none_or(|at| self.now.duration_since(at) >= Duration::from_secs(1));
        if due && self.peer_lives(&holder) && self.is_warm(partition, homeless) {
            self.home_asked_at = Some(self.now);
            let message =
                MeshMessage::WantHome { partition: partition.0, lease: lease.0, boot: self.boot };
            self.mesh(&holder, message);
        }
    }

    fn hand_over(&mut self, partition: PartitionId, to: &ControllerName, lease: u64, boot: u64) {
        if self.home_of(partition) != Some(to) || !self.in_contact(Duration::from_secs(3)) {
            return;
        }
        let Some(holding) = self.holdings.get_mut(&partition) else { return };
        if !holding.may_hand_over() {
            return;
        }
        // From here on nobody is answered, so the successor need not wait for us.
        holding.set_yielding(true);
        let version = holding.version();
        // Should the outcome stay unknown, we may answer again before we know; so the successor
        // waits until we show that we do.
        let mut suspects = holding.suspects().to_vec();
        suspects.push((self.settings.name.clone(), self.boot));
        let record =
            PartitionRecord { holder: to.clone(), boot, term: self.mirror.next_token(), suspects };
        let mut txn = self.partition_txn(partition, version.0, &record, lease);
        if self.mirror.wishes.contains_key(&partition) {
            txn = txn.write(Write::delete(wish_key(partition)));
        }
        let purpose = CallKind::HandOver { partition, to: to.clone() };
        self.state(CallPriority::Lease, StateRequest::Transaction(txn), purpose);
    }

    pub(super) fn on_handed_over(
        &mut self,
        partition: PartitionId,
        to: ControllerName,
        reply: StateReply,
    ) {
        match reply {
            StateReply::Committed { .. } => {
                tracing::info!(%partition, %to, "handed a partition over");
                self.counters.hand_overs += 1;
                if let Some(holding) = self.holdings.remove(&partition) {
                    self.given_away.insert(partition, holding.term());
                }
            }
            // It may yet be applied.
            StateReply::Unknown => {
                if let Some(holding) = self.holdings.get_mut(&partition) {
                    holding.set_yielding(true);
                    holding.yield_until(self.now + Duration::from_secs(2));
                }
            }
            _ => {
                if let Some(holding) = self.holdings.get_mut(&partition) {
                    holding.set_yielding(false);
                }
            }
        }
    }

    pub(super) fn step_mesh(&mut self) {
        if self.now.duration_since(self.alive_at) < ALIVE && self.alive_at.as_millis() > 0 {
            return;
        }
        self.alive_at = self.now;
        let heard = self.peers.iter().map(|(name, peer)| {
            (name.to_string(), self.now.duration_since(peer.heard_at).whole_millis())
        });
        let message = MeshMessage::Alive {
            heard: heard.collect(),
            boot: self.boot,
            revision: if self.synced { self.mirror.revision.0 } else { 0 },
            state_contact: self.synced && self.in_contact(Duration::from_secs(3)),
            ready: self.synced && self.booted,
        };
        self.broadcast(message);
    }

    pub(super) fn on_mesh(&mut self, from: ControllerName, message: MeshMessage) {
        if !self.settings.peers.iter().any(|p| p.name == from) {
            self.counters.rejections.add(MessageSource::Peer, MessageFault::UnknownSender);
            return;
        }
        match message {
            MeshMessage::Alive { boot, revision, state_contact, ready, heard } => {
                let heard = heard.iter().map(|(name, ago)| {
                    (ControllerName::from(name.as_str()), Duration::from_millis(*ago))
                });
                let heard = heard.collect();
                let view = PeerStatus { heard_at: self.now, boot, state_contact, ready, heard };
                self.detect_false_suspicion(&from, boot);
                self.peers.insert(from.clone(), view);
                let now = self.now;
                for holding in self.holdings.values_mut() {
                    holding.peer_knows(&from, boot, revision, now);
                }
            }
            MeshMessage::Load(load) => self.on_load(load),
            MeshMessage::Follow { partition, boot, term, have } => {
                self.on_follow(&from, partition, boot, term, have);
            }
            MeshMessage::Hints(part) => self.on_hints(&from, part),
            MeshMessage::Release { machine, to } => self.on_release_asked(&machine, to),
            MeshMessage::Cede { .. } => self.on_cede_asked(&message),
            MeshMessage::Taken { holder, .. } if holder != from.as_str() => {
                self.counters.rejections.add(MessageSource::Peer, MessageFault::Misrouted);
            }
            MeshMessage::Taken { partition, term, holder } => {
                if let Some(holding) = self.holdings.get_mut(&PartitionId(partition)) {
                    if FencingToken(term) > holding.term() {
                        tracing::warn!(partition, term, holder, "a successor has taken over");
                        holding.set_successor(ControllerName::from(holder.as_str()));
                    }
                }
            }
            MeshMessage::GaveUp { partition } => {
                let by = self.given_up_at.entry(PartitionId(partition)).or_default();
                by.insert(from, self.now);
            }
            MeshMessage::WantHome { partition, lease, boot } => {
                if self.peers.get(&from).is_some_and(|p| p.ready) {
                    self.hand_over(PartitionId(partition), &from, lease, boot);
                }
            }
            MeshMessage::Cancelled { jobs } => {
                for id in jobs {
                    self.stop_cancelled(model::JobId(id));
                }
            }
            MeshMessage::Progress { jobs } => {
                for (id, done, running) in jobs {
                    let id = model::JobId(id);
                    if self.mirror.jobs.contains_key(&id) {
                        self.progress.insert(id, (done, running));
                    }
                }
            }
        }
    }
}
