//! Simulated failovers to standbys. The rules, see `simulator::rules`, are checked after every step.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use simulator::availability::ServiceLevel;
use simulator::{for_seeds, Failover, Fault, Mutation, Plan, World};

/// Runs a site to 59 s; it then has over `4 * size` machines, which are full at 60 s.
fn full_site(seed: u64, size: u64, duration_ms: u64, mut faults: Vec<(u64, Fault)>) -> World {
    faults.insert(
        0,
        (
            1_000,
            Fault::JobBurst {
                jobs: 8 * size as usize,
            },
        ),
    );
    let plan = Plan {
        seed,
        duration_ms,
        faults,
        mutation: None,
        submit_until_ms: duration_ms,
        size,
    };
    let mut world = World::new(plan);
    world.run_to(59_000);
    assert!(
        world.machines_up() > 4 * size as usize,
        "seed {seed}: {}",
        world.machines_up()
    );
    world
}

/// Runs a small site to its end, with submissions for 150 s. With a mutation it gets 20 s more to complete all work,
/// since false replication records slow it down.
fn run_small_site(seed: u64, faults: Vec<(u64, Fault)>, mutation: Option<Mutation>) -> World {
    let duration_ms = if mutation.is_some() { 320_000 } else { 300_000 };
    let mut world = World::new(Plan {
        seed,
        duration_ms,
        faults,
        mutation,
        submit_until_ms: 150_000,
        size: 2,
    });
    world.run();
    world
}

/// Random crashes, pauses, isolations and mesh disconnections of controllers; some of them overlap.
fn controller_faults(seed: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..9)
        .map(|n| {
            let at_ms = 20_000 + n * 14_000 + rng.random_range(0..9_000);
            let controller = rng.random_range(0..3);
            let fault = match rng.random_range(0..6) {
                0 => Fault::PauseController {
                    controller,
                    duration_ms: rng.random_range(800..20_000),
                },
                1 => Fault::IsolateController {
                    controller,
                    duration_ms: rng.random_range(2_000..25_000),
                },
                2 => Fault::DisconnectMesh {
                    controller,
                    duration_ms: rng.random_range(2_000..20_000),
                },
                _ => Fault::CrashController {
                    controller,
                    restart_after_ms: rng.random_range(2_000..9_000),
                },
            };
            (at_ms, fault)
        })
        .collect()
}

/// Runs each seed on a thread of its own; the results are in the order of the seeds.
fn run_each_seed<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> = seeds.map(|seed| scope.spawn(move || run(seed))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a seed's run"))
            .collect()
    })
}

/// Time from the stop of the leader until `at`; `u64::MAX` for a step that the failover did not reach.
fn ms_since_leader_stop(failover: &Failover, at: Option<u64>) -> u64 {
    at.map_or(u64::MAX, |at| at - failover.leader_stopped_at)
}

/// Bounds the interruption that users see. Without a standby, the partition is acquired only once the lease has expired
/// after 3 s, and machines find the new leader only with their next heartbeats. Healthy machines must not be returned
/// to the cloud because the new leader has not heard from them yet.
#[test]
fn standby_fails_over_within_two_seconds_and_releases_no_live_machine() {
    // With jobs in the queue, the first launch shows when the standby starts to schedule.
    let burst = (59_500, Fault::JobBurst { jobs: 150 });
    let mut world = full_site(
        21,
        107,
        100_000,
        vec![
            burst,
            (
                60_000,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 8_000,
                },
            ),
        ],
    );
    let released_at_59_s = world.machines_released_alive;
    world.run_to(60_000);
    let released_at_60_s = world.machines_released_alive;
    world.run_to(66_000);
    let after_crash =
        |failover: &&Failover| failover.leader_stopped_at >= 60_000 && !failover.transferred;
    let failover = world
        .failovers
        .list
        .iter()
        .find(after_crash)
        .cloned()
        .expect("a failover after the crash");
    assert_eq!((failover.partition, failover.transferred), (1, false));
    assert!(failover.machine_count > 150, "{failover:?}");
    assert!(
        ms_since_leader_stop(&failover, failover.acquired_at) <= 2_000,
        "{failover:?}"
    );
    assert!(
        ms_since_leader_stop(&failover, failover.first_contact_at) <= 2_200,
        "{failover:?}"
    );
    assert!(
        ms_since_leader_stop(&failover, failover.first_launch_at) <= 2_500,
        "{failover:?}"
    );
    let released_after_crash = world.machines_released_alive - released_at_60_s;
    assert!(
        released_after_crash <= 10,
        "{released_after_crash} live machines released within 6 s of the crash, {} in the second before",
        released_at_60_s - released_at_59_s
    );
    world.run();
    let failback = world
        .failovers
        .list
        .iter()
        .rfind(|t| t.transferred)
        .cloned()
        .expect("a transfer back to the restarted leader");
    assert_eq!(world.leader(1), Some("n1"));
    assert!(
        ms_since_leader_stop(&failback, failback.first_contact_at) <= 200,
        "the failback interrupts service: {failback:?}"
    );
    assert_eq!(world.early_failovers(), (1, 0));
    assert_eq!(world.tasks_killed_by_lease(), 0);
    assert_eq!(world.rules.violations, []);
}

