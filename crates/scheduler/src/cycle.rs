//! The scheduling cycle: takes one entry of the queue and places it on the best machine, or finds out why
//! that is not possible.

use crate::capacity_index::MAX_RANKED_REPLICAS;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::suitability::{MachineRejection, MachineSearch};
use model::DurationExt;
use model::{JobId, JobKind, TaskId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How long free capacity is left to a job that found none: its backoff lasts as long at most.
const UNPLACED_PRECEDENCE: Duration = Duration::from_millis(1_500);

/// Time between two checks of which machines are usable and belong into the capacity index.
const INDEX_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Image fetches that take less are not worth preempting a task elsewhere for.
const MIN_FETCH_TIME_SAVED: Duration = Duration::from_millis(500);

/// How many times a job's estimate its waiting tasks are expected to run: estimates are often wrong by half.
const ESTIMATE_SAFETY_FACTOR: u64 = 2;

/// The shortest run time on which the turnover of machines is based (ms).
const MIN_ESTIMATE_MS: u64 = 1_000;

/// The least fetch rate that is assumed (GB per second).
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// Why an entry was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementFailure {
    /// The team's limit is reached.
    LimitReached,
    /// No usable machine has the free capacity.
    NoFreeCapacity,
    /// There is free capacity, but machines that have the image will have some before it could be fetched.
    WaitForCachedImage,
}

/// What the cycles of one run have found out about jobs. Tasks of a job are alike: where one was not
/// placed, the next will not be either.
#[derive(Debug, Default)]
struct FailedJobs {
    unplaced: HashMap<JobId, PlacementFailure>,
    /// Jobs for which preemption does not help.
    not_helped_by_preemption: HashSet<JobId>,
}

impl PartitionState {
    /// Runs cycles until the active queue is empty or `max_cycles` entries have been tried. Returns whether
    /// entries are left in it.
    pub fn run_cycles(&mut self, now: Timestamp, max_cycles: usize) -> bool {
        self.refresh_capacity_index(now);
        let preempt = self.policy.preempt && self.update_inventory_known(now);
        self.refresh_guarantees();
        self.queue.flush(now);
        self.queue_probes(now);
        self.unplaced_since
            .retain(|_, at| now.duration_since(*at) <= UNPLACED_PRECEDENCE);
        self.expire_reservations(now);
        self.renew_gang_reservations(now);
        self.update_waiting_gangs();
        self.update_reserved_limits();
        let mut failed_jobs = FailedJobs::default();
        for _ in 0..max_cycles {
            let Some(entry) = self.queue.pop() else {
                return false;
            };
            match self.try_entry(entry, &failed_jobs, now) {
                Ok(()) => {
                    self.queue.record_placed(entry);
                    self.cancel_reservation(&entry);
                    self.enqueue_job(entry.job());
                }
                Err(failure) => {
                    self.handle_failure(entry, failure, preempt, &mut failed_jobs, now);
                }
            }
        }
        self.queue.has_active()
    }

    fn try_entry(
        &mut self,
        entry: EntryKey,
        failed_jobs: &FailedJobs,
        now: Timestamp,
    ) -> Result<(), PlacementFailure> {
        match (entry, failed_jobs.unplaced.get(&entry.job())) {
            (EntryKey::Task(_), Some(failure)) if !self.reservations.contains_key(&entry) => {
                Err(*failure)
            }
            (EntryKey::Task(task), _) => self.try_task(task, now),
            (EntryKey::Gang(job), _) => self.try_gang(job, now),
        }
    }

    /// Reserves machines for a gang or preempts tasks for a task, and has the entry back off.
    fn handle_failure(
        &mut self,
        entry: EntryKey,
        failure: PlacementFailure,
        preempt: bool,
        failed_jobs: &mut FailedJobs,
        now: Timestamp,
    ) {
        let job = entry.job();
        if let EntryKey::Gang(job) = entry {
            self.reserve_for_gang(job, failure, preempt, now);
        }
        if failed_jobs.unplaced.insert(job, failure).is_none() {
            tracing::debug!(%job, reason = ?failure, "placement failed");
        }
        if failure == PlacementFailure::NoFreeCapacity {
            self.record_unplaced(job, now);
        }
        let may_help = failure != PlacementFailure::WaitForCachedImage
            && !failed_jobs.not_helped_by_preemption.contains(&job);
        if preempt && may_help && !self.preempt_for(entry, failure, now) {
            failed_jobs.not_helped_by_preemption.insert(job);
        }
        self.queue.record_failure(entry, now);
    }

