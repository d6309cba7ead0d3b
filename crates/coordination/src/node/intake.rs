//! Accepting and cancelling jobs: what waits is written together, many jobs to a put.

use super::{Node, Poll, PollKind, Purpose, Ticket, UserReply};
use crate::budget::Importance;
use crate::pipe::{Outcome, Pipe};
use crate::records::{
    cancels_key, final_key, intake_key, packed_size, page_room, CancelsRecord, IntakePage,
    PackedJob,
};
use model::{JobId, Moment, Revision, Span};
use std::collections::{HashSet, VecDeque};
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Txn, Write};
use wire::users::JobRequest;

/// Submissions that may wait before others are turned away: what is written within a second,
/// as a rule.
const MOST_WAITING: usize = 150;
/// A submission that has waited for longer is turned away: its user's patience is limited.
const LONGEST_WAIT: Span = Span(1_500);
/// Pages of accepted jobs that one transaction writes at most.
const MOST_PAGES: usize = 2;
/// How long the mirror may lag behind a write of accepted jobs before their answers are read for.
const LONGEST_LAG: Span = Span(300);
/// How often a cancellation that met a conflict is looked at again.
const CANCEL_TRIES: u32 = 5;

/// A submission that waits for its write.
#[derive(Debug)]
pub(crate) struct Waiting {
    ticket: Ticket,
    id: JobId,
    job: JobRequest,
    since: Moment,
    /// When it came, on the nodes' common clock.
    order: u64,
}

/// Submissions and cancellations on their way into the state service.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    waiting: VecDeque<Waiting>,
    accepting: Pipe<Vec<Waiting>>,
    /// Accepted durably; answered once the mirror shows everything up to that write.
    unconfirmed: Vec<Poll>,
    /// The revision of that write.
    confirmed_at: Revision,
    cancels: Vec<Poll>,
    cancelling: Pipe<Vec<Poll>>,
}

impl Node {
    /// Takes a checked submission in, or turns it away at once.
    pub(super) fn accept(&mut self, ticket: Ticket, id: JobId, job: JobRequest) {
        if self.intake.waiting.len() >= MOST_WAITING {
            self.busy(ticket, 1);
            return;
        }
        if packed_size(&PackedJob::new(u64::MAX, job.clone()))
            > page_room(self.settings.state_limits.value_bytes)
        {
            let problem = "the job's description is too long".to_owned();
            self.reply_user(ticket, UserReply::Invalid(problem));
            return;
        }
        let order = self.common_time();
        self.intake.waiting.push_back(Waiting { ticket, id, job, since: self.now, order });
    }

    /// Takes a cancellation of an open job in.
    pub(super) fn cancel(&mut self, poll: Poll) {
        self.intake.cancels.push(poll);
    }

    pub(super) fn step_intake(&mut self) {
        let now = self.now;
        while let Some(first) = self.intake.waiting.front() {
            if now.since(first.since) <= LONGEST_WAIT {
                break;
            }
            let ticket = first.ticket;
            self.intake.waiting.pop_front();
            self.busy(ticket, 1);
        }
        self.confirm_accepted();
        if !self.synced || !self.may_write(Importance::Accept, 1.0) {
            return;
        }
        if !self.intake.waiting.is_empty() && self.intake.accepting.ready(now, self.mirror.revision)
        {
            self.write_intake();
        }
        if !self.intake.cancels.is_empty()
            && self.intake.cancelling.ready(now, self.mirror.revision)
        {
            self.write_cancels();
        }
    }

    /// Answers submissions whose acceptance is durable.
    ///
    /// The same job may have been accepted through another node, and cancelled there, before our write
    /// was applied. All of that has a lower revision than our write, so a mirror that has reached that
    /// revision is no older than anything that was confirmed before the submission came.
    fn confirm_accepted(&mut self) {
        let Some(first) = self.intake.unconfirmed.first() else { return };
        let since = first.since;
        if !self.synced {
            let polls = std::mem::take(&mut self.intake.unconfirmed);
            self.turn_away(polls);
        } else if self.mirror.revision >= self.intake.confirmed_at {
            for poll in std::mem::take(&mut self.intake.unconfirmed) {
                self.answer(poll);
            }
        } else if self.now.since(since) > LONGEST_LAG {
            let polls = std::mem::take(&mut self.intake.unconfirmed);
            self.questions.ask_all(polls);
        }
    }

