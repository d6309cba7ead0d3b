//! Messages from outside that are rejected: they change nothing and are counted by sender and fault.

use std::collections::BTreeMap;

/// Who sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageSource {
    User,
    Worker,
    /// Another controller node.
    Peer,
    /// The state service: its answers and the records that it keeps.
    State,
    Cloud,
    Operator,
}

impl MessageSource {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MessageSource::User => "user",
            MessageSource::Worker => "worker",
            MessageSource::Peer => "peer",
            MessageSource::State => "state",
            MessageSource::Cloud => "cloud",
            MessageSource::Operator => "operator",
        }
    }
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageFault {
    /// It does not parse, or a value lies outside of what its field may hold.
    Malformed,
    TooLarge,
    /// It is of another version of the protocol.
    Version,
    /// Its sender is no node of the site.
    UnknownSender,
    /// It is about something that its sender, or this node, has no part in.
    Misrouted,
    /// Something newer is known, or it was meant for an earlier incarnation of this node.
    Stale,
}

impl MessageFault {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MessageFault::Malformed => "malformed",
            MessageFault::TooLarge => "too_large",
            MessageFault::Version => "version",
            MessageFault::UnknownSender => "unknown_sender",
            MessageFault::Misrouted => "misrouted",
            MessageFault::Stale => "stale",
        }
    }
}

/// Counts of rejected messages. Empty, and so without cost, as long as none is rejected.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RejectionCounts(BTreeMap<(MessageSource, MessageFault), u64>);

impl RejectionCounts {
    /// Counts one message.
    pub fn add(&mut self, source: MessageSource, fault: MessageFault) {
        self.add_many(source, fault, 1);
    }

    /// Counts several messages of one kind.
    pub fn add_many(&mut self, source: MessageSource, fault: MessageFault, count: u64) {
        if count > 0 {
            *self.0.entry((source, fault)).or_default() += count;
        }
    }

    /// How many of this kind were rejected since the counts were last drained.
    pub fn get(&self, source: MessageSource, fault: MessageFault) -> u64 {
        self.0.get(&(source, fault)).copied().unwrap_or(0)
    }

    /// Hands the counts out and starts anew.
    pub fn drain(&mut self) -> impl Iterator<Item = (MessageSource, MessageFault, u64)> {
        let counts = std::mem::take(&mut self.0);
        counts
            .into_iter()
            .map(|((source, fault), count)| (source, fault, count))
    }
}
