//! Users who look closely, cancel at awkward moments and send odd requests, under other faults: every answer
//! is judged by the history of its job. Each test asserts that its scenario has come about, and each scenario
//! is run again with a safety step broken, to show that the checker would tell.

use simulator::{for_seeds, Fault, FaultCoverage, Mutation, Plan, World};

type Faults = Vec<(u64, Fault)>;

/// A small site with users who look closely throughout.
fn plan(seed: u64, ms: u64, mut faults: Faults) -> Plan {
    faults.insert(0, (1_000, Fault::FollowUpRequests { duration_ms: ms }));
    Plan {
        seed,
        duration_ms: ms,
        faults,
        mutation: None,
        submit_until_ms: 60_000,
        size: 1 + seed % 2,
    }
}

/// The same with long tasks.
fn long_plan(seed: u64, ms: u64, mut faults: Faults) -> Plan {
    faults.insert(0, (1_000, Fault::FollowUpRequests { duration_ms: ms }));
    Plan::with_long_tasks(seed, ms, faults)
}

fn run(plan: Plan, scenario: &str) -> World {
    let said = format!("{scenario}, seed {}", plan.seed);
    let mut world = World::new(plan);
    world.run();
    assert_eq!(world.rules.violations, [], "{said}");
    world
}

/// Answers that came close after each kind of confirmation.
fn assert_closely_watched(world: &World, said: &str) {
    let close = world.rules.history.follow_up_replies;
    let least = close
        .after_accepted
        .min(close.after_done)
        .min(close.after_cancelled);
    assert!(least >= 50, "{said}: {close:?}");
}

/// A slow state service that one controller after the other doesn't reach for a moment, so that its state
/// cache lags.
fn slow_state(seed: u64) -> Faults {
    let mut faults = vec![
        (
            5_000,
            Fault::OneTaskJobs {
                duration_ms: 60_000,
            },
        ),
        (
            20_000,
            Fault::SlowStateService {
                factor: 1 + 4 * (seed % 6),
                duration_ms: 60_000,
            },
        ),
        (
            40_000,
            Fault::CancelAllJobs {
                controller: seed as usize % 3,
            },
        ),
        (
            60_000,
            Fault::CancelAllJobs {
                controller: (seed as usize + 1) % 3,
            },
        ),
    ];
    for nth in 0..40 {
        let (controller, ms) = (nth as usize % 3, 200 + 97 * ((seed + nth) % 13));
        faults.push((
            20_000 + nth * 1_500,
            Fault::DisconnectStateService {
                controller,
                duration_ms: ms,
            },
        ));
    }
    faults
}

#[test]
fn answers_are_current_with_slow_state_service_and_retries_elsewhere() {
    for_seeds(24, |seed| {
        let world = run(plan(seed, 130_000, slow_state(seed)), "slow state service");
        assert_closely_watched(&world, &format!("seed {seed}"));
        assert!(
            world.coverage.cancelled_at_acceptance > 10,
            "seed {seed}: {:?}",
            world.coverage
        );
    });
}

/// Answers of the state service are lost, and jobs are cancelled around their ends.
fn lost_replies(seed: u64) -> Faults {
    vec![
        (
            5_000,
            Fault::OneTaskJobs {
                duration_ms: 50_000,
            },
        ),
        (
            15_000,
            Fault::DropTransactionReplies {
                percent: 10 + 5 * (seed % 4),
                duration_ms: 60_000,
            },
        ),
        (
            15_000,
            Fault::CancelAtCompletion {
                percent: 50,
                duration_ms: 60_000,
            },
        ),
        (
            35_000,
            Fault::CancelAllJobs {
                controller: seed as usize % 3,
            },
        ),
        (
            50_000,
            Fault::CancelRunningJobs {
                count: 12,
                hang_ms: 0,
            },
        ),
    ]
}