    /// Our page with the most room once what is over has left it, or a new one.
    fn choose_page(&self, room: usize, taken: &[u32]) -> (u32, u64, usize) {
        let mut best: Option<(u32, u64, usize)> = None;
        let mut next = 0;
        let prefix = intake_key(self.me(), 0);
        let prefix = &prefix[..prefix.len() - 4];
        for (key, page) in self.mirror.intake.range(prefix.to_owned()..) {
            let Some(number) = key.strip_prefix(prefix).and_then(|n| n.parse::<u32>().ok()) else {
                break;
            };
            next = next.max(number + 1);
            let open = page.record.iter().filter_map(|id| self.mirror.jobs.get(id));
            let free = room.saturating_sub(open.map(|job| job.size).sum());
            if !taken.contains(&number) && best.is_none_or(|(_, _, most)| free > most) {
                best = Some((number, page.version.0, free));
            }
        }
        let fresh = taken.iter().fold(next, |next, page| next.max(page + 1));
        // A page with little room is not worth writing whole for a job or two.
        best.filter(|(_, _, free)| *free >= room / 4).unwrap_or((fresh, 0, room))
    }

    fn write_intake(&mut self) {
        let limits = &self.settings.state_limits;
        let room = page_room(limits.value_bytes);
        // Each job adds a condition, four of which are allowed for each change.
        let most = (limits.txn_ops * 4).saturating_sub(MOST_PAGES).max(1);
        let mut txn = Txn::default();
        let mut batch: Vec<Waiting> = Vec::new();
        let mut ids: HashSet<JobId> = HashSet::new();
        let mut later = VecDeque::new();
        let mut pages = Vec::new();
        while pages.len() < MOST_PAGES.min(limits.txn_ops) && !self.intake.waiting.is_empty() {
            let (page, version, mut free) = self.choose_page(room, &pages);
            let key = intake_key(self.me(), page);
            let kept = self.mirror.intake.get(&key).into_iter().flat_map(|p| &p.record);
            let mut jobs: Vec<serde_json::Value> = kept
                .filter_map(|id| self.mirror.jobs.get(id))
                .filter_map(|job| serde_json::to_value(&*job.packed).ok())
                .collect();
            let before = batch.len();
            while batch.len() < most {
                let Some(next) = self.intake.waiting.pop_front() else { break };
                let known = self.mirror.jobs.contains_key(&next.id);
                if known || self.finals.contains_key(&next.id) {
                    let kind = PollKind::Known { reject: None };
                    let (ticket, id, since) = (next.ticket, next.id, next.since);
                    self.questions.ask(Poll { ticket, kind, id, since });
                    continue;
                }
                if ids.contains(&next.id) {
                    // The same job twice: the second is answered once the first is written.
                    later.push_back(next);
                    continue;
                }
                let packed = PackedJob::new(next.order, next.job.clone());
                let size = packed_size(&packed);
                if size > free {
                    self.intake.waiting.push_front(next);
                    break;
                }
                free -= size;
                jobs.push(serde_json::to_value(&packed).unwrap_or_default());
                ids.insert(next.id);
                txn = txn.when(final_key(next.id), 0);
                batch.push(next);
            }
            if batch.len() == before {
                break;
            }
            let value = serde_json::to_value(IntakePage { jobs }).unwrap_or_default();
            txn = txn.when(&key, version).write(Write::put(&key, value));
            pages.push(page);
        }
        for again in later.into_iter().rev() {
            self.intake.waiting.push_front(again);
        }
        if !batch.is_empty() {
            self.intake.accepting.send(batch, txn.clone(), self.now, Span(0));
            self.state(Importance::Accept, StateRequest::Txn(txn), Purpose::Intake);
        }
    }

