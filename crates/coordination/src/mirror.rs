//! This node's copy of the watched part of the state service.

use crate::records::*;
use model::{JobId, JobSpec, JobState, MachineName, NodeName, PartitionId, Revision, Version};
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
        self.packed.0
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
pub struct KnownMachine {
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
struct Tally(HashMap<JobId, u32>);

impl Tally {
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
pub enum Changed {
    /// A job was accepted or cancelled.
    Job(JobId),
    /// A job is over.
    Ended(JobId, JobState),
    Partition(PartitionId),
    /// A holder has written what its partition lacks.
    Demand(PartitionId, DemandRecord),
    Machine(MachineName),
    Boot(NodeName),
    Types,
    Tuning,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Jobs that are accepted and not over.
    pub jobs: BTreeMap<JobId, OpenJob>,
    /// Pages of accepted jobs by key: what they show, over or not.
    pub intake: BTreeMap<String, Versioned<Vec<JobId>>>,
    pub cancels: BTreeMap<NodeName, Versioned<BTreeSet<JobId>>>,
    pub ends: BTreeMap<(PartitionId, u32), Versioned<EndsPage>>,
    /// Jobs that are over, with the pages of ended jobs that name them. This and the next are
    /// counted as pages change: gathered from all pages at each end of a job, they were a sixth of
    /// a controller's time at a thousand machines.
    ended: Tally,
    /// Jobs on pages of accepted jobs, over or not.
    listed: Tally,
    pub partitions: BTreeMap<PartitionId, Versioned<PartitionRecord>>,
    pub wishes: BTreeMap<PartitionId, Versioned<WishRecord>>,
    /// Versions of what holders have written that their partitions lack.
    pub demands: BTreeMap<PartitionId, Version>,
    pub machines: BTreeMap<MachineName, KnownMachine>,
    pub machine_pages: BTreeMap<u32, Versioned<MachinePage>>,
    pub boots: BTreeMap<NodeName, Versioned<BootRecord>>,
    pub counter: Option<Versioned<CounterRecord>>,
    pub types: Option<Versioned<MachineTypes>>,
    pub tuning: Option<Versioned<Value>>,
    /// All changes up to here have been applied.
    pub revision: Revision,
}

fn decode<T: DeserializeOwned>(key: &str, value: &Value) -> Option<T> {
    match T::deserialize(value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "a record cannot be read");
            None
        }
    }
}

/// `s/KIND/NAME` as its two parts.
fn parts(key: &str) -> Option<(&str, &str)> {
    let rest = key.strip_prefix(WATCHED)?;
    Some(rest.split_once('/').unwrap_or((rest, "")))
}

impl Mirror {
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
    pub fn is_listed(&self, id: JobId) -> bool {
        self.listed.has(id)
    }

    fn put(&mut self, key: &str, value: &Value, version: u64, changed: &mut Vec<Changed>) {
        let version = Version(version);
        let Some((kind, name)) = parts(key) else { return };
        match kind {
            "j" => self.put_intake(key, value, version, changed),
            "x" => {
                let Some(record) = decode::<CancelsRecord>(key, value) else { return };
                let record: BTreeSet<JobId> = record.jobs.into_iter().map(JobId).collect();
                let name = NodeName::from(name);
                let before = self.cancels.get(&name).map(|c| &c.record);
                let new = record.iter().filter(|id| before.is_none_or(|old| !old.contains(id)));
                changed.extend(new.map(|id| Changed::Job(*id)));
                self.cancels.insert(name, Versioned { record, version });
            }
            "e" => self.put_ends(key, name, value, version, changed),
            "p" => {
                let (Ok(number), Some(record)) = (name.parse(), decode(key, value)) else {
                    return;
                };
                self.partitions.insert(PartitionId(number), Versioned { record, version });
                changed.push(Changed::Partition(PartitionId(number)));
            }
            "w" => {
                if let (Ok(number), Some(record)) = (name.parse(), decode(key, value)) {
                    self.wishes.insert(PartitionId(number), Versioned { record, version });
                }
            }
            "d" => {
                if let (Ok(number), Some(record)) = (name.parse(), decode(key, value)) {
                    self.demands.insert(PartitionId(number), version);
                    changed.push(Changed::Demand(PartitionId(number), record));
                }
            }
            "m" => {
                if let (Ok(page), Some(record)) = (name.parse(), decode(key, value)) {
                    self.put_machines(page, record, version, changed);
                }
            }
            "b" => {
                let Some(record) = decode(key, value) else { return };
                let name = NodeName::from(name);
                self.boots.insert(name.clone(), Versioned { record, version });
                changed.push(Changed::Boot(name));
            }
            "t" => self.counter = decode(key, value).map(|record| Versioned { record, version }),
            "k" => {
                self.types = decode(key, value).map(|record| Versioned { record, version });
                changed.push(Changed::Types);
            }
            "c" => {
                self.tuning = Some(Versioned { record: value.clone(), version });
                changed.push(Changed::Tuning);
            }
            _ => {}
        }
    }

