//! The scheduling cycle: takes one entry from the queue and places it on the best machine, or records why
//! it cannot be placed.
//!
//! The controller that leads the partition calls [`PartitionState::run_cycles`] in its steps.

use crate::capacity_index::MAX_RANKED_REPLICAS;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use crate::rejection::MachineRejection;
use crate::suitability::MachineSearch;
use model::DurationExt;
use model::{JobId, JobKind, TaskId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// For how long after a job found no free capacity best-effort tasks leave new free capacity to it.
/// Longer than its longest default backoff (1 s), so that the job is tried again within this time.
const UNPLACED_PRECEDENCE: Duration = Duration::from_millis(1_500);

/// Interval at which the capacity index is brought in line with the machines that are usable now.
const INDEX_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// A task is preempted on another machine to avoid an image fetch only if the fetch takes at least this long.
const MIN_FETCH_TIME_SAVED: Duration = Duration::from_millis(500);

/// A job's waiting tasks are assumed to run for this multiple of its estimate, since estimates are often
/// wrong by half.
const ESTIMATE_SAFETY_FACTOR: u64 = 2;

/// Lower bound on a job's estimate when predicting how soon its tasks free capacity (ms).
const MIN_ESTIMATE_MS: u64 = 1_000;

/// Lower bound on a machine's fetch rate, in GB per second: the time to fetch an image is divided by it.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// Why an entry was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementFailure {
    /// The team's limit leaves no room for it.
    LimitReached,
    /// No suitable machine has enough free capacity.
    NoFreeCapacity,
    /// A machine has free capacity but not the image, and machines that have the image are expected to
    /// have free capacity before it could be fetched.
    WaitForCachedImage,
}

/// Jobs that could not be placed in the current call of [`PartitionState::run_cycles`]. All tasks of a job
/// have the same requirements: if one could not be placed, neither can the others.
#[derive(Debug, Default)]
struct FailedJobs {
    failures: HashMap<JobId, PlacementFailure>,
    /// Jobs for which no preemption makes room.
    not_helped_by_preemption: HashSet<JobId>,
}

impl PartitionState {
    /// Runs cycles until the active queue is empty or `max_cycles` entries have been tried. Returns whether
    /// the active queue still has entries.
    pub fn run_cycles(&mut self, now: Timestamp, max_cycles: usize) -> bool {
        self.refresh_capacity_index(now);
        let preempt = self.policy.preempt && self.update_inventory_known(now);
        self.refresh_guarantees();
        self.queue.flush(now);
        self.queue_probes(now);
        self.last_unplaced_at
            .retain(|_, failed_at| now.duration_since(*failed_at) <= UNPLACED_PRECEDENCE);
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

    /// Tries to place an entry. A task without a reservation is not tried if its job has failed in this run.
    fn try_entry(
        &mut self,
        entry: EntryKey,
        failed_jobs: &FailedJobs,
        now: Timestamp,
    ) -> Result<(), PlacementFailure> {
        match (entry, failed_jobs.failures.get(&entry.job())) {
            (EntryKey::Task(_), Some(failure)) if !self.reservations.contains_key(&entry) => {
                Err(*failure)
            }
            (EntryKey::Task(task), _) => self.try_task(task, now),
            (EntryKey::Gang(job), _) => self.try_gang(job, now),
        }
    }

    /// Reserves machines for a gang that could not be placed, preempts other tasks for a task that could
    /// not, and returns the entry to the queue as failed.
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
        if failed_jobs.failures.insert(job, failure).is_none() {
            tracing::debug!(%job, reason = ?failure, "placement failed");
        }
        if failure == PlacementFailure::NoFreeCapacity {
            self.record_unplaced(job, now);
        }
        let preemption_may_help = failure != PlacementFailure::WaitForCachedImage
            && !failed_jobs.not_helped_by_preemption.contains(&job);
        if preempt && preemption_may_help && !self.preempt_for(entry, failure, now) {
            failed_jobs.not_helped_by_preemption.insert(job);
        }
        self.queue.record_failure(entry, now);
    }

    /// Removes machines that are not usable now from the capacity index, and adds those that are usable
    /// again.
    fn refresh_capacity_index(&mut self, now: Timestamp) {
        if now.duration_since(self.capacity_index_refreshed_at) < INDEX_REFRESH_INTERVAL {
            return;
        }
        self.capacity_index_refreshed_at = now;
        let heartbeat_timeout = self.heartbeat_timeout();
        for machine in self.machines.values_mut() {
            match (machine.usable(now, heartbeat_timeout), machine.capacity_key) {
                (true, None) => self.capacity_index.add_or_update(machine),
                (false, Some(_)) => self.capacity_index.remove(machine),
                _ => {}
            }
        }
    }

