//! Preemption by priority and guarantee.

use crate::builders::{
    add_machine, heartbeat, job, machine_name, make_durable, new_partition, place_and_launch,
    task_status,
};
use model::{FencingToken, Resources, TeamName, Timestamp};
use scheduler::{CommandRoute, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{ExitCause, TaskState, TaskStatus};

#[test]
fn higher_priority_preempts_lower_but_not_equal() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 9),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    assert_eq!(
        place_and_launch(&mut partition, Timestamp::from_millis(100)).len(),
        4
    );
    let stopping = |partition: &PartitionState| {
        partition.jobs[&model::JobId(1)]
            .placed
            .values()
            .filter(|placement| placement.stop.is_some())
            .count()
    };
    partition.add_job(
        job(2, "u", JobKind::Array, Priority::Normal, 9),
        2,
        &[],
        Timestamp::from_millis(200),
    );
    partition.run_cycles(Timestamp::from_millis(200), 100);
    assert_eq!(stopping(&partition), 0);
    partition.add_job(
        job(3, "u", JobKind::Service, Priority::High, 1),
        3,
        &[],
        Timestamp::from_millis(300),
    );
    partition.run_cycles(Timestamp::from_millis(300), 100);
    assert_eq!(stopping(&partition), 1);
}

/// Guards against endless mutual preemption: a team had ten times the others' demand, guaranteed arrays of the
/// other teams preempted its replicas, and the replicas preempted those arrays in turn by their priority, 1,400
/// times a second (`incidents/2026-12-01-stopped-in-turn.md`).
#[test]
fn guaranteed_arrays_and_replicas_do_not_preempt_each_other_endlessly() {
    let cpus = |count| Resources::offered(count, 0.0, 0.0);
    let teams = ["t", "u"].map(|team| (TeamName::from(team), cpus(2.0), cpus(4.0)));
    let policy = Policy::default();
    let mut partition = PartitionState::new(
        teams,
        Duration::from_secs(10),
        policy,
        QueueConfig::default(),
        FencingToken(5),
    );
    add_machine(&mut partition, 1);
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    for id in 1..=4 {
        let replica = job(id, "u", JobKind::Service, Priority::High, 1);
        partition.add_job(replica, id, &[], Timestamp::from_millis(100));
    }
    place_and_launch(&mut partition, Timestamp::from_millis(100));
    partition.add_job(
        job(9, "t", JobKind::Array, Priority::Normal, 2),
        9,
        &[],
        Timestamp::from_millis(200),
    );
    let mut stopped = 0;
    for round in 1..40 {
        let now = Timestamp::from_millis(200 + round * 300);
        partition.run_cycles(now, 100);
        make_durable(&mut partition);
        let _ = partition.commands_for(&machine_name(1), CommandRoute::HeartbeatResponse, now);
        let placements = partition.jobs.iter().flat_map(|(id, job)| {
            job.placed.iter().map(move |(index, placement)| {
                (format!("{id}/{index}"), placement.attempt.0, placement.stop)
            })
        });
        let tasks: Vec<TaskStatus> = placements
            .map(|(task, attempt, stop)| match stop {
                Some(_) => task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped)),
                None => task_status(&task, attempt, TaskState::Running, None),
            })
            .collect();
        stopped += tasks
            .iter()
            .filter(|task| task.state == TaskState::Exited)
            .count();
        partition.reconcile(
            &heartbeat(1 + round, None, tasks),
            StatusSource::Heartbeat,
            now,
        );
    }
    assert_eq!(
        stopped, 2,
        "the two replicas beyond the guarantee are preempted once"
    );
    assert_eq!(
        partition.jobs[&model::JobId(9)].placed.len(),
        2,
        "the other team gets its guarantee"
    );
}
