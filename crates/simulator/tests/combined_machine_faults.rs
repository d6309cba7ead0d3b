//! Meetings of troubles on the machines' side: connections, reports, commands, answers of the state service
//! and what controllers tell each other come late, twice, on one way only or not at all, while leaders
//! change. One test a meeting, on the deciding code in the simulated world; each asserts that its meeting has
//! come about, and one runs all of them again with a safety step broken on purpose.

use simulator::{for_seeds, BootBehavior, Fault, FaultCoverage, Mutation, Plan, World};

/// Length of each run.
const MS: u64 = 220_000;

/// One seed's run to its end, with every rule checked after each step.
fn whole_run(name: &str, seed: u64, faults: Vec<(u64, Fault)>) -> World {
    let mut world = World::new(Plan::of_long_tasks(seed, MS, faults));
    world.run();
    assert_eq!(world.rules.violations, [], "{name}, seed {seed}");
    world
}

/// Runs of so many seeds, and what has met in all of them together.
fn whole_runs(
    name: &str,
    seeds: u64,
    faults: impl Fn(u64) -> Vec<(u64, Fault)> + Sync,
    add: impl Fn(&mut FaultCoverage, &World) + Sync,
) -> FaultCoverage {
    let coverage = std::sync::Mutex::new(FaultCoverage::default());
    for_seeds(seeds, |seed| {
        let world = whole_run(name, seed, faults(seed));
        add(&mut coverage.lock().expect("no run has panicked"), &world);
    });
    let coverage = coverage.into_inner().expect("no run has panicked");
    println!("{name}: {coverage:?}");
    coverage
}

/// Transactions are carried out at once and only their answers are lost, while leaders end and jobs are
/// cancelled.
fn answers_lost(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    vec![
        (
            5_000,
            Fault::DropTransactionReplies {
                percent: 20 + 10 * (seed % 4),
                ms: 130_000,
            },
        ),
        (40_000, Fault::CrashController { node, back: 100 }),
        (
            55_000 + seed * 130,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ),
        (
            55_300 + seed * 130,
            Fault::RefuseStateRequests {
                node: Some(node),
                ms: 6_000,
            },
        ),
        (62_000, Fault::JobBurst { jobs: 10 }),
        (
            66_000,
            Fault::CrashController {
                node: (node + 1) % 3,
                back: 3_000,
            },
        ),
        (80_000, Fault::CrashMachines { count: 2 }),
        (100_000, Fault::CancelAllJobs { through: node }),
        (
            100_200,
            Fault::CrashController {
                node: (node + 2) % 3,
                back: 700,
            },
        ),
    ]
}

#[test]
fn applied_transaction_with_lost_reply_keeps_rules() {
    let coverage = whole_runs("answers lost", 10, answers_lost, |coverage, world| {
        coverage.lost_replies += world.coverage.lost_replies;
        coverage.lost_replies_read_elsewhere += world.coverage.lost_replies_read_elsewhere;
    });
    assert!(
        coverage.lost_replies > 500 && coverage.lost_replies_read_elsewhere > 300,
        "{coverage:?}"
    );
}

/// When the leader ends as machines have just come up.
const QUICK_ENDS: [u64; 3] = [48_200, 78_200, 108_200];

/// Machines end, new ones are up within two seconds and get work at once, and a leader ends.
fn quick_boots(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = vec![
        (
            0,
            Fault::ChangeBootBehavior {
                how: BootBehavior::Quick,
                ms: 200_000,
            },
        ),
        (
            30_000,
            Fault::DelayTransactions {
                percent: 25,
                ms: 100_000,
            },
        ),
    ];
    for (nth, at) in QUICK_ENDS.into_iter().enumerate() {
        let node = (nth + seed as usize) % 3;
        faults.push((at - 4_000, Fault::CrashMachines { count: 5 }));
        faults.push((at - 3_900, Fault::JobBurst { jobs: 16 }));
        faults.push((
            at + seed * 170,
            Fault::CrashController {
                node,
                back: 100 + seed * 400,
            },
        ));
        faults.push((
            at + seed * 170 + 1_500,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ));
    }
    faults
}

