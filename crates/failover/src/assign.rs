//! Assignment of standbys: every node computes the same one from what all of them know.

use model::{ControllerName, PartitionId};
use std::collections::BTreeMap;

/// Load of leading a partition, relative to standing by for one.
const LEADER_LOAD: usize = 2;
const STANDBY_LOAD: usize = 1;

/// One standby for each partition that has a leader, as long as another node is live.
///
/// `nodes` are all nodes in the order of the settings, `is_live` tells which could take a partition
/// over. The standby of a partition is the node with the lowest load so far; among equals, the next
/// one after the leader in the order of the nodes. So with every partition at its preferred leader
/// each node stands by for its neighbour, and the partitions of a node that crashes are spread as
/// evenly as possible.
pub fn assign(
    nodes: &[ControllerName],
    is_live: impl Fn(&ControllerName) -> bool,
    leaders: &BTreeMap<PartitionId, ControllerName>,
) -> BTreeMap<PartitionId, ControllerName> {
    let mut loads: BTreeMap<&ControllerName, usize> = BTreeMap::new();
    for leader in leaders.values() {
        *loads.entry(leader).or_default() += LEADER_LOAD;
    }
    let mut standbys = BTreeMap::new();
    for (partition, leader) in leaders {
        let position = nodes.iter().position(|node| node == leader).unwrap_or(0);
        let others = (1..nodes.len()).map(|step| &nodes[(position + step) % nodes.len()]);
        // `min_by_key` gives the first of equals.
        let least_loaded = others
            .filter(|node| *node != leader && is_live(node))
            .min_by_key(|node| loads.get(node).copied().unwrap_or(0));
        if let Some(node) = least_loaded {
            *loads.entry(node).or_default() += STANDBY_LOAD;
            standbys.insert(*partition, node.clone());
        }
    }
    standbys
}
