//! One conditional write at a time.
//!
//! Whoever packs many records into a value must know the value that it replaces. So a pipe lets
//! the next write be made up only when the mirror shows what came of the one before, and a
//! write whose outcome is unknown is sent again as it is: its conditions let it be applied once
//! at most, and a conflict says that no copy of it can be applied any more.

use model::{Revision, Timestamp};
use std::time::Duration;
use wire::state::{StateReply, Transaction};

/// A pipe for writes that carry `T`.
#[derive(Debug)]
pub(crate) struct SerialWriter<T> {
    sent: Option<(T, Transaction)>,
    settled_at: Revision,
    not_before: Timestamp,
}

/// What came of a write.
#[derive(Debug)]
pub(crate) enum Outcome<T> {
    /// It is durable.
    CommittedChanges(T),
    /// These keys had changed; it is not applied, unless an earlier copy was.
    Conflict(T, Vec<String>),
    /// Certainly not applied.
    Refused { what: T, throttled: bool },
    /// Unknown: to be sent again.
    Again(Transaction),
    /// The pipe has sent nothing.
    Nothing,
}

impl<T> Default for SerialWriter<T> {
    fn default() -> Self {
        SerialWriter {
            sent: None,
            settled_at: Revision(0),
            not_before: Timestamp::default(),
        }
    }
}

impl<T> SerialWriter<T> {
    /// Whether the next write may be made up from a mirror at `known`.
    pub fn ready(&self, now: Timestamp, known: Revision) -> bool {
        self.sent.is_none() && now >= self.not_before && known >= self.settled_at
    }

    /// Revision at which the last write was applied or met a conflict.
    pub fn settled_at(&self) -> Revision {
        self.settled_at
    }

    /// Remembers a write that goes out; the next one does so after `gap` at the earliest.
    pub fn send(&mut self, what: T, txn: Transaction, now: Timestamp, gap: Duration) {
        self.sent = Some((what, txn));
        self.not_before = now + gap;
    }

    /// What is under way.
    pub fn under_way(&mut self) -> Option<&mut T> {
        self.sent.as_mut().map(|(what, _)| what)
    }

    /// Takes in the answer to the write.
    pub fn answered(&mut self, reply: StateReply, now: Timestamp) -> Outcome<T> {
        let Some((what, txn)) = self.sent.take() else {
            return Outcome::Nothing;
        };
        match reply {
            StateReply::Committed { revision } => {
                self.settled_at = Revision(revision);
                Outcome::CommittedChanges(what)
            }
            StateReply::Conflict { failed, revision } => {
                tracing::debug!(?failed, puts = txn.writes.len(), "a write met a conflict");
                self.settled_at = Revision(revision);
                Outcome::Conflict(what, failed)
            }
            StateReply::Refused { throttled } => {
                let pause = if throttled {
                    Duration::from_millis(80)
                } else {
                    Duration::from_millis(200)
                };
                self.not_before = now + pause;
                Outcome::Refused { what, throttled }
            }
            StateReply::Invalid(problem) => {
                tracing::error!(problem, "the state service calls a write malformed");
                self.not_before = now + Duration::from_secs(1);
                Outcome::Refused {
                    what,
                    throttled: false,
                }
            }
            _ => {
                let again = txn.clone();
                self.sent = Some((what, txn));
                Outcome::Again(again)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_next_write_waits_for_the_mirror() {
        let mut pipe = SerialWriter::default();
        let now = Timestamp::from_millis(10);
        assert!(pipe.ready(now, Revision(3)));
        pipe.send("a", Transaction::default(), now, Duration::ZERO);
        assert!(!pipe.ready(now, Revision(3)));
        let outcome = pipe.answered(StateReply::Unknown, now);
        assert!(matches!(outcome, Outcome::Again(_)), "{outcome:?}");
        assert!(!pipe.ready(now, Revision(3)), "the outcome is open");
        let outcome = pipe.answered(StateReply::Committed { revision: 5 }, now);
        assert!(
            matches!(outcome, Outcome::CommittedChanges("a")),
            "{outcome:?}"
        );
        assert!(
            !pipe.ready(now, Revision(4)),
            "the mirror does not show it yet"
        );
        assert!(pipe.ready(now, Revision(5)));
    }

    #[test]
    fn a_refused_write_is_given_back_and_the_next_one_pauses() {
        let mut pipe = SerialWriter::default();
        pipe.send(
            "a",
            Transaction::default(),
            Timestamp::from_millis(0),
            Duration::ZERO,
        );
        let outcome = pipe.answered(
            StateReply::Refused { throttled: true },
            Timestamp::from_millis(5),
        );
        assert!(
            matches!(
                outcome,
                Outcome::Refused {
                    what: "a",
                    throttled: true
                }
            ),
            "{outcome:?}"
        );
        assert!(!pipe.ready(Timestamp::from_millis(50), Revision(0)));
        assert!(pipe.ready(Timestamp::from_millis(85), Revision(0)));
    }
}
