//! Standing by for a partition: following its holder, telling that it has ended, going on where it
//! stopped.
//!
//! Deciding code without I/O: time and messages in, messages and verdicts out. What is followed
//! here are *hints*, sent by the holder over the mesh ([`ReplicationStream`], [`Replicas`]). They may be lost,
//! late or wrong: they choose whom to ask and what to try first, and prove nothing. Durable facts are
//! read from the state service by whoever takes the partition.
//!
//! [`failure_detector`] suspects a holder whose record still stands of having crashed, [`checks`] is what a new
//! holder goes through before its first decision, [`assign`] says who stands by for whom.
//! `docs/standby.md` weighs the ways and argues why no rule hangs on any of it.

mod assign;
pub mod checks;
pub mod failure_detector;
mod replica;
mod stream;

pub use assign::assign;
pub use replica::{
    PartitionReplica, Replicas, ReplicatedMachine, ReplicationLag, ReplicationSource,
};
pub use stream::ReplicationStream;
