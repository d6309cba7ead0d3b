//! Labels of the queue's metrics. Their names in lower case are values of metrics and the admin API.

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
