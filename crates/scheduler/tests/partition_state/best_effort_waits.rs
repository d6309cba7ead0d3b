//! How long best-effort work waits beside free capacity.
//!
//! What happened: arrays of low priority waited for up to 190 s beside ordinary machines that had free capacity
//! for them, while their team was below its limit. No job may wait for 90 s like that.
//!
//! Why, as the simulated run `paused_controllers_keep_rules_and_complete_work`, seed 3, showed for `j-000105`
//! (fourteen tasks, submitted at 12 s, first task placed at 201 s, last one placed at 255 s):
//!
//! ```text
//! 130 s, term 11: 0 placed of 14; machines that do not take it: [no_free_capacity: 3, not_spare: 2]
//! 134 s: its leader was paused for 3.6 s, the partition has a new one (term 24)
//! 145 s, term 24: 0 placed of 14; machines that do not take it: [no_free_capacity: 3, not_spare: 3]
//! 185 s, term 24: 0 placed of 14; machines that do not take it: [no_free_capacity: 2, not_spare: 4]
//! 250 s, term 24: 13 done, 0 placed; machines that do not take it: [not_spare: 3]
//! 255 s, term 24: 13 done, 1 placed
//! ```
//!
//! Ordinary machines (`not_spare`) were left to other work until the *team* had had hardly any place for 120 s;
//! that time began anew with each leader (134 s + 120 s = 254 s), and only one job of a team was let in at a time.

use crate::builders::{
    add_machine, heartbeat, job, machine_name, make_durable, new_partition,
    partition_without_guarantees, place_and_launch, send_heartbeat, task_status,
};
use model::{JobId, JobSpec, MachineName, Resources, Timestamp};
use scheduler::{PartitionState, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Heartbeat, TaskState, TaskStatus};

/// No job may wait this long beside free capacity, in ms; a part is left for what tests do not simulate:
/// a write, a launch, the fetch of an image.
const LIMIT_MS: u64 = 85_000;
const SECOND_MS: u64 = 1_000;

/// An array of low priority that may use spot machines and whose tasks do not save checkpoints.
fn low_array(id: u64, tasks: u64) -> JobSpec {
    JobSpec {
        spot: true,
        estimate: Duration::from_secs(300),
        ..job(id, "t", JobKind::Array, Priority::Low, tasks)
    }
}

/// The same with tasks that save checkpoints.
fn saving_low_array(id: u64, tasks: u64) -> JobSpec {
    JobSpec {
        checkpoint: Duration::from_secs(30),
        save: Duration::from_secs(3),
        ..low_array(id, tasks)
    }
}

/// Lets time pass: heartbeats every two seconds, evictions and cycles every second.
fn advance(share: &mut PartitionState, machines: u32, from_ms: u64, to_ms: u64) {
    for at_ms in (from_ms..=to_ms).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        if (at_ms / SECOND_MS).is_multiple_of(2) {
            (1..=machines).for_each(|n| send_heartbeat(share, n, at_ms, Vec::new(), now));
        }
        share.evict_best_effort(now);
        share.run_cycles(now, 1_000);
        make_durable(share);
    }
}

fn placed(share: &PartitionState, job: u64) -> usize {
    share.jobs[&JobId(job)].placed.len()
}

/// Statuses that show all tasks placed on a machine as running.
fn running_tasks(share: &PartitionState, machine: &MachineName) -> Vec<TaskStatus> {
    let status = |task: &model::TaskId| {
        let attempt = share.jobs[&task.job].placed[&task.index].attempt.0;
        task_status(&task.to_string(), attempt, TaskState::Running, None)
    };
    share.machines[machine].tasks.iter().map(status).collect()
}

#[test]
fn every_low_priority_array_of_a_team_starts_within_the_limit() {
    let mut share = partition_without_guarantees(false);
    for id in 1..=3 {
        share.add_job(low_array(id, 20), id, &[], Timestamp::from_millis(100));
    }
    advance(&mut share, 1, SECOND_MS, LIMIT_MS);
    for id in 1..=3 {
        assert!(placed(&share, id) > 0, "job {id} waits beside free CPUs");
    }
}

#[test]
fn waiting_time_counts_across_failovers() {
    let submitted_ms = 1;
    let load = |now_ms| {
        let mut share = partition_without_guarantees(false);
        let now = Timestamp::from_millis(now_ms);
        share.add_job(low_array(1, 20), submitted_ms, &[], now);
        share
    };
    advance(&mut load(100), 1, SECOND_MS, 38 * SECOND_MS);
    // The next leader lasts for half a minute only.
    advance(&mut load(40 * SECOND_MS), 1, 40 * SECOND_MS, 68 * SECOND_MS);
    let mut third = load(70 * SECOND_MS);
    advance(&mut third, 1, 70 * SECOND_MS, LIMIT_MS);
    assert!(placed(&third, 1) > 0, "it waits anew with each leader");
}

