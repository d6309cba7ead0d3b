//! This node's copy of the watched part of the state service.

use crate::records::*;
use model::{JobId, JobSpec, MachineName, NodeName, PartitionId, Revision, Version};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use wire::cloud::MachineTypes;
use wire::state::{Changes, Item};

/// An open job as recorded.
#[derive(Debug, Clone)]
pub struct OpenJob {
    pub record: Arc<JobRecord>,
    pub spec: Arc<JobSpec>,
    pub version: Version,
    /// Revision of the acceptance, as far as this node can know it.
    pub order: u64,
}

/// A record with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    pub record: T,
    pub version: Version,
}

/// What changed when events were applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changed {
    Job(JobId),
    Partition(PartitionId),
    Machine(MachineName),
    Boot(NodeName),
    Types,
    Tuning,
}

/// The copy.
#[derive(Debug, Default)]
pub struct Mirror {
    pub jobs: BTreeMap<JobId, OpenJob>,
    pub partitions: BTreeMap<PartitionId, Versioned<PartitionRecord>>,
    pub machines: BTreeMap<MachineName, Versioned<MachineRecord>>,
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

impl Mirror {
    /// Version of the counter, 0 if there is none.
    pub fn counter_version(&self) -> u64 {
        self.counter.as_ref().map_or(0, |c| c.version.0)
    }

    /// The next token.
    pub fn next_token(&self) -> u64 {
        self.counter.as_ref().map_or(1, |c| c.record.next)
    }

    fn put(&mut self, key: &str, value: &Value, version: u64, changed: &mut Vec<Changed>) {
        let version = Version(version);
        let Some((kind, name)) = key.strip_prefix(WATCHED).map(|rest| match rest.split_once('/') {
            Some((kind, name)) => (kind, name),
            None => (rest, ""),
        }) else {
            return;
        };
        match kind {
            "j" => {
                let (Some(id), Some(record)) =
                    (JobId::parse(name), decode::<JobRecord>(key, value))
                else {
                    return;
                };
                let Ok(spec) = JobSpec::try_from(&record.job) else {
                    tracing::error!(key, "a recorded job does not pass the checks");
                    return;
                };
                let order = self.jobs.get(&id).map_or(version.0, |job| job.order);
                let job =
                    OpenJob { record: Arc::new(record), spec: Arc::new(spec), version, order };
                self.jobs.insert(id, job);
                changed.push(Changed::Job(id));
            }
            "p" => {
                let (Ok(number), Some(record)) = (name.parse(), decode(key, value)) else {
                    return;
                };
                self.partitions.insert(PartitionId(number), Versioned { record, version });
                changed.push(Changed::Partition(PartitionId(number)));
            }
            "m" => {
                let Some(record) = decode(key, value) else { return };
                let name = MachineName::from(name);
                self.machines.insert(name.clone(), Versioned { record, version });
                changed.push(Changed::Machine(name));
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

    fn delete(&mut self, key: &str, changed: &mut Vec<Changed>) {
        let Some(rest) = key.strip_prefix(WATCHED) else { return };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match kind {
            "j" => {
                if let Some(id) = JobId::parse(name) {
                    self.jobs.remove(&id);
                    changed.push(Changed::Job(id));
                }
            }
            "p" => {
                if let Ok(number) = name.parse() {
                    self.partitions.remove(&PartitionId(number));
                    changed.push(Changed::Partition(PartitionId(number)));
                }
            }
            "m" => {
                let name = MachineName::from(name);
                self.machines.remove(&name);
                changed.push(Changed::Machine(name));
            }
            "c" => {
                self.tuning = None;
                changed.push(Changed::Tuning);
            }
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

    /// Replaces the copy by a full read, begun at `revision`.
    pub fn replace(&mut self, items: &[Item], revision: u64) -> Vec<Changed> {
        let orders: BTreeMap<JobId, u64> =
            self.jobs.iter().map(|(id, job)| (*id, job.order)).collect();
        let mut changed: HashSet<String> = HashSet::new();
        changed.extend(self.partitions.keys().map(|id| partition_key(*id)));
        changed.extend(self.machines.keys().map(machine_key));
        changed.extend(self.jobs.keys().map(|id| job_key(*id)));
        *self = Mirror::default();
        let mut list = Vec::new();
        for item in items {
            changed.remove(&item.key);
            self.put(&item.key, &item.value, item.version, &mut list);
        }
        for (id, job) in &mut self.jobs {
            if let Some(order) = orders.get(id) {
                job.order = *order;
            }
        }
        for gone in changed {
            self.delete(&gone, &mut list);
        }
        self.revision = Revision(revision);
        list
    }
}
