//! Accepted jobs about which status requests are not answered, job by job.

use std::collections::BTreeMap;

/// Once all faults are over, a job counts as lost if no request about it is answered for this time, in ms.
const ANSWER_DEADLINE_MS: u64 = 75_000;

/// Since when requests about jobs have been without a reply.
#[derive(Debug, Default)]
pub struct UnansweredJobs {
    unanswered: BTreeMap<String, u64>,
}

impl UnansweredJobs {
    /// A request about a job is sent.
    pub fn record_request(&mut self, id: &str, now: u64) {
        self.unanswered.entry(id.to_owned()).or_insert(now);
    }

    /// A request about a job was answered.
    pub fn record_answer(&mut self, id: &str) {
        self.unanswered.remove(id);
    }

    /// Jobs that count as lost from now on, each once.
    pub fn take_overdue(&mut self, now: u64) -> Vec<String> {
        let over = |at: &u64| now >= *at + ANSWER_DEADLINE_MS;
        if !self.unanswered.values().any(over) {
            return Vec::new();
        }
        self.unanswered
            .extract_if(.., |_, at| over(at))
            .map(|(id, _)| id)
            .collect()
    }
}

#[cfg(test)]
mod tests;
