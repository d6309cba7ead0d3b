//! Assignment of standbys to partitions.

use failover::assign_standbys;
use model::{ControllerName, PartitionId};
use std::collections::BTreeMap;

const MAX_CONTROLLERS: usize = 8;

fn controller_names(count: usize) -> Vec<ControllerName> {
    (0..count)
        .map(|number| ControllerName::from(format!("n{number}").as_str()))
        .collect()
}

/// The leaders of partitions 0, 1 and so on, given by the numbers of the controllers.
fn leaders(numbers: &[usize]) -> BTreeMap<PartitionId, ControllerName> {
    let names = controller_names(MAX_CONTROLLERS);
    numbers
        .iter()
        .enumerate()
        .map(|(partition, leader)| (PartitionId(partition as u32), names[*leader].clone()))
        .collect()
}

/// The standbys of all partitions that get one, in the order of the partitions.
fn standbys(controller_count: usize, crashed: &[usize], leader_numbers: &[usize]) -> Vec<String> {
    let names = controller_names(controller_count);
    let crashed: Vec<&ControllerName> = crashed.iter().map(|number| &names[*number]).collect();
    let is_live = |name: &ControllerName| !crashed.contains(&name);
    let assigned = assign_standbys(&names, is_live, &leaders(leader_numbers));
    assigned.values().map(ToString::to_string).collect()
}

#[test]
fn each_controller_is_standby_of_its_neighbour_while_preferred_leaders_lead() {
    assert_eq!(standbys(3, &[], &[0, 1, 2]), ["n1", "n2", "n0"]);
    assert_eq!(standbys(2, &[], &[0, 1]), ["n1", "n0"]);
}

#[test]
fn load_is_even_after_one_crash_and_last_controller_has_no_standby() {
    // n0 has crashed and n1 leads two partitions: n2 is the standby of both.
    assert_eq!(standbys(3, &[0], &[1, 1, 2]), ["n2", "n2", "n1"]);
    assert_eq!(standbys(3, &[0, 1], &[2, 2, 2]), Vec::<String>::new());
    // n0 of five controllers leads three partitions: the standbys of these are two other controllers, the ones
    // that lead none.
    let assigned = standbys(5, &[], &[0, 0, 0, 1, 2]);
    assert_eq!(assigned[..3], ["n3", "n4", "n3"], "{assigned:?}");
}
