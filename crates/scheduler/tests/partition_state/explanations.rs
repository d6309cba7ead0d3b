//! Why jobs wait: explanations for operators, and counts of unplaced tasks by reason.

use crate::builders::{add_machine, job, partition_without_guarantees, send_heartbeat};
use model::{JobId, JobSpec, Timestamp};
use scheduler::MachineRejection;
use wire::users::{JobKind, Priority};

#[test]
fn explanation_counts_machines_by_rejection() {
    let mut partition = partition_without_guarantees(false);
    add_machine(&mut partition, 2);
    let now = Timestamp::from_millis(100);
    let best_effort = JobSpec {
        spot_allowed: true,
        ..job(1, "t", JobKind::Array, Priority::Low, 1)
    };
    partition.add_job(best_effort, 1, &[], now);
    partition.run_cycles(now, 100);
    let explanation = partition.explain(JobId(1), now).expect("the job is known");
    assert!(
        explanation.ends_with("; machines that do not take it: [unusable: 1, not_spare: 1]"),
        "{explanation}"
    );
}

#[test]
fn unplaced_tasks_are_counted_by_closest_rejection() {
    let mut partition = partition_without_guarantees(false);
    add_machine(&mut partition, 2);
    let now = Timestamp::from_millis(100);
    send_heartbeat(&mut partition, 2, 1, Vec::new(), now);
    let best_effort = JobSpec {
        spot_allowed: true,
        ..job(1, "t", JobKind::Array, Priority::Low, 1)
    };
    let too_large = job(2, "u", JobKind::Array, Priority::Normal, 1);
    let too_large = JobSpec {
        task_resources: model::Resources::offered(4.0, 0.0, 64.0),
        ..too_large
    };
    partition.add_job(best_effort, 1, &[], now);
    partition.add_job(too_large, 2, &[], now);
    partition.run_cycles(now, 100);
    let counts: Vec<_> = partition.rejections.drain().collect();
    assert_eq!(
        counts,
        [
            (MachineRejection::NoFreeCapacity, 1),
            (MachineRejection::NotSpare, 1),
        ]
    );
    assert_eq!(
        partition.rejections.drain().count(),
        0,
        "drain resets the counts"
    );
}
