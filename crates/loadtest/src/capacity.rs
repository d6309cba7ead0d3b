//! Fits through the reports of several sizes, and the tables made from them.

use crate::fit::{Estimate, Fit, Point};
use crate::report::{is_controller, Report};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Name of the experiments with different numbers of workers, and of those with different rates of starts.
const WORKERS_SERIES: &str = "workers";
const STARTS_SERIES: &str = "starts";
/// Kinds of messages to the state service and to the cloud.
const STATE_KINDS: [&str; 7] = ["get", "list", "txn", "lease", "renew", "end lease", "watch"];
const CLOUD_KINDS: [&str; 4] = ["machine types", "rent", "release", "list machines"];
/// Kinds of messages between controllers and workers.
const WORKER_KINDS: [&str; 3] = ["report", "commands", "status"];
/// Marks in the page between which the tables are written.
const BEGIN_MARK: &str = "<!-- capacity: begin -->";
const END_MARK: &str = "<!-- capacity: end -->";

/// The planned size, its regions and their budgets.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Workers, running tasks and task starts a second at the peak, of the whole and evenly divided.
    pub workers: f64,
    pub starts_per_s: f64,
    pub regions: f64,
    /// Controllers of a region.
    pub controllers: f64,
    /// What one controller may use.
    pub controller_cores: f64,
    pub controller_memory_mb: f64,
    pub controller_sockets: f64,
    /// What the state service and the cloud of a region allow a second.
    pub state_requests_per_s: f64,
    pub state_writes_per_s: f64,
    pub cloud_requests_per_s: f64,
    /// What control may cost a worker.
    pub worker_bytes_per_s: f64,
}

/// A measured quantity with its budget.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// What carries it in the present design.
    module: &'static str,
    value: fn(&Report) -> f64,
    budget: fn(&Target) -> f64,
}

const QUANTITIES: [Quantity; 10] = [
    Quantity {
        name: "processor time, all controllers",
        unit: "cores",
        module: "`scheduler`, `scheduling-queue`, `controller::controller`",
        value: |report| controllers(report, |p| p.cpu_mean).iter().sum(),
        budget: |target| target.controllers * target.controller_cores,
    },
    Quantity {
        name: "processor time, busiest controller",
        unit: "cores",
        module: "`controller::controller::fleet_planner`, `autoscaler`",
        value: |report| most(&controllers(report, |p| p.cpu_mean)),
        budget: |target| target.controller_cores,
    },
    Quantity {
        name: "processor time, busiest second of a controller",
        unit: "cores",
        module: "`controller::controller`",
        value: |report| most(&controllers(report, |p| p.cpu_peak)),
        budget: |target| target.controller_cores,
    },
    Quantity {
        name: "memory, largest controller",
        unit: "MB",
        module: "`controller::state_cache`, `scheduler::machine`",
        value: |report| most(&controllers(report, |p| p.memory_mb_max)),
        budget: |target| target.controller_memory_mb,
    },
    Quantity {
        name: "sockets, fullest controller",
        unit: "sockets",
        module: "`trackcrank::server`, `trackcrank::clients`",
        value: |report| most(&controllers(report, |p| p.sockets_max as f64)),
        budget: |target| target.controller_sockets,
    },
    Quantity {
        name: "reports, all workers",
        unit: "messages/s",
        module: "`controller::controller::heartbeats`",
        value: |report| messages(report, &["report"]),
        budget: |_| f64::INFINITY,
    },
    Quantity {
        name: "control traffic, all workers",
        unit: "bytes/s",
        module: "`wire::workers`",
        value: |report| bytes(report, &WORKER_KINDS),
        budget: |target| target.workers / target.regions * target.worker_bytes_per_s,
    },
    Quantity {
        name: "state service, requests",
        unit: "requests/s",
        module: "`controller::request_budget`, `controller::state_cache` (watches)",
        value: |report| messages(report, &STATE_KINDS),
        budget: |target| target.state_requests_per_s,
    },
    Quantity {
        name: "state service, puts and deletes",
        unit: "writes/s",
        module: "`controller::placement_log`, `controller::records`",
        value: |report| stand_in(report, "state service", "writes taken") / report.window_s,
        budget: |target| target.state_writes_per_s,
    },
    Quantity {
        name: "cloud, requests",
        unit: "requests/s",
        module: "`controller::controller::fleet_planner`",
        value: |report| messages(report, &CLOUD_KINDS),
        budget: |target| target.cloud_requests_per_s,
    },
];

