//! Placements that could be stopped to make room, those that have run least first.
//!
//! What is lost by stopping a task that does not save is the time it has run, so whoever looks
//! for the cheapest stops begins with the newest and may end as soon as what is left has run for
//! longer than the best that was found costs.

use crate::job::Placement;
use model::{JobKind, JobSpec, Priority, TaskId, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The placements that run or are about to and have not been told to stop. Gangs are not stopped
/// for others.
#[derive(Debug, Default)]
pub(crate) struct PreemptionCandidates {
    newest: BTreeSet<(Reverse<Timestamp>, TaskId)>,
    /// Those that save: what they lose does not grow with their time.
    saving: BTreeSet<TaskId>,
    by_priority: BTreeMap<Priority, usize>,
}

impl PreemptionCandidates {
    /// A task has been placed.
    pub(crate) fn add(&mut self, task: TaskId, spec: &JobSpec, placement: &Placement) {
        if spec.kind == JobKind::Gang || placement.stop.is_some() {
            return;
        }
        let new = if spec.checkpoint > Duration::ZERO {
            self.saving.insert(task)
        } else {
            self.newest.insert((Reverse(placement.placed_at), task))
        };
        if new {
            *self.by_priority.entry(spec.priority).or_default() += 1;
        }
    }

    /// A task is gone, or has been told to stop.
    pub(crate) fn remove(&mut self, task: TaskId, priority: Priority, placed_at: Timestamp) {
        if self.newest.remove(&(Reverse(placed_at), task)) || self.saving.remove(&task) {
            if let Some(count) = self.by_priority.get_mut(&priority) {
                *count -= 1;
            }
        }
    }

    /// Whether any is of lower priority.
    pub(crate) fn any_below(&self, priority: Priority) -> bool {
        self.by_priority
            .range(..priority)
            .any(|(_, count)| *count > 0)
    }

    /// Those that do not save, with the time of their placement, newest first.
    pub(crate) fn newest(&self) -> impl Iterator<Item = (Timestamp, TaskId)> + '_ {
        self.newest.iter().map(|(Reverse(at), task)| (*at, *task))
    }

    /// Those that save.
    pub(crate) fn saving(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.saving.iter().copied()
    }
}
