//! Explanations for operators: why a job waits.

use crate::builders::{add_machine, job, partition_without_guarantees, send_heartbeat};
use model::{JobId, JobSpec, Timestamp};
use scheduler::MachineRejection;
use wire::users::{JobKind, Priority};

#[test]
fn explanation_counts_machines_by_their_reasons() {
    let mut share = partition_without_guarantees(false);
    add_machine(&mut share, 2);
    let now = Timestamp::from_millis(100);
    let low = JobSpec {
        spot: true,
        ..job(1, "t", JobKind::Array, Priority::Low, 1)
    };
    share.add_job(low, 1, &[], now);
    share.run_cycles(now, 100);
    let explanation = share.explain(JobId(1), now).expect("a known job");
    assert!(
        explanation.ends_with("; machines that do not take it: [unusable: 1, not_spare: 1]"),
        "{explanation}"
    );
}

#[test]
fn unplaced_tasks_are_counted_by_their_closest_machine() {
    let mut share = partition_without_guarantees(false);
    add_machine(&mut share, 2);
    let now = Timestamp::from_millis(100);
    send_heartbeat(&mut share, 2, 1, Vec::new(), now);
    let spot_only = JobSpec {
        spot: true,
        ..job(1, "t", JobKind::Array, Priority::Low, 1)
    };
    let too_large = job(2, "u", JobKind::Array, Priority::Normal, 1);
    let too_large = JobSpec {
        needs: model::Resources::offered(4.0, 0.0, 64.0),
        ..too_large
    };
    share.add_job(spot_only, 1, &[], now);
    share.add_job(too_large, 2, &[], now);
    share.run_cycles(now, 100);
    let counts: Vec<_> = share.rejections.drain().collect();
    assert_eq!(
        counts,
        [
            (MachineRejection::NoFreeCapacity, 1),
            (MachineRejection::NotSpare, 1),
        ]
    );
    assert_eq!(share.rejections.drain().count(), 0, "counts begin anew");
}
