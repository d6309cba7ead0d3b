//! The capacity tables: fits a linear model to the reports of runs of several sizes and extrapolates it to the planned
//! size of a region.

use crate::fit::{Estimate, Fit, Point};
use crate::report::{is_controller, Report, COMPLETED};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Names of the experiments that are fitted: one series varies the number of workers, the other the task start rate.
const WORKERS_SERIES: &str = "workers";
const STARTS_SERIES: &str = "starts";
/// Kinds of requests to the state service and to the cloud, as in [`Report::traffic`].
const STATE_KINDS: [&str; 7] = ["get", "list", "txn", "lease", "renew", "end lease", "watch"];
const CLOUD_KINDS: [&str; 4] = ["machine types", "rent", "release", "list machines"];
/// Kinds of messages between controllers and workers.
const WORKER_KINDS: [&str; 3] = ["report", "commands", "status"];
/// Markers in the page between which the tables are written.
const BEGIN_MARKER: &str = "<!-- capacity: begin -->";
const END_MARKER: &str = "<!-- capacity: end -->";

/// The planned size of the deployment and the budgets of each region, from `target.toml`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Workers of all regions together; they are evenly divided among the regions.
    pub workers: f64,
    /// Peak rate of task starts of all regions together, also evenly divided.
    pub starts_per_s: f64,
    pub regions: f64,
    /// Controllers in each region.
    pub controllers: f64,
    /// Budgets of each controller.
    pub controller_cores: f64,
    pub controller_memory_mb: f64,
    pub controller_sockets: f64,
    /// Rate limits of the state service and of the cloud in each region.
    pub state_requests_per_s: f64,
    pub state_writes_per_s: f64,
    pub cloud_requests_per_s: f64,
    /// Budget of each worker for traffic with controllers.
    pub worker_bytes_per_s: f64,
}

/// A quantity of a report and its budget.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    /// Modules that are responsible for it in the present design.
    module: &'static str,
    value: fn(&Report) -> f64,
    budget: fn(&Target) -> f64,
}

const QUANTITIES: [Quantity; 10] = [
    Quantity {
        name: "processor time, all controllers",
        unit: "cores",
        module: "`scheduler`, `scheduling-queue`, `controller::controller`",
        value: |report| controller_values(report, |p| p.cpu_mean).iter().sum(),
        budget: |target| target.controllers * target.controller_cores,
    },
    Quantity {
        name: "processor time, busiest controller",
        unit: "cores",
        module: "`controller::controller::fleet_planner`, `autoscaler`",
        value: |report| max_of(&controller_values(report, |p| p.cpu_mean)),
        budget: |target| target.controller_cores,
    },
    Quantity {
        name: "processor time, busiest second of a controller",
        unit: "cores",
        module: "`controller::controller`",
        value: |report| max_of(&controller_values(report, |p| p.cpu_peak)),
        budget: |target| target.controller_cores,
    },
    Quantity {
        name: "memory, largest controller",
        unit: "MB",
        module: "`controller::state_cache`, `scheduler::machine`",
        value: |report| max_of(&controller_values(report, |p| p.memory_mb_max)),
        budget: |target| target.controller_memory_mb,
    },
    Quantity {
        name: "sockets, fullest controller",
        unit: "sockets",
        module: "`trackcrank::server`, `trackcrank::clients`",
        value: |report| max_of(&controller_values(report, |p| p.sockets_max as f64)),
        budget: |target| target.controller_sockets,
    },
    Quantity {
        name: "reports, all workers",
        unit: "messages/s",
        module: "`controller::controller::heartbeats`",
        value: |report| messages_per_s(report, &["report"]),
        budget: |_| f64::INFINITY,
    },
    Quantity {
        name: "control traffic, all workers",
        unit: "bytes/s",
        module: "`wire::workers`",
        value: |report| bytes_per_s(report, &WORKER_KINDS),
        budget: |target| target.workers / target.regions * target.worker_bytes_per_s,
    },
    Quantity {
        name: "state service, requests",
        unit: "requests/s",
        module: "`controller::request_budget`, `controller::state_cache` (watches)",
        value: |report| messages_per_s(report, &STATE_KINDS),
        budget: |target| target.state_requests_per_s,
    },
    Quantity {
        name: "state service, puts and deletes",
        unit: "writes/s",
        module: "`controller::placement_log`, `controller::records`",
        value: |report| process_figure(report, "state service", "writes taken") / report.window_s,
        budget: |target| target.state_writes_per_s,
    },
    Quantity {
        name: "cloud, requests",
        unit: "requests/s",
        module: "`controller::controller::fleet_planner`",
        value: |report| messages_per_s(report, &CLOUD_KINDS),
        budget: |target| target.cloud_requests_per_s,
    },
];

