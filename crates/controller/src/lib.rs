//! One controller node as a pure state machine: partitions and terms, takeover and
//! hand-over, records in the state service, answers to users and workers.
//!
//! [`Controller::handle`] takes events and a steady time and returns effects; it does no I/O.

pub mod controller;
pub mod placement_log;
pub mod records;
pub mod rejections;
pub mod request_budget;
mod serial_writer;
pub mod state_cache;

pub use controller::admin::{AdminReply, AdminRequest};
pub use controller::{Controller, Effect, Event, HeartbeatReply, Tuning, UserReply, UserRequest};
