//! The estimate of demand: free capacity is allotted to waiting jobs one after the other, and the tasks that get
//! none are demand.

use crate::colocation::tasks_that_fit;
use crate::job::Job;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::preempt::PreemptionScope;
use crate::zones::zone_allowed;
use model::{DurationExt, JobKind, Priority, Resources, TeamName, Timestamp, ZoneName};
use std::collections::{BTreeMap, HashMap};
use wire::mesh::DemandShape;

/// Capacity of a machine that has not been allotted to waiting tasks yet.
struct FreeCapacity<'a> {
    machine: &'a Machine,
    free: Resources,
    /// Resources of best-effort tasks that would be preempted for other work.
    reclaimable: Resources,
}

impl FreeCapacity<'_> {
    /// How many tasks of a job fit into the remaining capacity.
    fn how_many_fit(&self, job: &Job) -> u64 {
        let reclaimable = if job.spec.is_best_effort() {
            Resources::default()
        } else {
            self.reclaimable
        };
        tasks_that_fit(job, self.machine, self.free + reclaimable)
    }

    /// Allots resources: free capacity first, then reclaimable capacity.
    fn allocate(&mut self, resources: Resources) {
        self.reclaimable -= resources.saturating_sub(&self.free);
        self.free -= resources;
    }
}

/// A team and a priority, to which a sum of usage belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TeamPriority<'a> {
    team: &'a TeamName,
    priority: Priority,
}

/// The resources that preemptible tasks use, by team and priority. These tasks would be preempted for their
/// own team's work of higher priority, which is therefore demand even if they use all of the team's limit.
struct PreemptibleUsage<'a>(BTreeMap<TeamPriority<'a>, Resources>);

impl<'a> PreemptibleUsage<'a> {
    fn new(partition: &'a PartitionState) -> Self {
        let mut usage: BTreeMap<TeamPriority, Resources> = BTreeMap::new();
        let is_preemptible =
            |job: &&Job| partition.policy.preempt && job.spec.kind != JobKind::Gang;
        for job in partition.jobs.values().filter(is_preemptible) {
            let key = TeamPriority {
                team: &job.spec.team,
                priority: job.spec.priority,
            };
            *usage.entry(key).or_default() +=
                job.spec.task_resources.times(job.placed.len() as u64);
        }
        PreemptibleUsage(usage)
    }

    /// Allots what the team's tasks of lower priority use to tasks of a job, the lowest priority first, and
    /// returns how many tasks there is room for.
    fn allot(&mut self, partition: &PartitionState, job: &Job, tasks: u64) -> u64 {
        if tasks == 0 || partition.preemption_scope(job) != Some(PreemptionScope::All) {
            return 0;
        }
        let needs = quota_needs(job);
        let mut allotted = 0;
        for (key, usage) in &mut self.0 {
            if *key.team == job.spec.team && key.priority < job.spec.priority {
                let count = usage.how_many_fit(&needs).min(tasks - allotted);
                *usage -= needs.times(count);
                allotted += count;
            }
        }
        allotted
    }
}

/// The result of allotting free capacity to waiting tasks of a job.
struct WaitingPlacement {
    /// Number of tasks that fit into free capacity.
    placed: u64,
    /// The zone in which machines for the other tasks have to be; `None` if any zone will do.
    zone: Option<ZoneName>,
}

/// Allots free capacity to waiting jobs one after the other and collects the tasks that get none as demand.
pub(crate) struct DemandEstimate<'a> {
    partition: &'a PartitionState,
    now: Timestamp,
    free: Vec<FreeCapacity<'a>>,
    /// Capacity that running array tasks are expected to free soon and that has not been allotted yet.
    soon_freed: Resources,
    preemptible: PreemptibleUsage<'a>,
    /// What is left of each team's limit.
    quota_left: HashMap<TeamName, Resources>,
    /// The demand so far.
    pub(crate) shapes: Vec<DemandShape>,
}

