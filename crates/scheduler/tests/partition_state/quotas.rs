//! Limits, guarantees and the order of jobs.

use crate::builders::{
    add_machine, heartbeat, job, machine_name, new_partition, partition_with_four_machines,
    partition_without_guarantees, place_and_launch, send_heartbeat, task_status,
};
use model::{FencingToken, JobSpec, Resources, TeamName, Timestamp};
use scheduler::{CommandRoute, PartitionState, PlacedTask, Policy, StatusSource, TaskChunk};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, TaskState, TaskStatus};

/// A team of uneven demand (`incidents/2026-12-01-replicas-at-their-teams-limit.md`): its arrays took all of
/// its limit on machines where replicas may not run. No machine was rented for its replicas, none of its
/// tasks stopped for them, and what ended was replaced by arrays that go first in the order.
#[test]
fn replicas_at_team_limit_preempt_arrays_of_same_team() {
    let mut share = new_partition();
    let mut arrays = job(1, "t", JobKind::Array, Priority::Normal, 9);
    arrays.spot = true;
    share
        .machines
        .get_mut(&machine_name(1))
        .expect("added")
        .spot = true;
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(arrays, 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut share, Timestamp::from_millis(100)).len(),
        4,
        "the whole limit, all inside the guarantee"
    );
    let replica = job(2, "t", JobKind::Service, Priority::High, 1);
    share.add_job(
        JobSpec {
            estimate: Duration::ZERO,
            ..replica
        },
        2,
        &[],
        Timestamp::from_millis(200),
    );
    share.run_cycles(Timestamp::from_millis(200), 100);
    let urgent: u64 = share
        .demand(Timestamp::from_millis(200))
        .iter()
        .map(|shape| shape.urgent)
        .sum();
    assert_eq!(urgent, 1, "a machine for the replica");
    let stopping = |share: &PartitionState| -> Vec<u32> {
        let placed = share.jobs[&model::JobId(1)].placed.iter();
        placed
            .filter(|(_, p)| p.stop.is_some())
            .map(|(index, _)| *index)
            .collect()
    };
    assert!(
        stopping(&share).is_empty(),
        "nothing is stopped while there is no room for it"
    );

    add_machine(&mut share, 2);
    send_heartbeat(&mut share, 2, 1, Vec::new(), Timestamp::from_millis(2_000));
    share.run_cycles(Timestamp::from_millis(2_000), 100);
    let victims = stopping(&share);
    assert_eq!(victims.len(), 1);
    share.run_cycles(Timestamp::from_millis(2_100), 100);
    assert_eq!(stopping(&share), victims, "one is enough");
    // The victim is gone. The array's other tasks wait and go first in the order.
    let task = model::TaskId {
        job: model::JobId(1),
        index: victims[0],
    };
    let attempt = share.jobs[&task.job].placed[&task.index].attempt.0;
    let exited = task_status(
        &task.to_string(),
        attempt,
        TaskState::Exited,
        Some(ExitCause::Stopped),
    );
    let others = share.jobs[&task.job]
        .placed
        .iter()
        .filter(|(index, _)| **index != task.index);
    let mut tasks: Vec<TaskStatus> = others
        .map(|(index, p)| {
            task_status(
                &format!("j-000001/{index}"),
                p.attempt.0,
                TaskState::Running,
                None,
            )
        })
        .collect();
    tasks.push(exited);
    share.reconcile(
        &heartbeat(2, None, tasks),
        StatusSource::Heartbeat,
        Timestamp::from_millis(2_300),
    );
    share.run_cycles(Timestamp::from_millis(3_500), 100);
    assert_eq!(
        share.jobs[&model::JobId(2)].placed.len(),
        1,
        "the replica has the freed slice"
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 3);
}

