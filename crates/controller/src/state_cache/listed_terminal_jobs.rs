//! Terminal states of the jobs that pages of terminal jobs list.

use model::{JobId, JobState};
use std::collections::HashMap;

/// The terminal state of a job, and the number of pages that list it.
#[derive(Debug)]
struct ListedJob {
    pages: u32,
    state: JobState,
}

/// The jobs on pages of terminal jobs. Until a job is archived these pages are the only place where its
/// terminal state is stored, so an entry goes only when no page lists the job any more.
#[derive(Debug, Default)]
pub(super) struct ListedTerminalJobs(HashMap<JobId, ListedJob>);

impl ListedTerminalJobs {
    /// Counts a page that lists the job. Returns whether it is the only one.
    pub(super) fn add(&mut self, id: JobId, state: JobState) -> bool {
        let job = self.0.entry(id).or_insert(ListedJob { pages: 0, state });
        job.pages += 1;
        job.pages == 1
    }

    /// Removes a page that listed the job from its count. Returns whether no page lists it any more.
    pub(super) fn remove(&mut self, id: JobId) -> bool {
        let Some(job) = self.0.get_mut(&id) else {
            return false;
        };
        job.pages -= 1;
        let is_unlisted = job.pages == 0;
        if is_unlisted {
            self.0.remove(&id);
        }
        is_unlisted
    }

    /// The terminal state of a job that a page lists.
    pub(super) fn state(&self, id: JobId) -> Option<JobState> {
        self.0.get(&id).map(|job| job.state)
    }

    /// The jobs with their terminal states, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobId, JobState)> + '_ {
        self.0.iter().map(|(id, job)| (*id, job.state))
    }
}
