//! Decides which machines to rent, to transfer between partitions and to return to the cloud.
//!
//! [`plan`] is a pure function: the fleet planner (the leader of the first partition) passes in a
//! snapshot of the fleet and of the waiting work and carries out the returned actions.

mod capacity;
mod machine;
mod offers;
mod pending;
mod planner;
mod policy;
mod rebalance;
mod returns;
mod transfers;
mod zones;

pub use machine::{FleetAction, FleetMachine, Offer, PartitionNeed};
pub use planner::plan;
pub use policy::FleetPolicy;
