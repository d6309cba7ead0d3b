//! Benchmarks of the cost of each kind of event as the fleet grows: a controller leads a partition with this many
//! machines, all full of tasks, and a tenth as many tasks wait.
//!
//! `cargo bench -p simulator` (`-- tick` for one kind). Only the time inside the benchmarked code, such as
//! `Controller::handle`, is measured, not that of the simulated services.

use autoscaler::{FleetMachine, FleetPolicy, PartitionNeed};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use failover::{Replicas, ReplicationSource, ReplicationStream};
use model::{
    ControllerName, FencingToken, JobSpec, MachineName, PartitionId, Resources, TeamName,
    Timestamp, ZoneName,
};
use scheduler::{Machine, PartitionState, Policy, StatusSource};
use scheduling_queue::QueueConfig;
use simulator::{single_controller, SingleController};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use wire::mesh::{DemandShape, ReplicationBatch};
use wire::users::{JobKind, JobRequest, Priority};

/// Numbers of machines.
const SIZES: [usize; 4] = [300, 1_000, 3_000, 10_000];

/// One iteration of a measurement: gets the number of the iteration, returns the time spent in the controller.
type Iteration = Box<dyn FnMut(&mut SingleController, u64) -> Duration>;

/// A controller handles ticks, heartbeats and failovers.
fn controller_events(c: &mut Criterion) {
    let mut group = c.benchmark_group("node");
    group.sample_size(10);
    for size in SIZES {
        // Created by the first of these benchmarks that runs, and shared by all of them.
        let shared: RefCell<Option<SingleController>> = RefCell::new(None);
        let measure = |iters: u64, mut iteration: Iteration| {
            let mut shared = shared.borrow_mut();
            let single_controller = shared.get_or_insert_with(|| {
                let mut single_controller = SingleController::new(size);
                single_controller.fill();
                single_controller
            });
            (0..iters)
                .map(|n| iteration(single_controller, n))
                .sum::<Duration>()
        };
        group.bench_function(BenchmarkId::new("tick", size), |b| {
            b.iter_custom(|iters| {
                measure(
                    iters,
                    Box::new(|single_controller, _| single_controller.tick(7)),
                )
            });
        });
        group.bench_function(BenchmarkId::new("report", size), |b| {
            b.iter_custom(|iters| {
                measure(
                    iters,
                    Box::new(move |single_controller, n| {
                        single_controller.send_heartbeat(n as usize * 7 % size)
                    }),
                )
            });
        });
        group.bench_function(BenchmarkId::new("report_done", size), |b| {
            b.iter_custom(|iters| {
                measure(
                    iters,
                    Box::new(move |single_controller, n| {
                        let cost = single_controller.complete_array_task(n as usize * 13 % size);
                        if n.is_multiple_of(10) {
                            single_controller.tick(70);
                        }
                        cost
                    }),
                )
            });
        });
        group.bench_function(BenchmarkId::new("takeover", size), |b| {
            b.iter_custom(|iters| {
                measure(
                    iters,
                    Box::new(|single_controller, _| single_controller.fail_over()),
                )
            });
        });
    }
    group.finish();
}

fn spec(id: u64, tasks: u64, cpus: f64) -> JobSpec {
    let request = JobRequest {
        team: "t".into(),
        cpus,
        ..single_controller::job(id, JobKind::Array, tasks)
    };
    match JobSpec::try_from(&request) {
        Ok(spec) => spec,
        Err(error) => panic!("a job of the benchmark is invalid: {error}"),
    }
}

/// A partition with idle machines that have just sent a heartbeat.
fn partition_with_idle_machines(size: usize) -> PartitionState {
    let limit = Resources::offered(1e6, 0.0, 0.0);
    let teams = [(TeamName::from("t"), Resources::default(), limit)];
    // The benchmarks advance the time by seconds without further heartbeats.
    let policy = Policy {
        heartbeat_grace: Duration::from_millis(u64::MAX / 2),
        ..Policy::default()
    };
    let mut partition = PartitionState::new(
        teams,
        Duration::from_secs(600),
        policy,
        QueueConfig::default(),
        FencingToken(5),
    );
    for mut worker in (0..size).map(single_controller::worker) {
        let name = MachineName::from(worker.name.as_str());
        let zone = ZoneName::from(worker.zone.as_str());
        let machine = Machine::new(
            name,
            &single_controller::machine_type(),
            zone,
            worker.spot,
            FencingToken(5),
        );
        partition.add_machine(machine, Timestamp::from_millis(0));
        partition.reconcile(
            &worker.next_heartbeat(),
            StatusSource::Heartbeat,
            Timestamp::from_millis(1),
        );
    }
    partition
}

