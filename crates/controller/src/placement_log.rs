//! The ledger of a partition: placements and progress of its jobs, packed into pages.
//!
//! Each round writes one page (more when much has changed): the page's items that are still
//! the newest, and all that changed since. An item's newest copy is the one on the page with
//! the highest round; older copies stay behind on other pages until those are written
//! again. An item that has become empty is kept until every page that may hold an older copy
//! has been rewritten.

use model::job::MAX_TASKS;
use model::{JobId, PartitionId, Version};
use scheduler::{ChunkKey, TaskChunk, CHUNK};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::state::{Item, Transaction, Write};

/// One item of a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry(u64, u32, TaskChunk);

/// What tells a round from every other. Successors go on counting where the ledger stands, so that a round
/// of theirs may have the number of one of ours that was never written: the version of the partition's
/// record under which it was made belongs to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommitId {
    number: u64,
    right: Version,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct PageBody {
    round: u64,
    /// Version of the partition's record that the round names.
    #[serde(default)]
    right: u64,
    items: Vec<Entry>,
}

#[derive(Debug, Clone, Default)]
struct Page {
    version: Version,
    round: u64,
    /// Items whose newest copies it holds.
    holds: BTreeSet<ChunkKey>,
}

/// An item's newest copy, which is as new as the page that holds it.
#[derive(Debug, Clone)]
struct LogEntry {
    page: usize,
    body: TaskChunk,
    size: usize,
}

/// A round on its way.
#[derive(Debug, Clone)]
pub struct LogCommit {
    pub txn: Transaction,
    right: Version,
    /// Chunks it writes anew.
    pub keys: Vec<ChunkKey>,
    pages: Vec<(usize, u64)>,
    bodies: Vec<(usize, ChunkKey, TaskChunk, usize)>,
    dropped: Vec<ChunkKey>,
}

/// The ledger.
#[derive(Debug)]
pub struct PlacementLog {
    partition: PartitionId,
    limit: usize,
    most_pages: usize,
    pages: Vec<Page>,
    items: BTreeMap<ChunkKey, LogEntry>,
    cursor: usize,
    round: u64,
    unreadable: Vec<String>,
}

/// Why a page of the ledger is not used.
#[derive(Debug, thiserror::Error)]
enum PageError {
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
    #[error("its round {0} leaves no room to count on")]
    LogCommit(u64),
    #[error("its item {1} of job {0} is not sound")]
    Item(u64, u32),
}

/// Reads a page, and checks that all of it can be taken over: a part left out would be work done twice.
fn read_page(value: &serde_json::Value) -> Result<PageBody, PageError> {
    let body = PageBody::deserialize(value)?;
    if body.round >= MAX_COMMIT_NUMBER {
        return Err(PageError::LogCommit(body.round));
    }
    let sound = |Entry(_, chunk, body): &&Entry| *chunk < CHUNKS && body.is_sound();
    match body.items.iter().find(|entry| !sound(entry)) {
        Some(Entry(job, chunk, _)) => Err(PageError::Item(*job, *chunk)),
        None => Ok(body),
    }
}

/// Highest number of a page: far more than a partition fills.
const MAX_PAGE_NUMBER: usize = 100_000;
/// Rounds at or above this are not reached in the life of a site, and leave no room to count on.
const MAX_COMMIT_NUMBER: u64 = 1 << 62;
/// Chunks that the largest job has.
const CHUNKS: u32 = (MAX_TASKS as u32).div_ceil(CHUNK);
/// Pages that a partition starts with.
const INITIAL_PAGES: usize = 4;

impl PlacementLog {
    /// Key of a page.
    fn key(&self, page: usize) -> String {
        format!("{}{page:04}", crate::records::log_prefix(self.partition))
    }

