//! The commands that a machine gets: launches, and forget commands for exited tasks.

use crate::builders::{heartbeat, job, make_durable, new_partition, place_and_launch, task_status};
use model::{FencingToken, MachineName, Timestamp};
use scheduler::{CommandRoute, DirectLaunch, PartitionState, StatusSource, TaskAttempt};
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

#[test]
fn tasks_are_launched_once_durable_and_within_limit() {
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
        4,
        "the machine and the team's limit each have room for four tasks"
    );
}

#[test]
fn status_by_direct_call_does_not_prove_launch_in_heartbeat_response_lost() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let launches = place_and_launch(&mut partition, Timestamp::from_millis(100));
    partition.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    // The heartbeat response with the launch may arrive after this status was taken.
    partition.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::DirectResponse,
        Timestamp::from_millis(210),
    );
    assert_eq!(partition.jobs[&model::JobId(1)].placed.len(), 1);
    partition.reconcile(
        &heartbeat(3, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(partition.jobs[&model::JobId(1)].placed.len(), 0);
    assert_eq!(partition.take_finished(), [model::JobId(1)]);
    assert_eq!(launches.len(), 1);
}

#[test]
fn forget_waits_until_outcome_is_durable() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 2),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut partition, Timestamp::from_millis(100)).remove(0);
    let done = task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Done));
    let name = MachineName::from("host-000001");
    let forget_count = |partition: &mut PartitionState| {
        let commands = partition.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(1_000),
        );
        commands
            .iter()
            .filter(|command| matches!(command, Command::Forget { .. }))
            .count()
    };
    partition.reconcile(
        &heartbeat(2, None, vec![done]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    assert_eq!(forget_count(&mut partition), 0);
    make_durable(&mut partition);
    assert_eq!(forget_count(&mut partition), 1);
}

/// Guards against a task that runs twice, which a seeded run found: a launch was sent in a slow heartbeat response
/// and by a direct call. The task was stopped, shown as exited in the response to a direct call, and forgotten
/// by the worker before the slow heartbeat response arrived and started it again.
#[test]
fn forget_waits_for_launch_in_pending_heartbeat_response() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut partition, Timestamp::from_millis(100)).remove(0);
    let exited = || task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped));
    partition.reconcile(
        &heartbeat(2, None, vec![exited()]),
        StatusSource::DirectResponse,
        Timestamp::from_millis(150),
    );
    make_durable(&mut partition);
    let name = MachineName::from("host-000001");
    let forget_count = |partition: &mut PartitionState, route| {
        let commands = partition.commands_for(&name, route, Timestamp::from_millis(200));
        commands
            .iter()
            .filter(|command| matches!(command, Command::Forget { .. }))
            .count()
    };
    assert_eq!(forget_count(&mut partition, CommandRoute::DirectCall), 0);
    partition.reconcile(
        &heartbeat(3, None, vec![exited()]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(
        forget_count(&mut partition, CommandRoute::HeartbeatResponse),
        1
    );
}

/// Guards against a task that runs twice, which a seeded run found: a status with the current token counted as
/// proof that a slow direct launch was superseded, so the worker forgot the task before that launch arrived.
#[test]
fn forget_waits_until_lost_direct_launch_is_superseded() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    partition.run_cycles(Timestamp::from_millis(100), 100);
    let name = MachineName::from("host-000001");
    make_durable(&mut partition);
    let launches =
        partition.commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(110));
    let [Command::Launch { task, attempt }] = &launches[..] else {
        panic!("{launches:?}")
    };
    let mut status = heartbeat(2, None, vec![]);
    status.tasks.push(task_status(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Stopped),
    ));
    partition.reconcile(
        &status,
        StatusSource::Heartbeat,
        Timestamp::from_millis(600),
    );
    make_durable(&mut partition);
    let forget_count = |partition: &mut PartitionState| {
        let commands = partition.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(700),
        );
        commands
            .iter()
            .filter(|command| matches!(command, Command::Forget { .. }))
            .count()
    };
    assert_eq!(forget_count(&mut partition), 0);
    status.sequence_number = 3;
    partition.reconcile(
        &status,
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_200),
    );
    assert_eq!(
        forget_count(&mut partition),
        0,
        "the worker has seen no higher token than that of the launch"
    );
    (status.sequence_number, status.token) = (4, 6);
    if let Some(machine) = partition.machines.get_mut(&name) {
        machine.token = FencingToken(6);
    }
    partition.reconcile(
        &status,
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_900),
    );
    assert_eq!(forget_count(&mut partition), 1);
}

