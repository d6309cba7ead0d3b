//! The follower's side: copies of what holders say of their partitions.
//!
//! A part that does not join on to what is there is not used: what lies between is asked for. A part
//! of another term or incarnation than the one followed is not used at all, and a new holder is
//! followed from the start; what its predecessor said is kept until the first part of the new one.

use model::{MachineName, Moment, NodeName, PartitionId, Span};
use std::collections::BTreeMap;
use wire::mesh::{Hint, HintKey, HintPart, JobHint, MachineHint, MeshMessage};

/// Time between two words to a holder that it is still followed.
const PACE: Span = Span(1_000);
/// A copy that has not been heard of for longer is not in step.
const FRESH: Span = Span(1_600);
/// How long a copy is kept whose partition has no holder, or one that we do not follow.
const KEPT: Span = Span(30_000);
/// Hints that are kept of one partition at most.
const MOST: usize = 20_000;

/// Whom a copy follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    pub holder: NodeName,
    /// Its incarnation.
    pub boot: u64,
    pub term: u64,
}

/// What is known of a partition by its holder's word.
#[derive(Debug)]
pub struct PartitionCopy {
    source: Source,
    have: u64,
    newest: u64,
    /// Since when this source is followed.
    since: Moment,
    heard_at: Option<Moment>,
    wanted_at: Moment,
    asked_at: Option<Moment>,
    /// In step when it was heard last.
    whole: bool,
    /// Machines, and since when each has been idle on our clock.
    pub machines: BTreeMap<MachineName, (MachineHint, Option<Moment>)>,
    pub jobs: BTreeMap<u64, JobHint>,
}

impl PartitionCopy {
    fn new(source: Source, now: Moment) -> Self {
        PartitionCopy {
            source,
            have: 0,
            newest: 0,
            since: now,
            heard_at: None,
            wanted_at: now,
            asked_at: None,
            whole: false,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    /// Whom it follows.
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Whether it showed all that its source had said when it was heard last.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Changes that it lacks, since when it follows, and when it was heard last.
    pub fn lag(&self) -> (u64, Moment, Option<Moment>) {
        (self.newest - self.have, self.since, self.heard_at)
    }

    /// Machines that report to the holder.
    pub fn reporting(&self) -> usize {
        self.machines.values().filter(|(hint, _)| hint.reporting).count()
    }

    fn follow(&mut self, partition: PartitionId, now: Moment) -> MeshMessage {
        self.asked_at = Some(now);
        let Source { boot, term, .. } = self.source;
        MeshMessage::Follow { partition: partition.0, boot, term, have: self.have }
    }

    fn apply(&mut self, hint: Hint, sent_at: Moment, now: Moment) {
        let full = self.machines.len() + self.jobs.len() >= MOST;
        match hint {
            Hint::Machine(hint) => {
                let name = MachineName::from(hint.machine.as_str());
                if !full || self.machines.contains_key(&name) {
                    let idle =
                        hint.idle_at.map(|at| now.0.saturating_sub(sent_at.0 - at.min(sent_at.0)));
                    self.machines.insert(name, (hint, idle.map(Moment)));
                }
            }
            Hint::Job(hint) => {
                if !full || self.jobs.contains_key(&hint.job) {
                    self.jobs.insert(hint.job, hint);
                }
            }
            Hint::Gone(HintKey::Machine(name)) => {
                self.machines.remove(&MachineName::from(name.as_str()));
            }
            Hint::Gone(HintKey::Job(id)) => {
                self.jobs.remove(&id);
            }
        }
    }
}

/// All copies of a node.
#[derive(Debug, Default)]
pub struct Follower {
    copies: BTreeMap<PartitionId, PartitionCopy>,
}

impl Follower {
    /// Works out the difference to what should be followed; returns what to say to whom.
    pub fn follow(
        &mut self,
        wanted: &BTreeMap<PartitionId, Source>,
        now: Moment,
    ) -> Vec<(NodeName, MeshMessage)> {
        let mut out = Vec::new();
        for (partition, source) in wanted {
            let copy = self
                .copies
                .entry(*partition)
                .or_insert_with(|| PartitionCopy::new(source.clone(), now));
            if copy.source != *source {
                let old = std::mem::replace(copy, PartitionCopy::new(source.clone(), now));
                (copy.machines, copy.jobs) = (old.machines, old.jobs);
            }
            copy.wanted_at = now;
            if copy.asked_at.is_none_or(|at| now.since(at) >= PACE) {
                out.push((source.holder.clone(), copy.follow(*partition, now)));
            }
        }
        self.copies.retain(|_, copy| now.since(copy.wanted_at) < KEPT);
        out
    }

    /// Takes in a part; returns what is asked of its sender if something is missing.
    pub fn take_in(&mut self, from: &NodeName, part: HintPart, now: Moment) -> Option<MeshMessage> {
        let partition = PartitionId(part.partition);
        let copy = self.copies.get_mut(&partition)?;
        let Source { holder, boot, term } = &copy.source;
        if (holder, *boot, *term) != (from, part.boot, part.term) {
            return None;
        }
        if part.after > copy.have || part.upto < part.after || part.newest < part.upto {
            return Some(copy.follow(partition, now));
        }
        if copy.have == 0 || copy.have < part.floor {
            // From the start: what a predecessor said is over, and so is what we have if ends of it
            // are forgotten.
            if part.after != 0 {
                return Some(copy.follow(partition, now));
            }
            copy.machines.clear();
            copy.jobs.clear();
            copy.have = 0;
        } else if part.upto < copy.have {
            // Sent before something that we have: what it says may have changed since.
            return None;
        }
        for hint in part.hints {
            copy.apply(hint, Moment(part.at_ms), now);
        }
        copy.have = part.upto;
        copy.newest = part.newest;
        copy.whole = copy.have == copy.newest;
        copy.heard_at = Some(now);
        None
    }

    /// The copy of a partition.
    pub fn copy(&self, partition: PartitionId) -> Option<&PartitionCopy> {
        self.copies.get(&partition)
    }

    /// All copies.
    pub fn copies(&self) -> impl Iterator<Item = (&PartitionId, &PartitionCopy)> {
        self.copies.iter()
    }

    /// Whether a partition could be taken on now with all that its holder knew.
    pub fn in_step(&self, partition: PartitionId, now: Moment) -> bool {
        self.copies.get(&partition).is_some_and(|copy| {
            copy.whole && copy.heard_at.is_some_and(|at| now.since(at) <= FRESH)
        })
    }

    /// Hands a copy out to whoever takes the partition on.
    pub fn take(&mut self, partition: PartitionId) -> Option<PartitionCopy> {
        self.copies.remove(&partition)
    }
}
