//! The queue of scheduled events in simulated time. The earliest event comes first; events of the same time
//! keep their order of insertion, so that a run is deterministic.

use super::events::ScheduledEvent;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Scheduled events with their times in ms.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    entries: BinaryHeap<Reverse<QueueEntry>>,
}

impl EventQueue {
    /// Schedules an event, after all others of the same time.
    pub(super) fn push(&mut self, at: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.entries.push(Reverse(QueueEntry {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Removes and returns the next event and its time, if that is not after `until`.
    pub(super) fn pop_due(&mut self, until: u64) -> Option<(u64, ScheduledEvent)> {
        let Reverse(next) = self.entries.peek()?;
        if next.at > until {
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}

#[derive(Debug)]
struct QueueEntry {
    at: u64,
    sequence: u64,
    event: ScheduledEvent,
}

impl QueueEntry {
    fn key(&self) -> (u64, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}
