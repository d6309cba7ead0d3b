//! Service levels under controllers that restart within a fraction of a second, crash loops, teams of uneven
//! demand, and 1.5 times the machines of a fleet. A violated rule fails a run, and so does a kind of work or
//! team of which less than half is served.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulator::{for_seeds, Fault, Plan, World};

/// 1.5 times the machines of a fleet: 2,240 can be rented.
const LARGE: u64 = 160;

/// Runs to the end and checks rules and service levels.
fn run_and_check(what: &str, seed: u64, size: u64, ms: u64, faults: Vec<(u64, Fault)>) -> World {
    let said = format!("{what}, seed {seed}, size {size}");
    // A large site gets work within its capacity: 1,300 machines are up after 45 s.
    let submit_until_ms = if size == LARGE { 60_000 } else { ms * 3 / 5 };
    let plan = Plan {
        seed,
        duration_ms: ms,
        faults,
        mutation: None,
        submit_until_ms,
        size,
    };
    let mut world = World::new(plan);
    world.run();
    assert_eq!(world.rules.violations, [], "{said}");
    let (of, part) = world
        .lowest_service_level(ms / 4)
        .expect("something was asked for");
    println!(
        "{said}: least served {of}, {part:.2}; {} starts",
        world.rules.task_starts
    );
    assert!(part >= 0.5, "{said}: {part:.2} of {of}");
    world
}

/// Repeated crashes of one controller, each some time after its restart.
fn crash_loop(
    rng: &mut SmallRng,
    controller: usize,
    from: u64,
    until: u64,
    every: std::ops::Range<u64>,
) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    let mut at = from;
    while at < until {
        let restart_after_ms = rng.random_range(50..400);
        faults.push((
            at,
            Fault::CrashController {
                controller,
                restart_after_ms,
            },
        ));
        at += restart_after_ms + rng.random_range(every.clone());
    }
    faults
}

#[test]
fn controllers_restarted_after_50_ms_to_10_s_keep_service_levels() {
    for seed in 1..=16 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = (0..14).map(|_| {
            let at = rng.random_range(20_000..150_000);
            let restart_after_ms = if rng.random_bool(0.7) {
                rng.random_range(50..1_000)
            } else {
                rng.random_range(1_000..10_000)
            };
            let ms = rng.random_range(3_000..20_000);
            let controller = rng.random_range(0..3);
            let fault = match rng.random_range(0..8) {
                0 => Fault::RefuseStateRequests {
                    controller: None,
                    duration_ms: ms,
                },
                1 => Fault::DisconnectMesh {
                    controller,
                    duration_ms: ms,
                },
                2 => Fault::DisconnectStateService {
                    controller,
                    duration_ms: ms,
                },
                3 => Fault::SlowStateService {
                    factor: 20,
                    duration_ms: ms,
                },
                _ => Fault::CrashController {
                    controller,
                    restart_after_ms,
                },
            };
            (at, fault)
        });
        let faults = faults.collect();
        // Gangs stop arrays of low priority now, so that the last of these end later than they did.
        let world = run_and_check("back at once", seed, 1 + seed % 2, 280_000, faults);
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// A controller in a crash loop must not disturb the others: each incarnation may request its partition back,
/// and crashes before it has received heartbeats.
#[test]
fn crash_loop_of_one_controller_keeps_service_levels() {
    for (seed, every) in [
        (1, 300..900),
        (2, 900..2_000),
        (3, 2_000..5_000),
        (4, 300..5_000),
    ] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let controller = rng.random_range(0..3);
        let faults = crash_loop(&mut rng, controller, 50_000, 110_000, every);
        let ends = faults.len();
        let world = run_and_check("one loops", seed, 20, 230_000, faults);
        println!(
            "{ends} ends, {} tasks killed by their lease",
            world.tasks_killed_by_lease()
        );
        assert_eq!(world.tasks_killed_by_lease(), 0, "seed {seed}");
    }
}

