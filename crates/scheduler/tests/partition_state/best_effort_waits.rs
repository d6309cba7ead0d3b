//! How long best-effort work waits while machines have free capacity for it.
//!
//! Guards against a fault in which arrays of low priority waited for up to 190 s while on-demand machines had free
//! capacity for them and their team was below its limit. No job may wait for 90 s in this way.
//!
//! On-demand machines were left to other work (`not_spare`) until the *team* had had hardly any best-effort task
//! placed for 120 s. That time started again with each leader, and only one job of a team was admitted at a time.
//! The simulated run `paused_controllers_keep_rules_and_complete_work`, seed 3, showed this for `j-000105`
//! (14 tasks, submitted at 12 s, first task placed at 201 s, last one placed at 255 s; 134 s + 120 s = 254 s):
//!
//! ```text
//! 130 s, term 11: 0 placed of 14; machines that do not take it: [no_free_capacity: 3, not_spare: 2]
//! 134 s: its leader was paused for 3.6 s, the partition has a new one (term 24)
//! 145 s, term 24: 0 placed of 14; machines that do not take it: [no_free_capacity: 3, not_spare: 3]
//! 185 s, term 24: 0 placed of 14; machines that do not take it: [no_free_capacity: 2, not_spare: 4]
//! 250 s, term 24: 13 done, 0 placed; machines that do not take it: [not_spare: 3]
//! 255 s, term 24: 13 done, 1 placed
//! ```

use crate::builders::{
    add_machine, heartbeat, job, machine_name, make_durable, new_partition,
    partition_without_guarantees, place_and_launch, send_heartbeat, task_status,
};
use model::{JobId, JobSpec, MachineName, Resources, Timestamp};
use scheduler::{PartitionState, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Heartbeat, TaskState, TaskStatus};

/// The longest time that a job may wait in these tests while there is free capacity for it. The rest of
/// the 90 s is for what the tests do not simulate: a write, a launch, the fetch of an image.
const MAX_WAIT_MS: u64 = 85_000;
const SECOND_MS: u64 = 1_000;

/// An array of low priority that may use spot machines and whose tasks do not save checkpoints.
fn low_array(id: u64, tasks: u64) -> JobSpec {
    JobSpec {
        spot_allowed: true,
        estimated_run_time: Duration::from_secs(300),
        ..job(id, "t", JobKind::Array, Priority::Low, tasks)
    }
}

/// As [`low_array`], with tasks that save checkpoints.
fn low_array_with_checkpoints(id: u64, tasks: u64) -> JobSpec {
    JobSpec {
        checkpoint_interval: Duration::from_secs(30),
        checkpoint_save_time: Duration::from_secs(3),
        ..low_array(id, tasks)
    }
}

/// Advances the time: heartbeats every two seconds, evictions and cycles every second.
fn advance(partition: &mut PartitionState, machine_count: u32, from_ms: u64, to_ms: u64) {
    for at_ms in (from_ms..=to_ms).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        if (at_ms / SECOND_MS).is_multiple_of(2) {
            (1..=machine_count).for_each(|n| send_heartbeat(partition, n, at_ms, Vec::new(), now));
        }
        partition.evict_best_effort(now);
        partition.run_cycles(now, 1_000);
        make_durable(partition);
    }
}

fn placed_tasks(partition: &PartitionState, job: u64) -> usize {
    partition.jobs[&JobId(job)].placed.len()
}

/// Statuses that show all tasks placed on a machine as running.
fn running_tasks(partition: &PartitionState, machine: &MachineName) -> Vec<TaskStatus> {
    let status = |task: &model::TaskId| {
        let attempt = partition.jobs[&task.job].placed[&task.index].attempt.0;
        task_status(&task.to_string(), attempt, TaskState::Running, None)
    };
    partition.machines[machine]
        .tasks
        .iter()
        .map(status)
        .collect()
}

