//! Load tests of trackcrank on one machine, see `docs/operations.md`.

use clap::{Parser, Subcommand};
use loadtest::config::Experiment;
use loadtest::experiment::{self, Programs};
use loadtest::report::Report;
use loadtest::{capacity, report, role};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs real controllers against stand-ins over loopback, and measures them.
#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment.
    Run {
        /// The experiment file.
        file: PathBuf,
        /// The controller program; by default the one beside this program.
        #[arg(long)]
        controller: Option<PathBuf>,
        /// Prints the report as JSON on standard output.
        #[arg(long)]
        json: bool,
        /// Writes the report as JSON into a file.
        #[arg(long)]
        report: Option<PathBuf>,
        /// Sets a field of the file otherwise, as `workers.count=500`.
        #[arg(long)]
        set: Vec<String>,
    },
    /// Checks an experiment file without running it.
    Check { file: PathBuf },
    /// Fits lines through the reports in a directory and prints the tables of docs/capacity.md.
    Capacity {
        directory: PathBuf,
        /// Writes the tables into this page, between its marks.
        #[arg(long)]
        page: Option<PathBuf>,
        /// Prints the fits as JSON.
        #[arg(long)]
        json: bool,
    },
    /// One of the processes of a run; started by `run`.
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
        } => load(&file, &set)
            .and_then(|experiment| run(&experiment, controller, json, report.as_deref())),
        Command::Check { file } => load(&file, &[]).map(|experiment| {
            println!(
                "{}: good, {} workers",
                experiment.name, experiment.workers.count
            );
            true
        }),
        Command::Capacity {
            directory,
            page,
            json,
        } => capacity::command(&directory, page.as_deref(), json).map(|()| true),
        Command::Role => role::run().map(|()| true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("trackcrank-loadtest: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn load(file: &Path, changes: &[String]) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Experiment::parse_with(&text, changes).map_err(|e| format!("{}: {e}", file.display()))
}

/// Runs an experiment; false if it was not whole or broke a rule.
fn run(
    experiment: &Experiment,
    controller: Option<PathBuf>,
    json: bool,
    to: Option<&Path>,
) -> Result<bool, String> {
    let loadtest = std::env::current_exe().map_err(|e| e.to_string())?;
    let controller = controller.unwrap_or_else(|| loadtest.with_file_name("trackcrank"));
    let programs = Programs {
        controller,
        loadtest,
    };
    let report = experiment::run(experiment, &programs, &mut |line| eprintln!("{line}"))?;
    let text = serde_json::to_string(&report).map_err(|e| e.to_string())?;
    if let Some(to) = to {
        std::fs::write(to, format!("{text}\n")).map_err(|e| format!("{}: {e}", to.display()))?;
    }
    if json {
        println!("{text}");
    } else {
        summarize(&report);
    }
    Ok(report.ended == "whole" && report.rules.broken.is_empty())
}

fn summarize(report: &Report) {
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
            "  {class}: accepted within {:.0} ms (p99), first start p50 {:.0} ms, p99 {:.0} ms, max {:.0} ms",
            latencies.accept.p99_ms, start.p50_ms, start.p99_ms, start.max_ms
        );
    }
    for ended in &report.unexpected_ends {
        println!("  ended by itself: {ended}");
    }
    println!("  broken rules: {}", report.rules.broken.len());
    for broken in &report.rules.broken {
        println!(
            "    {} at {} ms: {}",
            broken.rule, broken.at_ms, broken.what
        );
    }
}
