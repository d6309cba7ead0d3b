//! Measures how long failovers take in simulated time, over many seeds.
//!
//! `cargo run --release -p simulator --example failovers -- --size 107 --seeds 50`

use clap::Parser;
use serde_json::json;
use simulator::{Failover, Fault, Plan, World};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Measures failovers in the simulated world.
#[derive(Parser)]
struct Arguments {
    /// Size of the site as a multiple of the smallest one: size 107 has about 900 machines.
    #[arg(long, default_value_t = 22)]
    size: u64,
    /// Number of runs; their seeds are 1 to this.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Number of runs that are simulated at the same time.
    #[arg(long, default_value_t = 8)]
    threads: usize,
    /// What happens to the leader of a partition.
    #[arg(long, value_enum, default_value_t = Case::Ends)]
    case: Case,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

/// The names of the cases are the values of `--case` and stand in the output.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Case {
    /// The leader crashes.
    Ends,
    /// The leader is paused for 15 s.
    StandsStill,
    /// The leader and its standby crash at the same time.
    TwoEnd,
    /// The leader crashes, and right after it about a tenth of the machines.
    WithMachines,
}

/// Reads from a failover when it reached a step.
type StepTime = fn(&Failover) -> Option<u64>;

/// When the leader crashes or is paused, in ms.
const LEADER_STOP_AT_MS: u64 = 60_000;

/// Simulates one run. Returns the number of machines that are up just before the leader stops, all failovers from then
/// on, and how many failovers began before lease expiry and how many of these had a live leader.
fn failovers(seed: u64, size: u64, case: Case) -> (usize, Vec<Failover>, (u64, u64)) {
    let restart_after_ms = 8_000;
    // Jobs are waiting when the leader stops, so that its successor launches a task as soon as it can.
    let burst = |at_ms, jobs| {
        (
            at_ms,
            Fault::JobBurst {
                jobs: jobs * size as usize,
            },
        )
    };
    let mut faults = vec![burst(1_000, 8), burst(LEADER_STOP_AT_MS - 6_000, 4)];
    faults.extend(match case {
        Case::Ends => vec![(
            LEADER_STOP_AT_MS,
            Fault::CrashController {
                controller: 1,
                restart_after_ms,
            },
        )],
        Case::StandsStill => vec![(
            LEADER_STOP_AT_MS,
            Fault::PauseController {
                controller: 1,
                duration_ms: 15_000,
            },
        )],
        Case::TwoEnd => {
            vec![
                (
                    LEADER_STOP_AT_MS,
                    Fault::CrashController {
                        controller: 1,
                        restart_after_ms,
                    },
                ),
                (
                    LEADER_STOP_AT_MS,
                    Fault::CrashController {
                        controller: 2,
                        restart_after_ms,
                    },
                ),
            ]
        }
        Case::WithMachines => vec![
            (
                LEADER_STOP_AT_MS,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms,
                },
            ),
            (
                LEADER_STOP_AT_MS + 1,
                Fault::CrashMachines {
                    count: size as usize,
                },
            ),
        ],
    });
    let plan = Plan {
        seed,
        duration_ms: 85_000,
        faults,
        mutation: None,
        submit_until_ms: 85_000,
        size,
    };
    let mut world = World::new(plan);
    world.run_to(LEADER_STOP_AT_MS - 1);
    let machines = world.machines_up();
    world.run();
    assert_eq!(world.rules.violations, [], "seed {seed}");
    let list = world
        .failovers
        .list
        .iter()
        .filter(|failover| failover.leader_stopped_at >= LEADER_STOP_AT_MS)
        .cloned()
        .collect();
    (machines, list, world.early_failovers())
}

/// Median, 99th percentile and maximum.
fn percentiles(mut values: Vec<u64>) -> [u64; 3] {
    values.sort_unstable();
    let percentile = |fraction: f64| {
        values
            .get(((values.len() as f64 * fraction) as usize).min(values.len().max(1) - 1))
            .copied()
    };
    [percentile(0.5), percentile(0.99), values.last().copied()].map(Option::unwrap_or_default)
}

fn main() {
    let arguments = Arguments::parse();
    let next_seed = AtomicU64::new(1);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed > arguments.seeds {
                    return;
                }
                let run = failovers(seed, arguments.size, arguments.case);
                results.lock().expect("no thread panics").push(run);
            });
        }
    });
    let runs = results.into_inner().expect("no thread panics");
    let mean_machines =
        runs.iter().map(|(machines, ..)| machines).sum::<usize>() / runs.len().max(1);
    let early: u64 = runs.iter().map(|(_, _, (early, _))| early).sum();
    let with_live_leader: u64 = runs.iter().map(|(_, _, (_, live))| live).sum();
    let mut rows = Vec::new();
    for transferred in [false, true] {
        let list: Vec<&Failover> = runs
            .iter()
            .flat_map(|(_, failovers, _)| failovers)
            .filter(|failover| failover.transferred == transferred)
            .collect();
        // The names of the steps and rows are values in the JSON output.
        let steps: [(&str, StepTime); 4] = [
            ("taken", |failover| failover.acquired_at),
            ("first machine told", |failover| failover.first_contact_at),
            ("last machine told", |failover| failover.last_contact_at),
            ("first launch", |failover| failover.first_launch_at),
        ];
        for (step, step_time) in steps {
            let durations_ms = list
                .iter()
                .filter_map(|failover| Some(step_time(failover)? - failover.leader_stopped_at))
                .collect();
            rows.push((
                if transferred {
                    "handed home"
                } else {
                    "taken over"
                },
                step,
                list.len(),
                percentiles(durations_ms),
            ));
        }
    }
    if arguments.json {
        let rows: Vec<_> = rows
            .iter()
            .map(|(how, step, count, [p50, p99, max])| {
                json!({ "how": how, "step": step, "takeovers": count,
                        "p50_ms": p50, "p99_ms": p99, "most_ms": max })
            })
            .collect();
        println!(
            "{}",
            json!({ "case": format!("{:?}", arguments.case), "machines": mean_machines,
            "seeds": arguments.seeds, "early": early, "wrong": with_live_leader, "rows": rows })
        );
        return;
    }
    println!(
        "{:?}, {} seeds, {mean_machines} machines, simulated; \
         {early} failovers before lease expiry, {with_live_leader} of them with a live leader",
        arguments.case, arguments.seeds
    );
    println!(
        "{:<12} {:<20} {:>6} {:>8} {:>8} {:>8}",
        "", "ms since leader stop", "count", "p50", "p99", "max"
    );
    for (how, step, count, [p50, p99, max]) in rows {
        println!("{how:<12} {step:<20} {count:>6} {p50:>8} {p99:>8} {max:>8}");
    }
}