#[test]
fn crash_loops_of_all_controllers_keep_service_levels() {
    for seed in 1..=4 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = (0..3)
            .flat_map(|controller| crash_loop(&mut rng, controller, 60_000, 85_000, 300..4_000))
            .collect();
        run_and_check("all loop", seed, 1 + seed % 2 * 19, 240_000, faults);
    }
}

#[test]
fn tenfold_demand_of_one_team_keeps_service_levels_of_all_teams() {
    for seed in 1..=3 {
        let faults = vec![
            (
                0,
                Fault::SkewedLoad {
                    duration_ms: 240_000,
                },
            ),
            (
                60_000,
                Fault::CrashController {
                    controller: 0,
                    restart_after_ms: 200,
                },
            ),
            (80_000, Fault::JobBurst { jobs: 60 }),
            (90_000, Fault::CrashMachines { count: 30 }),
        ];
        run_and_check("a heavy team", seed, 60, 240_000, faults);
    }
}

/// A mass loss of machines, simultaneous crashes, a crash loop and an outage on an oversized fleet.
#[test]
fn oversized_fleet_recovers_from_simultaneous_restart() {
    let all = |at: u64| {
        (0..3).map(move |controller| {
            (
                at,
                Fault::CrashController {
                    controller,
                    restart_after_ms: 100,
                },
            )
        })
    };
    let mut rng = SmallRng::seed_from_u64(7);
    let mut faults = vec![
        (1_000, Fault::JobBurst { jobs: 150 }),
        (46_000, Fault::CrashMachines { count: 220 }),
        (
            70_000,
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms: 12_000,
            },
        ),
    ];
    faults.extend(all(46_200));
    faults.extend(all(76_000));
    faults.extend(crash_loop(&mut rng, 1, 90_000, 100_000, 300..2_000));
    let world = run_and_check("at once", 7, LARGE, 190_000, faults);
    assert_eq!(world.tasks_killed_by_lease(), 0);
}

/// Run by hand: `cargo test --release -p simulator --test service_levels -- --ignored`, minutes on all cores.
#[test]
#[ignore = "hundreds of seeds at the operators' size"]
fn oversized_fleet_keeps_service_levels_over_many_seeds() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(500);
    for_seeds(seeds, |seed| {
        run_and_check("drawn", seed, LARGE, 190_000, drawn(seed));
    });
}

/// Random faults on an oversized fleet.
fn drawn(seed: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xf1ee7);
    let mut faults = vec![(1_000, Fault::JobBurst { jobs: 150 })];
    for _ in 0..6 {
        let at = rng.random_range(30_000..85_000);
        let ms = rng.random_range(2_000..20_000);
        let controller = rng.random_range(0..3);
        let count = rng.random_range(50..250);
        let fault = match rng.random_range(0..12) {
            0..=3 => Fault::CrashController {
                controller,
                restart_after_ms: rng.random_range(50..500),
            },
            4 => Fault::CrashMachines { count },
            5 => Fault::HangMachines {
                count,
                duration_ms: ms,
            },
            6 => Fault::RefuseStateRequests {
                controller: None,
                duration_ms: ms,
            },
            7 => Fault::DisconnectStateService {
                controller,
                duration_ms: ms,
            },
            8 => Fault::DisconnectWorkers {
                controller,
                duration_ms: ms,
            },
            9 => Fault::SlowStateService {
                factor: 20,
                duration_ms: ms,
            },
            10 => Fault::JobBurst { jobs: 60 },
            _ => Fault::PauseController {
                controller,
                duration_ms: ms.min(9_000),
            },
        };
        faults.push((at, fault));
    }
    if rng.random_bool(0.4) {
        let controller = rng.random_range(0..3);
        faults.extend(crash_loop(&mut rng, controller, 50_000, 70_000, 300..4_000));
    }
    faults
}
