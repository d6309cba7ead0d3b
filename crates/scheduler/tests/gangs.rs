//! Gang scheduling, machines with GPUs and co-location, on a partition with three types of machines.

use model::{FencingToken, JobId, JobSpec, MachineName, Resources, TeamName, Timestamp, ZoneName};
use scheduler::{CommandRoute, Machine, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Command, Heartbeat, TaskState, TaskStatus};

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.2,
        price_per_hour: cpus * 0.06 + gpus * 3.0,
        spot_price_per_hour: cpus * 0.02 + gpus,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn machine_types() -> Vec<MachineType> {
    vec![
        machine_type("small", 4.0, 0.0),
        machine_type("large", 20.0, 0.0),
        machine_type("graphics", 24.0, 4.0),
    ]
}

/// An empty partition whose only team has a limit of `cpu_limit` CPUs.
fn new_partition(cpu_limit: f64) -> PartitionState {
    let limit = Resources::offered(cpu_limit, 100.0, 0.0);
    let teams = [(TeamName::from("t"), Resources::default(), limit)];
    // Machines send heartbeats rarely in these tests.
    let policy = Policy {
        heartbeat_grace: Duration::from_secs(60),
        ..Policy::default()
    };
    let mut partition = PartitionState::new(
        teams,
        Duration::from_secs(20),
        policy,
        QueueConfig::default(),
        FencingToken(5),
    );
    partition.set_machine_types(&machine_types());
    partition.gang_start_timeout = Duration::from_secs(30);
    partition
}

fn machine_name(number: u32) -> MachineName {
    MachineName::from(format!("host-{number:06}").as_str())
}

fn add_machine(partition: &mut PartitionState, number: u32, type_name: &str, zone: &str) {
    let machine_type = machine_types()
        .into_iter()
        .find(|machine_type| machine_type.name == type_name)
        .expect("a known type");
    let machine = Machine::new(
        machine_name(number),
        &machine_type,
        ZoneName::from(zone),
        false,
        FencingToken(5),
    );
    partition.add_machine(machine, Timestamp::from_millis(0));
    send_heartbeat(partition, number, 1, Vec::new(), Timestamp::from_millis(0));
}

fn send_heartbeat(
    partition: &mut PartitionState,
    number: u32,
    sequence_number: u64,
    tasks: Vec<TaskStatus>,
    now: Timestamp,
) {
    let heartbeat = Heartbeat {
        machine: machine_name(number).to_string(),
        address: format!("10.1.0.{number}:9000"),
        machine_type: "any".into(),
        zone: "any".into(),
        spot: false,
        worker_epoch: 1,
        sequence_number,
        token: 5,
        reclaimed_in_s: None,
        tasks,
    };
    partition.reconcile(&heartbeat, StatusSource::Heartbeat, now);
}

/// The status of a task in a worker's heartbeat.
fn task_status(task: String, attempt: u64, state: TaskState) -> TaskStatus {
    TaskStatus {
        task,
        attempt,
        state,
        exit_cause: None,
        checkpoint_saved: None,
    }
}

/// All machines send a heartbeat that shows the tasks placed on them as running.
fn report_all_running(partition: &mut PartitionState, sequence_number: u64, now: Timestamp) {
    let names: Vec<MachineName> = partition.machines.keys().cloned().collect();
    for name in names {
        let status_of = |task: &model::TaskId| {
            let attempt = partition.jobs[&task.job].placed[&task.index].attempt.0;
            task_status(task.to_string(), attempt, TaskState::Running)
        };
        let tasks = partition.machines[&name]
            .tasks
            .iter()
            .map(status_of)
            .collect();
        let number = name
            .as_str()
            .trim_start_matches("host-")
            .parse()
            .expect("a number");
        send_heartbeat(partition, number, sequence_number, tasks, now);
    }
}