/// In a shortage the order of submissions makes everybody late, since those who are late go first.
#[test]
fn short_jobs_go_first_only_during_overload() {
    for (deadline_s, first) in [(60, 2), (6_000, 1)] {
        let of = |cpus| Resources::offered(cpus, 0.0, 0.0);
        let teams = [(TeamName::from("t"), of(4.0), of(8.0))];
        let queue = QueueConfig::default();
        let mut share = PartitionState::new(
            teams,
            Duration::from_secs(10),
            Policy::default(),
            queue,
            FencingToken(5),
        );
        add_machine(&mut share, 1);
        share.reconcile(
            &heartbeat(1, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(100),
        );
        let due = |spec: JobSpec| JobSpec {
            deadline: Some(Duration::from_millis(deadline_s * 1_000)),
            ..spec
        };
        let long = due(job(1, "t", JobKind::Array, Priority::Normal, 40));
        share.add_job(long, 1, &[], Timestamp::from_millis(100));
        assert_eq!(
            place_and_launch(&mut share, Timestamp::from_millis(100)).len(),
            4
        );
        // It comes 400 s later, more than what the size of the first sets it back.
        let short = due(job(2, "t", JobKind::Array, Priority::Normal, 2));
        share.add_job(short, 400_000, &[], Timestamp::from_millis(200));
        share.run_cycles(Timestamp::from_millis(200), 100);
        share.update_overload();
        let held = &share.jobs[&model::JobId(1)].placed;
        let mut tasks: Vec<TaskStatus> = held
            .iter()
            .map(|(index, p)| {
                task_status(
                    &format!("j-000001/{index}"),
                    p.attempt.0,
                    TaskState::Running,
                    None,
                )
            })
            .collect();
        tasks[0].state = TaskState::Exited;
        tasks[0].why = Some(ExitCause::Done);
        share.reconcile(
            &heartbeat(2, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(2_000),
        );
        share.run_cycles(Timestamp::from_millis(2_000), 100);
        let placed = |id: u64| share.jobs[&model::JobId(id)].placed.len();
        let expected = if first == 2 { (3, 1) } else { (4, 0) };
        assert_eq!((placed(1), placed(2)), expected, "deadline {deadline_s} s");
    }
}

/// Seen after takeovers: every waiting job counted as new, and short ones went before those
/// that had waited for minutes.
#[test]
fn submission_order_survives_failover() {
    let mut share = partition_without_guarantees(true);
    let short = |id| JobSpec {
        estimate: Duration::from_secs(1),
        ..job(id, "t", JobKind::Array, Priority::Normal, 4)
    };
    let long = JobSpec {
        estimate: Duration::from_secs(20),
        ..short(1)
    };
    // Read at the same moment; the long one was submitted 80 s earlier.
    share.add_job(short(2), 90_000, &[], Timestamp::from_millis(100));
    share.add_job(long, 10_000, &[], Timestamp::from_millis(100));
    let first = place_and_launch(&mut share, Timestamp::from_millis(200));
    assert!(
        first.iter().all(|(task, _)| task.starts_with("j-000001/")),
        "{first:?}"
    );
}

/// Found by a sweep of the simulation: a gang's outcome could not be written, one worker lost its
/// session, and the successor started that member anew before another reported the gang done. The
/// job was cleared away, and the member that waited was not counted against the team's limit.
#[test]
fn completed_gang_counts_until_last_member_is_gone() {
    let mut share = partition_with_four_machines();
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(8.0, 0.0, 0.0));
    let machines = ["host-000001", "host-000001", "host-000002", "host-000002"];
    let placed = |list: &[&str]| {
        let all = list.iter().zip(0..).map(|(m, n)| PlacedTask {
            offset: n,
            attempt: 7,
            machine: (*m).to_owned(),
        });
        TaskChunk {
            done: String::new(),
            placed: all.collect(),
        }
    };
    let gang = job(1, "t", JobKind::Gang, Priority::High, 4);
    share.add_job(
        gang.clone(),
        1,
        &[(0, placed(&machines))],
        Timestamp::from_millis(100),
    );
    send_heartbeat(&mut share, 2, 2, Vec::new(), Timestamp::from_millis(200));
    let (route, two) = (CommandRoute::HeartbeatResponse, machine_name(2));
    assert_eq!(
        share
            .commands_for(&two, route, Timestamp::from_millis(200))
            .len(),
        2,
        "started anew"
    );
    let done = |n| {
        task_status(
            &format!("j-000001/{n}"),
            7,
            TaskState::Exited,
            Some(ExitCause::Done),
        )
    };
    send_heartbeat(
        &mut share,
        1,
        2,
        vec![done(0), done(1)],
        Timestamp::from_millis(300),
    );
    assert_eq!(
        share.take_finished(),
        [],
        "two of them are still on their machine"
    );
    let stops = share.commands_for(&two, route, Timestamp::from_millis(300));
    assert!(stops.iter().all(|c| matches!(c, Command::Stop { .. })) && stops.len() == 2);
    // The same after a takeover.
    let keys = share.take_dirty_chunks();
    let mut successor = partition_with_four_machines();
    let chunks: Vec<_> = keys
        .into_iter()
        .map(|(key, body)| (key.chunk, body))
        .collect();
    successor.add_job(gang, 1, &chunks, Timestamp::from_millis(400));
    let team = successor
        .teams
        .get(&TeamName::from("t"))
        .expect("a known team");
    assert_eq!(team.used.milli_cpus, 2_000);
    assert_eq!(successor.take_finished(), []);
    for share in [&mut share, &mut successor] {
        send_heartbeat(share, 2, 5, Vec::new(), Timestamp::from_millis(900));
        assert_eq!(share.take_finished(), [model::JobId(1)]);
    }
}
