//! The experiment file and its checks.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;
use wire::users::Priority;

/// Longest experiment.
pub const MAX_DURATION_S: f64 = 1_800.0;
/// Most workers that an experiment may ask for.
pub const MAX_WORKERS: u32 = 30_000;
/// Most classes of jobs.
pub const MAX_CLASSES: usize = 15;
/// CPUs of every hollow machine, see [`simulator::Cloud::new`](simulator::cloud::Cloud::new).
pub const MACHINE_CPUS: f64 = 4.0;

/// An experiment file that cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("experiment file: {0}")]
    Syntax(String),
    #[error("experiment file: field `{field}`: {problem}")]
    Field { field: String, problem: String },
}

/// An experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, used in reports.
    pub name: String,
    /// Seed of everything that is drawn.
    #[serde(default = "one")]
    pub seed: u64,
    /// Length of the run.
    pub duration_s: f64,
    /// Time before the measured window begins.
    pub warmup_s: f64,
    pub controllers: Controllers,
    pub state: State,
    pub cloud: CloudLimits,
    pub workers: Workers,
    pub services: Services,
    /// Classes of arrays that arrive during the run.
    #[serde(default)]
    pub classes: Vec<Class>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn one() -> u64 {
    1
}

/// The controllers and the teams that they serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Controllers {
    pub count: u32,
    pub teams: u32,
    pub zones: Vec<String>,
    /// Log level of the controllers (`LOG_LEVEL`).
    #[serde(default = "error_level")]
    pub log: String,
}

fn error_level() -> String {
    "error".into()
}

/// Allowances of the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    pub requests_per_s: f64,
    pub writes_per_s: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Time that each request takes; watches wait besides.
    pub latency_ms: f64,
}

/// Allowances of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub requests_per_s: f64,
    /// Time that each request takes.
    pub latency_ms: f64,
}

/// The hollow workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Machines that the cloud has, evenly in all zones.
    pub count: u32,
    /// Workers in one process.
    pub per_process: u32,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Services that run from the beginning on and decide how many machines are rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Part of all machines' CPUs that they take.
    pub fill: f64,
    /// Replicas of one job.
    pub replicas: u64,
    /// CPUs of one replica.
    pub cpus: f64,
    /// Jobs submitted each second until all are there.
    pub per_s: f64,
}

/// A class of arrays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub priority: Priority,
    /// Jobs a second, as a Poisson process.
    pub jobs_per_s: f64,
    /// Fewest and most tasks of a job.
    pub tasks: [u64; 2],
    pub cpus: f64,
    /// Run time of a task.
    pub run_s: f64,
    /// Part of the jobs that their users cancel while they run.
    #[serde(default)]
    pub cancelled: f64,
}

/// What goes wrong, at a time from the begin of the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A controller is killed and started again.
    KillController {
        at_s: f64,
        controller: u32,
        down_s: f64,
    },
    /// The state service answers 503.
    StateOutage { at_s: f64, for_s: f64 },
    /// A part of the workers closes its connections and is silent.
    RestartWorkers { at_s: f64, for_s: f64, part: f64 },
    /// The workers of a zone are silent.
    CutZone { at_s: f64, for_s: f64, zone: String },
}

impl Fault {
    /// Begin and end, in seconds from the begin of the run.
    pub fn span_s(&self) -> (f64, f64) {
        match self {
            Fault::KillController { at_s, down_s, .. } => (*at_s, at_s + down_s),
            Fault::StateOutage { at_s, for_s }
            | Fault::RestartWorkers { at_s, for_s, .. }
            | Fault::CutZone { at_s, for_s, .. } => (*at_s, at_s + for_s),
        }
    }

    /// Whether the fault is active at a time of the run.
    pub fn is_active(&self, now_ms: u64) -> bool {
        let (from, to) = self.span_s();
        let now = now_ms as f64 / 1_000.0;
        from <= now && now < to
    }
}

fn bad<T>(field: impl Into<String>, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError::Field {
        field: field.into(),
        problem: problem.into(),
    })
}

/// Sets a field of the file, as `classes.0.run_s=2.0`.
fn set(table: &mut toml::Value, change: &str) -> Result<(), ConfigError> {
    let Some((path, text)) = change.split_once('=') else {
        return bad(change, "is to be set as field=value");
    };
    let mut place = table;
    for part in path.split('.') {
        let next = match place {
            toml::Value::Table(fields) => fields.get_mut(part),
            toml::Value::Array(items) => {
                part.parse::<usize>().ok().and_then(|at| items.get_mut(at))
            }
            _ => None,
        };
        let Some(next) = next else {
            return bad(path, "there is no such field");
        };
        place = next;
    }
    let parsed: Result<toml::Table, _> = toml::from_str(&format!("value = {text}"));
    *place = match parsed {
        Ok(mut parsed) => parsed.remove("value").unwrap_or_else(|| text.into()),
        Err(_) => text.into(),
    };
    Ok(())
}

fn within(field: &str, value: f64, least: f64, most: f64) -> Result<(), ConfigError> {
    if value.is_finite() && (least..=most).contains(&value) {
        return Ok(());
    }
    bad(field, format!("{value} is not between {least} and {most}"))
}

