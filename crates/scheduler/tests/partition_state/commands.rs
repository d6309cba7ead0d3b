//! Launches, stops and forgets.

use crate::builders::{heartbeat, job, make_durable, new_partition, place_and_launch, task_status};
use model::{FencingToken, MachineName, Timestamp};
use scheduler::{CommandRoute, PartitionState, StatusSource, TaskAttempt};
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState};

#[test]
fn launches_wait_for_durability_and_respect_limit() {
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
        4,
        "the machine and the limit hold four"
    );
}

#[test]
fn direct_status_does_not_prove_launch_in_reply_lost() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let first = place_and_launch(&mut share, Timestamp::from_millis(100));
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    // The answer with the launch may still be under way when a direct answer comes.
    share.reconcile(
        &heartbeat(2, None, Vec::new()),
        StatusSource::DirectResponse,
        Timestamp::from_millis(210),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 1);
    share.reconcile(
        &heartbeat(3, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 0);
    assert_eq!(share.take_finished(), [model::JobId(1)]);
    assert_eq!(first.len(), 1);
}

#[test]
fn forget_waits_until_outcome_is_durable() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 2),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let done = task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Done));
    let name = MachineName::from("host-000001");
    let forgets = |share: &mut PartitionState| {
        let commands = share.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(1_000),
        );
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    share.reconcile(
        &heartbeat(2, None, vec![done]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    assert_eq!(forgets(&mut share), 0);
    make_durable(&mut share);
    assert_eq!(forgets(&mut share), 1);
}

/// Found by a seeded run (a task ran twice): a launch went out in an answer that was slow and
/// straight to the worker; the task was stopped, reported as ended in a direct answer and
/// forgotten before the slow answer came and started it again.
#[test]
fn forget_waits_for_launch_in_pending_reply() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let ended = || task_status(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped));
    share.reconcile(
        &heartbeat(2, None, vec![ended()]),
        StatusSource::DirectResponse,
        Timestamp::from_millis(150),
    );
    make_durable(&mut share);
    let name = MachineName::from("host-000001");
    let forgets = |share: &mut PartitionState, route| {
        let commands = share.commands_for(&name, route, Timestamp::from_millis(200));
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    assert_eq!(forgets(&mut share, CommandRoute::DirectCall), 0);
    share.reconcile(
        &heartbeat(3, None, vec![ended()]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(forgets(&mut share, CommandRoute::HeartbeatResponse), 1);
}

/// Found by a seeded run (a task ran twice): a report that bore the current token counted as
/// proof that a slow direct launch was void, the task was forgotten, and the launch came.
#[test]
fn forget_waits_until_lost_direct_launch_is_superseded() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(100), 100);
    let name = MachineName::from("host-000001");
    make_durable(&mut share);
    let launches = share.commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(110));
    let [Command::Start { task, attempt }] = &launches[..] else {
        panic!("{launches:?}")
    };
    let mut ended = heartbeat(2, None, vec![]);
    ended.tasks.push(task_status(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Stopped),
    ));
    share.reconcile(&ended, StatusSource::Heartbeat, Timestamp::from_millis(600));
    make_durable(&mut share);
    let forgets = |share: &mut PartitionState| {
        let commands = share.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(700),
        );
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    assert_eq!(forgets(&mut share), 0);
    ended.seq = 3;
    share.reconcile(
        &ended,
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_200),
    );
    assert_eq!(
        forgets(&mut share),
        0,
        "the launch bears the token that the worker has"
    );
    (ended.seq, ended.token) = (4, 6);
    if let Some(machine) = share.machines.get_mut(&name) {
        machine.token = FencingToken(6);
    }
    share.reconcile(
        &ended,
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_900),
    );
    assert_eq!(forgets(&mut share), 1);
}

/// A worker that has forgotten an attempt would start it again on a copy of its launch.
#[test]
fn forget_waits_until_copies_of_launch_have_no_effect() {
    let mut share = new_partition();
    let name = MachineName::from("host-000001");
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(100), 100);
    make_durable(&mut share);
    let launch = share.commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(100));
    let Some(Command::Start { task, attempt }) = launch.first().cloned() else {
        panic!("{launch:?}")
    };
    let id = model::TaskId::parse(&task).expect("a task");
    let running = vec![task_status(&task, attempt, TaskState::Running, None)];
    share.record_direct_response(
        &name,
        &[TaskAttempt {
            task: id,
            attempt: model::Attempt(attempt),
        }],
    );
    share.reconcile(
        &heartbeat(2, None, running),
        StatusSource::DirectResponse,
        Timestamp::from_millis(110),
    );
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    let stopped = || {
        vec![task_status(
            &task,
            attempt,
            TaskState::Exited,
            Some(ExitCause::Stopped),
        )]
    };
    let forgets = |share: &mut PartitionState, at: u64| {
        let commands = share.commands_for(
            &name,
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(at),
        );
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    share.reconcile(
        &heartbeat(3, None, stopped()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(300),
    );
    make_durable(&mut share);
    assert_eq!(forgets(&mut share, 300), 0);
    assert!(
        !share.machines[&name].exited_tasks_need_higher_token(Timestamp::from_millis(300)),
        "some are voided at once, later"
    );
    assert!(share.machines[&name].exited_tasks_need_higher_token(Timestamp::from_millis(46_000)));
    let seen = Heartbeat {
        token: 6,
        ..heartbeat(4, None, stopped())
    };
    share.reconcile(
        &seen,
        StatusSource::Heartbeat,
        Timestamp::from_millis(32_000),
    );
    assert_eq!(forgets(&mut share, 32_000), 1);
}
