//! This node's copy of the watched part of the state service.

use crate::records::*;
use model::{
    ControllerName, JobId, JobSpec, JobState, MachineName, PartitionId, Revision, Version,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use wire::cloud::MachineTypes;
use wire::state::{Changes, Item};

/// An open job as recorded.
#[derive(Debug, Clone)]
pub struct OpenJob {
    pub packed: Arc<PackedJob>,
    /// Bytes it takes on its page.
    pub size: usize,
    pub spec: Arc<JobSpec>,
}

impl OpenJob {
    /// When it was submitted, on the nodes' common clock.
    pub fn order(&self) -> u64 {
        self.packed.submitted_at_ms
    }
}

/// A record with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub record: T,
    pub version: Version,
}

/// A machine's record and the page that holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedMachine {
    pub record: MachineRecord,
    pub page: u32,
    /// Bytes that it may come to take there.
    pub size: usize,
}

/// A page of machines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachinePage {
    pub names: BTreeSet<MachineName>,
    /// Bytes that its machines may come to take.
    pub filled: usize,
}

/// How many pages name each job.
#[derive(Debug, Default)]
struct ReferenceCounts(HashMap<JobId, u32>);

impl ReferenceCounts {
    /// One page more names the job; true if it is the first.
    fn add(&mut self, id: JobId) -> bool {
        let pages = self.0.entry(id).or_default();
        *pages += 1;
        *pages == 1
    }

    /// One page fewer names it.
    fn take(&mut self, id: JobId) {
        if let Some(pages) = self.0.get_mut(&id) {
            *pages -= 1;
            if *pages == 0 {
                self.0.remove(&id);
            }
        }
    }

    fn has(&self, id: JobId) -> bool {
        self.0.contains_key(&id)
    }
}

/// What changed when events were applied.
#[derive(Debug, Clone, PartialEq)]
pub enum CacheEvent {
    /// A job was accepted or cancelled.
    Job(JobId),
    /// A job is over.
    Ended(JobId, JobState),
    Partition(PartitionId),
    /// A holder has written what its partition lacks.
    Demand(PartitionId, DemandRecord),
    Machine(MachineName),
    Boot(ControllerName),
    Types,
    Tuning,
}

/// The copy.
#[derive(Debug, Default)]
pub struct StateCache {
    /// Jobs that are accepted and not over.
    pub jobs: BTreeMap<JobId, OpenJob>,
    /// Pages of accepted jobs by key: what they show, over or not.
    pub intake: BTreeMap<String, Versioned<Vec<JobId>>>,
    pub cancels: BTreeMap<ControllerName, Versioned<BTreeSet<JobId>>>,
    pub ends: BTreeMap<(PartitionId, u32), Versioned<TerminalJobsPage>>,
    /// Jobs that are over, with the pages of ended jobs that name them. This and the next are
    /// counted as pages change: gathered from all pages at each end of a job, they were a sixth of
    /// a controller's time at a thousand machines.
    ended: ReferenceCounts,
    /// Jobs on pages of accepted jobs, over or not.
    listed: ReferenceCounts,
    pub partitions: BTreeMap<PartitionId, Versioned<PartitionRecord>>,
    pub reclaim_requests: BTreeMap<PartitionId, Versioned<ReclaimRecord>>,
    /// Versions of what holders have written that their partitions lack.
    pub demands: BTreeMap<PartitionId, Version>,
    pub machines: BTreeMap<MachineName, CachedMachine>,
    pub machine_pages: BTreeMap<u32, Versioned<MachinePage>>,
    pub incarnations: BTreeMap<ControllerName, Versioned<IncarnationRecord>>,
    pub counter: Option<Versioned<TokenCounterRecord>>,
    pub types: Option<Versioned<MachineTypes>>,
    pub tuning: Option<Versioned<Value>>,
    /// All changes up to here have been applied.
    pub revision: Revision,
    /// Records and entries that could not be used, until they are counted.
    rejected: u64,
}

/// Highest number of a page of packed records: far more than a site fills.
const MAX_PAGE_NUMBER: u32 = 99_999;
/// Tokens at or above this are not given out in the life of a site; attempts are made of them, shifted.
const TOKEN_LIMIT: u64 = 1 << 39;

/// A number as keys spell it: digits only.
fn number(text: &str) -> Option<u32> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// A partition as keys spell it.
fn partition(text: &str) -> Option<PartitionId> {
    number(text).map(PartitionId)
}

/// A page as keys spell it.
fn page_number(text: &str) -> Option<u32> {
    number(text).filter(|page| *page <= MAX_PAGE_NUMBER)
}

/// `s/KIND/NAME` as its two parts.
fn parts(key: &str) -> Option<(&str, &str)> {
    let rest = key.strip_prefix(WATCHED_PREFIX)?;
    Some(rest.split_once('/').unwrap_or((rest, "")))
}

