//! Preparation of a commit of the placement log: which pages it writes, and what stands on them.

use super::stored::{StoredEntry, StoredPage};
use super::{LogEntry, PlacementLog, SizedChunk};
use model::Version;
use scheduler::{ChunkKey, TaskChunk};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::state::{Transaction, Write};

/// Identifies a commit. Every leader goes on counting from what the log holds, so a successor's
/// commit may have the same number as one of its predecessor that was never written: the version of
/// the partition's record under which it was made belongs to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitId {
    pub(super) number: u64,
    pub(super) partition_version: Version,
}

/// A page that a commit writes.
#[derive(Debug, Clone, Copy)]
pub(super) struct PageCommit {
    pub page: usize,
    pub commit_number: u64,
}

/// An entry that a commit writes anew.
#[derive(Debug, Clone)]
pub(super) struct CommittedEntry {
    pub key: ChunkKey,
    pub entry: LogEntry,
}

/// One write of the log that has been prepared.
#[derive(Debug, Clone)]
pub struct LogCommit {
    /// The transaction that writes it.
    pub txn: Transaction,
    /// Chunks that it writes anew.
    pub chunk_keys: Vec<ChunkKey>,
    pub(super) partition_version: Version,
    pub(super) pages: Vec<PageCommit>,
    pub(super) entries: Vec<CommittedEntry>,
    pub(super) dropped: Vec<ChunkKey>,
}

/// The content of a page while a commit is prepared.
#[derive(Debug, Default)]
struct PageDraft {
    entries: BTreeMap<ChunkKey, SizedChunk>,
    size: usize,
}

impl PageDraft {
    fn new(entries: BTreeMap<ChunkKey, SizedChunk>) -> Self {
        let size = entries.values().map(|entry| entry.estimated_bytes).sum();
        PageDraft { entries, size }
    }

    /// Whether what stays on the page takes more than three quarters of it.
    fn is_nearly_full(&self, capacity: usize) -> bool {
        self.size * 4 > capacity * 3
    }

    /// Whether a chunk fits. An empty page takes any.
    fn has_room(&self, key: &ChunkKey, content: &SizedChunk, capacity: usize) -> bool {
        self.size_with(key, content) <= capacity || self.entries.is_empty()
    }

    fn size_with(&self, key: &ChunkKey, content: &SizedChunk) -> usize {
        let replaced = self
            .entries
            .get(key)
            .map_or(0, |entry| entry.estimated_bytes);
        self.size - replaced + content.estimated_bytes
    }

    fn insert(&mut self, key: ChunkKey, content: SizedChunk) {
        self.size = self.size_with(&key, &content);
        self.entries.insert(key, content);
    }

    fn remove(&mut self, key: &ChunkKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.size -= entry.estimated_bytes;
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

/// A commit while it is prepared.
#[derive(Debug)]
pub(super) struct CommitBuilder {
    commit: LogCommit,
    /// Changes that have not found room yet.
    changes: VecDeque<(ChunkKey, TaskChunk)>,
    /// Entries that are written anew.
    written: BTreeSet<ChunkKey>,
    /// Number of pages, those that the commit adds included.
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
            txn: Transaction::default().when(partition_key, partition_version.0),
            chunk_keys: Vec::new(),
            partition_version,
            pages: Vec::new(),
            entries: Vec::new(),
            dropped: Vec::new(),
        };
        CommitBuilder {
            commit,
            changes: VecDeque::from(changes),
            written: BTreeSet::new(),
            page_count: log.pages.len(),
            commit_number: log.commit_number,
        }
    }

    /// Adds the page at the cursor, or a new one where that is nearly full. Returns false if the
    /// commit writes the page already.
    pub(super) fn add_page(&mut self, log: &PlacementLog, step: usize) -> bool {
        let mut page = (log.cursor + step) % self.page_count;
        let mut draft = PageDraft::new(log.kept_entries(page, &self.written));
        if draft.is_nearly_full(log.page_capacity_bytes) && !self.changes.is_empty() {
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
        self.write_page(log, page, draft);
        true
    }

    /// Drops empty entries of which no page can hold an older copy.
    fn drop_empty_entries(&mut self, log: &PlacementLog, draft: &mut PageDraft) {
        let oldest = log.oldest_commit_number();
        let droppable: Vec<ChunkKey> = draft
            .entries
            .iter()
            .filter(|(_, entry)| entry.chunk.is_empty())
            .map(|(key, _)| *key)
            .filter(|key| log.commit_number_of(key).is_some_and(|kept| oldest >= kept))
            .collect();
        for key in droppable {
            draft.remove(&key);
            self.commit.dropped.push(key);
        }
    }

    /// Moves changes onto a page until one of them has no room.
    fn fill(&mut self, log: &PlacementLog, page: usize, draft: &mut PageDraft) {
        while let Some((key, chunk)) = self.changes.pop_front() {
            let content = SizedChunk::new(chunk);
            if !draft.has_room(&key, &content, log.page_capacity_bytes) {
                self.changes.push_front((key, content.chunk));
                return;
            }
            draft.insert(key, content.clone());
            self.written.insert(key);
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
        self.commit.txn = txn.when(&key, version).write(Write::put(&key, value));
        self.commit.pages.push(PageCommit {
            page,
            commit_number: self.commit_number,
        });
    }

    /// Whether all changes have found room.
    pub(super) fn is_complete(&self) -> bool {
        self.changes.is_empty()
    }

    /// The commit, and the changes that found no room.
    pub(super) fn finish(mut self) -> (LogCommit, Vec<ChunkKey>) {
        let written = &self.written;
        self.commit.dropped.retain(|key| !written.contains(key));
        let left = self.changes.into_iter().map(|(key, _)| key).collect();
        (self.commit, left)
    }
}
