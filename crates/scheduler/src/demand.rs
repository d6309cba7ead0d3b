//! What the share lacks and what it could spare.

use crate::colocation::{beside, colocation_capacity};
use crate::cycle::zone_allowed;
use crate::job::Job;
use crate::machine::{Machine, PendingTransfer};
use crate::partition_state::PartitionState;
use crate::queue_entry::EntryKey;
use model::DurationExt;
use model::{
    JobId, JobKind, MachineName, PartitionId, Priority, Resources, TeamName, Timestamp, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use wire::mesh::{DemandShape, MachineStatus};

/// Waiting entries of a job that its explanation names, the first ones.
const EXPLAINED_ENTRIES: usize = 3;

/// How long a machine that is to be handed over is kept free for that.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(40);

/// Room on a machine while it is dealt out.
struct FreeCapacity<'a> {
    machine: &'a Machine,
    free: Resources,
    /// What best-effort tasks take; they give way to other work.
    cleared: Resources,
}

impl FreeCapacity<'_> {
    fn how_many_fit(&self, job: &Job) -> u64 {
        let cleared = if job.spec.is_best_effort() {
            Resources::default()
        } else {
            self.cleared
        };
        colocation_capacity(job, self.machine, self.free + cleared)
    }

    fn take(&mut self, taken: Resources) {
        self.cleared -= taken.saturating_sub(&self.free);
        self.free -= taken;
    }
}

/// What the tasks of each team take that would be stopped for its own work of higher priority: a team's
/// limit leaves room for that even where they take all of it.
struct Stoppable<'a>(BTreeMap<(&'a TeamName, Priority), Resources>);

impl<'a> Stoppable<'a> {
    fn of(share: &'a PartitionState) -> Self {
        let mut sums: BTreeMap<(&TeamName, Priority), Resources> = BTreeMap::new();
        let stops = |job: &&Job| share.policy.preempt && job.spec.kind != JobKind::Gang;
        for job in share.jobs.values().filter(stops) {
            let taken = job.spec.needs.times(job.placed.len() as u64);
            *sums.entry((&job.spec.team, job.spec.priority)).or_default() += taken;
        }
        Stoppable(sums)
    }

    /// Takes room for so many tasks of a job, the lowest first; how many it was.
    fn take(&mut self, share: &PartitionState, job: &Job, tasks: u64) -> u64 {
        if tasks == 0 || share.stops_for(job) != Some(false) {
            return 0;
        }
        let per = Resources {
            memory_mb: 0,
            ..job.spec.needs
        };
        let mut taken = 0;
        for ((team, priority), amount) in &mut self.0 {
            if **team == job.spec.team && *priority < job.spec.priority {
                let here = amount.how_many_fit(&per).min(tasks - taken);
                *amount -= per.times(here);
                taken += here;
            }
        }
        taken
    }
}

