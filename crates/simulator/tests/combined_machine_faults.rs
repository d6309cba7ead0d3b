//! Combinations of leader changes with faults of machines and messages: heartbeats, commands, replies of the
//! state service and mesh messages are delayed, duplicated, lost in one direction or lost altogether. Each test
//! asserts that its combination of faults has really occurred. One test runs the scenarios again with injected
//! defects.

mod common;

use common::env_number;
use simulator::{for_seeds, BootBehavior, Fault, FaultCoverage, Mutation, Plan, World};

/// Duration of each run.
const RUN_MS: u64 = 220_000;

/// Runs one seed to its end and asserts that no rule was violated.
fn run_to_end(name: &str, seed: u64, faults: Vec<(u64, Fault)>) -> World {
    let mut world = World::new(Plan::with_long_tasks(seed, RUN_MS, faults));
    world.run();
    assert_eq!(world.rules.violations, [], "{name}, seed {seed}");
    world
}

/// Runs the seeds from 1 to `seeds`, asserts that no rule was violated, and adds up their coverage with `add`.
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

/// Some transactions are applied and only their replies are lost, while leaders crash and jobs are cancelled.
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
    let coverage = run_seeds("lost replies", 10, lost_reply_faults, |coverage, world| {
        coverage.lost_replies += world.coverage.lost_replies;
        coverage.lost_replies_read_elsewhere += world.coverage.lost_replies_read_elsewhere;
    });
    assert!(
        coverage.lost_replies > 500 && coverage.lost_replies_read_elsewhere > 300,
        "{coverage:?}"
    );
}

/// Earliest times of the leader crashes, just after machines have booted.
const CRASHES_AFTER_FAST_BOOTS_MS: [u64; 3] = [48_200, 78_200, 108_200];

/// Machines crash, new ones boot within two seconds and get work at once, and then a leader crashes.
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
    for (nth, at) in CRASHES_AFTER_FAST_BOOTS_MS.into_iter().enumerate() {
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
    let coverage = run_seeds("fast boots", 10, fast_boot_faults, |coverage, world| {
        coverage.launches_on_new_machines += world.coverage.launches_on_new_machines;
        coverage.delayed_writes_after_newer += world.coverage.delayed_writes_after_newer;
        let acquisitions = world
            .failovers
            .list
            .iter()
            .filter(|failover| failover.acquired_at.is_some())
            .count();
        assert!(acquisitions > 0, "no partition was acquired after a crash");
    });
    assert!(
        coverage.launches_on_new_machines > 40 && coverage.delayed_writes_after_newer > 5,
        "{coverage:?}"
    );
}

/// Leases expire and leaders crash while heartbeats are recorded and replayed to the next leader of a partition.
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
fn stale_heartbeats_at_new_leader_keep_rules() {
    let coverage = run_seeds(
        "replayed heartbeats",
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

/// Heartbeats are held back while a leader crashes, and are delivered after its successor's first actions.
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
        let crash_at = at + 1_000 + seed * 140;
        faults.push((
            crash_at,
            Fault::CrashController {
                controller,
                restart_after_ms: 200 + seed * 600,
            },
        ));
        // Jobs for the successor to start before the heartbeats arrive.
        faults.push((crash_at + 2_000, Fault::JobBurst { jobs: 12 }));
        faults.push((
            crash_at + 3_000,
            Fault::CancelAllJobs {
                controller: (controller + 1) % 3,
            },
        ));
        faults.push((crash_at + 3_500, Fault::JobBurst { jobs: 12 }));
    }
    faults
}

