//! Seeded simulations of a whole site under faults. The rules, see `simulator::rules`, are checked after every step.

#[path = "common/pauses.rs"]
mod pauses;

use pauses::controller_pauses;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulator::{BootBehavior, Fault, Mutation, Plan, World};

/// Random faults that begin between `from_ms` and `until_ms`; some of them overlap.
fn random_faults(seed: u64, count: usize, from_ms: u64, until_ms: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    (0..count)
        .map(|_| {
            let at_ms = rng.random_range(from_ms..until_ms);
            let controller = rng.random_range(0..3);
            let duration_ms = rng.random_range(3_000..40_000);
            let machine_index = rng.random_range(0..20);
            let fault = match rng.random_range(0..12) {
                0 | 1 => Fault::CrashController {
                    controller,
                    restart_after_ms: rng.random_range(2_000..9_000),
                },
                2 => Fault::DisconnectStateService {
                    controller,
                    duration_ms,
                },
                3 => Fault::RefuseStateRequests {
                    controller: Some(controller),
                    duration_ms,
                },
                4 => Fault::RefuseStateRequests {
                    controller: None,
                    duration_ms: duration_ms.min(25_000),
                },
                5 => Fault::DisconnectWorkers {
                    controller,
                    duration_ms,
                },
                6 => Fault::DisconnectMesh {
                    controller,
                    duration_ms,
                },
                7 => Fault::PartitionZones { duration_ms },
                8 => Fault::DisconnectMachine {
                    machine_index,
                    duration_ms,
                },
                9 => Fault::HangMachine {
                    machine_index,
                    duration_ms,
                },
                10 => Fault::CrashMachine { machine_index },
                _ => Fault::CloudOutage { duration_ms },
            };
            (at_ms, fault)
        })
        .collect()
}

/// Pauses and isolations of controllers, load from users and changes of the machines' boot behavior, mixed with
/// [`random_faults`].
fn random_mixed_faults(seed: u64, count: usize) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1a7e);
    let mut faults = random_faults(seed, count / 2, 20_000, 150_000);
    for _ in 0..count {
        let at_ms = rng.random_range(15_000..150_000);
        let controller = rng.random_range(0..3);
        let duration_ms = rng.random_range(3_000..40_000);
        let fault = match rng.random_range(0..9) {
            0..=2 => Fault::PauseController {
                controller,
                duration_ms: rng.random_range(500..22_000),
            },
            3 => Fault::IsolateController {
                controller,
                duration_ms,
            },
            4 => Fault::FailingJobs { duration_ms },
            5 => Fault::StatusRequestStorm { duration_ms },
            6 => Fault::GuestJobs {
                jobs: rng.random_range(1..6),
            },
            _ => {
                let behavior = [BootBehavior::Early, BootBehavior::Late, BootBehavior::Never]
                    [rng.random_range(0..3)];
                Fault::ChangeBootBehavior {
                    behavior,
                    duration_ms,
                }
            }
        };
        faults.push((at_ms, fault));
    }
    faults
}

fn run(plan: Plan) -> World {
    let mut world = World::new(plan);
    world.run();
    world
}

fn plan(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        duration_ms: 260_000,
        faults,
        mutation: None,
        submit_until_ms: 150_000,
        size: 1,
    }
}

