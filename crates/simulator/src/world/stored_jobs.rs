//! Jobs that have finished before a run, and what is stored about the jobs that have finished in it.

use super::site::CONTROLLERS;
use super::World;
use controller::records::{
    page_capacity_bytes, terminal_jobs_key, terminal_state_key, TerminalJobsPage,
};
use model::{JobId, PartitionId};
use std::collections::BTreeSet;

const BYTES_PER_KB: f64 = 1024.0;
/// Maximum bytes of a job's id on a page of finished jobs.
const MAX_ID_BYTES: usize = 21;
/// The first of the jobs that have finished before a run; those of a run have lower numbers.
const FIRST_STORED_JOB: u64 = 300_000;
/// Users ask about one of this many stored jobs.
const STORED_JOBS_PER_QUERIED: u64 = 5_000;

impl World {
    /// Stores jobs that have finished before the run on pages of finished jobs, as controllers leave them there
    /// until they are archived. Users ask about some of them as about any job that is done.
    pub fn store_finished_jobs(&mut self, count: u64) {
        let value_bytes = (self.parameters.state_limits.value_kb * BYTES_PER_KB) as usize;
        let jobs_per_page = page_capacity_bytes(value_bytes) / MAX_ID_BYTES;
        let ids: Vec<u64> = (FIRST_STORED_JOB..FIRST_STORED_JOB + count).collect();
        for (index, ids) in ids.chunks(jobs_per_page).enumerate() {
            let partition = PartitionId((index % CONTROLLERS) as u32);
            let page = TerminalJobsPage {
                done: ids.to_vec(),
                ..TerminalJobsPage::default()
            };
            let key = terminal_jobs_key(partition, (index / CONTROLLERS) as u32);
            let value = serde_json::to_value(page).unwrap_or_default();
            self.state.preload(&key, value);
        }
        for id in ids
            .iter()
            .filter(|id| id.is_multiple_of(STORED_JOBS_PER_QUERIED))
        {
            self.record_finished_job(format!("j-{id:06}"));
        }
    }

    /// Records a job that was accepted and done before the run, of one task.
    fn record_finished_job(&mut self, id: String) {
        let job = wire::users::JobRequest {
            id: id.clone(),
            ..self.new_array("t0".into(), 1)
        };
        self.jobs.add(job, 0);
        self.jobs.record_known_terminal(id.clone());
        self.rules.done_tasks.insert(format!("{id}/0"));
        self.rules.accepted.insert(id.clone(), 0);
        self.rules.done_confirmed.insert(id, 0);
    }

    /// Number of jobs whose final states are archived.
    pub fn archived_jobs(&self) -> usize {
        self.state.keys("f/").count()
    }

    /// Jobs that users have known to be done or cancelled for at least `min_age_ms`, and whose final states are
    /// not archived.
    pub fn unarchived_jobs(&self, min_age_ms: u64) -> Vec<String> {
        let archived: BTreeSet<&str> = self.state.keys("f/").collect();
        let is_archived = |id: &String| {
            JobId::parse(id).is_some_and(|id| archived.contains(terminal_state_key(id).as_str()))
        };
        let confirmed = self.rules.done_confirmed.iter();
        confirmed
            .chain(&self.rules.cancel_confirmed)
            .filter(|(id, at)| **at + min_age_ms <= self.now && !is_archived(id))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Number of transactions that the state service refused because they exceed a limit whatever the load.
    pub fn oversized_transactions(&self) -> u64 {
        self.state.oversized_transactions
    }
}