impl PartitionState {
    /// Waiting work that its team's limit would let start, by shape.
    /// What fits into the room there is will be placed soon and is no demand.
    pub fn demand(&self, now: Timestamp) -> Vec<DemandShape> {
        let mut waiting: BTreeMap<(bool, u64, JobId), u64> = BTreeMap::new();
        for key in self.queue.keys() {
            let job = key.job();
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let tasks = match key {
                EntryKey::Task(_) => 1,
                EntryKey::Gang(_) => u64::from(entry.spec.tasks),
            };
            let last = entry.is_best_effort();
            *waiting.entry((last, entry.order, job)).or_default() += tasks;
        }
        let least = waiting.keys().filter_map(|(_, _, id)| self.jobs.get(id));
        let least = least
            .map(|job| job.spec.needs.milli_cpus)
            .min()
            .unwrap_or(0);
        // Machines that are full for all that waits are not looked at job by job.
        let mut free: Vec<FreeCapacity> = self
            .machines
            .values()
            .filter(|m| m.usable(now, self.heartbeat_timeout()))
            .map(|m| FreeCapacity {
                machine: m,
                free: m.free(),
                cleared: self.clearable(m, now),
            })
            .filter(|room| (room.free + room.cleared).milli_cpus >= least)
            .collect();
        let mut absorbed = self.turnover();
        let mut beside = Stoppable::of(self);
        let mut room: HashMap<TeamName, Resources> = HashMap::new();
        let mut shapes: Vec<DemandShape> = Vec::new();
        for ((last, _, id), tasks) in waiting {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(team) = self.teams.get(&job.spec.team) else {
                continue;
            };
            let left = room
                .entry(job.spec.team.clone())
                .or_insert_with(|| team.limit.saturating_sub(&(team.used + team.held)));
            let per = Resources {
                memory_mb: 0,
                ..job.spec.needs
            };
            let foothold = last && job.stranded && job.placed.is_empty();
            // Those who wait for machines that run already need no others.
            if job.spec.kind == JobKind::Gang && self.reservation_is_near(id, now) {
                continue;
            }
            let wanted = tasks.min(if foothold { 1 } else { u64::MAX });
            let tasks = wanted.min(left.how_many_fit(&per));
            // What gangs need of the limit is kept with their machines.
            if job.spec.kind != JobKind::Gang {
                *left -= per.times(tasks);
            }
            let tasks = tasks + beside.take(self, job, wanted - tasks);
            let (here, zone) = self.place_waiting_tasks(job, tasks, &mut free, now);
            let mut tasks = tasks - here;
            if !job.guaranteed && job.spec.kind == JobKind::Array {
                let soon = tasks.min(absorbed.how_many_fit(&per));
                absorbed -= per.times(soon);
                tasks -= soon;
            }
            if tasks == 0 {
                continue;
            }
            let priority = if foothold {
                Priority::Normal
            } else {
                job.spec.priority
            };
            let urgent = if job.guaranteed || job.spec.estimate.whole_millis() == 0 {
                tasks
            } else {
                0
            };
            let whole = job.spec.one_zone && job.placed.is_empty();
            let gang = if whole { u64::from(job.spec.tasks) } else { 0 };
            let same = shapes.iter_mut().find(|s| {
                s.milli_cpus == per.milli_cpus
                    && s.milli_gpus == per.milli_gpus
                    && s.memory_mb == job.spec.needs.memory_mb
                    && s.types == job.spec.types
                    && s.zone == zone
                    && s.spot == job.spec.spot
                    && s.priority == priority
                    && s.gang + gang == 0
                    && (s.estimate_ms == 0) == (job.spec.estimate.whole_millis() == 0)
            });
            match same {
                Some(shape) => {
                    shape.tasks += tasks;
                    shape.urgent += urgent;
                    shape.estimate_ms = shape.estimate_ms.max(job.spec.estimate.whole_millis());
                }
                None => shapes.push(DemandShape {
                    milli_cpus: per.milli_cpus,
                    milli_gpus: per.milli_gpus,
                    memory_mb: job.spec.needs.memory_mb,
                    types: job.spec.types.clone(),
                    zone,
                    spot: job.spec.spot,
                    tasks,
                    urgent,
                    estimate_ms: job.spec.estimate.whole_millis(),
                    priority,
                    gang,
                }),
            }
        }
        shapes
    }

    /// What running array tasks free within the time of the policy. A team at its limit takes its own
    /// freed room again.
    fn turnover(&self) -> Resources {
        let mut freed = Resources::default();
        for job in self.jobs.values() {
            if job.spec.kind != JobKind::Array || !self.fits_quota_now(job, 1) {
                continue;
            }
            let lasts = job.spec.estimate.whole_millis().max(1_000);
            let running = job.placed.len() as u64;
            let part = |each: u64| {
                (running * each * self.policy.absorb.whole_millis() / lasts).min(running * each)
            };
            let needs = job.spec.needs;
            freed += Resources {
                milli_cpus: part(needs.milli_cpus),
                milli_gpus: part(needs.milli_gpus),
                memory_mb: 0,
            };
        }
        freed
    }

