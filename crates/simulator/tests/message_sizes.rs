//! Messages of machines with many small tasks stay within 64 KiB, and no machine loses its lease over them.

use simulator::{for_seeds, Fault, Plan, StateServiceLimits, World};

/// Tasks whose CPUs fit on one machine, but which no heartbeat can list.
const TASKS: u64 = 1_300;
const SUBMITTED_AT_MS: u64 = 20_000;
const CANCELLED_AT_MS: u64 = 60_000;

fn plan(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    Plan {
        seed,
        duration_ms: 150_000,
        faults,
        mutation: None,
        submit_until_ms: 2_000,
        size: 1,
    }
}

/// Limits of a state service whose values hold the placements of all tasks of a chunk.
fn state_limits() -> StateServiceLimits {
    StateServiceLimits {
        value_kb: 4.0,
        txn_ops: 8,
        ..StateServiceLimits::default()
    }
}

fn run_and_check(plan: Plan) -> World {
    let context = format!("seed {}, {:?}", plan.seed, plan.faults);
    let mut world = World::with_state_limits(plan, state_limits());
    world.run();
    assert_eq!(world.rules.violations, [], "{context}");
    assert_eq!(world.tasks_killed_by_leases(), 0, "{context}");
    world
}

/// Tasks whose stop commands take more than 64 KiB, though a heartbeat can list them.
const LISTABLE_TASKS: u64 = 1_000;
/// Factor of the run times of tasks that are to run until they are cancelled.
const LONG_RUN_FACTOR: u64 = 30;

/// An array of many small tasks that run long, and its cancellation.
fn cancelled_array(tasks: u64) -> Vec<(u64, Fault)> {
    let long_tasks = Fault::LongTasks {
        factor: LONG_RUN_FACTOR,
        duration_ms: 10_000,
    };
    vec![
        (SUBMITTED_AT_MS - 1_000, long_tasks),
        (SUBMITTED_AT_MS, Fault::SmallTasks { tasks }),
        (CANCELLED_AT_MS, Fault::CancelAllJobs { controller: 0 }),
    ]
}

/// Guards against stop commands for all tasks of a machine in one message: the worker cannot read it, and the lease
/// of the machine ends with the tasks of other teams on it.
#[test]
fn cancelled_tasks_of_full_machine_are_stopped_in_messages_within_limit() {
    for_seeds(6, |seed| {
        for tasks in [LISTABLE_TASKS, TASKS] {
            let plan = plan(seed, cancelled_array(tasks));
            let mut world = World::with_state_limits(plan.clone(), state_limits());
            world.run_to(CANCELLED_AT_MS - 1);
            let running = world.present_tasks().into_values().max();
            assert_eq!(running, Some(tasks as usize), "seed {seed}, {tasks} tasks");
            let world = run_and_check(plan);
            assert_eq!(
                world.coverage.oversized_heartbeats, 0,
                "seed {seed}, {tasks} tasks"
            );
            assert_eq!(world.present_tasks().len(), 0, "seed {seed}, {tasks} tasks");
        }
    });
}

/// Guards against heartbeats that are refused for their length because the worker must keep the tasks that have
/// exited.
#[test]
fn completed_tasks_of_full_machine_do_not_end_its_lease() {
    for_seeds(6, |seed| {
        let submissions = (0..4).map(|n| {
            let at_ms = SUBMITTED_AT_MS + n * 5_000;
            (at_ms, Fault::SmallTasks { tasks: TASKS })
        });
        let world = run_and_check(plan(seed, submissions.collect()));
        assert_eq!(world.unfinished_jobs(), Vec::<String>::new(), "seed {seed}");
    });
}

/// Guards against the same when all tasks of the machine exit at once, more than a heartbeat can list.
#[test]
fn tasks_that_exit_at_once_are_forgotten_before_the_lease_ends() {
    for_seeds(6, |seed| {
        let faults = vec![
            (SUBMITTED_AT_MS, Fault::SmallTasks { tasks: TASKS }),
            (SUBMITTED_AT_MS, Fault::FailTasksOnMachines { count: 2 }),
            (
                SUBMITTED_AT_MS + 2_000,
                Fault::FailTasksOnMachines { count: 2 },
            ),
        ];
        let world = run_and_check(plan(seed, faults));
        println!(
            "seed {seed}: {} oversized heartbeats",
            world.coverage.oversized_heartbeats
        );
    });
}

/// Guards against a chunk of placements that is longer than a value may be: the commit is refused for ever.
#[test]
fn placements_of_many_tasks_are_written_with_the_smallest_values() {
    let faults = vec![(SUBMITTED_AT_MS, Fault::SmallTasks { tasks: 100 })];
    let mut world = World::new(plan(1, faults));
    world.run();
    assert_eq!(world.oversized_transactions(), 0);
    assert_eq!(world.rules.violations, []);
}
