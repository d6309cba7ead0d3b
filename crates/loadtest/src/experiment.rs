//! A run from its checks to its report.

use crate::config::Experiment;
use crate::http::TrafficTotals;
use crate::limits::{check_processes, HostResources, MAX_OVERTIME_S};
use crate::observations::{TaskEvent, UserEvent};
use crate::processes::{RoleProcess, Sampler};
use crate::report::{self, MachineFigures, Report, SETTING};
use crate::role::{Role, RoleMessage, RoleReport, RoleSettings};
use crate::rules;
use crate::run_layout::{controller_name, unix_time_us, Clock, LoopbackNet};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often the processes are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Seconds between two lines of progress.
const PROGRESS_INTERVAL_S: u64 = 5;
/// Blocks of loopback addresses that runs use: `127.FIRST.0.0/16` and up.
const FIRST_NET: u8 = 32;
const LAST_NET: u8 = 250;

/// The programs of a run.
pub struct Programs {
    /// The controller.
    pub controller: PathBuf,
    /// This program.
    pub loadtest: PathBuf,
}

/// Runs an experiment; `report_progress` is given lines of progress.
pub fn run(
    experiment: &Experiment,
    programs: &Programs,
    report_progress: &mut dyn FnMut(&str),
) -> Result<Report, String> {
    let machine = HostResources::read().map_err(|e| e.to_string())?;
    machine
        .check_expected_use(experiment)
        .map_err(|e| e.to_string())?;
    if !programs.controller.is_file() {
        return Err(format!(
            "{}: there is no such program",
            programs.controller.display()
        ));
    }
    let (net, _claim) = claim_net()?;
    let started_us = unix_time_us();
    let mut run = Run::new(experiment, machine, started_us);
    run.start(programs, net, started_us)?;
    let ended = run.watch(report_progress);
    run.finish(ended)
}

/// Finds a block of loopback addresses that no other run on this machine uses.
fn claim_net() -> Result<(LoopbackNet, TcpListener), String> {
    for number in FIRST_NET..=LAST_NET {
        let net = LoopbackNet(number);
        if let Ok(claim) = TcpListener::bind(net.claim_address()) {
            return Ok((net, claim));
        }
    }
    Err("no block of loopback addresses is free".into())
}

struct Run<'a> {
    experiment: &'a Experiment,
    machine: HostResources,
    clock: Clock,
    started_us: u64,
    load_before: f64,
    roles: Vec<RoleProcess>,
    sampler: Sampler,
    memory_max: u64,
    unexpected_ends: Vec<String>,
    /// Sums of the workers' figures over the window, and how often they were summed.
    sums: BTreeMap<String, f64>,
    summed: u64,
}

impl<'a> Run<'a> {
    fn new(experiment: &'a Experiment, machine: HostResources, started_us: u64) -> Self {
        Run {
            experiment,
            machine,
            clock: Clock::starting_at(started_us),
            started_us,
            load_before: load_average(),
            roles: Vec::new(),
            sampler: Sampler::default(),
            memory_max: 0,
            unexpected_ends: Vec::new(),
            sums: BTreeMap::new(),
            summed: 0,
        }
    }

