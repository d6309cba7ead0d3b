//! The stored form of the placement log's pages, and its validation.

use super::CommitId;
use model::job::MAX_TASKS_PER_JOB;
use model::{JobId, Version};
use scheduler::{ChunkKey, TaskChunk, TASKS_PER_CHUNK};
use serde::{Deserialize, Serialize};

/// Highest accepted page number, far above what a partition uses.
const MAX_PAGE_NUMBER: usize = 100_000;
/// Exclusive upper bound of the commit numbers of stored pages. It is never reached, and low enough that
/// the numbers that follow do not overflow.
const MAX_COMMIT_NUMBER: u64 = 1 << 62;
/// Number of chunks of the largest job.
const MAX_CHUNKS: u32 = (MAX_TASKS_PER_JOB as u32).div_ceil(TASKS_PER_CHUNK);

/// An entry as it is stored: a JSON array of the job's number, the chunk's number, and the chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, TaskChunk)", into = "(u64, u32, TaskChunk)")]
pub(super) struct StoredEntry {
    pub job: u64,
    pub chunk_number: u32,
    pub chunk: TaskChunk,
}

impl From<(u64, u32, TaskChunk)> for StoredEntry {
    fn from((job, chunk_number, chunk): (u64, u32, TaskChunk)) -> Self {
        StoredEntry {
            job,
            chunk_number,
            chunk,
        }
    }
}

impl From<StoredEntry> for (u64, u32, TaskChunk) {
    fn from(entry: StoredEntry) -> Self {
        (entry.job, entry.chunk_number, entry.chunk)
    }
}

impl StoredEntry {
    pub(super) fn key(&self) -> ChunkKey {
        ChunkKey {
            job: JobId(self.job),
            chunk: self.chunk_number,
        }
    }

    fn is_valid(&self) -> bool {
        self.chunk_number < MAX_CHUNKS && self.chunk.is_valid()
    }
}

/// A page as it is stored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredPage {
    #[serde(rename = "round")]
    pub commit_number: u64,
    /// Version of the partition's record on which the commit depends.
    #[serde(rename = "right", default)]
    pub partition_version: u64,
    #[serde(rename = "items")]
    pub entries: Vec<StoredEntry>,
}

impl StoredPage {
    pub(super) fn commit_id(&self) -> CommitId {
        CommitId {
            number: self.commit_number,
            partition_version: Version(self.partition_version),
        }
    }
}

/// Why a stored page of the log is rejected.
#[derive(Debug, thiserror::Error)]
pub(super) enum PageError {
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
    #[error("commit number {0} is out of range")]
    CommitNumber(u64),
    #[error("invalid entry for chunk {chunk_number} of job {job}")]
    Entry { job: u64, chunk_number: u32 },
}

/// Decodes a page. It is rejected as a whole if any entry is invalid: the tasks of an entry that was
/// left out would run a second time.
pub(super) fn read_page(value: &serde_json::Value) -> Result<StoredPage, PageError> {
    let page = StoredPage::deserialize(value)?;
    if page.commit_number >= MAX_COMMIT_NUMBER {
        return Err(PageError::CommitNumber(page.commit_number));
    }
    match page.entries.iter().find(|entry| !entry.is_valid()) {
        Some(entry) => Err(PageError::Entry {
            job: entry.job,
            chunk_number: entry.chunk_number,
        }),
        None => Ok(page),
    }
}

/// Parses the number of a page from its key.
pub(super) fn parse_page_number(key: &str) -> Option<usize> {
    let number: usize = key.rsplit('/').next()?.parse().ok()?;
    (number <= MAX_PAGE_NUMBER).then_some(number)
}
