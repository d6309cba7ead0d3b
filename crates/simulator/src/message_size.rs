//! Sizes of the messages of workers, which refuse what the protocol does not allow.

use serde::Serialize;
use wire::workers::{DirectCommands, Heartbeat, HeartbeatResponse};

/// Longest body of a request, and longest line of a response to workers and users, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// A message with fewer commands or tasks than this is short, whatever their ids.
const MIN_LONG_MESSAGE_ENTRIES: usize = 256;

fn is_too_long(message: &impl Serialize, entries: usize) -> bool {
    let has_long_encoding =
        || serde_json::to_vec(message).is_ok_and(|body| body.len() > MAX_MESSAGE_BYTES);
    entries >= MIN_LONG_MESSAGE_ENTRIES && has_long_encoding()
}

/// A message between a worker and a controller whose length the protocol limits.
pub trait LimitedMessage {
    /// Whether the message is longer than the protocol allows, so that its receiver refuses it.
    fn is_too_long(&self) -> bool;
}

impl LimitedMessage for Heartbeat {
    fn is_too_long(&self) -> bool {
        is_too_long(self, self.tasks.len())
    }
}

impl LimitedMessage for HeartbeatResponse {
    fn is_too_long(&self) -> bool {
        is_too_long(self, self.commands.len())
    }
}

impl LimitedMessage for DirectCommands {
    fn is_too_long(&self) -> bool {
        is_too_long(self, self.commands.len())
    }
}