    /// Removes machines that are not usable at present from the capacity index, and adds those that are
    /// usable again.
    fn refresh_capacity_index(&mut self, now: Timestamp) {
        if now.duration_since(self.capacity_index_refreshed_at) < INDEX_REFRESH_INTERVAL {
            return;
        }
        self.capacity_index_refreshed_at = now;
        let heartbeat_grace = self.heartbeat_timeout();
        for machine in self.machines.values_mut() {
            match (machine.usable(now, heartbeat_grace), machine.capacity_key) {
                (true, None) => self.capacity_index.add_or_update(machine),
                (false, Some(_)) => self.capacity_index.remove(machine),
                _ => {}
            }
        }
    }

    fn try_task(&mut self, task: TaskId, now: Timestamp) -> Result<(), PlacementFailure> {
        let Some(job) = self.jobs.get(&task.job) else {
            return Ok(());
        };
        if job.cancelled || job.is_done(task.index) || job.placed.contains_key(&task.index) {
            return Ok(());
        }
        let entry = EntryKey::Task(task);
        if !self.fits_limit(entry, job, 1) {
            return Err(PlacementFailure::LimitReached);
        }
        let has_reservation = self.reserved_machine(entry, job, now).is_some();
        let machine = match self.best_machine(entry, job, now) {
            Ok(machine) => machine,
            Err(rejection) => {
                self.rejections.add(rejection);
                return Err(PlacementFailure::NoFreeCapacity);
            }
        };
        let fetch_time = fetch_time(job, machine);
        let name = machine.name.clone();
        if fetch_time > Duration::ZERO
            && job.spec.kind == JobKind::Array
            && self.frees_up_sooner(job, fetch_time, now)
        {
            return Err(PlacementFailure::WaitForCachedImage);
        }
        let may_preempt =
            self.policy.preempt && self.inventory_known && self.preemption_scope(job).is_some();
        if fetch_time >= MIN_FETCH_TIME_SAVED && !has_reservation && may_preempt {
            let max_cost_ms = Some(fetch_time.whole_millis());
            let plan = self.cheapest_preemption(
                entry,
                job,
                PlacementFailure::NoFreeCapacity,
                max_cost_ms,
                now,
            );
            if let Some(plan) = plan {
                self.execute_preemption(entry, plan, PlacementFailure::NoFreeCapacity, now);
                return Err(PlacementFailure::NoFreeCapacity);
            }
        }
        let attempt = self.new_attempt();
        self.place(task, &name, attempt, now);
        Ok(())
    }

    /// The machine on which capacity is reserved for an entry, if the entry may still go there.
    fn reserved_machine(&self, entry: EntryKey, job: &Job, now: Timestamp) -> Option<&Machine> {
        let machine = self.machines.get(&self.reservations.get(&entry)?.machine)?;
        self.admits(job, machine, now).then_some(machine)
    }

    /// The best machine with free capacity for a task. If capacity is reserved for it, the task waits for
    /// that, or takes another machine that has its image. If there is none: why the machine that came closest
    /// does not suit it.
    pub(crate) fn best_machine(
        &self,
        entry: EntryKey,
        job: &Job,
        now: Timestamp,
    ) -> Result<&Machine, MachineRejection> {
        let reserved = self.reserved_machine(entry, job, now);
        let search = MachineSearch::new(self, entry, job, now);
        let with_image_only = reserved.is_some();
        let best = self.capacity_index.best_machine(
            &job.spec,
            with_image_only,
            |name| self.machines.get(name),
            |machine| search.is_suitable(machine),
            |machine| score(job, machine),
        );
        best.or(reserved.filter(|machine| search.is_suitable(machine)))
            .ok_or_else(|| search.closest_rejection())
    }

