//! Reconciliation with the statuses of workers.

use crate::builders::{heartbeat, job, new_partition, place_and_launch, task_status};
use model::Timestamp;
use scheduler::{PartitionState, StatusSource};
use wire::users::{JobKind, Priority};
use wire::workers::TaskState;

#[test]
fn tasks_stop_just_before_machine_is_reclaimed() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut partition, Timestamp::from_millis(100)).remove(0);
    let running = task_status(&task, attempt, TaskState::Running, None);
    partition.reconcile(
        &heartbeat(2, Some(8.0), vec![running]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    let is_stopping =
        |partition: &PartitionState| partition.jobs[&model::JobId(1)].placed[&0].stop.is_some();
    partition.drain_reclaimed_machines(Timestamp::from_millis(2_000));
    assert!(!is_stopping(&partition), "stopped too early");
    partition.drain_reclaimed_machines(Timestamp::from_millis(6_600));
    assert!(is_stopping(&partition));
}
