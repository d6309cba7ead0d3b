//! The runs whose fingerprints are taken.

use super::Recorder;
use crate::{Boots, Fault, Plan, World};
use controller::AdminRequest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Length of a run of a small site, and when users stop submitting.
const SMALL_MS: u64 = 140_000;
const SMALL_SUBMIT_MS: u64 = 90_000;
/// When a single fault begins, and how long it lasts.
const FAULT_AT_MS: u64 = 40_000;
const FAULT_MS: u64 = 16_000;
/// Pause between two rounds of operators' requests.
const ADMIN_PAUSE_MS: u64 = 20_000;
/// How many times the smallest site a grown one and a fleet are.
const GROWN: u64 = 20;
const FLEET: u64 = 107;
const NODES: usize = 3;
/// Runs with faults that are drawn.
const DRAWN: u64 = 12;

/// Names of the runs of the short list.
const SHORT: [&str; 12] = [
    "quiet_1",
    "crash",
    "freeze",
    "blind",
    "late_writes",
    "late_commands",
    "kept_copies",
    "close_looks",
    "odd_requests",
    "all_end",
    "drawn_1",
    "administration",
];

/// A run with its name.
#[derive(Debug, Clone)]
pub struct Run {
    pub name: String,
    pub plan: Plan,
    /// Whether operators ask meanwhile.
    administration: bool,
}

/// What came of a run.
pub struct Outcome {
    pub recorder: Recorder,
    /// Rules of the world that were broken; a run ends at the first.
    pub broken: usize,
}

impl Run {
    fn new(name: impl Into<String>, plan: Plan) -> Self {
        Run {
            name: name.into(),
            plan,
            administration: false,
        }
    }

    /// The same run with another seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.plan.seed = seed;
        self
    }

    /// Plays the run to its end.
    pub fn play(&self, recorder: Recorder) -> Outcome {
        let mut world = World::new(self.plan.clone());
        world.record_outgoing(recorder);
        if self.administration {
            administer(&mut world, self.plan.ms);
        }
        world.run();
        let recorder = world.take_recorder().unwrap_or_default();
        Outcome {
            recorder,
            broken: world.rules.broken.len(),
        }
    }
}

/// Operators ask every node for every view from time to time, and change the settings.
fn administer(world: &mut World, until_ms: u64) {
    for (round, at_ms) in (ADMIN_PAUSE_MS..until_ms)
        .step_by(ADMIN_PAUSE_MS as usize)
        .enumerate()
    {
        world.run_to(at_ms);
        for node in 0..NODES {
            for request in views(world) {
                world.administer(node, request);
            }
        }
        world.administer(round % NODES, change_of_settings(round));
    }
}

fn views(world: &World) -> Vec<AdminRequest> {
    let mut views = vec![
        AdminRequest::Settings,
        AdminRequest::Partitions,
        AdminRequest::Standby,
        AdminRequest::Machines,
        AdminRequest::Queues,
        AdminRequest::Job("none".into()),
    ];
    let jobs = world
        .unfinished()
        .into_iter()
        .chain(world.rules.done_told.keys().take(2).cloned());
    views.extend(jobs.map(AdminRequest::Job));
    views
}

/// The first change is taken; the others are malformed or stale.
fn change_of_settings(round: usize) -> AdminRequest {
    let settings = match round {
        1 => json!({ "no_such_field": 1 }),
        2 => json!({ "max_backoff_s": 0.0 }),
        _ => json!({ "keep_idle_s": 20.0, "window": 40, "preempt": true }),
    };
    AdminRequest::ChangeSettings {
        version: 0,
        settings,
    }
}

/// All runs.
pub fn all_runs() -> Vec<Run> {
    let mut runs = quiet_runs();
    runs.extend(single_faults());
    runs.extend(several_faults());
    runs.extend(drawn_runs());
    runs.extend(large_sites());
    runs
}

/// A dozen of the runs, which together take some seconds.
pub fn short_runs() -> Vec<Run> {
    all_runs()
        .into_iter()
        .filter(|run| SHORT.contains(&run.name.as_str()))
        .collect()
}

fn small_plan(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        ms: SMALL_MS,
        faults,
        sabotage: None,
        submit_ms: SMALL_SUBMIT_MS,
        size: 1 + seed % 2,
    }
}

fn quiet_runs() -> Vec<Run> {
    let quiet = |seed| Run::new(format!("quiet_{seed}"), small_plan(seed, Vec::new()));
    let crash = Fault::Crash {
        node: 0,
        back: 4_000,
    };
    let administration = Run {
        administration: true,
        ..Run::new("administration", small_plan(5, vec![(50_000, crash)]))
    };
    vec![quiet(1), quiet(2), administration]
}

