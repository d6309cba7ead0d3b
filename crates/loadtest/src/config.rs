//! The experiment file (TOML) and its validation.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;
use wire::users::Priority;

/// Longest experiment that is accepted.
pub const MAX_DURATION_S: f64 = 1_800.0;
/// Most workers in one experiment.
pub const MAX_WORKERS: u32 = 30_000;
/// Most job classes in one experiment.
pub const MAX_CLASSES: usize = 15;
/// CPUs of each simulated machine, see [`simulator::Cloud::new`](simulator::cloud::Cloud::new).
pub const MACHINE_CPUS: f64 = 4.0;

/// Why an experiment file is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("experiment file: {0}")]
    Syntax(String),
    #[error("experiment file: field `{field}`: {problem}")]
    Field { field: String, problem: String },
}

/// A load test: the processes that take part, their load and the faults that are injected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, used in reports.
    pub name: String,
    /// Seed of all random choices.
    #[serde(default = "one")]
    pub seed: u64,
    /// Duration of the run, including the warm-up.
    pub duration_s: f64,
    /// Time from the start of the run to the measured window.
    pub warmup_s: f64,
    pub controllers: Controllers,
    pub state: StateServiceLimits,
    pub cloud: CloudLimits,
    pub workers: Workers,
    pub services: Services,
    /// Classes of array jobs that are submitted during the run.
    #[serde(default)]
    pub classes: Vec<JobClass>,
    /// Faults that are injected during the run.
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
    /// Log level of the controllers (their environment variable `LOG_LEVEL`).
    #[serde(default = "error_level")]
    pub log: String,
}

fn error_level() -> String {
    "error".into()
}

/// Limits and latency of the simulated state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateServiceLimits {
    pub requests_per_s: f64,
    pub writes_per_s: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Latency of each request; a watch additionally waits for changes.
    pub latency_ms: f64,
}

/// Rate limit and latency of the simulated cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudLimits {
    pub requests_per_s: f64,
    /// Latency of each request.
    pub latency_ms: f64,
}

/// The simulated workers; they run no tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Machines that the cloud can rent out, spread evenly over the zones.
    pub count: u32,
    /// Workers simulated by one process.
    pub per_process: u32,
    /// Heartbeat interval.
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Service jobs that are submitted from the start of the run; their demand decides how many machines are rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Fraction of all machines' CPUs that the services use together.
    pub fill: f64,
    /// Replicas of each service job.
    pub replicas: u64,
    /// CPUs of each replica.
    pub cpus: f64,
    /// Service jobs submitted per second until all are submitted.
    pub per_s: f64,
}

/// A class of array jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub name: String,
    pub priority: Priority,
    /// Mean rate of submissions, which are a Poisson process.
    pub jobs_per_s: f64,
    /// Smallest and largest number of tasks of a job.
    pub tasks: [u64; 2],
    /// CPUs of each task.
    pub cpus: f64,
    /// Run time of each task.
    pub run_s: f64,
    /// Fraction of the jobs that their users cancel while they run.
    #[serde(default)]
    pub cancelled: f64,
}

/// A fault that is injected `at_s` seconds after the start of the run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A controller is killed, and started again after `down_s`.
    KillController {
        at_s: f64,
        controller: u32,
        down_s: f64,
    },
    /// The state service answers every request with 503.
    StateOutage { at_s: f64, for_s: f64 },
    /// A fraction `part` of the workers close their connections and send nothing.
    RestartWorkers { at_s: f64, for_s: f64, part: f64 },
    /// The workers of a zone send nothing.
    CutZone { at_s: f64, for_s: f64, zone: String },
}

impl Fault {
    /// Start and end of the fault, in seconds since the start of the run.
    pub fn start_and_end_s(&self) -> (f64, f64) {
        match self {
            Fault::KillController { at_s, down_s, .. } => (*at_s, at_s + down_s),
            Fault::StateOutage { at_s, for_s }
            | Fault::RestartWorkers { at_s, for_s, .. }
            | Fault::CutZone { at_s, for_s, .. } => (*at_s, at_s + for_s),
        }
    }

