//! Which node stands by for which partition.

use failover::assign_standbys;
use model::{ControllerName, PartitionId};
use std::collections::BTreeMap;

fn names(count: usize) -> Vec<ControllerName> {
    (0..count)
        .map(|n| ControllerName::from(format!("n{n}").as_str()))
        .collect()
}

/// Partitions led by these nodes.
fn leaders(by: &[usize]) -> BTreeMap<PartitionId, ControllerName> {
    let nodes = names(8);
    by.iter()
        .enumerate()
        .map(|(p, n)| (PartitionId(p as u32), nodes[*n].clone()))
        .collect()
}

fn standbys(count: usize, crashed: &[usize], by: &[usize]) -> Vec<String> {
    let nodes = names(count);
    let crashed: Vec<&ControllerName> = crashed.iter().map(|n| &nodes[*n]).collect();
    let found = assign_standbys(&nodes, |node| !crashed.contains(&node), &leaders(by));
    found.values().map(ToString::to_string).collect()
}

#[test]
fn with_preferred_leaders_each_node_stands_by_for_its_neighbour() {
    assert_eq!(standbys(3, &[], &[0, 1, 2]), ["n1", "n2", "n0"]);
    assert_eq!(standbys(2, &[], &[0, 1]), ["n1", "n0"]);
}

#[test]
fn after_one_crash_the_load_stays_even_and_after_two_the_last_node_has_no_standby() {
    // n0 has crashed and n1 leads two: the other node stands by for both of these.
    assert_eq!(standbys(3, &[0], &[1, 1, 2]), ["n2", "n2", "n1"]);
    assert_eq!(standbys(3, &[0, 1], &[2, 2, 2]), Vec::<String>::new());
    // Five nodes: the partitions of one that leads three go to three others.
    let spread = standbys(5, &[], &[0, 0, 0, 1, 2]);
    assert_eq!(spread[..3], ["n3", "n4", "n3"], "{spread:?}");
}
