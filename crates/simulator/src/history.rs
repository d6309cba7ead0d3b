//! A history checker: replies about each job are checked against real-time order. A reply must not show an older
//! state than any reply that had reached any user before its request was sent.

use std::collections::HashMap;
use wire::users::JobState;

/// A request counts as a follow-up of a confirmation if it was sent at most this long after it.
const FOLLOW_UP_WINDOW_MS: u64 = 100;

/// A point in the total order of all requests and replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HistoryTime {
    order: u64,
    ms: u64,
}

impl HistoryTime {
    /// The point at a clock reading in microseconds, for histories that are ordered by a clock.
    pub fn at_us(us: u64) -> Self {
        HistoryTime {
            order: us,
            ms: us / 1_000,
        }
    }
}

/// What a reply to a user says about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobReply {
    /// The job exists and has this state.
    Status(JobState),
    /// There is no such job (404).
    Missing,
    /// The submission was rejected, and repeating it is of no use (400 or 422).
    Refused,
}

/// A reply that contradicts the history of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryViolation {
    pub rule: &'static str,
    pub details: String,
}

impl HistoryViolation {
    fn new(rule: &'static str, details: String) -> Self {
        HistoryViolation { rule, details }
    }
}

/// What replies have confirmed about one job, and when for the first time.
#[derive(Debug, Default)]
struct JobHistory {
    /// First reply that confirmed that the job exists.
    known_at: Option<HistoryTime>,
    /// First terminal state that a reply confirmed.
    terminal: Option<(JobState, HistoryTime)>,
    /// First request to cancel the job.
    cancel_requested_at: Option<HistoryTime>,
}

/// Numbers of replies whose requests were sent within 100 ms after a confirmation about the same job, by
/// what was confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct FollowUpReplies {
    pub after_accepted: u64,
    pub after_done: u64,
    pub after_cancelled: u64,
}

/// The histories of all jobs.
#[derive(Debug, Default)]
pub struct History {
    last_order: u64,
    jobs: HashMap<String, JobHistory>,
    /// Number of replies checked.
    pub replies: u64,
    pub follow_up_replies: FollowUpReplies,
}

impl History {
    /// The point of a request that is sent now or of a reply that arrives now: later than all points before.
    pub fn next_time(&mut self, ms: u64) -> HistoryTime {
        self.last_order += 1;
        HistoryTime {
            order: self.last_order,
            ms,
        }
    }

    /// Makes all following points later than this clock reading in microseconds.
    pub fn advance_to_us(&mut self, us: u64) {
        self.last_order = self.last_order.max(us);
    }

    /// Records that a user sends a request to cancel a job.
    pub fn record_cancel_request(&mut self, id: &str, ms: u64) {
        let now = self.next_time(ms);
        self.jobs
            .entry(id.to_owned())
            .or_default()
            .cancel_requested_at
            .get_or_insert(now);
    }

    /// Records a reply that a submission was accepted, whatever it says about the job's state: the job is known from
    /// now on.
    pub fn record_acceptance(&mut self, id: &str, ms: u64) {
        let now = self.next_time(ms);
        self.jobs
            .entry(id.to_owned())
            .or_default()
            .known_at
            .get_or_insert(now);
    }

    /// When the first request to cancel a job was sent, in ms.
    pub fn cancel_requested_at(&self, id: &str) -> Option<u64> {
        Some(self.jobs.get(id)?.cancel_requested_at?.ms)
    }

    /// Checks a reply that arrives now against what had been confirmed when its request was sent, and records
    /// what it confirms.
    pub fn record(
        &mut self,
        id: &str,
        sent: HistoryTime,
        reply: JobReply,
        ms: u64,
    ) -> Result<(), HistoryViolation> {
        let now = self.next_time(ms);
        let job = self.jobs.entry(id.to_owned()).or_default();
        self.replies += 1;
        self.follow_up_replies.count(job, sent);
        let checked = job.check(id, sent, reply);
        job.confirm(reply, now);
        checked
    }
}

impl FollowUpReplies {
    fn count(&mut self, job: &JobHistory, sent: HistoryTime) {
        let is_follow_up = |confirmed: HistoryTime| {
            confirmed < sent && sent.ms <= confirmed.ms + FOLLOW_UP_WINDOW_MS
        };
        match job.terminal {
            Some((JobState::Done, at)) => self.after_done += u64::from(is_follow_up(at)),
            Some((_, at)) => self.after_cancelled += u64::from(is_follow_up(at)),
            None => self.after_accepted += u64::from(job.known_at.is_some_and(is_follow_up)),
        }
    }
}

impl JobHistory {
    fn check(&self, id: &str, sent: HistoryTime, reply: JobReply) -> Result<(), HistoryViolation> {
        match reply {
            JobReply::Missing | JobReply::Refused => {
                if self.known_at.is_some_and(|at| at < sent) {
                    return Err(HistoryViolation::new(
                        "forgotten",
                        format!("{id}: {reply:?}"),
                    ));
                }
            }
            JobReply::Status(JobState::Cancelled) if self.cancel_requested_at.is_none() => {
                let details = format!("{id} is cancelled, but no user requested it");
                return Err(HistoryViolation::new("went_back", details));
            }
            JobReply::Status(state) => {
                let Some((terminal, at)) = self.terminal else {
                    return Ok(());
                };
                // Two different terminal states contradict each other in any order.
                let is_terminal = matches!(state, JobState::Done | JobState::Cancelled);
                if state != terminal && (is_terminal || at < sent) {
                    let details = format!("{id} was {terminal:?} at {} ms, then {state:?}", at.ms);
                    return Err(HistoryViolation::new("went_back", details));
                }
            }
        }
        Ok(())
    }

    fn confirm(&mut self, reply: JobReply, now: HistoryTime) {
        let JobReply::Status(state) = reply else {
            return;
        };
        self.known_at.get_or_insert(now);
        if matches!(state, JobState::Done | JobState::Cancelled) {
            self.terminal.get_or_insert((state, now));
        }
    }
}