fn job(id: u64, kind: JobKind, tasks: u64, cpus: f64, gpus: f64) -> JobRequest {
    JobRequest {
        id: format!("j-{id:06}"),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: if kind == JobKind::Gang {
            Priority::High
        } else {
            Priority::Normal
        },
        task_count: tasks,
        cpus,
        gpus,
        memory_gb: cpus,
        image: "i".into(),
        image_gb: 0.0,
        allowed_machine_types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread_over_zones: false,
        spot_allowed: false,
        estimated_run_time_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
    }
}

fn submit(partition: &mut PartitionState, request: &JobRequest, now: Timestamp) -> JobId {
    let spec = JobSpec::try_from(request).expect("a valid job");
    let id = spec.id;
    partition.add_job(spec, id.0, &[], now);
    id
}

fn placed_tasks(partition: &PartitionState, id: JobId) -> usize {
    partition.jobs[&id].placed.len()
}

/// Runs cycles every 100 ms; entries in backoff are retried at once.
fn retry_all(partition: &mut PartitionState, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..until_ms).step_by(100) {
        partition.queue.move_all(Timestamp::from_millis(at_ms));
        partition.run_cycles(Timestamp::from_millis(at_ms), 1_000);
    }
}

fn make_durable(partition: &mut PartitionState) {
    let keys: Vec<_> = partition
        .take_dirty_chunks()
        .into_iter()
        .map(|(key, _)| key)
        .collect();
    let written = partition.changes_in_chunks(&keys);
    partition.confirm_commit(&written);
}