    /// Reads a ledger from its pages. `value_bytes` bounds a page, `txn_ops` a round.
    pub fn load(
        partition: PartitionId,
        items: &[Item],
        value_bytes: usize,
        txn_ops: usize,
    ) -> Self {
        let mut ledger = PlacementLog {
            partition,
            // Room for the frame of the page.
            limit: value_bytes.saturating_sub(128),
            most_pages: (txn_ops / 2).clamp(1, 4),
            pages: vec![Page::default(); INITIAL_PAGES],
            items: BTreeMap::new(),
            cursor: 0,
            round: 0,
            unreadable: Vec::new(),
        };
        for item in items {
            let number = item
                .key
                .rsplit('/')
                .next()
                .and_then(|text| text.parse::<usize>().ok());
            let Some(number) = number.filter(|number| *number <= MAX_PAGE_NUMBER) else {
                continue;
            };
            let body = match read_page(&item.value) {
                Ok(body) => body,
                Err(error) => {
                    tracing::error!(key = %item.key, %error, "a ledger page cannot be read");
                    ledger.unreadable.push(item.key.clone());
                    continue;
                }
            };
            if ledger.pages.len() <= number {
                ledger.pages.resize(number + 1, Page::default());
            }
            ledger.pages[number].version = Version(item.version);
            ledger.pages[number].round = body.round;
            if body.round >= ledger.round {
                ledger.round = body.round;
                ledger.cursor = number + 1;
            }
            for Entry(job, chunk, chunk_body) in body.items {
                let key = ChunkKey {
                    job: JobId(job),
                    chunk,
                };
                let known = ledger.items.get(&key);
                if known.is_none_or(|kept| ledger.pages[kept.page].round < body.round) {
                    let size = size_of(&chunk_body);
                    ledger.keep(
                        key,
                        LogEntry {
                            page: number,
                            body: chunk_body,
                            size,
                        },
                    );
                }
            }
        }
        ledger
    }

    /// Keys of pages that could not be read: what they hold is not known.
    pub fn unreadable(&self) -> &[String] {
        &self.unreadable
    }

    /// What is known of a job.
    pub fn chunks_of(&self, job: JobId) -> Vec<(u32, TaskChunk)> {
        self.items
            .range(ChunkKey::all_of(job))
            .map(|(key, kept)| (key.chunk, kept.body.clone()))
            .collect()
    }

    /// All jobs with anything kept.
    pub fn jobs(&self) -> Vec<JobId> {
        let mut jobs: Vec<JobId> = self.items.keys().map(|key| key.job).collect();
        jobs.dedup();
        jobs
    }