#[test]
fn fast_machine_boot_during_slow_writes_and_leader_crash_keeps_rules() {
    let coverage = whole_runs("quick boots", 10, quick_boots, |coverage, world| {
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

/// Leases lapse and leaders end while copies of reports are kept for the next leader.
fn kept_copies(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    vec![
        (
            20_000,
            Fault::ReplayHeartbeats {
                percent: 25,
                ms: 140_000,
            },
        ),
        (
            40_000,
            Fault::DropMessagesToMachines {
                count: 5,
                ms: 15_000,
            },
        ),
        (
            58_000 + seed * 110,
            Fault::CrashController { node, back: 300 },
        ),
        (
            60_000,
            Fault::RefuseStateRequests {
                node: None,
                ms: 32_000,
            },
        ),
        (
            96_000,
            Fault::CrashController {
                node: (node + 1) % 3,
                back: 200,
            },
        ),
        (
            97_000,
            Fault::CancelAllJobs {
                through: (node + 2) % 3,
            },
        ),
        (110_000, Fault::JobBurst { jobs: 10 }),
        (
            118_000 + seed * 70,
            Fault::CrashController {
                node: (node + 2) % 3,
                back: 100,
            },
        ),
    ]
}

#[test]
fn stale_heartbeat_at_start_of_new_leader_changes_nothing() {
    let coverage = whole_runs("kept copies", 10, kept_copies, |coverage, world| {
        coverage.stale_heartbeats_at_failover += world.coverage.stale_heartbeats_at_failover;
        coverage.stale_sessions_at_failover += world.coverage.stale_sessions_at_failover;
    });
    assert!(
        coverage.stale_heartbeats_at_failover > 500 && coverage.stale_sessions_at_failover > 50,
        "{coverage:?}"
    );
}

/// Reports are held back as a leader ends, and come when its successor has acted.
fn held_heartbeats(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for (nth, at) in [45_000, 70_000, 95_000].into_iter().enumerate() {
        let node = (nth + seed as usize) % 3;
        faults.push((
            at,
            Fault::HoldHeartbeats {
                percent: 75,
                ms: 8_000,
            },
        ));
        faults.push((at + 200, Fault::JobBurst { jobs: 16 }));
        let crash = at + 1_000 + seed * 140;
        faults.push((
            crash,
            Fault::CrashController {
                node,
                back: 200 + seed * 600,
            },
        ));
        // Work for the successor to start before the reports come.
        faults.push((crash + 2_000, Fault::JobBurst { jobs: 12 }));
        faults.push((
            crash + 3_000,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ));
        faults.push((crash + 3_500, Fault::JobBurst { jobs: 12 }));
    }
    faults
}

#[test]
fn delayed_heartbeat_after_first_actions_of_new_leader_keeps_rules() {
    let coverage = whole_runs("held reports", 10, held_heartbeats, |coverage, world| {
        coverage.held_heartbeats += world.coverage.held_heartbeats;
    });
    assert!(coverage.held_heartbeats > 200, "{coverage:?}");
}

/// Machines can't open connections, for less and for more than a lease, and leaders end meanwhile.
fn mute(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    // In every fifth run it is all of them.
    let count = if seed.is_multiple_of(5) { 1_000 } else { 6 };
    vec![
        (
            45_000,
            Fault::RefuseMachineConnections {
                count,
                ms: 5_000 + seed * 2_500,
            },
        ),
        (45_500, Fault::JobBurst { jobs: 8 }),
        (
            47_000 + seed * 250,
            Fault::CrashController {
                node,
                back: 100 + seed * 700,
            },
        ),
        (
            52_000,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ),
        (85_000, Fault::JobBurst { jobs: 10 }),
        (
            90_000,
            Fault::RefuseMachineConnections {
                count: 8,
                ms: 30_000,
            },
        ),
        (91_000 + seed * 300, Fault::CancelAllJobs { through: node }),
        (
            93_000,
            Fault::RefuseStateRequests {
                node: None,
                ms: 20_000,
            },
        ),
    ]
}

#[test]
fn direct_commands_to_machines_without_outgoing_connections_keep_rules() {
    let coverage = whole_runs("mute", 10, mute, |coverage, world| {
        coverage.refused_connections += world.coverage.refused_connections;
        coverage.direct_calls_while_refusing += world.coverage.direct_calls_while_refusing;
    });
    assert!(
        coverage.refused_connections > 1_000 && coverage.direct_calls_while_refusing > 200,
        "{coverage:?}"
    );
}

/// Direct commands are held up as their leaders end, are deposed, or lose sight of what is cancelled.
fn delayed_commands(seed: u64) -> Vec<(u64, Fault)> {
    let mut faults = vec![(
        30_000,
        Fault::DelayCommands {
            percent: 80,
            ms: 110_000,
        },
    )];
    for (nth, at) in [40_000, 70_000, 100_000].into_iter().enumerate() {
        let node = (nth + seed as usize) % 3;
        faults.push((at, Fault::CrashMachines { count: 2 }));
        faults.push((at, Fault::JobBurst { jobs: 8 }));
        let ends = if (seed + nth as u64).is_multiple_of(2) {
            Fault::CrashController {
                node,
                back: 200 + seed * 300,
            }
        } else {
            Fault::DisconnectStateAndMesh {
                node,
                ms: 25_000,
                refused: seed.is_multiple_of(3),
            }
        };
        faults.push((at + 800 + seed * 210, ends));
        faults.push((
            at + 5_000,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ));
        faults.push((at + 9_000, Fault::JobBurst { jobs: 6 }));
    }
    faults
}

#[test]
fn delayed_command_of_former_leader_is_fenced_after_failover() {
    let coverage = whole_runs("late commands", 12, delayed_commands, |coverage, world| {
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

/// Begin of the two minutes in which leaders change, and of the outage in their midst.
const CHANGES_FROM: u64 = 45_000;
const OUTAGE: (u64, u64) = (95_000, 18_000);

/// One node after the other ends, also while the state service is out. They are back after a fraction of a
/// second, or after others have taken their partitions.
fn ten_changes(seed: u64) -> Vec<(u64, Fault)> {
    let (out, out_ms) = OUTAGE;
    let mut faults = vec![(
        out,
        Fault::RefuseStateRequests {
            node: None,
            ms: out_ms,
        },
    )];
    let (pause, back) = if seed.is_multiple_of(2) {
        (3_500, 200)
    } else {
        (6_000, 2_600 + 300 * seed)
    };
    for nth in 0..120_000 / pause {
        let node = (nth + seed) as usize % 3;
        faults.push((
            CHANGES_FROM + nth * pause + seed * 53,
            Fault::CrashController { node, back },
        ));
    }
    for at in [60_000, 90_000, 94_500, 125_000] {
        faults.push((
            at + seed * 91,
            Fault::CancelAllJobs {
                through: (seed as usize + 1) % 3,
            },
        ));
        faults.push((at + 3_000, Fault::JobBurst { jobs: 6 }));
    }
    faults
}

/// Runs two minutes on and counts how often each partition has been taken: by another node, or by a new life
/// of the same.
fn changes_in_two_minutes(world: &mut World) -> [u32; 3] {
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
        let mut world = World::new(Plan::of_long_tasks(seed, MS, ten_changes(seed)));
        let changes = changes_in_two_minutes(&mut world);
        world.run();
        assert_eq!(world.rules.violations, [], "ten changes, seed {seed}");
        println!("ten changes, seed {seed}: {changes:?}");
        assert!(
            changes.iter().any(|count| *count >= 10),
            "seed {seed}: {changes:?}"
        );
    });
}

/// More is submitted than there is room for, urgent and not, over slow links.
fn overload(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    vec![
        (
            15_000,
            Fault::SlowLinks {
                times: 40 + 20 * (seed % 3),
                ms: 120_000,
            },
        ),
        (16_000, Fault::GuestJobs { jobs: 4 }),
        (20_000, Fault::SkewedLoad { ms: 60_000 }),
        (22_000, Fault::JobBurst { jobs: 60 }),
        (40_000, Fault::CrashMachines { count: 3 }),
        (
            50_000 + seed * 120,
            Fault::CrashController {
                node,
                back: 150 + seed * 500,
            },
        ),
        (52_000, Fault::JobBurst { jobs: 20 }),
        (
            80_000,
            Fault::CancelAllJobs {
                through: (node + 1) % 3,
            },
        ),
        (81_000, Fault::JobBurst { jobs: 30 }),
    ]
}

#[test]
fn overload_over_slow_links_keeps_rules() {
    for_seeds(8, |seed| {
        let mut world = World::new(Plan::of_long_tasks(seed, MS, overload(seed)));
        world.run_to(49_000);
        let waiting = world.waiting();
        world.run();
        assert_eq!(world.rules.violations, [], "overload, seed {seed}");
        println!("overload, seed {seed}: {waiting} tasks wait");
        assert!(waiting > 100, "seed {seed}: {waiting} tasks wait");
    });
}

/// A leader hears the others and is not heard by them, or the other way round, and loses the state service;
/// its jobs are cancelled through another.
fn one_way(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    let ms = 60_000;
    let mut faults = Vec::new();
    for other in (0..3).filter(|other| *other != node) {
        let (from, to) = if seed.is_multiple_of(2) {
            (node, other)
        } else {
            (other, node)
        };
        faults.push((48_000, Fault::OneWayMeshPartition { from, to, ms }));
    }
    let state = match seed % 3 {
        0 => Fault::DisconnectStateService { node, ms: 40_000 },
        1 => Fault::RefuseStateRequests {
            node: Some(node),
            ms: 40_000,
        },
        // Only its link is lost: it keeps its partition.
        _ => Fault::CrashController {
            node: (node + 1) % 3,
            back: 400,
        },
    };
    faults.push((50_000, state));
    faults.push((
        50_100 + seed * 400,
        Fault::CancelAllJobs {
            through: (node + 1) % 3,
        },
    ));
    faults.push((
        51_000 + seed * 400,
        Fault::RefuseStateRequests {
            node: None,
            ms: 35_000 * (seed / 2 % 2),
        },
    ));
    faults.push((
        115_000,
        Fault::OneWayMeshPartition {
            from: node,
            to: (node + 1) % 3,
            ms: 20_000,
        },
    ));
    faults.push((117_000, Fault::CrashController { node, back: 100 }));
    faults
}

#[test]
fn one_way_mesh_partition_keeps_rules() {
    let coverage = whole_runs("one way", 12, one_way, |coverage, world| {
        coverage.one_way_losses += world.coverage.one_way_losses;
    });
    assert!(coverage.one_way_losses > 2_000, "{coverage:?}");
}

/// Holders that hear the leader and are not heard by it: it knew nothing of what they lacked, and rented no
/// machine for them.
#[test]
fn fleet_planner_scales_out_for_leaders_with_lost_messages() {
    let faults = [1, 2].map(|from| {
        (
            0,
            Fault::OneWayMeshPartition {
                from,
                to: 0,
                ms: 60_000,
            },
        )
    });
    let plan = Plan::of_long_tasks(5, MS, faults.into());
    let mut world = World::new(plan);
    world.run_to(40_000);
    assert_eq!(world.leader(0), Some("n0"), "the leader");
    for partition in 0..3 {
        assert!(world.machines_of(partition) > 0, "partition {partition}");
    }
    world.run();
    assert_eq!(world.rules.violations, []);
}

/// What controllers told each other comes again late, also from and to earlier lives, while they end, come
/// back and are cut off.
fn mesh_duplicates(seed: u64) -> Vec<(u64, Fault)> {
    let node = seed as usize % 3;
    if seed.is_multiple_of(2) {
        // Nobody has followed it, and it answers its workers for as long as it may: late signs of life are
        // all that its successor hears of it.
        return vec![
            (1_000, Fault::DisconnectMesh { node, ms: 120_000 }),
            (
                20_000,
                Fault::DuplicateMeshMessages {
                    percent: 50,
                    ms: 140_000,
                },
            ),
            (40_000, Fault::DisconnectStateService { node, ms: 60_000 }),
            (42_000, Fault::JobBurst { jobs: 10 }),
            (
                85_000,
                Fault::CancelAllJobs {
                    through: (node + 1) % 3,
                },
            ),
        ];
    }
    vec![
        (
            20_000,
            Fault::DuplicateMeshMessages {
                percent: 30,
                ms: 140_000,
            },
        ),
        (
            45_000,
            Fault::CrashController {
                node,
                back: 100 + seed * 300,
            },
        ),
        (
            58_000,
            Fault::DisconnectStateAndMesh {
                node: (node + 1) % 3,
                ms: 25_000,
                refused: seed % 4 == 1,
            },
        ),
        (
            60_000 + seed * 500,
            Fault::CancelAllJobs {
                through: (node + 2) % 3,
            },
        ),
        (
            61_000,
            Fault::DisconnectWorkers {
                node: (node + 2) % 3,
                ms: 15_000,
            },
        ),
        (90_000, Fault::JobBurst { jobs: 10 }),
        (
            95_000,
            Fault::CrashController {
                node: (node + 2) % 3,
                back: 5_000,
            },
        ),
        (
            97_500,
            Fault::CrashController {
                node: (node + 2) % 3,
                back: 100,
            },
        ),
        (110_000, Fault::CancelAllJobs { through: node }),
    ]
}

#[test]
fn delayed_duplicates_on_mesh_keep_rules() {
    let coverage = whole_runs("mesh copies", 12, mesh_duplicates, |coverage, world| {
        coverage.mesh_duplicates += world.coverage.mesh_duplicates;
    });
    assert!(coverage.mesh_duplicates > 1_000, "{coverage:?}");
}

/// A meeting, its troubles by seed, and a safety step that it tells when broken.
type ScenarioCase = (&'static str, fn(u64) -> Vec<(u64, Fault)>, Mutation);

const SCENARIOS: [ScenarioCase; 10] = [
    (
        "answers lost",
        answers_lost,
        Mutation::LostRepliesNotApplied,
    ),
    (
        "quick boots",
        quick_boots,
        Mutation::DelayedWritesUnconditional,
    ),
    ("kept copies", kept_copies, Mutation::DuplicatesTrusted),
    ("held reports", held_heartbeats, Mutation::DuplicatesTrusted),
    ("mute", mute, Mutation::DirectCommandsRenewLease),
    (
        "late commands",
        delayed_commands,
        Mutation::DelayedCommandsTrusted,
    ),
    ("ten changes", ten_changes, Mutation::LogCommitsNotWritten),
    ("overload", overload, Mutation::LogCommitsNotWritten),
    ("one way", one_way, Mutation::LongCancel),
    (
        "mesh copies",
        mesh_duplicates,
        Mutation::MeshDuplicatesTrusted,
    ),
];

/// Each meeting again with a safety step broken on purpose: what it asserts can fail.
#[test]
fn each_scenario_detects_its_injected_defect() {
    let untold = std::sync::Mutex::new(Vec::new());
    for_seeds(SCENARIOS.len() as u64, |nth| {
        let (name, faults, mutation) = SCENARIOS[nth as usize - 1];
        let told = (1..=20).find_map(|seed| {
            let plan = Plan::of_long_tasks(seed, MS, faults(seed));
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
            untold.lock().expect("no run has panicked").push(name);
        }
    });
    assert_eq!(
        untold.into_inner().expect("no run has panicked"),
        Vec::<&str>::new()
    );
}

/// By hand: `FROM=100 SEEDS=300 cargo test -p simulator --test combined_machine_faults -- --ignored`: every meeting with
/// so many other seeds. All that break a rule are named.
#[test]
#[ignore = "thousands of runs"]
fn combined_machine_faults_keep_rules_over_many_seeds() {
    let number = |name: &str, usual: u64| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(usual)
    };
    let (from, seeds) = (number("FROM", 100), number("SEEDS", 300));
    let scenarios = SCENARIOS.len() as u64;
    let violations = std::sync::Mutex::new(Vec::new());
    for_seeds(seeds * scenarios, |nth| {
        let (name, faults, _) = SCENARIOS[(nth % scenarios) as usize];
        let seed = from + nth / scenarios;
        // The times of the troubles are those of small seeds.
        let mut world = World::new(Plan::of_long_tasks(seed, MS, faults(seed % 24)));
        world.run();
        if !world.rules.violations.is_empty() {
            let told = (name, seed, world.rules.violations.clone());
            println!("{told:?}");
            violations.lock().expect("no run has panicked").push(told);
        }
    });
    assert_eq!(violations.into_inner().expect("no run has panicked"), []);
}
