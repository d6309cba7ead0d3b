//! A share on its own: launches, proofs, quota, preemption, notices.

use model::{FencingToken, JobSpec, MachineName, Resources, TeamName, Timestamp, ZoneName};
use scheduler::{
    CommandRoute, Machine, PartitionState, PlacedTask, Policy, StatusSource, TaskAttempt, TaskChunk,
};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

fn share() -> PartitionState {
    let amounts = Resources::offered(4.0, 0.0, 0.0);
    let teams = ["t", "u"].map(|t| (TeamName::from(t), amounts, amounts));
    let policy = Policy::default();
    let queue = QueueConfig::default();
    let mut share = PartitionState::new(
        teams,
        Duration::from_secs(10),
        policy,
        queue,
        FencingToken(5),
    );
    add_machine(&mut share, 1);
    share
}

fn name(n: u32) -> MachineName {
    MachineName::from(format!("host-{n:06}").as_str())
}

fn add_machine(share: &mut PartitionState, n: u32) {
    let kind = MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    };
    let zone = ZoneName::from("a");
    share.add_machine(
        Machine::new(name(n), &kind, zone, false, FencingToken(5)),
        Timestamp::from_millis(0),
    );
}

fn job(id: u64, team: &str, kind: JobKind, priority: Priority, tasks: u64) -> JobSpec {
    let request = JobRequest {
        id: format!("j-{id:06}"),
        class: "c".into(),
        team: team.into(),
        kind,
        priority,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    JobSpec::try_from(&request).expect("a good job")
}

fn report(seq: u64, notice_s: Option<f64>, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "host-000001".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq,
        token: 5,
        notice_s,
        tasks,
    }
}

fn entry(task: &str, attempt: u64, state: TaskState, why: Option<ExitCause>) -> TaskStatus {
    TaskStatus {
        task: task.into(),
        attempt,
        state,
        why,
        saved: None,
    }
}

/// Places what waits, makes it durable and returns the launches of the next answer.
fn launch(share: &mut PartitionState, now: Timestamp) -> Vec<(String, u64)> {
    share.run_cycles(now, 100);
    let name = MachineName::from("host-000001");
    let launches = |share: &mut PartitionState| -> Vec<(String, u64)> {
        share
            .commands_for(&name, CommandRoute::Answer, now)
            .into_iter()
            .filter_map(|c| match c {
                Command::Start { task, attempt } => Some((task, attempt)),
                _ => None,
            })
            .collect()
    };
    let early = launches(share);
    assert_eq!(early, [], "nothing is launched before it is durable");
    make_durable(share);
    launches(share)
}

/// What has changed is written.
fn make_durable(share: &mut PartitionState) {
    let keys: Vec<_> = share.take_dirty().into_iter().map(|(key, _)| key).collect();
    let written = share.changes_in(&keys);
    share.confirm(&written);
}

#[test]
fn launches_follow_durability_and_the_limit() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
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
        launch(&mut share, Timestamp::from_millis(100)).len(),
        4,
        "the machine and the limit hold four"
    );
}

#[test]
fn a_lost_launch_is_repeated_but_a_direct_answer_proves_nothing_about_it() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let first = launch(&mut share, Timestamp::from_millis(100));
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    // The answer with the launch may still be under way when a direct answer comes.
    share.reconcile(
        &report(2, None, Vec::new()),
        StatusSource::Direct,
        Timestamp::from_millis(210),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 1);
    share.reconcile(
        &report(3, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 0);
    assert_eq!(share.take_finished(), [model::JobId(1)]);
    assert_eq!(first.len(), 1);
}