fn controllers(
    report: &Report,
    value: impl Fn(&crate::processes::ProcessFigures) -> f64,
) -> Vec<f64> {
    report
        .processes
        .iter()
        .filter(|p| is_controller(&p.name))
        .map(value)
        .collect()
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn messages(report: &Report, kinds: &[&str]) -> f64 {
    let all = report.traffic.values().flatten();
    all.filter(|(kind, _)| kinds.contains(&kind.as_str()))
        .map(|(_, t)| t.messages_per_s)
        .sum()
}

fn bytes(report: &Report, kinds: &[&str]) -> f64 {
    let all = report.traffic.values().flatten();
    let ours = all.filter(|(kind, _)| kinds.contains(&kind.as_str()));
    ours.map(|(_, t)| t.bytes_from_controller_per_s + t.bytes_to_controller_per_s)
        .sum()
}

fn stand_in(report: &Report, name: &str, figure: &str) -> f64 {
    report
        .stand_ins
        .get(name)
        .and_then(|f| f.get(figure))
        .copied()
        .unwrap_or_default()
}

/// Leases of workers that ran out.
fn lapsed(report: &Report) -> f64 {
    report
        .stand_ins
        .values()
        .filter_map(|f| f.get("leases that lapsed"))
        .sum()
}

fn rate(report: &Report, name: &str) -> f64 {
    report.rates.get(name).copied().unwrap_or_default()
}

/// A quantity with its fit and what that comes to at the size of a region.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub quantity: &'static str,
    pub unit: &'static str,
    pub module: &'static str,
    pub fit: Option<Fit>,
    pub extrapolated: Option<Estimate>,
    pub budget: f64,
}

impl Row {
    fn of(quantity: &Quantity, reports: &[Report], target: &Target) -> Row {
        let series = [WORKERS_SERIES, STARTS_SERIES];
        let fitted = reports.iter().filter(|r| series.contains(&r.name.as_str()));
        let points: Vec<Point> = fitted
            .filter(|report| report.ended == "whole")
            .map(|report| Point {
                workers: rate(report, "workers"),
                starts_per_s: rate(report, "task starts a second"),
                value: (quantity.value)(report),
            })
            .collect();
        let fit = Fit::of(&points);
        let workers = target.workers / target.regions;
        let starts = target.starts_per_s / target.regions;
        Row {
            quantity: quantity.name,
            unit: quantity.unit,
            module: quantity.module,
            fit,
            extrapolated: fit.map(|fit| fit.at(workers, starts)),
            budget: (quantity.budget)(target),
        }
    }

    fn text(&self) -> String {
        let budget = if self.budget.is_finite() {
            number(self.budget)
        } else {
            "none set".into()
        };
        let (Some(fit), Some(value)) = (self.fit, self.extrapolated) else {
            return format!(
                "| {}, {} | not measured | | | | {budget} | | | |",
                self.quantity, self.unit
            );
        };
        format!(
            "| {}, {} | {} | {} | {} (r² {:.2}) | {} | {budget} | {} | {} | {} |",
            self.quantity,
            self.unit,
            estimate_text(fit.constant, 1.0),
            estimate_text(fit.per_worker, 1_000.0),
            estimate_text(fit.per_start, 100.0),
            fit.r_squared,
            estimate_text(value, 1.0),
            self.verdict(value.value),
            self.end(fit.constant.value, value.value),
            self.module
        )
    }

    /// How many times a region's workers and starts its budget carries.
    fn end(&self, at_rest: f64, value: f64) -> String {
        let growth = value - at_rest;
        if !self.budget.is_finite() || growth <= 0.0 {
            return "-".into();
        }
        number((self.budget - at_rest) / growth)
    }

    fn verdict(&self, value: f64) -> String {
        if !self.budget.is_finite() {
            return "-".into();
        }
        let times = self.budget / value.max(f64::EPSILON);
        if times >= 1.0 {
            format!("{}%", ((1.0 - 1.0 / times) * 100.0).round())
        } else {
            format!("**does not fit: {:.1} times the budget**", 1.0 / times)
        }
    }
}

fn estimate_text(estimate: Estimate, times: f64) -> String {
    format!(
        "{} ± {}",
        number(estimate.value * times),
        number(estimate.error * times)
    )
}

