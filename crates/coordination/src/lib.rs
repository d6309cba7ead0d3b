//! One controller node as a pure state machine: partitions and terms, takeover and
//! hand-over, records in the state service, answers to users and workers.
//!
//! [`Node::handle`] takes events and a steady time and returns effects; it does no I/O.

pub mod budget;
pub mod ledger;
pub mod mirror;
pub mod node;
mod pipe;
pub mod records;
pub mod rejections;

pub use node::admin::{AdminReply, AdminRequest};
pub use node::{Effect, Event, Node, ReportReply, Tuning, UserReply, UserRequest};
