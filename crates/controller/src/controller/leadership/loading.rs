//! A leadership whose partition is not loaded yet: it keeps the pages of the placement log read so
//! far, the failed readiness checks, and the heartbeats that arrive meanwhile.

use super::{LoadState, LoadedPartition, PartitionLeadership};
use crate::controller::job_archiver::JobArchiver;
use crate::placement_log::PlacementLog;
use crate::records::log_prefix;
use failover::readiness::ReadinessCheck;
use model::{MachineName, PartitionId, Revision, Timestamp};
use scheduler::PartitionState;
use std::collections::BTreeMap;
use wire::state::{Item, ListPage};
use wire::workers::Heartbeat;

/// What a leader keeps until the partition's state can be built.
#[derive(Debug, Default)]
pub(super) struct Loading {
    log_read: LogReadProgress,
    /// Readiness checks that failed when they were last evaluated.
    failed_checks: Vec<ReadinessCheck>,
    /// Heartbeats that were answered while loading. They are reconciled once the state is built.
    heartbeats: BTreeMap<MachineName, EarlyHeartbeat>,
}

/// A heartbeat that was answered before the partition's state was built.
#[derive(Debug)]
pub(in crate::controller) struct EarlyHeartbeat {
    /// The worker's status.
    pub heartbeat: Heartbeat,
    /// When a heartbeat of the machine was last answered.
    pub answered_at: Timestamp,
}

/// Progress of reading the placement log.
#[derive(Debug)]
enum LogReadProgress {
    /// The pages read so far, and the state service's revision when the first one was read.
    Reading {
        pages: Vec<Item>,
        revision: Option<Revision>,
    },
    Complete(CompletedLogRead),
}

impl Default for LogReadProgress {
    fn default() -> Self {
        LogReadProgress::Reading {
            pages: Vec::new(),
            revision: None,
        }
    }
}

/// A placement log of which all pages have been read.
#[derive(Debug)]
pub(in crate::controller) struct CompletedLogRead {
    /// Revision of the state service when the first page was read; later pages may be newer.
    pub revision: Revision,
    /// The log.
    pub log: PlacementLog,
}

/// Result of adding a page to the placement log being read.
#[derive(Debug)]
pub(in crate::controller) enum LogPageOutcome {
    /// The page does not continue the list after this key, the last one read.
    OutOfOrder { last_key: String },
    /// The log continues after this key.
    More { after: String },
    /// All pages have been read.
    Complete { unreadable_pages: u64 },
    /// No page was expected.
    Unexpected,
}

impl Loading {
    /// Keeps a machine's newest heartbeat until the partition's state is built. A late copy of an older one does not
    /// replace it, but is answered as well.
    pub(super) fn record_heartbeat(
        &mut self,
        machine: &MachineName,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) {
        let order = |heartbeat: &Heartbeat| (heartbeat.worker_epoch, heartbeat.sequence_number);
        match self.heartbeats.get_mut(machine) {
            Some(early) if order(&early.heartbeat) > order(heartbeat) => early.answered_at = now,
            _ => {
                let early = EarlyHeartbeat {
                    heartbeat: heartbeat.clone(),
                    answered_at: now,
                };
                self.heartbeats.insert(machine.clone(), early);
            }
        }
    }
}

impl PartitionLeadership {
    /// Whether the partition's state has been built.
    pub(in crate::controller) fn is_loaded(&self) -> bool {
        matches!(self.load_state, LoadState::Loaded(_))
    }

    fn loading(&self) -> Option<&Loading> {
        match &self.load_state {
            LoadState::Loading(loading) => Some(loading),
            LoadState::Loaded(_) => None,
        }
    }

    fn loading_mut(&mut self) -> Option<&mut Loading> {
        match &mut self.load_state {
            LoadState::Loading(loading) => Some(loading),
            LoadState::Loaded(_) => None,
        }
    }

    /// Discards the pages read so far: the placement log is read again from its first page.
    pub(in crate::controller) fn restart_log_read(&mut self) {
        if let Some(loading) = self.loading_mut() {
            loading.log_read = LogReadProgress::default();
        }
    }

    /// Adds a page to the placement log being read. `value_bytes` limits the size of a page and
    /// `txn_ops` the number of operations in a commit.
    pub(in crate::controller) fn add_log_page(
        &mut self,
        partition: PartitionId,
        page: ListPage,
        value_bytes: usize,
        txn_ops: usize,
    ) -> LogPageOutcome {
        let Some(loading) = self.loading_mut() else {
            return LogPageOutcome::Unexpected;
        };
        let LogReadProgress::Reading { pages, revision } = &mut loading.log_read else {
            return LogPageOutcome::Unexpected;
        };
        let last_key = pages.last().map_or("", |item| item.key.as_str());
        if !page.is_valid_for(&log_prefix(partition), last_key) {
            let last_key = last_key.to_string();
            return LogPageOutcome::OutOfOrder { last_key };
        }
        let revision = *revision.get_or_insert(Revision(page.revision));
        let after = page.items.last().map(|item| item.key.clone());
        pages.extend(page.items);
        if let (true, Some(after)) = (page.has_more, after) {
            return LogPageOutcome::More { after };
        }
        let log = PlacementLog::load(partition, pages, value_bytes, txn_ops);
        let unreadable_pages = log.unreadable_pages().len() as u64;
        loading.log_read = LogReadProgress::Complete(CompletedLogRead { revision, log });
        LogPageOutcome::Complete { unreadable_pages }
    }

    /// The placement log, if all of its pages have been read and the partition is not loaded yet.
    pub(in crate::controller) fn completed_log_read(&self) -> Option<&CompletedLogRead> {
        match &self.loading()?.log_read {
            LogReadProgress::Complete(read) => Some(read),
            LogReadProgress::Reading { .. } => None,
        }
    }

    /// Takes the placement log out, to build the partition's state from it, if all of its pages have
    /// been read.
    pub(in crate::controller) fn take_completed_log_read(&mut self) -> Option<CompletedLogRead> {
        let loading = self.loading_mut()?;
        match std::mem::take(&mut loading.log_read) {
            LogReadProgress::Complete(read) => Some(read),
            LogReadProgress::Reading { .. } => None,
        }
    }

    /// Takes the heartbeats that were answered before the partition's state was built.
    pub(in crate::controller) fn take_early_heartbeats(
        &mut self,
    ) -> BTreeMap<MachineName, EarlyHeartbeat> {
        self.loading_mut()
            .map(|loading| std::mem::take(&mut loading.heartbeats))
            .unwrap_or_default()
    }

    /// Readiness checks that failed when they were last evaluated.
    pub(in crate::controller) fn failed_checks(&self) -> &[ReadinessCheck] {
        self.loading()
            .map_or(&[], |loading| loading.failed_checks.as_slice())
    }

    /// Records which readiness checks have just failed.
    pub(in crate::controller) fn set_failed_checks(&mut self, failed: &[ReadinessCheck]) {
        if let Some(loading) = self.loading_mut() {
            loading.failed_checks = failed.to_vec();
        }
    }

    /// Records that the partition's state has been built, so that scheduling begins.
    pub(in crate::controller) fn finish_loading(
        &mut self,
        log: PlacementLog,
        partition_state: PartitionState,
    ) {
        let loaded = LoadedPartition {
            log,
            partition_state,
            pending_commit: None,
            archiver: JobArchiver::default(),
            more_cycles: true,
        };
        self.load_state = LoadState::Loaded(Box::new(loaded));
    }
}

#[cfg(test)]
mod tests;
