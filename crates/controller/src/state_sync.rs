//! The reads that keep the state cache up to date: a full read in pages, then watches.
//!
//! [`StateSync`] decides which read is due and records when reads were sent; the
//! [`StateCache`](crate::state_cache::StateCache) holds what they returned. Every rule that needs
//! recent knowledge counts from the time at which a read was *sent*.

use crate::records::WATCHED_PREFIX;
use model::{DurationExt, Revision, Timestamp};
use std::time::Duration;
use wire::state::{Changes, Item, ListPage, StateReply, StateRequest};

/// Number of records on a page of the full read.
const FULL_READ_PAGE_SIZE: u32 = 500;

/// A read that keeps the cache up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncCall {
    FullReadPage,
    Watch,
}

/// A read to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncRequest {
    pub call: SyncCall,
    pub request: StateRequest,
}

/// A full read: complete, or the pages that were read so far.
#[derive(Debug, Default, PartialEq)]
pub struct FullRead {
    pub items: Vec<Item>,
    revision: Option<u64>,
}

impl FullRead {
    /// Revision of the first page. Later pages may be newer; the watch then repeats the changes in between.
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or(0)
    }
}

/// The next step after the reply to a page of the full read.
#[derive(Debug, PartialEq)]
pub enum FullReadStep {
    /// No full read is in progress.
    Ignored,
    /// The next page has to be read.
    NextPage(SyncRequest),
    /// All pages have been read: they replace the contents of the cache.
    Complete(FullRead),
    /// The full read has to start again, because the reply held no page.
    Failed(SyncRequest),
    /// The full read has to start again, because the page does not follow the previous one.
    Malformed(SyncRequest),
}

/// The next step after the reply to a watch.
#[derive(Debug, PartialEq)]
pub enum WatchStep<'a> {
    /// These changes have to be applied to the cache.
    Changed(&'a Changes),
    /// The service no longer keeps the requested changes: a full read is due.
    Compacted,
    /// The watch has to be sent again.
    Failed,
}

/// Which reads are in progress, and how recent the cache is.
#[derive(Debug, Default)]
pub struct StateSync {
    synced: bool,
    watch_pending: bool,
    full_read: Option<FullRead>,
    last_read_at: Option<Timestamp>,
    previous_read_at: Option<Timestamp>,
}

impl StateSync {
    /// Whether the cache holds a full read and all changes since, up to the last watch.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Sending time of the last confirmed read of changes.
    pub fn last_read_at(&self) -> Option<Timestamp> {
        self.last_read_at
    }

    /// Sending time of the confirmed read before the last one. A change that only the last one showed was
    /// made after this time.
    pub fn previous_read_at(&self) -> Option<Timestamp> {
        self.previous_read_at
    }

    /// Whether a confirmed read of changes was sent at most `max_age` ago.
    pub fn has_recent_read(&self, now: Timestamp, max_age: Duration) -> bool {
        self.last_read_at
            .is_some_and(|at| now.duration_since(at) <= max_age)
    }

    /// Returns the read that is due, if any, and counts it as sent. A watch requests the changes after
    /// `revision` and lets the service wait up to `watch_wait` for one.
    pub fn begin_read(&mut self, revision: Revision, watch_wait: Duration) -> Option<SyncRequest> {
        if !self.synced && self.full_read.is_none() {
            self.full_read = Some(FullRead::default());
            return Some(full_read_page(String::new()));
        }
        if self.synced && !self.watch_pending {
            self.watch_pending = true;
            return Some(SyncRequest {
                call: SyncCall::Watch,
                request: watch_request(revision, watch_wait),
            });
        }
        None
    }

    /// Handles the reply to a page of the full read.
    pub fn handle_full_read_page(&mut self, reply: StateReply) -> FullReadStep {
        match reply {
            StateReply::List(page) => self.append_page(page),
            _ => FullReadStep::Failed(self.restart_full_read()),
        }
    }

    fn append_page(&mut self, page: ListPage) -> FullReadStep {
        let Some(read) = self.full_read.as_mut() else {
            return FullReadStep::Ignored;
        };
        let last_key = read.items.last().map_or("", |item| item.key.as_str());
        if !page.is_valid_for(WATCHED_PREFIX, last_key) {
            tracing::error!(last_key, "full read page out of order");
            return FullReadStep::Malformed(self.restart_full_read());
        }
        read.revision.get_or_insert(page.revision);
        let after = page.items.last().map(|item| item.key.clone());
        read.items.extend(page.items);
        match (page.has_more, after) {
            (true, Some(after)) => FullReadStep::NextPage(full_read_page(after)),
            _ => {
                self.synced = true;
                self.watch_pending = false;
                FullReadStep::Complete(self.full_read.take().unwrap_or_default())
            }
        }
    }

    fn restart_full_read(&mut self) -> SyncRequest {
        self.full_read = Some(FullRead::default());
        full_read_page(String::new())
    }

    /// Handles the reply to a watch.
    pub fn handle_watch_reply<'a>(&mut self, reply: &'a StateReply) -> WatchStep<'a> {
        match reply {
            StateReply::Changes(changes) => {
                self.watch_pending = false;
                WatchStep::Changed(changes)
            }
            StateReply::Compacted => {
                self.watch_pending = false;
                self.synced = false;
                WatchStep::Compacted
            }
            _ => WatchStep::Failed,
        }
    }

    /// Records that the service no longer keeps the changes after the cache's revision: a full read is due.
    pub fn require_full_read(&mut self) {
        self.synced = false;
    }

    /// Records that a read of changes, sent at `sent_at`, succeeded.
    pub fn record_read(&mut self, sent_at: Timestamp) {
        self.previous_read_at = self.last_read_at;
        self.last_read_at = Some(self.last_read_at.map_or(sent_at, |at| at.max(sent_at)));
    }
}

/// A read of one page of the watched records.
fn full_read_page(after: String) -> SyncRequest {
    SyncRequest {
        call: SyncCall::FullReadPage,
        request: StateRequest::List {
            prefix: WATCHED_PREFIX.into(),
            after,
            limit: FULL_READ_PAGE_SIZE,
        },
    }
}

/// A read of what has changed since `revision`; the service waits up to `wait` for a change.
pub fn watch_request(revision: Revision, wait: Duration) -> StateRequest {
    StateRequest::Watch {
        prefix: WATCHED_PREFIX.into(),
        after: revision.0,
        wait_ms: wait.whole_millis(),
    }
}
