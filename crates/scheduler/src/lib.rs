//! Scheduling of one partition: placement cycles, filters and scores, quotas and guarantees,
//! preemption, gang scheduling, and reconciliation with what workers report.
//!
//! Nothing here does I/O. The partition's leader (crate `controller`) passes jobs, machines, heartbeats
//! and the current time to a [`PartitionState`], writes the changes that
//! [`PartitionState::take_dirty_chunks`] returns to the placement log, and sends the commands that
//! [`PartitionState::commands_for`] returns to the workers.

mod best_effort;
mod best_effort_eviction;
mod best_effort_waits;
mod capacity_index;
mod colocation;
mod command_batch;
pub mod commands;
pub mod consolidation;
pub mod cycle;
pub mod demand;
mod demand_estimate;
mod durability;
pub mod explain;
mod failover;
pub mod failure_attribution;
mod gang_precedence;
mod gang_reservation_choice;
mod gang_reservations;
mod gangs;
mod guarantees;
mod heartbeat_size;
pub mod job;
mod job_lifecycle;
mod job_probes;
mod leases;
mod liveness;
pub mod machine;
mod overload;
pub mod partition_state;
mod placement;
mod placements;
mod policy;
pub mod preempt;
mod preemption_candidates;
mod preemption_search;
mod progress;
mod queue_entry;
mod quotas;
pub mod reconciliation;
mod rejection;
mod reservations;
mod reserved_capacity;
mod suitability;
mod task_chunk;
pub mod transfers;
mod zone_alarms;
mod zones;

pub use commands::{CommandRoute, DirectCallTarget};
pub use job::Job;
pub use leases::LeaseRenewalBlocker;
pub use liveness::Probe;
pub use machine::Machine;
pub use partition_state::PartitionState;
pub use placement::{DirectLaunch, LaunchState, Placement, Stop, TaskAttempt};
pub use policy::Policy;
pub use progress::{ChunkKey, CommittedChanges};
pub use queue_entry::{EntryKey, Rank};
pub use quotas::{TeamQuotas, TeamUsage};
pub use reconciliation::StatusSource;
pub use rejection::{MachineRejection, RejectionCounts};
pub use task_chunk::{PlacedTask, TaskChunk, TASKS_PER_CHUNK};