impl Experiment {
    /// Reads and checks an experiment file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_with(text, &[])
    }

    /// The same, with fields set otherwise: each as `workers.count=500`.
    pub fn parse_with(text: &str, changes: &[String]) -> Result<Self, ConfigError> {
        let syntax =
            |e: toml::de::Error| ConfigError::Syntax(e.to_string().trim().replace('\n', " "));
        let mut table: toml::Value = toml::from_str::<toml::Table>(text).map_err(syntax)?.into();
        for change in changes {
            set(&mut table, change)?;
        }
        let experiment: Experiment =
            toml::from_str(&toml::to_string(&table).unwrap_or_default()).map_err(syntax)?;
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.name.is_empty() {
            return bad("name", "must not be empty");
        }
        within("duration_s", self.duration_s, 1.0, MAX_DURATION_S)?;
        within("warmup_s", self.warmup_s, 0.0, self.duration_s - 1.0)?;
        self.check_controllers()?;
        self.check_allowances()?;
        self.check_workers()?;
        within("services.fill", self.services.fill, 0.0, 1.0)?;
        within(
            "services.replicas",
            self.services.replicas as f64,
            1.0,
            100_000.0,
        )?;
        within("services.cpus", self.services.cpus, 0.01, MACHINE_CPUS)?;
        within("services.per_s", self.services.per_s, 0.1, 1_000.0)?;
        self.check_classes()?;
        self.check_faults()
    }

    fn check_controllers(&self) -> Result<(), ConfigError> {
        let controllers = &self.controllers;
        within("controllers.count", f64::from(controllers.count), 1.0, 50.0)?;
        within(
            "controllers.teams",
            f64::from(controllers.teams),
            1.0,
            500.0,
        )?;
        if controllers.zones.is_empty() {
            return bad("controllers.zones", "must name at least one zone");
        }
        let named: BTreeSet<&String> = controllers.zones.iter().collect();
        if named.len() < controllers.zones.len() {
            return bad("controllers.zones", "names a zone twice");
        }
        if !["error", "info", "debug"].contains(&controllers.log.as_str()) {
            return bad("controllers.log", "must be error, info or debug");
        }
        Ok(())
    }

    fn check_allowances(&self) -> Result<(), ConfigError> {
        within("state.requests_per_s", self.state.requests_per_s, 1.0, 1e6)?;
        within("state.writes_per_s", self.state.writes_per_s, 1.0, 1e6)?;
        within("state.value_kb", self.state.value_kb, 1.0, 64.0)?;
        within("state.txn_ops", self.state.txn_ops as f64, 2.0, 128.0)?;
        within("state.latency_ms", self.state.latency_ms, 0.0, 1_000.0)?;
        within("cloud.requests_per_s", self.cloud.requests_per_s, 0.1, 1e6)?;
        within("cloud.latency_ms", self.cloud.latency_ms, 0.0, 3_000.0)
    }

    fn check_workers(&self) -> Result<(), ConfigError> {
        let workers = &self.workers;
        within(
            "workers.count",
            f64::from(workers.count),
            1.0,
            f64::from(MAX_WORKERS),
        )?;
        within(
            "workers.per_process",
            f64::from(workers.per_process),
            1.0,
            10_000.0,
        )?;
        within("workers.report_s", workers.report_s, 0.5, 60.0)?;
        within(
            "workers.lease_s",
            workers.lease_s,
            2.0 * workers.report_s,
            600.0,
        )?;
        within("workers.cancel_s", workers.cancel_s, workers.lease_s, 600.0)
    }

    fn check_classes(&self) -> Result<(), ConfigError> {
        if self.classes.len() > MAX_CLASSES {
            return bad("classes", format!("more than {MAX_CLASSES}"));
        }
        for (at, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{at}].{name}");
            if class.name.is_empty() || self.classes[..at].iter().any(|c| c.name == class.name) {
                return bad(field("name"), "must be there, and not twice");
            }
            within(&field("jobs_per_s"), class.jobs_per_s, 0.001, 1_000.0)?;
            within(&field("tasks[0]"), class.tasks[0] as f64, 1.0, 100_000.0)?;
            within(
                &field("tasks[1]"),
                class.tasks[1] as f64,
                class.tasks[0] as f64,
                100_000.0,
            )?;
            within(&field("cpus"), class.cpus, 0.01, MACHINE_CPUS)?;
            within(&field("run_s"), class.run_s, 0.1, 86_400.0)?;
            within(&field("cancelled"), class.cancelled, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn check_faults(&self) -> Result<(), ConfigError> {
        for (at, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{at}].{name}");
            let (from, to) = fault.span_s();
            within(&field("at_s"), from, 0.0, self.duration_s)?;
            let length = match fault {
                Fault::KillController { .. } => "down_s",
                _ => "for_s",
            };
            within(&field(length), to - from, 0.1, self.duration_s)?;
            match fault {
                Fault::KillController { controller, .. }
                    if *controller >= self.controllers.count =>
                {
                    return bad(field("controller"), "there is no such controller");
                }
                Fault::RestartWorkers { part, .. } => within(&field("part"), *part, 0.0, 1.0)?,
                Fault::CutZone { zone, .. } if !self.controllers.zones.contains(zone) => {
                    return bad(field("zone"), format!("there is no zone `{zone}`"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Processes that hold workers.
    pub fn worker_processes(&self) -> u32 {
        self.workers.count.div_ceil(self.workers.per_process)
    }
}
