//! Placements that could be preempted, those that have run for the shortest time first.
//!
//! A task without checkpoints loses all its run time when it is preempted. So a search for the cheapest
//! preemption begins with the newest placements, and ends as soon as the remaining ones have run for longer
//! than the best plan costs.

use crate::placement::Placement;
use model::{JobKind, JobSpec, Priority, TaskId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A placement of a task without checkpoints. The newest placement is the first in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NewestFirst {
    placed_at: Reverse<Timestamp>,
    task: TaskId,
}

impl NewestFirst {
    fn new(placed_at: Timestamp, task: TaskId) -> Self {
        NewestFirst {
            placed_at: Reverse(placed_at),
            task,
        }
    }
}

/// The placements that are not being stopped, except those of gangs, which are never preempted.
#[derive(Debug, Default)]
pub(crate) struct PreemptionCandidates {
    without_checkpoints: BTreeSet<NewestFirst>,
    /// Tasks with checkpoints: the work that they lose does not grow with their run time.
    with_checkpoints: BTreeSet<TaskId>,
    counts_by_priority: BTreeMap<Priority, usize>,
}

impl PreemptionCandidates {
    /// Adds a placement, unless it cannot be preempted.
    pub(crate) fn add(&mut self, task: TaskId, spec: &JobSpec, placement: &Placement) {
        if spec.kind == JobKind::Gang || placement.stop.is_some() {
            return;
        }
        let is_new = if spec.checkpoint_interval > Duration::ZERO {
            self.with_checkpoints.insert(task)
        } else {
            self.without_checkpoints
                .insert(NewestFirst::new(placement.placed_at, task))
        };
        if is_new {
            *self.counts_by_priority.entry(spec.priority).or_default() += 1;
        }
    }

    /// Removes a task that is gone or is being stopped.
    pub(crate) fn remove(&mut self, task: TaskId, priority: Priority, placed_at: Timestamp) {
        let is_removed = self
            .without_checkpoints
            .remove(&NewestFirst::new(placed_at, task))
            || self.with_checkpoints.remove(&task);
        if is_removed {
            if let Some(count) = self.counts_by_priority.get_mut(&priority) {
                *count -= 1;
            }
        }
    }

    /// Whether any candidate has a lower priority.
    pub(crate) fn any_below(&self, priority: Priority) -> bool {
        self.counts_by_priority
            .range(..priority)
            .any(|(_, count)| *count > 0)
    }

    /// Tasks without checkpoints with the times of their placement, the newest first.
    pub(crate) fn without_checkpoints(&self) -> impl Iterator<Item = (Timestamp, TaskId)> + '_ {
        self.without_checkpoints
            .iter()
            .map(|candidate| (candidate.placed_at.0, candidate.task))
    }

    /// Tasks with checkpoints.
    pub(crate) fn with_checkpoints(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.with_checkpoints.iter().copied()
    }
}
