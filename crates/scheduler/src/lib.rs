//! What runs where within one partition: scheduling cycles, filters and scores, quota,
//! guarantee, preemption, gangs, and the bookkeeping of what workers report.
//!
//! Nothing here does I/O. The owner of a [`Share`] feeds it jobs, machines, reports and
//! times, writes what [`Share::take_dirty`] hands out, and sends what
//! [`Share::commands_for`] says.

mod beside;
pub mod best_effort;
pub mod blame;
pub mod commands;
pub mod consolidate;
pub mod cycle;
pub mod demand;
mod gangs;
pub mod job;
pub mod machine;
pub mod observe;
pub mod preempt;
mod promises;
mod rooms;
pub mod share;
mod shortage;
mod silence;
mod takeover;
mod victims;

pub use commands::Route;
pub use job::{ChunkBody, Job, PlacedTask, Placement, Stop, CHUNK};
pub use machine::Machine;
pub use observe::Source;
pub use share::{ChunkKey, EntryKey, Policy, Share, Written};
pub use takeover::Question;
