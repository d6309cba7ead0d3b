//! Counts of the pages that name a job.

use model::JobId;
use std::collections::HashMap;

/// Number of pages that name each job.
#[derive(Debug, Default)]
pub(super) struct ReferenceCounts(HashMap<JobId, u32>);

impl ReferenceCounts {
    /// Counts a page that names the job; true if it is the first.
    pub(super) fn add(&mut self, id: JobId) -> bool {
        let pages = self.0.entry(id).or_default();
        *pages += 1;
        *pages == 1
    }

    /// Discounts a page that names the job.
    pub(super) fn remove(&mut self, id: JobId) {
        if let Some(pages) = self.0.get_mut(&id) {
            *pages -= 1;
            if *pages == 0 {
                self.0.remove(&id);
            }
        }
    }

    /// Whether any page names the job.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.0.contains_key(&id)
    }
}
