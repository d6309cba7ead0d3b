//! Counts of rejected messages by sender and fault. A rejected message changes nothing else.

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
    /// The message cannot be decoded, or a value in it is out of range.
    Malformed,
    TooLarge,
    /// The message has another protocol version.
    Version,
    /// The sender is not a controller of the site.
    UnknownSender,
    /// The message concerns something for which its sender or this controller is not responsible.
    Misrouted,
    /// Something newer is known, or the message was sent to an earlier incarnation of this controller.
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

/// Numbers of rejected messages by sender and fault. Combinations that did not occur have no entry.
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

    /// Returns the counts and resets them.
    pub fn drain(&mut self) -> impl Iterator<Item = (MessageSource, MessageFault, u64)> {
        let counts = std::mem::take(&mut self.0);
        counts
            .into_iter()
            .map(|((source, fault), count)| (source, fault, count))
    }
}
