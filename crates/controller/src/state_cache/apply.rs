//! Decoding of changed records and their application to the cache.

use super::{CacheEvent, StateCache, Versioned};
use crate::records::{CancellationsRecord, TokenCounterRecord, WATCHED_PREFIX};
use model::{ControllerName, JobId, PartitionId, Revision, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use wire::state::{Changes, Item};

/// Highest accepted number of a page of packed records, far above what a deployment uses.
const MAX_PAGE_NUMBER: u32 = 99_999;
/// Exclusive upper bound of fencing tokens, which no deployment reaches. Tokens need a bound because
/// attempt numbers contain a token, shifted to the left.
const TOKEN_LIMIT: u64 = 1 << 39;

/// Parses a number in a key. It must consist of digits only.
pub(super) fn parse_number(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// Parses the partition in a key.
fn parse_partition(text: &str) -> Option<PartitionId> {
    parse_number(text).map(PartitionId)
}

/// Parses the page number in a key.
pub(super) fn parse_page_number(text: &str) -> Option<u32> {
    parse_number(text).filter(|page| *page <= MAX_PAGE_NUMBER)
}

/// Splits a key `s/KIND/NAME` into kind and name. The name is empty if the key has none.
fn split_key(key: &str) -> Option<(&str, &str)> {
    let rest = key.strip_prefix(WATCHED_PREFIX)?;
    Some(rest.split_once('/').unwrap_or((rest, "")))
}

impl StateCache {
    /// Counts and logs a record or an entry that cannot be used. The cached state stays unchanged.
    pub(super) fn reject(&mut self, key: &str, problem: &dyn std::fmt::Display) {
        tracing::error!(key, %problem, "record rejected");
        self.rejected_count += 1;
    }

    pub(super) fn decode<T: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<T> {
        T::deserialize(value)
            .map_err(|error| self.reject(key, &error))
            .ok()
    }

    /// Decodes a record whose key contains a number, which is none if it could not be parsed.
    pub(super) fn decode_numbered<N, T: DeserializeOwned>(
        &mut self,
        key: &str,
        number: Option<N>,
        value: &Value,
    ) -> Option<(N, T)> {
        let Some(number) = number else {
            self.reject(key, &"key without a valid number");
            return None;
        };
        self.decode(key, value).map(|record| (number, record))
    }

    /// Applies the token counter. The next token never decreases in the cache, whatever is written.
    fn apply_token_counter(&mut self, key: &str, value: &Value, version: Version) {
        let Some(mut record) = self.decode::<TokenCounterRecord>(key, value) else {
            return;
        };
        if record.next >= TOKEN_LIMIT {
            self.reject(key, &"token counter has reached its limit");
            return;
        }
        let cached_next = self
            .token_counter
            .as_ref()
            .map_or(0, |counter| counter.record.next);
        if record.next < cached_next {
            self.reject(key, &"token counter has decreased");
            record.next = cached_next;
        }
        self.token_counter = Some(Versioned { record, version });
    }

    /// Applies a created or changed record, according to the kind in its key (see `records/keys.rs`).
    fn apply_put(&mut self, key: &str, value: &Value, version: u64, changed: &mut Vec<CacheEvent>) {
        let version = Version(version);
        let Some((kind, name)) = split_key(key) else {
            self.reject(key, &"key is not under the watched prefix");
            return;
        };
        match kind {
            "j" => self.apply_accepted_jobs_page(key, value, version, changed),
            "x" => self.apply_cancellations(key, name, value, version, changed),
            "e" => self.apply_terminal_jobs_page(key, name, value, version, changed),
            "p" | "w" | "d" => {
                self.apply_partition_record(key, kind, name, value, version, changed)
            }
            "m" => {
                let decoded = self.decode_numbered(key, parse_page_number(name), value);
                if let Some((page, record)) = decoded {
                    self.apply_machines_page(page, record, version, changed);
                }
            }
            "b" => {
                if let Some(record) = self.decode(key, value) {
                    let name = ControllerName::from(name);
                    self.incarnations
                        .insert(name.clone(), Versioned { record, version });
                    changed.push(CacheEvent::Incarnation(name));
                }
            }
            "t" => self.apply_token_counter(key, value, version),
            "k" => {
                if let Some(record) = self.decode(key, value) {
                    self.machine_types = Some(Versioned { record, version });
                    changed.push(CacheEvent::MachineTypes);
                }
            }
            "c" => {
                let record = value.clone();
                self.tuning = Some(Versioned { record, version });
                changed.push(CacheEvent::Tuning);
            }
            _ => self.reject(key, &"unknown kind of record"),
        }
    }

    /// Applies the cancellations that a controller has accepted.
    fn apply_cancellations(
        &mut self,
        key: &str,
        name: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let Some(record) = self.decode::<CancellationsRecord>(key, value) else {
            return;
        };
        let record: BTreeSet<JobId> = record.jobs.into_iter().map(JobId).collect();
        let name = ControllerName::from(name);
        let previous = self.cancellations.get(&name).map(|known| &known.record);
        let added = record
            .iter()
            .filter(|id| previous.is_none_or(|old| !old.contains(id)));
        changed.extend(added.map(|id| CacheEvent::Job(*id)));
        self.cancellations
            .insert(name, Versioned { record, version });
    }

    /// Applies a record of a partition: its leadership, a reclaim request or its unmet demand.
    fn apply_partition_record(
        &mut self,
        key: &str,
        kind: &str,
        name: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let partition = parse_partition(name);
        match kind {
            "p" => {
                if let Some((partition, record)) = self.decode_numbered(key, partition, value) {
                    self.partitions
                        .insert(partition, Versioned { record, version });
                    changed.push(CacheEvent::Partition(partition));
                }
            }
            "w" => {
                if let Some((partition, record)) = self.decode_numbered(key, partition, value) {
                    self.reclaim_requests
                        .insert(partition, Versioned { record, version });
                }
            }
            _ => {
                if let Some((partition, record)) = self.decode_numbered(key, partition, value) {
                    self.demand_versions.insert(partition, version);
                    changed.push(CacheEvent::Demand(partition, record));
                }
            }
        }
    }

    fn apply_delete(&mut self, key: &str, changed: &mut Vec<CacheEvent>) {
        let Some((kind, name)) = split_key(key) else {
            return;
        };
        match kind {
            "p" => {
                if let Some(partition) = parse_partition(name) {
                    self.partitions.remove(&partition);
                    changed.push(CacheEvent::Partition(partition));
                }
            }
            "w" => {
                if let Some(partition) = parse_partition(name) {
                    self.reclaim_requests.remove(&partition);
                }
            }
            "c" => {
                self.tuning = None;
                changed.push(CacheEvent::Tuning);
            }
            // Other records are overwritten, never deleted.
            _ => {}
        }
    }

    /// Applies the changes in a reply of the state service. Changes that have been applied already are
    /// skipped, so that overlapping replies cannot restore a record that has been deleted since.
    pub fn apply(&mut self, changes: &Changes) -> Vec<CacheEvent> {
        let mut changed = Vec::new();
        let mut events: Vec<_> = changes
            .events
            .iter()
            .filter(|event| event.version > self.revision.0)
            .collect();
        events.sort_by_key(|event| event.version);
        for event in events {
            if let Some(key) = &event.put_key {
                let null = Value::Null;
                self.apply_put(
                    key,
                    event.value.as_ref().unwrap_or(&null),
                    event.version,
                    &mut changed,
                );
            } else if let Some(key) = &event.deleted_key {
                self.apply_delete(key, &mut changed);
            } else {
                self.reject("", &"change without a key");
            }
        }
        self.revision = self.revision.max(Revision(changes.revision));
        changed
    }

    /// Keeps the token counter at least as high as it was before a full read.
    fn keep_token_counter_monotonic(&mut self, previous: Option<Versioned<TokenCounterRecord>>) {
        let (Some(counter), Some(previous)) = (&mut self.token_counter, previous) else {
            return;
        };
        counter.record.next = counter.record.next.max(previous.record.next);
    }

    /// Replaces the cache by a full read that began at `revision`. Items are in the order of their keys,
    /// so terminal jobs are known before the pages of accepted jobs that list them.
    pub fn replace(&mut self, items: &[Item], revision: u64) -> Vec<CacheEvent> {
        let old = std::mem::take(self);
        self.rejected_count = old.rejected_count;
        let mut changed = Vec::new();
        for item in items {
            self.apply_put(&item.key, &item.value, item.version, &mut changed);
        }
        self.keep_token_counter_monotonic(old.token_counter);
        let unless_kept = |kept: bool, event: CacheEvent| (!kept).then_some(event);
        changed.extend(old.partitions.keys().filter_map(|id| {
            unless_kept(self.partitions.contains_key(id), CacheEvent::Partition(*id))
        }));
        changed.extend(old.machines.keys().filter_map(|name| {
            unless_kept(
                self.machines.contains_key(name),
                CacheEvent::Machine(name.clone()),
            )
        }));
        changed.extend(old.jobs.keys().filter_map(|id| {
            let event = match self.listed_terminal_state(*id) {
                Some(_) => CacheEvent::JobTerminated(*id),
                None => CacheEvent::Job(*id),
            };
            unless_kept(self.jobs.contains_key(id), event)
        }));
        let unlisted = old
            .terminal
            .iter()
            .filter(|(id, _)| self.listed_terminal_state(*id).is_none());
        changed.extend(unlisted.map(|(id, state)| CacheEvent::JobArchived(id, state)));
        self.revision = Revision(revision);
        changed
    }
}
