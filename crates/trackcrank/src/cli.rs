//! The command line: serving, checking a settings file, and admin commands.

use crate::clients::HttpClient;
use crate::error::CliError;
use crate::runtime::serve;
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
    /// Change settings: a JSON object of the fields that differ from their default.
    Set {
        /// The version that was read; a stale one is refused.
        #[arg(long)]
        version: u64,
        settings: String,
    },
    /// Show the leader of each partition.
    Partitions,
    /// Show the standby of each partition and how far its replica is behind.
    Standby,
    /// Show the machines and their tasks.
    Machines,
    /// Show the scheduling queues.
    Queues,
    /// Show the state of a job and why its tasks wait.
    Job { id: String },
}

/// Sends an admin command to a controller and prints the response.
fn run_admin_command(node: &str, command: Admin) -> Result<(), CliError> {
    let (method, path, body) = match command {
        Admin::Settings => (Method::GET, "settings".to_owned(), None),
        Admin::Set { version, settings } => {
            let settings: serde_json::Value =
                serde_json::from_str(&settings).map_err(CliError::SettingsJson)?;
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
        .map_err(CliError::Runtime)?;
    let path = format!("/admin/v1/{path}");
    match runtime.block_on(HttpClient::new(None).plain(method, node, &path, body)) {
        Some((200, body)) => {
            println!("{body}");
            Ok(())
        }
        Some((status, body)) => Err(CliError::Status { status, body }),
        None => Err(CliError::NoResponse {
            node: node.to_owned(),
        }),
    }
}

fn load(file: &Path) -> Result<Settings, CliError> {
    let text = std::fs::read_to_string(file).map_err(|source| CliError::ReadFile {
        file: file.to_owned(),
        source,
    })?;
    Ok(Settings::parse(&text)?)
}

fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        Ok("warn") => LevelFilter::WARN,
        _ => LevelFilter::INFO,
    };
    // Debug lines of the HTTP libraries would hide those of this program.
    let is_noisy = |name: &str| name.starts_with("hyper") || name.starts_with("poem");
    let filter = filter_fn(move |metadata| {
        *metadata.level() <= level
            && (*metadata.level() <= Level::INFO || !is_noisy(metadata.target()))
    });
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .init();
}

fn exit_code(result: Result<(), CliError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trackcrank: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the command line and runs it.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match (arguments.config, arguments.command) {
        (Some(file), None) => {
            start_logging();
            exit_code(load(&file).and_then(|settings| Ok(serve(settings)?)))
        }
        (_, Some(Command::Check { file })) => exit_code(load(&file).map(|settings| {
            println!("{}: good, {} teams", settings.name, settings.teams.len());
        })),
        (_, Some(Command::Admin { node, what })) => exit_code(run_admin_command(&node, what)),
        (None, None) => exit_code(Err(CliError::NothingToDo)),
    }
}