/// A transaction is applied at once and only its answer is lost, while other controllers read what it wrote
/// and their users look closely.
#[test]
fn answers_are_current_with_lost_state_service_replies() {
    for_seeds(12, |seed| {
        let world = run(plan(seed, 130_000, lost_replies(seed)), "lost answers");
        assert_closely_watched(&world, &format!("seed {seed}"));
        let FaultCoverage {
            lost_replies,
            lost_replies_read_elsewhere,
            ..
        } = world.coverage;
        assert!(
            lost_replies > 20 && lost_replies_read_elsewhere > 10,
            "seed {seed}: {:?}",
            world.coverage
        );
    });
}

/// Nothing but cancellations, status requests and repeated submissions around the end of each job's last
/// task; in every other run also a somewhat slow state service.
fn completions(seed: u64) -> Faults {
    vec![
        (
            2_000,
            Fault::CancelAtCompletion {
                percent: 60,
                duration_ms: 120_000,
            },
        ),
        (
            5_000,
            Fault::OneTaskJobs {
                duration_ms: 60_000,
            },
        ),
        (
            20_000,
            Fault::SlowStateService {
                factor: 1 + 9 * (seed % 2),
                duration_ms: 60_000,
            },
        ),
    ]
}

#[test]
fn cancel_around_completion_of_last_task_keeps_history_consistent() {
    for_seeds(12, |seed| {
        let world = run(plan(seed, 130_000, completions(seed)), "ends");
        let told = |told: &std::collections::BTreeMap<String, u64>| {
            world
                .coverage
                .cancelled_at_completion
                .iter()
                .filter(|id| told.contains_key(*id))
                .count()
        };
        let (done, cancelled) = (
            told(&world.rules.done_confirmed),
            told(&world.rules.cancel_confirmed),
        );
        assert!(
            done >= 10 && cancelled >= 10,
            "seed {seed}: {done} done, {cancelled} cancelled"
        );
    });
}

/// Odd requests, also while a controller is back and has not read everything, and while the cloud is out.
fn odd_requests(seed: u64) -> Faults {
    vec![
        (
            3_000,
            Fault::UnusualRequests {
                duration_ms: 110_000,
            },
        ),
        (
            30_000,
            Fault::CrashController {
                controller: seed as usize % 3,
                restart_after_ms: 300,
            },
        ),
        (
            50_000,
            Fault::CloudOutage {
                duration_ms: 15_000,
            },
        ),
        (
            55_000,
            Fault::CrashController {
                controller: (seed as usize + 1) % 3,
                restart_after_ms: 500,
            },
        ),
        (
            75_000,
            Fault::SlowStateService {
                factor: 10,
                duration_ms: 20_000,
            },
        ),
        (
            80_000,
            Fault::DisconnectStateService {
                controller: seed as usize % 3,
                duration_ms: 8_000,
            },
        ),
    ]
}

#[test]
fn unusual_requests_are_rejected_or_change_nothing() {
    for_seeds(12, |seed| {
        let world = run(plan(seed, 150_000, odd_requests(seed)), "odd requests");
        let FaultCoverage {
            resubmitted_unfinished_jobs,
            cancellations_of_done_jobs,
            ..
        } = world.coverage;
        let FaultCoverage {
            rejected_unschedulable,
            rejected_malformed,
            ..
        } = world.coverage;
        let kinds = [
            resubmitted_unfinished_jobs,
            cancellations_of_done_jobs,
            rejected_unschedulable,
            rejected_malformed,
        ];
        assert!(
            kinds.iter().all(|count| *count >= 30),
            "seed {seed}: {kinds:?}"
        );
    });
}

