//! Pending work, for which machines are planned: the waiting tasks of a partition, grouped by shape.

use model::Resources;
use wire::mesh::DemandShape;
use wire::users::Priority;

/// A group of work by its precedence in a plan. Machines for earlier tiers are planned first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tier {
    /// Replicas of services and work within a guarantee.
    Urgent,
    /// All other work that is not best-effort.
    Regular,
    BestEffort,
}

impl Tier {
    /// All tiers in the order of planning.
    pub(crate) const ALL: [Tier; 3] = [Tier::Urgent, Tier::Regular, Tier::BestEffort];

    /// Number of waiting tasks of the shape that belong to this tier.
    pub(crate) fn waiting_tasks(self, shape: &DemandShape) -> u64 {
        let best_effort = shape.priority == Priority::Low && shape.estimated_run_time_ms > 0;
        match self {
            Tier::Urgent => shape.urgent_count,
            Tier::Regular if best_effort => 0,
            Tier::BestEffort if !best_effort => 0,
            Tier::Regular | Tier::BestEffort => shape.task_count.saturating_sub(shape.urgent_count),
        }
    }
}

/// Waiting work of one shape in one partition.
pub(crate) struct PendingWork<'a> {
    /// Index of its partition in [`Planner::needs`](crate::planner::Planner::needs).
    pub(crate) need_index: usize,
    pub(crate) shape: &'a DemandShape,
    /// Resources of one task.
    pub(crate) task_size: Resources,
    /// It gets machines for all its tasks at the same time, rather than one after another: services,
    /// gangs, and array work that precedes waiting services.
    pub(crate) concurrent: bool,
    /// Estimated run time of a task in milliseconds.
    pub(crate) task_ms: u64,
    /// Machine types on which it is planned.
    pub(crate) machine_types: Vec<&'a str>,
    /// The only zone in which it may run.
    pub(crate) zone: Option<String>,
    /// Number of tasks for which no capacity is planned yet.
    pub(crate) waiting: u64,
    /// No machine can be added for it: none can be transferred or rented.
    pub(crate) unavailable: bool,
    /// No idle machine of another partition is left for it.
    pub(crate) no_idle_machine: bool,
    /// No machine of another partition with best-effort work only is left for it, or none may be used.
    pub(crate) no_best_effort_machine: bool,
}

impl PendingWork<'_> {
    /// Whether the work is planned for machines of this type in this zone.
    pub(crate) fn suits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.machine_types.contains(&machine_type)
            && self.zone.as_deref().is_none_or(|required| required == zone)
            && (self.shape.spot_allowed || !spot)
    }

    /// Number of combinations of a machine type with spot or on-demand machines that suit it.
    pub(crate) fn option_count(&self) -> usize {
        self.machine_types.len() * if self.shape.spot_allowed { 2 } else { 1 }
    }

    /// Whether tasks wait for a machine and one may still be found.
    pub(crate) fn needs_machine(&self) -> bool {
        self.waiting > 0 && !self.unavailable
    }

    /// Its shape, restricted to the machine types and the zone for which it is planned.
    pub(crate) fn planned_shape(&self) -> DemandShape {
        let types = self
            .machine_types
            .iter()
            .map(|name| (*name).to_owned())
            .collect();
        DemandShape {
            allowed_machine_types: Some(types),
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
