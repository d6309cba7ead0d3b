//! How long failovers take, over many seeds in simulated time.
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
    /// How many times the smallest site: 107 has about 900 machines.
    #[arg(long, default_value_t = 22)]
    size: u64,
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    #[arg(long, default_value_t = 8)]
    threads: usize,
    /// What happens to the leader.
    #[arg(long, value_enum, default_value_t = Case::Ends)]
    case: Case,
    /// One JSON object instead of a table.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Case {
    /// The leader of a partition ends.
    Ends,
    /// It stands still for 15 s.
    StandsStill,
    /// It and the controller that stands by for it end at once.
    TwoEnd,
    /// It ends with a tenth of the machines.
    WithMachines,
}

/// When a failover came to a step.
type Step = fn(&Failover) -> Option<u64>;

/// When the leader ends.
const AT: u64 = 60_000;

fn failovers(seed: u64, size: u64, case: Case) -> (usize, Vec<Failover>, (u64, u64)) {
    let restart_after_ms = 8_000;
    // Work waits when the leader ends, so that the first launch shows when it decides.
    let burst = |at, jobs| {
        (
            at,
            Fault::JobBurst {
                jobs: jobs * size as usize,
            },
        )
    };
    let mut faults = vec![burst(1_000, 8), burst(AT - 6_000, 4)];
    faults.extend(match case {
        Case::Ends => vec![(
            AT,
            Fault::CrashController {
                controller: 1,
                restart_after_ms,
            },
        )],
        Case::StandsStill => vec![(
            AT,
            Fault::PauseController {
                controller: 1,
                duration_ms: 15_000,
            },
        )],
        Case::TwoEnd => {
            vec![
                (
                    AT,
                    Fault::CrashController {
                        controller: 1,
                        restart_after_ms,
                    },
                ),
                (
                    AT,
                    Fault::CrashController {
                        controller: 2,
                        restart_after_ms,
                    },
                ),
            ]
        }
        Case::WithMachines => vec![
            (
                AT,
                Fault::CrashController {
                    controller: 1,
                    restart_after_ms,
                },
            ),
            (
                AT + 1,
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
    world.run_to(AT - 1);
    let machines = world.machines_up();
    world.run();
    assert_eq!(world.rules.violations, [], "seed {seed}");
    let list = world
        .failovers
        .list
        .iter()
        .filter(|t| t.leader_stopped_at >= AT)
        .cloned()
        .collect();
    (machines, list, world.early_failovers())
}

/// Median, 99th percentile and the most, in ms.
fn spread(mut values: Vec<u64>) -> [u64; 3] {
    values.sort_unstable();
    let at = |share: f64| {
        values
            .get(((values.len() as f64 * share) as usize).min(values.len().max(1) - 1))
            .copied()
    };
    [at(0.5), at(0.99), values.last().copied()].map(Option::unwrap_or_default)
}

fn main() {
    let arguments = Arguments::parse();
    let next = AtomicU64::new(1);
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > arguments.seeds {
                    return;
                }
                let run = failovers(seed, arguments.size, arguments.case);
                found.lock().expect("no thread fails").push(run);
            });
        }
    });
    let runs = found.into_inner().expect("no thread fails");
    let machines = runs.iter().map(|r| r.0).sum::<usize>() / runs.len().max(1);
    let early: u64 = runs.iter().map(|r| r.2 .0).sum();
    let wrong: u64 = runs.iter().map(|r| r.2 .1).sum();
    let mut rows = Vec::new();
    for handed in [false, true] {
        let list: Vec<&Failover> = runs
            .iter()
            .flat_map(|r| &r.1)
            .filter(|t| t.transferred == handed)
            .collect();
        let steps: [(&str, Step); 4] = [
            ("taken", |t| t.acquired_at),
            ("first machine told", |t| t.first_contact_at),
            ("last machine told", |t| t.last_contact_at),
            ("first launch", |t| t.first_launch_at),
        ];
        for (step, at) in steps {
            let after = list
                .iter()
                .filter_map(|t| Some(at(t)? - t.leader_stopped_at))
                .collect();
            rows.push((
                if handed { "handed home" } else { "taken over" },
                step,
                list.len(),
                spread(after),
            ));
        }
    }
    if arguments.json {
        let rows: Vec<_> = rows
            .iter()
            .map(|(how, step, count, [p50, p99, most])| {
                json!({ "how": how, "step": step, "takeovers": count,
                        "p50_ms": p50, "p99_ms": p99, "most_ms": most })
            })
            .collect();
        println!(
            "{}",
            json!({ "case": format!("{:?}", arguments.case), "machines": machines,
            "seeds": arguments.seeds, "early": early, "wrong": wrong, "rows": rows })
        );
        return;
    }
    println!(
        "{:?}, {} seeds, {machines} machines, simulated; {early} taken early, {wrong} wrongly",
        arguments.case, arguments.seeds
    );
    println!(
        "{:<12} {:<20} {:>6} {:>8} {:>8} {:>8}",
        "", "ms since the end", "count", "p50", "p99", "most"
    );
    for (how, step, count, [p50, p99, most]) in rows {
        println!("{how:<12} {step:<20} {count:>6} {p50:>8} {p99:>8} {most:>8}");
    }
}
