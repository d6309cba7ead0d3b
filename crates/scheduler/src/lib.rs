//! What runs where within one partition: scheduling cycles, filters and scores, quota,
//! guarantee, preemption, gangs, and the bookkeeping of what workers report.
//!
//! Nothing here does I/O. The owner of a [`PartitionState`] feeds it jobs, machines, reports and
//! times, writes what [`PartitionState::take_dirty`] hands out, and sends what
//! [`PartitionState::commands_for`] says.

pub mod best_effort;
mod capacity_index;
mod colocation;
pub mod commands;
pub mod consolidation;
pub mod cycle;
pub mod demand;
pub mod explain;
mod failover;
pub mod failure_attribution;
mod gang_precedence;
mod gang_reservation_choice;
mod gang_reservations;
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
pub mod transfers;

pub use commands::CommandRoute;
pub use failover::Probe;
pub use job::{Job, PlacedTask, Placement, Stop, TaskChunk, CHUNK};
pub use machine::Machine;
pub use partition_state::{ChunkKey, CommittedChanges, EntryKey, PartitionState, Policy};
pub use reconciliation::StatusSource;
