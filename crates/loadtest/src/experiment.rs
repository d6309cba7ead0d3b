//! Runs an experiment: checks the host's resources, starts the processes, monitors them and makes the report.

use crate::config::Experiment;
use crate::http::TrafficTotals;
use crate::limits::{check_processes, HostResources, MAX_OVERTIME_S};
use crate::observations::{TaskEvent, UserEvent};
use crate::processes::{RoleProcess, Sampler};
use crate::report::{self, HostFigures, Report, COMPLETED, MEASUREMENT_SETUP};
use crate::role::{Role, RoleMessage, RoleReport, RoleSettings};
use crate::rules;
use crate::run_layout::{controller_name, unix_time_us, Clock, LoopbackNet};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval at which the processes' use of resources is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two progress lines.
const PROGRESS_INTERVAL_S: u64 = 5;
/// The first and the last of the blocks of loopback addresses that runs may use; block N is `127.N.0.0/16`.
const FIRST_NET: u8 = 32;
const LAST_NET: u8 = 250;

/// Paths of the programs that a run starts.
pub struct Programs {
    /// `trackcrank`, the controller.
    pub controller: PathBuf,
    /// `trackcrank-loadtest`, which runs all other roles.
    pub loadtest: PathBuf,
}

/// Runs an experiment; `report_progress` is called with each progress line.
pub fn run(
    experiment: &Experiment,
    programs: &Programs,
    report_progress: &mut dyn FnMut(&str),
) -> Result<Report, String> {
    let host = HostResources::read().map_err(|e| e.to_string())?;
    host.check_expected_use(experiment)
        .map_err(|e| e.to_string())?;
    if !programs.controller.is_file() {
        return Err(format!("{}: no such file", programs.controller.display()));
    }
    let (net, _claim) = claim_net()?;
    let started_us = unix_time_us();
    let mut run = Run::new(experiment, host, started_us);
    run.start_roles(programs, net, started_us)?;
    let outcome = run.monitor(report_progress);
    run.finish(outcome)
}

/// Claims a block of loopback addresses that no other run on this host uses; it is claimed while the listener exists.
fn claim_net() -> Result<(LoopbackNet, TcpListener), String> {
    for number in FIRST_NET..=LAST_NET {
        let net = LoopbackNet(number);
        if let Ok(claim) = TcpListener::bind(net.claim_address()) {
            return Ok((net, claim));
        }
    }
    Err("all blocks of loopback addresses are in use by other runs".into())
}

/// A run in progress.
struct Run<'a> {
    experiment: &'a Experiment,
    host: HostResources,
    clock: Clock,
    started_us: u64,
    /// Load average of the host when the run started.
    load_before: f64,
    roles: Vec<RoleProcess>,
    sampler: Sampler,
    max_memory_bytes: u64,
    unexpected_exits: Vec<String>,
    /// Sums of the samples of each worker figure in the measured window.
    figure_sums: BTreeMap<String, f64>,
    /// Number of samples in `figure_sums`.
    figure_samples: u64,
}

impl<'a> Run<'a> {
    fn new(experiment: &'a Experiment, host: HostResources, started_us: u64) -> Self {
        Run {
            experiment,
            host,
            clock: Clock::starting_at(started_us),
            started_us,
            load_before: load_average(),
            roles: Vec::new(),
            sampler: Sampler::default(),
            max_memory_bytes: 0,
            unexpected_exits: Vec::new(),
            figure_sums: BTreeMap::new(),
            figure_samples: 0,
        }
    }

    /// Starts the processes of all roles; the controllers only after the services and workers that they call.
    fn start_roles(
        &mut self,
        programs: &Programs,
        net: LoopbackNet,
        started_us: u64,
    ) -> Result<(), String> {
        let workers =
            (0..self.experiment.worker_process_count()).map(|process| Role::Workers { process });
        let program = programs.controller.to_string_lossy().into_owned();
        let roles = [Role::StateService, Role::Cloud]
            .into_iter()
            .chain(workers)
            .chain([Role::Controllers { program }, Role::Users]);
        for role in roles {
            self.start_role(role, &programs.loadtest, net, started_us)?;
        }
        Ok(())
    }

