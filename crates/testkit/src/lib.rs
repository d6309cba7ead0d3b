//! A simulated world for controller nodes: state service, cloud, workers, users and a network
//! that delays, cuts and holds messages back, all in simulated time from one seed. The rules
//! are checked after every step.
//!
//! The stand-ins are written from the protocols, not from the controllers.

pub mod cloud;
pub mod known;
pub mod rules;
pub mod served;
pub mod solo;
pub mod state;
pub mod takeovers;
pub mod worker;
pub mod world;

pub use cloud::Boots;
pub use rules::Broken;
pub use solo::Solo;
pub use takeovers::Takeover;
pub use world::{Fault, Plan, Sabotage, World};
