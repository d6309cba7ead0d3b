//! One conditional write at a time.
//!
//! A component that packs many records into a value must know the value that it replaces. So the next
//! write may be built only when the state cache shows the result of the one before. A write
//! whose outcome is unknown is sent again unchanged: its conditions let it be applied at most
//! once, and a conflict says that no copy of it can be applied any more.

use model::{Revision, Timestamp};
use std::time::Duration;
use wire::state::{StateReply, Transaction};

/// Pause before a write with an unknown outcome is sent again.
pub(crate) const UNKNOWN_OUTCOME_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Serialises writes; `T` is what the write in flight contains.
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
    /// Certainly not applied.
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
    /// Whether the next write may be built from a cache at revision `known`.
    pub fn is_ready(&self, now: Timestamp, known: Revision) -> bool {
        self.in_flight.is_none() && now >= self.not_before && known >= self.settled_revision
    }

    /// Revision at which the last write was applied or met a conflict.
    pub fn settled_revision(&self) -> Revision {
        self.settled_revision
    }

    /// Records a write that is sent; the next one may follow after `gap` at the earliest.
    pub fn send(&mut self, contents: T, txn: Transaction, now: Timestamp, gap: Duration) {
        self.in_flight = Some((contents, txn));
        self.not_before = now + gap;
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
                tracing::debug!(?failed, puts = txn.writes.len(), "write conflicted");
                self.settled_revision = Revision(revision);
                WriteOutcome::Conflict(contents, failed)
            }
            StateReply::Refused { throttled } => {
                let pause = if throttled {
                    Duration::from_millis(80)
                } else {
                    Duration::from_millis(200)
                };
                self.not_before = now + pause;
                WriteOutcome::Refused {
                    contents,
                    throttled,
                }
            }
            StateReply::Invalid(problem) => {
                tracing::error!(problem, "write rejected as malformed");
                self.not_before = now + Duration::from_secs(1);
                WriteOutcome::Refused {
                    contents,
                    throttled: false,
                }
            }
            _ => {
                let again = txn.clone();
                self.in_flight = Some((contents, txn));
                WriteOutcome::Unknown(again)
            }
        }
    }
}

#[cfg(test)]
mod tests;