/// The value of each controller of a run.
fn controller_values(
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

fn max_of(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Rate of messages of some kinds, of all controllers together.
fn messages_per_s(report: &Report, kinds: &[&str]) -> f64 {
    let all = report.traffic.values().flatten();
    all.filter(|(kind, _)| kinds.contains(&kind.as_str()))
        .map(|(_, t)| t.messages_per_s)
        .sum()
}

/// Rate of bytes of some kinds of messages, in both directions, of all controllers together.
fn bytes_per_s(report: &Report, kinds: &[&str]) -> f64 {
    let all = report.traffic.values().flatten();
    let selected = all.filter(|(kind, _)| kinds.contains(&kind.as_str()));
    selected
        .map(|(_, t)| t.bytes_from_controller_per_s + t.bytes_to_controller_per_s)
        .sum()
}

/// A figure of a process with a simulated service, workers or users; 0 if it is not in the report.
fn process_figure(report: &Report, process: &str, figure: &str) -> f64 {
    report
        .stand_ins
        .get(process)
        .and_then(|f| f.get(figure))
        .copied()
        .unwrap_or_default()
}

/// Number of workers' leases that expired.
fn expired_leases(report: &Report) -> f64 {
    report
        .stand_ins
        .values()
        .filter_map(|f| f.get("leases that lapsed"))
        .sum()
}

fn rate(report: &Report, name: &str) -> f64 {
    report.rates.get(name).copied().unwrap_or_default()
}

/// A row of the table of quantities: a quantity, its fit and the extrapolation to the size of a region.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub quantity: &'static str,
    pub unit: &'static str,
    pub module: &'static str,
    /// `None` if the reports do not determine it.
    pub fit: Option<Fit>,
    pub extrapolated: Option<Estimate>,
    pub budget: f64,
}

impl Row {
    fn new(quantity: &Quantity, reports: &[Report], target: &Target) -> Row {
        let series = [WORKERS_SERIES, STARTS_SERIES];
        let in_series = reports.iter().filter(|r| series.contains(&r.name.as_str()));
        let points: Vec<Point> = in_series
            .filter(|report| report.ended == COMPLETED)
            .map(|report| Point {
                workers: rate(report, "workers"),
                starts_per_s: rate(report, "task starts a second"),
                value: (quantity.value)(report),
            })
            .collect();
        let fit = Fit::from_points(&points);
        let workers = target.workers / target.regions;
        let starts_per_s = target.starts_per_s / target.regions;
        Row {
            quantity: quantity.name,
            unit: quantity.unit,
            module: quantity.module,
            fit,
            extrapolated: fit.map(|fit| fit.predict(workers, starts_per_s)),
            budget: (quantity.budget)(target),
        }
    }

    /// The row in Markdown.
    fn markdown(&self) -> String {
        let budget = if self.budget.is_finite() {
            format_number(self.budget)
        } else {
            "none set".into()
        };
        let (Some(fit), Some(extrapolated)) = (self.fit, self.extrapolated) else {
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
            estimate_text(extrapolated, 1.0),
            self.headroom_text(extrapolated.value),
            self.scale_limit_text(fit.constant.value, extrapolated.value),
            self.module
        )
    }

    /// The multiple of a region's workers and task starts at which the budget is used up.
    fn scale_limit_text(&self, at_rest: f64, extrapolated: f64) -> String {
        let growth = extrapolated - at_rest;
        if !self.budget.is_finite() || growth <= 0.0 {
            return "-".into();
        }
        format_number((self.budget - at_rest) / growth)
    }

    /// The fraction of the budget that is left, or by how much the budget is exceeded.
    fn headroom_text(&self, extrapolated: f64) -> String {
        if !self.budget.is_finite() {
            return "-".into();
        }
        let budget_ratio = self.budget / extrapolated.max(f64::EPSILON);
        if budget_ratio >= 1.0 {
            format!("{}%", ((1.0 - 1.0 / budget_ratio) * 100.0).round())
        } else {
            format!(
                "**does not fit: {:.1} times the budget**",
                1.0 / budget_ratio
            )
        }
    }
}

/// An estimate and its standard error, both multiplied by `factor`.
fn estimate_text(estimate: Estimate, factor: f64) -> String {
    format!(
        "{} ± {}",
        format_number(estimate.value * factor),
        format_number(estimate.standard_error * factor)
    )
}

/// Formats a number to about three significant digits, without an exponent.
fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    match magnitude {
        0.0 => "0".into(),
        _ if magnitude >= 100.0 => format!("{value:.0}"),
        _ if magnitude >= 10.0 => format!("{value:.1}"),
        _ if magnitude >= 1.0 => format!("{value:.2}"),
        _ if magnitude >= 0.01 => format!("{value:.3}"),
        _ => format!("{value:.5}"),
    }
}

