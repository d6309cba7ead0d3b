//! Fingerprints of behavior: digests of everything that the controllers send in a fixed list of simulated runs. A
//! change that must not alter behavior must not alter any digest.
//!
//! The hash covers what a process would send and the simulated time of sending: methods, paths, bodies, MessagePack
//! frames and status codes. Names of Rust types and fields count only if they are on the wire.

mod message;
mod recorder;
mod runs;
mod stored;

pub use recorder::Recorder;
pub use runs::{all_runs, short_runs, Run, RunOutcome};
pub use stored::{ParseError, StoredDigests};

pub(crate) use message::OutgoingMessage;
