//! Errors with which the process exits.

use model::settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a controller cannot serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The asynchronous runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The metrics cannot be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The mesh listener cannot be bound.
    #[error("cannot listen on mesh_addr {address}: {source}")]
    MeshListener {
        /// Address in the settings.
        address: SocketAddr,
        /// Why it cannot be bound.
        source: io::Error,
    },
    /// The HTTP server cannot bind its listener, or its listener failed.
    #[error("HTTP server on serve_on {address} failed: {source}")]
    HttpServer {
        /// Address in the settings.
        address: SocketAddr,
        /// Why the server failed.
        source: io::Error,
    },
    /// The HTTP server returned without an error, or panicked.
    #[error("the HTTP server stopped unexpectedly")]
    ServerStopped,
}

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CliError {
    /// The settings file cannot be read.
    #[error("cannot read settings file {}: {source}", file.display())]
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
    /// The new settings of an admin command are not valid JSON.
    #[error("the new settings are not valid JSON: {0}")]
    SettingsJson(#[source] serde_json::Error),
    /// The asynchronous runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The controller responded with an error status.
    #[error("the controller responded with status {status}: {body}")]
    ErrorStatus {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The controller could not be reached, or did not respond in time.
    #[error("no response from the controller at {address}")]
    NoResponse {
        /// Address of the controller.
        address: String,
    },
    /// Neither a settings file nor a command is given.
    #[error("neither --config nor a command is given; see --help")]
    MissingCommand,
}