#[test]
fn delayed_heartbeats_after_first_actions_of_new_leader_keep_rules() {
    let coverage = run_seeds("held heartbeats", 10, held_heartbeats, |coverage, world| {
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
    let coverage = run_seeds(
        "refused connections",
        10,
        refused_connection_faults,
        |coverage, world| {
            coverage.refused_connections += world.coverage.refused_connections;
            coverage.direct_calls_while_refusing += world.coverage.direct_calls_while_refusing;
        },
    );
    assert!(
        coverage.refused_connections > 1_000 && coverage.direct_calls_while_refusing > 200,
        "{coverage:?}"
    );
}

/// Direct commands are delayed while the leaders that sent them crash, or lose the state service and their peers
/// and so miss cancellations and are succeeded by others.
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
        let leader_fault = if (seed + nth as u64).is_multiple_of(2) {
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
        faults.push((at + 800 + seed * 210, leader_fault));
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
    let coverage = run_seeds(
        "delayed commands",
        12,
        delayed_commands,
        |coverage, world| {
            coverage.delayed_commands += world.coverage.delayed_commands;
            coverage.delayed_commands_rejected += world.coverage.delayed_commands_rejected;
            coverage.delayed_commands_of_crashed += world.coverage.delayed_commands_of_crashed;
            coverage.delayed_commands_of_deposed += world.coverage.delayed_commands_of_deposed;
        },
    );
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

/// Start of the two minutes in which leaders change.
const CHANGES_FROM_MS: u64 = 45_000;
/// Start and length of the state outage within them.
const OUTAGE_MS: (u64, u64) = (95_000, 18_000);

/// Controllers crash in turn, also during a state outage. They restart after 200 ms, or after others have
/// acquired their partitions.
fn repeated_leader_changes(seed: u64) -> Vec<(u64, Fault)> {
    let (outage_from, outage_duration) = OUTAGE_MS;
    let mut faults = vec![(
        outage_from,
        Fault::RefuseStateRequests {
            controller: None,
            duration_ms: outage_duration,
        },
    )];
    let (crash_interval, restart_after_ms) = if seed.is_multiple_of(2) {
        (3_500, 200)
    } else {
        (6_000, 2_600 + 300 * seed)
    };
    for nth in 0..120_000 / crash_interval {
        let controller = (nth + seed) as usize % 3;
        faults.push((
            CHANGES_FROM_MS + nth * crash_interval + seed * 53,
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

/// Runs for two minutes from `CHANGES_FROM_MS` and counts how often each partition was acquired, by another
/// controller or by a new incarnation of the same one.
fn leader_changes_in_two_minutes(world: &mut World) -> [u32; 3] {
    let mut changes = [0; 3];
    let mut last_terms = [0, 1, 2].map(|partition| world.term(partition));
    for at in (CHANGES_FROM_MS..=CHANGES_FROM_MS + 120_000).step_by(100) {
        world.run_to(at);
        for partition in 0..3 {
            let term = world.term(partition as u32);
            if term.is_some() && term != last_terms[partition] {
                last_terms[partition] = term;
                changes[partition] += 1;
            }
        }
    }
    changes
}

#[test]
fn ten_leader_changes_in_two_minutes_keep_rules_also_during_state_outage() {
    for_seeds(8, |seed| {
        let mut world = World::new(Plan::with_long_tasks(
            seed,
            RUN_MS,
            repeated_leader_changes(seed),
        ));
        let changes = leader_changes_in_two_minutes(&mut world);
        world.run();
        assert_eq!(
            world.rules.violations,
            [],
            "ten leader changes, seed {seed}"
        );
        println!("ten leader changes, seed {seed}: {changes:?}");
        assert!(
            changes.iter().any(|count| *count >= 10),
            "seed {seed}: {changes:?}"
        );
    });
}

/// More jobs than capacity, of high and low priority, with slow links and a crash of a leader.
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
        let mut world = World::new(Plan::with_long_tasks(seed, RUN_MS, overload(seed)));
        world.run_to(49_000);
        let unplaced_tasks = world.tasks_of_unplaced_jobs();
        world.run();
        assert_eq!(world.rules.violations, [], "overload, seed {seed}");
        println!("overload, seed {seed}: {unplaced_tasks} tasks of unplaced jobs");
        assert!(
            unplaced_tasks > 100,
            "seed {seed}: {unplaced_tasks} tasks of unplaced jobs"
        );
    });
}

/// Mesh messages from or to a leader are lost. The leader loses the state service, or in one run of three
/// another controller crashes, and jobs are cancelled through another controller.
fn one_way_mesh_faults(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    let duration_ms = 60_000;
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
                duration_ms,
            },
        ));
    }
    let second_fault = match seed % 3 {
        0 => Fault::DisconnectStateService {
            controller,
            duration_ms: 40_000,
        },
        1 => Fault::RefuseStateRequests {
            controller: Some(controller),
            duration_ms: 40_000,
        },
        // The leader loses only one direction of the mesh and keeps its partition.
        _ => Fault::CrashController {
            controller: (controller + 1) % 3,
            restart_after_ms: 400,
        },
    };
    faults.push((50_000, second_fault));
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
    let coverage = run_seeds(
        "one-way mesh partition",
        12,
        one_way_mesh_faults,
        |coverage, world| {
            coverage.one_way_losses += world.coverage.one_way_losses;
        },
    );
    assert!(coverage.one_way_losses > 2_000, "{coverage:?}");
}

