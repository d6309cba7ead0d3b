//! Decoding of changed records and their application to the cache.

use super::{CacheEvent, StateCache, Versioned};
use crate::records::{CancellationsRecord, TokenCounterRecord, WATCHED_PREFIX};
use model::{ControllerName, JobId, PartitionId, Revision, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeSet;
use wire::state::{Changes, Item};

/// Highest number of a page of packed records: far more than a site fills.
const MAX_PAGE_NUMBER: u32 = 99_999;
/// Exclusive upper bound of fencing tokens, never reached by a site. Attempt numbers hold a token,
/// shifted, so it needs a bound.
const TOKEN_LIMIT: u64 = 1 << 39;

/// Parses a number in a key: digits only.
pub(super) fn parse_number(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// Parses a partition in a key.
fn parse_partition(text: &str) -> Option<PartitionId> {
    parse_number(text).map(PartitionId)
}

/// Parses the number of a page in a key.
pub(super) fn parse_page_number(text: &str) -> Option<u32> {
    parse_number(text).filter(|page| *page <= MAX_PAGE_NUMBER)
}

/// Splits `s/KIND/NAME` into kind and name.
fn split_key(key: &str) -> Option<(&str, &str)> {
    let rest = key.strip_prefix(WATCHED_PREFIX)?;
    Some(rest.split_once('/').unwrap_or((rest, "")))
}

impl StateCache {
    /// Counts a record or an entry that cannot be used; what was known stays.
    pub(super) fn reject(&mut self, key: &str, problem: &dyn std::fmt::Display) {
        tracing::error!(key, %problem, "record rejected");
        self.rejected_count += 1;
    }

    pub(super) fn decode<T: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<T> {
        T::deserialize(value)
            .map_err(|error| self.reject(key, &error))
            .ok()
    }

    /// Decodes a record whose key holds a number.
    pub(super) fn decode_numbered<N, T: DeserializeOwned>(
        &mut self,
        key: &str,
        number: Option<N>,
        value: &Value,
    ) -> Option<(N, T)> {
        let Some(number) = number else {
            self.reject(key, &"its key has no such number");
            return None;
        };
        self.decode(key, value).map(|record| (number, record))
    }

    /// Applies the token counter. Tokens never decrease, whatever is written there.
    fn apply_counter(&mut self, key: &str, value: &Value, version: Version) {
        let Some(mut record) = self.decode::<TokenCounterRecord>(key, value) else {
            return;
        };
        if record.next >= TOKEN_LIMIT {
            self.reject(key, &"no tokens are left");
            return;
        }
        let known = self
            .token_counter
            .as_ref()
            .map_or(0, |counter| counter.record.next);
        if record.next < known {
            self.reject(key, &"tokens were given out beyond it");
            record.next = known;
        }
        self.token_counter = Some(Versioned { record, version });
    }

    /// Applies a record by the kind in its key.
    fn apply_put(&mut self, key: &str, value: &Value, version: u64, changed: &mut Vec<CacheEvent>) {
        let version = Version(version);
        let Some((kind, name)) = split_key(key) else {
            self.reject(key, &"it is not under the watched prefix");
            return;
        };
        match kind {
            "j" => self.apply_accepted_jobs_page(key, value, version, changed),
            "x" => {
                let Some(record) = self.decode::<CancellationsRecord>(key, value) else {
                    return;
                };
                let record: BTreeSet<JobId> = record.jobs.into_iter().map(JobId).collect();
                let name = ControllerName::from(name);
                let before = self.cancellations.get(&name).map(|known| &known.record);
                let new = record
                    .iter()
                    .filter(|id| before.is_none_or(|old| !old.contains(id)));
                changed.extend(new.map(|id| CacheEvent::Job(*id)));
                self.cancellations
                    .insert(name, Versioned { record, version });
            }
            "e" => self.apply_terminal_jobs_page(key, name, value, version, changed),
            "p" => {
                let read = self.decode_numbered(key, parse_partition(name), value);
                let Some((partition, record)) = read else {
                    return;
                };
                self.partitions
                    .insert(partition, Versioned { record, version });
                changed.push(CacheEvent::Partition(partition));
            }
            "w" => {
                let read = self.decode_numbered(key, parse_partition(name), value);
                if let Some((partition, record)) = read {
                    self.reclaim_requests
                        .insert(partition, Versioned { record, version });
                }
            }
            "d" => {
                let read = self.decode_numbered(key, parse_partition(name), value);
                if let Some((partition, record)) = read {
                    self.demand_versions.insert(partition, version);
                    changed.push(CacheEvent::Demand(partition, record));
                }
            }
            "m" => {
                let read = self.decode_numbered(key, parse_page_number(name), value);
                if let Some((page, record)) = read {
                    self.apply_machines_page(page, record, version, changed);
                }
            }
            "b" => {
                let Some(record) = self.decode(key, value) else {
                    return;
                };
                let name = ControllerName::from(name);
                self.incarnations
                    .insert(name.clone(), Versioned { record, version });
                changed.push(CacheEvent::Incarnation(name));
            }
            "t" => self.apply_counter(key, value, version),
            "k" => {
                let Some(record) = self.decode(key, value) else {
                    return;
                };
                self.machine_types = Some(Versioned { record, version });
                changed.push(CacheEvent::MachineTypes);
            }
            "c" => {
                self.tuning = Some(Versioned {
                    record: value.clone(),
                    version,
                });
                changed.push(CacheEvent::Tuning);
            }
            _ => self.reject(key, &"nothing of this kind is kept"),
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
            // Pages are overwritten, never deleted.
            _ => {}
        }
    }

    /// Applies the reply to a watch. Changes that are known already are skipped, so that overlapping
    /// replies cannot restore what has been deleted since.
    pub fn apply(&mut self, changes: &Changes) -> Vec<CacheEvent> {
        let mut changed = Vec::new();
        let mut events: Vec<_> = changes
            .events
            .iter()
            .filter(|event| event.version > self.revision.0)
            .collect();
        events.sort_by_key(|event| event.version);
        for event in events {
            if let Some(key) = &event.put {
                let null = Value::Null;
                self.apply_put(
                    key,
                    event.value.as_ref().unwrap_or(&null),
                    event.version,
                    &mut changed,
                );
            } else if let Some(key) = &event.delete {
                self.apply_delete(key, &mut changed);
            } else {
                self.reject("", &"a change names no key");
            }
        }
        self.revision = self.revision.max(Revision(changes.revision));
        changed
    }

    /// Keeps the token counter at least as high as it was before a full read.
    fn keep_token_counter_monotonic(&mut self, before: Option<Versioned<TokenCounterRecord>>) {
        let (Some(counter), Some(before)) = (&mut self.token_counter, before) else {
            return;
        };
        counter.record.next = counter.record.next.max(before.record.next);
    }

    /// Replaces the cache by a full read that began at `revision`. Items are in the order of their
    /// keys, so terminal jobs are known before the pages of accepted jobs that name them.
    pub fn replace(&mut self, items: &[Item], revision: u64) -> Vec<CacheEvent> {
        let old = std::mem::take(self);
        self.rejected_count = old.rejected_count;
        let mut list = Vec::new();
        for item in items {
            self.apply_put(&item.key, &item.value, item.version, &mut list);
        }
        self.keep_token_counter_monotonic(old.token_counter);
        let gone = |kept: bool, change: CacheEvent| (!kept).then_some(change);
        list.extend(
            old.partitions.keys().filter_map(|id| {
                gone(self.partitions.contains_key(id), CacheEvent::Partition(*id))
            }),
        );
        list.extend(old.machines.keys().filter_map(|name| {
            gone(
                self.machines.contains_key(name),
                CacheEvent::Machine(name.clone()),
            )
        }));
        list.extend(
            old.jobs
                .keys()
                .filter_map(|id| gone(self.jobs.contains_key(id), CacheEvent::Job(*id))),
        );
        self.revision = Revision(revision);
        list
    }
}
