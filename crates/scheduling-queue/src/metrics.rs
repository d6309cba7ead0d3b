//! Labels of the queue's metrics.

/// One of the queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueKind {
    Active,
    Backoff,
    Unschedulable,
}

/// What put an entry into a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueueEvent {
    /// A new entry.
    Add,
    /// Its cycle found no place.
    Failure,
    /// A move request.
    Move,
    /// The end of its backoff.
    BackoffComplete,
    /// It was unschedulable for too long.
    Leftover,
}
