//! The command line.

use crate::clients::HttpClient;
use clap::{Parser, Subcommand};
use hyper::Method;
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
#[command(
    name = "trackcrank",
    version,
    about = "A cluster scheduler's controller node"
)]
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
    /// Read and change a running controller's settings and views.
    Admin {
        /// Address of the controller, such as 10.0.0.1:8080.
        #[arg(long, value_name = "ADDRESS")]
        node: String,
        #[command(subcommand)]
        what: Admin,
    },
}

#[derive(Subcommand)]
enum Admin {
    /// Show the operators' settings and their version.
    Settings,
    /// Change settings: a JSON object of the fields that are not to have their default.
    Set {
        /// The version that was read; a stale one is refused.
        #[arg(long)]
        version: u64,
        settings: String,
    },
    /// Who holds which partition.
    Partitions,
    /// Who stands by for whom, and how far behind.
    Standby,
    /// The machines and what runs on them.
    Machines,
    /// The scheduling queues.
    Queues,
    /// Where a job stands and why it waits.
    Job { id: String },
}

fn administer(node: &str, what: Admin) -> Result<(), String> {
    let (method, path, body) = match what {
        Admin::Settings => (Method::GET, "settings".to_owned(), None),
        Admin::Set { version, settings } => {
            let settings: serde_json::Value =
                serde_json::from_str(&settings).map_err(|e| format!("settings: {e}"))?;
            let body = serde_json::json!({ "version": version, "settings": settings });
            (
                Method::PUT,
                "settings".to_owned(),
                Some(body.to_string().into_bytes()),
            )
        }
        Admin::Partitions => (Method::GET, "partitions".to_owned(), None),
        Admin::Standby => (Method::GET, "standby".to_owned(), None),
        Admin::Machines => (Method::GET, "machines".to_owned(), None),
        Admin::Queues => (Method::GET, "queues".to_owned(), None),
        Admin::Job { id } => (Method::GET, format!("jobs/{id}"), None),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    let path = format!("/admin/v1/{path}");
    match runtime.block_on(HttpClient::new(None).plain(method, node, &path, body)) {
        Some((200, body)) => {
            println!("{body}");
            Ok(())
        }
        Some((status, body)) => Err(format!("{status}: {body}")),
        None => Err(format!("{node}: no answer")),
    }
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
    tracing_subscriber::registry()
        .with(lines.with_filter(ours))
        .init();
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
        (_, Some(Command::Admin { node, what })) => outcome(administer(&node, what)),
        (None, None) => outcome(Err("nothing to do: see --help".into())),
    }
}
