//! Who stands by for whom: worked out alike by every node from what all of them know.

use model::{NodeName, PartitionId};
use std::collections::BTreeMap;

/// One standby for each partition that has a holder, where another node lives.
///
/// `nodes` are all nodes in the order of the settings, `live` those that could take a partition.
/// A partition's standby is the one that has least to hold and to stand by for already; among equals
/// the next in the order of the nodes after the holder, so that with everybody at home each stands by
/// for its neighbour, and the partitions of a node that ends spread as evenly as they can.
pub fn assign(
    nodes: &[NodeName],
    live: impl Fn(&NodeName) -> bool,
    holders: &BTreeMap<PartitionId, NodeName>,
) -> BTreeMap<PartitionId, NodeName> {
    let mut burden: BTreeMap<&NodeName, usize> = BTreeMap::new();
    for holder in holders.values() {
        *burden.entry(holder).or_default() += 2;
    }
    let mut standbys = BTreeMap::new();
    for (partition, holder) in holders {
        let at = nodes.iter().position(|n| n == holder).unwrap_or(0);
        let others = (1..nodes.len()).map(|step| &nodes[(at + step) % nodes.len()]);
        // The first of the least, which `min_by_key` gives.
        let least = others
            .filter(|node| *node != holder && live(node))
            .min_by_key(|node| burden.get(node).copied().unwrap_or(0));
        if let Some(node) = least {
            *burden.entry(node).or_default() += 1;
            standbys.insert(*partition, node.clone());
        }
    }
    standbys
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(count: usize) -> Vec<NodeName> {
        (0..count).map(|n| NodeName::from(format!("n{n}").as_str())).collect()
    }

    fn held(by: &[usize]) -> BTreeMap<PartitionId, NodeName> {
        let nodes = names(8);
        by.iter().enumerate().map(|(p, n)| (PartitionId(p as u32), nodes[*n].clone())).collect()
    }

    fn standbys(count: usize, dead: &[usize], by: &[usize]) -> Vec<String> {
        let nodes = names(count);
        let dead: Vec<&NodeName> = dead.iter().map(|n| &nodes[*n]).collect();
        let found = assign(&nodes, |n| !dead.contains(&n), &held(by));
        found.values().map(ToString::to_string).collect()
    }

    #[test]
    fn at_home_each_stands_by_for_its_neighbour() {
        assert_eq!(standbys(3, &[], &[0, 1, 2]), ["n1", "n2", "n0"]);
        assert_eq!(standbys(2, &[], &[0, 1]), ["n1", "n0"]);
    }

    #[test]
    fn after_one_end_the_load_stays_even_and_after_two_the_last_has_nobody() {
        // n0 has ended and n1 holds two: the other node stands by for both of these.
        assert_eq!(standbys(3, &[0], &[1, 1, 2]), ["n2", "n2", "n1"]);
        assert_eq!(standbys(3, &[0, 1], &[2, 2, 2]), Vec::<String>::new());
        // Five nodes: the partitions of one that holds three go to three others.
        let spread = standbys(5, &[], &[0, 0, 0, 1, 2]);
        assert_eq!(spread[..3], ["n3", "n4", "n3"], "{spread:?}");
    }
}