/// One-task jobs for two minutes, a quarter of them cancelled, and leaders that end meanwhile.
fn one_task_jobs(seed: u64) -> Faults {
    vec![
        (
            5_000,
            Fault::OneTaskJobs {
                duration_ms: 130_000,
            },
        ),
        (
            40_000 + seed * 211,
            Fault::CrashController {
                controller: seed as usize % 3,
                restart_after_ms: 200,
            },
        ),
        (
            70_000,
            Fault::CrashController {
                controller: (seed as usize + 1) % 3,
                restart_after_ms: 6_000,
            },
        ),
        (
            100_000,
            Fault::DisconnectStateService {
                controller: (seed as usize + 2) % 3,
                duration_ms: 9_000,
            },
        ),
    ]
}

#[test]
fn four_one_task_jobs_per_second_with_cancellations_keep_history_consistent() {
    for_seeds(8, |seed| {
        let plan = Plan {
            submit_until_ms: 0,
            ..plan(seed, 260_000, one_task_jobs(seed))
        };
        let world = run(plan, "one-task jobs");
        assert_closely_watched(&world, &format!("seed {seed}"));
        let (jobs, cancelled) = (
            world.coverage.one_task_jobs,
            world.rules.cancel_confirmed.len(),
        );
        assert!(
            jobs > 450 && cancelled > 100,
            "seed {seed}: {jobs} jobs, {cancelled} cancelled"
        );
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    });
}

/// One controller after the other ends and takes its partition back, and jobs are cancelled all the time
/// around both.
fn leadership_transfers(seed: u64) -> Faults {
    let mut faults = Vec::new();
    for nth in 0..3 {
        let (at, controller) = (35_000 + nth * 25_000, (seed + nth) as usize % 3);
        faults.push((
            at,
            Fault::CrashController {
                controller,
                restart_after_ms: 300 + seed * 200,
            },
        ));
        for wave in 0..24 {
            faults.push((
                at + 100 + wave * 500,
                Fault::CancelRunningJobs {
                    count: 1,
                    hang_ms: 0,
                },
            ));
        }
        faults.push((at + 14_000, Fault::JobBurst { jobs: 14 }));
    }
    faults
}

/// Cancellations that were asked for within two seconds of a partition's move to another controller.
fn cancelled_in_moves(world: &World, transferred: bool) -> usize {
    let moves = world
        .failovers
        .list
        .iter()
        .filter(|failover| failover.transferred == transferred);
    let moves: Vec<u64> = moves.filter_map(|failover| failover.acquired_at).collect();
    let asked = world.rules.cancel_requests.iter();
    let asked = asked.filter_map(|id| world.rules.history.cancel_requested_at(id));
    asked
        .filter(|at| moves.iter().any(|moved| at.abs_diff(*moved) <= 2_000))
        .count()
}

#[test]
fn cancel_during_leadership_change_keeps_rules() {
    let coverage = std::sync::Mutex::new((0, 0));
    for_seeds(12, |seed| {
        let world = run(
            long_plan(seed, 170_000, leadership_transfers(seed)),
            "hand-overs",
        );
        let mut coverage = coverage.lock().expect("no run has panicked");
        coverage.0 += cancelled_in_moves(&world, true);
        coverage.1 += cancelled_in_moves(&world, false);
    });
    let (transferred, taken) = coverage.into_inner().expect("no run has panicked");
    assert!(
        transferred >= 60 && taken >= 60,
        "{transferred} around hand-overs, {taken} around takeovers"
    );
}

/// More work of every team than its limit, and cancellations whose machines hang or are cut off as leaders
/// change.
fn teams_at_their_limits(seed: u64) -> Faults {
    let mut faults = vec![(10_000, Fault::JobBurst { jobs: 60 })];
    for nth in 0..3 {
        let at = 50_000 + nth * 25_000;
        let hang_ms = 4_000 + (seed + nth) % 5 * 4_000;
        faults.push((at, Fault::CancelRunningJobs { count: 6, hang_ms }));
        faults.push((
            at + 50,
            Fault::DisconnectMachine {
                machine_index: (seed + nth) as usize,
                duration_ms: hang_ms,
            },
        ));
        faults.push((
            at + 60,
            Fault::DisconnectMachine {
                machine_index: (seed + nth) as usize * 3,
                duration_ms: 25_000,
            },
        ));
        let controller = (seed + nth) as usize % 3;
        faults.push((
            at + 300 * (seed % 4),
            Fault::CrashController {
                controller,
                restart_after_ms: 200 + 2_000 * (seed % 3),
            },
        ));
        faults.push((
            at + 2_000,
            Fault::CancelRunningJobs {
                count: 4,
                hang_ms: 0,
            },
        ));
        faults.push((at + 3_000, Fault::JobBurst { jobs: 12 }));
    }
    faults
}