    fn start(
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

    /// Follows the run to its end; returns how it ended.
    fn watch(&mut self, report_progress: &mut dyn FnMut(&str)) -> String {
        let warmup_ms = (self.experiment.warmup_s * 1_000.0) as u64;
        let end_ms = (self.experiment.duration_s * 1_000.0) as u64;
        let last_ms = end_ms + (MAX_OVERTIME_S * 1_000.0) as u64;
        let mut told_s = 0;
        loop {
            std::thread::sleep(SAMPLE_INTERVAL);
            let now = self.clock.now_ms();
            self.take_messages();
            let in_window = (warmup_ms..end_ms).contains(&now);
            let used = self.sampler.sample(in_window);
            self.memory_max = self.memory_max.max(used);
            let figures = self.worker_figures();
            if in_window {
                self.sum(&figures);
            }
            if now / 1_000 >= told_s + PROGRESS_INTERVAL_S {
                told_s = now / 1_000;
                report_progress(&progress_line(now, &figures, used));
            }
            if let Err(limit) = self.machine.check_memory_use(used) {
                return limit.to_string();
            }
            if let Err(limit) = check_processes(self.sampler.process_count()) {
                return limit.to_string();
            }
            if let Some(failed) = self
                .roles
                .iter_mut()
                .find_map(|r| r.has_failed().then(|| r.role.name()))
            {
                return format!("{failed}: the process ended");
            }
            let over = self
                .roles
                .iter()
                .any(|r| r.role == Role::Users && r.report.is_some());
            if over {
                return "whole".into();
            }
            if now > last_ms {
                return format!("the users took longer than {MAX_OVERTIME_S} s to end");
            }
        }
    }

    fn take_messages(&mut self) {
        for role in &mut self.roles {
            for message in role.receive_messages() {
                match message {
                    RoleMessage::Controller { controller, pid } => {
                        self.sampler.add(&controller_name(controller), pid);
                    }
                    RoleMessage::ControllerEnded { controller, status } => {
                        let what = format!("{}: {status}", controller_name(controller));
                        self.unexpected_ends.push(what);
                    }
                    _ => {}
                }
            }
        }
    }

    /// The newest figures of all workers' processes together.
    fn worker_figures(&self) -> BTreeMap<String, f64> {
        let mut sums = BTreeMap::new();
        for role in &self.roles {
            for (name, value) in &role.progress {
                *sums.entry(name.clone()).or_default() += value;
            }
        }
        sums
    }

    fn sum(&mut self, figures: &BTreeMap<String, f64>) {
        self.summed += 1;
        for (name, value) in figures {
            *self.sums.entry(name.clone()).or_default() += value;
        }
    }

    /// Stops what was started and writes the report.
    fn finish(&mut self, ended: String) -> Result<Report, String> {
        let end_us = self.clock.now_us();
        let load_after = load_average();
        // Users first: whatever is stopped before them would look like a failure to them.
        let order = |role: &Role| match role {
            Role::Users => 0,
            Role::Workers { .. } => 1,
            Role::Controllers { .. } => 2,
            Role::StateService | Role::Cloud => 3,
        };
        self.roles.sort_by_key(|process| order(&process.role));
        let mut collected = Collected::default();
        for role in &mut self.roles {
            let name = role.role.name();
            collected.add(&name, role.stop());
        }
        let ended = match &collected.problem {
            Some(problem) if ended == "whole" => problem.clone(),
            _ => ended,
        };
        self.report(ended, end_us, load_after, &collected)
    }

    fn report(
        &self,
        ended: String,
        end_us: u64,
        load_after: f64,
        collected: &Collected,
    ) -> Result<Report, String> {
        let experiment = self.experiment;
        let from_us = (experiment.warmup_s * 1e6) as u64;
        let window_s = experiment.duration_s - experiment.warmup_s;
        let Collected {
            tasks,
            users,
            traffic,
            figures,
            ..
        } = collected;
        let mut rates = report::event_rates(tasks, users, from_us, window_s);
        let means = self.sums.iter();
        rates.extend(means.map(|(name, sum)| (name.clone(), sum / self.summed as f64)));
        Ok(Report {
            name: experiment.name.clone(),
            setting: SETTING.to_owned(),
            started_s: self.started_us / 1_000_000,
            window_s,
            ended,
            machine: MachineFigures {
                cores: std::thread::available_parallelism().map_or(0, usize::from),
                memory_gb: self.machine.memory_bytes as f64 / 1e9,
                load_before: self.load_before,
                load_after,
                memory_mb_max: self.memory_max as f64 / 1e6,
            },
            rates,
            processes: self.sampler.figures(),
            traffic: report::traffic_rates(traffic, window_s),
            stand_ins: figures.clone(),
            latencies: report::latencies(experiment, tasks, users, from_us)?,
            unexpected_ends: self.unexpected_ends.clone(),
            rules: rules::check(experiment, tasks, users, end_us),
            experiment: experiment.clone(),
        })
    }
}

/// What the roles reported.
#[derive(Default)]
struct Collected {
    tasks: Vec<TaskEvent>,
    users: Vec<UserEvent>,
    traffic: TrafficTotals,
    figures: BTreeMap<String, BTreeMap<String, f64>>,
    problem: Option<String>,
}

impl Collected {
    fn add(&mut self, name: &str, report: Result<RoleReport, String>) {
        let report = match report {
            Ok(report) => report,
            Err(problem) => {
                self.problem.get_or_insert(problem);
                return;
            }
        };
        self.tasks.extend(report.tasks);
        self.users.extend(report.users);
        for (controller, kinds) in report.traffic {
            let all = self.traffic.entry(controller).or_default();
            for (kind, traffic) in kinds {
                let sum = all.entry(kind).or_default();
                sum.messages += traffic.messages;
                sum.from_controller += traffic.from_controller;
                sum.to_controller += traffic.to_controller;
            }
        }
        if !report.figures.is_empty() {
            self.figures.insert(name.to_owned(), report.figures);
        }
    }
}

fn progress_line(now_ms: u64, figures: &BTreeMap<String, f64>, memory: u64) -> String {
    let figure = |name: &str| figures.get(name).copied().unwrap_or_default();
    format!(
        "{:>4} s: {} workers, {} in contact, {} tasks, {} MB",
        now_ms / 1_000,
        figure("workers"),
        figure("in contact"),
        figure("tasks"),
        memory / 1_000_000
    )
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|first| first.parse().ok())
        .unwrap_or_default()
}
