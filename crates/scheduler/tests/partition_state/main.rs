//! Tests of [`scheduler::PartitionState`] without a controller.

mod best_effort;
mod best_effort_waits;
mod builders;
mod commands;
mod explanations;
mod failure_attribution;
mod inherited_placements;
mod leases;
mod liveness;
mod preemption;
mod quotas;
mod reconciliation;
