//! Failover of partitions: replication of a leader's soft state to standbys, detection of crashed leaders,
//! and the checks that a new leader makes.
//!
//! The crate does no I/O: its inputs are times and messages, its outputs messages and decisions. Soft state
//! is replicated as *records*, which a partition leader sends to its subscribers over the mesh
//! ([`ReplicationStream`], [`Replicas`]). Records may be lost, late or wrong. They determine, for example,
//! which machines are probed first, but they prove nothing. Durable state is read from the state service by
//! the controller that acquires the partition.
//!
//! - [`failure_detector`] detects a crashed leader while its partition record still exists;
//! - [`readiness`] holds the checks that a new leader makes before its first decision;
//! - [`assign_standbys`] assigns a standby to each partition.
//!
//! `docs/failover.md` compares the alternatives and argues why no safety rule depends on this crate.

#![warn(missing_docs)]

mod assign;
pub mod failure_detector;
pub mod readiness;
mod replica;
mod stream;

pub use assign::assign_standbys;
pub use replica::{
    PartitionReplica, Replicas, ReplicatedMachine, ReplicationLag, ReplicationSource,
};
pub use stream::ReplicationStream;
