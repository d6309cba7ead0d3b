//! What each kind of event costs the deciding code as the fleet grows: a share of this many machines, full of
//! tasks, with a tenth as much work waiting.
//!
//! `cargo bench -p simulator` (`-- tick` for one kind). Only the time inside `Controller::handle` and its
//! like is measured, not that of the stand-ins.

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

const SIZES: [usize; 4] = [300, 1_000, 3_000, 10_000];

/// One turn of a measurement and what it cost.
type Each = Box<dyn FnMut(&mut SingleController, u64) -> Duration>;

/// A controller: ticks, heartbeats, failovers.
fn controller(c: &mut Criterion) {
    let mut group = c.benchmark_group("node");
    group.sample_size(10);
    for size in SIZES {
        let made: RefCell<Option<SingleController>> = RefCell::new(None);
        let single_controller = |iters: u64, mut each: Each| {
            let mut made = made.borrow_mut();
            let single_controller = made.get_or_insert_with(|| {
                let mut single_controller = SingleController::new(size);
                single_controller.fill();
                single_controller
            });
            (0..iters)
                .map(|n| each(single_controller, n))
                .sum::<Duration>()
        };
        group.bench_function(BenchmarkId::new("tick", size), |b| {
            b.iter_custom(|iters| {
                single_controller(
                    iters,
                    Box::new(|single_controller, _| single_controller.tick(7)),
                )
            });
        });
        group.bench_function(BenchmarkId::new("report", size), |b| {
            b.iter_custom(|iters| {
                single_controller(
                    iters,
                    Box::new(move |single_controller, n| {
                        single_controller.send_heartbeat(n as usize * 7 % size)
                    }),
                )
            });
        });
        group.bench_function(BenchmarkId::new("report_done", size), |b| {
            b.iter_custom(|iters| {
                single_controller(
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
                single_controller(
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
        Err(error) => panic!("a job of the bench: {error}"),
    }
}

/// A share with idle machines that have just reported.
fn share(size: usize) -> PartitionState {
    let amounts = Resources::offered(1e6, 0.0, 0.0);
    let teams = [(TeamName::from("t"), Resources::default(), amounts)];
    // Time goes on by seconds here without another heartbeat.
    let policy = Policy {
        heartbeat_grace: Duration::from_millis(u64::MAX / 2),
        ..Policy::default()
    };
    let mut share = PartitionState::new(
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
        share.add_machine(machine, Timestamp::from_millis(0));
        share.reconcile(
            &worker.next_heartbeat(),
            StatusSource::Heartbeat,
            Timestamp::from_millis(1),
        );
    }
    share
}

/// Standing by: what a look at its hints costs a leader when nothing has changed, the whole copy for a new
/// follower on both sides, and what a share makes of it.
fn standing_by(c: &mut Criterion) {
    let mut group = c.benchmark_group("standby");
    group.sample_size(10);
    let (leader, replica) = (ControllerName::from("n0"), ControllerName::from("n1"));
    let source = ReplicationSource {
        leader: leader.clone(),
        incarnation: 1,
        term: 5,
    };
    let part = ReplicationBatch {
        incarnation: 1,
        term: 5,
        ..ReplicationBatch::default()
    };
    for size in SIZES {
        let mut share = share(size);
        let mut stream = ReplicationStream::default();
        stream.update(share.replication_records(Timestamp::from_millis(2)));
        stream.subscribe(&replica, 0, Timestamp::from_millis(2));
        group.bench_function(BenchmarkId::new("look", size), |b| {
            b.iter(|| {
                stream.update(share.replication_records(Timestamp::from_millis(2)));
                stream.due_batches(&part, Timestamp::from_millis(2)).len()
            });
        });
        let mut clock = 10_000;
        let mut whole = |stream: &mut ReplicationStream| {
            stream.subscribe(&replica, 0, Timestamp::from_millis(clock));
            let mut parts: Vec<ReplicationBatch> = Vec::new();
            while parts.last().is_none_or(|part| part.up_to < part.newest) {
                clock += 1_000;
                parts.extend(
                    stream
                        .due_batches(&part, Timestamp::from_millis(clock))
                        .into_iter()
                        .map(|(_, part)| part),
                );
            }
            parts
        };
        group.bench_function(BenchmarkId::new("whole_sent", size), |b| {
            b.iter(|| whole(&mut stream).len());
        });
        let parts = whole(&mut stream);
        let wanted = BTreeMap::from([(PartitionId(0), source.clone())]);
        let follow = || {
            let mut replicas = Replicas::default();
            replicas.subscribe(&wanted, Timestamp::from_millis(4));
            for part in &parts {
                replicas.apply(&leader, part.clone(), Timestamp::from_millis(4));
            }
            replicas
        };
        group.bench_function(BenchmarkId::new("whole_taken", size), |b| b.iter(follow));
        let Some(replica) = follow().remove(PartitionId(0)) else {
            continue;
        };
        group.bench_function(BenchmarkId::new("used", size), |b| {
            b.iter(|| {
                for machine in replica.machines.values() {
                    share.apply_machine_snapshot(&machine.snapshot, machine.idle_since);
                }
            });
        });
    }
    group.finish();
}

/// A scheduling cycle that places one task where everything is free, and one that finds no place
/// where everything is taken.
fn cycles(c: &mut Criterion) {
    let mut group = c.benchmark_group("cycle");
    group.sample_size(10);
    for size in SIZES {
        let mut time = 2;
        let mut id = 1;
        let mut empty = share(size);
        let mut one = |share: &mut PartitionState, cpus: f64| {
            (time, id) = (time + 2_000, id + 1);
            let now = Timestamp::from_millis(time);
            share.add_job(spec(id, 1, cpus), id, &[], now);
            let start = Instant::now();
            share.run_cycles(now, 10);
            let spent = start.elapsed();
            share.remove_job(model::JobId(id), now);
            share.take_dirty_chunks();
            spent
        };
        group.bench_function(BenchmarkId::new("placed", size), |b| {
            b.iter_custom(|iters| (0..iters).map(|_| one(&mut empty, 1.0)).sum());
        });
        let mut full = share(size);
        full.add_job(spec(1, size as u64, 4.0), 1, &[], Timestamp::from_millis(2));
        while full.run_cycles(Timestamp::from_millis(2), 10_000) {}
        group.bench_function(BenchmarkId::new("no_room", size), |b| {
            b.iter_custom(|iters| (0..iters).map(|_| one(&mut full, 1.0)).sum());
        });
    }
    group.finish();
}

/// A plan of the leader: full machines in three partitions, some idle, three shapes of work each.
fn plans(c: &mut Criterion) {
    let mut group = c.benchmark_group("plan");
    group.sample_size(10);
    for size in SIZES {
        let machines: Vec<FleetMachine> = (0..size)
            .map(|nth| (nth, single_controller::worker(nth)))
            .map(|(nth, worker)| FleetMachine {
                name: MachineName::from(worker.name.as_str()),
                machine_type: worker.machine_type,
                zone: ZoneName::from(worker.zone.as_str()),
                spot: worker.spot,
                partition: PartitionId(nth as u32 % 3),
                reporting: nth % 20 != 1,
                tasks: u32::from(nth % 20 != 0) * 4,
                idle_for: Duration::from_millis(if nth % 20 == 0 { 5_000 } else { 0 }),
                quarantined: false,
                leaving: false,
                age: Duration::from_secs(100),
                observable_for: Duration::from_secs(10),
                since_heartbeat: Duration::ZERO,
                failed: false,
                status_is_recent: true,
                transferable: nth % 4 == 0,
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

criterion_group!(benches, cycles, plans, controller, standing_by);
criterion_main!(benches);