    /// Places a task on the best machine. If that machine would have to fetch the image, the task may instead
    /// wait for a machine that has it, or preempt tasks elsewhere if that costs less than the fetch.
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
            && self.cached_image_is_sooner(job, fetch_time, now)
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

    /// The machine on which capacity is reserved for an entry, if the machine still admits its job.
    fn reserved_machine(&self, entry: EntryKey, job: &Job, now: Timestamp) -> Option<&Machine> {
        let machine = self.machines.get(&self.reservations.get(&entry)?.machine)?;
        self.admits(job, machine, now).then_some(machine)
    }

    /// The best suitable machine for a task. A task with a reservation goes to its reserved machine, or to
    /// another one that has its image. If no machine is suitable, returns why the one that came closest to
    /// being suitable was rejected.
    pub(crate) fn best_machine(
        &self,
        entry: EntryKey,
        job: &Job,
        now: Timestamp,
    ) -> Result<&Machine, MachineRejection> {
        let reserved = self.reserved_machine(entry, job, now);
        let search = MachineSearch::new(self, entry, job, now);
        let image_cached_only = reserved.is_some();
        let best = self.capacity_index.best_machine(
            &job.spec,
            image_cached_only,
            |name| self.machines.get(name),
            |machine| search.is_suitable(machine),
            |machine| score(job, machine),
        );
        best.or(reserved.filter(|machine| search.is_suitable(machine)))
            .ok_or_else(|| search.closest_rejection())
    }

    /// Whether tasks that run on machines with the image of an array are expected to free capacity for all of
    /// its waiting tasks before another machine could fetch the image.
    fn cached_image_is_sooner(&self, job: &Job, fetch_time: Duration, now: Timestamp) -> bool {
        let mut ending_tasks = 0;
        let with_image = self.capacity_index.machines_with_image(&job.spec.image);
        for machine in with_image.filter_map(|name| self.machines.get(name)) {
            if self.admits(job, machine, now) {
                // Best-effort tasks are not counted: they may run for minutes and end early only when
                // stopped. Replicas of services do not end by themselves.
                ending_tasks += machine.regular_count() - machine.replica_count;
            }
        }
        let estimate_ms = job
            .spec
            .estimated_run_time
            .whole_millis()
            .max(MIN_ESTIMATE_MS);
        job.waiting_count() * estimate_ms * ESTIMATE_SAFETY_FACTOR
            < ending_tasks * fetch_time.whole_millis()
    }

    /// Whether the team's limit leaves room for this many more tasks of the job, reservations not counted.
    pub(crate) fn fits_quota_now(&self, job: &Job, tasks: u64) -> bool {
        self.teams.get(&job.spec.team).is_some_and(|team| {
            (team.used + job.spec.task_resources.times(tasks)).fits_quota(&team.limit)
        })
    }

    /// The number of a job's placed tasks in each zone; empty for a job that neither has to run in one zone
    /// nor to be spread.
    pub(crate) fn tasks_by_zone(&self, job: &Job) -> BTreeMap<ZoneName, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread_over_zones {
            for placement in job.placed.values() {
                if let Some(machine) = self.machines.get(&placement.machine) {
                    *tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        tasks_by_zone
    }
}

/// How long the machine would take to fetch the job's image; zero if the image is cached.
pub(crate) fn fetch_time(job: &Job, machine: &Machine) -> Duration {
    if machine.has_image(&job.spec.image) {
        return Duration::ZERO;
    }
    uncached_fetch_time(job, machine)
}

/// How long the machine takes to fetch the job's image when the image is not cached.
pub(crate) fn uncached_fetch_time(job: &Job, machine: &Machine) -> Duration {
    let seconds = job.spec.image_gb / machine.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
    Duration::from_millis((seconds * 1000.0) as u64)
}

/// How well a machine suits a task; the lowest score is the best. Fields are compared from first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Score {
    /// Time to fetch the image.
    fetch_ms: u64,
    /// Spot machines come first for work that may use them, as they are cheaper.
    is_on_demand: bool,
    /// How far the counted replicas are below [`MAX_RANKED_REPLICAS`]: machines with most replicas come
    /// first, see [`score`].
    replicas_below_max: u64,
    /// GPUs and CPUs that the task would leave free: the fullest machine comes first.
    milli_gpus_left: u64,
    milli_cpus_left: u64,
}

/// The score of a machine for a task of a job.
///
/// Replicas of services run for long and keep their machine from being returned to the cloud, so they are
/// placed where most replicas are. Tasks of arrays and gangs are placed on machines with any replica first,
/// so that machines without replicas become idle and can be returned.
pub(crate) fn score(job: &Job, machine: &Machine) -> Score {
    let left = machine.free().saturating_sub(&job.spec.task_resources);
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
