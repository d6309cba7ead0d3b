//! Team limits, guarantees and the order of jobs.

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

/// Guards against replicas that never start: the arrays of a team of uneven demand used its whole limit on
/// machines where replicas may not run. No machine was rented for the team's replicas, none of its tasks was
/// preempted for them, and tasks that ended were replaced by those of arrays, which come first in the order
/// (`incidents/2026-12-01-replicas-at-their-teams-limit.md`).
#[test]
fn replicas_at_team_limit_preempt_arrays_of_same_team() {
    let mut partition = new_partition();
    let mut arrays = job(1, "t", JobKind::Array, Priority::Normal, 9);
    arrays.spot_allowed = true;
    partition
        .machines
        .get_mut(&machine_name(1))
        .expect("added")
        .spot = true;
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(arrays, 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut partition, Timestamp::from_millis(100)).len(),
        4,
        "the whole limit, all within the guarantee"
    );
    let replica = job(2, "t", JobKind::Service, Priority::High, 1);
    partition.add_job(
        JobSpec {
            estimated_run_time: Duration::ZERO,
            ..replica
        },
        2,
        &[],
        Timestamp::from_millis(200),
    );
    partition.run_cycles(Timestamp::from_millis(200), 100);
    let urgent: u64 = partition
        .demand(Timestamp::from_millis(200))
        .iter()
        .map(|shape| shape.urgent_count)
        .sum();
    assert_eq!(urgent, 1, "a machine is requested for the replica");
    let stopping = |partition: &PartitionState| -> Vec<u32> {
        let placed = partition.jobs[&model::JobId(1)].placed.iter();
        placed
            .filter(|(_, placement)| placement.stop.is_some())
            .map(|(index, _)| *index)
            .collect()
    };
    assert!(
        stopping(&partition).is_empty(),
        "no task is stopped while no machine can run the replica"
    );

    add_machine(&mut partition, 2);
    send_heartbeat(
        &mut partition,
        2,
        1,
        Vec::new(),
        Timestamp::from_millis(2_000),
    );
    partition.run_cycles(Timestamp::from_millis(2_000), 100);
    let victims = stopping(&partition);
    assert_eq!(victims.len(), 1);
    partition.run_cycles(Timestamp::from_millis(2_100), 100);
    assert_eq!(stopping(&partition), victims, "one victim is enough");
    // The victim has exited. The array's other tasks wait and come first in the order.
    let task = model::TaskId {
        job: model::JobId(1),
        index: victims[0],
    };
    let attempt = partition.jobs[&task.job].placed[&task.index].attempt.0;
    let exited = task_status(
        &task.to_string(),
        attempt,
        TaskState::Exited,
        Some(ExitCause::Stopped),
    );
    let others = partition.jobs[&task.job]
        .placed
        .iter()
        .filter(|(index, _)| **index != task.index);
    let mut tasks: Vec<TaskStatus> = others
        .map(|(index, placement)| {
            task_status(
                &format!("j-000001/{index}"),
                placement.attempt.0,
                TaskState::Running,
                None,
            )
        })
        .collect();
    tasks.push(exited);
    partition.reconcile(
        &heartbeat(2, None, tasks),
        StatusSource::Heartbeat,
        Timestamp::from_millis(2_300),
    );
    partition.run_cycles(Timestamp::from_millis(3_500), 100);
    assert_eq!(
        partition.jobs[&model::JobId(2)].placed.len(),
        1,
        "the replica gets the freed part of the limit"
    );
    assert_eq!(partition.jobs[&model::JobId(1)].placed.len(), 3);
}