    /// The job is over: its items need not be kept.
    pub fn forget_job(&mut self, job: JobId) {
        let keys: Vec<ChunkKey> = self
            .items
            .range(ChunkKey::all_of(job))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.drop_item(&key);
        }
    }

    fn drop_item(&mut self, key: &ChunkKey) {
        if let Some(kept) = self.items.remove(key) {
            self.pages[kept.page].holds.remove(key);
        }
    }

    fn keep(&mut self, key: ChunkKey, kept: LogEntry) {
        self.drop_item(&key);
        self.pages[kept.page].holds.insert(key);
        self.items.insert(key, kept);
    }

    /// Prepares a round with these changes; returns it with the changes that found no room.
    pub fn prepare(
        &self,
        partition_version: Version,
        changes: Vec<(ChunkKey, TaskChunk)>,
    ) -> (LogCommit, Vec<ChunkKey>) {
        let mut round = LogCommit {
            txn: Transaction::default().when(
                crate::records::partition_key(self.partition),
                partition_version.0,
            ),
            right: partition_version,
            keys: Vec::new(),
            pages: Vec::new(),
            bodies: Vec::new(),
            dropped: Vec::new(),
        };
        let oldest = self.pages.iter().map(|p| p.round).min().unwrap_or(0);
        let mut left = VecDeque::from(changes);
        let mut written: BTreeSet<ChunkKey> = BTreeSet::new();
        let mut count = self.pages.len();
        let mut number = self.round;
        for step in 0..self.most_pages {
            if step > 0 && left.is_empty() {
                break;
            }
            let mut page = (self.cursor + step) % count;
            // What stays on the page: also the old copy of a change that finds no room in this
            // round, since dropping it would lose what is durable.
            let mut items: BTreeMap<ChunkKey, (TaskChunk, usize)> = self.carried(page, &written);
            let total = |items: &BTreeMap<ChunkKey, (TaskChunk, usize)>| {
                items.values().map(|(_, size)| size).sum::<usize>()
            };
            if total(&items) * 4 > self.limit * 3 && !left.is_empty() {
                // The page is nearly full of what must stay: a new one takes the changes.
                page = count;
                count += 1;
                items.clear();
            }
            if round.pages.iter().any(|(used, _)| *used == page) {
                break;
            }
            number += 1;
            // An empty item may go once no page can hold an older copy of it.
            items.retain(|key, (body, _)| {
                let kept_in = |kept: &LogEntry| self.pages[kept.page].round;
                let gone =
                    body.is_empty() && self.items.get(key).is_some_and(|k| oldest >= kept_in(k));
                if gone {
                    round.dropped.push(*key);
                }
                !gone
            });
            let mut size = total(&items);
            while let Some((key, body)) = left.pop_front() {
                let item = size_of(&body);
                let replaced = items.get(&key).map_or(0, |(_, size)| *size);
                if size - replaced + item > self.limit && !items.is_empty() {
                    left.push_front((key, body));
                    break;
                }
                size = size - replaced + item;
                items.insert(key, (body.clone(), item));
                written.insert(key);
                round.keys.push(key);
                round.bodies.push((page, key, body, item));
            }
            let version = self.pages.get(page).map_or(0, |p| p.version.0);
            let items = items
                .into_iter()
                .map(|(key, (body, _))| Entry(key.job.0, key.chunk, body))
                .collect();
            let body = PageBody {
                round: number,
                right: partition_version.0,
                items,
            };
            let value = serde_json::to_value(body).unwrap_or_default();
            round.txn = round
                .txn
                .when(self.key(page), version)
                .write(Write::put(self.key(page), value));
            round.pages.push((page, number));
        }
        round.dropped.retain(|key| !written.contains(key));
        (round, left.into_iter().map(|(key, _)| key).collect())
    }

    fn carried(
        &self,
        page: usize,
        written: &BTreeSet<ChunkKey>,
    ) -> BTreeMap<ChunkKey, (TaskChunk, usize)> {
        let holds = self
            .pages
            .get(page)
            .into_iter()
            .flat_map(|page| &page.holds);
        holds
            .filter(|key| !written.contains(*key))
            .filter_map(|key| Some((*key, self.items.get(key)?)))
            .map(|(key, kept)| (key, (kept.body.clone(), kept.size)))
            .collect()
    }

    /// The round is durable at this revision.
    pub fn commit(&mut self, round: &LogCommit, revision: u64) {
        for (page, number) in &round.pages {
            if self.pages.len() <= *page {
                self.pages.resize(*page + 1, Page::default());
            }
            self.pages[*page].version = Version(revision);
            self.pages[*page].round = *number;
            self.round = self.round.max(*number);
            self.cursor = *page + 1;
        }
        for key in &round.dropped {
            self.drop_item(key);
        }
        for (page, key, body, size) in &round.bodies {
            self.keep(
                *key,
                LogEntry {
                    page: *page,
                    body: body.clone(),
                    size: *size,
                },
            );
        }
        if self.cursor >= self.pages.len() {
            self.cursor = 0;
        }
    }

    /// Key of a page that the round writes, with what proves that it was written.
    pub fn proof(&self, round: &LogCommit) -> Option<(String, CommitId)> {
        let id = |number| CommitId {
            number,
            right: round.right,
        };
        round
            .pages
            .first()
            .map(|(page, number)| (self.key(*page), id(*number)))
    }

    /// Whether a page read back was written by this round.
    pub fn proves(value: &serde_json::Value, id: CommitId) -> bool {
        let written = |body: PageBody| CommitId {
            number: body.round,
            right: Version(body.right),
        };
        PageBody::deserialize(value).is_ok_and(|body| written(body) == id)
    }
}

fn size_of(body: &TaskChunk) -> usize {
    let placed: usize = body.placed.iter().map(|task| task.machine.len() + 32).sum();
    32 + body.done.len() + placed
}
