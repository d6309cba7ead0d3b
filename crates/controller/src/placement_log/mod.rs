//! The placement log of a partition: placements and progress of its jobs, packed into pages.
//!
//! An entry holds one chunk of a job's tasks. Each commit rewrites one page, or several if much has
//! changed: it keeps those entries of the page that are the newest copies, and adds the chunks that have
//! changed since the last commit. The newest copy of an entry is the one on the page with the highest
//! commit number; older copies stay on other pages until those are rewritten. An entry that has become
//! empty is kept until every page that may hold an older copy of it has been rewritten.

mod commit;
mod stored;

pub use commit::{CommitId, LogCommit};

use commit::CommitBuilder;
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, TaskChunk};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use stored::{parse_page_number, read_page, StoredPage};
use wire::state::Item;

/// Number of pages of a new placement log.
const INITIAL_PAGES: usize = 4;
/// Maximum number of pages that one commit writes.
const MAX_PAGES_PER_COMMIT: usize = 4;
/// Maximum bytes of the pages that one commit writes: 64 KiB, which the state service accepts in a transaction,
/// less what conditions and keys take.
const MAX_COMMIT_BYTES: usize = 60 * 1024;
/// Operations of a commit for each page: a condition and a write.
const TXN_OPS_PER_PAGE: usize = 2;
/// Bytes of a page that are not available for entries.
const PAGE_OVERHEAD_BYTES: usize = 128;
/// Estimated bytes of an entry, or of one of its placements, in addition to their strings.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A page of the log, as far as it is known to be durable.
#[derive(Debug, Clone, Default)]
struct Page {
    version: Version,
    commit_number: u64,
    /// Entries whose newest copies are on this page.
    entries: BTreeSet<ChunkKey>,
}

/// A chunk with its estimated size in bytes.
#[derive(Debug, Clone)]
struct SizedChunk {
    chunk: TaskChunk,
    estimated_bytes: usize,
}

impl SizedChunk {
    fn new(chunk: TaskChunk) -> Self {
        let placed_bytes: usize = chunk
            .placed
            .iter()
            .map(|task| task.machine.len() + ENTRY_OVERHEAD_BYTES)
            .sum();
        let estimated_bytes = ENTRY_OVERHEAD_BYTES + chunk.done.len() + placed_bytes;
        SizedChunk {
            chunk,
            estimated_bytes,
        }
    }
}

/// The newest copy of an entry. Its commit number is that of the page that holds it.
#[derive(Debug, Clone)]
struct LogEntry {
    page: usize,
    content: SizedChunk,
}

/// The placement log of a partition, as far as its commits are known to be durable.
#[derive(Debug)]
pub struct PlacementLog {
    partition: PartitionId,
    page_capacity_bytes: usize,
    max_pages_per_commit: usize,
    pages: Vec<Page>,
    entries: BTreeMap<ChunkKey, LogEntry>,
    /// The page that the next commit writes first.
    cursor: usize,
    commit_number: u64,
    unreadable_pages: Vec<String>,
}

impl PlacementLog {
    /// Key of a page.
    fn page_key(&self, page: usize) -> String {
        format!("{}{page:04}", crate::records::log_prefix(self.partition))
    }

    /// Builds the log from its pages. `value_bytes` limits the size of a page and `txn_ops` the number of
    /// operations in a commit.
    pub fn load(
        partition: PartitionId,
        items: &[Item],
        value_bytes: usize,
        txn_ops: usize,
    ) -> Self {
        let mut log = PlacementLog {
            partition,
            page_capacity_bytes: value_bytes
                .min(MAX_COMMIT_BYTES)
                .saturating_sub(PAGE_OVERHEAD_BYTES),
            max_pages_per_commit: (txn_ops / TXN_OPS_PER_PAGE).clamp(1, MAX_PAGES_PER_COMMIT),
            pages: vec![Page::default(); INITIAL_PAGES],
            entries: BTreeMap::new(),
            cursor: 0,
            commit_number: 0,
            unreadable_pages: Vec::new(),
        };
        for item in items {
            let Some(number) = parse_page_number(&item.key) else {
                continue;
            };
            match read_page(&item.value) {
                Ok(page) => log.add_page(number, Version(item.version), page),
                Err(error) => {
                    tracing::error!(key = %item.key, %error, "placement log page unreadable");
                    log.unreadable_pages.push(item.key.clone());
                }
            }
        }
        log
    }

    /// Adds a page that has been read.
    fn add_page(&mut self, number: usize, version: Version, stored: StoredPage) {
        let page = self.page_mut(number);
        page.version = version;
        page.commit_number = stored.commit_number;
        if stored.commit_number >= self.commit_number {
            self.commit_number = stored.commit_number;
            self.cursor = number + 1;
        }
        for entry in stored.entries {
            let key = entry.key();
            let is_newest = self
                .commit_number_of(&key)
                .is_none_or(|known| known < stored.commit_number);
            if is_newest {
                let content = SizedChunk::new(entry.chunk);
                let page = number;
                self.insert(key, LogEntry { page, content });
            }
        }
    }

