//! Detects accepted jobs whose status requests get no reply.

use std::collections::BTreeMap;

/// Once all faults are over, a job counts as lost if no request about it is answered for this long.
const ANSWER_DEADLINE_MS: u64 = 75_000;

/// Jobs whose status requests have had no reply so far.
#[derive(Debug, Default)]
pub struct UnansweredJobs {
    /// When the first unanswered request about each job was sent, by job id.
    unanswered_since: BTreeMap<String, u64>,
}

impl UnansweredJobs {
    /// Records that a status request about a job is sent.
    pub fn record_request(&mut self, id: &str, now: u64) {
        self.unanswered_since.entry(id.to_owned()).or_insert(now);
    }

    /// Records that a status request about a job was answered.
    pub fn record_answer(&mut self, id: &str) {
        self.unanswered_since.remove(id);
    }

    /// Removes and returns the jobs that count as lost now.
    pub fn take_overdue(&mut self, now: u64) -> Vec<String> {
        let is_overdue = |since: &u64| now >= *since + ANSWER_DEADLINE_MS;
        if !self.unanswered_since.values().any(is_overdue) {
            return Vec::new();
        }
        self.unanswered_since
            .extract_if(.., |_, since| is_overdue(since))
            .map(|(id, _)| id)
            .collect()
    }
}

#[cfg(test)]
mod tests;
