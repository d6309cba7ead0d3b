//! Users who send follow-up requests, cancel at critical moments and send unusual requests, while other faults are
//! active: every reply is checked against the history of its job. Each test asserts that its scenario has really
//! occurred, and each scenario is run again with an injected defect to show that the checks detect it.

use simulator::{for_seeds, Fault, FaultCoverage, Mutation, Plan, World};

type Faults = Vec<(u64, Fault)>;

/// A small site with follow-up requests throughout.
fn plan(seed: u64, duration_ms: u64, mut faults: Faults) -> Plan {
    faults.insert(0, (1_000, Fault::FollowUpRequests { duration_ms }));
    Plan {
        seed,
        duration_ms,
        faults,
        mutation: None,
        submit_until_ms: 60_000,
        size: 1 + seed % 2,
    }
}

/// A small site with long tasks and follow-up requests throughout.
fn long_task_plan(seed: u64, duration_ms: u64, mut faults: Faults) -> Plan {
    faults.insert(0, (1_000, Fault::FollowUpRequests { duration_ms }));
    Plan::with_long_tasks(seed, duration_ms, faults)
}

/// Runs to the end and asserts that no rule was violated.
fn run_to_end(plan: Plan, scenario: &str) -> World {
    let run_name = format!("{scenario}, seed {}", plan.seed);
    let mut world = World::new(plan);
    world.run();
    assert_eq!(world.rules.violations, [], "{run_name}");
    world
}

/// Asserts at least 50 replies to requests that were sent just after each kind of confirmation.
fn assert_follow_ups_after_each_confirmation(world: &World, run_name: &str) {
    let replies = world.rules.history.follow_up_replies;
    let least = replies
        .after_accepted
        .min(replies.after_done)
        .min(replies.after_cancelled);
    assert!(least >= 50, "{run_name}: {replies:?}");
}

/// The state service is slow, and one controller after the other is disconnected from it for a moment, so that its
/// state cache lags.
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
        let (controller, duration_ms) = (nth as usize % 3, 200 + 97 * ((seed + nth) % 13));
        faults.push((
            20_000 + nth * 1_500,
            Fault::DisconnectStateService {
                controller,
                duration_ms,
            },
        ));
    }
    faults
}

#[test]
fn user_replies_are_current_with_slow_state_service_and_retries_at_other_controllers() {
    for_seeds(24, |seed| {
        let world = run_to_end(plan(seed, 130_000, slow_state(seed)), "slow state service");
        assert_follow_ups_after_each_confirmation(&world, &format!("seed {seed}"));
        assert!(
            world.coverage.cancelled_at_acceptance > 10,
            "seed {seed}: {:?}",
            world.coverage
        );
    });
}

/// Replies of the state service are lost, and jobs are cancelled around the completion of their last tasks.
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

/// Transactions are applied at once and only their replies are lost, while other controllers read what they wrote
/// and answer follow-up requests.
#[test]
fn user_replies_are_current_with_lost_state_service_replies() {
    for_seeds(12, |seed| {
        let world = run_to_end(plan(seed, 130_000, lost_replies(seed)), "lost replies");
        assert_follow_ups_after_each_confirmation(&world, &format!("seed {seed}"));
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

/// Only cancellations, status requests and repeated submissions around the completion of each job's last task; in
/// every other run the state service is also 10 times slower.
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
        let world = run_to_end(plan(seed, 130_000, completions(seed)), "completions");
        let count_confirmed = |confirmed: &std::collections::BTreeMap<String, u64>| {
            world
                .coverage
                .cancelled_at_completion
                .iter()
                .filter(|id| confirmed.contains_key(*id))
                .count()
        };
        let (done, cancelled) = (
            count_confirmed(&world.rules.done_confirmed),
            count_confirmed(&world.rules.cancel_confirmed),
        );
        assert!(
            done >= 10 && cancelled >= 10,
            "seed {seed}: {done} done, {cancelled} cancelled"
        );
    });
}

/// Unusual requests, also to a controller that has restarted and not yet read all records, and during an outage of
/// the cloud.
fn unusual_requests(seed: u64) -> Faults {
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
        let world = run_to_end(
            plan(seed, 150_000, unusual_requests(seed)),
            "unusual requests",
        );
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
        let counts_by_kind = [
            resubmitted_unfinished_jobs,
            cancellations_of_done_jobs,
            rejected_unschedulable,
            rejected_malformed,
        ];
        assert!(
            counts_by_kind.iter().all(|count| *count >= 30),
            "seed {seed}: {counts_by_kind:?}"
        );
    });
}

/// One-task jobs for 130 s, a quarter of them cancelled, while leaders crash.
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
        let world = run_to_end(plan, "one-task jobs");
        assert_follow_ups_after_each_confirmation(&world, &format!("seed {seed}"));
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

