//! Preparation of a commit of the placement log: which pages it writes, and with which entries.

use super::stored::{StoredEntry, StoredPage};
use super::{LogEntry, PlacementLog, SizedChunk};
use model::Version;
use scheduler::{ChunkKey, TaskChunk};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::state::{Transaction, Write};

/// Identifies a commit. Every leader continues from the highest commit number in the log, so a commit
/// may have the same number as one of the previous leader that was never written. Therefore the id also
/// contains the version of the partition's record under which the commit was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitId {
    pub(super) number: u64,
    pub(super) partition_version: Version,
}

/// A page that a commit writes.
#[derive(Debug, Clone, Copy)]
pub(super) struct WrittenPage {
    pub page: usize,
    /// Each page of a commit has a number of its own; the numbers are consecutive.
    pub commit_number: u64,
}

/// An entry that a commit adds or updates.
#[derive(Debug, Clone)]
pub(super) struct CommittedEntry {
    pub key: ChunkKey,
    pub entry: LogEntry,
}

/// A prepared commit of the log.
#[derive(Debug, Clone)]
pub struct LogCommit {
    /// The transaction that writes the commit.
    pub txn: Transaction,
    /// Chunks that the commit adds or updates.
    pub chunk_keys: Vec<ChunkKey>,
    pub(super) partition_version: Version,
    pub(super) pages: Vec<WrittenPage>,
    pub(super) entries: Vec<CommittedEntry>,
    pub(super) dropped: Vec<ChunkKey>,
}

/// The contents of a page while a commit is prepared.
#[derive(Debug, Default)]
struct PageDraft {
    entries: BTreeMap<ChunkKey, SizedChunk>,
    estimated_bytes: usize,
}

impl PageDraft {
    fn new(entries: BTreeMap<ChunkKey, SizedChunk>) -> Self {
        let estimated_bytes = entries.values().map(|entry| entry.estimated_bytes).sum();
        PageDraft {
            entries,
            estimated_bytes,
        }
    }

    /// Whether the entries take more than three quarters of the page.
    fn is_nearly_full(&self, capacity_bytes: usize) -> bool {
        self.estimated_bytes * 4 > capacity_bytes * 3
    }

    /// Whether a chunk fits on the page. Any chunk fits on an empty one.
    fn has_room(&self, key: &ChunkKey, content: &SizedChunk, capacity_bytes: usize) -> bool {
        self.bytes_with(key, content) <= capacity_bytes || self.entries.is_empty()
    }

    fn bytes_with(&self, key: &ChunkKey, content: &SizedChunk) -> usize {
        let replaced_bytes = self
            .entries
            .get(key)
            .map_or(0, |entry| entry.estimated_bytes);
        self.estimated_bytes - replaced_bytes + content.estimated_bytes
    }

    fn insert(&mut self, key: ChunkKey, content: SizedChunk) {
        self.estimated_bytes = self.bytes_with(&key, &content);
        self.entries.insert(key, content);
    }

    fn remove(&mut self, key: &ChunkKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.estimated_bytes -= entry.estimated_bytes;
        }
    }

    fn into_stored_entries(self) -> Vec<StoredEntry> {
        self.entries
            .into_iter()
            .map(|(key, entry)| StoredEntry {
                job: key.job.0,
                chunk_number: key.chunk,
                chunk: entry.chunk,
            })
            .collect()
    }
}

/// A commit that is being prepared.
#[derive(Debug)]
pub(super) struct CommitBuilder {
    commit: LogCommit,
    /// Changes that are not on any page of the commit yet.
    changes: VecDeque<(ChunkKey, TaskChunk)>,
    /// Keys of the changes that are on a page of the commit.
    written_keys: BTreeSet<ChunkKey>,
    /// Estimated size of the pages of the commit.
    estimated_bytes: usize,
    /// Number of pages of the log, including those that the commit adds.
    page_count: usize,
    commit_number: u64,
}

impl CommitBuilder {
    pub(super) fn new(
        log: &PlacementLog,
        partition_version: Version,
        changes: Vec<(ChunkKey, TaskChunk)>,
    ) -> Self {
        let partition_key = crate::records::partition_key(log.partition);
        let commit = LogCommit {
            txn: Transaction::default().if_version(partition_key, partition_version.0),
            chunk_keys: Vec::new(),
            partition_version,
            pages: Vec::new(),
            entries: Vec::new(),
            dropped: Vec::new(),
        };
        CommitBuilder {
            commit,
            changes: VecDeque::from(changes),
            written_keys: BTreeSet::new(),
            estimated_bytes: 0,
            page_count: log.pages.len(),
            commit_number: log.commit_number,
        }
    }

