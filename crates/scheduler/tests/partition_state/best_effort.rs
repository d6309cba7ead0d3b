//! Preemption, eviction and placement of best-effort work.

use crate::builders::{
    heartbeat, job, partition_without_guarantees, place_and_launch, task_status,
};
use model::{JobSpec, MachineName, Resources, Timestamp};
use scheduler::{CommandRoute, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, TaskState, TaskStatus};

/// A best-effort job that may use spot machines and saves checkpoints, with four tasks of one CPU each.
fn best_effort(id: u64) -> JobSpec {
    let spec = job(id, "t", JobKind::Array, Priority::Low, 4);
    let (estimate, checkpoint, save) = (
        Duration::from_secs(300),
        Duration::from_secs(30),
        Duration::from_secs(3),
    );
    JobSpec {
        spot_allowed: true,
        estimated_run_time: estimate,
        checkpoint_interval: checkpoint,
        checkpoint_save_time: save,
        ..spec
    }
}

/// Guards against a fault seen on days with guest teams: their best-effort tasks occupied the machines for five
/// minutes each, and arrays of normal priority missed their deadlines.
#[test]
fn best_effort_tasks_are_preempted_with_time_to_save() {
    let mut partition = partition_without_guarantees(true);
    partition.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    let launched = place_and_launch(&mut partition, Timestamp::from_millis(100));
    assert_eq!(launched.len(), 4);
    let running = launched
        .iter()
        .map(|(task, attempt)| task_status(task, *attempt, TaskState::Running, None))
        .collect();
    partition.reconcile(
        &heartbeat(2, None, running),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    let normal = JobSpec {
        spot_allowed: true,
        ..job(2, "u", JobKind::Array, Priority::Normal, 2)
    };
    partition.add_job(normal, 2, &[], Timestamp::from_millis(1_200));
    assert_eq!(
        partition.demand(Timestamp::from_millis(1_500)),
        [],
        "the best-effort tasks can make room, so no machine is requested"
    );
    partition.run_cycles(Timestamp::from_millis(1_500), 100);
    let name = MachineName::from("host-000001");
    let stops: Vec<f64> = partition
        .commands_for(
            &name,
            CommandRoute::DirectCall,
            Timestamp::from_millis(1_500),
        )
        .into_iter()
        .filter_map(|command| match command {
            Command::Stop { grace_s, .. } => Some(grace_s),
            _ => None,
        })
        .collect();
    assert_eq!(
        stops,
        [4.0, 4.0],
        "only as many tasks as needed are stopped, with time to save"
    );
}

/// Otherwise the best-effort tasks of guest teams would keep every on-demand machine from becoming idle, at three
/// times the price of spot machines.
#[test]
fn best_effort_tasks_do_not_occupy_on_demand_machine_alone_but_do_not_starve() {
    let mut partition = partition_without_guarantees(false);
    partition.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut partition, Timestamp::from_millis(100)),
        []
    );
    partition.add_job(
        job(2, "u", JobKind::Service, Priority::High, 1),
        2,
        &[],
        Timestamp::from_millis(200),
    );
    partition.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(10_500),
    );
    let launched = place_and_launch(&mut partition, Timestamp::from_millis(10_500));
    assert_eq!(
        launched.len(),
        4,
        "a replica and three best-effort tasks beside it"
    );
    let mut partition = partition_without_guarantees(false);
    partition.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    partition.evict_best_effort(Timestamp::from_millis(1_000));
    partition.evict_best_effort(Timestamp::from_millis(130_000));
    partition.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(130_000),
    );
    assert_eq!(
        place_and_launch(&mut partition, Timestamp::from_millis(130_000)).len(),
        4
    );
}

/// Guards against a fault seen on a recorded day: while arrays were in backoff, best-effort tasks
/// took any capacity that became free, and were preempted for the arrays a second later (600 of them in 50 s).
#[test]
fn best_effort_tasks_leave_capacity_to_arrays_in_backoff() {
    let mut partition = partition_without_guarantees(true);
    let spot = |id, tasks| JobSpec {
        spot_allowed: true,
        ..job(id, "u", JobKind::Array, Priority::Normal, tasks)
    };
    partition.add_job(spot(1, 4), 1, &[], Timestamp::from_millis(100));
    let running = place_and_launch(&mut partition, Timestamp::from_millis(100));
    partition
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(16.0, 0.0, 0.0));
    partition.add_job(spot(2, 4), 2, &[], Timestamp::from_millis(150));
    partition.run_cycles(Timestamp::from_millis(200), 100);
    // A task ends while the second array is still in backoff.
    let (task, attempt) = &running[0];
    let mut tasks: Vec<TaskStatus> = running[1..]
        .iter()
        .map(|(task, attempt)| task_status(task, *attempt, TaskState::Running, None))
        .collect();
    tasks.push(task_status(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Done),
    ));
    partition.reconcile(
        &heartbeat(2, None, tasks),
        StatusSource::Heartbeat,
        Timestamp::from_millis(210),
    );
    partition.add_job(best_effort(3), 3, &[], Timestamp::from_millis(210));
    partition.run_cycles(Timestamp::from_millis(211), 100);
    assert_eq!(partition.jobs[&model::JobId(3)].placed.len(), 0);
    partition.run_cycles(Timestamp::from_millis(1_300), 100);
    assert_eq!(partition.jobs[&model::JobId(2)].placed.len(), 1);
}
