//! trackcrank: one controller node, and the operators' command line.

pub mod cli;
pub mod clients;
pub mod inbound;
pub mod listen;
pub mod mesh;
pub mod metrics;
pub mod runtime;
pub mod server;