/// Machines crash together with their leader. The standby probes the machines that the leader had heard from, and
/// detects their loss as fast as that of machines it has heard from itself.
#[test]
fn machines_crashed_with_their_leader_are_detected() {
    // The loss of some machines is detected only by missed heartbeats: 10 and 11 of 91 in two of twelve seeds, up to
    // six in the others. Hence the bound applies to the sum over all seeds.
    let counts = run_each_seed(22..27, |seed| {
        let faults = vec![
            (
                60_000,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 8_000,
                },
            ),
            (60_001, Fault::CrashMachines { count: 91 }),
        ];
        let mut world = full_site(seed, 107, 110_000, faults);
        world.run_to(60_010);
        let dead = world.recorded_dead_machines();
        assert!(dead >= 50, "seed {seed}: {dead}");
        world.run_to(72_000);
        let undetected = world.recorded_dead_machines();
        world.run();
        assert_eq!(world.rules.violations, [], "seed {seed}");
        (undetected, dead)
    });
    let (undetected, dead) = counts
        .iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(
        undetected * 10 <= dead,
        "the loss of {undetected} of {dead} dead machines is not detected: {counts:?}"
    );
}

/// The successor usually contacts the last of about three hundred machines within seconds. In two of twelve seeds its
/// message to one machine is lost, and this machine contacts the leader itself a heartbeat interval later; hence the
/// bounds apply to the median of the seeds.
#[test]
fn successor_contacts_last_machine_within_seconds_of_leader_crash() {
    let contact_times_ms = run_each_seed(21..26, |seed| {
        let faults = vec![
            (59_500, Fault::JobBurst { jobs: 150 }),
            (
                60_000,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 8_000,
                },
            ),
        ];
        let mut world = full_site(seed, 107, 78_000, faults);
        world.run();
        assert_eq!(world.rules.violations, [], "seed {seed}");
        let last_contact_ms =
            |failover: &Failover| ms_since_leader_stop(failover, failover.last_contact_at);
        let failover = world
            .failovers
            .list
            .iter()
            .find(|failover| failover.leader_stopped_at >= 60_000 && !failover.transferred);
        let failback = world
            .failovers
            .list
            .iter()
            .rfind(|failover| failover.transferred);
        (
            last_contact_ms(failover.expect("a failover after the crash")),
            last_contact_ms(failback.expect("a transfer back to the restarted leader")),
        )
    });
    let (mut failovers_ms, mut failbacks_ms): (Vec<u64>, Vec<u64>) =
        contact_times_ms.into_iter().unzip();
    failovers_ms.sort_unstable();
    failbacks_ms.sort_unstable();
    println!(
        "last machine contacted: failovers {failovers_ms:?} ms, failbacks {failbacks_ms:?} ms"
    );
    assert!(
        failovers_ms[2] <= 4_500 && failbacks_ms[2] <= 3_000,
        "failovers {failovers_ms:?} ms, failbacks {failbacks_ms:?} ms"
    );
}

