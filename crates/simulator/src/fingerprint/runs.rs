//! The fixed list of runs whose fingerprints are taken.

use super::Recorder;
use crate::{BootBehavior, Fault, Plan, World};
use controller::AdminRequest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Duration of a run of a small site, and when users stop submitting jobs.
const SMALL_SITE_DURATION_MS: u64 = 140_000;
const SMALL_SITE_SUBMIT_UNTIL_MS: u64 = 90_000;
/// When the fault of a run with a single kind of fault begins, and how long it lasts.
const FAULT_AT_MS: u64 = 40_000;
const FAULT_DURATION_MS: u64 = 16_000;
/// Interval between two rounds of requests of operators.
const ADMIN_INTERVAL_MS: u64 = 20_000;
/// Sizes of a large site and of a fleet, as multiples of the smallest site.
const LARGE_SITE_SIZE: u64 = 20;
const FLEET_SIZE: u64 = 107;
const CONTROLLERS: usize = 3;
/// Number of runs with random faults.
const RANDOM_RUNS: u64 = 12;

/// Names of the runs in the short list.
const SHORT_LIST: [&str; 12] = [
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

/// A run of the list. Its name identifies its stored digest.
#[derive(Debug, Clone)]
pub struct Run {
    pub name: String,
    pub plan: Plan,
    /// Whether operators send requests during the run.
    has_admin_requests: bool,
}

/// The result of a run.
pub struct RunOutcome {
    pub recorder: Recorder,
    /// Number of rule violations; a run ends at the first step that violates a rule.
    pub violations: usize,
}

impl Run {
    fn new(name: impl Into<String>, plan: Plan) -> Self {
        Run {
            name: name.into(),
            plan,
            has_admin_requests: false,
        }
    }

    /// The same run with another seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.plan.seed = seed;
        self
    }

    /// Simulates the run to its end.
    pub fn execute(&self, recorder: Recorder) -> RunOutcome {
        let mut world = World::new(self.plan.clone());
        world.record_outgoing(recorder);
        if self.has_admin_requests {
            run_with_admin_requests(&mut world, self.plan.duration_ms);
        }
        world.run();
        let recorder = world.take_recorder().unwrap_or_default();
        RunOutcome {
            recorder,
            violations: world.rules.violations.len(),
        }
    }
}

/// Runs a world up to the last round of requests before `until_ms`. In each round, operators request every view from
/// every controller and send one of the controllers a change of the settings.
fn run_with_admin_requests(world: &mut World, until_ms: u64) {
    for (round, at_ms) in (ADMIN_INTERVAL_MS..until_ms)
        .step_by(ADMIN_INTERVAL_MS as usize)
        .enumerate()
    {
        world.run_to(at_ms);
        for controller in 0..CONTROLLERS {
            for request in view_requests(world) {
                world.send_admin_request(controller, request);
            }
        }
        world.send_admin_request(round % CONTROLLERS, settings_change(round));
    }
}

fn view_requests(world: &World) -> Vec<AdminRequest> {
    let mut requests = vec![
        AdminRequest::Settings,
        AdminRequest::Partitions,
        AdminRequest::Standby,
        AdminRequest::Machines,
        AdminRequest::Queues,
        AdminRequest::Job("none".into()),
    ];
    let jobs = world
        .unfinished_jobs()
        .into_iter()
        .chain(world.rules.done_confirmed.keys().take(2).cloned());
    requests.extend(jobs.map(AdminRequest::Job));
    requests
}

/// A change of the settings. The first is accepted; the later ones are rejected as invalid or as based on a stale
/// version.
fn settings_change(round: usize) -> AdminRequest {
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

/// All runs, the longest ones last.
pub fn all_runs() -> Vec<Run> {
    let mut runs = fault_free_runs();
    runs.extend(single_fault_runs());
    runs.extend(multiple_fault_runs());
    runs.extend(random_fault_runs());
    runs.extend(large_site_runs());
    runs
}

/// The runs of the short list, which take a few seconds in total.
pub fn short_runs() -> Vec<Run> {
    all_runs()
        .into_iter()
        .filter(|run| SHORT_LIST.contains(&run.name.as_str()))
        .collect()
}

fn small_plan(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        duration_ms: SMALL_SITE_DURATION_MS,
        faults,
        mutation: None,
        submit_until_ms: SMALL_SITE_SUBMIT_UNTIL_MS,
        size: 1 + seed % 2,
    }
}