#[test]
fn cancel_with_all_teams_at_quota_during_failover_keeps_rules() {
    let coverage = std::sync::Mutex::new((0, 0));
    for_seeds(12, |seed| {
        let mut world = World::new(long_plan(seed, 180_000, teams_at_their_limits(seed)));
        let mut at_limit = 0;
        for at in [49_990, 74_990, 99_990] {
            world.run_to(at);
            at_limit = at_limit.max(world.teams_at_limit());
        }
        world.run();
        assert_eq!(
            world.rules.violations,
            [],
            "teams at their limits, seed {seed}"
        );
        let mut coverage = coverage.lock().expect("no run has panicked");
        coverage.0 += at_limit;
        coverage.1 += world.coverage.hung_machines_of_cancelled_jobs;
    });
    let (at_limit, hung) = coverage.into_inner().expect("no run has panicked");
    assert!(
        at_limit >= 36 && hung >= 50,
        "{at_limit} teams at their limit, {hung} machines hung"
    );
}

/// Cancelled jobs whose machines hang for longer than `cancel_s`.
fn hanging_machines(seed: u64) -> Faults {
    let waves = (0..3).map(|nth| {
        let hang_ms = [5_000, 9_900, 45_000][(seed + nth) as usize % 3];
        (
            40_000 + nth * 20_000,
            Fault::CancelRunningJobs { count: 8, hang_ms },
        )
    });
    waves.collect()
}

#[test]
fn cancelled_tasks_on_hung_machines_stop_within_deadline() {
    for_seeds(9, |seed| {
        let world = run(long_plan(seed, 160_000, hanging_machines(seed)), "hanging");
        assert!(
            world.coverage.hung_machines_of_cancelled_jobs >= 8,
            "seed {seed}: {:?}",
            world.coverage
        );
    });
}

