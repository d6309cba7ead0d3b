//! Standing by for a partition: replicating what its leader knows, suspecting that it has crashed,
//! continuing where it stopped.
//!
//! Decisions without I/O: time and messages in, messages and verdicts out. What is replicated are
//! *hints*, sent by the partition leader over the mesh ([`ReplicationStream`], [`Replicas`]). They
//! may be lost, late or wrong: they choose whom to ask and what to try first, and prove nothing.
//! Durable facts are read from the state service by the node that takes the partition over.
//!
//! [`failure_detector`] suspects a leader whose record still stands, [`readiness`] is what a new
//! leader checks before its first decision, [`assign`] chooses the standby of each partition.
//! `docs/failover.md` compares the alternatives and argues why no rule depends on any of it.

mod assign;
pub mod failure_detector;
pub mod readiness;
mod replica;
mod stream;

pub use assign::assign;
pub use replica::{
    PartitionReplica, Replicas, ReplicatedMachine, ReplicationLag, ReplicationSource,
};
pub use stream::ReplicationStream;
