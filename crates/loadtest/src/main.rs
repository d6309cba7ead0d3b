//! Command line of the load tests, which run on one machine; see `docs/operations.md`.

use clap::{Parser, Subcommand};
use loadtest::config::Experiment;
use loadtest::experiment::{self, Programs};
use loadtest::report::Report;
use loadtest::{capacity, report, role};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Measures real controller processes against simulated services, workers and users over loopback.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment and reports what it measured.
    Run {
        /// The experiment file.
        file: PathBuf,
        /// The controller program; by default `trackcrank` in the directory of this program.
        #[arg(long)]
        controller: Option<PathBuf>,
        /// Prints the report as JSON on standard output instead of a summary.
        #[arg(long)]
        json: bool,
        /// Writes the report as JSON to this file.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Overrides a field of the experiment file, for example `workers.count=500`.
        #[arg(long)]
        set: Vec<String>,
    },
    /// Validates an experiment file without running it.
    Check { file: PathBuf },
    /// Fits a linear model to the reports in a directory and prints the tables of docs/capacity.md.
    Capacity {
        directory: PathBuf,
        /// Writes the tables into this page, between its markers, instead of printing them.
        #[arg(long)]
        page: Option<PathBuf>,
        /// Prints the rows of the table of quantities as JSON instead.
        #[arg(long)]
        json: bool,
    },
    /// Runs one of the processes of an experiment; started by `run`.
    #[command(hide = true)]
    Role,
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Run {
            file,
            controller,
            json,
            report,
            set,
        } => load_experiment(&file, &set)
            .and_then(|experiment| run(&experiment, controller, json, report.as_deref())),
        Command::Check { file } => load_experiment(&file, &[]).map(|experiment| {
            println!(
                "{}: valid, {} workers",
                experiment.name, experiment.workers.count
            );
            true
        }),
        Command::Capacity {
            directory,
            page,
            json,
        } => capacity::run_command(&directory, page.as_deref(), json).map(|()| true),
        Command::Role => role::run().map(|()| true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("trackcrank-loadtest: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load_experiment(file: &Path, overrides: &[String]) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Experiment::parse_with_overrides(&text, overrides)
        .map_err(|e| format!("{}: {e}", file.display()))
}

/// Runs an experiment; false if the run did not complete or a rule was broken.
fn run(
    experiment: &Experiment,
    controller: Option<PathBuf>,
    json: bool,
    report_path: Option<&Path>,
) -> Result<bool, String> {
    let loadtest = std::env::current_exe().map_err(|e| e.to_string())?;
    let controller = controller.unwrap_or_else(|| loadtest.with_file_name("trackcrank"));
    let programs = Programs {
        controller,
        loadtest,
    };
    let report = experiment::run(experiment, &programs, &mut |line| eprintln!("{line}"))?;
    let text = serde_json::to_string(&report).map_err(|e| e.to_string())?;
    if let Some(path) = report_path {
        std::fs::write(path, format!("{text}\n"))
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if json {
        println!("{text}");
    } else {
        print_summary(&report);
    }
    Ok(report.ended == report::COMPLETED && report.rules.broken.is_empty())
}

fn print_summary(report: &Report) {
    println!("{}: {} ({})", report.name, report.ended, report.setting);
    for (name, value) in &report.rates {
        println!("  {name}: {value:.1}");
    }
    for process in report
        .processes
        .iter()
        .filter(|p| report::is_controller(&p.name))
    {
        println!(
            "  {}: {:.3} cores (peak {:.2}), {:.0} MB, {} sockets",
            process.name,
            process.cpu_mean,
            process.cpu_peak,
            process.memory_mb_max,
            process.sockets_max
        );
    }
    for (class, latencies) in &report.latencies {
        let start = latencies.first_start;
        println!(
            "  {class}: acceptance p99 {:.0} ms, first start p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
            latencies.accept.p99_ms, start.p50_ms, start.p99_ms, start.max_ms
        );
    }
    for exit in &report.unexpected_ends {
        println!("  unexpected exit: {exit}");
    }
    println!("  broken rules: {}", report.rules.broken.len());
    for broken in &report.rules.broken {
        println!(
            "    {} at {} ms: {}",
            broken.rule, broken.at_ms, broken.details
        );
    }
}
