//! Plans for small fleets: rentals, transfers between partitions and returns.

use autoscaler::{plan, FleetAction, FleetMachine, FleetPolicy, Offer, PartitionNeed};
use model::{MachineName, PartitionId, ZoneName};
use std::collections::HashMap;
use std::time::Duration;
use wire::cloud::MachineType;
use wire::mesh::DemandShape;
use wire::users::Priority;

fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.3,
        boot_s: 20.0,
        zones: vec!["a".into()],
    }
}

/// An on-demand machine that sends heartbeats and runs one task.
fn machine(number: u32, partition: u32, transferable: bool) -> FleetMachine {
    FleetMachine {
        name: MachineName::from(format!("host-{number}").as_str()),
        machine_type: "m4".into(),
        zone: ZoneName::from("a"),
        spot: false,
        partition: PartitionId(partition),
        reporting: true,
        tasks: 1,
        idle_for: Duration::ZERO,
        quarantined: false,
        leaving: false,
        age: Duration::from_secs(100),
        observable_for: Duration::from_secs(100),
        since_heartbeat: Duration::ZERO,
        failed: false,
        status_is_recent: true,
        transferable,
        best_effort: false,
        transfer_to: None,
    }
}

/// A partition with waiting array tasks of 4 CPUs and 30 s each, some of them urgent.
fn need(partition: u32, tasks: u64, urgent: u64) -> PartitionNeed {
    let shape = DemandShape {
        milli_cpus: 4_000,
        milli_gpus: 0,
        memory_mb: 4_000,
        allowed_machine_types: None,
        zone: None,
        spot_allowed: false,
        task_count: tasks,
        urgent_count: urgent,
        estimated_run_time_ms: 30_000,
        priority: Priority::Normal,
        gang_size: 0,
    };
    let demand = if tasks > 0 { vec![shape] } else { Vec::new() };
    PartitionNeed {
        partition: PartitionId(partition),
        preferred_zone: ZoneName::from("a"),
        demand,
    }
}

fn offer(machine_type: &str, zone: &str, spot: bool) -> Offer {
    Offer {
        machine_type: machine_type.into(),
        zone: ZoneName::from(zone),
        spot,
    }
}

/// The transfers that a plan requests of partition leaders, each with the giving partition, the receiving
/// partition and the number of machines.
fn requested_transfers(actions: &[FleetAction]) -> Vec<(u32, u32, u32)> {
    let transfer = |action: &FleetAction| match action {
        FleetAction::TransferWhenEmpty {
            from, to, count, ..
        } => Some((from.0, to.0, *count)),
        _ => None,
    };
    actions.iter().filter_map(transfer).collect()
}

/// Without transfers, a partition that has rented all available machines would run arrays beyond its
/// guarantee while replicas of another partition wait.
#[test]
fn partitions_transfer_machines_when_none_can_be_rented() {
    let machines: Vec<FleetMachine> = (0..20).map(|n| machine(n, 0, n >= 4)).collect();
    let refused = HashMap::from([(offer("m4", "a", false), 0)]);
    let plan = |needs: &[PartitionNeed]| {
        plan(
            &FleetPolicy::default(),
            &[machine_type()],
            &machines,
            needs,
            &refused,
        )
    };
    assert_eq!(
        requested_transfers(&plan(&[need(0, 9, 0), need(1, 18, 18)])),
        [(0, 1, 16)]
    );
    assert_eq!(
        requested_transfers(&plan(&[need(0, 9, 0), need(1, 18, 0)])),
        [(0, 1, 7)],
        "about the same number in both"
    );
    assert_eq!(
        requested_transfers(&plan(&[need(0, 9, 9), need(1, 0, 0)])),
        []
    );
}