/// Runs without faults, and one with admin requests and a crash.
fn fault_free_runs() -> Vec<Run> {
    let fault_free = |seed| Run::new(format!("quiet_{seed}"), small_plan(seed, Vec::new()));
    let crash = Fault::CrashController {
        controller: 0,
        restart_after_ms: 4_000,
    };
    let administration = Run {
        has_admin_requests: true,
        ..Run::new("administration", small_plan(5, vec![(50_000, crash)]))
    };
    vec![fault_free(1), fault_free(2), administration]
}

/// Two runs for each kind of fault, one with short and one with long tasks. A controller crashes while the fault lasts.
fn single_fault_runs() -> Vec<Run> {
    let faults = controller_faults()
        .into_iter()
        .chain(machine_faults())
        .chain(user_faults());
    faults
        .enumerate()
        .flat_map(|(index, (name, fault))| runs_with_fault(index, name, &fault))
        .collect()
}

fn runs_with_fault(index: usize, name: &str, fault: &Fault) -> [Run; 2] {
    let seed = 100 + index as u64;
    let crash = Fault::CrashController {
        controller: (index + 1) % CONTROLLERS,
        restart_after_ms: 300,
    };
    let faults = vec![
        (FAULT_AT_MS, fault.clone()),
        (FAULT_AT_MS + 6_000, crash),
        (
            FAULT_AT_MS + 9_000,
            Fault::CancelAllJobs {
                controller: index % CONTROLLERS,
            },
        ),
        (FAULT_AT_MS + 20_000, Fault::JobBurst { jobs: 8 }),
    ];
    let long_tasks = Plan::with_long_tasks(seed, SMALL_SITE_DURATION_MS, faults.clone());
    [
        Run::new(name, small_plan(seed, faults)),
        Run::new(format!("{name}_among_long_tasks"), long_tasks),
    ]
}

fn controller_faults() -> Vec<(&'static str, Fault)> {
    let duration_ms = FAULT_DURATION_MS;
    vec![
        (
            "crash",
            Fault::CrashController {
                controller: 0,
                restart_after_ms: 6_000,
            },
        ),
        (
            "crash_at",
            Fault::CrashBeforeEffect {
                controller: 0,
                nth: 9,
            },
        ),
        (
            "cut_state",
            Fault::DisconnectStateService {
                controller: 1,
                duration_ms,
            },
        ),
        (
            "refuse_one",
            Fault::RefuseStateRequests {
                controller: Some(2),
                duration_ms,
            },
        ),
        (
            "refuse_all",
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms,
            },
        ),
        (
            "slow_state",
            Fault::SlowStateService {
                factor: 30,
                duration_ms,
            },
        ),
        (
            "cut_workers",
            Fault::DisconnectWorkers {
                controller: 0,
                duration_ms,
            },
        ),
        (
            "cut_mesh",
            Fault::DisconnectMesh {
                controller: 1,
                duration_ms,
            },
        ),
        (
            "freeze",
            Fault::PauseController {
                controller: 2,
                duration_ms,
            },
        ),
        (
            "freeze_briefly",
            Fault::PauseController {
                controller: 0,
                duration_ms: 2_500,
            },
        ),
        (
            "isolate",
            Fault::IsolateController {
                controller: 1,
                duration_ms,
            },
        ),
        (
            "blind",
            Fault::DisconnectStateAndMesh {
                controller: 2,
                duration_ms,
                refused: false,
            },
        ),
        (
            "blind_refused",
            Fault::DisconnectStateAndMesh {
                controller: 0,
                duration_ms,
                refused: true,
            },
        ),
        (
            "one_way",
            Fault::OneWayMeshPartition {
                from: 0,
                to: 1,
                duration_ms,
            },
        ),
        (
            "mesh_copies",
            Fault::DuplicateMeshMessages {
                percent: 30,
                duration_ms,
            },
        ),
        (
            "late_writes",
            Fault::DelayTransactions {
                percent: 20,
                duration_ms,
            },
        ),
        (
            "lost_answers",
            Fault::DropTransactionReplies {
                percent: 30,
                duration_ms,
            },
        ),
        (
            "spoil_page",
            Fault::CorruptLogPage {
                partition: 1,
                duration_ms: 4_000,
            },
        ),
        (
            "slow_links",
            Fault::SlowLinks {
                factor: 60,
                duration_ms,
            },
        ),
        ("cut_zones", Fault::PartitionZones { duration_ms }),
        ("cut_zone", Fault::IsolateZone { duration_ms }),
    ]
}

