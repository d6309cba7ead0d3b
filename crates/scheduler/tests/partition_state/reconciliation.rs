//! What a status changes.

use crate::builders::{heartbeat, job, new_partition, place_and_launch, task_status};
use model::Timestamp;
use scheduler::{PartitionState, StatusSource};
use wire::users::{JobKind, Priority};
use wire::workers::TaskState;

#[test]
fn tasks_stop_just_before_machine_is_reclaimed() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    let (task, attempt) = place_and_launch(&mut share, Timestamp::from_millis(100)).remove(0);
    let runs = task_status(&task, attempt, TaskState::Running, None);
    share.reconcile(
        &heartbeat(2, Some(8.0), vec![runs]),
        StatusSource::Heartbeat,
        Timestamp::from_millis(1_000),
    );
    let stops = |share: &PartitionState| share.jobs[&model::JobId(1)].placed[&0].stop.is_some();
    share.drain_reclaimed_machines(Timestamp::from_millis(2_000));
    assert!(!stops(&share), "it may run on for a while");
    share.drain_reclaimed_machines(Timestamp::from_millis(6_600));
    assert!(stops(&share));
}