/// One controller after the other crashes, restarts and gets its partition back, and jobs are cancelled all the
/// time around both changes of the leader.
fn failovers_and_transfers(seed: u64) -> Faults {
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

/// Cancellations that were requested within two seconds of a partition's acquisition, by leadership transfer or by
/// failover.
fn cancellations_around_acquisitions(world: &World, transferred: bool) -> usize {
    let acquisitions = world
        .failovers
        .list
        .iter()
        .filter(|failover| failover.transferred == transferred);
    let acquired_at: Vec<u64> = acquisitions
        .filter_map(|failover| failover.acquired_at)
        .collect();
    let cancelled_jobs = world.rules.cancel_requests.iter();
    let requested_at = cancelled_jobs.filter_map(|id| world.rules.history.cancel_requested_at(id));
    requested_at
        .filter(|requested| {
            acquired_at
                .iter()
                .any(|acquired| requested.abs_diff(*acquired) <= 2_000)
        })
        .count()
}

#[test]
fn cancel_during_leadership_change_keeps_rules() {
    let coverage = std::sync::Mutex::new((0, 0));
    for_seeds(12, |seed| {
        let world = run_to_end(
            long_task_plan(seed, 170_000, failovers_and_transfers(seed)),
            "failovers and transfers",
        );
        let mut coverage = coverage.lock().expect("no run has panicked");
        coverage.0 += cancellations_around_acquisitions(&world, true);
        coverage.1 += cancellations_around_acquisitions(&world, false);
    });
    let (around_transfers, around_failovers) = coverage.into_inner().expect("no run has panicked");
    assert!(
        around_transfers >= 60 && around_failovers >= 60,
        "{around_transfers} cancellations around transfers, {around_failovers} around failovers"
    );
}

/// Every team has more work than its limit allows. Jobs are cancelled while their machines hang, machines are
/// disconnected and leaders crash.
fn teams_at_limits(seed: u64) -> Faults {
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
        let mut world = World::new(long_task_plan(seed, 180_000, teams_at_limits(seed)));
        let mut teams_at_limit = 0;
        for at in [49_990, 74_990, 99_990] {
            world.run_to(at);
            teams_at_limit = teams_at_limit.max(world.teams_at_limit());
        }
        world.run();
        assert_eq!(world.rules.violations, [], "teams at limits, seed {seed}");
        let mut coverage = coverage.lock().expect("no run has panicked");
        coverage.0 += teams_at_limit;
        coverage.1 += world.coverage.hung_machines_of_cancelled_jobs;
    });
    let (teams_at_limit, hung_machines) = coverage.into_inner().expect("no run has panicked");
    assert!(
        teams_at_limit >= 36 && hung_machines >= 50,
        "{teams_at_limit} teams at their limit, {hung_machines} machines hung"
    );
}

/// Jobs are cancelled while their machines hang, in one wave of three for longer than `cancel_s`.
fn hung_machines(seed: u64) -> Faults {
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
        let world = run_to_end(
            long_task_plan(seed, 160_000, hung_machines(seed)),
            "hung machines",
        );
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
    let long_task_scenario = |name, faults, mutation, rules| ScenarioCase {
        plan: long_task_plan,
        ..scenario(name, faults, mutation, rules)
    };
    let stale_reply_rules = &["went_back", "forgotten"];
    let scenarios = [
        scenario(
            "slow state service",
            slow_state,
            Mutation::StaleLinearizableReads,
            stale_reply_rules,
        ),
        scenario(
            "lost replies, cancellations ignored",
            lost_replies,
            Mutation::TerminalStatesIgnoreCancellations,
            &["went_back"],
        ),
        scenario(
            "lost replies, transactions not applied",
            lost_replies,
            Mutation::LostRepliesNotApplied,
            &["ran_twice"],
        ),
        scenario(
            "completions, stale reads",
            completions,
            Mutation::StaleLinearizableReads,
            stale_reply_rules,
        ),
        scenario(
            "completions, cancellations ignored",
            completions,
            Mutation::TerminalStatesIgnoreCancellations,
            &["went_back"],
        ),
        scenario(
            "unusual requests, infeasible jobs accepted",
            unusual_requests,
            Mutation::UnschedulableJobsFit,
            &["accepted_invalid"],
        ),
        scenario(
            "unusual requests, missing fields filled in",
            unusual_requests,
            Mutation::MissingFieldsFilled,
            &["accepted_invalid"],
        ),
        scenario(
            "one-task jobs",
            one_task_jobs,
            Mutation::StaleLinearizableReads,
            stale_reply_rules,
        ),
        long_task_scenario(
            "failovers and transfers",
            failovers_and_transfers,
            Mutation::StaleLinearizableReads,
            stale_reply_rules,
        ),
        long_task_scenario(
            "teams at limits",
            teams_at_limits,
            Mutation::ShortLease,
            &["quota", "ran_twice"],
        ),
        long_task_scenario(
            "hung machines",
            hung_machines,
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
        let first_violation = (1..=24).find_map(|seed| {
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
        println!("{name}: {first_violation:?}");
        if first_violation.is_none() {
            undetected.lock().expect("no run has panicked").push(name);
        }
    });
    assert_eq!(
        undetected.into_inner().expect("no run has panicked"),
        Vec::<&str>::new()
    );
}

/// The history checker itself.
mod history {
    use simulator::history::{History, JobReply};
    use wire::users::JobState;

    #[test]
    fn reply_is_checked_by_send_time_of_its_request() {
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
            "sent before the confirmation"
        );
        let late = history.next_time(20);
        let violation = history
            .record("j-000001", late, queued, 30)
            .expect_err("sent after the confirmation");
        assert_eq!(violation.rule, "went_back");
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
            "sent before the confirmation"
        );
        for reply in [JobReply::Missing, JobReply::Refused] {
            let late = history.next_time(2);
            let violation = history
                .record("j-000001", late, reply, 3)
                .expect_err("sent after the confirmation");
            assert_eq!(violation.rule, "forgotten");
        }
    }

    #[test]
    fn two_terminal_states_and_unrequested_cancellation_contradict_history() {
        let mut history = History::default();
        let first = history.next_time(1);
        let [done, cancelled] = [JobState::Done, JobState::Cancelled].map(JobReply::Status);
        let violation = history
            .record("j-000001", first, cancelled, 2)
            .expect_err("cancelled without a request");
        assert_eq!(violation.rule, "went_back");
        history.record_cancel_request("j-000002", 2);
        assert_eq!(history.record("j-000002", first, done, 3), Ok(()));
        let violation = history
            .record("j-000002", first, cancelled, 3)
            .expect_err("done and cancelled");
        assert_eq!(violation.rule, "went_back");
    }
}
