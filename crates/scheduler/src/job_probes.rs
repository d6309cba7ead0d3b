//! When suspect jobs are probed. A probe runs one task of the job, or the whole gang, to find out whether it
//! still fails; see the module `failure_attribution`.

use model::{DurationExt, JobId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from a job's becoming suspect to its first probe. It doubles for each further probe, up to
/// [`MAX_PROBE_INTERVAL`].
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two probes of a suspect job.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// The probe schedule of one suspect job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobProbe {
    due_at: Timestamp,
    interval: Duration,
}

impl JobProbe {
    /// The schedule of a job that has become suspect at `now`.
    fn first(now: Timestamp) -> Self {
        JobProbe {
            due_at: now + INITIAL_PROBE_INTERVAL,
            interval: INITIAL_PROBE_INTERVAL,
        }
    }

    /// Whether the next probe is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at
    }

    /// Doubles the interval and schedules the next probe, after one has been queued.
    pub(crate) fn back_off(&mut self, now: Timestamp) {
        let doubled = Duration::from_millis(self.interval.whole_millis() * 2);
        self.interval = doubled.min(MAX_PROBE_INTERVAL);
        self.due_at = now + self.interval;
    }
}

/// The suspect jobs. Only their probes are queued, not all of their waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct JobProbes {
    by_job: BTreeMap<JobId, JobProbe>,
}

impl JobProbes {
    /// Whether the job is suspect and thus being probed.
    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.by_job.contains_key(id)
    }

    /// Whether no job is being probed.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Begins to probe a job that has become suspect.
    pub(crate) fn start(&mut self, id: JobId, now: Timestamp) {
        self.by_job.insert(id, JobProbe::first(now));
    }

    /// Keeps the jobs for which `keep` returns true, in the order of their ids.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(JobId, &mut JobProbe) -> bool) {
        self.by_job.retain(|id, probe| keep(*id, probe));
    }
}