impl<'a> DemandEstimate<'a> {
    /// An estimate without demand. `min_milli_cpus` is the lowest CPU need of any waiting task: machines with
    /// less free capacity are left out, so that full machines are not checked for each job.
    pub(crate) fn new(partition: &'a PartitionState, min_milli_cpus: u64, now: Timestamp) -> Self {
        let free = partition
            .machines
            .values()
            .filter(|machine| machine.usable(now, partition.heartbeat_timeout()))
            .map(|machine| FreeCapacity {
                machine,
                free: machine.free(),
                reclaimable: partition.reclaimable_resources(machine, now),
            })
            .filter(|capacity| (capacity.free + capacity.reclaimable).milli_cpus >= min_milli_cpus)
            .collect();
        DemandEstimate {
            partition,
            now,
            free,
            soon_freed: partition.soon_freed_resources(),
            preemptible: PreemptibleUsage::new(partition),
            quota_left: HashMap::new(),
            shapes: Vec::new(),
        }
    }

    /// Allots free capacity to waiting tasks of a job and adds the tasks that get none to the demand.
    pub(crate) fn add_job(&mut self, job: &Job, waiting_tasks: u64) {
        // A gang whose reserved machines will be free soon needs no others.
        if job.spec.kind == JobKind::Gang
            && self
                .partition
                .is_gang_reservation_ready_soon(job.spec.id, self.now)
        {
            return;
        }
        let starved = job.starved && job.placed.is_empty();
        let wanted = if starved {
            waiting_tasks.min(1)
        } else {
            waiting_tasks
        };
        let Some(within_quota) = self.allot_quota(job, wanted) else {
            return;
        };
        let by_preemption = self
            .preemptible
            .allot(self.partition, job, wanted - within_quota);
        let startable = within_quota + by_preemption;
        let placement = self.place_waiting_tasks(job, startable);
        let unplaced = startable - placement.placed;
        let tasks = unplaced - self.allot_soon_freed(job, unplaced);
        if tasks > 0 {
            self.add_shape(demand_shape(job, tasks, placement.zone, starved));
        }
    }

    /// Allots what is left of the team's limit to tasks of a job and returns how many fit; `None` if the team
    /// is not known.
    fn allot_quota(&mut self, job: &Job, wanted: u64) -> Option<u64> {
        let team = self.partition.teams.get(&job.spec.team)?;
        let left = self
            .quota_left
            .entry(job.spec.team.clone())
            .or_insert_with(|| {
                team.limit
                    .saturating_sub(&(team.used + team.reserved_for_gangs))
            });
        let needs = quota_needs(job);
        let tasks = wanted.min(left.how_many_fit(&needs));
        // What gangs need is already deducted from the limit while machines are reserved for them.
        if job.spec.kind != JobKind::Gang {
            *left -= needs.times(tasks);
        }
        Some(tasks)
    }

    /// Allots capacity that is freed soon to tasks of an array beyond its team's guarantee and returns how many
    /// fit; other jobs get none of it.
    fn allot_soon_freed(&mut self, job: &Job, tasks: u64) -> u64 {
        if job.guaranteed || job.spec.kind != JobKind::Array {
            return 0;
        }
        let needs = quota_needs(job);
        let absorbed = tasks.min(self.soon_freed.how_many_fit(&needs));
        self.soon_freed -= needs.times(absorbed);
        absorbed
    }

    /// Allots free capacity on the machines to waiting tasks of a job.
    fn place_waiting_tasks(&mut self, job: &Job, tasks: u64) -> WaitingPlacement {
        let (partition, now) = (self.partition, self.now);
        let is_zone_constrained = job.spec.one_zone || job.spec.spread_over_zones;
        let mut tasks_by_zone = partition.tasks_by_zone(job);
        if job.spec.one_zone && tasks_by_zone.is_empty() {
            tasks_by_zone.extend(self.choose_zone(job).map(|zone| (zone, 0)));
        }
        let gangs = partition.gangs_with_precedence(job, now);
        let may_use = |machine: &Machine| {
            partition.admits(job, machine, now)
                && !partition.is_blocked_by_gang_reservation(job, machine, now)
                && !partition.is_left_to_gangs(&gangs, machine, now)
        };
        let mut placed = 0;
        for capacity in &mut self.free {
            if placed == tasks {
                break;
            }
            let zone = &capacity.machine.zone;
            let fitting = capacity.how_many_fit(job);
            if fitting == 0
                || !may_use(capacity.machine)
                || !zone_allowed(job, zone, &tasks_by_zone)
            {
                continue;
            }
            let count = fitting
                .min(tasks - placed)
                .min(zone_capacity(job, zone, &tasks_by_zone));
            if is_zone_constrained {
                *tasks_by_zone.entry(zone.clone()).or_default() += count as u32;
            }
            capacity.allocate(job.spec.task_resources.times(count));
            placed += count;
        }
        WaitingPlacement {
            placed,
            zone: partition.zone_for_remaining_tasks(job, &tasks_by_zone),
        }
    }

