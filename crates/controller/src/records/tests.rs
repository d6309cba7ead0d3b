//! Tests of the packed form of jobs and machines.

use super::*;
use model::{MachineName, PartitionId};
use wire::users::{JobKind, JobRequest, Priority};

/// Tokens and partition numbers of machines grow while the machines stay on their page: a page filled
/// with machines with token 0 must stay writable with the widest token.
#[test]
fn full_machines_page_stays_within_limit_with_widest_token() {
    let capacity_bytes = page_capacity_bytes(4096);
    let record = |token, partition| MachineRecord {
        machine_type: "m4".into(),
        zone: "north".into(),
        spot: true,
        partition: PartitionId(partition),
        token,
        leaving: token > 0,
    };
    let name = |number: usize| MachineName::from(format!("host-{number:06}").as_str());
    let machine_bytes = PackedMachine::max_packed_bytes(&name(1), &record(0, 0));
    let page = |token, partition| MachinesPage {
        machines: (0..capacity_bytes / machine_bytes)
            .map(|number| PackedMachine::new(&name(number), &record(token, partition)))
            .collect(),
    };
    assert!(page(0, 0).machines.len() > 40);
    assert!(packed_bytes(&page(u64::MAX, u32::MAX)) <= 4096);
}

#[test]
fn packed_job_round_trips() {
    let job = JobRequest {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        allowed_machine_types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread_over_zones: false,
        spot_allowed: true,
        estimated_run_time_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_save_time_s: 4.0,
        deadline_s: Some(900.0),
    };
    let packed = PackedJob::new(7, job.clone());
    let value = serde_json::to_value(&packed).expect("encode packed job");
    let read: PackedJob = serde_json::from_value(value).expect("decode packed job");
    assert_eq!(read.request, job);
}