    /// How many of a job's waiting tasks fit into what is free, which they then take, and the
    /// zone in which room for the others is to be found if it matters.
    fn place_waiting_tasks(
        &self,
        job: &Job,
        tasks: u64,
        free: &mut [FreeCapacity],
        now: Timestamp,
    ) -> (u64, Option<String>) {
        let needs = job.spec.needs;
        let mut zones = self.zones_of(job);
        let mut here = 0;
        let constrained = job.spec.one_zone || job.spec.spread;
        let held = self
            .gang_reservations
            .get(&job.spec.id)
            .and_then(|hold| hold.machines.keys().next());
        let held = held
            .and_then(|name| self.machines.get(name))
            .map(|m| m.zone.clone());
        if job.spec.one_zone && zones.is_empty() {
            // The zone that is nearest to holding it all is where the rest should come from.
            let mut sums: BTreeMap<&ZoneName, u64> = BTreeMap::new();
            for room in free
                .iter()
                .filter(|room| self.admits(job, room.machine, now))
            {
                *sums.entry(&room.machine.zone).or_default() += room.how_many_fit(job);
            }
            let best = sums
                .into_iter()
                .max_by_key(|(_, n)| *n)
                .map(|(z, _)| z.clone());
            if let Some(zone) = held.or(best).or_else(|| self.zones.first().cloned()) {
                zones.insert(zone, 0);
            }
        }
        let before = self.gangs_with_precedence(job, now);
        for room in free.iter_mut() {
            let machine = room.machine;
            if here == tasks {
                break;
            }
            if room.how_many_fit(job) == 0
                || !self.admits(job, machine, now)
                || self.is_reserved_from(job, machine, now)
                || self.is_left_to_gangs(&before, machine, now)
                || !zone_allowed(job, &machine.zone, &zones)
            {
                continue;
            }
            let used = zones.get(&machine.zone).copied().unwrap_or(0);
            let cap = if job.spec.spread {
                u64::from(job.spec.zone_limit().saturating_sub(used))
            } else {
                u64::MAX
            };
            let fits = room.how_many_fit(job).min(tasks - here).min(cap);
            room.take(needs.times(fits));
            here += fits;
            if constrained {
                *zones.entry(machine.zone.clone()).or_default() += fits as u32;
            }
        }
        let zone = match (&job.spec.zone, constrained) {
            (Some(zone), _) => Some(zone.clone()),
            (None, true) if job.spec.one_zone => zones.keys().next().cloned(),
            (None, true) => self
                .zones
                .iter()
                .min_by_key(|zone| zones.get(*zone).copied().unwrap_or(0))
                .cloned(),
            (None, false) => None,
        };
        (here, zone.map(|z| z.to_string()))
    }

    /// Where a job stands and why it waits.
    pub fn explain(&self, id: JobId, now: Timestamp) -> Option<String> {
        let job = self.jobs.get(&id)?;
        let mut entries: Vec<EntryKey> = self.queue.keys().filter(|key| key.job() == id).collect();
        entries.sort_unstable();
        let waiting: Vec<String> = entries
            .into_iter()
            .take(EXPLAINED_ENTRIES)
            .filter_map(|key| {
                let (which, failures) = self.queue.location(key)?;
                Some(format!("{which} after {failures} failures"))
            })
            .collect();
        let reason = if !self.fits_quota_now(job, 1) {
            "the team's limit is reached"
        } else {
            ""
        };
        let gang = self.explain_gang(job, now);
        let stopping = job.placed.values().filter(|p| p.stop.is_some()).count();
        Some(format!(
            "{} done, {} placed ({} running, {stopping} stopping) of {}; \
             cancelled: {}, ending: {}, guaranteed: {}; queued: [{}] {reason}{gang}",
            job.done_count(),
            job.placed.len(),
            job.running_count(),
            job.spec.tasks,
            job.cancelled,
            job.finishing,
            job.guaranteed,
            waiting.join(", "),
        ))
    }