    /// The zone for a job that has to run in one zone and has no task placed: the zone of the machines that
    /// are reserved for it, or else the zone whose free capacity has room for the largest number of its tasks.
    fn choose_zone(&self, job: &Job) -> Option<ZoneName> {
        let partition = self.partition;
        let reserved = partition
            .gang_reservations
            .get(&job.spec.id)
            .and_then(|reservation| reservation.machines.keys().next())
            .and_then(|name| partition.machines.get(name))
            .map(|machine| machine.zone.clone());
        let mut fitting_by_zone: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for capacity in &self.free {
            if partition.admits(job, capacity.machine, self.now) {
                *fitting_by_zone.entry(&capacity.machine.zone).or_default() +=
                    capacity.how_many_fit(job);
            }
        }
        let roomiest = fitting_by_zone
            .into_iter()
            .max_by_key(|(_, fitting)| *fitting)
            .map(|(zone, _)| zone.clone());
        reserved
            .or(roomiest)
            .or_else(|| partition.zones.first().cloned())
    }

    /// Adds a shape to the demand; merges it into a shape with equal requirements if there is one.
    fn add_shape(&mut self, shape: DemandShape) {
        match self.shapes.iter_mut().find(|other| is_alike(other, &shape)) {
            Some(other) => {
                other.task_count += shape.task_count;
                other.urgent_count += shape.urgent_count;
                other.estimated_run_time_ms =
                    other.estimated_run_time_ms.max(shape.estimated_run_time_ms);
            }
            None => self.shapes.push(shape),
        }
    }
}

/// The resources of a task that count towards its team's limit: CPUs and GPUs, not memory.
fn quota_needs(job: &Job) -> Resources {
    Resources {
        memory_mb: 0,
        ..job.spec.task_resources
    }
}

/// How many more tasks of a job its `spread_over_zones` allows in a zone.
fn zone_capacity(job: &Job, zone: &ZoneName, tasks_by_zone: &BTreeMap<ZoneName, u32>) -> u64 {
    if !job.spec.spread_over_zones {
        return u64::MAX;
    }
    let placed = tasks_by_zone.get(zone).copied().unwrap_or(0);
    u64::from(job.spec.max_tasks_per_zone().saturating_sub(placed))
}

/// The demand for some tasks of a job.
fn demand_shape(job: &Job, tasks: u64, zone: Option<ZoneName>, starved: bool) -> DemandShape {
    let estimate_ms = job.spec.estimated_run_time.whole_millis();
    let is_urgent = job.guaranteed || estimate_ms == 0;
    let is_unplaced_one_zone_job = job.spec.one_zone && job.placed.is_empty();
    DemandShape {
        milli_cpus: job.spec.task_resources.milli_cpus,
        milli_gpus: job.spec.task_resources.milli_gpus,
        memory_mb: job.spec.task_resources.memory_mb,
        allowed_machine_types: job.spec.allowed_machine_types.clone(),
        zone: zone.map(|zone| zone.to_string()),
        spot_allowed: job.spec.spot_allowed,
        task_count: tasks,
        urgent_count: if is_urgent { tasks } else { 0 },
        estimated_run_time_ms: estimate_ms,
        // The fleet is scaled out for best-effort work only with spot machines. A starved task, which has
        // waited too long for spare capacity, is therefore reported with normal priority.
        priority: if starved {
            Priority::Normal
        } else {
            job.spec.priority
        },
        gang_size: if is_unplaced_one_zone_job {
            u64::from(job.spec.task_count)
        } else {
            0
        },
    }
}

/// Whether two shapes have equal requirements, so that their tasks can be added up. Shapes of gangs that must
/// run in one zone are never added up.
fn is_alike(left: &DemandShape, right: &DemandShape) -> bool {
    left.milli_cpus == right.milli_cpus
        && left.milli_gpus == right.milli_gpus
        && left.memory_mb == right.memory_mb
        && left.allowed_machine_types == right.allowed_machine_types
        && left.zone == right.zone
        && left.spot_allowed == right.spot_allowed
        && left.priority == right.priority
        && left.gang_size + right.gang_size == 0
        && (left.estimated_run_time_ms == 0) == (right.estimated_run_time_ms == 0)
}
