//! Questions that only a read of the state service can answer, many to a read.
//!
//! One read of changes answers all that were asked before it was sent; one comparison tells which
//! of many jobs have no final state. Reads keep a pace, so that users who ask many times as often
//! leave the budget to submissions and placements.

use super::users::status;
use super::{Node, Poll, PollKind, Purpose, UserReply};
use crate::budget::Importance;
use crate::records::{final_key, FinalRecord};
use model::{JobId, JobState, Moment, Span};
use serde::Deserialize;
use std::collections::BTreeSet;
use wire::state::{StateReply, StateRequest, Txn};

/// Part of the requests a second that one kind of these reads takes at most, for all nodes.
const SHARE: f64 = 0.2;
/// A question whose read is refused for want of budget is asked again for so long.
const PATIENCE: Span = Span(1_000);
/// Pause after such a refusal.
const REFUSED: Span = Span(60);

/// Questions that wait.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    /// They need a read of changes that begins now or later.
    asked: Vec<Poll>,
    reading: bool,
    read_next: Moment,
    /// Their jobs are not open, by such a read: is there a final state?
    pub(super) unknown: Vec<Poll>,
    checking: bool,
    check_next: Moment,
}

impl Questions {
    pub(super) fn ask(&mut self, poll: Poll) {
        self.asked.push(poll);
    }

    pub(super) fn ask_all(&mut self, polls: impl IntoIterator<Item = Poll>) {
        self.asked.extend(polls);
    }
}

impl Node {
    /// Time between two reads of a kind.
    fn question_pace(&self) -> Span {
        let all = self.settings.state_limits.requests_per_s * SHARE;
        Span((1_000.0 * f64::from(self.partition_count()) / all.max(1.0)) as u64)
    }

    pub(super) fn step_questions(&mut self) {
        let now = self.now;
        let pace = self.question_pace();
        let q = &mut self.questions;
        if !self.synced {
            return;
        }
        if !q.asked.is_empty() && !q.reading && now >= q.read_next {
            q.reading = true;
            q.read_next = now + pace;
            let polls = std::mem::take(&mut q.asked);
            let request = self.watch_request(Span::ZERO);
            self.state(Importance::Accept, request, Purpose::Fresh(polls));
        }
        let q = &mut self.questions;
        if !q.unknown.is_empty() && !q.checking && now >= q.check_next {
            q.checking = true;
            q.check_next = now + pace;
            // Four conditions are allowed for each change.
            let most = self.settings.state_limits.txn_ops * 4;
            let ids: BTreeSet<JobId> = q.unknown.iter().map(|p| p.id).take(most).collect();
            let polls = q.unknown.extract_if(.., |poll| ids.contains(&poll.id)).collect();
            let txn = ids.iter().fold(Txn::default(), |txn, id| txn.when(final_key(*id), 0));
            self.state(Importance::Accept, StateRequest::Txn(txn), Purpose::NoFinals(polls));
        }
    }

    /// When the next read is due, if one waits for its pace.
    pub(super) fn next_question(&self) -> Option<Moment> {
        let q = &self.questions;
        let read = (!q.asked.is_empty() && !q.reading).then_some(q.read_next);
        let check = (!q.unknown.is_empty() && !q.checking).then_some(q.check_next);
        [read, check].into_iter().flatten().min()
    }

    pub(super) fn on_fresh(&mut self, polls: Vec<Poll>, reply: StateReply, sent: Moment) {
        self.questions.reading = false;
        match reply {
            StateReply::Changes(changes) => {
                self.take_changes(&changes, sent);
                for poll in polls {
                    self.answer(poll);
                }
            }
            StateReply::Compacted => {
                self.synced = false;
                self.turn_away(polls);
            }
            StateReply::Refused { throttled: true } => {
                self.questions.read_next = self.now + REFUSED;
                let patient = self.patient(polls);
                self.questions.ask_all(patient);
            }
            _ => self.turn_away(polls),
        }
    }

    /// Those that may be asked once more; the others are turned away.
    fn patient(&mut self, polls: Vec<Poll>) -> Vec<Poll> {
        let now = self.now;
        let (patient, late): (Vec<Poll>, Vec<Poll>) =
            polls.into_iter().partition(|poll| now.since(poll.since) < PATIENCE);
        self.turn_away(late);
        patient
    }

    pub(super) fn turn_away(&mut self, polls: Vec<Poll>) {
        for poll in polls {
            self.busy(poll.ticket, 1);
        }
    }

    /// Which of the jobs have no final state.
    pub(super) fn on_no_finals(&mut self, polls: Vec<Poll>, reply: StateReply) {
        self.questions.checking = false;
        match reply {
            StateReply::Committed { .. } => {
                for poll in polls {
                    self.on_final_read(poll, StateReply::Missing);
                }
            }
            StateReply::Conflict { failed, .. } => {
                for poll in polls {
                    let key = final_key(poll.id);
                    if failed.contains(&key) {
                        let request = StateRequest::Get { key };
                        self.state(Importance::Accept, request, Purpose::FinalRead { poll });
                    } else {
                        self.on_final_read(poll, StateReply::Missing);
                    }
                }
            }
            StateReply::Refused { throttled: true } => {
                self.questions.check_next = self.now + REFUSED;
                let patient = self.patient(polls);
                self.questions.unknown.extend(patient);
            }
            _ => self.turn_away(polls),
        }
    }

    /// Answers from a mirror that is fresh enough for this question.
    pub(super) fn answer(&mut self, poll: Poll) {
        let id = poll.id;
        if let Some(state) = self.finals.get(&id) {
            let answer = status(id, *state);
            self.reply_user(poll.ticket, UserReply::Status(answer));
            return;
        }
        if !self.mirror.jobs.contains_key(&id) {
            self.questions.unknown.push(poll);
            return;
        }
        if self.mirror.is_cancelled(id) {
            let answer = status(id, JobState::Cancelled);
            self.reply_user(poll.ticket, UserReply::Status(answer));
            return;
        }
        let reply = match poll.kind {
            PollKind::Cancel { .. } => {
                self.cancel(poll);
                return;
            }
            PollKind::Accepted => UserReply::Created(status(id, JobState::Queued)),
            PollKind::Get | PollKind::Known { .. } => UserReply::Status(self.open_status(id)),
        };
        self.reply_user(poll.ticket, reply);
    }

    pub(super) fn on_final_read(&mut self, poll: Poll, reply: StateReply) {
        if self.finals.contains_key(&poll.id) || self.mirror.jobs.contains_key(&poll.id) {
            // Accepted or ended while we read: the mirror knows more than that read.
            self.answer(poll);
            return;
        }
        match reply {
            StateReply::Item(item) => match FinalRecord::deserialize(&item.value) {
                Ok(record) => {
                    self.keep_final(poll.id, record.state);
                    let answer = status(poll.id, record.state);
                    self.reply_user(poll.ticket, UserReply::Status(answer));
                }
                Err(_) => self.busy(poll.ticket, 5),
            },
            StateReply::Missing => match poll.kind {
                PollKind::Known { reject: Some(reason) } => {
                    self.reply_user(poll.ticket, UserReply::Rejected(reason));
                }
                PollKind::Known { reject: None } | PollKind::Accepted => self.busy(poll.ticket, 1),
                PollKind::Get | PollKind::Cancel { .. } => {
                    self.reply_user(poll.ticket, UserReply::NotFound)
                }
            },
            _ => self.busy(poll.ticket, 1),
        }
    }
}
