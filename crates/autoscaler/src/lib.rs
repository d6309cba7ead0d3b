//! Decides which machines to rent, to transfer between partitions and to return to the cloud.
//!
//! [`plan`] is a pure function. The fleet planner, which runs on the leader of the first partition,
//! passes a snapshot of the fleet and of the waiting work to it and carries out the actions that it
//! returns.

mod capacity;
mod demand;
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