fn machine_faults() -> Vec<(&'static str, Fault)> {
    let duration_ms = FAULT_DURATION_MS;
    vec![
        (
            "cut_machine",
            Fault::DisconnectMachine {
                machine_index: 3,
                duration_ms,
            },
        ),
        (
            "hang",
            Fault::HangMachine {
                machine_index: 2,
                duration_ms,
            },
        ),
        (
            "hang_many",
            Fault::HangMachines {
                count: 5,
                duration_ms: 9_000,
            },
        ),
        ("kill", Fault::CrashMachine { machine_index: 1 }),
        ("kill_many", Fault::CrashMachines { count: 4 }),
        ("sick", Fault::FailTasksOnMachine { machine_index: 2 }),
        ("sick_many", Fault::FailTasksOnMachines { count: 3 }),
        (
            "unreached",
            Fault::DropMessagesToMachines {
                count: 5,
                duration_ms,
            },
        ),
        ("unreached_zone", Fault::DropMessagesToZone { duration_ms }),
        (
            "mute",
            Fault::RefuseMachineConnections {
                count: 5,
                duration_ms,
            },
        ),
        ("copies", Fault::DuplicateMessages { duration_ms }),
        (
            "kept_copies",
            Fault::ReplayHeartbeats {
                percent: 30,
                duration_ms,
            },
        ),
        (
            "held_reports",
            Fault::HoldHeartbeats {
                percent: 40,
                duration_ms,
            },
        ),
        (
            "late_commands",
            Fault::DelayCommands {
                percent: 60,
                duration_ms,
            },
        ),
        ("cloud_outage", Fault::CloudOutage { duration_ms }),
        (
            "boots_early",
            Fault::ChangeBootBehavior {
                behavior: BootBehavior::Early,
                duration_ms,
            },
        ),
        (
            "boots_late",
            Fault::ChangeBootBehavior {
                behavior: BootBehavior::Late,
                duration_ms,
            },
        ),
        (
            "boots_never",
            Fault::ChangeBootBehavior {
                behavior: BootBehavior::Never,
                duration_ms,
            },
        ),
        (
            "boots_quick",
            Fault::ChangeBootBehavior {
                behavior: BootBehavior::Quick,
                duration_ms,
            },
        ),
    ]
}

fn user_faults() -> Vec<(&'static str, Fault)> {
    let duration_ms = FAULT_DURATION_MS;
    vec![
        ("mistakes", Fault::FailingJobs { duration_ms }),
        ("questions", Fault::StatusRequestStorm { duration_ms }),
        ("guests", Fault::GuestJobs { jobs: 4 }),
        ("heavy", Fault::SkewedLoad { duration_ms }),
        ("burst", Fault::JobBurst { jobs: 60 }),
        (
            "long",
            Fault::LongTasks {
                factor: 10,
                duration_ms,
            },
        ),
        ("close_looks", Fault::FollowUpRequests { duration_ms }),
        ("cancel_all", Fault::CancelAllJobs { controller: 1 }),
        (
            "cancel_at_end",
            Fault::CancelAtCompletion {
                percent: 60,
                duration_ms,
            },
        ),
        (
            "cancel_now",
            Fault::CancelRunningJobs {
                count: 8,
                hang_ms: 9_000,
            },
        ),
        ("odd_requests", Fault::UnusualRequests { duration_ms }),
        ("one_task_jobs", Fault::OneTaskJobs { duration_ms }),
    ]
}

