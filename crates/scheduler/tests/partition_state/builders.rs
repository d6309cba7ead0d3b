//! Builders of partitions, machines, jobs and heartbeats for the tests.

use model::{FencingToken, JobSpec, MachineName, Resources, TeamName, Timestamp, ZoneName};
use scheduler::{CommandRoute, Machine, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

/// A partition with one machine of 4 CPUs and two teams, each with a guarantee and a limit of 4 CPUs.
pub fn new_partition() -> PartitionState {
    let quota = Resources::offered(4.0, 0.0, 0.0);
    let teams = ["t", "u"].map(|team| (TeamName::from(team), quota, quota));
    let policy = Policy::default();
    let queue = QueueConfig::default();
    let mut partition = PartitionState::new(
        teams,
        Duration::from_secs(10),
        policy,
        queue,
        FencingToken(5),
    );
    add_machine(&mut partition, 1);
    partition
}

pub fn machine_name(number: u32) -> MachineName {
    MachineName::from(format!("host-{number:06}").as_str())
}

/// Adds an on-demand machine of 4 CPUs that has not sent a heartbeat yet.
pub fn add_machine(partition: &mut PartitionState, number: u32) {
    let machine_type = MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into()],
    };
    let zone = ZoneName::from("a");
    partition.add_machine(
        Machine::new(
            machine_name(number),
            &machine_type,
            zone,
            false,
            FencingToken(5),
        ),
        Timestamp::from_millis(0),
    );
}

/// A job whose tasks need one CPU each.
pub fn job(id: u64, team: &str, kind: JobKind, priority: Priority, tasks: u64) -> JobSpec {
    let request = JobRequest {
        id: format!("j-{id:06}"),
        class: "c".into(),
        team: team.into(),
        kind,
        priority,
        task_count: tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        allowed_machine_types: None,
        zone: None,
        one_zone: false,
        spread_over_zones: false,
        spot_allowed: false,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
    };
    JobSpec::try_from(&request).expect("valid job")
}

/// A heartbeat of machine 1.
pub fn heartbeat(seq: u64, notice_s: Option<f64>, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "host-000001".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        worker_epoch: 1,
        sequence_number: seq,
        token: 5,
        reclaimed_in_s: notice_s,
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
        exit_cause: why,
        checkpoint_saved: None,
    }
}

/// Places the waiting tasks, makes the placements durable, and returns the launches in the next reply to
/// machine 1, as pairs of task and attempt.
pub fn place_and_launch(partition: &mut PartitionState, now: Timestamp) -> Vec<(String, u64)> {
    partition.run_cycles(now, 100);
    let name = MachineName::from("host-000001");
    let launches = |partition: &mut PartitionState| -> Vec<(String, u64)> {
        partition
            .commands_for(&name, CommandRoute::HeartbeatResponse, now)
            .into_iter()
            .filter_map(|command| match command {
                Command::Launch { task, attempt } => Some((task, attempt)),
                _ => None,
            })
            .collect()
    };
    let early = launches(partition);
    assert_eq!(early, [], "launched before the placement is durable");
    make_durable(partition);
    launches(partition)
}

/// Confirms all changes as written.
pub fn make_durable(partition: &mut PartitionState) {
    let keys: Vec<_> = partition
        .take_dirty_chunks()
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    let written = partition.changes_in_chunks(&keys);
    partition.confirm_commit(&written);
}

/// A partition whose teams have no guarantees and whose only machine has sent a heartbeat. `spot`: it is a
/// spot machine.
pub fn partition_without_guarantees(spot: bool) -> PartitionState {
    let mut partition = new_partition();
    partition
        .machines
        .values_mut()
        .for_each(|machine| machine.spot = spot);
    for team in partition.teams.values_mut() {
        team.guarantee = Resources::default();
    }
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition
}

/// A partition whose four machines have sent heartbeats, with a limit of 16 CPUs for each team.
pub fn partition_with_four_machines() -> PartitionState {
    let mut partition = new_partition();
    (2..=4).for_each(|n| add_machine(&mut partition, n));
    partition
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(16.0, 0.0, 0.0));
    (1..=4).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            1,
            Vec::new(),
            Timestamp::from_millis(100),
        )
    });
    partition
}

/// Has a machine send a heartbeat.
pub fn send_heartbeat(
    partition: &mut PartitionState,
    number: u32,
    seq: u64,
    tasks: Vec<TaskStatus>,
    now: Timestamp,
) {
    let heartbeat = Heartbeat {
        machine: machine_name(number).to_string(),
        ..heartbeat(seq, None, tasks)
    };
    partition.reconcile(&heartbeat, StatusSource::Heartbeat, now);
}
