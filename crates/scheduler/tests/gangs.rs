//! Gangs, machines with GPUs and work beside it, on a share of three types of machines.

use model::{FencingToken, JobId, JobSpec, MachineName, Resources, TeamName, Timestamp, ZoneName};
use scheduler::{CommandRoute, Machine, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};
use wire::workers::{Command, Heartbeat, TaskState, TaskStatus};

fn kind(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.2,
        price: cpus * 0.06 + gpus * 3.0,
        spot_price: cpus * 0.02 + gpus,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn types() -> Vec<MachineType> {
    vec![
        kind("small", 4.0, 0.0),
        kind("large", 20.0, 0.0),
        kind("graphics", 24.0, 4.0),
    ]
}

/// A share whose team may use so many CPUs.
fn share(cpus: f64) -> PartitionState {
    let limit = Resources::offered(cpus, 100.0, 0.0);
    let teams = [(TeamName::from("t"), Resources::default(), limit)];
    // Machines report rarely here.
    let policy = Policy {
        heartbeat_grace: Duration::from_secs(60),
        ..Policy::default()
    };
    let mut share = PartitionState::new(
        teams,
        Duration::from_secs(20),
        policy,
        QueueConfig::default(),
        FencingToken(5),
    );
    share.set_machine_types(&types());
    share.gang_wait = Duration::from_secs(30);
    share
}

fn name(n: u32) -> MachineName {
    MachineName::from(format!("host-{n:06}").as_str())
}

fn add(share: &mut PartitionState, n: u32, machine_type: &str, zone: &str) {
    let kind = types()
        .into_iter()
        .find(|t| t.name == machine_type)
        .expect("a type");
    let zone = ZoneName::from(zone);
    share.add_machine(
        Machine::new(name(n), &kind, zone, false, FencingToken(5)),
        Timestamp::from_millis(0),
    );
    hear(share, n, 1, Vec::new(), Timestamp::from_millis(0));
}

fn hear(share: &mut PartitionState, n: u32, seq: u64, tasks: Vec<TaskStatus>, now: Timestamp) {
    let report = Heartbeat {
        machine: name(n).to_string(),
        address: format!("10.1.0.{n}:9000"),
        machine_type: "any".into(),
        zone: "any".into(),
        spot: false,
        session: 1,
        seq,
        token: 5,
        notice_s: None,
        tasks,
    };
    share.reconcile(&report, StatusSource::Heartbeat, now);
}

/// All machines report what they have been given as running.
fn all_report(share: &mut PartitionState, seq: u64, now: Timestamp) {
    let tasks: Vec<(u32, Vec<TaskStatus>)> = share
        .machines
        .values()
        .map(|m| {
            let n = m
                .name
                .as_str()
                .trim_start_matches("host-")
                .parse()
                .expect("a number");
            let entry = |task: &model::TaskId| {
                let attempt = share.jobs[&task.job].placed[&task.index].attempt.0;
                let (task, state) = (task.to_string(), TaskState::Running);
                TaskStatus {
                    task,
                    attempt,
                    state,
                    why: None,
                    saved: None,
                }
            };
            (n, m.tasks.iter().map(entry).collect())
        })
        .collect();
    for (n, tasks) in tasks {
        hear(share, n, seq, tasks, now);
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
        tasks,
        cpus,
        gpus,
        memory_gb: cpus,
        image: "i".into(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: kind == JobKind::Gang,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn submit(share: &mut PartitionState, request: &JobRequest, now: Timestamp) -> JobId {
    let spec = JobSpec::try_from(request).expect("a good job");
    let id = spec.id;
    share.add_job(spec, id.0, &[], now);
    id
}

fn placed(share: &PartitionState, id: JobId) -> usize {
    share.jobs[&id].placed.len()
}

/// Cycles for some seconds, in which what backs off is tried again.
fn cycle(share: &mut PartitionState, from: u64, until: u64) {
    for at in (from..until).step_by(100) {
        share.queue.move_all(Timestamp::from_millis(at));
        share.run_cycles(Timestamp::from_millis(at), 1_000);
    }
}

fn make_durable(share: &mut PartitionState) {
    let keys: Vec<_> = share.take_dirty().into_iter().map(|(key, _)| key).collect();
    let written = share.changes_in(&keys);
    share.confirm(&written);
}

/// Arrays filled each freed machine, and were stopped when a gang had enough of them: 5,791 lost tasks on
/// one day of a site.
#[test]
fn arrays_leave_the_machines_that_a_waiting_gang_needs_if_they_have_others() {
    let mut share = share(1_000.0);
    (1..=2).for_each(|n| add(&mut share, n, "large", "a"));
    (3..=8).for_each(|n| add(&mut share, n, "small", "b"));
    let gang = submit(
        &mut share,
        &job(1, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 2_000);
    assert_eq!(
        placed(&share, gang),
        0,
        "there are two machines for three tasks"
    );
    let array = submit(
        &mut share,
        &job(2, JobKind::Array, 40, 1.0, 0.0),
        Timestamp::from_millis(2_000),
    );
    cycle(&mut share, 2_000, 3_500);
    assert_eq!(placed(&share, array), 24, "the small machines");
    all_report(&mut share, 2, Timestamp::from_millis(3_500));
    add(&mut share, 9, "large", "a");
    hear(&mut share, 9, 2, Vec::new(), Timestamp::from_millis(3_500));
    cycle(&mut share, 3_600, 5_000);
    assert_eq!(placed(&share, gang), 3);
}

/// Two gangs, each holding half of what the other needs, would wait for ever.
#[test]
fn of_two_gangs_with_room_for_one_the_first_goes_and_then_the_other() {
    let mut share = share(1_000.0);
    (1..=4).for_each(|n| add(&mut share, n, "large", "a"));
    let small = submit(
        &mut share,
        &job(1, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 500);
    let first = submit(
        &mut share,
        &job(2, JobKind::Gang, 4, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    let second = submit(
        &mut share,
        &job(3, JobKind::Gang, 4, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    cycle(&mut share, 500, 2_500);
    let waiting = (
        placed(&share, small),
        placed(&share, first),
        placed(&share, second),
    );
    assert_eq!(waiting, (1, 0, 0));
    let why = share
        .explain(first, Timestamp::from_millis(2_500))
        .expect("it is there");
    assert!(why.contains("4 machines are kept for it"), "{why}");
    share.cancel_job(small, Timestamp::from_millis(2_500));
    cycle(&mut share, 2_500, 5_000);
    assert_eq!((placed(&share, first), placed(&share, second)), (4, 0));
    share.cancel_job(first, Timestamp::from_millis(5_000));
    cycle(&mut share, 5_000, 8_000);
    assert_eq!(placed(&share, second), 4);
}

/// What is kept is given up with the first machine that is of no use any more.
#[test]
fn a_gang_whose_kept_machines_are_lost_takes_another_zone() {
    let mut share = share(1_000.0);
    (1..=2).for_each(|n| add(&mut share, n, "large", "a"));
    let gang = submit(
        &mut share,
        &job(1, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 1_000);
    share.remove_machine(&name(1), Timestamp::from_millis(1_000));
    (3..=5).for_each(|n| add(&mut share, n, "large", "b"));
    (2..=5).for_each(|n| hear(&mut share, n, 2, Vec::new(), Timestamp::from_millis(1_000)));
    cycle(&mut share, 1_000, 3_000);
    let zones: Vec<_> = share.jobs[&gang]
        .placed
        .values()
        .map(|p| share.machines[&p.machine].zone.to_string())
        .collect();
    assert_eq!(zones, ["b", "b", "b"]);
}

/// A gang of 8 with large images began anew eight times: those that had the image waited for longer than
/// tasks of a gang wait for each other.
#[test]
fn tasks_of_a_gang_that_have_their_image_are_launched_with_those_that_fetch_it() {
    let mut share = share(1_000.0);
    add(&mut share, 1, "large", "a");
    let image = |request: JobRequest| JobRequest {
        image_gb: 8.0,
        ..request
    };
    let before = submit(
        &mut share,
        &image(job(1, JobKind::Array, 1, 1.0, 0.0)),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 300);
    all_report(&mut share, 2, Timestamp::from_millis(300));
    share.cancel_job(before, Timestamp::from_millis(300));
    hear(&mut share, 1, 3, Vec::new(), Timestamp::from_millis(400));
    add(&mut share, 2, "large", "a");
    let gang = submit(
        &mut share,
        &image(job(2, JobKind::Gang, 2, 18.0, 0.0)),
        Timestamp::from_millis(400),
    );
    cycle(&mut share, 400, 1_000);
    assert_eq!(placed(&share, gang), 2);
    make_durable(&mut share);
    let launches = |share: &mut PartitionState, n: u32| {
        let commands = share.commands_for(
            &name(n),
            CommandRoute::Answer,
            Timestamp::from_millis(1_000),
        );
        commands
            .iter()
            .filter(|c| matches!(c, Command::Start { .. }))
            .count()
    };
    assert_eq!(launches(&mut share, 1), 0, "it has the image");
    assert_eq!(launches(&mut share, 2), 1, "it fetches for 40 s");
    let (index, placement) = share.jobs[&gang]
        .placed
        .iter()
        .find(|(_, p)| p.machine == name(2))
        .expect("one there");
    let (task, attempt) = (format!("{gang}/{index}"), placement.attempt.0);
    let entry = TaskStatus {
        task,
        attempt,
        state: TaskState::Waiting,
        why: None,
        saved: None,
    };
    hear(
        &mut share,
        2,
        3,
        vec![entry],
        Timestamp::from_millis(41_000),
    );
    assert!(share.take_urgent_machines().contains(&name(1)));
    assert_eq!(launches(&mut share, 1), 1);
}

/// Of a machine with four GPUs and 24 CPUs each free GPU keeps its six.
#[test]
fn work_without_gpus_takes_what_gpu_work_leaves_and_keeps_no_machine() {
    let mut share = share(1_000.0);
    add(&mut share, 1, "graphics", "a");
    let plain = submit(
        &mut share,
        &job(1, JobKind::Array, 30, 1.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 1_000);
    assert_eq!(placed(&share, plain), 0, "no GPU work is there");
    let clips = submit(
        &mut share,
        &job(2, JobKind::Array, 2, 4.0, 1.0),
        Timestamp::from_millis(1_000),
    );
    cycle(&mut share, 1_000, 2_000);
    assert_eq!(placed(&share, clips), 2);
    assert_eq!(placed(&share, plain), 4, "two beside each of two");
    let more = submit(
        &mut share,
        &job(3, JobKind::Array, 2, 6.0, 1.0),
        Timestamp::from_millis(2_000),
    );
    cycle(&mut share, 2_000, 2_200);
    assert_eq!(placed(&share, more), 2, "the free GPUs had kept theirs");
    make_durable(&mut share);
    share.commands_for(
        &name(1),
        CommandRoute::Answer,
        Timestamp::from_millis(2_200),
    );
    all_report(&mut share, 2, Timestamp::from_millis(2_200));
    share.cancel_job(clips, Timestamp::from_millis(2_300));
    share.cancel_job(more, Timestamp::from_millis(2_300));
    let left = |share: &PartitionState| {
        share.jobs[&plain]
            .placed
            .values()
            .filter(|p| p.stop.is_none())
            .count()
    };
    share.evict_colocated(Timestamp::from_millis(2_300));
    assert_eq!(left(&share), 4);
    let running: Vec<TaskStatus> = share.jobs[&plain]
        .placed
        .iter()
        .map(|(index, p)| TaskStatus {
            task: format!("{plain}/{index}"),
            attempt: p.attempt.0,
            state: TaskState::Running,
            why: None,
            saved: None,
        })
        .collect();
    hear(&mut share, 1, 3, running, Timestamp::from_millis(2_400));
    share.evict_colocated(Timestamp::from_millis(2_500));
    share.evict_colocated(Timestamp::from_millis(6_000));
    assert_eq!(
        left(&share),
        0,
        "no GPU work is left, so the machine is to be free"
    );
}

/// It waited for cheap machines, 553 s at the median, and none of it was in time.
#[test]
fn low_arrays_with_a_deadline_are_not_best_effort() {
    let low = JobRequest {
        priority: Priority::Low,
        ..job(1, JobKind::Array, 4, 2.0, 1.0)
    };
    let due = JobRequest {
        deadline_s: Some(100.0),
        ..low.clone()
    };
    let best_effort = |request| {
        JobSpec::try_from(request)
            .expect("a good job")
            .is_best_effort()
    };
    assert_eq!((best_effort(&low), best_effort(&due)), (true, false));
    let mut share = share(1_000.0);
    add(&mut share, 1, "graphics", "a");
    let due = submit(
        &mut share,
        &JobRequest { spot: true, ..due },
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 500);
    assert_eq!(placed(&share, due), 4, "on an ordinary machine");
}

/// A job that only such machines hold is not kept from them.
#[test]
fn work_without_gpus_that_fits_no_other_machine_runs_on_those_with_gpus() {
    let mut share = share(1_000.0);
    add(&mut share, 1, "graphics", "a");
    let large = submit(
        &mut share,
        &job(1, JobKind::Array, 1, 22.0, 0.0),
        Timestamp::from_millis(0),
    );
    let named = JobRequest {
        types: Some(vec!["graphics".into()]),
        ..job(2, JobKind::Array, 1, 1.0, 0.0)
    };
    let named = submit(&mut share, &named, Timestamp::from_millis(0));
    cycle(&mut share, 0, 1_000);
    assert_eq!((placed(&share, large), placed(&share, named)), (1, 1));
}

/// Arrays took each freed part of the limit, and the gang waited for all of it at one time.
#[test]
fn arrays_leave_a_gang_its_part_of_the_limit() {
    let mut share = share(80.0);
    (1..=3).for_each(|n| add(&mut share, n, "large", "a"));
    (4..=20).for_each(|n| add(&mut share, n, "small", "b"));
    let first = submit(
        &mut share,
        &job(1, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 500);
    assert_eq!(placed(&share, first), 1);
    let gang = submit(
        &mut share,
        &job(2, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    cycle(&mut share, 500, 2_000);
    let array = submit(
        &mut share,
        &job(3, JobKind::Array, 60, 1.0, 0.0),
        Timestamp::from_millis(2_000),
    );
    cycle(&mut share, 2_000, 3_000);
    assert_eq!(placed(&share, array), 26, "80 less 18 in use and 36 kept");
    share.cancel_job(first, Timestamp::from_millis(3_000));
    cycle(&mut share, 3_000, 4_000);
    assert_eq!(placed(&share, gang), 3);
}

/// Cycles as the node runs them: what backs off waits for its time.
fn cycle_at_pace(share: &mut PartitionState, from: u64, until: u64) {
    for at in (from..until).step_by(100) {
        share.run_cycles(Timestamp::from_millis(at), 1_000);
    }
}

/// After how many seconds the machines that are kept for a gang should be free.
fn seconds_until_free(share: &PartitionState, gang: JobId, now: Timestamp) -> u64 {
    let why = share.explain(gang, now).expect("it is there");
    let (_, rest) = why
        .split_once("free in ")
        .unwrap_or_else(|| panic!("nothing is kept: {why}"));
    rest.split(' ')
        .next()
        .and_then(|seconds| seconds.parse().ok())
        .expect("a number")
}

/// Machines were given up after a minute and chosen anew at the gang's next try. What came in between took
/// those that were free already.
#[test]
fn what_is_kept_for_a_gang_is_chosen_anew_without_a_gap() {
    let mut share = share(1_000.0);
    (1..=3).for_each(|n| add(&mut share, n, "large", "a"));
    let lasting = JobRequest {
        estimate_s: 200.0,
        ..job(1, JobKind::Gang, 1, 18.0, 0.0)
    };
    let lasting = submit(&mut share, &lasting, Timestamp::from_millis(0));
    cycle_at_pace(&mut share, 0, 500);
    assert_eq!(placed(&share, lasting), 1);
    let gang = submit(
        &mut share,
        &job(2, JobKind::Gang, 3, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    cycle(&mut share, 500, 4_000);
    for (id, at) in (3..).zip((4_000..80_000).step_by(500)) {
        all_report(&mut share, id, Timestamp::from_millis(at));
        let later = JobRequest {
            estimate_s: 300.0,
            ..job(id, JobKind::Gang, 1, 18.0, 0.0)
        };
        let later = submit(&mut share, &later, Timestamp::from_millis(at));
        cycle_at_pace(&mut share, at, at + 500);
        assert_eq!(placed(&share, later), 0, "after {at} ms");
        share.cancel_job(later, Timestamp::from_millis(at + 499));
    }
    share.cancel_job(lasting, Timestamp::from_millis(80_000));
    hear_empty(&mut share, 1_000, Timestamp::from_millis(80_000));
    cycle_at_pace(&mut share, 80_000, 82_000);
    assert_eq!(placed(&share, gang), 3);
}

/// All machines report that nothing runs on them.
fn hear_empty(share: &mut PartitionState, seq: u64, now: Timestamp) {
    for n in 1..=share.machines.len() as u32 {
        hear(share, n, seq, Vec::new(), now);
    }
}

/// Fetches were taken to be five times as fast as they are, and what had outrun its estimate to end at once:
/// gangs waited for the machines that were free last.
#[test]
fn tasks_are_expected_to_fetch_first_and_to_outrun_their_estimates() {
    let mut share = share(1_000.0);
    add(&mut share, 1, "large", "a");
    let before = JobRequest {
        image_gb: 8.0,
        ..job(1, JobKind::Gang, 1, 18.0, 0.0)
    };
    submit(&mut share, &before, Timestamp::from_millis(0));
    cycle(&mut share, 0, 500);
    let gang = submit(
        &mut share,
        &job(2, JobKind::Gang, 1, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    cycle(&mut share, 500, 3_000);
    let expected = seconds_until_free(&share, gang, Timestamp::from_millis(3_000));
    assert!(
        (95..=98).contains(&expected),
        "40 s of fetch and 60 of its estimate: {expected}"
    );
    all_report(&mut share, 2, Timestamp::from_millis(40_000));
    cycle(&mut share, 40_000, 43_000);
    assert_eq!(
        seconds_until_free(&share, gang, Timestamp::from_millis(43_000)),
        57,
        "it began after 40 s"
    );
    all_report(&mut share, 3, Timestamp::from_millis(90_000));
    all_report(&mut share, 4, Timestamp::from_millis(140_000));
    cycle(&mut share, 140_000, 143_000);
    let expected = seconds_until_free(&share, gang, Timestamp::from_millis(143_000));
    assert!(
        (24..=26).contains(&expected),
        "a quarter of 102 s once more: {expected}"
    );
}

/// What was free already stood idle until the last of a gang's machines was free, though others ended then.
#[test]
fn of_the_machines_that_are_free_in_time_the_last_are_kept() {
    let mut share = share(1_000.0);
    (1..=3).for_each(|n| add(&mut share, n, "large", "a"));
    let running = submit(
        &mut share,
        &job(1, JobKind::Gang, 2, 18.0, 0.0),
        Timestamp::from_millis(0),
    );
    cycle(&mut share, 0, 500);
    let gang = submit(
        &mut share,
        &job(2, JobKind::Gang, 2, 18.0, 0.0),
        Timestamp::from_millis(500),
    );
    cycle(&mut share, 500, 3_000);
    assert_eq!((placed(&share, running), placed(&share, gang)), (2, 0));
    let lasting = JobRequest {
        estimate_s: 300.0,
        ..job(3, JobKind::Gang, 1, 18.0, 0.0)
    };
    let lasting = submit(&mut share, &lasting, Timestamp::from_millis(3_000));
    cycle(&mut share, 3_000, 4_000);
    assert_eq!(
        placed(&share, lasting),
        1,
        "the two machines that are free together are kept"
    );
    share.cancel_job(running, Timestamp::from_millis(4_000));
    cycle(&mut share, 4_000, 5_000);
    assert_eq!(placed(&share, gang), 2);
}
