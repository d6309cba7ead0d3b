//! Severe faults on a site of up to 1,500 machines with a fleet's rate limits and intervals. The rules must hold; some
//! tests also bound the time until tasks start again, or the number of tasks that are killed by lease expiry for lack
//! of a heartbeat reply.

use simulator::{Fault, Plan, World};

/// Runs a site to 45 s; 700 to 900 machines are up then, and more can be rented.
fn fleet_at_45_s(seed: u64, duration_ms: u64, mut faults: Vec<(u64, Fault)>) -> World {
    faults.insert(0, (1_000, Fault::JobBurst { jobs: 900 }));
    faults.push((25_000, Fault::JobBurst { jobs: 400 }));
    let plan = Plan {
        seed,
        duration_ms,
        faults,
        mutation: None,
        submit_until_ms: 60_000,
        size: 107,
    };
    let mut world = World::new(plan);
    world.run_to(45_000);
    assert!(
        world.machines_up() > 700,
        "seed {seed}: {} machines",
        world.machines_up()
    );
    world
}

/// Runs on from `from_ms` until this many more tasks have started; returns the time that this took, in ms.
fn run_until_started(world: &mut World, from_ms: u64, tasks: u64) -> u64 {
    let starts_before = world.rules.task_starts;
    for at_ms in (from_ms..from_ms + 60_000).step_by(250) {
        world.run_to(at_ms);
        if world.rules.task_starts >= starts_before + tasks {
            return at_ms - from_ms;
        }
    }
    panic!(
        "only {} of {tasks} tasks have started within 60 s",
        world.rules.task_starts - starts_before
    );
}

#[test]
fn simultaneous_controller_crash_in_full_fleet_is_recovered() {
    let crash = |controller| {
        (
            46_000,
            Fault::CrashController {
                controller,
                restart_after_ms: 8_000,
            },
        )
    };
    let mut world = fleet_at_45_s(1, 80_000, (0..3).map(crash).collect());
    world.run_to(54_000);
    let took_ms = run_until_started(&mut world, 54_000, 50);
    assert!(
        took_ms <= 8_000,
        "50 tasks have started only {took_ms} ms after the restart of the controllers"
    );
    world.run();
    assert_eq!(world.rules.violations, []);
    assert_eq!(
        world.tasks_killed_by_lease(),
        0,
        "tasks killed by lease expiry"
    );
}

#[test]
fn rolling_restart_during_burst_and_state_outage_is_survived() {
    let mut faults: Vec<(u64, Fault)> = (0..3)
        .map(|n| {
            (
                46_000 + n * 20_000,
                Fault::CrashController {
                    controller: n as usize,
                    restart_after_ms: 6_000,
                },
            )
        })
        .collect();
    faults.push((50_000, Fault::JobBurst { jobs: 250 }));
    faults.push((
        58_000,
        Fault::RefuseStateRequests {
            controller: None,
            duration_ms: 25_000,
        },
    ));
    let mut world = fleet_at_45_s(2, 120_000, faults);
    world.run();
    assert_eq!(world.rules.violations, []);
    // A controller that crashes within the outage of the state service has no successor before the end of the outage,
    // 17 s later. Together with the time since their last heartbeat, some workers then have less than a second of their
    // lease left.
    assert!(
        world.tasks_killed_by_lease() <= 10,
        "{} tasks killed by lease expiry",
        world.tasks_killed_by_lease()
    );
}

/// Half of the machines and a controller, in one zone, are disconnected for longer than any lease, the state service is
/// slow and another controller is paused. Only machines in this zone may lose their leases.
#[test]
fn zone_partition_with_slow_state_and_paused_controller_keeps_rules() {
    let faults = vec![
        (
            46_000,
            Fault::IsolateZone {
                duration_ms: 45_000,
            },
        ),
        (
            55_000,
            Fault::SlowStateService {
                factor: 30,
                duration_ms: 30_000,
            },
        ),
        (
            60_000,
            Fault::PauseController {
                controller: 2,
                duration_ms: 9_000,
            },
        ),
    ];
    let mut world = fleet_at_45_s(3, 115_000, faults);
    world.run_to(91_000);
    run_until_started(&mut world, 91_000, 50);
    world.run();
    assert_eq!(world.rules.violations, []);
}

#[test]
fn hundreds_of_failing_machines_in_fleet_keep_rules() {
    let faults = vec![
        (
            46_000,
            Fault::HangMachines {
                count: 150,
                duration_ms: 35_000,
            },
        ),
        (55_000, Fault::CrashMachines { count: 150 }),
        (62_000, Fault::FailTasksOnMachines { count: 100 }),
    ];
    let mut world = fleet_at_45_s(4, 100_000, faults);
    world.run();
    assert_eq!(world.rules.violations, []);
}

#[test]
fn fleet_planner_without_peers_scales_out_for_all_partitions() {
    let disconnect_mesh = |controller| {
        (
            0,
            Fault::DisconnectMesh {
                controller,
                duration_ms: 60_000,
            },
        )
    };
    let mut world = fleet_at_45_s(5, 80_000, (0..3).map(disconnect_mesh).collect());
    for partition in 0..3 {
        assert!(
            world.recorded_machines(partition) > 200,
            "partition {partition}"
        );
    }
    world.run();
    assert_eq!(world.rules.violations, []);
}
