//! A controller as a pure state machine: leadership of partitions and failover, records in the state
//! service, replies to users and workers.
//!
//! [`Controller::handle`] takes events and a steady time and returns effects; it does no I/O.

pub mod controller;
pub mod controller_lease;
pub mod job_status_cache;
pub mod pending_calls;
pub mod placement_log;
pub mod records;
pub mod registration;
pub mod rejections;
pub mod request_budget;
mod serial_writer;
pub mod state_cache;
pub mod state_client;
pub mod state_sync;

pub use controller::admin::{AdminReply, AdminRequest};
pub use controller::{Controller, Effect, Event, HeartbeatReply, Tuning, UserReply, UserRequest};
