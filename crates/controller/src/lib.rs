//! The controller as a state machine without I/O: it takes part in the election of partition leaders,
//! schedules the partitions that it leads, keeps records in the state service, and replies to users and
//! workers.
//!
//! [`Controller::handle`] takes an event and the time of a monotonic clock, and returns the effects that
//! the caller has to execute.

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
