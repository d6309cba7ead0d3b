//! The scheduling cycle: one entry of the queue is tried on the share's machines.

use crate::capacity_index::MAX_RANKED_REPLICAS;
use crate::colocation::colocation_capacity;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::DurationExt;
use model::{JobId, JobKind, MachineName, TaskId, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// How long freed room is left to a job that found none: its backoff lasts as long at most.
const UNPLACED_PRECEDENCE: Duration = Duration::from_millis(1_500);

/// Time between two looks at which machines take anything at all.
const INDEX_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Fetches that take less are not worth stopping a task elsewhere for.
const MIN_FETCH_TIME_SAVED: Duration = Duration::from_millis(500);

/// Why an entry found no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementFailure {
    /// The team's limit is reached.
    Quota,
    /// No usable machine has room.
    Room,
    /// Room there is, but machines with the image will have some before it could be fetched.
    Image,
}

impl PartitionState {
    /// Runs both flushes and then cycles until the active heap is empty or `most` entries
    /// have been tried. True if entries are left.
    pub fn run_cycles(&mut self, now: Timestamp, most: usize) -> bool {
        self.refresh_capacity_index(now);
        let preempt = self.policy.preempt && self.update_inventory_known(now);
        self.refresh_guarantees();
        self.queue.flush(now);
        self.queue_probes(now);
        self.unplaced_since
            .retain(|_, at| now.duration_since(*at) <= UNPLACED_PRECEDENCE);
        self.expire_reservations(now);
        self.renew_reservations(now);
        self.update_waiting_gangs();
        self.update_reserved_limits();
        // Tasks of one job are alike: where one has found no place just now, the next will not.
        let mut placeless: HashMap<JobId, PlacementFailure> = HashMap::new();
        let mut helpless: HashSet<JobId> = HashSet::new();
        for _ in 0..most {
            let Some(entry) = self.queue.pop() else {
                return false;
            };
            let placed = match (entry, placeless.get(&entry.job())) {
                (EntryKey::Task(_), Some(why)) if !self.reservations.contains_key(&entry) => {
                    Err(*why)
                }
                (EntryKey::Task(task), _) => self.try_task(task, now),
                (EntryKey::Gang(job), _) => self.try_gang(job, now),
            };
            match placed {
                Ok(()) => {
                    self.queue.scheduled(entry);
                    self.cancel_reservation(&entry);
                    self.enqueue(entry.job());
                }
                Err(why) => {
                    if let EntryKey::Gang(job) = entry {
                        self.reserve_for_gang(job, why, preempt, now);
                    }
                    if placeless.insert(entry.job(), why).is_none() {
                        tracing::debug!(job = %entry.job(), ?why, "no place");
                    }
                    if why == PlacementFailure::Room {
                        self.record_unplaced(entry.job(), now);
                    }
                    let tried = helpless.contains(&entry.job()) || why == PlacementFailure::Image;
                    if preempt && !tried && !self.preempt_for(entry, why, now) {
                        helpless.insert(entry.job());
                    }
                    self.queue.failed(entry, now);
                }
            }
        }
        self.queue.has_active()
    }

