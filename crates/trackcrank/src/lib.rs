//! trackcrank: the controller process around [`controller::Controller`], and the command line.

pub mod cli;
pub mod clients;
pub mod error;
pub mod inbound;
pub mod listen;
pub mod mesh;
pub mod metrics;
pub mod runtime;
pub mod server;