#[test]
fn last_controller_acquires_all_partitions_after_crash_of_leader_and_standby() {
    let faults = vec![
        (
            60_000,
            Fault::CrashController {
                controller: 0,
                restart_after_ms: 30_000,
            },
        ),
        (
            60_000,
            Fault::CrashController {
                controller: 1,
                restart_after_ms: 31_000,
            },
        ),
    ];
    let mut world = full_site(23, 107, 120_000, faults);
    world.run_to(62_500);
    for partition in 0..3 {
        assert_eq!(world.leader(partition), Some("n2"), "partition {partition}");
    }
    world.run_to(89_000);
    let starts_before = world.rules.task_starts;
    world.run();
    assert!(
        world.rules.task_starts > starts_before,
        "no task has started"
    );
    assert_eq!(
        (world.leader(0), world.leader(1)),
        (Some("n0"), Some("n1")),
        "restarted controllers lead their partitions again"
    );
    assert_eq!(world.tasks_killed_by_lease(), 0);
    assert_eq!(world.rules.violations, []);
}

#[test]
fn standby_crash_in_first_second_of_failover_is_survived() {
    for (seed, delay_ms) in [(24, 1_100), (25, 1_500), (26, 1_900)] {
        let faults = vec![
            (
                60_000,
                Fault::CrashController {
                    controller: 0,
                    restart_after_ms: 9_000,
                },
            ),
            (
                60_000 + delay_ms,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 9_000,
                },
            ),
        ];
        let mut world = full_site(seed, 20, 130_000, faults);
        world.run();
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.leader(0), Some("n0"), "seed {seed}");
    }
}

/// A controller restarts every 20 s, in turn, under three times the load.
#[test]
fn rolling_restarts_in_burst_expire_no_lease() {
    let mut faults: Vec<(u64, Fault)> = (0..6)
        .map(|n| {
            (
                60_000 + n * 20_000,
                Fault::CrashController {
                    controller: n as usize % 3,
                    restart_after_ms: 6_000,
                },
            )
        })
        .collect();
    faults.extend((0..20).map(|n| (60_000 + n * 4_000, Fault::JobBurst { jobs: 12 })));
    let mut world = full_site(27, 30, 200_000, faults);
    world.run();
    assert_eq!(world.rules.violations, []);
    assert_eq!(world.tasks_killed_by_lease(), 0);
    let (early, false_failovers) = world.early_failovers();
    assert!(
        early >= 5 && false_failovers == 0,
        "{early} early failovers, {false_failovers} of them from live leaders"
    );
}

/// A healthy leader keeps its partition: short pauses, a disconnected mesh, workers that redirect for other
/// reasons and a slow state service are no evidence of a crash, alone or together.
#[test]
fn healthy_leader_keeps_partition() {
    let mut early = 0;
    for seed in 1..=24 {
        early += failovers_without_crash(seed);
    }
    assert_eq!(early, 0, "early failovers from live leaders");
}

/// The same as `healthy_leader_keeps_partition` for a thousand simulated hours. Run by hand:
/// `cargo test --release -p simulator --test failover -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn healthy_leader_keeps_partition_for_thousand_hours() {
    let seeds_per_thread = 14_000 / 8;
    let early: u64 = std::thread::scope(|scope| {
        let run = |thread_index: u64| {
            move || {
                (thread_index * seeds_per_thread..(thread_index + 1) * seeds_per_thread)
                    .map(failovers_without_crash)
                    .sum::<u64>()
            }
        };
        let threads: Vec<_> = (0..8).map(|index| scope.spawn(run(index))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the thread's runs"))
            .sum()
    });
    assert_eq!(early, 0, "early failovers from live leaders");
}

/// Runs 260 s of faults under which every controller keeps its lease; returns the number of early failovers.
fn failovers_without_crash(seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xa11ce);
    let mut faults = Vec::new();
    for n in 0..18 {
        let at_ms = 15_000 + n * 12_000 + rng.random_range(0..10_000);
        let (controller, machine_index) = (rng.random_range(0..3), rng.random_range(0..40));
        let duration_ms = rng.random_range(1_000..20_000);
        faults.push(match rng.random_range(0..8) {
            0 | 1 => (
                at_ms,
                Fault::PauseController {
                    controller,
                    duration_ms: rng.random_range(100..1_000),
                },
            ),
            2 => (
                at_ms,
                Fault::DisconnectMesh {
                    controller,
                    duration_ms,
                },
            ),
            3 => (
                at_ms,
                Fault::DisconnectMachine {
                    machine_index,
                    duration_ms,
                },
            ),
            4 => (
                at_ms,
                Fault::HangMachines {
                    count: 4,
                    duration_ms,
                },
            ),
            5 => (at_ms, Fault::CrashMachines { count: 3 }),
            6 => (at_ms, Fault::JobBurst { jobs: 20 }),
            _ => (
                at_ms,
                Fault::SlowStateService {
                    factor: 15,
                    duration_ms,
                },
            ),
        });
    }
    let world = run_small_site(seed, faults.clone(), None);
    assert_eq!(world.rules.violations, [], "seed {seed}: {faults:?}");
    world.early_failovers().0
}

