//! Errors that end the process or the command line.

use model::settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a controller cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The asynchronous runtime does not start.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The mesh listener cannot be bound.
    #[error("mesh_addr {address}: {source}")]
    Mesh {
        /// Address in the settings.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: io::Error,
    },
    /// The HTTP listener cannot be bound, or has failed.
    #[error("serve_on {address}: {source}")]
    Http {
        /// Address in the settings.
        address: SocketAddr,
        /// What has failed.
        source: io::Error,
    },
    /// The HTTP server has ended without an error.
    #[error("the server has ended")]
    ServerEnded,
}

/// Why a command of the command line fails.
#[derive(Debug, Error)]
pub enum CliError {
    /// The settings file cannot be read.
    #[error("{}: {source}", file.display())]
    ReadFile {
        /// Path of the file.
        file: PathBuf,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// The settings file is not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The controller cannot serve.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The new settings of an admin command are no JSON.
    #[error("settings: {0}")]
    SettingsJson(#[source] serde_json::Error),
    /// The asynchronous runtime does not start.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The controller responded with an error status.
    #[error("{status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The controller did not respond in time.
    #[error("{node}: no answer")]
    NoResponse {
        /// Address of the controller.
        node: String,
    },
    /// Neither a settings file nor a command is given.
    #[error("nothing to do: see --help")]
    NothingToDo,
}
