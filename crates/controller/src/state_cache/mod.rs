//! This controller's cache of the watched records of the state service.
//!
//! `apply` decodes changes, and `pages` applies changes of packed pages. Records that cannot be decoded
//! are counted as rejected, and the records cached before stay.

mod apply;
mod listed_terminal_jobs;
mod pages;
mod reference_counts;

use crate::records::{
    packed_bytes, DemandRecord, IncarnationRecord, MachineRecord, PackedJob, PartitionRecord,
    ReclaimRecord, TerminalJobsPage, TokenCounterRecord,
};
use listed_terminal_jobs::ListedTerminalJobs;
use model::{
    ControllerName, JobId, JobSpec, JobState, MachineName, PartitionId, Revision, Version,
};
use reference_counts::ReferenceCounts;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wire::cloud::MachineTypes;

/// An accepted job that is not in a terminal state.
#[derive(Debug, Clone)]
pub struct OpenJob {
    pub packed: Arc<PackedJob>,
    /// Bytes that the job takes on its page.
    pub packed_bytes: usize,
    pub spec: Arc<JobSpec>,
}

impl OpenJob {
    /// Time of submission in ms on the controllers' logical clock.
    pub fn submitted_at_ms(&self) -> u64 {
        self.packed.submitted_at_ms
    }
}

/// A record with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub record: T,
    pub version: Version,
}

/// A machine's record and the page that holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedMachine {
    pub record: MachineRecord,
    pub page: u32,
    /// Upper bound of the bytes that the record takes on its page.
    pub max_bytes: usize,
}

/// A page of machines' records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachinePage {
    pub names: BTreeSet<MachineName>,
    /// Upper bound of the bytes that the machines on the page take.
    pub max_bytes: usize,
}

/// A change of the cache that the controller's components have to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheEvent {
    /// A job was accepted or cancelled, or a full read no longer contains it.
    Job(JobId),
    /// An open job has reached a terminal state.
    JobTerminated(JobId),
    /// No page of terminal jobs lists the job any more, since this terminal state is archived.
    JobArchived(JobId, JobState),
    Partition(PartitionId),
    /// A leader has written the unmet demand of its partition.
    Demand(PartitionId, DemandRecord),
    Machine(MachineName),
    Incarnation(ControllerName),
    MachineTypes,
    Tuning,
}

/// The watched records, as of [`StateCache::revision`].
#[derive(Debug, Default)]
pub struct StateCache {
    /// Jobs that are accepted and not in a terminal state.
    pub jobs: BTreeMap<JobId, OpenJob>,
    /// The jobs on each page of accepted jobs, by the page's key, whether in a terminal state or not.
    pub accepted_job_pages: BTreeMap<String, Versioned<Vec<JobId>>>,
    /// Entries of pages of accepted jobs that cannot be read, by the page's key. They are kept unchanged
    /// in the state service, since another version may have written them.
    unreadable_jobs: BTreeMap<String, Vec<Value>>,
    /// Keys of pages of accepted or terminal jobs of which some jobs are unknown: the page or the id of an
    /// entry could not be read.
    incomplete_pages: BTreeSet<String>,
    /// Cancelled jobs, by the controller that accepted their cancellation.
    pub cancellations: BTreeMap<ControllerName, Versioned<BTreeSet<JobId>>>,
    /// Pages of terminal jobs, by partition and page number.
    pub terminal_job_pages: BTreeMap<(PartitionId, u32), Versioned<TerminalJobsPage>>,
    /// Jobs on pages of terminal jobs. These and `registered` are updated as pages change, since
    /// collecting the jobs from all pages whenever a job completes is expensive with a thousand machines.
    terminal: ListedTerminalJobs,
    /// Jobs on pages of accepted jobs, whether in a terminal state or not.
    registered: ReferenceCounts,
    pub partitions: BTreeMap<PartitionId, Versioned<PartitionRecord>>,
    pub reclaim_requests: BTreeMap<PartitionId, Versioned<ReclaimRecord>>,
    /// Versions of the demand records that leaders have written.
    pub demand_versions: BTreeMap<PartitionId, Version>,
    pub machines: BTreeMap<MachineName, CachedMachine>,
    pub machine_pages: BTreeMap<u32, Versioned<MachinePage>>,
    pub incarnations: BTreeMap<ControllerName, Versioned<IncarnationRecord>>,
    pub token_counter: Option<Versioned<TokenCounterRecord>>,
    pub machine_types: Option<Versioned<MachineTypes>>,
    pub tuning: Option<Versioned<Value>>,
    /// All changes up to this revision have been applied.
    pub revision: Revision,
    /// Number of records and entries rejected since this count was last taken.
    rejected_count: u64,
}

impl StateCache {
    /// Version of the token counter, 0 if there is none.
    pub fn token_counter_version(&self) -> u64 {
        self.token_counter
            .as_ref()
            .map_or(0, |counter| counter.version.0)
    }

    /// The next fencing token.
    pub fn next_token(&self) -> u64 {
        self.token_counter
            .as_ref()
            .map_or(1, |counter| counter.record.next)
    }

    /// Whether a user has cancelled the job.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.cancellations
            .values()
            .any(|cancelled| cancelled.record.contains(&id))
    }

    /// Whether a job is on any page of accepted jobs, whether in a terminal state or not.
    pub fn is_registered(&self, id: JobId) -> bool {
        self.registered.contains(id)
    }

    /// Whether a job is on a page of accepted jobs in a form that cannot be read and not known to be in a
    /// terminal state, so that its state is unknown.
    pub fn is_unreadable(&self, id: JobId) -> bool {
        self.registered.contains(id)
            && !self.jobs.contains_key(&id)
            && self.listed_terminal_state(id).is_none()
    }

    /// Whether the pages of accepted and terminal jobs might list a job that the cache does not know, so that
    /// its absence from the cache proves nothing.
    pub fn may_miss_jobs(&self) -> bool {
        !self.incomplete_pages.is_empty()
    }

    /// The terminal state of a job that is on a page of terminal jobs. Every job in a terminal state that is
    /// not archived is on one.
    pub fn listed_terminal_state(&self, id: JobId) -> Option<JobState> {
        self.terminal.state(id)
    }

    /// The entries that a page of accepted jobs keeps when it is rewritten: open jobs, and entries that
    /// cannot be read.
    pub fn kept_entries(&self, page_key: &str) -> Vec<Value> {
        let unreadable = self.unreadable_jobs.get(page_key).into_iter().flatten();
        self.open_jobs_on(page_key)
            .filter_map(|job| serde_json::to_value(&*job.packed).ok())
            .chain(unreadable.cloned())
            .collect()
    }

    /// Bytes of the entries that a page of accepted jobs keeps when it is rewritten.
    pub fn kept_bytes(&self, page_key: &str) -> usize {
        let unreadable = self.unreadable_jobs.get(page_key).into_iter().flatten();
        let open_bytes: usize = self
            .open_jobs_on(page_key)
            .map(|job| job.packed_bytes)
            .sum();
        open_bytes + unreadable.map(packed_bytes).sum::<usize>()
    }

    fn open_jobs_on(&self, page_key: &str) -> impl Iterator<Item = &OpenJob> {
        self.accepted_job_pages
            .get(page_key)
            .into_iter()
            .flat_map(|page| &page.record)
            .filter_map(|id| self.jobs.get(id))
    }

    /// Returns the number of records and entries rejected since the last call.
    pub fn take_rejected_count(&mut self) -> u64 {
        std::mem::take(&mut self.rejected_count)
    }
}
