//! What runs where within one partition: scheduling cycles, filters and scores, quota,
//! guarantee, preemption, gangs, and the bookkeeping of what workers report.
//!
//! Nothing here does I/O. The owner of a [`Share`] feeds it jobs, machines, reports and
//! times, writes what [`Share::take_dirty`] hands out, and sends what
//! [`Share::commands_for`] says.

pub mod best_effort;
mod capacity_index;
mod colocation;
pub mod commands;
pub mod consolidation;
pub mod cycle;
pub mod demand;
mod failover;
pub mod failure_attribution;
mod gangs;
pub mod job;
mod liveness;
pub mod machine;
mod overload;
pub mod partition_state;
pub mod preempt;
mod preemption_candidates;
pub mod reconciliation;
mod reservations;

pub use commands::Route;
pub use failover::Question;
pub use job::{ChunkBody, Job, PlacedTask, Placement, Stop, CHUNK};
pub use machine::Machine;
pub use partition_state::{ChunkKey, EntryKey, Policy, Share, Written};
pub use reconciliation::Source;
