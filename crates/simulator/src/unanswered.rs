//! Whether accepted jobs stay known: job by job, not on average.

use std::collections::BTreeMap;

/// Once all troubles are over, a job about which no question is answered for so long is forgotten.
const ANSWER_DEADLINE_MS: u64 = 75_000;

/// Since when questions about jobs have been without an answer.
#[derive(Debug, Default)]
pub struct UnansweredJobs {
    unanswered: BTreeMap<String, u64>,
}

impl UnansweredJobs {
    /// Somebody asks about a job.
    pub fn record_query(&mut self, id: &str, now: u64) {
        self.unanswered.entry(id.to_owned()).or_insert(now);
    }

    /// A question about it was answered.
    pub fn record_answer(&mut self, id: &str) {
        self.unanswered.remove(id);
    }

    /// Jobs that count as forgotten from now on; each is named once.
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
mod tests {
    use super::*;

    /// However many others are answered.
    #[test]
    fn job_without_answer_for_75_s_is_reported_lost() {
        let mut unanswered = UnansweredJobs::default();
        for now in (0..80_000).step_by(5_000) {
            for id in ["a", "b"] {
                unanswered.record_query(id, now);
            }
            unanswered.record_answer("a");
            let expected: &[&str] = if now == 75_000 { &["b"] } else { &[] };
            assert_eq!(unanswered.take_overdue(now), expected, "{now}");
        }
    }
}
