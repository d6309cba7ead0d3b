//! Following the holders of partitions that we stand by for, and telling our own followers.

use super::holder::Holding;
use super::{Node, LEASE};
use crate::rejections::{MessageFault, MessageSource};
use model::{MachineName, Moment, NodeName, PartitionId, Span, ZoneName};
use scheduler::Share;
use serde_json::{json, Value};
use standby::signs::{Doubt, Facts};
use standby::{assign, Feed, Follower, PartitionCopy, Source};
use std::collections::{BTreeMap, HashMap};
use wire::mesh::{HintPart, MeshMessage};

/// How late a lease may end, the news of it included.
const LEASE_SLACK: Span = Span(1_000);
/// Up to so many nodes follow everybody.
const FEW: usize = 4;
/// Time between two looks at what we know and our followers do not.
const LOOK: Span = Span(500);
/// How long our home partition is left to its holder while we are not in step with it.
pub(super) const WARMING: Span = Span(4_000);

/// Standing by: the part of a node that is about following and being followed.
#[derive(Debug, Default)]
pub(crate) struct Standby {
    pub(super) follower: Follower,
    feeds: BTreeMap<PartitionId, (u64, Feed)>,
    pub(super) signs: standby::signs::Signs,
    /// Who stood by for each partition when it had a holder last.
    pub(super) assigned: BTreeMap<PartitionId, NodeName>,
    looked_at: Moment,
    /// When a partition whose record stood was last tried for.
    pub(super) tried_at: Moment,
    /// Partitions taken from holders whose records stood, with the holders' incarnations and when.
    taken: HashMap<PartitionId, (NodeName, u64, Moment)>,
}

impl Node {
    /// Who stands by for each partition, as far as we know who lives.
    pub(super) fn standbys(&self) -> BTreeMap<PartitionId, NodeName> {
        let names: Vec<NodeName> =
            self.nodes.iter().map(|(name, _): &(_, ZoneName)| name.clone()).collect();
        let holders =
            self.mirror.partitions.iter().map(|(id, p)| (*id, p.record.holder.clone())).collect();
        let live = |name: &NodeName| {
            name == self.me()
                || (self.peer_lives(name) && self.peers.get(name).is_some_and(|p| p.ready))
        };
        assign(&names, live, &holders)
    }

    /// What we follow: partitions that we stand by for, and our own while another holds it. Where
    /// there are few nodes each follows all, so that a holder may end together with its standby.
    fn followed(
        &self,
        standbys: &BTreeMap<PartitionId, NodeName>,
    ) -> BTreeMap<PartitionId, Source> {
        let few = self.nodes.len() <= FEW;
        let mut wanted = BTreeMap::new();
        for (partition, held) in &self.mirror.partitions {
            let record = &held.record;
            let ours = few
                || standbys.get(partition) == Some(self.me())
                || self.home_of(*partition) == Some(self.me());
            if ours && record.holder != *self.me() {
                let source =
                    Source { holder: record.holder.clone(), boot: record.boot, term: record.term };
                wanted.insert(*partition, source);
            }
        }
        wanted
    }

    pub(super) fn step_standby(&mut self) {
        if !self.synced || !self.booted || self.now.since(self.standby.looked_at) < LOOK {
            return;
        }
        let now = self.now;
        self.standby.looked_at = now;
        let standbys = self.standbys();
        let wanted = self.followed(&standbys);
        self.standby.assigned.extend(standbys);
        for (to, message) in self.standby.follower.follow(&wanted, now) {
            self.mesh(&to, message);
        }
        let mut out = Vec::new();
        self.standby.feeds.retain(|partition, _| self.holdings.contains_key(partition));
        for (partition, (term, feed)) in &mut self.standby.feeds {
            let holding = self.holdings.get(partition).filter(|h| h.term().0 == *term);
            let Some(share) = holding.and_then(Holding::share) else { continue };
            if !feed.is_followed(now) {
                continue;
            }
            feed.refresh(share.hints(now));
            let part = HintPart {
                partition: partition.0,
                boot: self.boot,
                term: *term,
                at_ms: now.0,
                ..HintPart::default()
            };
            out.extend(feed.parts(&part, now));
        }
        for (to, part) in out {
            self.mesh(&to, MeshMessage::Hints(part));
        }
    }

    pub(super) fn on_follow(
        &mut self,
        from: &NodeName,
        partition: u32,
        boot: u64,
        term: u64,
        have: u64,
    ) {
        let partition = PartitionId(partition);
        let held = self.holdings.get(&partition).is_some_and(|h| h.term().0 == term);
        // Whoever follows another incarnation of ours sees the record of this one soon.
        if !held || boot != self.boot {
            self.counters.rejections.add(MessageSource::Peer, MessageFault::Stale);
            return;
        }
        let feed = self.standby.feeds.entry(partition).or_default();
        if feed.0 != term {
            *feed = (term, Feed::default());
        }
        feed.1.asked(from, have, self.now);
    }

    pub(super) fn on_hints(&mut self, from: &NodeName, part: HintPart) {
        let now = self.now;
        if let Some(answer) = self.standby.follower.take_in(from, part, now) {
            self.mesh(from, answer);
        }
    }

    /// Whether our home partition could be taken on without a gap, or has been waited for long enough.
    pub(super) fn is_warm(&self, partition: PartitionId, homeless: Span) -> bool {
        homeless >= WARMING || self.standby.follower.in_step(partition, self.now)
    }

