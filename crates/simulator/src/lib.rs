//! A deterministic simulation of a site, which is a cluster with its controllers and services: the real controllers
//! run against a simulated state service, cloud, network, workers and users, in simulated time and from one seed,
//! with fault injection. The rules of the protocols are checked after every step.
//!
//! The simulated services implement the protocols independently of the controllers' code. Times and durations
//! are in ms unless the name or the type says otherwise.

pub mod availability;
pub mod cloud;
pub mod failovers;
pub mod fingerprint;
pub mod history;
pub mod message_size;
pub mod rules;
pub mod single_controller;
pub mod starvation;
pub mod state;
pub mod unanswered;
pub mod worker;
pub mod world;

pub use cloud::BootBehavior;
pub use failovers::Failover;
pub use rules::Violation;
pub use single_controller::SingleController;
pub use state::StateServiceLimits;
pub use worker::MachineMemory;
pub use world::{
    AttemptHistory, Fault, FaultCoverage, HeartbeatRecipient, Mutation, OldHeartbeatCase,
    OldHeartbeatCounts, Plan, World,
};

/// Runs a function for each seed from 1 to `seeds`, on all cores.
pub fn for_seeds(seeds: u64, run: impl Fn(u64) + Sync) {
    let next_seed = std::sync::atomic::AtomicU64::new(1);
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed > seeds {
                    break;
                }
                run(seed);
            });
        }
    });
}