    /// The page with this number, which is added if it does not exist yet.
    fn page_mut(&mut self, number: usize) -> &mut Page {
        if self.pages.len() <= number {
            self.pages.resize(number + 1, Page::default());
        }
        &mut self.pages[number]
    }

    /// Number of the commit that wrote an entry's newest copy.
    fn commit_number_of(&self, key: &ChunkKey) -> Option<u64> {
        let entry = self.entries.get(key)?;
        Some(self.pages[entry.page].commit_number)
    }

    fn oldest_commit_number(&self) -> u64 {
        self.pages
            .iter()
            .map(|page| page.commit_number)
            .min()
            .unwrap_or(0)
    }

    /// Keys of the pages that could not be read, so that their entries are unknown.
    pub fn unreadable_pages(&self) -> &[String] {
        &self.unreadable_pages
    }

    /// The chunks of a job, with their numbers.
    pub fn chunks_of(&self, job: JobId) -> Vec<(u32, TaskChunk)> {
        self.entries
            .range(ChunkKey::all_of(job))
            .map(|(key, entry)| (key.chunk, entry.content.chunk.clone()))
            .collect()
    }

    /// All jobs with entries.
    pub fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.entries.keys().map(|key| key.job).collect();
        jobs.dedup();
        jobs
    }

    /// Removes the entries of a job that has reached a terminal state.
    pub fn forget_job(&mut self, job: JobId) {
        let keys: Vec<ChunkKey> = self
            .entries
            .range(ChunkKey::all_of(job))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &ChunkKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.pages[entry.page].entries.remove(key);
        }
    }

    fn insert(&mut self, key: ChunkKey, entry: LogEntry) {
        self.remove(&key);
        self.pages[entry.page].entries.insert(key);
        self.entries.insert(key, entry);
    }

    /// Prepares a commit of these changes. Returns it with the keys of the changes that did not fit.
    pub fn prepare_commit(
        &self,
        partition_version: Version,
        changes: Vec<(ChunkKey, TaskChunk)>,
    ) -> (LogCommit, Vec<ChunkKey>) {
        let mut builder = CommitBuilder::new(self, partition_version, changes);
        for step in 0..self.max_pages_per_commit {
            if step > 0 && builder.is_complete() {
                break;
            }
            // Whether another page may follow, if this one becomes full.
            let bytes_after = builder.estimated_bytes() + 2 * self.page_capacity_bytes;
            let is_last = step + 1 == self.max_pages_per_commit || bytes_after > MAX_COMMIT_BYTES;
            if !builder.add_page(self, step, is_last) || is_last {
                break;
            }
        }
        builder.finish()
    }

    /// Entries of a page that a rewrite keeps. The old copy of a change that does not fit into the commit
    /// is among them, since dropping it would lose durable progress.
    fn kept_entries(
        &self,
        page: usize,
        written_keys: &BTreeSet<ChunkKey>,
    ) -> BTreeMap<ChunkKey, SizedChunk> {
        let keys = self
            .pages
            .get(page)
            .into_iter()
            .flat_map(|page| &page.entries);
        keys.filter(|key| !written_keys.contains(*key))
            .filter_map(|key| Some((*key, self.entries.get(key)?.content.clone())))
            .collect()
    }

    /// Applies a commit that is durable at this revision.
    pub fn confirm_commit(&mut self, commit: &LogCommit, revision: u64) {
        for written in &commit.pages {
            let page = self.page_mut(written.page);
            page.version = Version(revision);
            page.commit_number = written.commit_number;
            self.commit_number = self.commit_number.max(written.commit_number);
            self.cursor = written.page + 1;
        }
        for key in &commit.dropped {
            self.remove(key);
        }
        for committed in &commit.entries {
            self.insert(committed.key, committed.entry.clone());
        }
        if self.cursor >= self.pages.len() {
            self.cursor = 0;
        }
    }

    /// Key of a page that the commit writes, and the commit's id. By them [`Self::is_page_of_commit`] can
    /// tell from a read of the page whether the commit was applied.
    pub fn verification_page(&self, commit: &LogCommit) -> Option<(String, CommitId)> {
        let written = commit.pages.first()?;
        let id = CommitId {
            number: written.commit_number,
            partition_version: commit.partition_version,
        };
        Some((self.page_key(written.page), id))
    }

    /// Whether a page that was read back has been written by this commit.
    pub fn is_page_of_commit(value: &serde_json::Value, id: CommitId) -> bool {
        StoredPage::deserialize(value).is_ok_and(|page| page.commit_id() == id)
    }
}
