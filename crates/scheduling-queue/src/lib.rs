//! The scheduling queue. It consists of three queues: active entries ordered by rank, entries in backoff ordered
//! by the end of their backoff, and unschedulable entries, which wait for a change in the cluster.
//!
//! Each scheduling cycle tries one active entry. When something changes that may make entries schedulable, such
//! as capacity becoming free, the scheduler sends a move request, which releases the unschedulable entries. An
//! entry that fails becomes unschedulable, unless a move request came since its cycle began: the change behind
//! that request may be the one that the entry needs, so the entry backs off instead and is then tried again.

#![warn(missing_docs)]

mod config;
mod metrics;
mod queue;

pub use config::QueueConfig;
pub use metrics::{QueueEvent, QueueKind};
pub use queue::SchedulingQueue;
