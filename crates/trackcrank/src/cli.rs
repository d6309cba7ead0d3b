//! The command line: runs a controller, checks a settings file, or sends an admin command.

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
    about = "Controller of the trackcrank cluster scheduler"
)]
struct Arguments {
    /// Run the controller that this settings file configures.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file.
    Check { file: PathBuf },
    /// Query a running controller, or change the operators' settings.
    Admin {
        /// Address of the controller, such as 10.0.0.1:8080.
        #[arg(long = "node", value_name = "ADDRESS")]
        address: String,
        #[command(subcommand)]
        command: AdminCommand,
    },
}

#[derive(Subcommand)]
enum AdminCommand {
    /// Show the operators' settings and their version.
    Settings,
    /// Replace the operators' settings.
    Set {
        /// Version that the `settings` command shows; a stale one is refused.
        #[arg(long)]
        version: u64,
        /// JSON object of the fields that differ from their defaults.
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

/// Sends an admin command to the controller at `address` and prints the response.
fn run_admin_command(address: &str, command: AdminCommand) -> Result<(), CliError> {
    let (method, path, body) = match command {
        AdminCommand::Settings => (Method::GET, "settings".to_owned(), None),
        AdminCommand::Set { version, settings } => {
            let settings: serde_json::Value =
                serde_json::from_str(&settings).map_err(CliError::SettingsJson)?;
            let body = serde_json::json!({ "version": version, "settings": settings });
            (
                Method::PUT,
                "settings".to_owned(),
                Some(body.to_string().into_bytes()),
            )
        }
        AdminCommand::Partitions => (Method::GET, "partitions".to_owned(), None),
        AdminCommand::Standby => (Method::GET, "standby".to_owned(), None),
        AdminCommand::Machines => (Method::GET, "machines".to_owned(), None),
        AdminCommand::Queues => (Method::GET, "queues".to_owned(), None),
        AdminCommand::Job { id } => (Method::GET, format!("jobs/{id}"), None),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?;
    let path = format!("/admin/v1/{path}");
    let client = HttpClient::new(None);
    match runtime.block_on(client.call_admin_api(method, address, &path, body)) {
        Some((200, body)) => {
            println!("{body}");
            Ok(())
        }
        Some((status, body)) => Err(CliError::ErrorStatus { status, body }),
        None => Err(CliError::NoResponse {
            address: address.to_owned(),
        }),
    }
}

fn load_settings(file: &Path) -> Result<Settings, CliError> {
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
    let is_http_library = |target: &str| target.starts_with("hyper") || target.starts_with("poem");
    let filter = filter_fn(move |metadata| {
        *metadata.level() <= level
            && (*metadata.level() <= Level::INFO || !is_http_library(metadata.target()))
    });
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry()
        .with(layer.with_filter(filter))
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

/// Parses the command line and runs the command that it names.
pub fn run() -> ExitCode {
    let arguments = Arguments::parse();
    match (arguments.config, arguments.command) {
        (Some(file), None) => {
            start_logging();
            exit_code(load_settings(&file).and_then(|settings| Ok(serve(settings)?)))
        }
        (_, Some(Command::Check { file })) => exit_code(load_settings(&file).map(|settings| {
            println!("{}: good, {} teams", settings.name, settings.teams.len());
        })),
        (_, Some(Command::Admin { address, command })) => {
            exit_code(run_admin_command(&address, command))
        }
        (None, None) => exit_code(Err(CliError::MissingCommand)),
    }
}
