//! Combinations of leader changes with faults of machines and messages: heartbeats, commands, replies of the
//! state service and mesh messages are delayed, duplicated, lost in one direction or lost altogether. Each
//! test asserts that its combination has really occurred, and one runs all of them again with injected
//! defects.

mod common;

use common::env_number;
use simulator::{for_seeds, BootBehavior, Fault, FaultCoverage, Mutation, Plan, World};

/// Length of each run, in ms.
const MS: u64 = 220_000;

/// Runs one seed to its end and asserts that no rule was violated.
fn run_to_end(name: &str, seed: u64, faults: Vec<(u64, Fault)>) -> World {
    let mut world = World::new(Plan::with_long_tasks(seed, MS, faults));
    world.run();
    assert_eq!(world.rules.violations, [], "{name}, seed {seed}");
    world
}

/// Runs this many seeds and adds up their coverage.
fn run_seeds(
    name: &str,
    seeds: u64,
    faults: impl Fn(u64) -> Vec<(u64, Fault)> + Sync,
    add: impl Fn(&mut FaultCoverage, &World) + Sync,
) -> FaultCoverage {
    let coverage = std::sync::Mutex::new(FaultCoverage::default());
    for_seeds(seeds, |seed| {
        let world = run_to_end(name, seed, faults(seed));
        add(&mut coverage.lock().expect("no run has panicked"), &world);
    });
    let coverage = coverage.into_inner().expect("no run has panicked");
    println!("{name}: {coverage:?}");
    coverage
}

/// Transactions are applied and only their replies are lost, while leaders crash and jobs are cancelled.
fn lost_reply_faults(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    vec![
        (
            5_000,
            Fault::DropTransactionReplies {
                percent: 20 + 10 * (seed % 4),
                duration_ms: 130_000,
            },
        ),
        (
            40_000,
            Fault::CrashController {
                controller,
                restart_after_ms: 100,
            },
        ),
        (
            55_000 + seed * 130,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ),
        (
            55_300 + seed * 130,
            Fault::RefuseStateRequests {
                controller: Some(controller),
                duration_ms: 6_000,
            },
        ),
        (62_000, Fault::JobBurst { jobs: 10 }),
        (
            66_000,
            Fault::CrashController {
                controller: (controller + 1) % 3,
                restart_after_ms: 3_000,
            },
        ),
        (80_000, Fault::CrashMachines { count: 2 }),
        (100_000, Fault::CancelAllJobs { controller }),
        (
            100_200,
            Fault::CrashController {
                controller: (controller + 2) % 3,
                restart_after_ms: 700,
            },
        ),
    ]
}

#[test]
fn applied_transaction_with_lost_reply_keeps_rules() {
    let coverage = run_seeds("answers lost", 10, lost_reply_faults, |coverage, world| {
        coverage.lost_replies += world.coverage.lost_replies;
        coverage.lost_replies_read_elsewhere += world.coverage.lost_replies_read_elsewhere;
    });
    assert!(
        coverage.lost_replies > 500 && coverage.lost_replies_read_elsewhere > 300,
        "{coverage:?}"
    );
}

/// Times of leader crashes just after machines have booted, in ms.
const QUICK_ENDS: [u64; 3] = [48_200, 78_200, 108_200];

/// Machines crash, new ones boot within two seconds and get work at once, and a leader crashes.
fn fast_boot_faults(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = vec![
        (
            0,
            Fault::ChangeBootBehavior {
                behavior: BootBehavior::Quick,
                duration_ms: 200_000,
            },
        ),
        (
            30_000,
            Fault::DelayTransactions {
                percent: 25,
                duration_ms: 100_000,
            },
        ),
    ];
    for (nth, at) in QUICK_ENDS.into_iter().enumerate() {
        let controller = (nth + seed as usize) % 3;
        faults.push((at - 4_000, Fault::CrashMachines { count: 5 }));
        faults.push((at - 3_900, Fault::JobBurst { jobs: 16 }));
        faults.push((
            at + seed * 170,
            Fault::CrashController {
                controller,
                restart_after_ms: 100 + seed * 400,
            },
        ));
        faults.push((
            at + seed * 170 + 1_500,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ));
    }
    faults
}