/// A worker that has forgotten an attempt would start it again if a copy of its launch arrived. A higher token
/// makes the worker drop such copies.
#[test]
fn forget_waits_until_copies_of_launch_are_superseded() {
    let mut partition = new_partition();
    let name = MachineName::from("host-000001");
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    partition.run_cycles(Timestamp::from_millis(100), 100);
    make_durable(&mut partition);
    let launches =
        partition.commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(100));
    let Some(Command::Launch { task, attempt }) = launches.first().cloned() else {
        panic!("{launches:?}")
    };
    let id = model::TaskId::parse(&task).expect("a valid task id");
    let running = vec![task_status(&task, attempt, TaskState::Running, None)];
    partition.record_direct_response(
        &name,
        &[TaskAttempt {
            task: id,
            attempt: model::Attempt(attempt),
        }],
        direct_launch(5),
    );
    partition.reconcile(
        &heartbeat(2, None, running),
        StatusSource::DirectResponse,
        Timestamp::from_millis(110),
    );
    partition.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    let exited = || {
        vec![task_status(
            &task,
            attempt,
            TaskState::Exited,
            Some(ExitCause::Stopped),
        )]
    };
    let forget_count = |partition: &mut PartitionState, now_ms: u64| {
        let commands = partition.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(now_ms),
        );
        commands
            .iter()
            .filter(|command| matches!(command, Command::Forget { .. }))
            .count()
    };
    partition.reconcile(
        &heartbeat(3, None, exited()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(300),
    );
    make_durable(&mut partition);
    assert_eq!(forget_count(&mut partition, 300), 0);
    assert!(
        !partition.machines[&name].exited_tasks_need_higher_token(Timestamp::from_millis(300)),
        "the token is raised after 45 s, for all exited tasks at once"
    );
    assert!(
        partition.machines[&name].exited_tasks_need_higher_token(Timestamp::from_millis(46_000))
    );
    let with_higher_token = Heartbeat {
        token: 6,
        ..heartbeat(4, None, exited())
    };
    partition.reconcile(
        &with_higher_token,
        StatusSource::Heartbeat,
        Timestamp::from_millis(32_000),
    );
    assert_eq!(forget_count(&mut partition, 32_000), 1);
}

/// A direct launch in the first epoch of a worker.
fn direct_launch(token: u64) -> DirectLaunch {
    DirectLaunch {
        token: FencingToken(token),
        worker_epoch: model::WorkerEpoch(1),
    }
}

/// A partition that has launched a task on machine 1 by a direct call, which is not answered yet.
fn partition_with_unanswered_launch() -> (PartitionState, TaskAttempt) {
    let mut partition = new_partition();
    let name = MachineName::from("host-000001");
    let now = Timestamp::from_millis(100);
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        now,
    );
    let spec = job(1, "t", JobKind::Service, Priority::High, 1);
    partition.add_job(spec, 1, &[], now);
    partition.run_cycles(now, 100);
    make_durable(&mut partition);
    let launches = partition.commands_for(&name, CommandRoute::DirectCall, now);
    let Some(Command::Launch { task, attempt }) = launches.first() else {
        panic!("{launches:?}")
    };
    let id = TaskAttempt {
        task: model::TaskId::parse(task).expect("a valid task id"),
        attempt: model::Attempt(*attempt),
    };
    (partition, id)
}

/// Guards against a launch that counts as settled though it may still arrive: the answer was to a call that this
/// controller had made in an earlier term, with the same attempt.
#[test]
fn answer_to_call_of_earlier_term_does_not_settle_launch() {
    let (mut partition, launched) = partition_with_unanswered_launch();
    let name = MachineName::from("host-000001");
    for (token, is_settled) in [(4, false), (5, true)] {
        partition.record_direct_response(&name, &[launched], direct_launch(token));
        let placement = &partition.jobs[&model::JobId(1)].placed[&0];
        let unconfirmed = placement.launch.unconfirmed_direct();
        assert_eq!(unconfirmed.is_none(), is_settled, "token {token}");
    }
}

/// A partition whose machine 1 runs a task that was launched by a direct call and answered; its status, and the id
/// of the task.
fn partition_with_directly_launched_task() -> (PartitionState, TaskStatus, TaskAttempt) {
    let (mut partition, id) = partition_with_unanswered_launch();
    let name = MachineName::from("host-000001");
    let now = Timestamp::from_millis(100);
    let running = task_status(&id.task.to_string(), id.attempt.0, TaskState::Running, None);
    partition.record_direct_response(&name, &[id], direct_launch(5));
    let status = heartbeat(2, None, vec![running.clone()]);
    partition.reconcile(&status, StatusSource::DirectResponse, now);
    (partition, running, id)
}

/// Guards against a task that runs twice: a worker that restarted in its epoch had lost the task, which was placed
/// elsewhere at once, and a late copy of the launch started it again.
#[test]
fn lost_task_keeps_its_placement_until_copies_of_its_launch_are_superseded() {
    let (mut partition, _, id) = partition_with_directly_launched_task();
    let lost = heartbeat(3, None, Vec::new());
    let now = Timestamp::from_millis(1_000);
    partition.reconcile(&lost, StatusSource::Heartbeat, now);
    let placed = |partition: &PartitionState| {
        partition.jobs[&id.task.job]
            .placed
            .get(&id.task.index)
            .cloned()
    };
    assert_eq!(
        placed(&partition).map(|placement| placement.attempt),
        Some(id.attempt)
    );
    let name = MachineName::from("host-000001");
    assert!(partition.machines[&name].lost_launch_needs_higher_token());
    let with_higher_token = Heartbeat {
        token: 6,
        ..heartbeat(4, None, Vec::new())
    };
    partition.reconcile(&with_higher_token, StatusSource::Heartbeat, now);
    assert_eq!(placed(&partition), None);
}

/// Guards against the same for an exited task: the worker no longer lists it, though it was not told to forget it.
#[test]
fn exited_task_that_vanishes_makes_a_higher_token_necessary() {
    let (mut partition, running, _) = partition_with_directly_launched_task();
    let exited = TaskStatus {
        state: TaskState::Exited,
        exit_cause: Some(ExitCause::Stopped),
        ..running
    };
    let now = Timestamp::from_millis(1_000);
    partition.reconcile(
        &heartbeat(3, None, vec![exited]),
        StatusSource::Heartbeat,
        now,
    );
    let name = MachineName::from("host-000001");
    assert!(!partition.machines[&name].lost_launch_needs_higher_token());
    partition.reconcile(
        &heartbeat(4, None, Vec::new()),
        StatusSource::Heartbeat,
        now,
    );
    assert!(partition.machines[&name].lost_launch_needs_higher_token());
}
