//! The frames of a site of 8,000 machines, all of them in one partition, are no larger than peers read.

use wire::mesh::{
    DemandShape, Frame, MachineStatus, MeshMessage, PartitionStatus, MAX_FRAME_BYTES, MESH_VERSION,
};
use wire::users::Priority;

/// Twice the machines of the largest site.
const MACHINES: usize = 8_000;
/// The longest name of a machine that a report may have.
const LONGEST_NAME: usize = 255;
const SHAPES: u64 = 200;
const JOBS_PER_MACHINE: usize = 4;
const ONE_DAY_MS: u64 = 86_400_000;

fn frame_bytes(message: MeshMessage) -> usize {
    let frame = Frame {
        version: MESH_VERSION,
        from: "n".repeat(LONGEST_NAME),
        message,
    };
    rmp_serde::to_vec(&frame).expect("a frame").len()
}

fn machine(number: usize, name_length: usize) -> MachineStatus {
    MachineStatus {
        machine: format!("{number:0name_length$}"),
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

fn load(machines: usize, name_length: usize) -> MeshMessage {
    MeshMessage::PartitionStatus(PartitionStatus {
        partition: 70_000,
        term: u64::MAX,
        demand: (0..SHAPES).map(shape).collect(),
        machines: (0..machines)
            .map(|number| machine(number, name_length))
            .collect(),
    })
}

#[test]
fn the_load_of_a_large_partition_fits_a_frame() {
    for (machines, name_length) in [(4_000, 11), (4_000, 63), (MACHINES, 11), (MACHINES, 63)] {
        let bytes = frame_bytes(load(machines, name_length));
        println!("{machines} machines with names of {name_length}: {bytes} bytes");
    }
    let bytes = frame_bytes(load(MACHINES, LONGEST_NAME));
    println!("{MACHINES} machines with names of {LONGEST_NAME}: {bytes} bytes");
    assert!(
        bytes <= MAX_FRAME_BYTES,
        "{bytes} bytes, {MAX_FRAME_BYTES} are read"
    );
}

#[test]
fn the_progress_of_all_jobs_of_a_large_site_fits_a_frame() {
    let jobs = vec![(u64::MAX, 100_000, 100_000); MACHINES * JOBS_PER_MACHINE];
    let bytes = frame_bytes(MeshMessage::JobProgress { jobs });
    println!("{} jobs: {bytes} bytes", MACHINES * JOBS_PER_MACHINE);
    assert!(
        bytes <= MAX_FRAME_BYTES,
        "{bytes} bytes, {MAX_FRAME_BYTES} are read"
    );
}
