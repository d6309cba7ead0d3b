//! The queues and the events that move entries between them, with their labels in metrics and the admin API.

use std::fmt;

/// One of the three queues that make up the scheduling queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueKind {
    /// Entries that can be tried, ordered by rank.
    Active,
    /// Entries that failed and wait for the end of their backoff.
    Backoff,
    /// Entries that wait for a move request.
    Unschedulable,
}

impl QueueKind {
    /// The label value in metrics and in the admin API.
    pub fn as_str(self) -> &'static str {
        match self {
            QueueKind::Active => "active",
            QueueKind::Backoff => "backoff",
            QueueKind::Unschedulable => "unschedulable",
        }
    }
}

impl fmt::Display for QueueKind {
    /// Writes the queue's name as explanations in the admin API show it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            QueueKind::Active => "Active",
            QueueKind::Backoff => "Backoff",
            QueueKind::Unschedulable => "Unschedulable",
        })
    }
}

/// What moved an entry into a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueEvent {
    /// The entry is new.
    Add,
    /// The entry could not be placed, or its last run failed.
    Failure,
    /// A move request released the entry.
    Move,
    /// The entry's backoff ended.
    BackoffComplete,
    /// The entry stayed unschedulable for the whole timeout without a move request.
    Leftover,
}

impl QueueEvent {
    /// The label value in metrics and in the admin API.
    pub fn as_str(self) -> &'static str {
        match self {
            QueueEvent::Add => "add",
            QueueEvent::Failure => "failure",
            QueueEvent::Move => "move",
            QueueEvent::BackoffComplete => "backoffcomplete",
            QueueEvent::Leftover => "leftover",
        }
    }
}
