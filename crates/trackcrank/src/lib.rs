//! The `trackcrank` executable: the process that runs a [`controller::Controller`], and the command line.

#![warn(missing_docs)]

pub mod cli;
pub mod clients;
pub mod error;
pub mod inbound;
pub mod listen;
pub mod mesh;
pub mod metrics;
pub mod runtime;
pub mod server;
