//! Counts of rejected messages, by sender and fault. A rejected message changes nothing.

use std::collections::BTreeMap;

/// The sender of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageSource {
    User,
    Worker,
    /// Another controller.
    Peer,
    /// The state service: its replies and the records that it keeps.
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
    /// It cannot be decoded, or a value is out of range.
    Malformed,
    TooLarge,
    /// It has another version of the protocol.
    Version,
    /// Its sender is no controller of the site.
    UnknownSender,
    /// It concerns something for which its sender or this controller is not responsible.
    Misrouted,
    /// Something newer is known, or it was sent to an earlier incarnation of this controller.
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

/// Numbers of rejected messages; empty as long as none is rejected.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RejectedMessageCounts(BTreeMap<(MessageSource, MessageFault), u64>);

impl RejectedMessageCounts {
    /// Counts one message.
    pub fn add(&mut self, source: MessageSource, fault: MessageFault) {
        self.add_many(source, fault, 1);
    }

    /// Counts several messages with the same sender and fault.
    pub fn add_many(&mut self, source: MessageSource, fault: MessageFault, count: u64) {
        if count > 0 {
            *self.0.entry((source, fault)).or_default() += count;
        }
    }

    /// Number of messages with this sender and fault since the counts were last drained.
    pub fn get(&self, source: MessageSource, fault: MessageFault) -> u64 {
        self.0.get(&(source, fault)).copied().unwrap_or(0)
    }

    /// Takes the counts and resets them.
    pub fn drain(&mut self) -> impl Iterator<Item = (MessageSource, MessageFault, u64)> {
        let counts = std::mem::take(&mut self.0);
        counts
            .into_iter()
            .map(|((source, fault), count)| (source, fault, count))
    }
}