/// Runs with several faults, which partly overlap.
fn multiple_fault_runs() -> Vec<Run> {
    let crash = |at_ms, controller, restart_after_ms| {
        (
            at_ms,
            Fault::CrashController {
                controller,
                restart_after_ms,
            },
        )
    };
    let all_crash = (0..CONTROLLERS)
        .map(|controller| crash(45_000, controller, 6_000))
        .collect();
    let rolling_restart = (0..CONTROLLERS)
        .map(|controller| crash(35_000 + 12_000 * controller as u64, controller, 5_000))
        .collect();
    let crash_loop = (0..16)
        .map(|nth| crash(40_000 + 1_700 * nth, 1, 200))
        .collect();
    let pauses = vec![
        (
            30_000,
            Fault::PauseController {
                controller: 0,
                duration_ms: 20_000,
            },
        ),
        (
            36_000,
            Fault::PauseController {
                controller: 1,
                duration_ms: 5_000,
            },
        ),
        (
            70_000,
            Fault::PauseController {
                controller: 1,
                duration_ms: 14_000,
            },
        ),
        (
            70_000,
            Fault::PauseController {
                controller: 2,
                duration_ms: 12_000,
            },
        ),
    ];
    let follow_ups = vec![
        (
            1_000,
            Fault::FollowUpRequests {
                duration_ms: 100_000,
            },
        ),
        (
            5_000,
            Fault::OneTaskJobs {
                duration_ms: 50_000,
            },
        ),
        (
            20_000,
            Fault::SlowStateService {
                factor: 9,
                duration_ms: 50_000,
            },
        ),
        (40_000, Fault::CancelAllJobs { controller: 1 }),
        crash(55_000, 2, 500),
        (
            60_000,
            Fault::UnusualRequests {
                duration_ms: 20_000,
            },
        ),
        (
            65_000,
            Fault::DropTransactionReplies {
                percent: 20,
                duration_ms: 20_000,
            },
        ),
    ];
    vec![
        Run::new("all_end", small_plan(201, all_crash)),
        Run::new("rolled", small_plan(202, rolling_restart)),
        Run::new("loops", small_plan(203, crash_loop)),
        Run::new("freezes", small_plan(204, pauses)),
        Run::new("histories", small_plan(205, follow_ups)),
    ]
}

/// Runs with overlapping random faults.
fn random_fault_runs() -> Vec<Run> {
    let random_run = |number: u64| {
        let seed = 300 + number;
        Run::new(
            format!("drawn_{number}"),
            small_plan(seed, random_faults(seed)),
        )
    };
    (1..=RANDOM_RUNS).map(random_run).collect()
}

/// Eight different faults at random times, drawn from the seed.
fn random_faults(seed: u64) -> Vec<(u64, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut kinds: Vec<Fault> = controller_faults()
        .into_iter()
        .chain(machine_faults())
        .chain(user_faults())
        .map(|(_, fault)| fault)
        .collect();
    let draw = |_| {
        let at_ms = rng.random_range(20_000..90_000);
        let index = rng.random_range(0..kinds.len());
        (at_ms, kinds.swap_remove(index))
    };
    (0..8).map(draw).collect()
}

/// Two runs of a site of a hundred machines, and two of a fleet of hundreds.
fn large_site_runs() -> Vec<Run> {
    let plan = |seed, duration_ms, size, faults| Plan {
        seed,
        duration_ms,
        faults,
        mutation: None,
        submit_until_ms: 50_000,
        size,
    };
    let large_site_faults = vec![
        (1_000, Fault::JobBurst { jobs: 200 }),
        (
            40_000,
            Fault::CrashController {
                controller: 1,
                restart_after_ms: 6_000,
            },
        ),
        (55_000, Fault::CrashMachines { count: 20 }),
        (
            60_000,
            Fault::RefuseStateRequests {
                controller: None,
                duration_ms: 12_000,
            },
        ),
    ];
    let all_crash = (0..CONTROLLERS).map(|controller| {
        (
            46_000,
            Fault::CrashController {
                controller,
                restart_after_ms: 8_000,
            },
        )
    });
    let fleet_all_crash: Vec<_> = [(1_000, Fault::JobBurst { jobs: 900 })]
        .into_iter()
        .chain(all_crash)
        .collect();
    let fleet_failover = vec![
        (1_000, Fault::JobBurst { jobs: 900 }),
        (
            40_000,
            Fault::CrashController {
                controller: 1,
                restart_after_ms: 4_000,
            },
        ),
        (44_000, Fault::CrashMachines { count: 100 }),
        (
            46_000,
            Fault::SlowStateService {
                factor: 10,
                duration_ms: 10_000,
            },
        ),
        (50_000, Fault::CancelAllJobs { controller: 2 }),
    ];
    vec![
        Run {
            has_admin_requests: true,
            ..Run::new(
                "grown_administration",
                plan(404, 70_000, LARGE_SITE_SIZE, large_site_faults.clone()),
            )
        },
        Run::new(
            "grown",
            plan(401, 100_000, LARGE_SITE_SIZE, large_site_faults),
        ),
        Run::new(
            "fleet_all_end",
            plan(402, 66_000, FLEET_SIZE, fleet_all_crash),
        ),
        Run::new(
            "fleet_failover",
            plan(403, 62_000, FLEET_SIZE, fleet_failover),
        ),
    ]
}
