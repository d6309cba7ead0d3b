//! Computes which jobs lie within their team's guarantee.

use crate::job::Job;
use crate::partition_state::PartitionState;
use crate::queue_entry::{EntryKey, Rank};
use crate::quotas::TeamUsage;
use model::{JobId, Resources, TaskId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

impl PartitionState {
    /// Recomputes which jobs lie within their team's guarantee: those that fit into it together
    /// with the team's earlier unfinished jobs. Only teams whose jobs have changed are recomputed.
    pub(crate) fn refresh_guarantees(&mut self) {
        let mut changed = Vec::new();
        for team in self
            .teams
            .values_mut()
            .filter(|team| team.guaranteed_jobs_stale)
        {
            team.guaranteed_jobs_stale = false;
            changed.extend(refresh_team(team, &mut self.jobs, self.overloaded));
        }
        for id in changed {
            self.update_ranks(id);
        }
    }

    /// Updates the queue after a job's rank has changed.
    pub(crate) fn update_ranks(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let rank = Rank::of_job(job);
        for index in 0..job.next_index_to_queue {
            let key = EntryKey::Task(TaskId { job: id, index });
            self.queue.rerank(key, rank.for_task(index));
        }
        self.queue.rerank(EntryKey::Gang(id), rank);
    }
}

/// Updates which of the team's jobs lie within its guarantee; returns the jobs for which that has changed.
fn refresh_team(
    team: &mut TeamUsage,
    jobs: &mut BTreeMap<JobId, Job>,
    overloaded: bool,
) -> Vec<JobId> {
    let mut order: Vec<JobId> = team.open_jobs.iter().map(|(_, id)| *id).collect();
    if overloaded {
        // The guarantee goes to the jobs that the team can complete with it rather than to its oldest jobs.
        order.sort_by_key(|id| jobs.get(id).map(Job::scheduling_time_ms));
    }
    let guaranteed_jobs = prefix_within(&order, jobs, &team.guarantee);
    order.sort_by_key(|id| Reverse(jobs.get(id).map(|job| job.spec.priority)));
    let strictly_guaranteed = prefix_within(&order, jobs, &team.guarantee);
    for id in &order {
        if let Some(job) = jobs.get_mut(id) {
            job.strictly_guaranteed = strictly_guaranteed.contains(id);
        }
    }
    let mut changed = Vec::new();
    for id in team.guaranteed_jobs.symmetric_difference(&guaranteed_jobs) {
        let Some(job) = jobs.get_mut(id) else {
            continue;
        };
        // A job that is finishing or cancelled keeps its `guaranteed` flag.
        if team.open_jobs.contains(&(job.submitted_at_ms, *id)) {
            job.guaranteed = guaranteed_jobs.contains(id);
            changed.push(*id);
        }
    }
    team.guaranteed_jobs = guaranteed_jobs;
    changed
}

/// The longest prefix of `order` whose jobs fit into the guarantee together.
fn prefix_within(
    order: &[JobId],
    jobs: &BTreeMap<JobId, Job>,
    guarantee: &Resources,
) -> BTreeSet<JobId> {
    let mut sum = Resources::default();
    let fits = |id: &&JobId| {
        let Some(job) = jobs.get(*id) else {
            return true;
        };
        sum += job
            .spec
            .task_resources
            .times(u64::from(job.spec.task_count));
        sum.fits_quota(guarantee)
    };
    order.iter().take_while(fits).copied().collect()
}