#[test]
fn fast_machine_boot_during_slow_writes_and_leader_crash_keeps_rules() {
    let coverage = run_seeds("quick boots", 10, fast_boot_faults, |coverage, world| {
        coverage.launches_on_new_machines += world.coverage.launches_on_new_machines;
        coverage.delayed_writes_after_newer += world.coverage.delayed_writes_after_newer;
        let taken = world
            .failovers
            .list
            .iter()
            .filter(|t| t.acquired_at.is_some())
            .count();
        assert!(taken > 0, "a leader ended");
    });
    assert!(
        coverage.launches_on_new_machines > 40 && coverage.delayed_writes_after_newer > 5,
        "{coverage:?}"
    );
}

/// Leases expire and leaders crash while heartbeats are recorded for replay to the next leader.
fn replayed_heartbeat_faults(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    vec![
        (
            20_000,
            Fault::ReplayHeartbeats {
                percent: 25,
                duration_ms: 140_000,
            },
        ),
        (
            40_000,
            Fault::DropMessagesToMachines {
                count: 5,
                duration_ms: 15_000,
            },
        ),
        (
            58_000 + seed * 110,
            Fault::CrashController {
                controller,
                restart_after_ms: 300,
            },
        ),
        (
            60_000,
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms: 32_000,
            },
        ),
        (
            96_000,
            Fault::CrashController {
                controller: (controller + 1) % 3,
                restart_after_ms: 200,
            },
        ),
        (
            97_000,
            Fault::CancelAllJobs {
                controller: (controller + 2) % 3,
            },
        ),
        (110_000, Fault::JobBurst { jobs: 10 }),
        (
            118_000 + seed * 70,
            Fault::CrashController {
                controller: (controller + 2) % 3,
                restart_after_ms: 100,
            },
        ),
    ]
}

#[test]
fn stale_heartbeat_at_start_of_new_leader_changes_nothing() {
    let coverage = run_seeds(
        "kept copies",
        10,
        replayed_heartbeat_faults,
        |coverage, world| {
            coverage.stale_heartbeats_at_failover += world.coverage.stale_heartbeats_at_failover;
            coverage.earlier_epoch_heartbeats_at_failover +=
                world.coverage.earlier_epoch_heartbeats_at_failover;
        },
    );
    assert!(
        coverage.stale_heartbeats_at_failover > 500
            && coverage.earlier_epoch_heartbeats_at_failover > 50,
        "{coverage:?}"
    );
}

/// Heartbeats are held back while a leader crashes, and delivered after its successor's first actions.
fn held_heartbeats(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for (nth, at) in [45_000, 70_000, 95_000].into_iter().enumerate() {
        let controller = (nth + seed as usize) % 3;
        faults.push((
            at,
            Fault::HoldHeartbeats {
                percent: 75,
                duration_ms: 8_000,
            },
        ));
        faults.push((at + 200, Fault::JobBurst { jobs: 16 }));
        let crash = at + 1_000 + seed * 140;
        faults.push((
            crash,
            Fault::CrashController {
                controller,
                restart_after_ms: 200 + seed * 600,
            },
        ));
        // Jobs for the successor to start before the heartbeats arrive.
        faults.push((crash + 2_000, Fault::JobBurst { jobs: 12 }));
        faults.push((
            crash + 3_000,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ));
        faults.push((crash + 3_500, Fault::JobBurst { jobs: 12 }));
    }
    faults
}

#[test]
fn delayed_heartbeat_after_first_actions_of_new_leader_keeps_rules() {
    let coverage = run_seeds("held reports", 10, held_heartbeats, |coverage, world| {
        coverage.held_heartbeats += world.coverage.held_heartbeats;
    });
    assert!(coverage.held_heartbeats > 200, "{coverage:?}");
}

