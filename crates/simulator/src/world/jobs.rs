//! Jobs that users have submitted in a run, and what is known or expected of them.

use super::unusual_requests::ExpectedRejection;
use std::collections::{BTreeSet, HashMap};
use wire::users::JobRequest;

/// Distance between the numbers of consecutive jobs.
const NUMBER_STEP: u64 = 7;

/// All jobs of a run. Times are in ms.
#[derive(Debug, Default)]
pub(super) struct SubmittedJobs {
    last_number: u64,
    jobs: HashMap<String, JobRequest>,
    submitted_at: HashMap<String, u64>,
    run_time_factors: HashMap<String, u64>,
    expected_rejections: HashMap<String, ExpectedRejection>,
    /// Jobs of which their users know that they are in a terminal state.
    known_terminal: BTreeSet<String>,
}

impl SubmittedJobs {
    /// Returns an id that no job has had.
    pub(super) fn next_id(&mut self) -> String {
        self.last_number += 1;
        format!("j-{:06}", self.last_number * NUMBER_STEP)
    }

    /// Number of ids given out so far.
    pub(super) fn count(&self) -> u64 {
        self.last_number
    }

    /// Adds a valid job that is first submitted now.
    pub(super) fn add(&mut self, job: JobRequest, now: u64) {
        self.submitted_at.insert(job.id.clone(), now);
        self.jobs.insert(job.id.clone(), job);
    }

    /// The valid job with this id.
    pub(super) fn get(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// All valid jobs by their ids.
    pub(super) fn all(&self) -> &HashMap<String, JobRequest> {
        &self.jobs
    }

    /// Time of a job's first submission.
    pub(super) fn submitted_at(&self, id: &str) -> Option<u64> {
        self.submitted_at.get(id).copied()
    }

    /// Times of the jobs' first submissions.
    pub(super) fn submission_times(&self) -> &HashMap<String, u64> {
        &self.submitted_at
    }

    /// Lets the tasks of a job run longer by a factor.
    pub(super) fn set_run_time_factor(&mut self, id: String, factor: u64) {
        self.run_time_factors.insert(id, factor);
    }

    /// Factor by which the tasks of a job run longer; 1 unless set.
    pub(super) fn run_time_factor(&self, id: &str) -> u64 {
        self.run_time_factors.get(id).copied().unwrap_or(1)
    }

    /// Records that the submission with this id is invalid and how it has to be rejected.
    pub(super) fn expect_rejection(&mut self, id: String, rejection: ExpectedRejection) {
        self.expected_rejections.insert(id, rejection);
    }

    /// How a submission has to be rejected, if it is invalid.
    pub(super) fn expected_rejection(&self, id: &str) -> Option<ExpectedRejection> {
        self.expected_rejections.get(id).copied()
    }

    /// Records that a user has learnt that a job is in a terminal state.
    pub(super) fn record_known_terminal(&mut self, id: String) {
        self.known_terminal.insert(id);
    }

    /// Whether a user has learnt that a job is in a terminal state.
    pub(super) fn is_known_terminal(&self, id: &str) -> bool {
        self.known_terminal.contains(id)
    }
}
