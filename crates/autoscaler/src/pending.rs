//! Waiting work, grouped by shape, for which machines are planned.

use crate::machine::PartitionNeed;
use crate::planner::Planner;
use model::Resources;
use wire::mesh::DemandShape;
use wire::users::Priority;

/// Tasks are planned as if they ran at least this long.
const MIN_TASK_MS: u64 = 1_000;

/// Work that is planned for together. Earlier tiers are planned first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Replicas of services and work inside a guarantee.
    Urgent,
    Regular,
    BestEffort,
}

impl Tier {
    /// All tiers in the order of planning.
    pub(crate) const ALL: [Tier; 3] = [Tier::Urgent, Tier::Regular, Tier::BestEffort];

    /// Waiting tasks of the shape that belong to this tier.
    fn waiting_tasks(self, shape: &DemandShape) -> u64 {
        let best_effort = shape.priority == Priority::Low && shape.estimate_ms > 0;
        match self {
            Tier::Urgent => shape.urgent,
            Tier::Regular if best_effort => 0,
            Tier::BestEffort if !best_effort => 0,
            Tier::Regular | Tier::BestEffort => shape.tasks.saturating_sub(shape.urgent),
        }
    }
}

/// Waiting work of one shape in one partition.
pub(crate) struct PendingWork<'a> {
    /// Index of its partition in [`Planner::needs`].
    pub(crate) need_index: usize,
    pub(crate) shape: &'a DemandShape,
    /// Resources of one task.
    pub(crate) task_size: Resources,
    /// All its tasks run at the same time (services, gangs, and work that precedes waiting
    /// services), rather than one after another.
    pub(crate) concurrent: bool,
    /// Estimated run time of a task.
    pub(crate) task_ms: u64,
    /// Machine types that are planned for it.
    pub(crate) machine_types: Vec<&'a str>,
    /// The only zone in which it may run.
    pub(crate) zone: Option<String>,
    /// Tasks for which no capacity is planned yet.
    pub(crate) waiting: u64,
    /// No machine can be had for it at present.
    pub(crate) unavailable: bool,
    /// Other partitions have no idle machine for it.
    pub(crate) no_idle_machine: bool,
    /// Other partitions have no machine for it that runs best-effort work only.
    pub(crate) no_best_effort_machine: bool,
}

impl PendingWork<'_> {
    /// Whether the work is planned for machines of this type in this zone.
    pub(crate) fn suits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_types.contains(&machine_type)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.shape.spot || !spot)
    }

    /// Number of combinations of machine type and spot or ordinary machines that suit it.
    pub(crate) fn option_count(&self) -> usize {
        self.machine_types.len() * if self.shape.spot { 2 } else { 1 }
    }

    /// Whether tasks wait for a machine that can still be had.
    pub(crate) fn needs_machine(&self) -> bool {
        self.waiting > 0 && !self.unavailable
    }

    /// Its shape, restricted to the machine types and the zone that are planned for it.
    pub(crate) fn planned_shape(&self) -> DemandShape {
        let types = self
            .machine_types
            .iter()
            .map(|name| (*name).to_owned())
            .collect();
        DemandShape {
            types: Some(types),
            zone: self.zone.clone(),
            ..self.shape.clone()
        }
    }
}

/// Resources of one task of the shape.
pub(crate) fn task_size(shape: &DemandShape) -> Resources {
    Resources {
        milli_cpus: shape.milli_cpus,
        milli_gpus: shape.milli_gpus,
        memory_mb: shape.memory_mb,
    }
}

impl<'a> Planner<'a> {
    /// The waiting work of all partitions that belongs to the tier.
    pub(crate) fn pending_work(&self, tier: Tier) -> Vec<PendingWork<'a>> {
        let mut pending = Vec::new();
        for (index, need) in self.needs.iter().enumerate() {
            for shape in &need.demand {
                pending.push(PendingWork {
                    need_index: index,
                    shape,
                    task_size: task_size(shape),
                    concurrent: shape.estimate_ms == 0
                        || shape.gang > 0
                        || (tier == Tier::Urgent && self.precedes_replicas(shape, need)),
                    task_ms: shape.estimate_ms.max(MIN_TASK_MS),
                    machine_types: self.machine_types_for(shape),
                    zone: shape.zone.clone(),
                    waiting: tier.waiting_tasks(shape),
                    unavailable: false,
                    no_idle_machine: false,
                    no_best_effort_machine: tier == Tier::BestEffort,
                });
            }
        }
        pending
    }

    /// Whether guaranteed array work would take the machines that are rented for waiting replicas
    /// of its partition, since it precedes them in the queue. If it were finished one task after
    /// another within the horizon, the replicas would wait for as long.
    fn precedes_replicas(&self, shape: &DemandShape, need: &PartitionNeed) -> bool {
        let types = self.machine_types_for(shape);
        need.demand.iter().any(|replicas| {
            let same_zone = match (&shape.zone, &replicas.zone) {
                (Some(zone), Some(other)) => zone == other,
                _ => true,
            };
            replicas.estimate_ms == 0
                && replicas.urgent > 0
                && replicas.priority <= shape.priority
                && same_zone
                && self
                    .machine_types_for(replicas)
                    .iter()
                    .any(|name| types.contains(name))
        })
    }
}
