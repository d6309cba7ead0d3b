//! The command line.

use clap::{Parser, Subcommand};
use model::Settings;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;
use tracing::Level;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

#[derive(Parser)]
#[command(name = "trackcrank", version, about = "A cluster scheduler's controller node")]
struct Arguments {
    /// Serve as the controller that this settings file describes.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file.
    Check { file: PathBuf },
}

fn load(file: &Path) -> Result<Settings, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Settings::parse(&text).map_err(|e| e.to_string())
}

fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        _ => LevelFilter::INFO,
    };
    // The libraries' own debug lines would drown ours.
    let quiet = |name: &str| name.starts_with("hyper") || name.starts_with("poem");
    let ours = filter_fn(move |meta| {
        *meta.level() <= level && (*meta.level() <= Level::INFO || !quiet(meta.target()))
    });
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(ours)).init();
}

fn outcome(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("trackcrank: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Runs what the command line asks for.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match (arguments.config, arguments.command) {
        (Some(file), None) => {
            start_logging();
            outcome(load(&file).and_then(crate::runtime::serve))
        }
        (_, Some(Command::Check { file })) => outcome(load(&file).map(|settings| {
            println!("{}: good, {} teams", settings.name, settings.teams.len());
        })),
        (None, None) => outcome(Err("nothing to do: see --help".into())),
    }
}
