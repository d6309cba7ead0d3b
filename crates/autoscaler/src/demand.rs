//! Collection of the pending work of all partitions from their demand.

use crate::machine::PartitionNeed;
use crate::pending::{task_size, PendingWork, Tier};
use crate::planner::Planner;
use wire::mesh::DemandShape;

/// Minimum run time that is planned for a task.
const MIN_TASK_MS: u64 = 1_000;

impl<'a> Planner<'a> {
    /// The pending work of all partitions in a tier.
    pub(crate) fn pending_work(&self, tier: Tier) -> Vec<PendingWork<'a>> {
        let mut pending = Vec::new();
        for (index, need) in self.needs.iter().enumerate() {
            for shape in &need.demand {
                pending.push(PendingWork {
                    need_index: index,
                    shape,
                    task_size: task_size(shape),
                    concurrent: shape.estimated_run_time_ms == 0
                        || shape.gang_size > 0
                        || (tier == Tier::Urgent && self.precedes_replicas(shape, need)),
                    task_ms: shape.estimated_run_time_ms.max(MIN_TASK_MS),
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

    /// Whether guaranteed array work would take the machines that are rented for waiting replicas of
    /// its partition, since it precedes them in the queue. If its tasks were planned one after another
    /// within the horizon, the replicas would have to wait until they are done.
    fn precedes_replicas(&self, shape: &DemandShape, need: &PartitionNeed) -> bool {
        let types = self.machine_types_for(shape);
        need.demand.iter().any(|replicas| {
            let same_zone = match (&shape.zone, &replicas.zone) {
                (Some(zone), Some(other)) => zone == other,
                _ => true,
            };
            replicas.estimated_run_time_ms == 0
                && replicas.urgent_count > 0
                && replicas.priority <= shape.priority
                && same_zone
                && self
                    .machine_types_for(replicas)
                    .iter()
                    .any(|name| types.contains(name))
        })
    }
}