/// Replication records are hints: if they are false or lost, the rules must hold and all work must complete.
#[test]
fn false_replication_records_keep_rules() {
    for seed in 5..=14 {
        for mutation in [
            Mutation::FalseReplicationRecords,
            Mutation::LostReplicationRecords,
        ] {
            let world = run_small_site(seed, controller_faults(seed), Some(mutation));
            assert_eq!(world.rules.violations, [], "seed {seed}, {mutation:?}");
            assert_eq!(
                world.unfinished_jobs(),
                Vec::<String>::new(),
                "seed {seed}, {mutation:?}"
            );
        }
    }
}

#[test]
fn crashes_and_pauses_of_all_controllers_keep_rules() {
    let mut early = 0;
    for seed in 1..=24 {
        let world = run_small_site(seed, controller_faults(seed), None);
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
        early += world.early_failovers().0;
    }
    assert!(
        early >= 20,
        "only {early} early failovers: the evidence of crashes is hardly ever sufficient"
    );
}

/// A successor must assume that its predecessors still answer the partition's workers. Otherwise it starts a task on
/// another machine while a predecessor renews the lease of the first one.
#[test]
fn checker_detects_ignored_predecessor() {
    let violation = (1..=12).find_map(|seed| {
        let controller = (seed % 3) as usize;
        // No replica follows the leader: a successor with a replica would contact the workers, which then
        // know its fencing token.
        let faults = vec![
            (
                1_000,
                Fault::DisconnectMesh {
                    controller,
                    duration_ms: 99_000,
                },
            ),
            (
                40_000,
                Fault::DisconnectStateService {
                    controller,
                    duration_ms: 60_000,
                },
            ),
        ];
        run_small_site(seed, faults, Some(Mutation::PredecessorsNotRecorded))
            .rules
            .violations
            .first()
            .cloned()
    });
    let rules = ["ran_twice", "quota", "wrong_place", "ran_cancelled"];
    assert!(
        violation
            .as_ref()
            .is_some_and(|violation| rules.contains(&violation.rule)),
        "{violation:?}"
    );
}

