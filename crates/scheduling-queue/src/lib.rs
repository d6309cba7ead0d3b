//! The scheduling queue: an active heap ordered by priority, a backoff heap ordered by the end of
//! the backoff, and entries that wait for an event that may make them schedulable.
//!
//! One scheduling cycle tries one entry. An entry that fails becomes unschedulable, unless a move
//! request came in the cycle in which it was tried or later: then it backs off, since the change
//! that it missed may be the one that it needs.

#![warn(missing_docs)]

mod config;
mod metrics;
mod queue;

pub use config::QueueConfig;
pub use metrics::{QueueEvent, QueueKind};
pub use queue::SchedulingQueue;
