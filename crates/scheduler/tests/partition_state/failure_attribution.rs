//! Suspect jobs and quarantined machines.

use crate::builders::{
    job, machine_name, make_durable, partition_with_four_machines, send_heartbeat, task_status,
};
use model::Timestamp;
use scheduler::{CommandRoute, PartitionState};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, TaskState};

/// Launches the waiting tasks and has each machine report its tasks as exited: as failed if `fails` returns
/// true for the machine's number and the task, else as done. Returns the number of tasks that were
/// launched.
fn run_round(
    partition: &mut PartitionState,
    round: u64,
    now: Timestamp,
    fails: impl Fn(u32, &str) -> bool,
) -> usize {
    (1..=4).for_each(|n| send_heartbeat(partition, n, round * 2, Vec::new(), now));
    partition.run_cycles(now, 100);
    make_durable(partition);
    let mut count = 0;
    for n in 1..=4 {
        let mut tasks = Vec::new();
        for command in
            partition.commands_for(&machine_name(n), CommandRoute::HeartbeatResponse, now)
        {
            let Command::Launch { task, attempt } = command else {
                continue;
            };
            let exit_cause = if fails(n, &task) {
                ExitCause::Error
            } else {
                ExitCause::Done
            };
            tasks.push(task_status(
                &task,
                attempt,
                TaskState::Exited,
                Some(exit_cause),
            ));
        }
        count += tasks.len();
        send_heartbeat(
            partition,
            n,
            round * 2 + 1,
            tasks,
            now + Duration::from_millis(200),
        );
    }
    make_durable(partition);
    count
}

/// Otherwise a faulty job would have the first machines on which it fails quarantined, returned and
/// replaced, and each of its tasks would be launched every second until its user cancels it.
#[test]
fn job_failing_everywhere_quarantines_no_machine_and_is_probed_with_backoff() {
    let mut partition = partition_with_four_machines();
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 16),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let launches_per_round: Vec<usize> = (1..=60)
        .map(|round| {
            run_round(
                &mut partition,
                round,
                Timestamp::from_millis(round * 1_000),
                |_, task| task.starts_with("j-000001"),
            )
        })
        .collect();
    assert!(partition
        .machines
        .values()
        .all(|machine| !machine.quarantined));
    assert!(
        launches_per_round[1..]
            .iter()
            .all(|launches| *launches <= 1),
        "{launches_per_round:?}"
    );
    assert!(
        (4..=8).contains(&launches_per_round[1..].iter().sum::<usize>()),
        "{launches_per_round:?}"
    );
    // The fault, say of the image registry, is mended: after one success all tasks run.
    let launches_after_repair: usize = (61..=100)
        .map(|round| {
            run_round(
                &mut partition,
                round,
                Timestamp::from_millis(round * 1_000),
                |_, _| false,
            )
        })
        .sum();
    assert_eq!(launches_after_repair, 16);
    assert_eq!(partition.take_finished(), [model::JobId(1)]);
}

#[test]
fn machine_failing_different_jobs_is_quarantined() {
    let mut partition = partition_with_four_machines();
    for id in 1..=6 {
        partition.add_job(
            job(id, "t", JobKind::Array, Priority::Normal, 8),
            id,
            &[],
            Timestamp::from_millis(100),
        );
    }
    for round in 1..=12 {
        run_round(
            &mut partition,
            round,
            Timestamp::from_millis(round * 1_000),
            |n, _| n == 2,
        );
    }
    let quarantined = partition
        .machines
        .values()
        .filter(|machine| machine.quarantined)
        .map(|machine| machine.name.clone());
    assert_eq!(quarantined.collect::<Vec<_>>(), [machine_name(2)]);
    assert_eq!(partition.take_finished().len(), 6);
}