/// Otherwise best-effort work would occupy hundreds of on-demand machines, and would keep spot machines
/// while other partitions rent on-demand ones.
#[test]
fn best_effort_work_rents_only_spot_machines_and_is_preempted_for_other_work() {
    let mut low = need(0, 40, 0);
    low.demand[0].priority = Priority::Low;
    low.demand[0].spot_allowed = true;
    let mut normal = need(1, 2, 0);
    normal.demand[0].spot_allowed = true;
    let machines: Vec<FleetMachine> = (0..3)
        .map(|n| FleetMachine {
            spot: true,
            best_effort: true,
            ..machine(n, 0, true)
        })
        .collect();
    let refused = HashMap::from([(offer("m4", "a", true), 0)]);
    let policy = FleetPolicy {
        horizon: Duration::from_secs(1),
        ..FleetPolicy::default()
    };
    let actions = plan(
        &policy,
        &[machine_type()],
        &machines,
        &[low.clone(), normal],
        &refused,
    );
    assert_eq!(
        requested_transfers(&actions).last(),
        Some(&(0, 1, 2)),
        "{actions:?}"
    );
    let is_rental = |action: &&FleetAction| matches!(action, FleetAction::Rent { .. });
    assert_eq!(actions.iter().filter(is_rental).count(), 0, "{actions:?}");
    let rented = plan(&policy, &[machine_type()], &[], &[low], &HashMap::new());
    assert!(
        matches!(
            rented[..],
            [FleetAction::Rent {
                spot: true,
                count: 40,
                ..
            }]
        ),
        "{rented:?}"
    );
}

/// The age of a transferred machine is no evidence against it: its new partition leader has not had the
/// time to receive a heartbeat.
#[test]
fn transferred_machine_is_not_returned_before_it_can_send_heartbeat() {
    let transferred = FleetMachine {
        reporting: false,
        tasks: 0,
        observable_for: Duration::from_millis(500),
        ..machine(1, 0, false)
    };
    let lost = FleetMachine {
        observable_for: Duration::from_secs(100),
        ..transferred.clone()
    };
    let policy = FleetPolicy::default();
    let plan =
        |machine: FleetMachine| plan(&policy, &[machine_type()], &[machine], &[], &HashMap::new());
    assert_eq!(plan(transferred), []);
    assert_eq!(plan(lost).len(), 1);
}

/// The rentals of a plan, each with partition, machine type, zone and number of machines.
fn rentals(actions: &[FleetAction]) -> Vec<(u32, String, String, u32)> {
    let rental = |action: &FleetAction| match action {
        FleetAction::Rent {
            machine_type,
            zone,
            count,
            partition,
            ..
        } => Some((partition.0, machine_type.clone(), zone.to_string(), *count)),
        _ => None,
    };
    actions.iter().filter_map(rental).collect()
}

fn three_types() -> Vec<MachineType> {
    let zones = || vec!["a".into(), "b".into()];
    let new_type = |name: &str, cpus, gpus, price| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        price_per_hour: price,
        spot_price_per_hour: price / 3.0,
        zones: zones(),
        ..machine_type()
    };
    vec![
        new_type("m4", 4.0, 0.0, 0.24),
        new_type("m20", 20.0, 0.0, 1.2),
        new_type("g24", 24.0, 4.0, 14.0),
    ]
}

/// A partition with a waiting gang whose tasks fit only machines of the type `m20` or `g24`.
fn gang_need(tasks: u64) -> PartitionNeed {
    let mut need = need(1, tasks, 0);
    let zone = Some("a".to_owned());
    let shape = need.demand[0].clone();
    need.demand[0] = DemandShape {
        milli_cpus: 18_000,
        zone,
        gang_size: tasks,
        ..shape
    };
    need
}

/// A gang must not wait for the machines of one zone if it can have all of them in another.
#[test]
fn gang_moves_to_another_zone_as_a_whole_when_its_own_is_sold_out() {
    let types = three_types();
    let refused = HashMap::from([(offer("m20", "a", false), 0)]);
    let policy = FleetPolicy::default();
    let mut need = gang_need(4);
    need.demand[0].task_count = 1;
    let actions = plan(&policy, &types, &[], &[need.clone()], &HashMap::new());
    assert_eq!(
        rentals(&actions),
        [(1, "m20".into(), "a".into(), 1)],
        "one machine is missing there"
    );
    let actions = plan(&policy, &types, &[], &[need.clone()], &refused);
    assert_eq!(rentals(&actions), [(1, "m20".into(), "b".into(), 4)]);
    let booting = |n| FleetMachine {
        machine_type: "m20".into(),
        zone: ZoneName::from("b"),
        reporting: false,
        tasks: 0,
        observable_for: Duration::from_secs(1),
        ..machine(n, 1, false)
    };
    let incoming: Vec<FleetMachine> = (0..4).map(booting).collect();
    assert_eq!(
        rentals(&plan(&policy, &types, &incoming, &[need], &refused)),
        [],
        "enough machines are booting"
    );
}