    /// Takes machines out of the index that take nothing at present, and others in.
    fn refresh_capacity_index(&mut self, now: Timestamp) {
        if now.duration_since(self.sorted_at) < INDEX_REFRESH_INTERVAL {
            return;
        }
        self.sorted_at = now;
        let heartbeat_grace = self.heartbeat_timeout();
        for machine in self.machines.values_mut() {
            match (machine.usable(now, heartbeat_grace), machine.place) {
                (true, None) => self.capacity_index.enter(machine),
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
            return Err(PlacementFailure::Quota);
        }
        let reserved = self.reserved_machine(entry, job, now).is_some();
        let machine = self
            .place_for(entry, job, now)
            .ok_or(PlacementFailure::Room)?;
        let fetch = fetch_time(job, machine);
        let name = machine.name.clone();
        if fetch > Duration::ZERO
            && job.spec.kind == JobKind::Array
            && self.frees_up_sooner(job, fetch, now)
        {
            return Err(PlacementFailure::Image);
        }
        let stops = self.policy.preempt && self.inventory_known && self.stops_for(job).is_some();
        if fetch >= MIN_FETCH_TIME_SAVED && !reserved && stops {
            let stops = self.cheapest_preemption(
                entry,
                job,
                PlacementFailure::Room,
                Some(fetch.whole_millis()),
                now,
            );
            if let Some(stops) = stops {
                self.execute_preemption(entry, stops, PlacementFailure::Room, now);
                return Err(PlacementFailure::Room);
            }
        }
        let attempt = self.new_attempt();
        self.place(task, &name, attempt, now);
        Ok(())
    }

    /// Where room is being made for an entry, if it may still go there.
    fn reserved_machine(&self, entry: EntryKey, job: &Job, now: Timestamp) -> Option<&Machine> {
        let machine = self.machines.get(&self.reservations.get(&entry)?.machine)?;
        self.admits(job, machine, now).then_some(machine)
    }

    /// The best machine with room for a task. Where room is being made for it, the task waits for
    /// that, or takes another place with its image.
    pub(crate) fn place_for(&self, entry: EntryKey, job: &Job, now: Timestamp) -> Option<&Machine> {
        let zones = self.zones_of(job);
        let reserved = self.reserved_machine(entry, job, now);
        let before = self.gangs_with_precedence(job, now);
        let fit = |m: &Machine| {
            colocation_capacity(job, m, self.free_capacity_for(entry, m)) > 0
                && self.admits(job, m, now)
                && zone_allowed(job, &m.zone, &zones)
                && !self.is_reserved_from(job, m, now)
                && !self.is_left_to_gangs(&before, m, now)
                && !self.left_to_others(job, m, now)
        };
        let find = |name: &MachineName| self.machines.get(name);
        let best = self
            .capacity_index
            .best(&job.spec, reserved.is_some(), find, fit, |m| score(job, m));
        best.or(reserved.filter(|m| fit(m)))
    }

    /// Whether running tasks will leave room for all that waits of an array on machines that
    /// have its image before another machine could have fetched it.
    fn frees_up_sooner(&self, job: &Job, fetch: Duration, now: Timestamp) -> bool {
        let mut turns_over = 0;
        let holders = self.capacity_index.holders(&job.spec.image);
        for machine in holders.filter_map(|name| self.machines.get(name)) {
            if self.admits(job, machine, now) {
                // Best-effort tasks may run for minutes: they leave when stopped, not by themselves.
                turns_over += machine.regular() - machine.pinned;
            }
        }
        // Estimates are often wrong by half.
        job.waiting() * job.spec.estimate.whole_millis().max(1_000) * 2
            < turns_over * fetch.whole_millis()
    }

    /// Whether the team's limit leaves room for so many more tasks of the job.
    pub(crate) fn fits_quota_now(&self, job: &Job, tasks: u64) -> bool {
        self.teams
            .get(&job.spec.team)
            .is_some_and(|team| (team.used + job.spec.needs.times(tasks)).fits_quota(&team.limit))
    }

    /// Filters that do not depend on the room left.
    pub(crate) fn admits(&self, job: &Job, machine: &Machine, now: Timestamp) -> bool {
        machine.usable(now, self.heartbeat_timeout())
            && job
                .spec
                .allows(&machine.machine_type, &machine.zone, machine.spot)
            && !(job.failed_on.contains(&machine.name)
                && job.failed_on.len() < self.machines.len().min(4))
            && self.may_linger(job, machine)
    }

    /// How many of a job's tasks each zone holds, gone or not proven gone.
    pub(crate) fn zones_of(&self, job: &Job) -> BTreeMap<ZoneName, u32> {
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

/// `together` and `spread`, given where the job's other tasks are.
pub(crate) fn zone_allowed(job: &Job, zone: &ZoneName, zones: &BTreeMap<ZoneName, u32>) -> bool {
    let together = !job.spec.one_zone || zones.keys().all(|used| used == zone);
    let spread = !job.spec.spread || zones.get(zone).copied().unwrap_or(0) < job.spec.zone_limit();
    together && spread
}

/// How long the machine would have to fetch the job's image.
pub(crate) fn fetch_time(job: &Job, machine: &Machine) -> Duration {
    if machine.has_image(&job.spec.image) {
        return Duration::ZERO;
    }
    image_fetch_time(job, machine)
}

/// How long the machine takes to fetch the job's image if it lacks it.
pub(crate) fn image_fetch_time(job: &Job, machine: &Machine) -> Duration {
    Duration::from_millis((job.spec.image_gb / machine.fetch_gb_per_s.max(0.01) * 1000.0) as u64)
}

/// The least score is taken: first the shortest image fetch, then cheap machines for work that
/// may use them. Replicas stay long and pin their machine, so they go where most replicas are;
/// arrays fill the gaps beside them, so that machines without replicas fall idle and can be
/// returned. Last, the fullest machine.
pub(crate) fn score(job: &Job, machine: &Machine) -> (u64, bool, u64, u64, u64) {
    let left = machine.free().saturating_sub(&job.spec.needs);
    let service = job.spec.kind == JobKind::Service;
    let replicas = machine
        .pinned
        .min(if service { MAX_RANKED_REPLICAS } else { 1 });
    (
        fetch_time(job, machine).whole_millis(),
        !machine.spot,
        MAX_RANKED_REPLICAS - replicas,
        left.milli_gpus,
        left.milli_cpus,
    )
}