#[test]
fn every_low_priority_array_of_a_team_starts_within_the_limit() {
    let mut partition = partition_without_guarantees(false);
    for id in 1..=3 {
        partition.add_job(low_array(id, 20), id, &[], Timestamp::from_millis(100));
    }
    advance(&mut partition, 1, SECOND_MS, MAX_WAIT_MS);
    for id in 1..=3 {
        assert!(
            placed_tasks(&partition, id) > 0,
            "job {id} waits although CPUs are free"
        );
    }
}

#[test]
fn waiting_time_counts_across_failovers() {
    let submitted_ms = 1;
    let load = |now_ms| {
        let mut partition = partition_without_guarantees(false);
        let now = Timestamp::from_millis(now_ms);
        partition.add_job(low_array(1, 20), submitted_ms, &[], now);
        partition
    };
    advance(&mut load(100), 1, SECOND_MS, 38 * SECOND_MS);
    // The next leader leads for half a minute only.
    advance(&mut load(40 * SECOND_MS), 1, 40 * SECOND_MS, 68 * SECOND_MS);
    let mut third = load(70 * SECOND_MS);
    advance(&mut third, 1, 70 * SECOND_MS, MAX_WAIT_MS);
    assert!(
        placed_tasks(&third, 1) > 0,
        "its wait starts again with each leader"
    );
}

/// Free capacity is left to a job in backoff that found too little of it, even where that job cannot use it: here
/// its other tasks have to run in the zone of its first ones. A best-effort job that has waited for long takes that
/// capacity.
#[test]
fn best_effort_job_takes_capacity_left_to_a_job_that_cannot_use_it() {
    let mut partition = new_partition();
    for team in partition.teams.values_mut() {
        team.guarantee = Default::default();
        team.limit = Resources::offered(16.0, 0.0, 0.0);
    }
    send_heartbeat(
        &mut partition,
        1,
        1,
        Vec::new(),
        Timestamp::from_millis(100),
    );
    let one_zone = JobSpec {
        one_zone: true,
        ..job(1, "u", JobKind::Service, Priority::High, 6)
    };
    partition.add_job(one_zone, 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut partition, Timestamp::from_millis(100)).len(),
        4
    );
    add_machine(&mut partition, 2);
    partition
        .machines
        .values_mut()
        .filter(|machine| machine.tasks.is_empty())
        .for_each(|machine| machine.zone = "b".into());
    let low = JobSpec {
        spot_allowed: false,
        ..low_array(2, 1)
    };
    partition.add_job(low, 2, &[], Timestamp::from_millis(100));
    for at_ms in (SECOND_MS..=MAX_WAIT_MS).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        let tasks = running_tasks(&partition, &machine_name(1));
        send_heartbeat(&mut partition, 1, at_ms, tasks, now);
        let other = Heartbeat {
            machine: "host-000002".into(),
            zone: "b".into(),
            ..heartbeat(at_ms, None, Vec::new())
        };
        partition.reconcile(&other, StatusSource::Heartbeat, now);
        partition.evict_best_effort(now);
        partition.run_cycles(now, 1_000);
        make_durable(&mut partition);
    }
    assert_eq!(placed_tasks(&partition, 1), 4, "its zone is full");
    assert_eq!(
        placed_tasks(&partition, 2),
        1,
        "the other zone has free CPUs"
    );
}