/// Machines with GPUs cost a hundred times as much as those without.
#[test]
fn gpu_machines_are_not_rented_for_cpu_work_and_gang_types_are_left_to_gangs() {
    let types = three_types();
    let policy = FleetPolicy {
        horizon: Duration::from_secs(1),
        ..FleetPolicy::default()
    };
    let sold_out = |name: &str| {
        let refused_in = |zone: &str| (offer(name, zone, false), 0);
        [refused_in("a"), refused_in("b")]
    };
    let refused = HashMap::from_iter(sold_out("m20"));
    assert_eq!(
        rentals(&plan(&policy, &types, &[], &[gang_need(2)], &refused)),
        []
    );
    let array = need(0, 3, 0);
    let refused = HashMap::from_iter(sold_out("m4"));
    let both = plan(
        &policy,
        &types,
        &[],
        &[array.clone(), gang_need(2)],
        &refused,
    );
    assert_eq!(
        rentals(&both),
        [(1, "m20".into(), "a".into(), 2)],
        "the array leaves m20 to the gang"
    );
    let alone = plan(&policy, &types, &[], &[array], &refused);
    assert_eq!(rentals(&alone), [(0, "m20".into(), "a".into(), 1)]);
}

#[test]
fn machines_are_rented_for_urgent_work_first_then_in_turn() {
    let refused = HashMap::new();
    let needs = [need(0, 30, 0), need(1, 30, 3)];
    let policy = FleetPolicy {
        horizon: Duration::from_secs(1),
        ..FleetPolicy::default()
    };
    let actions = plan(&policy, &[machine_type()], &[], &needs, &refused);
    let rented: Vec<(u32, u32)> = actions
        .iter()
        .filter_map(|action| match action {
            FleetAction::Rent {
                partition, count, ..
            } => Some((partition.0, *count)),
            _ => None,
        })
        .collect();
    assert_eq!(rented, [(0, 30), (1, 30)]);
}

/// Guaranteed array work precedes replicas of low priority in the queue. If machines were planned for it so
/// that its tasks run one after another, it would take each machine that is rented for the replicas.
#[test]
fn work_preceding_waiting_replicas_gets_machines_at_once() {
    let mut services = need(0, 1, 1);
    services.demand[0].estimated_run_time_ms = 0;
    services.demand[0].priority = Priority::Low;
    let mut both = need(0, 8, 8);
    both.demand[0].milli_cpus = 1_000;
    both.demand[0].estimated_run_time_ms = 1_000;
    let arrays = both.clone();
    both.demand.extend(services.demand);
    let rented_count = |need: &PartitionNeed| {
        let needs = [need.clone()];
        let actions = plan(
            &FleetPolicy::default(),
            &[machine_type()],
            &[],
            &needs,
            &HashMap::new(),
        );
        rentals(&actions).iter().map(|rent| rent.3).sum::<u32>()
    };
    assert_eq!(rented_count(&arrays), 1, "finished within the horizon");
    assert_eq!(
        rented_count(&both),
        3,
        "two for the arrays, one for the replica"
    );
    both.demand[0].priority = Priority::Low;
    both.demand[1].priority = Priority::High;
    assert_eq!(rented_count(&both), 2, "the replica precedes the arrays");
    both.demand[1].priority = Priority::Low;
    both.demand[1].zone = Some("b".into());
    both.demand[0].zone = Some("a".into());
    assert_eq!(rented_count(&both), 1, "the replica waits in another zone");
}
