//! Mesh frames of a site of 8,000 machines, all in one partition, do not exceed the maximum frame size.

use wire::mesh::{
    DemandShape, Frame, MachineStatus, MeshMessage, PartitionStatus, MAX_FRAME_BYTES, MESH_VERSION,
};
use wire::users::Priority;

/// Twice the number of machines of the largest site.
const MACHINES: usize = 8_000;
/// Maximum length of a machine's name in a heartbeat, in bytes.
const MAX_NAME_BYTES: usize = 255;
const DEMAND_SHAPES: u64 = 200;
const JOBS_PER_MACHINE: usize = 4;
const ONE_DAY_MS: u64 = 86_400_000;

fn frame_bytes(message: MeshMessage) -> usize {
    let frame = Frame {
        version: MESH_VERSION,
        from: "n".repeat(MAX_NAME_BYTES),
        message,
    };
    rmp_serde::to_vec(&frame).expect("encode frame").len()
}

fn machine_status(number: usize, name_bytes: usize) -> MachineStatus {
    MachineStatus {
        machine: format!("{number:0name_bytes$}"),
        task_count: 1_000,
        idle_ms: 50 * ONE_DAY_MS,
        reporting: true,
        quarantined: false,
        since_heartbeat_ms: 50 * ONE_DAY_MS,
        transferable: true,
        best_effort: true,
        transfer_to: Some(70_000),
    }
}

fn shape(number: u64) -> DemandShape {
    DemandShape {
        milli_cpus: 1_000_000 + number,
        milli_gpus: 1_000_000,
        memory_mb: 10_000_000,
        allowed_machine_types: Some(
            (0..8)
                .map(|number| format!("machine-type-{number:08}"))
                .collect(),
        ),
        zone: Some("z".repeat(64)),
        spot_allowed: true,
        task_count: 10_000_000_000,
        urgent_count: 10_000_000_000,
        estimated_run_time_ms: 50 * ONE_DAY_MS,
        priority: Priority::Normal,
        gang_size: 10_000_000_000,
    }
}

fn partition_status(machines: usize, name_bytes: usize) -> MeshMessage {
    MeshMessage::PartitionStatus(PartitionStatus {
        partition: 70_000,
        term: u64::MAX,
        demand: (0..DEMAND_SHAPES).map(shape).collect(),
        machines: (0..machines)
            .map(|number| machine_status(number, name_bytes))
            .collect(),
    })
}

#[test]
fn status_of_large_partition_fits_into_frame() {
    for (machines, name_bytes) in [(4_000, 11), (4_000, 63), (MACHINES, 11), (MACHINES, 63)] {
        let bytes = frame_bytes(partition_status(machines, name_bytes));
        println!("{machines} machines with names of {name_bytes} bytes: frame of {bytes} bytes");
    }
    let bytes = frame_bytes(partition_status(MACHINES, MAX_NAME_BYTES));
    println!("{MACHINES} machines with names of {MAX_NAME_BYTES} bytes: frame of {bytes} bytes");
    assert!(
        bytes <= MAX_FRAME_BYTES,
        "frame of {bytes} bytes exceeds {MAX_FRAME_BYTES} bytes"
    );
}

#[test]
fn progress_of_all_jobs_of_large_site_fits_into_frame() {
    let jobs = vec![(u64::MAX, 100_000, 100_000); MACHINES * JOBS_PER_MACHINE];
    let bytes = frame_bytes(MeshMessage::JobProgress { jobs });
    println!(
        "{} jobs: frame of {bytes} bytes",
        MACHINES * JOBS_PER_MACHINE
    );
    assert!(
        bytes <= MAX_FRAME_BYTES,
        "frame of {bytes} bytes exceeds {MAX_FRAME_BYTES} bytes"
    );
}
