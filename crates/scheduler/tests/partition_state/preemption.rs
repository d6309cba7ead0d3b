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
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 9),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    assert_eq!(
        place_and_launch(&mut share, Timestamp::from_millis(100)).len(),
        4
    );
    let stopping = |share: &PartitionState| {
        share.jobs[&model::JobId(1)]
            .placed
            .values()
            .filter(|p| p.stop.is_some())
            .count()
    };
    share.add_job(
        job(2, "u", JobKind::Array, Priority::Normal, 9),
        2,
        &[],
        Timestamp::from_millis(200),
    );
    share.run_cycles(Timestamp::from_millis(200), 100);
    assert_eq!(stopping(&share), 0);
    share.add_job(
        job(3, "u", JobKind::Service, Priority::High, 1),
        3,
        &[],
        Timestamp::from_millis(300),
    );
    share.run_cycles(Timestamp::from_millis(300), 100);
    assert_eq!(stopping(&share), 1);
}

/// A team of ten times the others' demand: guaranteed arrays of other teams stopped its replicas, which
/// by their priority stopped those in turn, 1,400 times a second
/// (`incidents/2026-12-01-stopped-in-turn.md`).
#[test]
fn guarantee_and_priority_do_not_preempt_each_other_in_turn() {
    let of = |cpus| Resources::offered(cpus, 0.0, 0.0);
    let teams = ["t", "u"].map(|t| (TeamName::from(t), of(2.0), of(4.0)));
    let policy = Policy::default();
    let mut share = PartitionState::new(
        teams,
        Duration::from_secs(10),
        policy,
        QueueConfig::default(),
        FencingToken(5),
    );
    add_machine(&mut share, 1);
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    for id in 1..=4 {
        let replica = job(id, "u", JobKind::Service, Priority::High, 1);
        share.add_job(replica, id, &[], Timestamp::from_millis(100));
    }
    place_and_launch(&mut share, Timestamp::from_millis(100));
    share.add_job(
        job(9, "t", JobKind::Array, Priority::Normal, 2),
        9,
        &[],
        Timestamp::from_millis(200),
    );
    let mut stopped = 0;
    for round in 1..40 {
        let now = Timestamp::from_millis(200 + round * 300);
        share.run_cycles(now, 100);
        make_durable(&mut share);
        let _ = share.commands_for(&machine_name(1), CommandRoute::HeartbeatResponse, now);
        let held = share.jobs.iter().flat_map(|(id, job)| {
            job.placed
                .iter()
                .map(move |(index, p)| (format!("{id}/{index}"), p.attempt.0, p.stop))
        });
        let tasks: Vec<TaskStatus> = held
            .map(|(task, attempt, stop)| match stop {
                Some(_) => task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped)),
                None => task_status(&task, attempt, TaskState::Running, None),
            })
            .collect();
        stopped += tasks
            .iter()
            .filter(|task| task.state == TaskState::Exited)
            .count();
        share.reconcile(
            &heartbeat(1 + round, None, tasks),
            StatusSource::Heartbeat,
            now,
        );
    }
    assert_eq!(
        stopped, 2,
        "two replicas beyond the guarantee make way, once"
    );
    assert_eq!(
        share.jobs[&model::JobId(9)].placed.len(),
        2,
        "the other team has its guarantee"
    );
}
