//! A history checker: replies about each job are checked against real-time order. A reply may not be older
//! than anything that was confirmed to any user before its request was sent.

use std::collections::HashMap;
use wire::users::JobState;

/// A request counts as close to a confirmation if it was sent at most this many ms after it.
const CLOSE_ANSWER_MS: u64 = 100;

/// A point in the total order of all requests and replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HistoryTime {
    order: u64,
    ms: u64,
}

impl HistoryTime {
    /// A point by a clock in microseconds, for histories whose order is that of a clock.
    pub fn at_us(us: u64) -> Self {
        HistoryTime {
            order: us,
            ms: us / 1_000,
        }
    }
}

/// What an answer says about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobReply {
    /// The job is known and has this state.
    Status(JobState),
    /// There is no such job (404).
    Missing,
    /// The submission was refused for good (400 or 422).
    Refused,
}

/// An answer that contradicts the history of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HistoryViolation {
    pub rule: &'static str,
    pub details: String,
}

impl HistoryViolation {
    fn new(rule: &'static str, what: String) -> Self {
        HistoryViolation {
            rule,
            details: what,
        }
    }
}

/// What has been confirmed about one job, and when first.
#[derive(Debug, Default)]
struct JobHistory {
    known: Option<HistoryTime>,
    finished: Option<(JobState, HistoryTime)>,
    cancel_requested: Option<HistoryTime>,
}

/// Answers whose status requests were sent within milliseconds of a confirmation about the same job.
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
    pub replies: u64,
    pub follow_up_replies: FollowUpReplies,
}

impl History {
    /// A question is sent, or an answer comes.
    pub fn next_time(&mut self, ms: u64) -> HistoryTime {
        self.last_order += 1;
        HistoryTime {
            order: self.last_order,
            ms,
        }
    }

    /// All that comes from now on is later than this point by a clock in microseconds.
    pub fn advance_to_us(&mut self, us: u64) {
        self.last_order = self.last_order.max(us);
    }

    /// A user asks for the cancellation of a job.
    pub fn record_cancel_request(&mut self, id: &str, ms: u64) {
        let now = self.next_time(ms);
        self.jobs
            .entry(id.to_owned())
            .or_default()
            .cancel_requested
            .get_or_insert(now);
    }

    /// A submission was answered, whatever the answer says of the job's state: it is known from now on.
    pub fn record_acceptance(&mut self, id: &str, ms: u64) {
        let now = self.next_time(ms);
        self.jobs
            .entry(id.to_owned())
            .or_default()
            .known
            .get_or_insert(now);
    }

    /// When the cancellation of a job was first asked for, in ms.
    pub fn cancel_requested_at(&self, id: &str) -> Option<u64> {
        Some(self.jobs.get(id)?.cancel_requested?.ms)
    }

    /// Checks a reply that arrives now against what had been confirmed when its request was sent, and records
    /// what it confirms.
    pub fn record(
        &mut self,
        id: &str,
        sent: HistoryTime,
        answer: JobReply,
        ms: u64,
    ) -> Result<(), HistoryViolation> {
        let now = self.next_time(ms);
        let job = self.jobs.entry(id.to_owned()).or_default();
        self.replies += 1;
        self.follow_up_replies.count(job, sent);
        let judged = job.judge(id, sent, answer);
        job.confirm(answer, now);
        judged
    }
}

impl FollowUpReplies {
    fn count(&mut self, job: &JobHistory, sent: HistoryTime) {
        let close =
            |confirmed: HistoryTime| confirmed < sent && sent.ms <= confirmed.ms + CLOSE_ANSWER_MS;
        match job.finished {
            Some((JobState::Done, at)) => self.after_done += u64::from(close(at)),
            Some((_, at)) => self.after_cancelled += u64::from(close(at)),
            None => self.after_accepted += u64::from(job.known.is_some_and(close)),
        }
    }
}

impl JobHistory {
    fn judge(&self, id: &str, sent: HistoryTime, answer: JobReply) -> Result<(), HistoryViolation> {
        match answer {
            JobReply::Missing | JobReply::Refused => {
                if self.known.is_some_and(|at| at < sent) {
                    return Err(HistoryViolation::new(
                        "forgotten",
                        format!("{id}: {answer:?}"),
                    ));
                }
            }
            JobReply::Status(JobState::Cancelled) if self.cancel_requested.is_none() => {
                let what = format!("{id} is cancelled, and nobody asked for it");
                return Err(HistoryViolation::new("went_back", what));
            }
            JobReply::Status(state) => {
                let Some((finished, at)) = self.finished else {
                    return Ok(());
                };
                // Two terminal states contradict each other in any order.
                let is_final = matches!(state, JobState::Done | JobState::Cancelled);
                if state != finished && (is_final || at < sent) {
                    let what = format!("{id} was {finished:?} at {}, then {state:?}", at.ms);
                    return Err(HistoryViolation::new("went_back", what));
                }
            }
        }
        Ok(())
    }

    fn confirm(&mut self, answer: JobReply, now: HistoryTime) {
        let JobReply::Status(state) = answer else {
            return;
        };
        self.known.get_or_insert(now);
        if matches!(state, JobState::Done | JobState::Cancelled) {
            self.finished.get_or_insert((state, now));
        }
    }
}