    /// Whether running tasks will leave room for all waiting tasks of an array on machines that have its
    /// image before another machine could have fetched it.
    fn frees_up_sooner(&self, job: &Job, fetch_time: Duration, now: Timestamp) -> bool {
        let mut ending_tasks = 0;
        let with_image = self.capacity_index.machines_with_image(&job.spec.image);
        for machine in with_image.filter_map(|name| self.machines.get(name)) {
            if self.admits(job, machine, now) {
                // Best-effort tasks may run for minutes: they leave when stopped, not by themselves.
                ending_tasks += machine.regular_count() - machine.replica_count;
            }
        }
        let estimate_ms = job.spec.estimate.whole_millis().max(MIN_ESTIMATE_MS);
        job.waiting_count() * estimate_ms * ESTIMATE_SAFETY_FACTOR
            < ending_tasks * fetch_time.whole_millis()
    }

    /// Whether the team's limit leaves room for so many more tasks of the job.
    pub(crate) fn fits_quota_now(&self, job: &Job, tasks: u64) -> bool {
        self.teams
            .get(&job.spec.team)
            .is_some_and(|team| (team.used + job.spec.needs.times(tasks)).fits_quota(&team.limit))
    }

    /// How many of a job's tasks are placed in each zone; empty if the job's zones do not matter.
    pub(crate) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<ZoneName, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            for placement in job.placed.values() {
                if let Some(machine) = self.machines.get(&placement.machine) {
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        zones
    }
}

/// Whether a task of a job may run in a zone by the job's `one_zone` and `spread`, given its tasks in each
/// zone.
pub(crate) fn zone_allowed(job: &Job, zone: &ZoneName, zones: &BTreeMap<ZoneName, u32>) -> bool {
    let one_zone_allows = !job.spec.one_zone || zones.keys().all(|used| used == zone);
    let spread_allows =
        !job.spec.spread || zones.get(zone).copied().unwrap_or(0) < job.spec.zone_limit();
    one_zone_allows && spread_allows
}

/// How long the machine would fetch the job's image; zero if it has it.
pub(crate) fn fetch_time(job: &Job, machine: &Machine) -> Duration {
    if machine.has_image(&job.spec.image) {
        return Duration::ZERO;
    }
    uncached_fetch_time(job, machine)
}

/// How long the machine takes to fetch the job's image if it lacks it.
pub(crate) fn uncached_fetch_time(job: &Job, machine: &Machine) -> Duration {
    let seconds = job.spec.image_gb / machine.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// How well a machine suits a task. The least score is the best; fields are compared in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Score {
    /// Time to fetch the image.
    fetch_ms: u64,
    /// Spot machines come first for work that may use them, as they are cheap.
    is_on_demand: bool,
    /// Machines with the most replicas come first, see [`score`].
    replicas_below_max: u64,
    /// GPUs and CPUs that would be left free: the fullest machine comes first.
    milli_gpus_left: u64,
    milli_cpus_left: u64,
}

/// The score of a machine for a task of a job.
///
/// Replicas stay long and keep their machine from being returned, so they go where most replicas are. Tasks
/// of arrays fill the gaps beside them, so that machines without replicas become idle and can be returned.
pub(crate) fn score(job: &Job, machine: &Machine) -> Score {
    let left = machine.free().saturating_sub(&job.spec.needs);
    let max_replicas = match job.spec.kind {
        JobKind::Service => MAX_RANKED_REPLICAS,
        JobKind::Array | JobKind::Gang => 1,
    };
    Score {
        fetch_ms: fetch_time(job, machine).whole_millis(),
        is_on_demand: !machine.spot,
        replicas_below_max: MAX_RANKED_REPLICAS - machine.replica_count.min(max_replicas),
        milli_gpus_left: left.milli_gpus,
        milli_cpus_left: left.milli_cpus,
    }
}