    fn start_role(
        &mut self,
        role: Role,
        program: &Path,
        net: LoopbackNet,
        started_us: u64,
    ) -> Result<(), String> {
        let experiment = self.experiment.clone();
        let name = role.name();
        let settings = RoleSettings {
            role,
            net,
            started_us,
            experiment,
        };
        let mut process = RoleProcess::start(program, &settings)?;
        process.wait_ready()?;
        self.sampler.add(&name, process.pid());
        self.roles.push(process);
        Ok(())
    }

    /// Monitors the run until it completes or must stop; returns [`COMPLETED`] or the reason.
    fn monitor(&mut self, report_progress: &mut dyn FnMut(&str)) -> String {
        let warmup_ms = (self.experiment.warmup_s * 1_000.0) as u64;
        let end_ms = (self.experiment.duration_s * 1_000.0) as u64;
        let deadline_ms = end_ms + (MAX_OVERTIME_S * 1_000.0) as u64;
        let mut last_progress_s = 0;
        loop {
            std::thread::sleep(SAMPLE_INTERVAL);
            let now_ms = self.clock.now_ms();
            self.handle_messages();
            let in_window = (warmup_ms..end_ms).contains(&now_ms);
            let memory_bytes = self.sampler.sample(in_window);
            self.max_memory_bytes = self.max_memory_bytes.max(memory_bytes);
            let figures = self.current_figures();
            if in_window {
                self.add_to_sums(&figures);
            }
            if now_ms / 1_000 >= last_progress_s + PROGRESS_INTERVAL_S {
                last_progress_s = now_ms / 1_000;
                report_progress(&progress_line(now_ms, &figures, memory_bytes));
            }
            if let Err(exceeded) = self.host.check_memory_use(memory_bytes) {
                return exceeded.to_string();
            }
            if let Err(exceeded) = check_processes(self.sampler.process_count()) {
                return exceeded.to_string();
            }
            if let Some(failed) = self
                .roles
                .iter_mut()
                .find_map(|r| r.has_failed().then(|| r.role.name()))
            {
                return format!("{failed}: the process exited without a report");
            }
            let users_have_finished = self
                .roles
                .iter()
                .any(|r| r.role == Role::Users && r.report.is_some());
            if users_have_finished {
                return COMPLETED.into();
            }
            if now_ms > deadline_ms {
                return format!(
                    "the users had not finished {MAX_OVERTIME_S} s after the end of the run"
                );
            }
        }
    }