    /// A line for the log: how full the share is and what waits.
    pub fn log_summary(&self, partition: model::PartitionId, now: Timestamp) {
        let (mut up, mut spot, mut capacity, mut used, mut fetching) = (0, 0, 0, 0, 0);
        let (mut gpus, mut gpus_used) = (0, 0);
        for machine in self
            .machines
            .values()
            .filter(|m| m.usable(now, self.heartbeat_timeout()))
        {
            up += 1;
            spot += u32::from(machine.spot);
            capacity += machine.capacity.milli_cpus / 1000;
            used += machine.used.milli_cpus / 1000;
            gpus += machine.capacity.milli_gpus / 1000;
            gpus_used += machine.used.milli_gpus / 1000;
        }
        for placement in self.jobs.values().flat_map(|job| job.placed.values()) {
            fetching +=
                u32::from(placement.last_status == Some(wire::workers::TaskState::Fetching));
        }
        let wanted: u64 = self.demand(now).iter().map(|shape| shape.tasks).sum();
        tracing::debug!(
            %partition,
            machines = self.machines.len(),
            up,
            spot,
            capacity,
            used,
            gpus,
            gpus_used,
            fetching,
            wanted,
            pending = ?self.queue.pending().map(|(_, n)| n),
            "share"
        );
    }

    /// Machines with GPUs that the guaranteed work of the share could do without, those with least of it
    /// first. They are few and large, and hardly one runs nothing that is guaranteed: a partition whose
    /// own such work was not within its guarantee got none of them for seven minutes.
    fn spare_gpu_machines(&self) -> BTreeSet<&MachineName> {
        let gpus = |job: &Job, tasks: u64| job.spec.needs.milli_gpus * tasks;
        let needed: u64 = self
            .jobs
            .values()
            .filter(|job| job.guaranteed && !job.cancelled)
            .map(|job| gpus(job, job.placed.len() as u64 + job.waiting()))
            .sum();
        let guaranteed = |machine: &Machine| -> u64 {
            let jobs = machine
                .tasks
                .iter()
                .filter_map(|task| self.jobs.get(&task.job));
            jobs.filter(|job| job.guaranteed)
                .map(|job| gpus(job, 1))
                .sum()
        };
        let mut machines: Vec<(u64, &Machine)> = self
            .machines
            .values()
            .filter(|m| m.capacity.milli_gpus > 0)
            .map(|m| (guaranteed(m), m))
            .collect();
        machines.sort_by_key(|(guaranteed, m)| (*guaranteed, &m.name));
        let all: u64 = machines.iter().map(|(_, m)| m.capacity.milli_gpus).sum();
        let mut spare = all.saturating_sub(needed);
        let least = |(_, m): &(u64, &'_ Machine)| {
            let fits = m.capacity.milli_gpus <= spare;
            spare -= if fits { m.capacity.milli_gpus } else { 0 };
            fits
        };
        machines
            .into_iter()
            .take_while(least)
            .map(|(_, m)| &m.name)
            .collect()
    }

    /// Whether nothing on the machine would be missed by a guarantee, or by users who want their
    /// replicas where they are.
    fn is_transferable(
        &self,
        machine: &Machine,
        spare_gpus: &BTreeSet<&MachineName>,
        now: Timestamp,
    ) -> bool {
        machine.pinned == 0
            && !self.is_reserved_for_gangs(machine, now)
            && (spare_gpus.contains(&machine.name) || self.runs_no_guarantee(machine))
    }