/// A fault of each kind, once among short and once among long tasks. A node ends while it lasts.
fn single_faults() -> Vec<Run> {
    let kinds = controller_faults()
        .into_iter()
        .chain(machine_faults())
        .chain(user_faults());
    kinds
        .enumerate()
        .flat_map(|(index, (name, fault))| single_fault(index, name, &fault))
        .collect()
}

fn single_fault(index: usize, name: &str, fault: &Fault) -> [Run; 2] {
    let seed = 100 + index as u64;
    let crash = Fault::Crash {
        node: (index + 1) % NODES,
        back: 300,
    };
    let faults = vec![
        (FAULT_AT_MS, fault.clone()),
        (FAULT_AT_MS + 6_000, crash),
        (
            FAULT_AT_MS + 9_000,
            Fault::CancelAll {
                through: index % NODES,
            },
        ),
        (FAULT_AT_MS + 20_000, Fault::Burst { jobs: 8 }),
    ];
    let long = Plan::of_long_tasks(seed, SMALL_MS, faults.clone());
    [
        Run::new(name, small_plan(seed, faults)),
        Run::new(format!("{name}_among_long_tasks"), long),
    ]
}

fn controller_faults() -> Vec<(&'static str, Fault)> {
    let ms = FAULT_MS;
    vec![
        (
            "crash",
            Fault::Crash {
                node: 0,
                back: 6_000,
            },
        ),
        ("crash_at", Fault::CrashAt { node: 0, nth: 9 }),
        ("cut_state", Fault::CutState { node: 1, ms }),
        ("refuse_one", Fault::Refuse { node: Some(2), ms }),
        ("refuse_all", Fault::Refuse { node: None, ms }),
        ("slow_state", Fault::SlowState { times: 30, ms }),
        ("cut_workers", Fault::CutWorkers { node: 0, ms }),
        ("cut_mesh", Fault::CutMesh { node: 1, ms }),
        ("freeze", Fault::Freeze { node: 2, ms }),
        ("freeze_briefly", Fault::Freeze { node: 0, ms: 2_500 }),
        ("isolate", Fault::Isolate { node: 1, ms }),
        (
            "blind",
            Fault::Blind {
                node: 2,
                ms,
                refused: false,
            },
        ),
        (
            "blind_refused",
            Fault::Blind {
                node: 0,
                ms,
                refused: true,
            },
        ),
        ("one_way", Fault::OneWay { from: 0, to: 1, ms }),
        ("mesh_copies", Fault::MeshCopies { percent: 30, ms }),
        ("late_writes", Fault::LateWrites { percent: 20, ms }),
        ("lost_answers", Fault::LostAnswers { percent: 30, ms }),
        (
            "spoil_page",
            Fault::SpoilPage {
                partition: 1,
                ms: 4_000,
            },
        ),
        ("slow_links", Fault::SlowLinks { times: 60, ms }),
        ("cut_zones", Fault::CutZones { ms }),
        ("cut_zone", Fault::CutZone { ms }),
    ]
}

fn machine_faults() -> Vec<(&'static str, Fault)> {
    let ms = FAULT_MS;
    vec![
        ("cut_machine", Fault::CutMachine { nth: 3, ms }),
        ("hang", Fault::Hang { nth: 2, ms }),
        (
            "hang_many",
            Fault::HangMany {
                count: 5,
                ms: 9_000,
            },
        ),
        ("kill", Fault::Kill { nth: 1 }),
        ("kill_many", Fault::KillMany { count: 4 }),
        ("sick", Fault::Sick { nth: 2 }),
        ("sick_many", Fault::SickMany { count: 3 }),
        ("unreached", Fault::Unreached { count: 5, ms }),
        ("unreached_zone", Fault::UnreachedZone { ms }),
        ("mute", Fault::Mute { count: 5, ms }),
        ("copies", Fault::Copies { ms }),
        ("kept_copies", Fault::KeptCopies { percent: 30, ms }),
        ("held_reports", Fault::HeldReports { percent: 40, ms }),
        ("late_commands", Fault::LateCommands { percent: 60, ms }),
        ("cloud_outage", Fault::CloudOutage { ms }),
        (
            "boots_early",
            Fault::Boots {
                how: Boots::Early,
                ms,
            },
        ),
        (
            "boots_late",
            Fault::Boots {
                how: Boots::Late,
                ms,
            },
        ),
        (
            "boots_never",
            Fault::Boots {
                how: Boots::Never,
                ms,
            },
        ),
        (
            "boots_quick",
            Fault::Boots {
                how: Boots::Quick,
                ms,
            },
        ),
    ]
}