/// If arrays took each machine that becomes free, they would be preempted as soon as there are enough machines for
/// the gang, and their work would be lost.
#[test]
fn array_leaves_machines_to_waiting_gang_when_other_types_fit() {
    let mut partition = new_partition(1_000.0);
    (1..=2).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    (3..=8).for_each(|n| add_machine(&mut partition, n, "small", "b"));
    let gang = submit(
        &mut partition,
        &job(1, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 2_000);
    assert_eq!(
        placed_tasks(&partition, gang),
        0,
        "only two machines for three tasks"
    );
    let array = submit(
        &mut partition,
        &job(2, JobKind::Array, 40, 1.0, 0.0),
        Timestamp::from_millis(2_000),
    );
    retry_all(&mut partition, 2_000, 3_500);
    assert_eq!(placed_tasks(&partition, array), 24, "on the small machines");
    report_all_running(&mut partition, 2, Timestamp::from_millis(3_500));
    add_machine(&mut partition, 9, "large", "a");
    send_heartbeat(
        &mut partition,
        9,
        2,
        Vec::new(),
        Timestamp::from_millis(3_500),
    );
    retry_all(&mut partition, 3_600, 5_000);
    assert_eq!(placed_tasks(&partition, gang), 3);
}

/// Two gangs that each have half of the machines that the other needs would deadlock.
#[test]
fn two_gangs_competing_for_machines_start_one_after_the_other() {
    let mut partition = new_partition(1_000.0);
    (1..=4).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    let running = submit(
        &mut partition,
        &job(1, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 500);
    let first = submit(
        &mut partition,
        &job(2, JobKind::Gang, 4, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    let second = submit(
        &mut partition,
        &job(3, JobKind::Gang, 4, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    retry_all(&mut partition, 500, 2_500);
    let waiting = (
        placed_tasks(&partition, running),
        placed_tasks(&partition, first),
        placed_tasks(&partition, second),
    );
    assert_eq!(waiting, (1, 0, 0));
    let explanation = partition
        .explain(first, Timestamp::from_millis(2_500))
        .expect("a known job");
    assert!(
        explanation.contains("4 machines are kept for it"),
        "{explanation}"
    );
    partition.cancel_job(running, Timestamp::from_millis(2_500));
    retry_all(&mut partition, 2_500, 5_000);
    assert_eq!(
        (
            placed_tasks(&partition, first),
            placed_tasks(&partition, second)
        ),
        (4, 0)
    );
    partition.cancel_job(first, Timestamp::from_millis(5_000));
    retry_all(&mut partition, 5_000, 8_000);
    assert_eq!(placed_tasks(&partition, second), 4);
}

/// A reservation is released as soon as one of its machines can no longer be used.
#[test]
fn gang_reservation_moves_to_another_zone_when_a_machine_is_removed() {
    let mut partition = new_partition(1_000.0);
    (1..=2).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    let gang = submit(
        &mut partition,
        &job(1, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 1_000);
    partition.remove_machine(&machine_name(1), Timestamp::from_millis(1_000));
    (3..=5).for_each(|n| add_machine(&mut partition, n, "large", "b"));
    (2..=5).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            2,
            Vec::new(),
            Timestamp::from_millis(1_000),
        )
    });
    retry_all(&mut partition, 1_000, 3_000);
    let zones: Vec<_> = partition.jobs[&gang]
        .placed
        .values()
        .map(|placement| partition.machines[&placement.machine].zone.to_string())
        .collect();
    assert_eq!(zones, ["b", "b", "b"]);
}

/// A task that is launched at once would wait for the others for longer than the tasks of a gang may wait for each
/// other, and the gang would be restarted again and again.
#[test]
fn gang_task_with_cached_image_is_launched_after_fetches_of_the_others() {
    let mut partition = new_partition(1_000.0);
    add_machine(&mut partition, 1, "large", "a");
    let with_large_image = |request: JobRequest| JobRequest {
        image_gb: 8.0,
        ..request
    };
    let earlier = submit(
        &mut partition,
        &with_large_image(job(1, JobKind::Array, 1, 1.0, 0.0)),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 300);
    report_all_running(&mut partition, 2, Timestamp::from_millis(300));
    partition.cancel_job(earlier, Timestamp::from_millis(300));
    send_heartbeat(
        &mut partition,
        1,
        3,
        Vec::new(),
        Timestamp::from_millis(400),
    );
    add_machine(&mut partition, 2, "large", "a");
    let gang = submit(
        &mut partition,
        &with_large_image(job(2, JobKind::Gang, 2, 18.0, 0.0)),
        Timestamp::from_millis(400),
    );
    retry_all(&mut partition, 400, 1_000);
    assert_eq!(placed_tasks(&partition, gang), 2);
    make_durable(&mut partition);
    let launches = |partition: &mut PartitionState, machine: u32| {
        let commands = partition.commands_for(
            &machine_name(machine),
            CommandRoute::HeartbeatResponse,
            Timestamp::from_millis(1_000),
        );
        commands
            .iter()
            .filter(|command| matches!(command, Command::Launch { .. }))
            .count()
    };
    assert_eq!(
        launches(&mut partition, 1),
        0,
        "this task waits until the other one has fetched its image"
    );
    assert_eq!(
        launches(&mut partition, 2),
        1,
        "this task fetches its image for 40 s"
    );
    let (index, placement) = partition.jobs[&gang]
        .placed
        .iter()
        .find(|(_, placement)| placement.machine == machine_name(2))
        .expect("a task on machine 2");
    let (task, attempt) = (format!("{gang}/{index}"), placement.attempt.0);
    let status = task_status(task, attempt, TaskState::Waiting);
    send_heartbeat(
        &mut partition,
        2,
        3,
        vec![status],
        Timestamp::from_millis(41_000),
    );
    assert!(partition.take_urgent_machines().contains(&machine_name(1)));
    assert_eq!(launches(&mut partition, 1), 1);
}

/// On a machine with 4 GPUs and 24 CPUs, co-located tasks leave 6 CPUs to each free GPU.
#[test]
fn colocated_tasks_use_what_gpu_work_leaves_and_are_evicted_after_it() {
    let mut partition = new_partition(1_000.0);
    add_machine(&mut partition, 1, "graphics", "a");
    let cpu_array = submit(
        &mut partition,
        &job(1, JobKind::Array, 30, 1.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 1_000);
    assert_eq!(
        placed_tasks(&partition, cpu_array),
        0,
        "no GPU work runs on the machine"
    );
    let gpu_array = submit(
        &mut partition,
        &job(2, JobKind::Array, 2, 4.0, 1.0),
        Timestamp::from_millis(1_000),
    );
    retry_all(&mut partition, 1_000, 2_000);
    assert_eq!(placed_tasks(&partition, gpu_array), 2);
    assert_eq!(
        placed_tasks(&partition, cpu_array),
        4,
        "two for each of the two GPUs in use"
    );
    let more_gpu_tasks = submit(
        &mut partition,
        &job(3, JobKind::Array, 2, 6.0, 1.0),
        Timestamp::from_millis(2_000),
    );
    retry_all(&mut partition, 2_000, 2_200);
    assert_eq!(
        placed_tasks(&partition, more_gpu_tasks),
        2,
        "the CPUs of the free GPUs were left free"
    );
    make_durable(&mut partition);
    partition.commands_for(
        &machine_name(1),
        CommandRoute::HeartbeatResponse,
        Timestamp::from_millis(2_200),
    );
    report_all_running(&mut partition, 2, Timestamp::from_millis(2_200));
    partition.cancel_job(gpu_array, Timestamp::from_millis(2_300));
    partition.cancel_job(more_gpu_tasks, Timestamp::from_millis(2_300));
    let count_not_stopping = |partition: &PartitionState| {
        partition.jobs[&cpu_array]
            .placed
            .values()
            .filter(|placement| placement.stop.is_none())
            .count()
    };
    partition.evict_colocated(Timestamp::from_millis(2_300));
    assert_eq!(count_not_stopping(&partition), 4);
    let running: Vec<TaskStatus> = partition.jobs[&cpu_array]
        .placed
        .iter()
        .map(|(index, placement)| {
            let task = format!("{cpu_array}/{index}");
            task_status(task, placement.attempt.0, TaskState::Running)
        })
        .collect();
    send_heartbeat(&mut partition, 1, 3, running, Timestamp::from_millis(2_400));
    partition.evict_colocated(Timestamp::from_millis(2_500));
    partition.evict_colocated(Timestamp::from_millis(6_000));
    assert_eq!(
        count_not_stopping(&partition),
        0,
        "no GPU work is left on the machine"
    );
}

/// As best-effort work, such an array would wait for spot machines and miss its deadline.
#[test]
fn low_priority_array_with_deadline_is_not_best_effort() {
    let low = JobRequest {
        priority: Priority::Low,
        ..job(1, JobKind::Array, 4, 2.0, 1.0)
    };
    let with_deadline = JobRequest {
        deadline_s: Some(100.0),
        ..low.clone()
    };
    let is_best_effort = |request| {
        JobSpec::try_from(request)
            .expect("a valid job")
            .is_best_effort()
    };
    assert_eq!(
        (is_best_effort(&low), is_best_effort(&with_deadline)),
        (true, false)
    );
    let mut partition = new_partition(1_000.0);
    add_machine(&mut partition, 1, "graphics", "a");
    let array = submit(
        &mut partition,
        &JobRequest {
            spot_allowed: true,
            ..with_deadline
        },
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 500);
    assert_eq!(
        placed_tasks(&partition, array),
        4,
        "on an on-demand machine"
    );
}

/// A job that fits only on machines with GPUs may use them even while no GPU work runs there.
#[test]
fn cpu_job_runs_on_gpu_machine_when_no_other_type_fits() {
    let mut partition = new_partition(1_000.0);
    add_machine(&mut partition, 1, "graphics", "a");
    let large = submit(
        &mut partition,
        &job(1, JobKind::Array, 1, 22.0, 0.0),
        Timestamp::from_millis(0),
    );
    let gpu_type_only = JobRequest {
        allowed_machine_types: Some(vec!["graphics".into()]),
        ..job(2, JobKind::Array, 1, 1.0, 0.0)
    };
    let gpu_type_only = submit(&mut partition, &gpu_type_only, Timestamp::from_millis(0));
    retry_all(&mut partition, 0, 1_000);
    assert_eq!(
        (
            placed_tasks(&partition, large),
            placed_tasks(&partition, gpu_type_only)
        ),
        (1, 1)
    );
}

/// If arrays took each part of the team's limit that becomes free, the gang would never fit within the limit.
#[test]
fn array_leaves_team_limit_reserved_for_waiting_gang() {
    let mut partition = new_partition(80.0);
    (1..=3).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    (4..=20).for_each(|n| add_machine(&mut partition, n, "small", "b"));
    let first = submit(
        &mut partition,
        &job(1, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 500);
    assert_eq!(placed_tasks(&partition, first), 1);
    let gang = submit(
        &mut partition,
        &job(2, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    retry_all(&mut partition, 500, 2_000);
    let array = submit(
        &mut partition,
        &job(3, JobKind::Array, 60, 1.0, 0.0),
        Timestamp::from_millis(2_000),
    );
    retry_all(&mut partition, 2_000, 3_000);
    assert_eq!(
        placed_tasks(&partition, array),
        26,
        "80 CPUs less 18 in use and 36 reserved"
    );
    partition.cancel_job(first, Timestamp::from_millis(3_000));
    retry_all(&mut partition, 3_000, 4_000);
    assert_eq!(placed_tasks(&partition, gang), 3);
}

/// Runs cycles every 100 ms; entries back off as in production.
fn run_cycles(partition: &mut PartitionState, from_ms: u64, until_ms: u64) {
    for at_ms in (from_ms..until_ms).step_by(100) {
        partition.run_cycles(Timestamp::from_millis(at_ms), 1_000);
    }
}

/// The time until the machines reserved for a gang are expected to be free, as the job's explanation states it.
fn seconds_until_ready(partition: &PartitionState, gang: JobId, now: Timestamp) -> u64 {
    let explanation = partition.explain(gang, now).expect("a known job");
    let (_, rest) = explanation
        .split_once("free in ")
        .unwrap_or_else(|| panic!("nothing is reserved: {explanation}"));
    rest.split(' ')
        .next()
        .and_then(|seconds| seconds.parse().ok())
        .expect("a number")
}

/// If there were a gap between the release of a reservation and its renewal, entries tried in between would take
/// the machines that are free already.
#[test]
fn gang_reservation_is_renewed_without_a_gap() {
    let mut partition = new_partition(1_000.0);
    (1..=3).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    let running = JobRequest {
        estimated_run_time_s: 200.0,
        ..job(1, JobKind::Gang, 1, 18.0, 0.0)
    };
    let running = submit(&mut partition, &running, Timestamp::from_millis(0));
    run_cycles(&mut partition, 0, 500);
    assert_eq!(placed_tasks(&partition, running), 1);
    let gang = submit(
        &mut partition,
        &job(2, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    retry_all(&mut partition, 500, 4_000);
    for (id, at_ms) in (3..).zip((4_000..80_000).step_by(500)) {
        report_all_running(&mut partition, id, Timestamp::from_millis(at_ms));
        let later = JobRequest {
            estimated_run_time_s: 300.0,
            ..job(id, JobKind::Gang, 1, 18.0, 0.0)
        };
        let later = submit(&mut partition, &later, Timestamp::from_millis(at_ms));
        run_cycles(&mut partition, at_ms, at_ms + 500);
        assert_eq!(placed_tasks(&partition, later), 0, "after {at_ms} ms");
        partition.cancel_job(later, Timestamp::from_millis(at_ms + 499));
    }
    partition.cancel_job(running, Timestamp::from_millis(80_000));
    report_all_empty(&mut partition, 1_000, Timestamp::from_millis(80_000));
    run_cycles(&mut partition, 80_000, 82_000);
    assert_eq!(placed_tasks(&partition, gang), 3);
}

/// All machines send a heartbeat that shows no tasks.
fn report_all_empty(partition: &mut PartitionState, sequence_number: u64, now: Timestamp) {
    for number in 1..=partition.machines.len() as u32 {
        send_heartbeat(partition, number, sequence_number, Vec::new(), now);
    }
}

/// If tasks were expected to end too early, a gang would wait for the machines that become free last.
#[test]
fn estimated_end_includes_fetch_time_and_overrun() {
    let mut partition = new_partition(1_000.0);
    add_machine(&mut partition, 1, "large", "a");
    let running = JobRequest {
        image_gb: 8.0,
        ..job(1, JobKind::Gang, 1, 18.0, 0.0)
    };
    submit(&mut partition, &running, Timestamp::from_millis(0));
    retry_all(&mut partition, 0, 500);
    let gang = submit(
        &mut partition,
        &job(2, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    retry_all(&mut partition, 500, 3_000);
    let ready_in_s = seconds_until_ready(&partition, gang, Timestamp::from_millis(3_000));
    assert!(
        (95..=98).contains(&ready_in_s),
        "40 s for the fetch and 60 s by the estimate, less 3 s: {ready_in_s}"
    );
    report_all_running(&mut partition, 2, Timestamp::from_millis(40_000));
    retry_all(&mut partition, 40_000, 43_000);
    assert_eq!(
        seconds_until_ready(&partition, gang, Timestamp::from_millis(43_000)),
        57,
        "the running gang started after 40 s"
    );
    report_all_running(&mut partition, 3, Timestamp::from_millis(90_000));
    report_all_running(&mut partition, 4, Timestamp::from_millis(140_000));
    retry_all(&mut partition, 140_000, 143_000);
    let ready_in_s = seconds_until_ready(&partition, gang, Timestamp::from_millis(143_000));
    assert!(
        (24..=26).contains(&ready_in_s),
        "another quarter of its run time of 102 s: {ready_in_s}"
    );
}

/// If a machine that is free already were reserved, it would be idle until the last of the gang's machines is free.
#[test]
fn gang_reservation_prefers_machines_that_become_free_last() {
    let mut partition = new_partition(1_000.0);
    (1..=3).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    let running = submit(
        &mut partition,
        &job(1, JobKind::Gang, 2, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 500);
    let gang = submit(
        &mut partition,
        &job(2, JobKind::Gang, 2, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    retry_all(&mut partition, 500, 3_000);
    assert_eq!(
        (
            placed_tasks(&partition, running),
            placed_tasks(&partition, gang)
        ),
        (2, 0)
    );
    let long = JobRequest {
        estimated_run_time_s: 300.0,
        ..job(3, JobKind::Gang, 1, 18.0, 0.0)
    };
    let long = submit(&mut partition, &long, Timestamp::from_millis(3_000));
    retry_all(&mut partition, 3_000, 4_000);
    assert_eq!(
        placed_tasks(&partition, long),
        1,
        "only the two machines that become free together are reserved"
    );
    partition.cancel_job(running, Timestamp::from_millis(4_000));
    retry_all(&mut partition, 4_000, 5_000);
    assert_eq!(placed_tasks(&partition, gang), 2);
}

/// Guards against a fault in which an array left two machines with free capacity to a gang of three tasks for 120 s,
/// counted from when the current leader first saw the array, because it could also run on machines of another type,
/// of which there were none. No job may wait for 90 s while there is free capacity for it, and a new leader must not
/// restart that time.
#[test]
fn array_takes_machines_left_to_waiting_gang_within_the_wait_limit() {
    let mut partition = new_partition(1_000.0);
    (1..=2).for_each(|n| add_machine(&mut partition, n, "large", "a"));
    let gang = submit(
        &mut partition,
        &job(1, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    retry_all(&mut partition, 0, 2_000);
    // The array was submitted at 2 ms on the logical clock; this leader first sees it at 50 s.
    let first_seen_ms = 50_000;
    let array = submit(
        &mut partition,
        &job(2, JobKind::Array, 40, 1.0, 0.0),
        Timestamp::from_millis(first_seen_ms),
    );
    for at_ms in (first_seen_ms..85_000).step_by(1_000) {
        for machine in 1..=2 {
            let now = Timestamp::from_millis(at_ms);
            send_heartbeat(&mut partition, machine, at_ms, Vec::new(), now);
        }
        retry_all(&mut partition, at_ms, at_ms + 200);
        make_durable(&mut partition);
        if placed_tasks(&partition, array) > 0 {
            break;
        }
    }
    assert_eq!(placed_tasks(&partition, gang), 0);
    assert!(placed_tasks(&partition, array) > 0, "40 CPUs are free");
}