impl StateCache {
    /// Version of the counter, 0 if there is none.
    pub fn counter_version(&self) -> u64 {
        self.counter.as_ref().map_or(0, |c| c.version.0)
    }

    /// The next token.
    pub fn next_token(&self) -> u64 {
        self.counter.as_ref().map_or(1, |c| c.record.next)
    }

    /// Whether a user has cancelled the job.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.cancels.values().any(|c| c.record.contains(&id))
    }

    /// Whether a job is on any page of accepted jobs, over or not.
    pub fn is_registered(&self, id: JobId) -> bool {
        self.listed.has(id)
    }

    /// How many records and entries could not be used since this was asked last.
    pub fn take_rejected(&mut self) -> u64 {
        std::mem::take(&mut self.rejected)
    }

    /// Counts a record or an entry that is left out of account; what was known stays.
    fn reject(&mut self, key: &str, problem: &dyn std::fmt::Display) {
        tracing::error!(key, %problem, "a record cannot be used");
        self.rejected += 1;
    }

    fn decode<T: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<T> {
        T::deserialize(value)
            .map_err(|error| self.reject(key, &error))
            .ok()
    }

    /// Reads the number in a key with its record.
    fn decode_numbered<N, T: DeserializeOwned>(
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

    /// Takes in the counter. Tokens only rise, whatever is written there.
    fn apply_counter(&mut self, key: &str, value: &Value, version: Version) {
        let Some(mut record) = self.decode::<TokenCounterRecord>(key, value) else {
            return;
        };
        if record.next >= TOKEN_LIMIT {
            self.reject(key, &"no tokens are left");
            return;
        }
        let known = self
            .counter
            .as_ref()
            .map_or(0, |counter| counter.record.next);
        if record.next < known {
            self.reject(key, &"tokens were given out beyond it");
            record.next = known;
        }
        self.counter = Some(Versioned { record, version });
    }

    fn put(&mut self, key: &str, value: &Value, version: u64, changed: &mut Vec<CacheEvent>) {
        let version = Version(version);
        let Some((kind, name)) = parts(key) else {
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
                let before = self.cancels.get(&name).map(|c| &c.record);
                let new = record
                    .iter()
                    .filter(|id| before.is_none_or(|old| !old.contains(id)));
                changed.extend(new.map(|id| CacheEvent::Job(*id)));
                self.cancels.insert(name, Versioned { record, version });
            }
            "e" => self.apply_terminal_jobs_page(key, name, value, version, changed),
            "p" => {
                let read = self.decode_numbered(key, partition(name), value);
                let Some((partition, record)) = read else {
                    return;
                };
                self.partitions
                    .insert(partition, Versioned { record, version });
                changed.push(CacheEvent::Partition(partition));
            }
            "w" => {
                let read = self.decode_numbered(key, partition(name), value);
                if let Some((partition, record)) = read {
                    self.reclaim_requests
                        .insert(partition, Versioned { record, version });
                }
            }
            "d" => {
                let read = self.decode_numbered(key, partition(name), value);
                if let Some((partition, record)) = read {
                    self.demands.insert(partition, version);
                    changed.push(CacheEvent::Demand(partition, record));
                }
            }
            "m" => {
                let read = self.decode_numbered(key, page_number(name), value);
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
                changed.push(CacheEvent::Boot(name));
            }
            "t" => self.apply_counter(key, value, version),
            "k" => {
                let Some(record) = self.decode(key, value) else {
                    return;
                };
                self.types = Some(Versioned { record, version });
                changed.push(CacheEvent::Types);
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

    fn apply_accepted_jobs_page(
        &mut self,
        key: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let number = key.rsplit_once('/').and_then(|(_, page)| page_number(page));
        let read = self.decode_numbered::<_, AcceptedJobsPage>(key, number, value);
        let Some((_, page)) = read else { return };
        let mut ids = Vec::new();
        for entry in &page.jobs {
            let Some(id) = entry.get(1).and_then(Value::as_str).and_then(JobId::parse) else {
                self.reject(key, &"an entry has no job id");
                continue;
            };
            ids.push(id);
            // Two nodes may have accepted the same job, and one that is over stays on its page
            // until that is written again.
            if self.jobs.contains_key(&id) || self.ended.has(id) {
                continue;
            }
            let Some(packed) = self.decode::<PackedJob>(key, entry) else {
                continue;
            };
            let spec = match JobSpec::try_from(&packed.request) {
                Ok(spec) => spec,
                Err(error) => {
                    self.reject(key, &error);
                    continue;
                }
            };
            let size = packed_size(&packed);
            let job = OpenJob {
                packed: Arc::new(packed),
                size,
                spec: Arc::new(spec),
            };
            self.jobs.insert(id, job);
            changed.push(CacheEvent::Job(id));
        }
        for id in &ids {
            self.listed.add(*id);
        }
        let old = self.intake.insert(
            key.to_owned(),
            Versioned {
                record: ids,
                version,
            },
        );
        for id in old.into_iter().flat_map(|page| page.record) {
            self.listed.take(id);
        }
    }

    fn apply_terminal_jobs_page(
        &mut self,
        key: &str,
        name: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let place = name.split_once('/').and_then(|(partition, page)| {
            Some((PartitionId(number(partition)?), page_number(page)?))
        });
        let read = self.decode_numbered::<_, TerminalJobsPage>(key, place, value);
        let Some((place, record)) = read else { return };
        for (id, state) in record.jobs() {
            if self.ended.add(id) {
                self.jobs.remove(&id);
                changed.push(CacheEvent::Ended(id, state));
            }
        }
        // What a page no longer names is on no page of accepted jobs any more either.
        let old = self.ends.insert(place, Versioned { record, version });
        for (id, _) in old.iter().flat_map(|page| page.record.jobs()) {
            self.ended.take(id);
        }
    }

    fn apply_machines_page(
        &mut self,
        page: u32,
        record: MachinesPage,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let mut new = MachinePage::default();
        for packed in record.machines {
            if packed.name.is_empty() {
                self.reject(&machines_key(page), &"a machine has no name");
                continue;
            }
            let name = MachineName::from(packed.name.as_str());
            let record = packed.record;
            let size = match self.machines.get(&name) {
                Some(known) if known.record == record && known.page == page => known.size,
                _ => {
                    let size = PackedMachine::max_packed_size(&name, &record);
                    self.machines
                        .insert(name.clone(), CachedMachine { record, page, size });
                    changed.push(CacheEvent::Machine(name.clone()));
                    size
                }
            };
            if new.names.insert(name) {
                new.filled += size;
            }
        }
        let old = self.machine_pages.get(&page).map(|old| &old.record.names);
        let gone: Vec<MachineName> = old
            .into_iter()
            .flat_map(|old| old.difference(&new.names))
            .cloned()
            .collect();
        self.machine_pages.insert(
            page,
            Versioned {
                record: new,
                version,
            },
        );
        for name in gone {
            if self
                .machines
                .get(&name)
                .is_some_and(|known| known.page != page)
            {
                // It has been put on another page meanwhile.
                continue;
            }
            self.machines.remove(&name);
            changed.push(CacheEvent::Machine(name));
        }
    }

    fn delete(&mut self, key: &str, changed: &mut Vec<CacheEvent>) {
        let Some((kind, name)) = parts(key) else {
            return;
        };
        match kind {
            "p" => {
                if let Some(partition) = partition(name) {
                    self.partitions.remove(&partition);
                    changed.push(CacheEvent::Partition(partition));
                }
            }
            "w" => {
                if let Some(partition) = partition(name) {
                    self.reclaim_requests.remove(&partition);
                }
            }
            "c" => {
                self.tuning = None;
                changed.push(CacheEvent::Tuning);
            }
            // Pages are written again, never deleted.
            _ => {}
        }
    }

    /// Applies an answer to a watch. Changes that are known already are passed over, so that
    /// overlapping answers cannot bring back what has been deleted since.
    pub fn apply(&mut self, changes: &Changes) -> Vec<CacheEvent> {
        let mut changed = Vec::new();
        let mut events: Vec<_> = changes
            .events
            .iter()
            .filter(|e| e.version > self.revision.0)
            .collect();
        events.sort_by_key(|e| e.version);
        for event in events {
            if let Some(key) = &event.put {
                let null = Value::Null;
                self.put(
                    key,
                    event.value.as_ref().unwrap_or(&null),
                    event.version,
                    &mut changed,
                );
            } else if let Some(key) = &event.delete {
                self.delete(key, &mut changed);
            } else {
                self.reject("", &"a change names no key");
            }
        }
        self.revision = self.revision.max(Revision(changes.revision));
        changed
    }

    /// What a full read shows of the counter is no lower than what was known before.
    fn keep_tokens_rising(&mut self, before: Option<Versioned<TokenCounterRecord>>) {
        let (Some(counter), Some(before)) = (&mut self.counter, before) else {
            return;
        };
        counter.record.next = counter.record.next.max(before.record.next);
    }

    /// Replaces the copy by a full read, begun at `revision`. Keys come in order, so the ends
    /// of jobs are known before the pages that show them.
    pub fn replace(&mut self, items: &[Item], revision: u64) -> Vec<CacheEvent> {
        let old = std::mem::take(self);
        self.rejected = old.rejected;
        let mut list = Vec::new();
        for item in items {
            self.put(&item.key, &item.value, item.version, &mut list);
        }
        self.keep_tokens_rising(old.counter);
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
