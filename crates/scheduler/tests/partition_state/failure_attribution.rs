//! Suspect jobs and quarantined machines.

use crate::builders::{
    job, machine_name, make_durable, partition_with_four_machines, send_heartbeat, task_status,
};
use model::Timestamp;
use scheduler::{CommandRoute, PartitionState};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, TaskState};

/// Launches what waits and has each machine report its tasks as `failing` says. The number of
/// tasks that were on machines.
fn one_round(
    share: &mut PartitionState,
    seq: u64,
    now: Timestamp,
    failing: impl Fn(u32, &str) -> bool,
) -> usize {
    (1..=4).for_each(|n| send_heartbeat(share, n, seq * 2, Vec::new(), now));
    share.run_cycles(now, 100);
    make_durable(share);
    let mut count = 0;
    for n in 1..=4 {
        let mut tasks = Vec::new();
        for command in share.commands_for(&machine_name(n), CommandRoute::HeartbeatResponse, now) {
            let Command::Start { task, attempt } = command else {
                continue;
            };
            let why = if failing(n, &task) {
                ExitCause::Error
            } else {
                ExitCause::Done
            };
            tasks.push(task_status(&task, attempt, TaskState::Exited, Some(why)));
        }
        count += tasks.len();
        send_heartbeat(
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
fn job_failing_everywhere_quarantines_no_machine_and_is_probed_with_backoff() {
    let mut share = partition_with_four_machines();
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
fn machine_failing_different_jobs_is_quarantined() {
    let mut share = partition_with_four_machines();
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
    assert_eq!(quarantined.collect::<Vec<_>>(), [machine_name(2)]);
    assert_eq!(share.take_finished().len(), 6);
}
