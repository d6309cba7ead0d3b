//! Assignment of a standby to each partition. Controllers with the same inputs compute the same assignment.

use model::{ControllerName, PartitionId};
use std::collections::BTreeMap;

/// Load of leading a partition, relative to being the standby of one.
const LEADER_WEIGHT: usize = 2;
/// Load of being the standby of a partition.
const STANDBY_WEIGHT: usize = 1;

/// Assigns a standby to each partition that has a leader, if another controller is live.
///
/// `controllers` are all controllers, in the same order on each of them. `is_live` tells which of them
/// could acquire a partition. Partitions are assigned in turn, each to the live controller with the lowest
/// load so far. Among controllers with equal load, the next one after the leader in the order of
/// `controllers` is chosen. So, while each partition is led by its preferred leader, each controller is the
/// standby of its neighbour's partition, and the partitions of a controller that crashes are spread as
/// evenly as possible.
pub fn assign_standbys(
    controllers: &[ControllerName],
    is_live: impl Fn(&ControllerName) -> bool,
    leaders: &BTreeMap<PartitionId, ControllerName>,
) -> BTreeMap<PartitionId, ControllerName> {
    let mut loads: BTreeMap<&ControllerName, usize> = BTreeMap::new();
    for leader in leaders.values() {
        *loads.entry(leader).or_default() += LEADER_WEIGHT;
    }
    let mut standbys = BTreeMap::new();
    for (partition, leader) in leaders {
        let leader_index = controllers
            .iter()
            .position(|controller| controller == leader)
            .unwrap_or(0);
        let others = (1..controllers.len())
            .map(|step| &controllers[(leader_index + step) % controllers.len()]);
        // `min_by_key` returns the first of several minimums.
        let least_loaded = others
            .filter(|controller| *controller != leader && is_live(controller))
            .min_by_key(|controller| loads.get(controller).copied().unwrap_or(0));
        if let Some(controller) = least_loaded {
            *loads.entry(controller).or_default() += STANDBY_WEIGHT;
            standbys.insert(*partition, controller.clone());
        }
    }
    standbys
}