    /// Adds the page that is `step` pages after the cursor, or a new one if that is nearly full. The last page
    /// is a new one also if no change fits on any page of the commit, which would be written in vain. Returns
    /// false if the commit already writes the page.
    pub(super) fn add_page(&mut self, log: &PlacementLog, step: usize, is_last: bool) -> bool {
        let mut page = (log.cursor + step) % self.page_count;
        let mut draft = PageDraft::new(log.kept_entries(page, &self.written_keys));
        let is_too_full = draft.is_nearly_full(log.page_capacity_bytes)
            || is_last && self.written_keys.is_empty() && !self.next_change_fits(log, &draft);
        if is_too_full && !self.changes.is_empty() {
            page = self.page_count;
            self.page_count += 1;
            draft = PageDraft::default();
        }
        if self.commit.pages.iter().any(|used| used.page == page) {
            return false;
        }
        self.commit_number += 1;
        self.drop_empty_entries(log, &mut draft);
        self.fill(log, page, &mut draft);
        self.estimated_bytes += draft.estimated_bytes;
        self.write_page(log, page, draft);
        true
    }

    fn next_change_fits(&self, log: &PlacementLog, draft: &PageDraft) -> bool {
        self.changes.front().is_none_or(|(key, chunk)| {
            let content = SizedChunk::new(chunk.clone());
            draft.has_room(key, &content, log.page_capacity_bytes)
        })
    }

    /// Drops the empty entries of which no page can hold an older copy.
    fn drop_empty_entries(&mut self, log: &PlacementLog, draft: &mut PageDraft) {
        let oldest_number = log.oldest_commit_number();
        let droppable: Vec<ChunkKey> = draft
            .entries
            .iter()
            .filter(|(_, entry)| entry.chunk.is_empty())
            .map(|(key, _)| *key)
            .filter(|key| {
                log.commit_number_of(key)
                    .is_some_and(|number| oldest_number >= number)
            })
            .collect();
        for key in droppable {
            draft.remove(&key);
            self.commit.dropped.push(key);
        }
    }

    /// Moves changes onto a page until one of them does not fit.
    fn fill(&mut self, log: &PlacementLog, page: usize, draft: &mut PageDraft) {
        while let Some((key, chunk)) = self.changes.pop_front() {
            let content = SizedChunk::new(chunk);
            if !draft.has_room(&key, &content, log.page_capacity_bytes) {
                self.changes.push_front((key, content.chunk));
                return;
            }
            draft.insert(key, content.clone());
            self.written_keys.insert(key);
            self.commit.chunk_keys.push(key);
            let entry = LogEntry { page, content };
            self.commit.entries.push(CommittedEntry { key, entry });
        }
    }

    fn write_page(&mut self, log: &PlacementLog, page: usize, draft: PageDraft) {
        let stored = StoredPage {
            commit_number: self.commit_number,
            partition_version: self.commit.partition_version.0,
            entries: draft.into_stored_entries(),
        };
        let value = serde_json::to_value(stored).unwrap_or_default();
        let version = log.pages.get(page).map_or(0, |page| page.version.0);
        let key = log.page_key(page);
        let txn = std::mem::take(&mut self.commit.txn);
        self.commit.txn = txn.if_version(&key, version).write(Write::put(&key, value));
        self.commit.pages.push(WrittenPage {
            page,
            commit_number: self.commit_number,
        });
    }

    /// Estimated size of the pages of the commit, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        self.estimated_bytes
    }

    /// Whether all changes are on pages of the commit.
    pub(super) fn is_complete(&self) -> bool {
        self.changes.is_empty()
    }

    /// The commit, and the keys of the changes that did not fit.
    pub(super) fn finish(mut self) -> (LogCommit, Vec<ChunkKey>) {
        let written_keys = &self.written_keys;
        self.commit
            .dropped
            .retain(|key| !written_keys.contains(key));
        let left_out = self.changes.into_iter().map(|(key, _)| key).collect();
        (self.commit, left_out)
    }
}
