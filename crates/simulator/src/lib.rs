//! A simulated world for controller nodes: state service, cloud, workers, users and a network
//! that delays, cuts and holds messages back, all in simulated time from one seed. The rules
//! are checked after every step.
//!
//! The stand-ins are written from the protocols, not from the controllers.

pub mod cloud;
pub mod fingerprint;
pub mod history;
pub mod known;
pub mod rules;
pub mod served;
pub mod solo;
pub mod starved;
pub mod state;
pub mod takeovers;
pub mod worker;
pub mod world;

pub use cloud::Boots;
pub use rules::Broken;
pub use solo::Solo;
pub use takeovers::Takeover;
pub use world::{Fault, Met, Plan, Sabotage, World};

/// Runs something for each seed from 1 on, on all cores.
pub fn for_seeds(seeds: u64, run: impl Fn(u64) + Sync) {
    let next = std::sync::atomic::AtomicU64::new(1);
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed > seeds {
                    break;
                }
                run(seed);
            });
        }
    });
}
