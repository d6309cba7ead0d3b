//! Failover of partitions: replication of the leader's soft state to a standby, detection of a crash,
//! and the checks of a new leader.
//!
//! The crate decides without I/O: time and messages in, messages and decisions out. Soft state is
//! replicated in *records*, which the partition leader sends over the mesh ([`ReplicationStream`], [`Replicas`]). They
//! may be lost, late or wrong: they decide which machines are probed first, and prove nothing.
//! Durable state is read from the state service by the controller that acquires the partition.
//!
//! [`failure_detector`] suspects a leader whose record still stands, [`readiness`] is what a new
//! leader checks before its first decision, [`assign_standbys`] chooses the standby of each partition.
//! `docs/failover.md` compares the alternatives and argues why no rule depends on any of it.

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