/// Machines cannot open connections, for less and for more than a lease, while leaders crash.
fn refused_connection_faults(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    // In every fifth run all machines are affected.
    let count = if seed.is_multiple_of(5) { 1_000 } else { 6 };
    vec![
        (
            45_000,
            Fault::RefuseMachineConnections {
                count,
                duration_ms: 5_000 + seed * 2_500,
            },
        ),
        (45_500, Fault::JobBurst { jobs: 8 }),
        (
            47_000 + seed * 250,
            Fault::CrashController {
                controller,
                restart_after_ms: 100 + seed * 700,
            },
        ),
        (
            52_000,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ),
        (85_000, Fault::JobBurst { jobs: 10 }),
        (
            90_000,
            Fault::RefuseMachineConnections {
                count: 8,
                duration_ms: 30_000,
            },
        ),
        (91_000 + seed * 300, Fault::CancelAllJobs { controller }),
        (
            93_000,
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms: 20_000,
            },
        ),
    ]
}

#[test]
fn direct_commands_to_machines_without_outgoing_connections_keep_rules() {
    let coverage = run_seeds("mute", 10, refused_connection_faults, |coverage, world| {
        coverage.refused_connections += world.coverage.refused_connections;
        coverage.direct_calls_while_refusing += world.coverage.direct_calls_while_refusing;
    });
    assert!(
        coverage.refused_connections > 1_000 && coverage.direct_calls_while_refusing > 200,
        "{coverage:?}"
    );
}

/// Direct commands are delayed while their leaders crash, are deposed, or miss cancellations.
fn delayed_commands(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = vec![(
        30_000,
        Fault::DelayCommands {
            percent: 80,
            duration_ms: 110_000,
        },
    )];
    for (nth, at) in [40_000, 70_000, 100_000].into_iter().enumerate() {
        let controller = (nth + seed as usize) % 3;
        faults.push((at, Fault::CrashMachines { count: 2 }));
        faults.push((at, Fault::JobBurst { jobs: 8 }));
        let ends = if (seed + nth as u64).is_multiple_of(2) {
            Fault::CrashController {
                controller,
                restart_after_ms: 200 + seed * 300,
            }
        } else {
            Fault::DisconnectStateAndMesh {
                controller,
                duration_ms: 25_000,
                refused: seed.is_multiple_of(3),
            }
        };
        faults.push((at + 800 + seed * 210, ends));
        faults.push((
            at + 5_000,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ));
        faults.push((at + 9_000, Fault::JobBurst { jobs: 6 }));
    }
    faults
}

#[test]
fn delayed_command_of_former_leader_is_fenced_after_failover() {
    let coverage = run_seeds("late commands", 12, delayed_commands, |coverage, world| {
        coverage.delayed_commands += world.coverage.delayed_commands;
        coverage.delayed_commands_rejected += world.coverage.delayed_commands_rejected;
        coverage.delayed_commands_of_crashed += world.coverage.delayed_commands_of_crashed;
        coverage.delayed_commands_of_deposed += world.coverage.delayed_commands_of_deposed;
    });
    assert!(
        coverage.delayed_commands > 50 && coverage.delayed_commands_rejected > 50,
        "{coverage:?}"
    );
    let FaultCoverage {
        delayed_commands_of_crashed,
        delayed_commands_of_deposed,
        ..
    } = coverage;
    assert!(
        delayed_commands_of_crashed > 20 && delayed_commands_of_deposed > 20,
        "{coverage:?}"
    );
}

/// Start of the two minutes in which leaders change, and start and length of the outage within them, in ms.
const CHANGES_FROM: u64 = 45_000;
const OUTAGE: (u64, u64) = (95_000, 18_000);