    fn put_intake(
        &mut self,
        key: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<Changed>,
    ) {
        let Some(page) = decode::<IntakePage>(key, value) else { return };
        let mut ids = Vec::new();
        for entry in &page.jobs {
            let Some(id) = entry.get(1).and_then(Value::as_str).and_then(JobId::parse) else {
                tracing::error!(key, "an entry without a job id");
                continue;
            };
            ids.push(id);
            // Two nodes may have accepted the same job, and one that is over stays on its page
            // until that is written again.
            if self.jobs.contains_key(&id) || self.ended.has(id) {
                continue;
            }
            let Some(packed) = decode::<PackedJob>(key, entry) else { continue };
            let Ok(spec) = JobSpec::try_from(&packed.request()) else {
                tracing::error!(key, "a recorded job does not pass the checks");
                continue;
            };
            let size = packed_size(&packed);
            let job = OpenJob { packed: Arc::new(packed), size, spec: Arc::new(spec) };
            self.jobs.insert(id, job);
            changed.push(Changed::Job(id));
        }
        for id in &ids {
            self.listed.add(*id);
        }
        let old = self.intake.insert(key.to_owned(), Versioned { record: ids, version });
        for id in old.into_iter().flat_map(|page| page.record) {
            self.listed.take(id);
        }
    }

    fn put_ends(
        &mut self,
        key: &str,
        name: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<Changed>,
    ) {
        let place = name.split_once('/').and_then(|(partition, page)| {
            Some((PartitionId(partition.parse().ok()?), page.parse().ok()?))
        });
        let (Some(place), Some(record)) = (place, decode::<EndsPage>(key, value)) else { return };
        for (id, state) in record.jobs() {
            if self.ended.add(id) {
                self.jobs.remove(&id);
                changed.push(Changed::Ended(id, state));
            }
        }
        // What a page no longer names is on no page of accepted jobs any more either.
        let old = self.ends.insert(place, Versioned { record, version });
        for (id, _) in old.iter().flat_map(|page| page.record.jobs()) {
            self.ended.take(id);
        }
    }

    fn put_machines(
        &mut self,
        page: u32,
        record: MachinesPage,
        version: Version,
        changed: &mut Vec<Changed>,
    ) {
        let mut new = MachinePage::default();
        for packed in record.machines {
            let name = MachineName::from(packed.0.as_str());
            let record = packed.record();
            let size = match self.machines.get(&name) {
                Some(known) if known.record == record && known.page == page => known.size,
                _ => {
                    let size = PackedMachine::most_bytes(&name, &record);
                    self.machines.insert(name.clone(), KnownMachine { record, page, size });
                    changed.push(Changed::Machine(name.clone()));
                    size
                }
            };
            if new.names.insert(name) {
                new.filled += size;
            }
        }
        let old = self.machine_pages.get(&page).map(|old| &old.record.names);
        let gone: Vec<MachineName> =
            old.into_iter().flat_map(|old| old.difference(&new.names)).cloned().collect();
        self.machine_pages.insert(page, Versioned { record: new, version });
        for name in gone {
            self.machines.remove(&name);
            changed.push(Changed::Machine(name));
        }
    }

    fn delete(&mut self, key: &str, changed: &mut Vec<Changed>) {
        let Some((kind, name)) = parts(key) else { return };
        match kind {
            "p" => {
                if let Ok(number) = name.parse() {
                    self.partitions.remove(&PartitionId(number));
                    changed.push(Changed::Partition(PartitionId(number)));
                }
            }
            "w" => {
                if let Ok(number) = name.parse() {
                    self.wishes.remove(&PartitionId(number));
                }
            }
            "c" => {
                self.tuning = None;
                changed.push(Changed::Tuning);
            }
            // Pages are written again, never deleted.
            _ => {}
        }
    }

    /// Applies an answer to a watch. Changes that are known already are passed over, so that
    /// overlapping answers cannot bring back what has been deleted since.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Changed> {
        let mut changed = Vec::new();
        let mut events: Vec<_> =
            changes.events.iter().filter(|e| e.version > self.revision.0).collect();
        events.sort_by_key(|e| e.version);
        for event in events {
            if let Some(key) = &event.put {
                let null = Value::Null;
                self.put(key, event.value.as_ref().unwrap_or(&null), event.version, &mut changed);
            } else if let Some(key) = &event.delete {
                self.delete(key, &mut changed);
            }
        }
        self.revision = self.revision.max(Revision(changes.revision));
        changed
    }

    /// Replaces the copy by a full read, begun at `revision`. Keys come in order, so the ends
    /// of jobs are known before the pages that show them.
    pub fn replace(&mut self, items: &[Item], revision: u64) -> Vec<Changed> {
        let old = std::mem::take(self);
        let mut list = Vec::new();
        for item in items {
            self.put(&item.key, &item.value, item.version, &mut list);
        }
        let gone = |kept: bool, change: Changed| (!kept).then_some(change);
        list.extend(
            old.partitions
                .keys()
                .filter_map(|id| gone(self.partitions.contains_key(id), Changed::Partition(*id))),
        );
        list.extend(old.machines.keys().filter_map(|name| {
            gone(self.machines.contains_key(name), Changed::Machine(name.clone()))
        }));
        list.extend(
            old.jobs.keys().filter_map(|id| gone(self.jobs.contains_key(id), Changed::Job(*id))),
        );
        self.revision = Revision(revision);
        list
    }
}