/// In a shortage of machines, the order of submission makes all jobs late, since jobs that are late go first.
#[test]
fn short_jobs_go_first_only_during_overload() {
    for (deadline_s, first_job) in [(60, 2), (6_000, 1)] {
        let cpus = |count| Resources::offered(count, 0.0, 0.0);
        let teams = [(TeamName::from("t"), cpus(4.0), cpus(8.0))];
        let queue = QueueConfig::default();
        let mut partition = PartitionState::new(
            teams,
            Duration::from_secs(10),
            Policy::default(),
            queue,
            FencingToken(5),
        );
        add_machine(&mut partition, 1);
        partition.reconcile(
            &heartbeat(1, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(100),
        );
        let with_deadline = |spec: JobSpec| JobSpec {
            deadline: Some(Duration::from_millis(deadline_s * 1_000)),
            ..spec
        };
        let long = with_deadline(job(1, "t", JobKind::Array, Priority::Normal, 40));
        partition.add_job(long, 1, &[], Timestamp::from_millis(100));
        assert_eq!(
            place_and_launch(&mut partition, Timestamp::from_millis(100)).len(),
            4
        );
        // It is submitted 400 s after the first job, which is deferred by less than that for its size.
        let short = with_deadline(job(2, "t", JobKind::Array, Priority::Normal, 2));
        partition.add_job(short, 400_000, &[], Timestamp::from_millis(200));
        partition.run_cycles(Timestamp::from_millis(200), 100);
        partition.update_overload();
        let placements = &partition.jobs[&model::JobId(1)].placed;
        let mut tasks: Vec<TaskStatus> = placements
            .iter()
            .map(|(index, placement)| {
                task_status(
                    &format!("j-000001/{index}"),
                    placement.attempt.0,
                    TaskState::Running,
                    None,
                )
            })
            .collect();
        tasks[0].state = TaskState::Exited;
        tasks[0].exit_cause = Some(ExitCause::Done);
        partition.reconcile(
            &heartbeat(2, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(2_000),
        );
        partition.run_cycles(Timestamp::from_millis(2_000), 100);
        let placed = |id: u64| partition.jobs[&model::JobId(id)].placed.len();
        let expected = if first_job == 2 { (3, 1) } else { (4, 0) };
        assert_eq!((placed(1), placed(2)), expected, "deadline {deadline_s} s");
    }
}

/// Guards against a fault in which every waiting job counted as newly submitted after a failover, and short jobs
/// went before those that had waited for minutes.
#[test]
fn submission_order_survives_failover() {
    let mut partition = partition_without_guarantees(true);
    let short = |id| JobSpec {
        estimated_run_time: Duration::from_secs(1),
        ..job(id, "t", JobKind::Array, Priority::Normal, 4)
    };
    let long = JobSpec {
        estimated_run_time: Duration::from_secs(20),
        ..short(1)
    };
    // Both are loaded at the same time; the long one was submitted 80 s earlier.
    partition.add_job(short(2), 90_000, &[], Timestamp::from_millis(100));
    partition.add_job(long, 10_000, &[], Timestamp::from_millis(100));
    let launched = place_and_launch(&mut partition, Timestamp::from_millis(200));
    assert!(
        launched
            .iter()
            .all(|(task, _)| task.starts_with("j-000001/")),
        "{launched:?}"
    );
}

/// Guards against a fault found by a simulation sweep: a gang's outcome could not be written, a worker started a
/// new epoch, and the next leader launched that worker's task again before another worker reported the gang as
/// done. The job was removed, and the relaunched task, which waited for the others, did not count against the
/// team's limit.
#[test]
fn completed_gang_counts_against_limit_until_its_last_task_is_gone() {
    let mut partition = partition_with_four_machines();
    partition
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(8.0, 0.0, 0.0));
    let machines = ["host-000001", "host-000001", "host-000002", "host-000002"];
    let chunk_of = |machines: &[&str]| {
        let placed = machines
            .iter()
            .zip(0..)
            .map(|(machine, offset)| PlacedTask {
                offset,
                attempt: 7,
                machine: (*machine).to_owned(),
            });
        TaskChunk {
            done: String::new(),
            placed: placed.collect(),
        }
    };
    let gang = job(1, "t", JobKind::Gang, Priority::High, 4);
    partition.add_job(
        gang.clone(),
        1,
        &[(0, chunk_of(&machines))],
        Timestamp::from_millis(100),
    );
    send_heartbeat(
        &mut partition,
        2,
        2,
        Vec::new(),
        Timestamp::from_millis(200),
    );
    let (route, second_machine) = (CommandRoute::HeartbeatResponse, machine_name(2));
    assert_eq!(
        partition
            .commands_for(&second_machine, route, Timestamp::from_millis(200))
            .len(),
        2,
        "its tasks are launched again"
    );
    let done = |index| {
        task_status(
            &format!("j-000001/{index}"),
            7,
            TaskState::Exited,
            Some(ExitCause::Done),
        )
    };
    send_heartbeat(
        &mut partition,
        1,
        2,
        vec![done(0), done(1)],
        Timestamp::from_millis(300),
    );
    assert_eq!(
        partition.take_finished(),
        [],
        "two tasks are still on machine 2"
    );
    let stops = partition.commands_for(&second_machine, route, Timestamp::from_millis(300));
    assert!(
        stops
            .iter()
            .all(|command| matches!(command, Command::Stop { .. }))
            && stops.len() == 2
    );
    // The same holds after a failover.
    let keys = partition.take_dirty_chunks();
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
    for partition in [&mut partition, &mut successor] {
        send_heartbeat(partition, 2, 5, Vec::new(), Timestamp::from_millis(900));
        assert_eq!(partition.take_finished(), [model::JobId(1)]);
    }
}