/// Controllers crash in turn, also during an outage of the state service. They restart within a fraction of a
/// second, or after others have acquired their partitions.
fn repeated_leader_changes(seed: u64) -> Vec<(u64, Fault)> {
    let (out, out_ms) = OUTAGE;
    let mut faults = vec![(
        out,
        Fault::RefuseStateRequests {
            controller: None,
            duration_ms: out_ms,
        },
    )];
    let (pause, restart_after_ms) = if seed.is_multiple_of(2) {
        (3_500, 200)
    } else {
        (6_000, 2_600 + 300 * seed)
    };
    for nth in 0..120_000 / pause {
        let controller = (nth + seed) as usize % 3;
        faults.push((
            CHANGES_FROM + nth * pause + seed * 53,
            Fault::CrashController {
                controller,
                restart_after_ms,
            },
        ));
    }
    for at in [60_000, 90_000, 94_500, 125_000] {
        faults.push((
            at + seed * 91,
            Fault::CancelAllJobs {
                controller: (seed as usize + 1) % 3,
            },
        ));
        faults.push((at + 3_000, Fault::JobBurst { jobs: 6 }));
    }
    faults
}

/// Runs two minutes and counts how often each partition was acquired, by another controller or by a new
/// incarnation of the same one.
fn leader_changes_in_two_minutes(world: &mut World) -> [u32; 3] {
    let mut changes = [0; 3];
    let mut before = [0, 1, 2].map(|partition| world.term(partition));
    for at in (CHANGES_FROM..=CHANGES_FROM + 120_000).step_by(100) {
        world.run_to(at);
        for partition in 0..3 {
            let term = world.term(partition as u32);
            if term.is_some() && term != before[partition] {
                before[partition] = term;
                changes[partition] += 1;
            }
        }
    }
    changes
}

#[test]
fn ten_leader_changes_in_two_minutes_keep_rules_also_during_outage() {
    for_seeds(8, |seed| {
        let mut world = World::new(Plan::with_long_tasks(
            seed,
            MS,
            repeated_leader_changes(seed),
        ));
        let changes = leader_changes_in_two_minutes(&mut world);
        world.run();
        assert_eq!(world.rules.violations, [], "ten changes, seed {seed}");
        println!("ten changes, seed {seed}: {changes:?}");
        assert!(
            changes.iter().any(|count| *count >= 10),
            "seed {seed}: {changes:?}"
        );
    });
}

/// More jobs than capacity, of high and low priority, over slow links.
fn overload(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    vec![
        (
            15_000,
            Fault::SlowLinks {
                factor: 40 + 20 * (seed % 3),
                duration_ms: 120_000,
            },
        ),
        (16_000, Fault::GuestJobs { jobs: 4 }),
        (
            20_000,
            Fault::SkewedLoad {
                duration_ms: 60_000,
            },
        ),
        (22_000, Fault::JobBurst { jobs: 60 }),
        (40_000, Fault::CrashMachines { count: 3 }),
        (
            50_000 + seed * 120,
            Fault::CrashController {
                controller,
                restart_after_ms: 150 + seed * 500,
            },
        ),
        (52_000, Fault::JobBurst { jobs: 20 }),
        (
            80_000,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ),
        (81_000, Fault::JobBurst { jobs: 30 }),
    ]
}

#[test]
fn overload_over_slow_links_keeps_rules() {
    for_seeds(8, |seed| {
        let mut world = World::new(Plan::with_long_tasks(seed, MS, overload(seed)));
        world.run_to(49_000);
        let waiting = world.tasks_of_unplaced_jobs();
        world.run();
        assert_eq!(world.rules.violations, [], "overload, seed {seed}");
        println!("overload, seed {seed}: {waiting} tasks wait");
        assert!(waiting > 100, "seed {seed}: {waiting} tasks wait");
    });
}