    /// Whether the fault is active at a time of the run.
    pub fn is_active(&self, now_ms: u64) -> bool {
        let (start_s, end_s) = self.start_and_end_s();
        let now_s = now_ms as f64 / 1_000.0;
        start_s <= now_s && now_s < end_s
    }
}

fn invalid_field<T>(
    field: impl Into<String>,
    problem: impl Into<String>,
) -> Result<T, ConfigError> {
    Err(ConfigError::Field {
        field: field.into(),
        problem: problem.into(),
    })
}

/// Overrides a field of the file; `assignment` is for example `classes.0.run_s=2.0`.
fn override_field(table: &mut toml::Value, assignment: &str) -> Result<(), ConfigError> {
    let Some((path, text)) = assignment.split_once('=') else {
        return invalid_field(assignment, "an override has the form field=value");
    };
    let mut target = table;
    for part in path.split('.') {
        let next = match target {
            toml::Value::Table(fields) => fields.get_mut(part),
            toml::Value::Array(items) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| items.get_mut(index)),
            _ => None,
        };
        let Some(next) = next else {
            return invalid_field(path, "no such field in the file");
        };
        target = next;
    }
    let parsed: Result<toml::Table, _> = toml::from_str(&format!("value = {text}"));
    *target = match parsed {
        Ok(mut parsed) => parsed.remove("value").unwrap_or_else(|| text.into()),
        Err(_) => text.into(),
    };
    Ok(())
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), ConfigError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    invalid_field(field, format!("{value} is not between {min} and {max}"))
}