/// Three digits, without an exponent.
fn number(value: f64) -> String {
    let size = value.abs();
    match size {
        0.0 => "0".into(),
        _ if size >= 100.0 => format!("{value:.0}"),
        _ if size >= 10.0 => format!("{value:.1}"),
        _ if size >= 1.0 => format!("{value:.2}"),
        _ if size >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

/// Reads all reports of a directory and prints or writes the tables.
pub fn command(directory: &Path, page: Option<&Path>, json: bool) -> Result<(), String> {
    let target = read_target(directory)?;
    let reports = read_reports(directory)?;
    let rows: Vec<Row> = QUANTITIES
        .iter()
        .map(|q| Row::of(q, &reports, &target))
        .collect();
    if json {
        let text = serde_json::to_string(&rows).map_err(|e| e.to_string())?;
        println!("{text}");
        return Ok(());
    }
    let tables = tables(&rows, &reports, &target);
    match page {
        Some(page) => write_page(page, &tables),
        None => {
            println!("{tables}");
            Ok(())
        }
    }
}

fn read_target(directory: &Path) -> Result<Target, String> {
    let path = directory.join("target.toml");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_reports(directory: &Path) -> Result<Vec<Report>, String> {
    let problem = |path: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let entries = std::fs::read_dir(directory).map_err(|e| problem(directory, &e))?;
    let mut paths: Vec<_> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    paths.sort();
    let read = |path: &std::path::PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|e| problem(path, &e))?;
        serde_json::from_str(&text).map_err(|e| problem(path, &e))
    };
    paths.iter().map(read).collect()
}

fn write_page(page: &Path, tables: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(page).map_err(|e| format!("{}: {e}", page.display()))?;
    let marks = || {
        format!(
            "{}: the marks {BEGIN_MARK} and {END_MARK} are missing",
            page.display()
        )
    };
    let (before, rest) = text.split_once(BEGIN_MARK).ok_or_else(marks)?;
    let (_, after) = rest.split_once(END_MARK).ok_or_else(marks)?;
    let text = format!("{before}{BEGIN_MARK}\n\n{tables}\n{END_MARK}{after}");
    std::fs::write(page, text).map_err(|e| format!("{}: {e}", page.display()))
}

fn tables(rows: &[Row], reports: &[Report], target: &Target) -> String {
    let mut lines = vec![
        format!(
            "At one of {} regions: {} workers, {} starts a second at the peak.",
            target.regions,
            number(target.workers / target.regions),
            number(target.starts_per_s / target.regions)
        ),
        String::new(),
        "| quantity | at rest | + for 1,000 workers | + for 100 starts a second | at a region's size | budget | headroom | ends at, times a region's size | carried by |".into(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ];
    lines.extend(rows.iter().map(Row::text));
    lines.extend([
        String::new(),
        "The runs, one line each:".into(),
        String::new(),
        "| run | seed | ended | workers | tasks | starts/s | cores, all controllers | busiest (peak) | MB, largest | sockets, fullest | state requests/s | writes/s | writes refused/s | urgent accepted p99 ms | urgent start p50, p99 ms | leases lapsed | broken rules | load |".into(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ]);
    let mut reports: Vec<&Report> = reports.iter().collect();
    reports.sort_by(|a, b| {
        let key = |r: &Report| (r.name.clone(), rate(r, "workers").round() as u64);
        key(a)
            .cmp(&key(b))
            .then(rate(a, "task starts a second").total_cmp(&rate(b, "task starts a second")))
    });
    lines.extend(reports.into_iter().map(run_line));
    lines.join("\n") + "\n"
}

fn run_line(report: &Report) -> String {
    let cpu = controllers(report, |p| p.cpu_mean);
    let latencies = report.latencies.get("urgent").copied().unwrap_or_default();
    let (accepted, urgent) = (latencies.accept, latencies.first_start);
    let cells = [
        report.name.clone(),
        report.experiment.seed.to_string(),
        report.ended.clone(),
        format!("{:.0}", rate(report, "workers")),
        format!("{:.0}", rate(report, "tasks")),
        number(rate(report, "task starts a second")),
        number(cpu.iter().sum()),
        format!(
            "{} ({})",
            number(most(&cpu)),
            number(most(&controllers(report, |p| p.cpu_peak)))
        ),
        number(most(&controllers(report, |p| p.memory_mb_max))),
        number(most(&controllers(report, |p| p.sockets_max as f64))),
        number(messages(report, &STATE_KINDS)),
        number(stand_in(report, "state service", "writes taken") / report.window_s),
        number(stand_in(report, "state service", "writes refused (429)") / report.window_s),
        format!("{:.0}", accepted.p99_ms),
        format!("{:.0}, {:.0}", urgent.p50_ms, urgent.p99_ms),
        number(lapsed(report)),
        report.rules.broken.len().to_string(),
        format!("{:.0}", report.machine.load_after),
    ];
    format!("| {} |", cells.join(" | "))
}