/// A stale read of the placement log misses the predecessor's last commits, so that tasks run twice. Only the check
/// that the log was read at the revision of the successor's own partition record or later prevents this: without it,
/// 17 of 20 such runs violated a rule.
#[test]
fn placement_log_read_below_record_revision_is_read_again() {
    for seed in 1..=8 {
        let world = run_small_site(
            seed,
            controller_faults(seed),
            Some(Mutation::StalePlacementLog),
        );
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// An unreadable page of the placement log may contain any placement. Its partition schedules nothing and its workers
/// keep their leases until the page is restored. Without this check, a task on the page ran twice with seed 42.
#[test]
fn partition_with_unreadable_log_page_waits_and_keeps_worker_leases() {
    for seed in 41..=44 {
        let faults = vec![
            (
                60_000,
                Fault::CorruptLogPage {
                    partition: 1,
                    duration_ms: 22_000,
                },
            ),
            (
                60_500,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms: 40_000,
                },
            ),
        ];
        let world = run_small_site(seed, faults, None);
        assert_eq!(world.rules.violations, [], "seed {seed}");
        assert_eq!(world.tasks_killed_by_lease(), 0, "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Runs once for each crash point: a controller, or all of them, crashes before one of its effects around a burst of
/// jobs. Among these points are those between a commit and its launches, and half way through a gang, a leadership
/// transfer, a release and a reply. `point / 3` selects the effect, `point % 3` the controller.
fn crash_before_each_effect(points: impl Iterator<Item = u64>, all_controllers: bool) {
    for point in points {
        let controllers = if all_controllers {
            0..3
        } else {
            point as usize % 3..point as usize % 3 + 1
        };
        let mut faults = vec![(40_000, Fault::JobBurst { jobs: 12 })];
        faults.extend(controllers.map(|controller| {
            (
                39_990,
                Fault::CrashBeforeEffect {
                    controller,
                    nth: 1 + point / 3,
                },
            )
        }));
        faults.push((44_000, Fault::JobBurst { jobs: 6 }));
        let plan = Plan {
            seed: point,
            duration_ms: 220_000,
            faults,
            mutation: None,
            submit_until_ms: 70_000,
            size: 2,
        };
        let mut world = World::new(plan);
        world.run();
        assert_eq!(world.rules.violations, [], "crash point {point}");
        assert_eq!(
            world.unfinished_jobs(),
            Vec::<String>::new(),
            "crash point {point}"
        );
    }
}

#[test]
fn controller_crash_before_each_effect_keeps_rules() {
    crash_before_each_effect(0..60, false);
}

#[test]
fn crash_of_all_controllers_before_each_effect_keeps_rules() {
    crash_before_each_effect((0..180).step_by(3), true);
}

/// The same as the two tests above with a thousand crash points each. Run by hand with `--ignored`.
#[test]
#[ignore = "takes minutes"]
fn controller_crash_before_each_of_thousand_effects_keeps_rules() {
    std::thread::scope(|scope| {
        for thread_index in 0..4 {
            scope.spawn(move || {
                crash_before_each_effect(thread_index * 250..(thread_index + 1) * 250, false)
            });
            scope.spawn(move || {
                crash_before_each_effect(
                    (thread_index * 750..(thread_index + 1) * 750).step_by(3),
                    true,
                );
            });
        }
    });
}

/// Work within the teams' limits is served while controllers crash in turn and machines are lost. At least half of each
/// kind of job and of each team's jobs must be served, however well the others are; of the worst class it is about
/// three in four.
#[test]
fn each_job_kind_and_team_is_served_through_crashes() {
    for seed in 52..=54 {
        let lowest = lowest_service_level_of_seed(seed);
        assert!(lowest.ratio() >= 0.6, "seed {seed}: {lowest:?}");
    }
}

/// The lowest service level of a run with crashes and losses of machines.
fn lowest_service_level_of_seed(seed: u64) -> ServiceLevel {
    let mut faults: Vec<(u64, Fault)> = (0..4)
        .map(|n| {
            (
                60_000 + n * 14_000,
                Fault::CrashController {
                    controller: n as usize % 3,
                    restart_after_ms: 6_000,
                },
            )
        })
        .collect();
    faults.push((62_000, Fault::JobBurst { jobs: 15 }));
    faults.push((90_000, Fault::CrashMachines { count: 10 }));
    let duration_ms = 190_000;
    let plan = Plan {
        seed,
        duration_ms,
        faults,
        mutation: None,
        submit_until_ms: duration_ms,
        size: 30,
    };
    let mut world = World::new(plan);
    world.run();
    assert_eq!(world.rules.violations, [], "seed {seed}");
    let levels = world.service_levels(60_000);
    assert!(levels.len() >= 3 * 6 + 3, "{levels:?}");
    levels
        .into_iter()
        .min_by(|a, b| a.ratio().total_cmp(&b.ratio()))
        .expect("a service level")
}

/// The lowest of the two dozen service levels of one seed comes from some minutes of a few replicas, which under a
/// shortage is a matter of chance. Only many seeds together show whether a class is served worse than before.
#[test]
fn each_job_kind_and_team_is_served_over_many_seeds() {
    let lowest_ratios = std::sync::Mutex::new(Vec::new());
    for_seeds(24, |index| {
        let ratio = lowest_service_level_of_seed(200 + index).ratio();
        lowest_ratios
            .lock()
            .expect("no seed has panicked")
            .push(ratio);
    });
    let mut lowest_ratios = lowest_ratios.into_inner().expect("no seed has panicked");
    lowest_ratios.sort_by(f64::total_cmp);
    let mean = lowest_ratios.iter().sum::<f64>() / lowest_ratios.len() as f64;
    assert!(
        mean >= 0.8 && lowest_ratios[0] >= 0.5 && lowest_ratios[2] >= 0.6,
        "mean {mean:.3} of {lowest_ratios:?}"
    );
}