impl Experiment {
    /// Parses and validates an experiment file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        Self::parse_with_overrides(text, &[])
    }

    /// Parses and validates an experiment file after overriding fields, each given as in `workers.count=500`.
    pub fn parse_with_overrides(text: &str, overrides: &[String]) -> Result<Self, ConfigError> {
        let syntax_error =
            |e: toml::de::Error| ConfigError::Syntax(e.to_string().trim().replace('\n', " "));
        let mut table: toml::Value = toml::from_str::<toml::Table>(text)
            .map_err(syntax_error)?
            .into();
        for assignment in overrides {
            override_field(&mut table, assignment)?;
        }
        let experiment: Experiment =
            toml::from_str(&toml::to_string(&table).unwrap_or_default()).map_err(syntax_error)?;
        experiment.validate()?;
        Ok(experiment)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        if self.name.is_empty() {
            return invalid_field("name", "must not be empty");
        }
        check_range("duration_s", self.duration_s, 1.0, MAX_DURATION_S)?;
        check_range("warmup_s", self.warmup_s, 0.0, self.duration_s - 1.0)?;
        self.validate_controllers()?;
        self.validate_service_limits()?;
        self.validate_workers()?;
        check_range("services.fill", self.services.fill, 0.0, 1.0)?;
        check_range(
            "services.replicas",
            self.services.replicas as f64,
            1.0,
            100_000.0,
        )?;
        check_range("services.cpus", self.services.cpus, 0.01, MACHINE_CPUS)?;
        check_range("services.per_s", self.services.per_s, 0.1, 1_000.0)?;
        self.validate_classes()?;
        self.validate_faults()
    }

    fn validate_controllers(&self) -> Result<(), ConfigError> {
        let controllers = &self.controllers;
        check_range("controllers.count", f64::from(controllers.count), 1.0, 50.0)?;
        check_range(
            "controllers.teams",
            f64::from(controllers.teams),
            1.0,
            500.0,
        )?;
        if controllers.zones.is_empty() {
            return invalid_field("controllers.zones", "must name at least one zone");
        }
        let distinct: BTreeSet<&String> = controllers.zones.iter().collect();
        if distinct.len() < controllers.zones.len() {
            return invalid_field("controllers.zones", "must not name a zone twice");
        }
        if !["error", "info", "debug"].contains(&controllers.log.as_str()) {
            return invalid_field("controllers.log", "must be error, info or debug");
        }
        Ok(())
    }

    fn validate_service_limits(&self) -> Result<(), ConfigError> {
        check_range("state.requests_per_s", self.state.requests_per_s, 1.0, 1e6)?;
        check_range("state.writes_per_s", self.state.writes_per_s, 1.0, 1e6)?;
        check_range("state.value_kb", self.state.value_kb, 1.0, 64.0)?;
        check_range("state.txn_ops", self.state.txn_ops as f64, 2.0, 128.0)?;
        check_range("state.latency_ms", self.state.latency_ms, 0.0, 1_000.0)?;
        check_range("cloud.requests_per_s", self.cloud.requests_per_s, 0.1, 1e6)?;
        check_range("cloud.latency_ms", self.cloud.latency_ms, 0.0, 3_000.0)
    }

    fn validate_workers(&self) -> Result<(), ConfigError> {
        let workers = &self.workers;
        check_range(
            "workers.count",
            f64::from(workers.count),
            1.0,
            f64::from(MAX_WORKERS),
        )?;
        check_range(
            "workers.per_process",
            f64::from(workers.per_process),
            1.0,
            10_000.0,
        )?;
        check_range("workers.report_s", workers.report_s, 0.5, 60.0)?;
        check_range(
            "workers.lease_s",
            workers.lease_s,
            2.0 * workers.report_s,
            600.0,
        )?;
        check_range("workers.cancel_s", workers.cancel_s, workers.lease_s, 600.0)
    }

    fn validate_classes(&self) -> Result<(), ConfigError> {
        if self.classes.len() > MAX_CLASSES {
            return invalid_field("classes", format!("must not be more than {MAX_CLASSES}"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{index}].{name}");
            if class.name.is_empty() || self.classes[..index].iter().any(|c| c.name == class.name) {
                return invalid_field(field("name"), "must not be empty or used twice");
            }
            check_range(&field("jobs_per_s"), class.jobs_per_s, 0.001, 1_000.0)?;
            check_range(&field("tasks[0]"), class.tasks[0] as f64, 1.0, 100_000.0)?;
            check_range(
                &field("tasks[1]"),
                class.tasks[1] as f64,
                class.tasks[0] as f64,
                100_000.0,
            )?;
            check_range(&field("cpus"), class.cpus, 0.01, MACHINE_CPUS)?;
            check_range(&field("run_s"), class.run_s, 0.1, 86_400.0)?;
            check_range(&field("cancelled"), class.cancelled, 0.0, 1.0)?;
        }
        Ok(())
    }

    fn validate_faults(&self) -> Result<(), ConfigError> {
        for (index, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("faults[{index}].{name}");
            let (start_s, end_s) = fault.start_and_end_s();
            check_range(&field("at_s"), start_s, 0.0, self.duration_s)?;
            let duration_field = match fault {
                Fault::KillController { .. } => "down_s",
                _ => "for_s",
            };
            check_range(
                &field(duration_field),
                end_s - start_s,
                0.1,
                self.duration_s,
            )?;
            match fault {
                Fault::KillController { controller, .. }
                    if *controller >= self.controllers.count =>
                {
                    return invalid_field(field("controller"), "no controller has this number");
                }
                Fault::RestartWorkers { part, .. } => check_range(&field("part"), *part, 0.0, 1.0)?,
                Fault::CutZone { zone, .. } if !self.controllers.zones.contains(zone) => {
                    return invalid_field(
                        field("zone"),
                        format!("zone `{zone}` is not in controllers.zones"),
                    );
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Number of processes that simulate workers.
    pub fn worker_process_count(&self) -> u32 {
        self.workers.count.div_ceil(self.workers.per_process)
    }
}
