//! Schedule of the trial runs of suspect jobs.

use model::{DurationExt, JobId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between the first two probes of a suspect job, which doubles up to a limit.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_secs(1);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(30);

/// When a suspect job is probed next.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JobProbe {
    due_at: Timestamp,
    interval: Duration,
}

impl JobProbe {
    /// The first probe of a job that has become suspect.
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

    /// A probe has been queued: the next one follows after twice the interval.
    pub(crate) fn back_off(&mut self, now: Timestamp) {
        let doubled = Duration::from_millis(self.interval.whole_millis() * 2);
        self.interval = doubled.min(MAX_PROBE_INTERVAL);
        self.due_at = now + self.interval;
    }
}

/// The suspect jobs, which are not queued like others.
#[derive(Debug, Default)]
pub(crate) struct JobProbes {
    by_job: BTreeMap<JobId, JobProbe>,
}

impl JobProbes {
    /// Whether the job is being probed.
    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.by_job.contains_key(id)
    }

    /// Whether no job is being probed.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// A job has become suspect.
    pub(crate) fn start(&mut self, id: JobId, now: Timestamp) {
        self.by_job.insert(id, JobProbe::first(now));
    }

    /// Keeps the jobs for which `keep` returns true, in the order of their ids.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(JobId, &mut JobProbe) -> bool) {
        self.by_job.retain(|id, probe| keep(*id, probe));
    }
}
