//! Assignment of standbys: every controller computes the same one from the same inputs.

use model::{ControllerName, PartitionId};
use std::collections::BTreeMap;

/// Load of leading a partition, relative to being the standby of one.
const LEADER_WEIGHT: usize = 2;
/// Load of being the standby of a partition.
const STANDBY_WEIGHT: usize = 1;

/// One standby for each partition that has a leader, as long as another controller is live.
///
/// `controllers` are all controllers in the order of the settings; `is_live` says which could acquire
/// a partition. The standby of a partition is the controller with the lowest load so far; among
/// equals, the next one after the leader in the order of the settings. So with every partition at its
/// preferred leader each controller is the standby of its neighbour, and the partitions of a
/// controller that crashes are spread as evenly as possible.
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
        let position = controllers
            .iter()
            .position(|controller| controller == leader)
            .unwrap_or(0);
        let others =
            (1..controllers.len()).map(|step| &controllers[(position + step) % controllers.len()]);
        // `min_by_key` gives the first of equals.
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
