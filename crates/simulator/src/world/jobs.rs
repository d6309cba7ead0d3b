//! Jobs that users have submitted in a run.

use super::unusual_requests::ExpectedRejection;
use std::collections::{BTreeSet, HashMap};
use wire::users::JobRequest;

/// Distance between the numbers of two jobs that follow each other.
const NUMBER_STEP: u64 = 7;

/// All jobs of a run. Times are in ms.
#[derive(Debug, Default)]
pub(super) struct SubmittedJobs {
    last: u64,
    jobs: HashMap<String, JobRequest>,
    submitted_at: HashMap<String, u64>,
    run_time_factors: HashMap<String, u64>,
    expected_rejections: HashMap<String, ExpectedRejection>,
    settled: BTreeSet<String>,
}

impl SubmittedJobs {
    /// An id that no job has had.
    pub(super) fn next_id(&mut self) -> String {
        self.last += 1;
        format!("j-{:06}", self.last * NUMBER_STEP)
    }

    /// How many ids have been given out.
    pub(super) fn count(&self) -> u64 {
        self.last
    }

    /// Adds a valid job that is submitted now.
    pub(super) fn add(&mut self, job: JobRequest, now: u64) {
        self.submitted_at.insert(job.id.clone(), now);
        self.jobs.insert(job.id.clone(), job);
    }

    /// A valid job by its id.
    pub(super) fn get(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// All valid jobs by their ids.
    pub(super) fn all(&self) -> &HashMap<String, JobRequest> {
        &self.jobs
    }

    /// When a job was submitted first.
    pub(super) fn submitted_at(&self, id: &str) -> Option<u64> {
        self.submitted_at.get(id).copied()
    }

    /// When each job was submitted first.
    pub(super) fn submission_times(&self) -> &HashMap<String, u64> {
        &self.submitted_at
    }

    /// Tasks of a job run this many times as long.
    pub(super) fn set_run_time_factor(&mut self, id: String, factor: u64) {
        self.run_time_factors.insert(id, factor);
    }

    /// How many times as long tasks of a job run.
    pub(super) fn run_time_factor(&self, id: &str) -> u64 {
        self.run_time_factors.get(id).copied().unwrap_or(1)
    }

    /// The submission of this id is invalid.
    pub(super) fn expect_rejection(&mut self, id: String, rejection: ExpectedRejection) {
        self.expected_rejections.insert(id, rejection);
    }

    /// How a submission has to be rejected, if it is invalid.
    pub(super) fn expected_rejection(&self, id: &str) -> Option<ExpectedRejection> {
        self.expected_rejections.get(id).copied()
    }

    /// A user has learnt that a job is in a terminal state.
    pub(super) fn settle(&mut self, id: String) {
        self.settled.insert(id);
    }

    /// Whether a user knows that a job is in a terminal state.
    pub(super) fn is_settled(&self, id: &str) -> bool {
        self.settled.contains(id)
    }
}
