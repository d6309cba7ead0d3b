//! Labels of the queue's metrics, as they stand in metrics and in the admin API.

use std::fmt;

/// One of the queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueKind {
    /// Entries that can be tried, by rank.
    Active,
    /// Entries that failed and wait for the end of their backoff.
    Backoff,
    /// Entries that wait for an event that may make them schedulable.
    Unschedulable,
}

impl QueueKind {
    /// Value of the label in metrics and in the admin API.
    pub fn as_str(self) -> &'static str {
        match self {
            QueueKind::Active => "active",
            QueueKind::Backoff => "backoff",
            QueueKind::Unschedulable => "unschedulable",
        }
    }
}

impl fmt::Display for QueueKind {
    /// The queue's name in explanations of the admin API.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            QueueKind::Active => "Active",
            QueueKind::Backoff => "Backoff",
            QueueKind::Unschedulable => "Unschedulable",
        })
    }
}

/// What put an entry into a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueEvent {
    /// A new entry.
    Add,
    /// Its cycle found no machine.
    Failure,
    /// A move request.
    Move,
    /// The end of its backoff.
    BackoffComplete,
    /// It was unschedulable for too long.
    Leftover,
}

impl QueueEvent {
    /// Value of the label in metrics and in the admin API.
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