fn user_faults() -> Vec<(&'static str, Fault)> {
    let ms = FAULT_MS;
    vec![
        ("mistakes", Fault::Mistakes { ms }),
        ("questions", Fault::Questions { ms }),
        ("guests", Fault::Guests { jobs: 4 }),
        ("heavy", Fault::Heavy { ms }),
        ("burst", Fault::Burst { jobs: 60 }),
        ("long", Fault::Long { times: 10, ms }),
        ("close_looks", Fault::CloseLooks { ms }),
        ("cancel_all", Fault::CancelAll { through: 1 }),
        ("cancel_at_end", Fault::CancelAtEnd { percent: 60, ms }),
        (
            "cancel_now",
            Fault::CancelNow {
                count: 8,
                hang_ms: 9_000,
            },
        ),
        ("odd_requests", Fault::OddRequests { ms }),
        ("one_task_jobs", Fault::OneTaskJobs { ms }),
    ]
}

fn several_faults() -> Vec<Run> {
    let crash = |at, node, back| (at, Fault::Crash { node, back });
    let all_end = (0..NODES).map(|node| crash(45_000, node, 6_000)).collect();
    let rolled = (0..NODES)
        .map(|n| crash(35_000 + 12_000 * n as u64, n, 5_000))
        .collect();
    let loops = (0..16).map(|n| crash(40_000 + 1_700 * n, 1, 200)).collect();
    let freezes = vec![
        (
            30_000,
            Fault::Freeze {
                node: 0,
                ms: 20_000,
            },
        ),
        (36_000, Fault::Freeze { node: 1, ms: 5_000 }),
        (
            70_000,
            Fault::Freeze {
                node: 1,
                ms: 14_000,
            },
        ),
        (
            70_000,
            Fault::Freeze {
                node: 2,
                ms: 12_000,
            },
        ),
    ];
    let histories = vec![
        (1_000, Fault::CloseLooks { ms: 100_000 }),
        (5_000, Fault::OneTaskJobs { ms: 50_000 }),
        (
            20_000,
            Fault::SlowState {
                times: 9,
                ms: 50_000,
            },
        ),
        (40_000, Fault::CancelAll { through: 1 }),
        crash(55_000, 2, 500),
        (60_000, Fault::OddRequests { ms: 20_000 }),
        (
            65_000,
            Fault::LostAnswers {
                percent: 20,
                ms: 20_000,
            },
        ),
    ];
    vec![
        Run::new("all_end", small_plan(201, all_end)),
        Run::new("rolled", small_plan(202, rolled)),
        Run::new("loops", small_plan(203, loops)),
        Run::new("freezes", small_plan(204, freezes)),
        Run::new("histories", small_plan(205, histories)),
    ]
}

/// Faults drawn from a seed that overlap.
fn drawn_runs() -> Vec<Run> {
    let drawn = |number: u64| {
        let seed = 300 + number;
        Run::new(
            format!("drawn_{number}"),
            small_plan(seed, drawn_faults(seed)),
        )
    };
    (1..=DRAWN).map(drawn).collect()
}

fn drawn_faults(seed: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kinds: Vec<Fault> = controller_faults()
        .into_iter()
        .chain(machine_faults())
        .chain(user_faults())
        .map(|(_, fault)| fault)
        .collect();
    let draw = |_| {
        let at = rng.random_range(20_000..90_000);
        let index = rng.random_range(0..kinds.len());
        (at, kinds.swap_remove(index))
    };
    (0..8).map(draw).collect()
}

/// A site of a hundred machines and two of hundreds.
fn large_sites() -> Vec<Run> {
    let plan = |seed, ms, size, faults| Plan {
        seed,
        ms,
        faults,
        sabotage: None,
        submit_ms: 50_000,
        size,
    };
    let grown = vec![
        (1_000, Fault::Burst { jobs: 200 }),
        (
            40_000,
            Fault::Crash {
                node: 1,
                back: 6_000,
            },
        ),
        (55_000, Fault::KillMany { count: 20 }),
        (
            60_000,
            Fault::Refuse {
                node: None,
                ms: 12_000,
            },
        ),
    ];
    let all_end = (0..NODES).map(|node| (46_000, Fault::Crash { node, back: 8_000 }));
    let fleet_all_end: Vec<_> = [(1_000, Fault::Burst { jobs: 900 })]
        .into_iter()
        .chain(all_end)
        .collect();
    let fleet_failover = vec![
        (1_000, Fault::Burst { jobs: 900 }),
        (
            40_000,
            Fault::Crash {
                node: 1,
                back: 4_000,
            },
        ),
        (44_000, Fault::KillMany { count: 100 }),
        (
            46_000,
            Fault::SlowState {
                times: 10,
                ms: 10_000,
            },
        ),
        (50_000, Fault::CancelAll { through: 2 }),
    ];
    vec![
        Run {
            administration: true,
            ..Run::new(
                "grown_administration",
                plan(404, 70_000, GROWN, grown.clone()),
            )
        },
        Run::new("grown", plan(401, 100_000, GROWN, grown)),
        Run::new("fleet_all_end", plan(402, 66_000, FLEET, fleet_all_end)),
        Run::new("fleet_failover", plan(403, 62_000, FLEET, fleet_failover)),
    ]
}
