//! Serialises conditional writes to the state service: at most one is in flight.
//!
//! A component that packs many records into a value must know the value that it replaces. So the next
//! write may be built only when the state cache shows the result of the previous one. A write
//! whose outcome is unknown is sent again unchanged: its conditions let it be applied at most
//! once, and a conflict means that no copy of it can be applied any more.

use model::{Revision, Timestamp};
use std::time::Duration;
use wire::state::{StateReply, Transaction};

/// Delay before a write with an unknown outcome is sent again.
pub(crate) const UNKNOWN_OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay of the next write after a throttled one.
const THROTTLED_DELAY: Duration = Duration::from_millis(80);
/// Delay of the next write after one that was refused for another reason.
const REFUSED_DELAY: Duration = Duration::from_millis(200);
/// Delay of the next write after one that the service rejected as invalid.
const INVALID_DELAY: Duration = Duration::from_secs(1);

/// Serialises writes. `T` describes the contents of the write in flight.
#[derive(Debug)]
pub(crate) struct SerialWriter<T> {
    in_flight: Option<(T, Transaction)>,
    settled_revision: Revision,
    not_before: Timestamp,
}

/// Result of a write.
#[derive(Debug)]
pub(crate) enum WriteOutcome<T> {
    /// The write is durable.
    Committed(T),
    /// These keys had changed: the write was not applied, unless an earlier copy was.
    Conflict(T, Vec<String>),
    /// The write was certainly not applied.
    Refused { contents: T, throttled: bool },
    /// The outcome is unknown: the write has to be sent again.
    Unknown(Transaction),
    /// No write was in flight.
    NotInFlight,
}

impl<T> Default for SerialWriter<T> {
    fn default() -> Self {
        SerialWriter {
            in_flight: None,
            settled_revision: Revision(0),
            not_before: Timestamp::default(),
        }
    }
}

impl<T> SerialWriter<T> {
    /// Whether the next write may be built from a state cache at revision `cached`.
    pub fn is_ready(&self, now: Timestamp, cached: Revision) -> bool {
        self.in_flight.is_none() && now >= self.not_before && cached >= self.settled_revision
    }

    /// Revision at which the last write was applied or conflicted.
    pub fn settled_revision(&self) -> Revision {
        self.settled_revision
    }

    /// Records that a write is sent. The next one is ready after `min_interval` at the earliest.
    pub fn send(&mut self, contents: T, txn: Transaction, now: Timestamp, min_interval: Duration) {
        self.in_flight = Some((contents, txn));
        self.not_before = now + min_interval;
    }

    /// The contents of the write in flight.
    pub fn in_flight_mut(&mut self) -> Option<&mut T> {
        self.in_flight.as_mut().map(|(contents, _)| contents)
    }

    /// Handles the reply to the write.
    pub fn handle_reply(&mut self, reply: StateReply, now: Timestamp) -> WriteOutcome<T> {
        let Some((contents, txn)) = self.in_flight.take() else {
            return WriteOutcome::NotInFlight;
        };
        match reply {
            StateReply::Committed { revision } => {
                self.settled_revision = Revision(revision);
                WriteOutcome::Committed(contents)
            }
            StateReply::Conflict { failed, revision } => {
                tracing::debug!(?failed, writes = txn.writes.len(), "write conflicted");
                self.settled_revision = Revision(revision);
                WriteOutcome::Conflict(contents, failed)
            }
            StateReply::Refused { throttled } => {
                let delay = if throttled {
                    THROTTLED_DELAY
                } else {
                    REFUSED_DELAY
                };
                self.not_before = now + delay;
                WriteOutcome::Refused {
                    contents,
                    throttled,
                }
            }
            StateReply::Invalid(problem) => {
                tracing::error!(problem, "write rejected as invalid");
                self.not_before = now + INVALID_DELAY;
                WriteOutcome::Refused {
                    contents,
                    throttled: false,
                }
            }
            _ => {
                let retry = txn.clone();
                self.in_flight = Some((contents, txn));
                WriteOutcome::Unknown(retry)
            }
        }
    }
}

#[cfg(test)]
mod tests;