#[test]
fn runs_without_faults_complete_all_work() {
    for seed in 1..=4 {
        let world = run(plan(seed, Vec::new()));
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert!(
            world.rules.task_starts > 100,
            "seed {seed}: {} starts",
            world.rules.task_starts
        );
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn rules_hold_under_random_faults() {
    for seed in 1..=40 {
        let faults = random_faults(seed, 6, 20_000, 150_000);
        let world = run(plan(seed, faults.clone()));
        assert_eq!(world.rules.violations, [], "seed {seed}: {faults:?}");
        assert!(world.rules.task_starts > 50, "seed {seed}");
    }
}

#[test]
fn rules_hold_under_random_mixed_faults() {
    for seed in 1..=30 {
        let faults = random_mixed_faults(seed, 6);
        let world = run(Plan {
            size: 1 + seed % 2,
            ..plan(seed, faults.clone())
        });
        assert_eq!(world.rules.violations, [], "seed {seed}: {faults:?}");
        assert!(world.rules.task_starts > 50, "seed {seed}");
    }
}

#[test]
fn paused_controllers_keep_rules_and_complete_work() {
    for seed in 1..=8 {
        let world = run(Plan {
            size: 2,
            ..plan(seed, controller_pauses(seed))
        });
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// The same as `paused_controllers_keep_rules_and_complete_work`, with more seeds.
#[test]
fn paused_controllers_keep_rules_and_complete_work_over_more_seeds() {
    for seed in 1..=16 {
        let world = run(Plan {
            size: 2,
            ..plan(seed, controller_pauses(seed))
        });
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// All controllers crash at the same time, and then one after the other.
#[test]
fn crashes_of_all_controllers_together_and_in_turn_keep_rules() {
    for seed in 1..=6 {
        let mut faults = Vec::new();
        for controller in 0..3 {
            faults.push((
                60_000,
                Fault::CrashController {
                    controller,
                    restart_after_ms: 6_000,
                },
            ));
            faults.push((
                100_000 + controller as u64 * 12_000,
                Fault::CrashController {
                    controller,
                    restart_after_ms: 7_000,
                },
            ));
        }
        let world = run(plan(seed, faults));
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Asserts that one of these rules detects an injected defect within a few seeds.
fn assert_detected(mutation: Mutation, rules: &[&str], faults: impl Fn(u64) -> Vec<(u64, Fault)>) {
    let mut task_starts = Vec::new();
    for seed in 1..=12 {
        let plan = Plan {
            mutation: Some(mutation),
            ..plan(seed, faults(seed))
        };
        let world = run(plan);
        if let Some(violation) = world.rules.violations.first() {
            assert!(
                rules.contains(&violation.rule),
                "{mutation:?}: {violation:?}"
            );
            return;
        }
        task_starts.push(world.rules.task_starts);
    }
    panic!("no rule detected {mutation:?}; task starts of each seed: {task_starts:?}");
}

/// A controller crashes every 14 s, each in turn.
fn crashes(seed: u64) -> Vec<(u64, Fault)> {
    (0..8)
        .map(|n| {
            let controller = ((seed + n) % 3) as usize;
            (
                25_000 + n * 14_000,
                Fault::CrashController {
                    controller,
                    restart_after_ms: 6_000,
                },
            )
        })
        .collect()
}

#[test]
fn checker_detects_launch_before_durable_placement() {
    assert_detected(
        Mutation::LogCommitsNotWritten,
        &[
            "ran_twice",
            "quota",
            "wrong_place",
            "not_done",
            "ran_cancelled",
        ],
        crashes,
    );
}

#[test]
fn checker_detects_underestimated_lease() {
    assert_detected(
        Mutation::ShortLease,
        &["ran_twice", "quota", "wrong_place"],
        |_| {
            (0..10)
                .map(|n| {
                    (
                        20_000 + n * 12_000,
                        Fault::DisconnectMachine {
                            machine_index: n as usize,
                            duration_ms: 9_000,
                        },
                    )
                })
                .collect()
        },
    );
}

#[test]
fn checker_detects_heartbeats_answered_beyond_lease_validity() {
    assert_detected(
        Mutation::LongCancellationDeadline,
        &["ran_cancelled"],
        |seed| {
            let controller = (seed % 3) as usize;
            let disconnect_workers = |controller| {
                (
                    40_000,
                    Fault::DisconnectWorkers {
                        controller,
                        duration_ms: 100_000,
                    },
                )
            };
            // A successor that reaches the workers would fence the predecessor at once.
            let mut faults: Vec<(u64, Fault)> = (0..3)
                .filter(|n| *n != controller)
                .map(disconnect_workers)
                .collect();
            faults.push((
                40_000,
                Fault::DisconnectStateService {
                    controller,
                    duration_ms: 100_000,
                },
            ));
            faults.push((
                40_000,
                Fault::DisconnectMesh {
                    controller,
                    duration_ms: 100_000,
                },
            ));
            faults
        },
    );
}

#[test]
fn checker_detects_unwritten_completion() {
    assert_detected(
        Mutation::TerminalStatesNotWritten,
        &["went_back", "forgotten", "not_done", "ran_cancelled"],
        crashes,
    );
}

/// Heartbeats are lost while direct calls arrive: tasks placed on a machine whose lease counts as expired
/// must not be dropped after their launch has been sent.
#[test]
fn direct_launch_after_expired_lease_keeps_rules() {
    let faults = vec![
        (
            40_061,
            Fault::DisconnectWorkers {
                controller: 0,
                duration_ms: 18_764,
            },
        ),
        (
            23_545,
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms: 25_000,
            },
        ),
        (
            39_271,
            Fault::DisconnectWorkers {
                controller: 1,
                duration_ms: 32_358,
            },
        ),
    ];
    for seed in [1097, 7, 8, 9, 10] {
        let world = run(plan(seed, faults.clone()));
        assert_eq!(world.rules.violations, [], "seed {seed}");
    }
}

/// A controller restarts while the network between the zones is cut: it must lead its partition again, which must not
/// stay with a leader that neither this controller nor the partition's workers reach.
#[test]
fn failback_succeeds_while_zones_are_disconnected() {
    let faults = vec![
        (
            50_000,
            Fault::PartitionZones {
                duration_ms: 60_000,
            },
        ),
        (
            50_500,
            Fault::CrashController {
                controller: 1,
                restart_after_ms: 6_000,
            },
        ),
    ];
    let mut world = World::new(plan(3, faults));
    world.run_to(56_000);
    assert_ne!(
        world.leader(1),
        Some("n1"),
        "another controller leads the partition"
    );
    world.run_to(64_000);
    assert_eq!(world.leader(1), Some("n1"));
    world.run();
    assert_eq!(world.rules.violations, []);
    assert_eq!(world.unfinished_jobs(), Vec::<String>::new());
}

#[test]
fn leader_unreachable_for_workers_resigns() {
    let faults = vec![(
        50_000,
        Fault::DisconnectWorkers {
            controller: 0,
            duration_ms: 60_000,
        },
    )];
    let mut world = World::new(Plan {
        size: 4,
        duration_ms: 400_000,
        ..plan(4, faults)
    });
    world.run_to(64_000);
    assert!(
        world.leader(0).is_some_and(|leader| leader != "n0"),
        "{:?}",
        world.leader(0)
    );
    // After a failback before workers reach the preferred leader, leases expire: 264 in one run.
    for at_s in 64..109 {
        world.run_to(at_s * 1_000);
        assert_ne!(world.leader(0), Some("n0"), "at {at_s} s");
    }
    world.run_to(150_000);
    assert_eq!(
        world.leader(0),
        Some("n0"),
        "the preferred leader leads again once workers reach it"
    );
    world.run();
    assert_eq!(world.rules.violations, []);
    assert_eq!(world.unfinished_jobs(), Vec::<String>::new());
}

/// On a site with hundreds of machines, many jobs at the start and crashes of controllers in turn the rules hold, and
/// neither filling the fleet nor a failover nor the burst of jobs exceeds the write budget of the state service.
/// With one put per job, completion and machine the writes would take minutes.
#[test]
fn large_site_keeps_rules_and_write_budget() {
    for seed in 1..=2 {
        let faults = vec![
            (1_000, Fault::JobBurst { jobs: 400 }),
            (
                40_000,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 6_000,
                },
            ),
            (
                55_000,
                Fault::DisconnectMachine {
                    machine_index: 7,
                    duration_ms: 20_000,
                },
            ),
            (
                60_000,
                Fault::RefuseStateRequests {
                    controller: None,
                    duration_ms: 12_000,
                },
            ),
            (
                80_000,
                Fault::CrashController {
                    controller: 0,
                    restart_after_ms: 6_000,
                },
            ),
            (
                80_000,
                Fault::CrashController {
                    controller: 2,
                    restart_after_ms: 6_000,
                },
            ),
        ];
        let plan = Plan {
            submit_until_ms: 100_000,
            size: 30,
            ..plan(seed, faults)
        };
        let mut world = World::new(plan);
        world.run_to(35_000);
        assert!(
            world.machines_up() >= 100,
            "seed {seed}: {} machines",
            world.machines_up()
        );
        let mut latencies_ms = world.acceptance_latencies_ms.clone();
        latencies_ms.sort_unstable();
        let slow = latencies_ms.iter().filter(|ms| **ms > 5_000).count();
        assert!(
            latencies_ms.len() >= 400 && slow * 20 <= latencies_ms.len(),
            "seed {seed}: {latencies_ms:?}"
        );
        world.run();
        assert_eq!(world.rules.violations, [], "seed {seed}");
        let (accepted, refused) = world.accepted_and_refused_writes();
        assert!(
            accepted <= 261 * 20,
            "seed {seed}: {accepted} puts accepted"
        );
        assert!(
            refused * 6 <= accepted,
            "seed {seed}: {refused} puts refused, {accepted} accepted"
        );
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Without connections between the controllers the fleet planner must still learn the demand of the other partitions.
#[test]
fn fleet_planner_scales_out_for_unreachable_leaders() {
    let faults = (0..3)
        .map(|controller| {
            (
                0,
                Fault::DisconnectMesh {
                    controller,
                    duration_ms: 60_000,
                },
            )
        })
        .collect();
    let mut world = World::new(Plan {
        size: 2,
        ..plan(5, faults)
    });
    world.run_to(40_000);
    for partition in 0..3 {
        assert!(
            world.recorded_machines(partition) > 0,
            "partition {partition}"
        );
    }
    world.run_to(200_000);
    assert_eq!(world.rules.violations, []);
}

/// Users who poll fifteen times as often must not use up the state service's request budget and delay
/// submissions.
#[test]
fn status_request_storm_keeps_submissions_fast() {
    let faults = vec![(
        60_000,
        Fault::StatusRequestStorm {
            duration_ms: 40_000,
        },
    )];
    let mut world = World::new(Plan {
        size: 4,
        ..plan(11, faults)
    });
    world.run_to(60_000);
    let (requests_before, busy_before) = (world.state_requests, world.busy_replies);
    world.run_to(100_000);
    let requests_per_s = (world.state_requests - requests_before) / 40;
    // A fifth of the budget of 400 requests a second for each kind of read, and all other requests.
    assert!(requests_per_s <= 170, "{requests_per_s} requests a second");
    // A small share of the replies to reads is lost, and their users send the request again.
    assert!(
        world.busy_replies - busy_before <= 10,
        "{}",
        world.busy_replies - busy_before
    );
    assert_eq!(world.rules.violations, []);
}

/// A completed gang counts against its team's limit until its last task is gone.
#[test]
fn gang_with_unwritten_outcome_counts_against_quota() {
    let faults = vec![
        (
            42_577,
            Fault::RefuseStateRequests {
                controller: Some(2),
                duration_ms: 14_806,
            },
        ),
        (
            47_988,
            Fault::RefuseStateRequests {
                controller: Some(2),
                duration_ms: 28_092,
            },
        ),
        (
            52_834,
            Fault::DisconnectStateService {
                controller: 0,
                duration_ms: 36_171,
            },
        ),
        (
            56_571,
            Fault::DisconnectStateService {
                controller: 1,
                duration_ms: 26_899,
            },
        ),
        (
            62_332,
            Fault::RefuseStateRequests {
                controller: Some(1),
                duration_ms: 22_394,
            },
        ),
    ];
    for seed in [5178, 5181, 5184] {
        let world = run(plan(seed, faults.clone()));
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// The jobs of a team without quota use free capacity; all work completes despite a crash and a pause.
#[test]
fn guest_team_and_other_teams_are_served() {
    for seed in 1..=4 {
        let faults = vec![
            (20_000, Fault::GuestJobs { jobs: 4 }),
            (
                50_000,
                Fault::CrashController {
                    controller: 0,
                    restart_after_ms: 6_000,
                },
            ),
            (
                80_000,
                Fault::PauseController {
                    controller: 0,
                    duration_ms: 8_000,
                },
            ),
            (90_000, Fault::GuestJobs { jobs: 2 }),
        ];
        let world = run(Plan {
            size: 2,
            submit_until_ms: 120_000,
            ..plan(seed, faults)
        });
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}