/// A job that backs off has the free capacity left to it that it found too little of, also where it cannot
/// use it: here its other tasks have to run in the zone of its first ones.
#[test]
fn capacity_left_to_a_job_that_cannot_use_it_is_taken() {
    let mut share = new_partition();
    for team in share.teams.values_mut() {
        team.guarantee = Default::default();
        team.limit = Resources::offered(16.0, 0.0, 0.0);
    }
    send_heartbeat(&mut share, 1, 1, Vec::new(), Timestamp::from_millis(100));
    let one_zone = JobSpec {
        one_zone: true,
        ..job(1, "u", JobKind::Service, Priority::High, 6)
    };
    share.add_job(one_zone, 1, &[], Timestamp::from_millis(100));
    assert_eq!(
        place_and_launch(&mut share, Timestamp::from_millis(100)).len(),
        4
    );
    add_machine(&mut share, 2);
    share
        .machines
        .values_mut()
        .filter(|machine| machine.tasks.is_empty())
        .for_each(|machine| machine.zone = "b".into());
    let low = JobSpec {
        spot: false,
        ..low_array(2, 1)
    };
    share.add_job(low, 2, &[], Timestamp::from_millis(100));
    for at_ms in (SECOND_MS..=LIMIT_MS).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        let tasks = running_tasks(&share, &machine_name(1));
        send_heartbeat(&mut share, 1, at_ms, tasks, now);
        let other = Heartbeat {
            machine: "host-000002".into(),
            zone: "b".into(),
            ..heartbeat(at_ms, None, Vec::new())
        };
        share.reconcile(&other, StatusSource::Heartbeat, now);
        share.evict_best_effort(now);
        share.run_cycles(now, 1_000);
        make_durable(&mut share);
    }
    assert_eq!(placed(&share, 1), 4, "its zone is full");
    assert_eq!(placed(&share, 2), 1, "the other zone has free CPUs");
}

/// Its only task, once placed on an ordinary machine after a long wait, is not sent away again.
#[test]
fn only_task_of_an_array_is_not_evicted_without_a_place_for_it() {
    let mut share = partition_without_guarantees(false);
    (2..=4).for_each(|n| add_machine(&mut share, n));
    share
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(16.0, 0.0, 0.0));
    let now = Timestamp::from_millis(100);
    (2..=4).for_each(|n| send_heartbeat(&mut share, n, 1, Vec::new(), now));
    for id in 1..=12 {
        share.add_job(saving_low_array(id, 1), id, &[], now);
    }
    // Tasks are seen running, so that a stop would show as one.
    let mut stopped = 0;
    for at_ms in (SECOND_MS..=180 * SECOND_MS).step_by(SECOND_MS as usize) {
        let now = Timestamp::from_millis(at_ms);
        for n in 1..=4 {
            let tasks = running_tasks(&share, &machine_name(n));
            send_heartbeat(&mut share, n, at_ms, tasks, now);
        }
        share.evict_best_effort(now);
        share.run_cycles(now, 1_000);
        make_durable(&mut share);
        stopped += share
            .jobs
            .values()
            .flat_map(|job| job.placed.values())
            .filter(|placement| placement.stop.is_some())
            .count();
        if at_ms >= LIMIT_MS {
            let waiting = (1..=12).filter(|id| placed(&share, *id) == 0).count();
            assert_eq!(waiting, 0, "at {at_ms} ms");
        }
    }
    assert_eq!(stopped, 0);
}

/// The clock of a controller that has just started is far behind the clock of submissions.
#[test]
fn waiting_time_counts_for_a_controller_that_has_just_started() {
    let mut share = partition_without_guarantees(false);
    share.logical_clock_offset = Duration::from_secs(1_000);
    let submitted_ms = 960 * SECOND_MS;
    share.add_job(
        low_array(1, 20),
        submitted_ms,
        &[],
        Timestamp::from_millis(100),
    );
    advance(&mut share, 1, SECOND_MS, 9 * SECOND_MS);
    assert_eq!(placed(&share, 1), 0, "other work comes back first");
    advance(&mut share, 1, 10 * SECOND_MS, 12 * SECOND_MS);
    assert_eq!(placed(&share, 1), 1);
}

/// Thousands of waiting arrays take one task each of the capacity there is, request one machine a team, and give way.
#[test]
fn many_low_priority_arrays_take_little() {
    let mut share = partition_without_guarantees(false);
    (2..=4).for_each(|n| add_machine(&mut share, n));
    for team in share.teams.values_mut() {
        team.limit = Resources::offered(4_000.0, 0.0, 0.0);
    }
    let jobs = 2_000;
    for id in 1..=jobs {
        let team = if id % 2 == 0 { "t" } else { "u" };
        let spec = JobSpec {
            team: team.into(),
            ..low_array(id, 4)
        };
        share.add_job(spec, id, &[], Timestamp::from_millis(100));
    }
    advance(&mut share, 4, SECOND_MS, 39 * SECOND_MS);
    let total = |share: &PartitionState| (1..=jobs).map(|id| placed(share, id)).sum::<usize>();
    assert_eq!(total(&share), 0);
    advance(&mut share, 4, 40 * SECOND_MS, 55 * SECOND_MS);
    assert_eq!(total(&share), 16, "all that is free");
    assert!((1..=jobs).all(|id| placed(&share, id) <= 1), "one each");
    let requested: u64 = share
        .demand(Timestamp::from_millis(55 * SECOND_MS))
        .iter()
        .filter(|shape| shape.priority == Priority::Normal)
        .map(|shape| shape.tasks)
        .sum();
    assert_eq!(requested, 2, "one task a team");
    let normal = job(jobs + 1, "u", JobKind::Service, Priority::High, 16);
    let now = Timestamp::from_millis(56 * SECOND_MS);
    share.add_job(normal, 56 * SECOND_MS, &[], now);
    share.run_cycles(now, 10_000);
    let left = share
        .jobs
        .values()
        .filter(|job| job.spec.priority == Priority::Low)
        .flat_map(|job| job.placed.values())
        .filter(|placement| placement.stop.is_none())
        .count();
    assert_eq!(left, 0, "all are preempted at once");
}