/// Mesh messages of a leader are lost in one direction, and it loses the state service; its jobs are
/// cancelled through another controller.
fn one_way(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    let ms = 60_000;
    let mut faults = Vec::new();
    for other in (0..3).filter(|other| *other != controller) {
        let (from, to) = if seed.is_multiple_of(2) {
            (controller, other)
        } else {
            (other, controller)
        };
        faults.push((
            48_000,
            Fault::OneWayMeshPartition {
                from,
                to,
                duration_ms: ms,
            },
        ));
    }
    let state = match seed % 3 {
        0 => Fault::DisconnectStateService {
            controller,
            duration_ms: 40_000,
        },
        1 => Fault::RefuseStateRequests {
            controller: Some(controller),
            duration_ms: 40_000,
        },
        // Only one link is lost: the leader keeps its partition.
        _ => Fault::CrashController {
            controller: (controller + 1) % 3,
            restart_after_ms: 400,
        },
    };
    faults.push((50_000, state));
    faults.push((
        50_100 + seed * 400,
        Fault::CancelAllJobs {
            controller: (controller + 1) % 3,
        },
    ));
    faults.push((
        51_000 + seed * 400,
        Fault::RefuseStateRequests {
            controller: None,
            duration_ms: 35_000 * (seed / 2 % 2),
        },
    ));
    faults.push((
        115_000,
        Fault::OneWayMeshPartition {
            from: controller,
            to: (controller + 1) % 3,
            duration_ms: 20_000,
        },
    ));
    faults.push((
        117_000,
        Fault::CrashController {
            controller,
            restart_after_ms: 100,
        },
    ));
    faults
}

#[test]
fn one_way_mesh_partition_keeps_rules() {
    let coverage = run_seeds("one way", 12, one_way, |coverage, world| {
        coverage.one_way_losses += world.coverage.one_way_losses;
    });
    assert!(coverage.one_way_losses > 2_000, "{coverage:?}");
}

/// Messages of partition leaders to the fleet planner are lost: it must still learn their demand and rent
/// machines for them.
#[test]
fn fleet_planner_scales_out_for_leaders_with_lost_messages() {
    let faults = [1, 2].map(|from| {
        (
            0,
            Fault::OneWayMeshPartition {
                from,
                to: 0,
                duration_ms: 60_000,
            },
        )
    });
    let plan = Plan::with_long_tasks(5, MS, faults.into());
    let mut world = World::new(plan);
    world.run_to(40_000);
    assert_eq!(world.leader(0), Some("n0"), "the leader");
    for partition in 0..3 {
        assert!(
            world.recorded_machines(partition) > 0,
            "partition {partition}"
        );
    }
    world.run();
    assert_eq!(world.rules.violations, []);
}

/// Mesh messages are duplicated late, also from and to earlier incarnations, while controllers crash, restart
/// and are disconnected.
fn mesh_duplicates(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    if seed.is_multiple_of(2) {
        // No replica follows the leader, and it answers workers for its full lease validity: delayed mesh
        // heartbeats are all that its successor receives from it.
        return vec![
            (
                1_000,
                Fault::DisconnectMesh {
                    controller,
                    duration_ms: 120_000,
                },
            ),
            (
                20_000,
                Fault::DuplicateMeshMessages {
                    percent: 50,
                    duration_ms: 140_000,
                },
            ),
            (
                40_000,
                Fault::DisconnectStateService {
                    controller,
                    duration_ms: 60_000,
                },
            ),
            (42_000, Fault::JobBurst { jobs: 10 }),
            (
                85_000,
                Fault::CancelAllJobs {
                    controller: (controller + 1) % 3,
                },
            ),
        ];
    }
    vec![
        (
            20_000,
            Fault::DuplicateMeshMessages {
                percent: 30,
                duration_ms: 140_000,
            },
        ),
        (
            45_000,
            Fault::CrashController {
                controller,
                restart_after_ms: 100 + seed * 300,
            },
        ),
        (
            58_000,
            Fault::DisconnectStateAndMesh {
                controller: (controller + 1) % 3,
                duration_ms: 25_000,
                refused: seed % 4 == 1,
            },
        ),
        (
            60_000 + seed * 500,
            Fault::CancelAllJobs {
                controller: (controller + 2) % 3,
            },
        ),
        (
            61_000,
            Fault::DisconnectWorkers {
                controller: (controller + 2) % 3,
                duration_ms: 15_000,
            },
        ),
        (90_000, Fault::JobBurst { jobs: 10 }),
        (
            95_000,
            Fault::CrashController {
                controller: (controller + 2) % 3,
                restart_after_ms: 5_000,
            },
        ),
        (
            97_500,
            Fault::CrashController {
                controller: (controller + 2) % 3,
                restart_after_ms: 100,
            },
        ),
        (110_000, Fault::CancelAllJobs { controller }),
    ]
}

