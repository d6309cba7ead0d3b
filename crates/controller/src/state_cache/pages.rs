//! Application of changes of packed pages: accepted jobs, terminal jobs and machines.

use super::apply::{parse_number, parse_page_number};
use super::{CacheEvent, CachedMachine, MachinePage, OpenJob, StateCache, Versioned};
use crate::records::{
    machines_key, packed_bytes, AcceptedJobsPage, MachinesPage, PackedJob, PackedMachine,
    TerminalJobsPage,
};
use model::{JobId, JobSpec, MachineName, PartitionId, Version};
use serde_json::Value;
use std::sync::Arc;

impl StateCache {
    pub(super) fn apply_accepted_jobs_page(
        &mut self,
        key: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let number = key
            .rsplit_once('/')
            .and_then(|(_, page)| parse_page_number(page));
        let decoded = self.decode_numbered::<_, AcceptedJobsPage>(key, number, value);
        let Some((_, page)) = decoded else {
            self.incomplete_pages.insert(key.to_owned());
            return;
        };
        self.incomplete_pages.remove(key);
        let mut ids = Vec::new();
        let mut unreadable = Vec::new();
        for entry in page.jobs {
            let Some(id) = entry.get(1).and_then(Value::as_str).and_then(JobId::parse) else {
                self.reject(key, &"entry without a valid job id");
                self.incomplete_pages.insert(key.to_owned());
                unreadable.push(entry);
                continue;
            };
            ids.push(id);
            // Two controllers may have accepted the same job, and a terminal job stays on its page
            // until the page is rewritten.
            if self.jobs.contains_key(&id) || self.terminal.state(id).is_some() {
                continue;
            }
            let Some(job) = self.decode_job(key, &entry) else {
                unreadable.push(entry);
                continue;
            };
            self.jobs.insert(id, job);
            changed.push(CacheEvent::Job(id));
        }
        self.set_unreadable_jobs(key, unreadable);
        for id in &ids {
            self.registered.add(*id);
        }
        let old = self.accepted_job_pages.insert(
            key.to_owned(),
            Versioned {
                record: ids,
                version,
            },
        );
        for id in old.into_iter().flat_map(|page| page.record) {
            self.registered.remove(id);
        }
    }

    /// Decodes an accepted job, or returns none if its encoding or its contents are unknown.
    fn decode_job(&mut self, key: &str, entry: &Value) -> Option<OpenJob> {
        let packed = self.decode::<PackedJob>(key, entry)?;
        let spec = JobSpec::try_from(&packed.request)
            .map_err(|error| self.reject(key, &error))
            .ok()?;
        let packed_bytes = packed_bytes(&packed);
        Some(OpenJob {
            packed: Arc::new(packed),
            packed_bytes,
            spec: Arc::new(spec),
        })
    }

    fn set_unreadable_jobs(&mut self, key: &str, entries: Vec<Value>) {
        if entries.is_empty() {
            self.unreadable_jobs.remove(key);
        } else {
            self.unreadable_jobs.insert(key.to_owned(), entries);
        }
    }

    pub(super) fn apply_terminal_jobs_page(
        &mut self,
        key: &str,
        name: &str,
        value: &Value,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let partition_and_page = name.split_once('/').and_then(|(partition, page)| {
            Some((
                PartitionId(parse_number(partition)?),
                parse_page_number(page)?,
            ))
        });
        let decoded = self.decode_numbered::<_, TerminalJobsPage>(key, partition_and_page, value);
        let Some((partition_and_page, record)) = decoded else {
            self.incomplete_pages.insert(key.to_owned());
            return;
        };
        self.incomplete_pages.remove(key);
        for (id, state) in record.jobs() {
            if self.terminal.add(id, state) && self.jobs.remove(&id).is_some() {
                changed.push(CacheEvent::JobTerminated(id));
            }
        }
        // A page drops a job only once it is archived and no page of accepted jobs lists it any more.
        let old = self
            .terminal_job_pages
            .insert(partition_and_page, Versioned { record, version });
        for (id, state) in old.iter().flat_map(|page| page.record.jobs()) {
            if self.terminal.remove(id) {
                changed.push(CacheEvent::JobArchived(id, state));
            }
        }
    }

    pub(super) fn apply_machines_page(
        &mut self,
        page: u32,
        record: MachinesPage,
        version: Version,
        changed: &mut Vec<CacheEvent>,
    ) {
        let mut new_page = MachinePage::default();
        for packed in record.machines {
            if packed.name.is_empty() {
                self.reject(&machines_key(page), &"machine without a name");
                continue;
            }
            let name = MachineName::from(packed.name.as_str());
            let record = packed.record;
            let max_bytes = match self.machines.get(&name) {
                Some(known) if known.record == record && known.page == page => known.max_bytes,
                _ => {
                    let max_bytes = PackedMachine::max_packed_bytes(&name, &record);
                    self.machines.insert(
                        name.clone(),
                        CachedMachine {
                            record,
                            page,
                            max_bytes,
                        },
                    );
                    changed.push(CacheEvent::Machine(name.clone()));
                    max_bytes
                }
            };
            if new_page.names.insert(name) {
                new_page.max_bytes += max_bytes;
            }
        }
        let old = self.machine_pages.get(&page).map(|old| &old.record.names);
        let removed: Vec<MachineName> = old
            .into_iter()
            .flat_map(|old| old.difference(&new_page.names))
            .cloned()
            .collect();
        self.machine_pages.insert(
            page,
            Versioned {
                record: new_page,
                version,
            },
        );
        for name in removed {
            if self
                .machines
                .get(&name)
                .is_some_and(|known| known.page != page)
            {
                // The machine was moved to another page.
                continue;
            }
            self.machines.remove(&name);
            changed.push(CacheEvent::Machine(name));
        }
    }
}
