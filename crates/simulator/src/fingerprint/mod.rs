//! Fingerprints of behaviour: digests of everything that leaves the controllers in a fixed list of
//! simulated runs. A change that is to keep behaviour as it is leaves every digest as it was.
//!
//! What is hashed is what a process would send, with the simulated time: methods, paths, bodies,
//! MessagePack frames and status codes. Names of Rust types and fields count only as far as they
//! are on the wire.

mod message;
mod recorder;
mod runs;
mod stored;

pub use recorder::Recorder;
pub use runs::{all_runs, short_runs, Run, RunOutcome};
pub use stored::{ParseError, StoredDigests};

pub(crate) use message::OutgoingMessage;