#[test]
fn delayed_duplicates_on_mesh_keep_rules() {
    let coverage = run_seeds("mesh copies", 12, mesh_duplicates, |coverage, world| {
        coverage.mesh_duplicates += world.coverage.mesh_duplicates;
    });
    assert!(coverage.mesh_duplicates > 1_000, "{coverage:?}");
}

/// A scenario: its name, its faults by seed, and the injected defect that its checks detect.
type ScenarioCase = (&'static str, fn(u64) -> Vec<(u64, Fault)>, Mutation);

const SCENARIOS: [ScenarioCase; 10] = [
    (
        "answers lost",
        lost_reply_faults,
        Mutation::LostRepliesNotApplied,
    ),
    (
        "quick boots",
        fast_boot_faults,
        Mutation::DelayedWritesUnconditional,
    ),
    (
        "kept copies",
        replayed_heartbeat_faults,
        Mutation::DuplicatedHeartbeatsLookNew,
    ),
    (
        "held reports",
        held_heartbeats,
        Mutation::DuplicatedHeartbeatsLookNew,
    ),
    (
        "mute",
        refused_connection_faults,
        Mutation::DirectCommandsRenewLease,
    ),
    (
        "late commands",
        delayed_commands,
        Mutation::DelayedCommandsUnfenced,
    ),
    (
        "ten changes",
        repeated_leader_changes,
        Mutation::LogCommitsNotWritten,
    ),
    ("overload", overload, Mutation::LogCommitsNotWritten),
    ("one way", one_way, Mutation::LongCancellationDeadline),
    (
        "mesh copies",
        mesh_duplicates,
        Mutation::MeshDuplicatesClaimAllChanges,
    ),
];

/// Each scenario is run again with an injected defect, which its checks have to detect.
#[test]
fn each_scenario_detects_its_injected_defect() {
    let undetected = std::sync::Mutex::new(Vec::new());
    for_seeds(SCENARIOS.len() as u64, |nth| {
        let (name, faults, mutation) = SCENARIOS[nth as usize - 1];
        let told = (1..=20).find_map(|seed| {
            let plan = Plan::with_long_tasks(seed, MS, faults(seed));
            let mut world = World::new(Plan {
                mutation: Some(mutation),
                ..plan
            });
            world.run();
            world
                .rules
                .violations
                .first()
                .map(|violations| (seed, violations.clone()))
        });
        println!("{name}, {mutation:?}: {told:?}");
        if told.is_none() {
            undetected.lock().expect("no run has panicked").push(name);
        }
    });
    assert_eq!(
        undetected.into_inner().expect("no run has panicked"),
        Vec::<&str>::new()
    );
}

/// Run by hand: `FROM=100 SEEDS=300 cargo test -p simulator --test combined_machine_faults -- --ignored`:
/// each scenario with `SEEDS` other seeds. All violations are listed.
#[test]
#[ignore = "thousands of runs"]
fn combined_machine_faults_keep_rules_over_many_seeds() {
    let (from, seeds) = (env_number("FROM", 100), env_number("SEEDS", 300));
    let scenarios = SCENARIOS.len() as u64;
    let violations = std::sync::Mutex::new(Vec::new());
    for_seeds(seeds * scenarios, |nth| {
        let (name, faults, _) = SCENARIOS[(nth % scenarios) as usize];
        let seed = from + nth / scenarios;
        // Times of faults are chosen by small seeds.
        let mut world = World::new(Plan::with_long_tasks(seed, MS, faults(seed % 24)));
        world.run();
        if !world.rules.violations.is_empty() {
            let told = (name, seed, world.rules.violations.clone());
            println!("{told:?}");
            violations.lock().expect("no run has panicked").push(told);
        }
    });
    assert_eq!(violations.into_inner().expect("no run has panicked"), []);
}