    /// Handles what the processes reported about the controllers that they start.
    fn handle_messages(&mut self) {
        for role in &mut self.roles {
            for message in role.receive_messages() {
                match message {
                    RoleMessage::Controller { controller, pid } => {
                        self.sampler.add(&controller_name(controller), pid);
                    }
                    RoleMessage::ControllerEnded { controller, status } => {
                        let exit = format!("{}: {status}", controller_name(controller));
                        self.unexpected_exits.push(exit);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Sums the latest figures of all processes; only those with workers send any.
    fn current_figures(&self) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for role in &self.roles {
            for (name, value) in &role.progress {
                *sums.entry(name.clone()).or_default() += value;
            }
        }
        sums
    }

    fn add_to_sums(&mut self, figures: &BTreeMap<String, f64>) {
        self.figure_samples += 1;
        for (name, value) in figures {
            *self.figure_sums.entry(name.clone()).or_default() += value;
        }
    }

    /// Stops all processes and makes the report; `outcome` says how the run ended.
    fn finish(&mut self, outcome: String) -> Result<Report, String> {
        let end_us = self.clock.now_us();
        let load_after = load_average();
        // Users stop first: they would report a process that stops before them as a failure.
        let stop_order = |role: &Role| match role {
            Role::Users => 0,
            Role::Workers { .. } => 1,
            Role::Controllers { .. } => 2,
            Role::StateService | Role::Cloud => 3,
        };
        self.roles.sort_by_key(|process| stop_order(&process.role));
        let mut collected = CollectedReports::default();
        for role in &mut self.roles {
            let name = role.role.name();
            collected.add(&name, role.stop());
        }
        let outcome = match &collected.first_error {
            Some(error) if outcome == COMPLETED => error.clone(),
            _ => outcome,
        };
        self.make_report(outcome, end_us, load_after, &collected)
    }

    fn make_report(
        &self,
        outcome: String,
        end_us: u64,
        load_after: f64,
        collected: &CollectedReports,
    ) -> Result<Report, String> {
        let experiment = self.experiment;
        let window_start_us = (experiment.warmup_s * 1e6) as u64;
        let window_s = experiment.duration_s - experiment.warmup_s;
        let CollectedReports {
            tasks,
            users,
            traffic,
            figures,
            ..
        } = collected;
        let mut rates = report::event_rates(tasks, users, window_start_us, window_s);
        let sums = self.figure_sums.iter();
        rates.extend(sums.map(|(name, sum)| (name.clone(), sum / self.figure_samples as f64)));
        Ok(Report {
            name: experiment.name.clone(),
            setting: MEASUREMENT_SETUP.to_owned(),
            started_s: self.started_us / 1_000_000,
            window_s,
            ended: outcome,
            machine: HostFigures {
                cores: std::thread::available_parallelism().map_or(0, usize::from),
                memory_gb: self.host.memory_bytes as f64 / 1e9,
                load_before: self.load_before,
                load_after,
                memory_mb_max: self.max_memory_bytes as f64 / 1e6,
            },
            rates,
            processes: self.sampler.figures(),
            traffic: report::traffic_rates(traffic, window_s),
            stand_ins: figures.clone(),
            latencies: report::class_latencies(experiment, tasks, users, window_start_us)?,
            unexpected_ends: self.unexpected_exits.clone(),
            rules: rules::check(experiment, tasks, users, end_us),
            experiment: experiment.clone(),
        })
    }
}

/// The reports of all processes, merged.
#[derive(Default)]
struct CollectedReports {
    tasks: Vec<TaskEvent>,
    users: Vec<UserEvent>,
    traffic: TrafficTotals,
    /// Figures by the name of the process.
    figures: BTreeMap<String, BTreeMap<String, f64>>,
    /// The first failure of a process to report.
    first_error: Option<String>,
}

impl CollectedReports {
    fn add(&mut self, name: &str, report: Result<RoleReport, String>) {
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                self.first_error.get_or_insert(error);
                return;
            }
        };
        self.tasks.extend(report.tasks);
        self.users.extend(report.users);
        for (controller, kinds) in report.traffic {
            let totals = self.traffic.entry(controller).or_default();
            for (kind, traffic) in kinds {
                let total = totals.entry(kind).or_default();
                total.messages += traffic.messages;
                total.from_controller += traffic.from_controller;
                total.to_controller += traffic.to_controller;
            }
        }
        if !report.figures.is_empty() {
            self.figures.insert(name.to_owned(), report.figures);
        }
    }
}

fn progress_line(now_ms: u64, figures: &BTreeMap<String, f64>, memory_bytes: u64) -> String {
    let figure = |name: &str| figures.get(name).copied().unwrap_or_default();
    format!(
        "{:>4} s: {} workers, {} in contact, {} tasks, {} MB",
        now_ms / 1_000,
        figure("workers"),
        figure("in contact"),
        figure("tasks"),
        memory_bytes / 1_000_000
    )
}

/// Load average of the host over the last minute; 0 if it cannot be read.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .unwrap_or_default()
}
