//! The leader's side of replication: a stream of changed records to subscribers.
//!
//! Each change of a record gets the next sequence number. A batch contains the records whose last change
//! lies in a range of sequence numbers. So a subscriber that has missed changes can request what it lacks,
//! and a new subscriber starts from 0. The size of a batch, the number of batches in one send and the rate
//! of sends are limited. A record that changes twice between two sends is sent once.

use model::{ControllerName, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;
use wire::mesh::{ReplicatedRecord, ReplicationBatch, ReplicationKey};

/// Approximate maximum size of the records in one batch.
const MAX_BATCH_BYTES: usize = 16 * 1024;
/// Maximum number of batches in one send to a subscriber. With this limit a full copy of 8,000 machines takes
/// 4 s.
const MAX_BATCHES_PER_SEND: usize = 16;
/// Minimum time between two sends of changes to one subscriber.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two empty batches to a subscriber without pending changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A subscription that has not been renewed for this long ends.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of tombstones that are kept. A subscriber that lacks a dropped one starts from 0. The
/// maximum is the number of machines of a large site, so that the loss of a zone drops no tombstones that have
/// not been sent yet.
const MAX_TOMBSTONES: usize = 8_000;

/// A record, or the tombstone of a removed one.
#[derive(Debug)]
struct Entry {
    /// Sequence number of the last change.
    sequence: u64,
    /// `None` for a tombstone, which tells subscribers that the record was removed.
    record: Option<ReplicatedRecord>,
    /// Number of the last update that contained the record.
    last_update: u64,
}

/// A controller that subscribes to the stream.
#[derive(Debug)]
struct Subscriber {
    /// Sequence number up to which all changes have been sent to it.
    sent_up_to: u64,
    renewed_at: Timestamp,
    sent_at: Option<Timestamp>,
}

/// The records that a partition leader replicates, and its subscribers.
#[derive(Debug, Default)]
pub struct ReplicationStream {
    /// Sequence number of the last change.
    last_sequence: u64,
    /// Number of updates so far.
    update_count: u64,
    entries: BTreeMap<ReplicationKey, Entry>,
    /// Keys of the entries by the sequence number of their last change.
    by_sequence: BTreeMap<u64, ReplicationKey>,
    tombstone_count: usize,
    /// Sequence number of the last tombstone that was dropped.
    tombstones_dropped_up_to: u64,
    subscribers: BTreeMap<ControllerName, Subscriber>,
}

impl ReplicationStream {
    /// Starts or renews the subscription of a controller that has applied all changes up to `applied_up_to`.
    pub fn subscribe(&mut self, name: &ControllerName, applied_up_to: u64, now: Timestamp) {
        // A controller that lacks dropped tombstones has to start from 0.
        let send_after = if applied_up_to < self.tombstones_dropped_up_to {
            0
        } else {
            applied_up_to.min(self.last_sequence)
        };
        match self.subscribers.get_mut(name) {
            Some(subscriber) => {
                subscriber.renewed_at = now;
                subscriber.sent_up_to = subscriber.sent_up_to.min(send_after);
            }
            None => {
                let subscriber = Subscriber {
                    sent_up_to: send_after,
                    renewed_at: now,
                    sent_at: None,
                };
                self.subscribers.insert(name.clone(), subscriber);
            }
        }
    }

    /// Ends subscriptions that have timed out, and returns whether any are left. If not, the records need not
    /// be collected.
    pub fn has_subscribers(&mut self, now: Timestamp) -> bool {
        self.subscribers.retain(|_, subscriber| {
            now.duration_since(subscriber.renewed_at) < SUBSCRIPTION_TIMEOUT
        });
        !self.subscribers.is_empty()
    }

    /// The subscribers, each with the number of changes that have not been sent to it yet.
    pub fn subscribers(&self) -> impl Iterator<Item = (&ControllerName, u64)> {
        self.subscribers
            .iter()
            .map(|(name, subscriber)| (name, self.last_sequence - subscriber.sent_up_to))
    }

    /// Replaces the records of the stream by `records`, which are all current ones. Each difference is a change
    /// with a new sequence number.
    pub fn update(&mut self, records: impl IntoIterator<Item = ReplicatedRecord>) {
        self.update_count += 1;
        for record in records {
            let key = record.key();
            match self.entries.get_mut(&key) {
                Some(entry) if entry.record.as_ref() == Some(&record) => {
                    entry.last_update = self.update_count
                }
                _ => self.record_change(key, Some(record)),
            }
        }
        let removed: Vec<ReplicationKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.record.is_some() && entry.last_update != self.update_count)
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.record_change(key, None);
        }
        while self.tombstone_count > MAX_TOMBSTONES {
            self.drop_oldest_tombstone();
        }
    }

    fn record_change(&mut self, key: ReplicationKey, record: Option<ReplicatedRecord>) {
        self.last_sequence += 1;
        self.tombstone_count += usize::from(record.is_none());
        let entry = Entry {
            sequence: self.last_sequence,
            record,
            last_update: self.update_count,
        };
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.by_sequence.remove(&old.sequence);
            self.tombstone_count -= usize::from(old.record.is_none());
        }
        self.by_sequence.insert(self.last_sequence, key);
    }

    fn drop_oldest_tombstone(&mut self) {
        let is_tombstone = |key: &ReplicationKey| {
            self.entries
                .get(key)
                .is_some_and(|entry| entry.record.is_none())
        };
        let oldest = self.by_sequence.iter().find(|(_, key)| is_tombstone(key));
        let Some((sequence, key)) = oldest else {
            return;
        };
        let (sequence, key) = (*sequence, key.clone());
        self.by_sequence.remove(&sequence);
        self.entries.remove(&key);
        self.tombstone_count -= 1;
        self.tombstones_dropped_up_to = sequence;
    }

    /// Returns the batches that are due, each with its subscriber, and records them as sent. `header` holds the
    /// fields that are the same for all subscribers.
    pub fn due_batches(
        &mut self,
        header: &ReplicationBatch,
        now: Timestamp,
    ) -> Vec<(ControllerName, ReplicationBatch)> {
        let due: Vec<(ControllerName, u64)> = self
            .subscribers
            .iter()
            .filter(|(_, subscriber)| self.is_due(subscriber, now))
            .map(|(name, subscriber)| (name.clone(), subscriber.sent_up_to))
            .collect();
        let mut batches = Vec::new();
        for (name, after) in due {
            let batches_of_subscriber = self.batches_after(after, header);
            if let Some(subscriber) = self.subscribers.get_mut(&name) {
                subscriber.sent_at = Some(now);
                subscriber.sent_up_to = batches_of_subscriber
                    .last()
                    .map_or(after, |batch| batch.up_to);
            }
            batches.extend(
                batches_of_subscriber
                    .into_iter()
                    .map(|batch| (name.clone(), batch)),
            );
        }
        batches
    }

    /// Consecutive batches of the changes after a sequence number: as many as one send may have, and at least
    /// one, which may be empty.
    fn batches_after(&self, after: u64, header: &ReplicationBatch) -> Vec<ReplicationBatch> {
        let mut batches = vec![self.batch_after(after, header)];
        while batches.len() < MAX_BATCHES_PER_SEND {
            let Some(up_to) = batches.last().map(|batch| batch.up_to) else {
                break;
            };
            if up_to >= self.last_sequence {
                break;
            }
            batches.push(self.batch_after(up_to, header));
        }
        batches
    }

    fn is_due(&self, subscriber: &Subscriber, now: Timestamp) -> bool {
        let has_changes = subscriber.sent_up_to < self.last_sequence;
        let interval = if has_changes {
            MIN_SEND_INTERVAL
        } else {
            KEEPALIVE_INTERVAL
        };
        subscriber
            .sent_at
            .is_none_or(|at| now.duration_since(at) >= interval)
    }

    /// A batch of the changes after a sequence number, as many as fit into it.
    fn batch_after(&self, after: u64, header: &ReplicationBatch) -> ReplicationBatch {
        let (mut up_to, mut bytes, mut records) = (self.last_sequence, 0, Vec::new());
        for (sequence, key) in self.by_sequence.range(after + 1..) {
            if bytes >= MAX_BATCH_BYTES {
                up_to = sequence - 1;
                break;
            }
            let record = self.entries.get(key).and_then(|entry| entry.record.clone());
            let record = record.unwrap_or_else(|| ReplicatedRecord::Removed(key.clone()));
            bytes += record.approximate_bytes();
            records.push(record);
        }
        ReplicationBatch {
            after,
            up_to,
            newest: self.last_sequence,
            tombstones_dropped_up_to: self.tombstones_dropped_up_to,
            records,
            ..header.clone()
        }
    }
}