    /// A worker that reports to another holder has come to us.
    pub(super) fn note_comer(&mut self, partition: PartitionId, machine: &MachineName) {
        let reports = |copy: &PartitionCopy| {
            copy.machines.get(machine).is_some_and(|(hint, _)| hint.reporting)
        };
        if self.standby.follower.copy(partition).is_some_and(reports) {
            self.standby.signs.came(partition, machine, self.now);
        }
    }

    /// What speaks against taking a partition whose record stands.
    pub(super) fn doubts(&self, partition: PartitionId) -> Vec<Doubt> {
        let Some(held) = self.mirror.partitions.get(&partition) else { return Vec::new() };
        let (holder, boot) = (&held.record.holder, held.record.boot);
        let copy =
            self.standby.follower.copy(partition).filter(|copy| {
                copy.source().boot == boot && copy.source().term == held.record.term
            });
        let view = self.peers.get(holder).filter(|peer| peer.boot == boot);
        let others = self.peers.iter().filter(|(name, _)| *name != holder && self.peer_lives(name));
        let by_others = others
            .filter_map(|(_, peer)| {
                let said = peer.heard.iter().find(|(name, _)| name == holder)?;
                Some(said.1 + self.now.since(peer.heard_at))
            })
            .min();
        let facts = Facts {
            now: self.now,
            heard_at: view.map(|peer| peer.heard_at),
            others: by_others,
            reporting: copy.map_or(0, PartitionCopy::reporting),
            in_step: copy.is_some_and(PartitionCopy::is_whole),
            contact_at: self.contact_at,
            awake_since: self.awake_since,
        };
        self.standby.signs.doubts(partition, &facts)
    }

    /// A partition was taken from a holder whose record stood.
    pub(super) fn note_taken(&mut self, partition: PartitionId, holder: NodeName, boot: u64) {
        self.counters.early_takeovers += 1;
        self.standby.taken.insert(partition, (holder, boot, self.now));
    }

    /// A node is there: if we took a partition from this very incarnation just now, that was wrong.
    /// One that comes back later than its lease in the state service lasts had lost it anyway.
    pub(super) fn note_living(&mut self, node: &NodeName, boot: u64) {
        let now = self.now;
        self.standby.taken.retain(|_, by| now.since(by.2) <= LEASE + LEASE_SLACK);
        let wronged = |by: &(NodeName, u64, Moment)| (&by.0, by.1) == (node, boot);
        let taken: Vec<PartitionId> =
            self.standby.taken.iter().filter(|(_, by)| wronged(by)).map(|(p, _)| *p).collect();
        for partition in taken {
            tracing::warn!(%partition, %node, "took a partition from a holder that lives");
            self.standby.taken.remove(&partition);
            self.standby.signs.wronged(partition, self.now);
            self.counters.wrong_takeovers += 1;
        }
    }

    /// Gives a share what its last holder told us.
    pub(super) fn take_hints(&mut self, partition: PartitionId, share: &mut Share) -> usize {
        let Some(copy) = self.standby.follower.take(partition) else { return 0 };
        for (hint, idle_since) in copy.machines.values() {
            share.follow_machine(hint, *idle_since);
        }
        for hint in copy.jobs.values() {
            share.follow_job(hint, self.now);
        }
        copy.machines.len()
    }

    /// Partitions of others that we could take on with all that their holders know.
    pub(super) fn partitions_in_step(&self) -> usize {
        let follower = &self.standby.follower;
        follower.copies().filter(|(partition, _)| follower.in_step(**partition, self.now)).count()
    }

    /// Who stands by for whom, and how far behind each copy is.
    pub(super) fn standby_view(&self) -> Value {
        let now = self.now;
        let standbys = self.standbys();
        let partitions: Vec<Value> = self
            .mirror
            .partitions
            .iter()
            .map(|(partition, held)| {
                let doubts: Vec<String> = if standbys.get(partition) == Some(self.me()) {
                    self.doubts(*partition).iter().map(|doubt| format!("{doubt:?}")).collect()
                } else {
                    Vec::new()
                };
                let open = self.holdings.get(partition).map(|h| format!("{:?}", h.open));
                json!({
                    "waits_for": open,
                    "partition": partition.0, "holder": held.record.holder, "term": held.record.term,
                    "standby": standbys.get(partition), "doubts": doubts,
                })
            })
            .collect();
        let copies: Vec<Value> = self
            .standby
            .follower
            .copies()
            .map(|(partition, copy)| {
                let (behind, since, heard_at) = copy.lag();
                json!({
                    "partition": partition.0, "holder": copy.source().holder,
                    "term": copy.source().term, "behind": behind,
                    "in_step": self.standby.follower.in_step(*partition, now),
                    "followed_s": now.since(since).as_secs(),
                    "heard_s": heard_at.map(|at| now.since(at).as_secs()),
                    "machines": copy.machines.len(), "jobs": copy.jobs.len(),
                })
            })
            .collect();
        let followers: Vec<Value> = self
            .standby
            .feeds
            .iter()
            .flat_map(|(partition, (_, feed))| {
                feed.followers().map(move |(node, behind)| {
                    json!({ "partition": partition.0, "node": node, "behind": behind })
                })
            })
            .collect();
        json!({ "partitions": partitions, "copies": copies, "followers": followers })
    }
}
