//! Answers to users. Done and cancelled are said only once they are durable; anything else
//! only after a read of the state service that began after the question.

use super::{Node, Poll, PollKind, Purpose, Ticket, UserReply, UserRequest};
use crate::budget::Importance;
use crate::records::{final_key, FinalRecord};
use model::{JobId, JobSpec, JobState, Moment, Span};
use serde::Deserialize;
use wire::state::{StateReply, StateRequest};
use wire::users::{JobRequest, JobStatus};

pub(super) fn status(id: JobId, state: JobState) -> JobStatus {
    JobStatus { id: id.to_string(), state, done: None, running: None }
}

impl Node {
    pub(super) fn on_user(&mut self, ticket: Ticket, request: UserRequest) {
        match request {
            UserRequest::Submit(job) => self.on_submit(ticket, *job),
            UserRequest::Get(id) => self.ask(ticket, id, PollKind::Get),
            UserRequest::Cancel(id) => self.ask(ticket, id, PollKind::Cancel { tries: 0 }),
        }
    }

    pub(super) fn busy(&mut self, ticket: Ticket, retry_after_s: u64) {
        self.reply_user(ticket, UserReply::Busy { retry_after_s });
    }

    fn ask(&mut self, ticket: Ticket, id: JobId, kind: PollKind) {
        if let Some(state) = self.finals.get(&id) {
            let answer = status(id, *state);
            self.reply_user(ticket, UserReply::Status(answer));
            return;
        }
        if !self.synced {
            self.busy(ticket, 1);
            return;
        }
        self.polls.push(Poll { ticket, kind, id });
    }

    fn on_submit(&mut self, ticket: Ticket, job: JobRequest) {
        let spec = match JobSpec::try_from(&job) {
            Ok(spec) => spec,
            Err(invalid) => {
                self.reply_user(ticket, UserReply::Invalid(invalid.to_string()));
                return;
            }
        };
        let id = spec.id;
        if !self.synced {
            self.busy(ticket, 1);
            return;
        }
        if self.finals.contains_key(&id) || self.mirror.jobs.contains_key(&id) {
            self.ask(ticket, id, PollKind::Known { reject: None });
            return;
        }
        let Some(types) = &self.mirror.types else {
            self.busy(ticket, 1);
            return;
        };
        if let Err(reason) = spec.check(&self.settings, &types.record.types) {
            // A job that was accepted once must never be rejected later.
            self.ask(ticket, id, PollKind::Known { reject: Some(reason) });
            return;
        }
        if !self.in_contact(Span(6_000)) {
            self.busy(ticket, 1);
            return;
        }
        self.accept(ticket, id, job);
    }

    /// One read of changes answers all questions that came before it was sent.
    pub(super) fn step_polls(&mut self) {
        if self.polls.is_empty() || self.fresh_pending || !self.synced {
            return;
        }
        self.fresh_pending = true;
        let polls = std::mem::take(&mut self.polls);
        let request = self.watch_request(Span::ZERO);
        self.state(Importance::Accept, request, Purpose::Fresh(polls));
    }

    pub(super) fn on_fresh(&mut self, polls: Vec<Poll>, reply: StateReply, sent: Moment) {
        self.fresh_pending = false;
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
            _ => self.turn_away(polls),
        }
    }

    pub(super) fn turn_away(&mut self, polls: Vec<Poll>) {
        for poll in polls {
            self.busy(poll.ticket, 1);
        }
    }

    /// Answers from a mirror that is fresh enough for this question.
    fn answer(&mut self, poll: Poll) {
        let id = poll.id;
        if let Some(state) = self.finals.get(&id) {
            let answer = status(id, *state);
            self.reply_user(poll.ticket, UserReply::Status(answer));
            return;
        }
        if !self.mirror.jobs.contains_key(&id) {
            let request = StateRequest::Get { key: final_key(id) };
            self.state(Importance::Accept, request, Purpose::FinalRead { poll });
            return;
        }
        if self.mirror.is_cancelled(id) {
            let answer = status(id, JobState::Cancelled);
            self.reply_user(poll.ticket, UserReply::Status(answer));
            return;
        }
        if let PollKind::Cancel { .. } = poll.kind {
            self.cancel(poll);
            return;
        }
        let answer = self.open_status(id);
        self.reply_user(poll.ticket, UserReply::Status(answer));
    }

    /// Where a job stands and why it waits, for operators.
    pub fn explain(&self, id: &str) -> String {
        let Some(id) = JobId::parse(id) else { return "no such job".into() };
        let held = self.holdings.values().find_map(|h| h.share().and_then(|s| s.explain(id)));
        match held {
            Some(text) => text,
            None if self.mirror.jobs.contains_key(&id) => "open, held by another node".into(),
            None => "not open".into(),
        }
    }

    /// Status of a job that is not over.
    fn open_status(&self, id: JobId) -> JobStatus {
        let own = self.holdings.values().find_map(|h| h.progress_of(id));
        let (done, running) = own.or_else(|| self.progress.get(&id).copied()).unwrap_or((0, 0));
        let state = if running > 0 { JobState::Running } else { JobState::Queued };
        JobStatus { id: id.to_string(), state, done: Some(done), running: Some(running) }
    }

    pub(super) fn on_final_read(&mut self, poll: Poll, reply: StateReply) {
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
                PollKind::Known { reject: None } => self.busy(poll.ticket, 1),
                _ => self.reply_user(poll.ticket, UserReply::NotFound),
            },
            _ => self.busy(poll.ticket, 1),
        }
    }
}