/// Replication to a standby: an update of the leader's stream when nothing has changed, sending and applying the full
/// copy for a new standby, and applying a replica's machines to the state of a partition at a failover.
fn replication(c: &mut Criterion) {
    let mut group = c.benchmark_group("standby");
    group.sample_size(10);
    let (leader, standby) = (ControllerName::from("n0"), ControllerName::from("n1"));
    let source = ReplicationSource {
        leader: leader.clone(),
        incarnation: 1,
        term: 5,
    };
    let template = ReplicationBatch {
        incarnation: 1,
        term: 5,
        ..ReplicationBatch::default()
    };
    for size in SIZES {
        let mut partition = partition_with_idle_machines(size);
        let mut stream = ReplicationStream::default();
        stream.update(partition.replication_records(Timestamp::from_millis(2)));
        stream.subscribe(&standby, 0, Timestamp::from_millis(2));
        group.bench_function(BenchmarkId::new("look", size), |b| {
            b.iter(|| {
                stream.update(partition.replication_records(Timestamp::from_millis(2)));
                stream
                    .due_batches(&template, Timestamp::from_millis(2))
                    .len()
            });
        });
        let mut now_ms = 10_000;
        let mut send_full_copy = |stream: &mut ReplicationStream| {
            stream.subscribe(&standby, 0, Timestamp::from_millis(now_ms));
            let mut batches: Vec<ReplicationBatch> = Vec::new();
            while batches
                .last()
                .is_none_or(|batch| batch.up_to < batch.newest)
            {
                now_ms += 1_000;
                batches.extend(
                    stream
                        .due_batches(&template, Timestamp::from_millis(now_ms))
                        .into_iter()
                        .map(|(_, batch)| batch),
                );
            }
            batches
        };
        group.bench_function(BenchmarkId::new("whole_sent", size), |b| {
            b.iter(|| send_full_copy(&mut stream).len());
        });
        let batches = send_full_copy(&mut stream);
        let sources = BTreeMap::from([(PartitionId(0), source.clone())]);
        let apply_full_copy = || {
            let mut replicas = Replicas::default();
            replicas.subscribe(&sources, Timestamp::from_millis(4));
            for batch in &batches {
                replicas.apply(&leader, batch.clone(), Timestamp::from_millis(4));
            }
            replicas
        };
        group.bench_function(BenchmarkId::new("whole_taken", size), |b| {
            b.iter(apply_full_copy)
        });
        let Some(replica) = apply_full_copy().remove(PartitionId(0)) else {
            continue;
        };
        group.bench_function(BenchmarkId::new("used", size), |b| {
            b.iter(|| {
                for machine in replica.machines.values() {
                    partition.apply_machine_snapshot(&machine.snapshot, machine.idle_since);
                }
            });
        });
    }
    group.finish();
}

/// A scheduling cycle that places one task while all machines are free, and one that finds no free capacity since all
/// machines are full.
fn scheduling_cycles(c: &mut Criterion) {
    let mut group = c.benchmark_group("cycle");
    group.sample_size(10);
    for size in SIZES {
        let mut now_ms = 2;
        let mut id = 1;
        let mut empty = partition_with_idle_machines(size);
        let mut schedule_one_task = |partition: &mut PartitionState, cpus: f64| {
            (now_ms, id) = (now_ms + 2_000, id + 1);
            let now = Timestamp::from_millis(now_ms);
            partition.add_job(spec(id, 1, cpus), id, &[], now);
            let start = Instant::now();
            partition.run_cycles(now, 10);
            let spent = start.elapsed();
            partition.remove_job(model::JobId(id), now);
            partition.take_dirty_chunks();
            spent
        };
        group.bench_function(BenchmarkId::new("placed", size), |b| {
            b.iter_custom(|iters| (0..iters).map(|_| schedule_one_task(&mut empty, 1.0)).sum());
        });
        let mut full = partition_with_idle_machines(size);
        full.add_job(spec(1, size as u64, 4.0), 1, &[], Timestamp::from_millis(2));
        while full.run_cycles(Timestamp::from_millis(2), 10_000) {}
        group.bench_function(BenchmarkId::new("no_room", size), |b| {
            b.iter_custom(|iters| (0..iters).map(|_| schedule_one_task(&mut full, 1.0)).sum());
        });
    }
    group.finish();
}

/// A fleet plan for three partitions: most machines are full, some are idle, and each partition has demand of three
/// shapes.
fn fleet_plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    for size in SIZES {
        let machines: Vec<FleetMachine> = (0..size)
            .map(|index| (index, single_controller::worker(index)))
            .map(|(index, worker)| FleetMachine {
                name: MachineName::from(worker.name.as_str()),
                machine_type: worker.machine_type,
                zone: ZoneName::from(worker.zone.as_str()),
                spot: worker.spot,
                partition: PartitionId(index as u32 % 3),
                reporting: index % 20 != 1,
                tasks: u32::from(index % 20 != 0) * 4,
                idle_for: Duration::from_millis(if index % 20 == 0 { 5_000 } else { 0 }),
                quarantined: false,
                leaving: false,
                age: Duration::from_secs(100),
                observable_for: Duration::from_secs(10),
                since_heartbeat: Duration::ZERO,
                failed: false,
                status_is_recent: true,
                transferable: index % 4 == 0,
                best_effort: false,
                transfer_to: None,
            })
            .collect();
        let shape = |n: usize| DemandShape {
            milli_cpus: 1_000 + n as u64 * 500,
            milli_gpus: 0,
            memory_mb: 2_000,
            allowed_machine_types: None,
            zone: None,
            spot_allowed: n.is_multiple_of(2),
            task_count: size as u64 / 10,
            urgent_count: size as u64 / 40,
            estimated_run_time_ms: 20_000,
            priority: Priority::Normal,
            gang_size: 0,
        };
        let needs: Vec<PartitionNeed> = (0..3)
            .map(|partition| PartitionNeed {
                partition: PartitionId(partition),
                preferred_zone: ZoneName::from("a"),
                demand: (0..3).map(shape).collect(),
            })
            .collect();
        let policy = FleetPolicy::default();
        group.bench_function(BenchmarkId::new("made", size), |b| {
            b.iter(|| {
                autoscaler::plan(
                    &policy,
                    &[single_controller::machine_type()],
                    &machines,
                    &needs,
                    &HashMap::new(),
                )
            });
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    scheduling_cycles,
    fleet_plans,
    controller_events,
    replication
);
criterion_main!(benches);
