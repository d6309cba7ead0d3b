//! Arrays of low priority start within the limit on waiting although leaders change.
//!
//! What happened: in these runs, whose controllers are paused in turn, 16, 2, 2 and 3 arrays of low priority waited for
//! over 90 s beside ordinary machines with free capacity, with their teams below their limits. The explanation of a
//! waiting array (seed 3 of the smaller `paused_controllers_keep_rules_and_complete_work`) shows why: from 105 s to
//! 201 s between one and four machines with room turned it down as `not_spare`, and nothing else kept it back; the time
//! after which its team's best-effort work may run there, 120 s, began anew as its leader was replaced at 134 s.

#[path = "common/pauses.rs"]
mod pauses;

use pauses::pauses;
use simulator::{for_seeds, Plan, World};

/// Seeds in which arrays starved.
const SEEDS: [u64; 4] = [4, 35, 36, 40];

#[test]
fn low_priority_arrays_start_within_the_limit_although_leaders_change() {
    for_seeds(SEEDS.len() as u64, |nth| {
        let seed = SEEDS[nth as usize - 1];
        let mut world = World::new(Plan {
            seed,
            duration_ms: 400_000,
            faults: pauses(seed),
            mutation: None,
            submit_until_ms: 250_000,
            size: 6,
        });
        world.run();
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.starved_low_priority_arrays(), [""; 0], "seed {seed}");
    });
}