/// Mesh messages of partition leaders to the controller with the fleet planner are lost: it must still learn
/// their demand and rent machines for them.
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
    let plan = Plan::with_long_tasks(5, RUN_MS, faults.into());
    let mut world = World::new(plan);
    world.run_to(40_000);
    assert_eq!(world.leader(0), Some("n0"), "leader of partition 0");
    for partition in 0..3 {
        assert!(
            world.recorded_machines(partition) > 0,
            "partition {partition} has no machines"
        );
    }
    world.run();
    assert_eq!(world.rules.violations, []);
}

/// Mesh messages are duplicated and the duplicates delayed, so that some are from an earlier incarnation or arrive
/// at a later one, while controllers crash, restart and are disconnected.
fn mesh_duplicates(seed: u64) -> Vec<(u64, Fault)> {
    let controller = seed as usize % 3;
    if seed.is_multiple_of(2) {
        // No replica follows the leader, and it replies to workers for its full lease validity: delayed mesh
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
    let coverage = run_seeds("mesh duplicates", 12, mesh_duplicates, |coverage, world| {
        coverage.mesh_duplicates += world.coverage.mesh_duplicates;
    });
    assert!(coverage.mesh_duplicates > 1_000, "{coverage:?}");
}

/// A scenario: its name, its faults by seed, and the injected defect that its checks detect.
type ScenarioCase = (&'static str, fn(u64) -> Vec<(u64, Fault)>, Mutation);

const SCENARIOS: [ScenarioCase; 10] = [
    (
        "lost replies",
        lost_reply_faults,
        Mutation::LostRepliesNotApplied,
    ),
    (
        "fast boots",
        fast_boot_faults,
        Mutation::DelayedWritesUnconditional,
    ),
    (
        "replayed heartbeats",
        replayed_heartbeat_faults,
        Mutation::DuplicatedHeartbeatsLookNew,
    ),
    (
        "held heartbeats",
        held_heartbeats,
        Mutation::DuplicatedHeartbeatsLookNew,
    ),
    (
        "refused connections",
        refused_connection_faults,
        Mutation::DirectCommandsRenewLease,
    ),
    (
        "delayed commands",
        delayed_commands,
        Mutation::DelayedCommandsUnfenced,
    ),
    (
        "ten leader changes",
        repeated_leader_changes,
        Mutation::LogCommitsNotWritten,
    ),
    ("overload", overload, Mutation::LogCommitsNotWritten),
    (
        "one-way mesh partition",
        one_way_mesh_faults,
        Mutation::LongCancellationDeadline,
    ),
    (
        "mesh duplicates",
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
        let detected = (1..=20).find_map(|seed| {
            let plan = Plan::with_long_tasks(seed, RUN_MS, faults(seed));
            let mut world = World::new(Plan {
                mutation: Some(mutation),
                ..plan
            });
            world.run();
            world
                .rules
                .violations
                .first()
                .map(|violation| (seed, violation.clone()))
        });
        println!("{name}, {mutation:?}: {detected:?}");
        if detected.is_none() {
            undetected.lock().expect("no run has panicked").push(name);
        }
    });
    assert_eq!(
        undetected.into_inner().expect("no run has panicked"),
        Vec::<&str>::new()
    );
}

/// Runs each scenario with `SEEDS` seeds from `FROM` and lists all violations. Started by hand:
/// `FROM=100 SEEDS=300 cargo test -p simulator --test combined_machine_faults -- --ignored`.
#[test]
#[ignore = "thousands of runs"]
fn combined_machine_faults_keep_rules_over_many_seeds() {
    let (from, seeds) = (env_number("FROM", 100), env_number("SEEDS", 300));
    let scenarios = SCENARIOS.len() as u64;
    let violations = std::sync::Mutex::new(Vec::new());
    for_seeds(seeds * scenarios, |nth| {
        let (name, faults, _) = SCENARIOS[(nth % scenarios) as usize];
        let seed = from + nth / scenarios;
        // The times of the faults grow with the seed, so the faults are built from small seeds.
        let mut world = World::new(Plan::with_long_tasks(seed, RUN_MS, faults(seed % 24)));
        world.run();
        if !world.rules.violations.is_empty() {
            let found = (name, seed, world.rules.violations.clone());
            println!("{found:?}");
            violations.lock().expect("no run has panicked").push(found);
        }
    });
    assert_eq!(violations.into_inner().expect("no run has panicked"), []);
}
