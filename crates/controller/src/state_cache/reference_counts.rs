//! Counts of the pages that list a job.

use model::JobId;
use std::collections::HashMap;

/// Number of pages that list each job.
#[derive(Debug, Default)]
pub(super) struct ReferenceCounts(HashMap<JobId, u32>);

impl ReferenceCounts {
    /// Counts a page that lists the job. Returns whether it is the only one.
    pub(super) fn add(&mut self, id: JobId) -> bool {
        let pages = self.0.entry(id).or_default();
        *pages += 1;
        *pages == 1
    }

    /// Removes a page that listed the job from its count.
    pub(super) fn remove(&mut self, id: JobId) {
        if let Some(pages) = self.0.get_mut(&id) {
            *pages -= 1;
            if *pages == 0 {
                self.0.remove(&id);
            }
        }
    }

    /// Whether any page lists the job.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.0.contains_key(&id)
    }
}
