//! Mesh frames as bytes. In a frame, a struct field is identified by its position and an enum variant by
//! its name, so controllers of two builds understand each other only if both stay the same.

mod golden;

use golden::Entry;
use wire::mesh::{
    DemandShape, Frame, JobFailureSnapshot, MachineSnapshot, MachineStatus, MeshMessage,
    PartitionStatus, ReplicatedRecord, ReplicationBatch, ReplicationKey, MESH_VERSION,
};
use wire::users::Priority;

fn to_hex(frame: &Frame) -> String {
    let bytes = rmp_serde::to_vec(frame).expect("encode frame");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Result<Frame, rmp_serde::decode::Error> {
    let byte = |position: usize| {
        u8::from_str_radix(&text[position..position + 2], 16).expect("hexadecimal digits")
    };
    let bytes: Vec<u8> = (0..text.len()).step_by(2).map(byte).collect();
    rmp_serde::from_slice(&bytes)
}

fn frame(name: &'static str, message: MeshMessage) -> Entry {
    let frame = Frame {
        version: MESH_VERSION,
        from: "n1".into(),
        message,
    };
    Entry::round_trip(name, frame, to_hex, from_hex)
}

fn demand_shape(priority: Priority) -> DemandShape {
    DemandShape {
        milli_cpus: 1500,
        milli_gpus: 2000,
        memory_mb: 64_000,
        allowed_machine_types: Some(vec!["g8".into(), "m4".into()]),
        zone: Some("a".into()),
        spot_allowed: true,
        task_count: 12,
        urgent_count: 3,
        estimated_run_time_ms: 240_000,
        priority,
        gang_size: 16,
    }
}

fn demand_shape_without_options() -> DemandShape {
    DemandShape {
        allowed_machine_types: None,
        zone: None,
        spot_allowed: false,
        gang_size: 0,
        ..demand_shape(Priority::Normal)
    }
}

fn machine_status(transfer_to: Option<u32>) -> MachineStatus {
    MachineStatus {
        machine: "host-000007".into(),
        task_count: 4,
        idle_ms: 5_000,
        reporting: true,
        quarantined: false,
        since_heartbeat_ms: 700,
        transferable: transfer_to.is_some(),
        best_effort: transfer_to.is_none(),
        transfer_to,
    }
}

fn partition_status() -> PartitionStatus {
    PartitionStatus {
        partition: 2,
        term: 41,
        demand: vec![
            demand_shape_without_options(),
            demand_shape(Priority::Low),
            demand_shape(Priority::High),
            demand_shape(Priority::Production),
        ],
        machines: vec![machine_status(None), machine_status(Some(1))],
    }
}

fn machine_snapshot(idle_at: Option<u64>) -> MachineSnapshot {
    MachineSnapshot {
        machine: "host-000007".into(),
        address: "10.0.1.7:9000".into(),
        worker_epoch: 77,
        reporting: true,
        quarantined: false,
        idle_since_ms: idle_at,
        images: vec![("img-07".into(), 6.25), ("img-08".into(), 1.0)],
    }
}

fn job_failures() -> JobFailureSnapshot {
    JobFailureSnapshot {
        job: 412,
        failures: vec![(0, 2), (7, 1)],
        failed_on: vec!["host-000007".into()],
        successes: 5,
        longest_failure_ms: 9_000,
    }
}

fn replication(records: Vec<ReplicatedRecord>) -> MeshMessage {
    MeshMessage::Replication(ReplicationBatch {
        partition: 2,
        incarnation: 3,
        term: 41,
        after: 50,
        up_to: 60,
        newest: 70,
        tombstones_dropped_up_to: 40,
        sent_at_ms: 123_456,
        records,
    })
}

fn heartbeat(peer_heartbeat_ages: Vec<(String, u64)>) -> MeshMessage {
    MeshMessage::Heartbeat {
        incarnation: 3,
        revision: 900,
        state_contact: true,
        ready: false,
        peer_heartbeat_ages,
    }
}

#[test]
fn frames_keep_their_bytes() {
    let release_machine = |to| MeshMessage::ReleaseMachine {
        machine: "host-000007".into(),
        to,
    };
    let transfer_machines = |shape| MeshMessage::TransferMachines {
        from: 1,
        to: 2,
        count: 3,
        shape,
    };
    let entries = [
        frame(
            "alive",
            heartbeat(vec![("n0".into(), 120), ("n2".into(), 70_000)]),
        ),
        frame("alive_alone", heartbeat(Vec::new())),
        frame("load", MeshMessage::PartitionStatus(partition_status())),
        frame("release_to_partition", release_machine(Some(2))),
        frame("release_to_cloud", release_machine(None)),
        frame("cede", transfer_machines(demand_shape(Priority::High))),
        frame(
            "cede_plain",
            transfer_machines(demand_shape_without_options()),
        ),
        frame(
            "taken",
            MeshMessage::LeaderChanged {
                partition: 2,
                term: 41,
                leader: "n2".into(),
            },
        ),
        frame("gave_up", MeshMessage::LeadershipResigned { partition: 2 }),
        frame(
            "want_home",
            MeshMessage::ReclaimRequest {
                partition: 2,
                lease: 500,
                incarnation: 3,
            },
        ),
        frame(
            "cancelled",
            MeshMessage::JobsCancelled { jobs: vec![7, 412] },
        ),
        frame(
            "progress",
            MeshMessage::JobProgress {
                jobs: vec![(412, 3, 2), (7, 0, 1)],
            },
        ),
        frame(
            "follow",
            MeshMessage::Subscribe {
                partition: 2,
                incarnation: 3,
                term: 41,
                applied: 60,
            },
        ),
        frame("hints_none", replication(Vec::new())),
        frame(
            "hint_machine",
            replication(vec![ReplicatedRecord::Machine(machine_snapshot(Some(
                8_000,
            )))]),
        ),
        frame(
            "hint_machine_busy",
            replication(vec![ReplicatedRecord::Machine(machine_snapshot(None))]),
        ),
        frame(
            "hint_job",
            replication(vec![ReplicatedRecord::Job(job_failures())]),
        ),
        frame(
            "hint_gone_machine",
            replication(vec![ReplicatedRecord::Removed(ReplicationKey::Machine(
                "host-1".into(),
            ))]),
        ),
        frame(
            "hint_gone_job",
            replication(vec![ReplicatedRecord::Removed(ReplicationKey::Job(412))]),
        ),
    ];
    golden::check("mesh.hex", &entries);
}