/// Reads all reports of a directory and prints the tables, or writes them into `page`.
pub fn run_command(directory: &Path, page: Option<&Path>, json: bool) -> Result<(), String> {
    let target = read_target(directory)?;
    let reports = read_reports(directory)?;
    let rows: Vec<Row> = QUANTITIES
        .iter()
        .map(|q| Row::new(q, &reports, &target))
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
    let error_text = |path: &Path, e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let entries = std::fs::read_dir(directory).map_err(|e| error_text(directory, &e))?;
    let mut paths: Vec<_> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    paths.sort();
    let read_report = |path: &std::path::PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|e| error_text(path, &e))?;
        serde_json::from_str(&text).map_err(|e| error_text(path, &e))
    };
    paths.iter().map(read_report).collect()
}

fn write_page(page: &Path, tables: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(page).map_err(|e| format!("{}: {e}", page.display()))?;
    let missing_markers = || {
        format!(
            "{}: the markers {BEGIN_MARKER} and {END_MARKER} are missing",
            page.display()
        )
    };
    let (before, rest) = text.split_once(BEGIN_MARKER).ok_or_else(missing_markers)?;
    let (_, after) = rest.split_once(END_MARKER).ok_or_else(missing_markers)?;
    let text = format!("{before}{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}{after}");
    std::fs::write(page, text).map_err(|e| format!("{}: {e}", page.display()))
}

/// The tables in Markdown: one of the quantities and one of the runs.
fn tables(rows: &[Row], reports: &[Report], target: &Target) -> String {
    let mut lines = vec![
        format!(
            "At one of {} regions: {} workers, {} starts a second at the peak.",
            target.regions,
            format_number(target.workers / target.regions),
            format_number(target.starts_per_s / target.regions)
        ),
        String::new(),
        "| quantity | at rest | + for 1,000 workers | + for 100 starts a second | at a region's size | budget | headroom | ends at, times a region's size | carried by |".into(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ];
    lines.extend(rows.iter().map(Row::markdown));
    lines.extend([
        String::new(),
        "The runs, one line each:".into(),
        String::new(),
        "| run | seed | ended | workers | tasks | starts/s | cores, all controllers | busiest (peak) | MB, largest | sockets, fullest | state requests/s | writes/s | writes refused/s | urgent accepted p99 ms | urgent start p50, p99 ms | leases lapsed | broken rules | load |".into(),
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |".into(),
    ]);
    let mut reports: Vec<&Report> = reports.iter().collect();
    reports.sort_by(|a, b| {
        let name_and_workers = |r: &Report| (r.name.clone(), rate(r, "workers").round() as u64);
        name_and_workers(a)
            .cmp(&name_and_workers(b))
            .then(rate(a, "task starts a second").total_cmp(&rate(b, "task starts a second")))
    });
    lines.extend(reports.into_iter().map(run_row));
    lines.join("\n") + "\n"
}

/// The row of a run in Markdown.
fn run_row(report: &Report) -> String {
    let cpu_means = controller_values(report, |p| p.cpu_mean);
    let latencies = report.latencies.get("urgent").copied().unwrap_or_default();
    let (acceptance, start) = (latencies.accept, latencies.first_start);
    let cells = [
        report.name.clone(),
        report.experiment.seed.to_string(),
        report.ended.clone(),
        format!("{:.0}", rate(report, "workers")),
        format!("{:.0}", rate(report, "tasks")),
        format_number(rate(report, "task starts a second")),
        format_number(cpu_means.iter().sum()),
        format!(
            "{} ({})",
            format_number(max_of(&cpu_means)),
            format_number(max_of(&controller_values(report, |p| p.cpu_peak)))
        ),
        format_number(max_of(&controller_values(report, |p| p.memory_mb_max))),
        format_number(max_of(&controller_values(report, |p| p.sockets_max as f64))),
        format_number(messages_per_s(report, &STATE_KINDS)),
        format_number(process_figure(report, "state service", "writes taken") / report.window_s),
        format_number(
            process_figure(report, "state service", "writes refused (429)") / report.window_s,
        ),
        format!("{:.0}", acceptance.p99_ms),
        format!("{:.0}, {:.0}", start.p50_ms, start.p99_ms),
        format_number(expired_leases(report)),
        report.rules.broken.len().to_string(),
        format!("{:.0}", report.machine.load_after),
    ];
    format!("| {} |", cells.join(" | "))
}