/// An array's only task that was placed on an on-demand machine after a long wait is not evicted from it again.
#[test]
fn only_task_of_an_array_is_not_evicted_without_spare_capacity_for_it() {
    let mut partition = partition_without_guarantees(false);
    (2..=4).for_each(|n| add_machine(&mut partition, n));
    partition
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(16.0, 0.0, 0.0));
    let now = Timestamp::from_millis(100);
    (2..=4).for_each(|n| send_heartbeat(&mut partition, n, 1, Vec::new(), now));
    for id in 1..=12 {
        partition.add_job(low_array_with_checkpoints(id, 1), id, &[], now);
    }
    // Tasks are reported as running, so that an evicted one remains visible as being stopped.
    let mut stopped = 0;
    for at_ms in (SECOND_MS..=180 * SECOND_MS).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        for n in 1..=4 {
            let tasks = running_tasks(&partition, &machine_name(n));
            send_heartbeat(&mut partition, n, at_ms, tasks, now);
        }
        partition.evict_best_effort(now);
        partition.run_cycles(now, 1_000);
        make_durable(&mut partition);
        stopped += partition
            .jobs
            .values()
            .flat_map(|job| job.placed.values())
            .filter(|placement| placement.stop.is_some())
            .count();
        if at_ms >= MAX_WAIT_MS {
            let waiting = (1..=12)
                .filter(|id| placed_tasks(&partition, *id) == 0)
                .count();
            assert_eq!(waiting, 0, "jobs without a placed task after {at_ms} ms");
        }
    }
    assert_eq!(stopped, 0);
}

/// The clock of a controller that has just started is far behind the logical clock of submission times.
#[test]
fn waiting_time_counts_for_a_controller_that_has_just_started() {
    let mut partition = partition_without_guarantees(false);
    partition.logical_clock_offset = Duration::from_secs(1_000);
    let submitted_ms = 960 * SECOND_MS;
    partition.add_job(
        low_array(1, 20),
        submitted_ms,
        &[],
        Timestamp::from_millis(100),
    );
    advance(&mut partition, 1, SECOND_MS, 9 * SECOND_MS);
    assert_eq!(
        placed_tasks(&partition, 1),
        0,
        "capacity is left to other work that returns to the leader"
    );
    advance(&mut partition, 1, 10 * SECOND_MS, 12 * SECOND_MS);
    assert_eq!(placed_tasks(&partition, 1), 1);
}

/// Of thousands of waiting arrays, each places one task at most, machines are requested for one task per team, and
/// all placed tasks are preempted for other work at once.
#[test]
fn many_low_priority_arrays_place_one_task_each_and_are_preempted() {
    let mut partition = partition_without_guarantees(false);
    (2..=4).for_each(|n| add_machine(&mut partition, n));
    for team in partition.teams.values_mut() {
        team.limit = Resources::offered(4_000.0, 0.0, 0.0);
    }
    let jobs = 2_000;
    for id in 1..=jobs {
        let team = if id % 2 == 0 { "t" } else { "u" };
        let spec = JobSpec {
            team: team.into(),
            ..low_array(id, 4)
        };
        partition.add_job(spec, id, &[], Timestamp::from_millis(100));
    }
    advance(&mut partition, 4, SECOND_MS, 39 * SECOND_MS);
    let total = |partition: &PartitionState| {
        (1..=jobs)
            .map(|id| placed_tasks(partition, id))
            .sum::<usize>()
    };
    assert_eq!(total(&partition), 0);
    advance(&mut partition, 4, 40 * SECOND_MS, 55 * SECOND_MS);
    assert_eq!(total(&partition), 16, "all free CPUs are used");
    assert!(
        (1..=jobs).all(|id| placed_tasks(&partition, id) <= 1),
        "at most one task per array"
    );
    let requested: u64 = partition
        .demand(Timestamp::from_millis(55 * SECOND_MS))
        .iter()
        .filter(|shape| shape.priority == Priority::Normal)
        .map(|shape| shape.task_count)
        .sum();
    assert_eq!(requested, 2, "one task per team");
    let normal = job(jobs + 1, "u", JobKind::Service, Priority::High, 16);
    let now = Timestamp::from_millis(56 * SECOND_MS);
    partition.add_job(normal, 56 * SECOND_MS, &[], now);
    partition.run_cycles(now, 10_000);
    let left = partition
        .jobs
        .values()
        .filter(|job| job.spec.priority == Priority::Low)
        .flat_map(|job| job.placed.values())
        .filter(|placement| placement.stop.is_none())
        .count();
    assert_eq!(left, 0, "all are preempted at once");
}