    pub(super) fn on_intake(&mut self, reply: StateReply) {
        match self.intake.accepting.answered(reply, self.now) {
            Outcome::Written(batch) => {
                let since = self.now;
                let polls = batch.into_iter().map(|job| Poll {
                    ticket: job.ticket,
                    kind: PollKind::Accepted,
                    id: job.id,
                    since,
                });
                self.intake.confirmed_at = self.intake.accepting.settled_at();
                self.intake.unconfirmed.extend(polls);
                self.confirm_accepted();
            }
            Outcome::Conflict(batch, failed) => {
                for job in batch.into_iter().rev() {
                    if failed.contains(&final_key(job.id)) {
                        // It is over already: this is a late retry.
                        let kind = PollKind::Known { reject: None };
                        let (ticket, id, since) = (job.ticket, job.id, job.since);
                        self.questions.ask(Poll { ticket, kind, id, since });
                    } else {
                        self.intake.waiting.push_front(job);
                    }
                }
            }
            Outcome::Refused { what, throttled: true } => {
                for job in what.into_iter().rev() {
                    self.intake.waiting.push_front(job);
                }
            }
            Outcome::Refused { what, throttled: false } => {
                let waiting = std::mem::take(&mut self.intake.waiting);
                for job in what.into_iter().chain(waiting) {
                    self.busy(job.ticket, 1);
                }
            }
            Outcome::Again(txn) => {
                // Whether these are written is open; their users' retries will find out.
                let batch = self.intake.accepting.under_way().map(std::mem::take);
                for job in batch.into_iter().flatten() {
                    self.busy(job.ticket, 1);
                }
                let request = StateRequest::Txn(txn);
                self.again(Span(200), Importance::Accept, request, Purpose::Intake);
            }
            Outcome::Nothing => {}
        }
    }

    fn write_cancels(&mut self) {
        let key = cancels_key(self.me());
        let old = self.mirror.cancels.get(self.me());
        let version = old.map_or(0, |c| c.version.0);
        // Those of jobs that are over have served.
        let open = old.into_iter().flat_map(|c| &c.record);
        let mut jobs: Vec<u64> =
            open.filter(|id| self.mirror.jobs.contains_key(id)).map(|id| id.0).collect();
        let room = self.page_entries();
        let mut batch = Vec::new();
        for poll in std::mem::take(&mut self.intake.cancels) {
            if jobs.len() >= room {
                self.busy(poll.ticket, 1);
                continue;
            }
            if !jobs.contains(&poll.id.0) {
                jobs.push(poll.id.0);
            }
            batch.push(poll);
        }
        let value = serde_json::to_value(CancelsRecord { jobs }).unwrap_or_default();
        let txn = Txn::default().when(&key, version).write(Write::put(&key, value));
        self.intake.cancelling.send(batch, txn.clone(), self.now, Span(0));
        self.state(Importance::Accept, StateRequest::Txn(txn), Purpose::Cancels);
    }

    pub(super) fn on_cancels(&mut self, reply: StateReply) {
        match self.intake.cancelling.answered(reply, self.now) {
            // The job may have been done before: a read that begins now tells which came first.
            Outcome::Written(polls) => {
                // Their holder may be without the state service.
                let jobs = polls.iter().map(|poll| poll.id.0).collect();
                self.broadcast(MeshMessage::Cancelled { jobs });
                self.questions.ask_all(polls);
            }
            Outcome::Conflict(polls, _) | Outcome::Refused { what: polls, throttled: true } => {
                for mut poll in polls {
                    match &mut poll.kind {
                        PollKind::Cancel { tries } if *tries < CANCEL_TRIES => {
                            *tries += 1;
                            self.questions.ask(poll);
                        }
                        _ => self.busy(poll.ticket, 1),
                    }
                }
            }
            Outcome::Refused { what, .. } => self.turn_away(what),
            Outcome::Again(txn) => {
                let polls = self.intake.cancelling.under_way().map(std::mem::take);
                self.turn_away(polls.unwrap_or_default());
                let request = StateRequest::Txn(txn);
                self.again(Span(200), Importance::Accept, request, Purpose::Cancels);
            }
            Outcome::Nothing => {}
        }
    }
}