    fn runs_no_guarantee(&self, machine: &Machine) -> bool {
        machine.tasks.iter().all(|task| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| !job.guaranteed && job.spec.kind == JobKind::Array)
        })
    }

    /// Marks machines to be handed to another partition as they empty, until there are `count`
    /// of them; first those with best-effort work only, which is sent away, then those that will
    /// be empty soonest.
    pub fn request_transfers(
        &mut self,
        to: PartitionId,
        count: usize,
        shape: &DemandShape,
        now: Timestamp,
    ) {
        let needs = Resources {
            milli_cpus: shape.milli_cpus,
            milli_gpus: shape.milli_gpus,
            memory_mb: shape.memory_mb,
        };
        let spare = self.spare_gpu_machines();
        let under_way = |m: &&Machine| m.pending_transfer.is_some_and(|c| c.to == to);
        let missing = count.saturating_sub(self.machines.values().filter(under_way).count());
        let suits = |m: &&Machine| {
            m.usable(now, self.heartbeat_timeout())
                && shape.suits(&m.machine_type, m.zone.as_str(), m.spot)
                && m.capacity.how_many_fit(&needs) > 0
                && self.is_transferable(m, &spare, now)
        };
        let ends = |m: &Machine| {
            let left = m.tasks.iter().filter_map(|task| {
                // What runs beside GPU work is stopped once that is over.
                let job = self.jobs.get(&task.job).filter(|job| !beside(m, job))?;
                let placement = job.placed.get(&task.index)?;
                Some((placement.placed_at + job.spec.estimate).duration_since(now))
            });
            left.max().unwrap_or(Duration::ZERO)
        };
        let mut machines: Vec<(bool, Duration, MachineName)> = self
            .machines
            .values()
            .filter(suits)
            .map(|m| (!self.only_best_effort(m, now), ends(m), m.name.clone()))
            // One that runs for longer would only stand half empty meanwhile.
            .filter(|(regular, ends, _)| !regular || *ends <= TRANSFER_TIMEOUT)
            .collect();
        machines.sort_unstable();
        for (regular, _, name) in machines.into_iter().take(missing) {
            let Some(machine) = self.machines.get_mut(&name) else {
                continue;
            };
            tracing::debug!(machine = %name, %to, tasks = machine.tasks.len(), "to be handed over once empty");
            machine.pending_transfer = Some(PendingTransfer {
                to,
                until: now + TRANSFER_TIMEOUT,
            });
            if !regular {
                let tasks = machine.tasks.iter().copied().collect();
                self.clear_best_effort(tasks, now);
            }
        }
    }

    /// Machines that are empty and to be handed over.
    pub fn machines_ready_for_transfer(
        &mut self,
        now: Timestamp,
    ) -> Vec<(MachineName, PartitionId)> {
        let mut ready = Vec::new();
        for machine in self.machines.values_mut() {
            let Some(transfer_to) = machine.pending_transfer else {
                continue;
            };
            if transfer_to.until <= now {
                tracing::debug!(machine = %machine.name, to = %transfer_to.to, tasks = machine.tasks.len(), "not empty in time: kept");
                machine.pending_transfer = None;
            } else if machine.tasks.is_empty() && !machine.leaving {
                ready.push((machine.name.clone(), transfer_to.to));
            }
        }
        ready
    }

    /// The share's machines for the leader.
    pub fn machine_statuses(&self, now: Timestamp) -> Vec<MachineStatus> {
        let spare = self.spare_gpu_machines();
        self.machines
            .values()
            .map(|m| MachineStatus {
                machine: m.name.to_string(),
                tasks: m.tasks.len() as u32,
                // What is kept for a gang is not idle.
                idle_ms: if m.tasks.is_empty() && !self.is_reserved_for_gangs(m, now) {
                    now.duration_since(m.idle_since).whole_millis()
                } else {
                    0
                },
                up: m.is_up(),
                quarantined: m.quarantined,
                since_heartbeat_ms: match m.last_seen_at {
                    Some(at) => now
                        .duration_since(at.max(self.running_since))
                        .whole_millis(),
                    None if m.replicated_endpoint.is_some() => now
                        .duration_since(self.leading_since.max(self.running_since))
                        .whole_millis(),
                    None => 0,
                },
                transferable: self.is_transferable(m, &spare, now),
                best_effort: self.only_best_effort(m, now),
                transfer_to: m.pending_transfer.map(|c| c.to.0),
            })
            .collect()
    }
}
