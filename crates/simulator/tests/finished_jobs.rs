//! Jobs that are done or cancelled stay known, and their final states reach the archive, whatever the limits of the
//! state service are and however many jobs have finished.

use controller::{UserReply, UserRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use simulator::{
    for_seeds, single_controller, Fault, Plan, SingleController, StateServiceLimits, World,
};
use wire::users::{JobKind, JobState};

/// Time after the last submission within which all jobs have ended and their final states are archived.
const ARCHIVED_WITHIN_MS: u64 = 120_000;

fn plan(seed: u64, submit_until_ms: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        duration_ms: submit_until_ms + ARCHIVED_WITHIN_MS,
        faults,
        mutation: None,
        submit_until_ms,
        size: 1,
    }
}

/// Limits with which one write of a full transaction needs more than the burst that a controller may send less the
/// reserve for more important writes.
fn large_transactions() -> StateServiceLimits {
    StateServiceLimits {
        requests_per_s: 200.0,
        writes_per_s: 30.0,
        value_kb: 10.0,
        txn_ops: 18,
    }
}

fn random_limits(seed: u64) -> StateServiceLimits {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xf1);
    StateServiceLimits {
        requests_per_s: rng.random_range(45.0..400.0),
        writes_per_s: rng.random_range(6.0..80.0),
        value_kb: rng.random_range(1.0..32.0),
        txn_ops: rng.random_range(2..64),
    }
}

fn run_and_check(plan: Plan, limits: StateServiceLimits) {
    let context = format!("seed {}, {limits:?}", plan.seed);
    let mut world = World::with_state_limits(plan, limits);
    world.run();
    assert_eq!(world.rules.violations, [], "{context}");
    assert_eq!(world.oversized_transactions(), 0, "{context}");
    assert!(world.rules.done_confirmed.len() > 10, "{context}");
    assert_eq!(world.unarchived_jobs(0), Vec::<String>::new(), "{context}");
}

/// Guards against an archiver that waits for more writes than its budget ever grants, and against one that leaves the
/// last few jobs of a partition for ever.
#[test]
fn all_final_states_are_archived_whatever_the_limits() {
    run_and_check(plan(1, 60_000, Vec::new()), large_transactions());
    for_seeds(16, |seed| {
        run_and_check(plan(seed, 60_000, Vec::new()), random_limits(seed));
    });
}
/// Guards against writes that a service with lower limits never accepts: it lowers them while the controllers run.
#[test]
fn all_final_states_are_archived_after_the_limits_have_been_lowered() {
    for_seeds(8, |seed| {
        let first = random_limits(seed);
        let next = StateServiceLimits {
            requests_per_s: first.requests_per_s / 2.0,
            writes_per_s: first.writes_per_s / 2.0,
            value_kb: (first.value_kb / 4.0).max(1.0),
            txn_ops: (first.txn_ops / 4).max(2),
        };
        let context = format!("seed {seed}, {first:?}, then {next:?}");
        let mut world = World::with_changing_state_limits(plan(seed, 60_000, vec![]), first, next);
        world.run_to(35_000);
        world.change_state_limits();
        world.run();
        assert_eq!(world.rules.violations, [], "{context}");
        assert_eq!(world.oversized_transactions(), 0, "{context}");
        assert_eq!(world.unarchived_jobs(0), Vec::<String>::new(), "{context}");
    });
}

/// Guards against 404 for jobs that a full cache has dropped although they can be read nowhere else.
#[test]
fn jobs_stay_known_when_more_have_finished_than_the_cache_holds() {
    let crash = Fault::CrashController {
        controller: 1,
        restart_after_ms: 4_000,
    };
    let faults = vec![(45_000, crash)];
    let mut world = World::with_state_limits(plan(3, 60_000, faults), large_transactions());
    world.store_finished_jobs(300_000);
    world.run();
    assert_eq!(world.rules.violations, []);
    assert!(world.rules.done_confirmed.len() > 10 + 60);
}

/// Guards against 400 for a job that was accepted when values could be larger than now.
#[test]
fn repeated_submission_of_a_finished_job_that_is_too_long_now_gets_its_state() {
    let mut single_controller = SingleController::new(2);
    single_controller.put_state_value("f/j-000005", json!({ "state": "done" }));
    let reply_to_submission = |single_controller: &mut SingleController, number| {
        let mut request = single_controller::job(number, JobKind::Array, 2);
        let other_types = (0..60).map(|n| format!("{n}-{}", "x".repeat(150)));
        request.allowed_machine_types =
            Some(["m4".into()].into_iter().chain(other_types).collect());
        single_controller.take_user_replies();
        single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
        for _ in 0..20 {
            single_controller.tick(100);
        }
        single_controller.take_user_replies()
    };
    let replies = reply_to_submission(&mut single_controller, 5);
    assert!(
        matches!(replies.as_slice(), [UserReply::Status(status)] if status.state == JobState::Done),
        "{replies:?}"
    );
    let replies = reply_to_submission(&mut single_controller, 6);
    assert!(
        matches!(replies.as_slice(), [UserReply::Invalid(_)]),
        "{replies:?}"
    );
}
