//! Best-effort work.

use crate::builders::{
    heartbeat, job, partition_without_guarantees, place_and_launch, task_status,
};
use model::{JobSpec, MachineName, Resources, Timestamp};
use scheduler::{CommandRoute, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, TaskState, TaskStatus};

/// A best-effort job: one that may use cheap machines and saves, four tasks of a CPU.
fn best_effort(id: u64) -> JobSpec {
    let spec = job(id, "t", JobKind::Array, Priority::Low, 4);
    let times = (
        Duration::from_secs(300),
        Duration::from_secs(30),
        Duration::from_secs(3),
    );
    JobSpec {
        spot: true,
        estimate: times.0,
        checkpoint: times.1,
        save: times.2,
        ..spec
    }
}

/// Seen on days with guests: their tasks of five minutes held the machines, and normal arrays
/// missed their deadlines.
#[test]
fn best_effort_tasks_are_preempted_with_time_to_save() {
    let mut share = partition_without_guarantees(true);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    let launched = place_and_launch(&mut share, Timestamp::from_millis(100));
    assert_eq!(launched.len(), 4);
    let runs = launched
        .iter()
        .map(|(t, a)| task_status(t, *a, TaskState::Running, None))
        .collect();
    share.reconcile(
        &heartbeat(2, None, runs),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    let normal = JobSpec {
        spot: true,
        ..job(2, "u", JobKind::Array, Priority::Normal, 2)
    };
    share.add_job(normal, 2, &[], Timestamp::from_millis(1_200));
    assert_eq!(
        share.demand(Timestamp::from_millis(1_500)),
        [],
        "it leaves room, so nothing is rented"
    );
    share.run_cycles(Timestamp::from_millis(1_500), 100);
    let name = MachineName::from("host-000001");
    let stops: Vec<f64> = share
        .commands_for(
            &name,
            CommandRoute::DirectCall,
            Timestamp::from_millis(1_500),
        )
        .into_iter()
        .filter_map(|c| match c {
            Command::Stop { grace_s, .. } => Some(grace_s),
            _ => None,
        })
        .collect();
    assert_eq!(
        stops,
        [4.0, 4.0],
        "as many as are needed, with time to save"
    );
}

/// Guests would otherwise keep every ordinary machine from falling idle, at three times the price.
#[test]
fn best_effort_tasks_do_not_occupy_regular_machine_alone_but_do_not_starve() {
    let mut share = partition_without_guarantees(false);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut share, Timestamp::from_millis(100)),
        []
    );
    share.add_job(
        job(2, "u", JobKind::Service, Priority::High, 1),
        2,
        &[],
        Timestamp::from_millis(200),
    );
    share.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(10_500),
    );
    let beside = place_and_launch(&mut share, Timestamp::from_millis(10_500));
    assert_eq!(beside.len(), 4, "a replica, and three beside it");
    let mut share = partition_without_guarantees(false);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    share.evict_best_effort(Timestamp::from_millis(1_000));
    share.evict_best_effort(Timestamp::from_millis(130_000));
    share.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(130_000),
    );
    assert_eq!(
        place_and_launch(&mut share, Timestamp::from_millis(130_000)).len(),
        4
    );
}

/// Seen on a recorded day: while arrays backed off, best-effort tasks took each place that came
/// free, and were stopped again for the arrays a second later (600 of them in 50 s).
#[test]
fn best_effort_tasks_leave_capacity_to_arrays_in_backoff() {
    let mut share = partition_without_guarantees(true);
    let spot = |id, tasks| JobSpec {
        spot: true,
        ..job(id, "u", JobKind::Array, Priority::Normal, tasks)
    };
    share.add_job(spot(1, 4), 1, &[], Timestamp::from_millis(100));
    let running = place_and_launch(&mut share, Timestamp::from_millis(100));
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(16.0, 0.0, 0.0));
    share.add_job(spot(2, 4), 2, &[], Timestamp::from_millis(150));
    share.run_cycles(Timestamp::from_millis(200), 100);
    // A place comes free, and the array's backoff is not over.
    let (task, attempt) = &running[0];
    let mut tasks: Vec<TaskStatus> = running[1..]
        .iter()
        .map(|(t, a)| task_status(t, *a, TaskState::Running, None))
        .collect();
    tasks.push(task_status(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Done),
    ));
    share.reconcile(
        &heartbeat(2, None, tasks),
        StatusSource::Heartbeat,
        Timestamp::from_millis(210),
    );
    share.add_job(best_effort(3), 3, &[], Timestamp::from_millis(210));
    share.run_cycles(Timestamp::from_millis(211), 100);
    assert_eq!(share.jobs[&model::JobId(3)].placed.len(), 0);
    share.run_cycles(Timestamp::from_millis(1_300), 100);
    assert_eq!(share.jobs[&model::JobId(2)].placed.len(), 1);
}
