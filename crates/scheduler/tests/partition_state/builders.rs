//! Builders of partitions, machines, jobs and statuses.

use model::{FencingToken, JobSpec, MachineName, Resources, TeamName, Timestamp, ZoneName};
use scheduler::{CommandRoute, Machine, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

pub fn new_partition() -> PartitionState {
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

pub fn machine_name(n: u32) -> MachineName {
    MachineName::from(format!("host-{n:06}").as_str())
}

pub fn add_machine(share: &mut PartitionState, n: u32) {
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
        Machine::new(machine_name(n), &kind, zone, false, FencingToken(5)),
        Timestamp::from_millis(0),
    );
}

pub fn job(id: u64, team: &str, kind: JobKind, priority: Priority, tasks: u64) -> JobSpec {
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

pub fn heartbeat(seq: u64, notice_s: Option<f64>, tasks: Vec<TaskStatus>) -> Heartbeat {
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

pub fn task_status(
    task: &str,
    attempt: u64,
    state: TaskState,
    why: Option<ExitCause>,
) -> TaskStatus {
    TaskStatus {
        task: task.into(),
        attempt,
        state,
        why,
        saved: None,
    }
}

/// Places what waits, makes it durable and returns the launches of the next answer.
pub fn place_and_launch(share: &mut PartitionState, now: Timestamp) -> Vec<(String, u64)> {
    share.run_cycles(now, 100);
    let name = MachineName::from("host-000001");
    let launches = |share: &mut PartitionState| -> Vec<(String, u64)> {
        share
            .commands_for(&name, CommandRoute::HeartbeatResponse, now)
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
pub fn make_durable(share: &mut PartitionState) {
    let keys: Vec<_> = share
        .take_dirty_chunks()
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    let written = share.changes_in_chunks(&keys);
    share.confirm_commit(&written);
}

/// Teams without a guarantee, the second without a limit, as guests have it.
pub fn partition_without_guarantees(spot: bool) -> PartitionState {
    let mut share = new_partition();
    share.machines.values_mut().for_each(|m| m.spot = spot);
    for team in share.teams.values_mut() {
        team.guarantee = Resources::default();
    }
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share
}

/// Four machines for sixteen tasks of a CPU.
pub fn partition_with_four_machines() -> PartitionState {
    let mut share = new_partition();
    (2..=4).for_each(|n| add_machine(&mut share, n));
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(16.0, 0.0, 0.0));
    (1..=4).for_each(|n| send_heartbeat(&mut share, n, 1, Vec::new(), Timestamp::from_millis(100)));
    share
}

pub fn send_heartbeat(
    share: &mut PartitionState,
    n: u32,
    seq: u64,
    tasks: Vec<TaskStatus>,
    now: Timestamp,
) {
    let report = Heartbeat {
        machine: machine_name(n).to_string(),
        ..heartbeat(seq, None, tasks)
    };
    share.reconcile(&report, StatusSource::Heartbeat, now);
}