#[test]
fn forget_waits_until_the_outcome_is_durable() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 2),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let done = entry(&task, attempt, TaskState::Exited, Some(ExitCause::Done));
    let name = MachineName::from("host-000001");
    let forgets = |share: &mut PartitionState| {
        let commands =
            share.commands_for(&name, CommandRoute::Answer, Timestamp::from_millis(1_000));
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    share.reconcile(
        &report(2, None, vec![done]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    assert_eq!(forgets(&mut share), 0);
    make_durable(&mut share);
    assert_eq!(forgets(&mut share), 1);
}

#[test]
fn higher_priority_stops_lower_work_and_equals_do_not() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 9),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    assert_eq!(launch(&mut share, Timestamp::from_millis(100)).len(), 4);
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

/// A team of uneven demand (`incidents/2026-12-01-replicas-at-their-teams-limit.md`): its arrays took all of
/// its limit on machines where replicas may not run. No machine was rented for its replicas, none of its
/// tasks stopped for them, and what ended was replaced by arrays that go first in the order.
#[test]
fn replicas_of_a_team_at_its_limit_get_a_machine_and_its_arrays_make_way() {
    let mut share = share();
    let mut arrays = job(1, "t", JobKind::Array, Priority::Normal, 9);
    arrays.spot = true;
    share.machines.get_mut(&name(1)).expect("added").spot = true;
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(arrays, 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        launch(&mut share, Timestamp::from_millis(100)).len(),
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
    hear(&mut share, 2, 1, Vec::new(), Timestamp::from_millis(2_000));
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
    let exited = entry(
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
            entry(
                &format!("j-000001/{index}"),
                p.attempt.0,
                TaskState::Running,
                None,
            )
        })
        .collect();
    tasks.push(exited);
    share.reconcile(
        &report(2, None, tasks),
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

/// A team of ten times the others' demand: guaranteed arrays of other teams stopped its replicas, which
/// by their priority stopped those in turn, 1,400 times a second
/// (`incidents/2026-12-01-stopped-in-turn.md`).
#[test]
fn guarantee_and_priority_do_not_stop_each_other_in_turn() {
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
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    for id in 1..=4 {
        let replica = job(id, "u", JobKind::Service, Priority::High, 1);
        share.add_job(replica, id, &[], Timestamp::from_millis(100));
    }
    launch(&mut share, Timestamp::from_millis(100));
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
        let _ = share.commands_for(&name(1), CommandRoute::Answer, now);
        let held = share.jobs.iter().flat_map(|(id, job)| {
            job.placed
                .iter()
                .map(move |(index, p)| (format!("{id}/{index}"), p.attempt.0, p.stop))
        });
        let tasks: Vec<TaskStatus> = held
            .map(|(task, attempt, stop)| match stop {
                Some(_) => entry(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped)),
                None => entry(&task, attempt, TaskState::Running, None),
            })
            .collect();
        stopped += tasks
            .iter()
            .filter(|task| task.state == TaskState::Exited)
            .count();
        share.reconcile(
            &report(1 + round, None, tasks),
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

/// In a shortage the order of submissions makes everybody late, since those who are late go first.
#[test]
fn what_is_short_goes_first_only_while_there_is_a_shortage() {
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
            &report(1, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(100),
        );
        let due = |spec: JobSpec| JobSpec {
            deadline: Some(Duration::from_millis(deadline_s * 1_000)),
            ..spec
        };
        let long = due(job(1, "t", JobKind::Array, Priority::Normal, 40));
        share.add_job(long, 1, &[], Timestamp::from_millis(100));
        assert_eq!(launch(&mut share, Timestamp::from_millis(100)).len(), 4);
        // It comes 400 s later, more than what the size of the first sets it back.
        let short = due(job(2, "t", JobKind::Array, Priority::Normal, 2));
        share.add_job(short, 400_000, &[], Timestamp::from_millis(200));
        share.run_cycles(Timestamp::from_millis(200), 100);
        share.update_overload();
        let held = &share.jobs[&model::JobId(1)].placed;
        let mut tasks: Vec<TaskStatus> = held
            .iter()
            .map(|(index, p)| {
                entry(
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
            &report(2, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(2_000),
        );
        share.run_cycles(Timestamp::from_millis(2_000), 100);
        let placed = |id: u64| share.jobs[&model::JobId(id)].placed.len();
        let expected = if first == 2 { (3, 1) } else { (4, 0) };
        assert_eq!((placed(1), placed(2)), expected, "deadline {deadline_s} s");
    }
}

#[test]
fn tasks_leave_a_machine_just_before_it_is_taken() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let runs = entry(&task, attempt, TaskState::Running, None);
    share.reconcile(
        &report(2, Some(8.0), vec![runs]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    let stops = |share: &PartitionState| share.jobs[&model::JobId(1)].placed[&0].stop.is_some();
    share.drain_reclaimed_machines(Timestamp::from_millis(2_000));
    assert!(!stops(&share), "it may run on for a while");
    share.drain_reclaimed_machines(Timestamp::from_millis(6_600));
    assert!(stops(&share));
}

/// Found by a seeded run (a task ran twice): a launch went out in an answer that was slow and
/// straight to the worker; the task was stopped, reported as ended in a direct answer and
/// forgotten before the slow answer came and started it again.
#[test]
fn forget_waits_for_a_launch_in_an_answer_that_may_be_under_way() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let ended = || entry(&task, attempt, TaskState::Exited, Some(ExitCause::Stopped));
    share.reconcile(
        &report(2, None, vec![ended()]),
        StatusSource::Direct,
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
    assert_eq!(forgets(&mut share, CommandRoute::Direct), 0);
    share.reconcile(
        &report(3, None, vec![ended()]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(900),
    );
    assert_eq!(forgets(&mut share, CommandRoute::Answer), 1);
}

/// Found by a seeded run (a task ran twice): a report that bore the current token counted as
/// proof that a slow direct launch was void, the task was forgotten, and the launch came.
#[test]
fn forget_waits_until_a_lost_direct_launch_is_void() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
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
    let launches = share.commands_for(&name, CommandRoute::Direct, Timestamp::from_millis(110));
    let [Command::Start { task, attempt }] = &launches[..] else {
        panic!("{launches:?}")
    };
    let mut ended = report(2, None, vec![]);
    ended.tasks.push(entry(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Stopped),
    ));
    share.reconcile(&ended, StatusSource::Heartbeat, Timestamp::from_millis(600));
    make_durable(&mut share);
    let forgets = |share: &mut PartitionState| {
        let commands = share.commands_for(&name, CommandRoute::Answer, Timestamp::from_millis(700));
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

/// Teams without a guarantee, the second without a limit, as guests have it.
fn guest_share(spot: bool) -> PartitionState {
    let mut share = share();
    share.machines.values_mut().for_each(|m| m.spot = spot);
    for team in share.teams.values_mut() {
        team.guarantee = Resources::default();
    }
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share
}

/// Seen on days with guests: their tasks of five minutes held the machines, and normal arrays
/// missed their deadlines.
#[test]
fn best_effort_work_gives_way_to_normal_work_and_saves() {
    let mut share = guest_share(true);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    let launched = launch(&mut share, Timestamp::from_millis(100));
    assert_eq!(launched.len(), 4);
    let runs = launched
        .iter()
        .map(|(t, a)| entry(t, *a, TaskState::Running, None))
        .collect();
    share.reconcile(
        &report(2, None, runs),
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
        .commands_for(&name, CommandRoute::Direct, Timestamp::from_millis(1_500))
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
fn best_effort_work_takes_no_ordinary_machine_for_itself_but_is_not_kept_waiting_for_ever() {
    let mut share = guest_share(false);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    assert_eq!(launch(&mut share, Timestamp::from_millis(100)), []);
    share.add_job(
        job(2, "u", JobKind::Service, Priority::High, 1),
        2,
        &[],
        Timestamp::from_millis(200),
    );
    share.reconcile(
        &report(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(10_500),
    );
    let beside = launch(&mut share, Timestamp::from_millis(10_500));
    assert_eq!(beside.len(), 4, "a replica, and three beside it");
    let mut share = guest_share(false);
    share.add_job(best_effort(1), 1, &[], Timestamp::from_millis(100));
    share.evict_best_effort(Timestamp::from_millis(1_000));
    share.evict_best_effort(Timestamp::from_millis(130_000));
    share.reconcile(
        &report(2, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(130_000),
    );
    assert_eq!(launch(&mut share, Timestamp::from_millis(130_000)).len(), 4);
}

/// Seen after takeovers: every waiting job counted as new, and short ones went before those
/// that had waited for minutes.
#[test]
fn a_successor_keeps_the_order_of_submissions() {
    let mut share = guest_share(true);
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
    let first = launch(&mut share, Timestamp::from_millis(200));
    assert!(
        first.iter().all(|(task, _)| task.starts_with("j-000001/")),
        "{first:?}"
    );
}

/// Four machines for sixteen tasks of a CPU.
fn four_machines() -> PartitionState {
    let mut share = share();
    (2..=4).for_each(|n| add_machine(&mut share, n));
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(16.0, 0.0, 0.0));
    (1..=4).for_each(|n| hear(&mut share, n, 1, Vec::new(), Timestamp::from_millis(100)));
    share
}

fn hear(share: &mut PartitionState, n: u32, seq: u64, tasks: Vec<TaskStatus>, now: Timestamp) {
    let report = Heartbeat {
        machine: name(n).to_string(),
        ..report(seq, None, tasks)
    };
    share.reconcile(&report, StatusSource::Heartbeat, now);
}

/// Launches what waits and has each machine report its tasks as `failing` says. The number of
/// tasks that were on machines.
fn one_round(
    share: &mut PartitionState,
    seq: u64,
    now: Timestamp,
    failing: impl Fn(u32, &str) -> bool,
) -> usize {
    (1..=4).for_each(|n| hear(share, n, seq * 2, Vec::new(), now));
    share.run_cycles(now, 100);
    make_durable(share);
    let mut count = 0;
    for n in 1..=4 {
        let mut tasks = Vec::new();
        for command in share.commands_for(&name(n), CommandRoute::Answer, now) {
            let Command::Start { task, attempt } = command else {
                continue;
            };
            let why = if failing(n, &task) {
                ExitCause::Error
            } else {
                ExitCause::Done
            };
            tasks.push(entry(&task, attempt, TaskState::Exited, Some(why)));
        }
        count += tasks.len();
        hear(
            share,
            n,
            seq * 2 + 1,
            tasks,
            now + Duration::from_millis(200),
        );
    }
    make_durable(share);
    count
}

/// A job with a mistake condemned the first machines it failed on, which were returned and replaced,
/// and each of its tasks was tried every second until its user cancelled it.
#[test]
fn a_job_that_fails_everywhere_condemns_no_machine_and_is_probed_ever_more_rarely() {
    let mut share = four_machines();
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 16),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let tries: Vec<usize> = (1..=60)
        .map(|s| {
            one_round(
                &mut share,
                s,
                Timestamp::from_millis(s * 1_000),
                |_, task| task.starts_with("j-000001"),
            )
        })
        .collect();
    assert!(share.machines.values().all(|m| !m.quarantined));
    assert!(tries[1..].iter().all(|n| *n <= 1), "{tries:?}");
    assert!(
        (4..=8).contains(&tries[1..].iter().sum::<usize>()),
        "{tries:?}"
    );
    // It was the image's server, say: one success, and all of it runs.
    let last: usize = (61..=100)
        .map(|s| {
            one_round(&mut share, s, Timestamp::from_millis(s * 1_000), |_, _| {
                false
            })
        })
        .sum();
    assert_eq!(last, 16);
    assert_eq!(share.take_finished(), [model::JobId(1)]);
}

#[test]
fn a_machine_on_which_different_jobs_fail_is_set_aside() {
    let mut share = four_machines();
    for id in 1..=6 {
        share.add_job(
            job(id, "t", JobKind::Array, Priority::Normal, 8),
            id,
            &[],
            Timestamp::from_millis(100),
        );
    }
    for s in 1..=12 {
        one_round(&mut share, s, Timestamp::from_millis(s * 1_000), |n, _| {
            n == 2
        });
    }
    let quarantined = share
        .machines
        .values()
        .filter(|m| m.quarantined)
        .map(|m| m.name.clone());
    assert_eq!(quarantined.collect::<Vec<_>>(), [name(2)]);
    assert_eq!(share.take_finished().len(), 6);
}

/// Seen when a holder lost its workers: the first that were missed were given back to the cloud
/// with their replicas, before it was clear that all were silent.
#[test]
fn the_first_of_many_silent_machines_are_not_given_up() {
    let mut share = four_machines();
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 16),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(200), 100);
    (1..=4).for_each(|n| {
        hear(
            &mut share,
            n,
            2,
            Vec::new(),
            Timestamp::from_millis(1_000 + u64::from(n) * 300),
        )
    });
    let (late, patience) = (Duration::from_millis(2_700), Duration::from_secs(5));
    let silent = |share: &PartitionState, now| {
        share.unresponsive_machines_with_replicas(Timestamp::from_millis(0), now, late, patience)
    };
    // Machines that boot say nothing for us: seen with 21 of 113 up, all of them silent.
    (5..=30).for_each(|n| add_machine(&mut share, n));
    assert_eq!(silent(&share, Timestamp::from_millis(6_400)), []);
    (2..=4).for_each(|n| hear(&mut share, n, 3, Vec::new(), Timestamp::from_millis(6_500)));
    assert_eq!(
        silent(&share, Timestamp::from_millis(6_600)),
        [name(1)],
        "one alone is"
    );
}

/// Found by a sweep of the simulation: a gang's outcome could not be written, one worker lost its
/// session, and the successor started that member anew before another reported the gang done. The
/// job was cleared away, and the member that waited was not counted against the team's limit.
#[test]
fn a_gang_that_is_done_counts_until_its_last_member_is_gone() {
    let mut share = four_machines();
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
    hear(&mut share, 2, 2, Vec::new(), Timestamp::from_millis(200));
    let (route, two) = (CommandRoute::Answer, name(2));
    assert_eq!(
        share
            .commands_for(&two, route, Timestamp::from_millis(200))
            .len(),
        2,
        "started anew"
    );
    let done = |n| {
        entry(
            &format!("j-000001/{n}"),
            7,
            TaskState::Exited,
            Some(ExitCause::Done),
        )
    };
    hear(
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
    let keys = share.take_dirty();
    let mut successor = four_machines();
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
        hear(share, 2, 5, Vec::new(), Timestamp::from_millis(900));
        assert_eq!(share.take_finished(), [model::JobId(1)]);
    }
}

/// Seen on a recorded day: while arrays backed off, best-effort tasks took each place that came
/// free, and were stopped again for the arrays a second later (600 of them in 50 s).
#[test]
fn best_effort_work_does_not_take_room_from_arrays_that_back_off() {
    let mut share = guest_share(true);
    let spot = |id, tasks| JobSpec {
        spot: true,
        ..job(id, "u", JobKind::Array, Priority::Normal, tasks)
    };
    share.add_job(spot(1, 4), 1, &[], Timestamp::from_millis(100));
    let running = launch(&mut share, Timestamp::from_millis(100));
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
        .map(|(t, a)| entry(t, *a, TaskState::Running, None))
        .collect();
    tasks.push(entry(
        task,
        *attempt,
        TaskState::Exited,
        Some(ExitCause::Done),
    ));
    share.reconcile(
        &report(2, None, tasks),
        StatusSource::Heartbeat,
        Timestamp::from_millis(210),
    );
    share.add_job(best_effort(3), 3, &[], Timestamp::from_millis(210));
    share.run_cycles(Timestamp::from_millis(211), 100);
    assert_eq!(share.jobs[&model::JobId(3)].placed.len(), 0);
    share.run_cycles(Timestamp::from_millis(1_300), 100);
    assert_eq!(share.jobs[&model::JobId(2)].placed.len(), 1);
}

/// On a small site three silent machines of ten were "many", and their replicas waited for leases.
#[test]
fn three_silent_machines_of_ten_are_given_up_but_not_half() {
    let mut share = four_machines();
    (5..=10).for_each(|n| add_machine(&mut share, n));
    (1..=10).for_each(|n| hear(&mut share, n, 2, Vec::new(), Timestamp::from_millis(1_000)));
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(40.0, 0.0, 0.0));
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 40),
        1,
        &[],
        Timestamp::from_millis(1_000),
    );
    share.run_cycles(Timestamp::from_millis(1_100), 100);
    let silent = |share: &PartitionState, n| {
        share
            .unresponsive_machines_with_replicas(
                Timestamp::from_millis(0),
                Timestamp::from_millis(n),
                Duration::from_millis(2_700),
                Duration::from_secs(5),
            )
            .len()
    };
    (5..=10).for_each(|n| hear(&mut share, n, 3, Vec::new(), Timestamp::from_millis(6_000)));
    assert_eq!(silent(&share, 6_100), 0, "four of ten");
    hear(&mut share, 4, 3, Vec::new(), Timestamp::from_millis(6_050));
    assert_eq!(silent(&share, 6_100), 3);
}

/// Seen on days on which a hundred machines hang or die at once: replicas were missed after 14 s, by
/// the reports that did not come. A machine that is asked and does not answer twice is lost, unless
/// half of its zone is quiet too: then the network is at fault.
#[test]
fn a_quiet_machine_is_asked_and_lost_unless_its_zone_is_quiet_too() {
    let asked = |zone_is_quiet: bool, alarm_before: bool| -> Vec<MachineName> {
        let mut share = share();
        share.report = Duration::from_secs(5);
        for n in 2..=8 {
            add_machine(&mut share, n);
        }
        let hear = |share: &mut PartitionState, n: u32, seq: u64, at: u64| {
            let report = Heartbeat {
                machine: name(n).to_string(),
                ..report(seq, None, Vec::new())
            };
            share.reconcile(&report, StatusSource::Heartbeat, Timestamp::from_millis(at));
        };
        (1..=8).for_each(|n| hear(&mut share, n, 1, 100));
        for id in 1..=8 {
            let team = if id % 2 == 0 { "t" } else { "u" };
            share.add_job(
                job(id, team, JobKind::Service, Priority::High, 1),
                id,
                &[],
                Timestamp::from_millis(100),
            );
        }
        share.run_cycles(Timestamp::from_millis(100), 100);
        make_durable(&mut share);
        let busy: Vec<MachineName> = share
            .machines
            .values()
            .filter(|m| !m.tasks.is_empty())
            .map(|m| m.name.clone())
            .collect();
        assert!(busy.len() >= 2, "{busy:?}");
        assert_eq!(
            share.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(2_000)),
            [],
            "it was heard just now"
        );
        if alarm_before {
            // One is missed for a moment, all are heard, and only then we are cut off.
            share.record_probe_result(&busy[1], false, Timestamp::from_millis(2_000));
            (1..=8).for_each(|n| hear(&mut share, n, 2, 2_100));
        }
        for at in [3_200, 4_400, 5_700] {
            let names =
                share.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(at));
            for asked in names.into_iter().map(|question| question.machine) {
                let answers = !zone_is_quiet && asked != busy[0];
                share.record_probe_result(
                    &asked,
                    answers,
                    Timestamp::from_millis(at + if answers { 5 } else { 900 }),
                );
                let number = (1..=8).find(|n| answers && name(*n) == asked);
                number.iter().for_each(|n| hear(&mut share, *n, at, at + 5));
            }
        }
        share.lost_machines()
    };
    assert_eq!(asked(false, false).len(), 1);
    assert_eq!(asked(true, false), []);
    assert_eq!(
        asked(true, true),
        [],
        "they were heard before we were cut off"
    );
}

/// Its reports arrive; nothing that is sent to it does. It was given task after task, each of which waited
/// there for ever.
#[test]
fn a_machine_that_is_heard_and_not_reached_takes_nothing_until_it_answers() {
    let mut share = share();
    let name = MachineName::from("host-000001");
    share.reconcile(
        &report(1, None, Vec::new()),
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
    make_durable(&mut share);
    assert_eq!(
        share
            .commands_for(&name, CommandRoute::Direct, Timestamp::from_millis(100))
            .len(),
        1
    );
    share.record_unanswered_commands(&name, Timestamp::from_millis(2_600));
    share.add_job(
        job(2, "t", JobKind::Array, Priority::Normal, 1),
        2,
        &[],
        Timestamp::from_millis(3_000),
    );
    for (seq, at) in [(2, 3_000), (3, 9_000)] {
        share.reconcile(
            &report(seq, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        share.run_cycles(Timestamp::from_millis(at), 100);
        assert_eq!(
            share.jobs[&model::JobId(2)].placed.len(),
            0,
            "nothing new goes there"
        );
        assert_eq!(
            share.jobs[&model::JobId(1)].placed.len(),
            1,
            "the launch may yet arrive"
        );
        assert!(share.machines[&name].is_unreachable());
        let asked = share.machines_to_probe(
            Timestamp::from_millis(0),
            Timestamp::from_millis(at + 1_000),
        );
        assert_eq!(asked.len(), 1, "it is asked");
        share.record_probe_result(&name, false, Timestamp::from_millis(at + 1_900));
    }
    assert_eq!(share.lost_machines(), [], "it is heard, so it lives");
    // Its lease has ended: the launch named the session before.
    let new = Heartbeat {
        session: 2,
        ..report(4, None, Vec::new())
    };
    share.reconcile(
        &new,
        StatusSource::Heartbeat,
        Timestamp::from_millis(13_000),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 0, "proven gone");
    let answer = Heartbeat {
        session: 2,
        ..report(5, None, Vec::new())
    };
    share.reconcile(
        &answer,
        StatusSource::Direct,
        Timestamp::from_millis(14_000),
    );
    share.run_cycles(Timestamp::from_millis(14_000), 100);
    assert_eq!(
        share.jobs[&model::JobId(2)].placed.len(),
        1,
        "used again without ceremony"
    );
}

/// A worker that has forgotten an attempt would start it again on a copy of its launch.
#[test]
fn a_stopped_task_is_forgotten_only_when_no_copy_of_its_launch_has_an_effect() {
    let mut share = share();
    let name = MachineName::from("host-000001");
    share.reconcile(
        &report(1, None, Vec::new()),
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
    let launch = share.commands_for(&name, CommandRoute::Direct, Timestamp::from_millis(100));
    let Some(Command::Start { task, attempt }) = launch.first().cloned() else {
        panic!("{launch:?}")
    };
    let id = model::TaskId::parse(&task).expect("a task");
    let running = vec![entry(&task, attempt, TaskState::Running, None)];
    share.record_direct_response(
        &name,
        &[TaskAttempt {
            task: id,
            attempt: model::Attempt(attempt),
        }],
    );
    share.reconcile(
        &report(2, None, running),
        StatusSource::Direct,
        Timestamp::from_millis(110),
    );
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    let stopped = || {
        vec![entry(
            &task,
            attempt,
            TaskState::Exited,
            Some(ExitCause::Stopped),
        )]
    };
    let forgets = |share: &mut PartitionState, at: u64| {
        let commands = share.commands_for(&name, CommandRoute::Answer, Timestamp::from_millis(at));
        commands
            .iter()
            .filter(|c| matches!(c, Command::Forget { .. }))
            .count()
    };
    share.reconcile(
        &report(3, None, stopped()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(300),
    );
    make_durable(&mut share);
    assert_eq!(forgets(&mut share, 300), 0);
    assert!(
        !share.machines[&name].retains_exited_tasks(Timestamp::from_millis(300)),
        "some are voided at once, later"
    );
    assert!(share.machines[&name].retains_exited_tasks(Timestamp::from_millis(46_000)));
    let seen = Heartbeat {
        token: 6,
        ..report(4, None, stopped())
    };
    share.reconcile(
        &seen,
        StatusSource::Heartbeat,
        Timestamp::from_millis(32_000),
    );
    assert_eq!(forgets(&mut share, 32_000), 1);
}

/// A lease counted from the arrival of a late copy would put the proof off by as much.
#[test]
fn a_late_copy_does_not_put_the_end_of_a_lease_off() {
    let mut share = share();
    let name = MachineName::from("host-000001");
    let first = report(1, None, Vec::new());
    for at in [100, 9_000] {
        let newer = share.reconcile(&first, StatusSource::Heartbeat, Timestamp::from_millis(at));
        let machine = share.machines.get_mut(&name).expect("it is there");
        machine.renew_lease(newer, Timestamp::from_millis(at));
        assert_eq!(machine.lease_renewed_at, Timestamp::from_millis(100));
    }
}

/// While the state service gives no higher token, a direct launch without an answer can only be voided by
/// the end of the machine's lease. So past the time that a cancellation leaves it is not answered, unless a
/// report shows the task, which the answer then stops.
#[test]
fn a_machine_is_not_answered_while_a_cancelled_launch_may_come() {
    let mut share = share();
    share.reconcile(
        &report(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(100), 10);
    make_durable(&mut share);
    let sent = share.commands_for(&name(1), CommandRoute::Direct, Timestamp::from_millis(110));
    assert!(matches!(&sent[..], [Command::Start { .. }]), "{sent:?}");
    let attempt = share.jobs[&model::JobId(1)].placed[&0].attempt.0;
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    share.bound_lease_renewal(model::JobId(1), Timestamp::from_millis(15_000));
    let mut heard = |seq, tasks, at| {
        share.reconcile(
            &report(seq, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        share.may_renew_lease(&name(1), Timestamp::from_millis(at))
    };
    assert!(
        heard(2, Vec::new(), 14_000),
        "there is time for a higher token"
    );
    assert!(!heard(3, Vec::new(), 15_000), "the launch may still come");
    assert!(heard(
        4,
        vec![entry("j-000001/0", attempt, TaskState::Running, None)],
        16_000
    ));
    let halts = share.commands_for(
        &name(1),
        CommandRoute::Answer,
        Timestamp::from_millis(16_000),
    );
    assert!(
        matches!(&halts[..], [Command::Stop { grace_s: 0.0, .. }]),
        "{halts:?}"
    );
}