/// Each scenario is run again with an injected defect, which its checks have to detect.
#[test]
fn each_scenario_detects_its_injected_defect() {
    struct ScenarioCase {
        name: &'static str,
        plan: fn(u64, u64, Faults) -> Plan,
        faults: fn(u64) -> Faults,
        mutation: Mutation,
        rules: &'static [&'static str],
    }
    let scenario = |name, faults, mutation, rules| ScenarioCase {
        name,
        plan,
        faults,
        mutation,
        rules,
    };
    let long = |name, faults, mutation, rules| ScenarioCase {
        plan: long_plan,
        ..scenario(name, faults, mutation, rules)
    };
    let stale = &["went_back", "forgotten"];
    let scenarios = [
        scenario(
            "slow state service",
            slow_state,
            Mutation::StaleLinearizableReads,
            stale,
        ),
        scenario(
            "lost answers",
            lost_replies,
            Mutation::TerminalStatesIgnoreCancellations,
            &["went_back"],
        ),
        scenario(
            "lost, not durable",
            lost_replies,
            Mutation::LostRepliesNotApplied,
            &["ran_twice"],
        ),
        scenario(
            "ends, stale reads",
            completions,
            Mutation::StaleLinearizableReads,
            stale,
        ),
        scenario(
            "ends, unconditional",
            completions,
            Mutation::TerminalStatesIgnoreCancellations,
            &["went_back"],
        ),
        scenario(
            "odd, unfit",
            odd_requests,
            Mutation::UnschedulableJobsFit,
            &["accepted_invalid"],
        ),
        scenario(
            "odd, field",
            odd_requests,
            Mutation::MissingFieldsFilled,
            &["accepted_invalid"],
        ),
        scenario(
            "one-task jobs",
            one_task_jobs,
            Mutation::StaleLinearizableReads,
            stale,
        ),
        long(
            "hand-overs",
            leadership_transfers,
            Mutation::StaleLinearizableReads,
            stale,
        ),
        long(
            "limits",
            teams_at_their_limits,
            Mutation::ShortLease,
            &["quota", "ran_twice"],
        ),
        long(
            "hanging",
            hanging_machines,
            Mutation::HungMachinesIgnoreStops,
            &["ran_cancelled"],
        ),
    ];
    let undetected = std::sync::Mutex::new(Vec::new());
    for_seeds(scenarios.len() as u64, |nth| {
        let ScenarioCase {
            name,
            plan,
            faults,
            mutation,
            rules,
        } = scenarios[nth as usize - 1];
        let first_broken = (1..=24).find_map(|seed| {
            let plan = Plan {
                mutation: Some(mutation),
                ..plan(seed, 180_000, faults(seed))
            };
            let mut world = World::new(plan);
            world.run();
            world
                .rules
                .violations
                .into_iter()
                .find(|violation| rules.contains(&violation.rule))
        });
        println!("{name}: {first_broken:?}");
        if first_broken.is_none() {
            undetected.lock().expect("no run has panicked").push(name);
        }
    });
    assert_eq!(
        undetected.into_inner().expect("no run has panicked"),
        Vec::<&str>::new()
    );
}

/// The history itself.
mod history {
    use simulator::history::{History, JobReply};
    use wire::users::JobState;

    #[test]
    fn answer_is_judged_by_send_time_of_request() {
        let mut history = History::default();
        let early = history.next_time(10);
        history.record_cancel_request("j-000001", 11);
        let cancel = history.next_time(11);
        let cancelled = JobReply::Status(JobState::Cancelled);
        let queued = JobReply::Status(JobState::Queued);
        assert_eq!(history.record("j-000001", cancel, cancelled, 20), Ok(()));
        assert_eq!(
            history.record("j-000001", early, queued, 30),
            Ok(()),
            "sent before"
        );
        let late = history.next_time(20);
        let told = history
            .record("j-000001", late, queued, 30)
            .expect_err("sent after");
        assert_eq!(told.rule, "went_back");
    }

    #[test]
    fn known_job_is_never_missing_or_rejected_later() {
        let mut history = History::default();
        let (early, first) = (history.next_time(1), history.next_time(1));
        let queued = JobReply::Status(JobState::Queued);
        assert_eq!(history.record("j-000001", first, queued, 2), Ok(()));
        assert_eq!(
            history.record("j-000001", early, JobReply::Missing, 3),
            Ok(()),
            "sent before"
        );
        for answer in [JobReply::Missing, JobReply::Refused] {
            let late = history.next_time(2);
            let told = history
                .record("j-000001", late, answer, 3)
                .expect_err("sent after");
            assert_eq!(told.rule, "forgotten");
        }
    }

    #[test]
    fn two_terminal_states_and_unrequested_cancellation_contradict_history() {
        let mut history = History::default();
        let first = history.next_time(1);
        let [done, cancelled] = [JobState::Done, JobState::Cancelled].map(JobReply::Status);
        let unasked = history
            .record("j-000001", first, cancelled, 2)
            .expect_err("unasked");
        assert_eq!(unasked.rule, "went_back");
        history.record_cancel_request("j-000002", 2);
        assert_eq!(history.record("j-000002", first, done, 3), Ok(()));
        let told = history
            .record("j-000002", first, cancelled, 3)
            .expect_err("both");
        assert_eq!(told.rule, "went_back");
    }
}
