//! Placements of a previous leader, and statuses of their machines that may be old: a new leader may receive any
//! status first that the worker has ever sent.

use crate::builders::{heartbeat, job, machine_name, new_partition, task_status};
use model::{JobId, Timestamp};
use scheduler::{CommandRoute, LaunchState, PartitionState, PlacedTask, StatusSource, TaskChunk};
use wire::users::{JobKind, Priority};
use wire::workers::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};

/// Fencing tokens of the previous leader and of the present one.
const PREVIOUS_TOKEN: u64 = 4;
const OWN_TOKEN: u64 = 5;
/// The attempt that the previous leader has placed.
const ATTEMPT: u64 = 7;
const TASK: &str = "j-000001/0";

/// A partition with a replica that the previous leader has placed on machine 1.
fn partition_with_inherited_task() -> PartitionState {
    let mut partition = new_partition();
    let placed = PlacedTask {
        offset: 0,
        attempt: ATTEMPT,
        machine: machine_name(1).to_string(),
    };
    let chunk = TaskChunk {
        done: String::new(),
        placed: vec![placed],
    };
    let spec = job(1, "t", JobKind::Service, Priority::High, 1);
    partition.add_job(spec, 1, &[(0, chunk)], Timestamp::from_millis(0));
    partition
}

/// A status of machine 1 in a worker epoch, which shows this token.
fn status(epoch: u64, seq: u64, token: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        worker_epoch: epoch,
        token,
        ..heartbeat(seq, None, tasks)
    }
}

fn running() -> Vec<TaskStatus> {
    vec![task_status(TASK, ATTEMPT, TaskState::Running, None)]
}

fn exited(cause: ExitCause) -> Vec<TaskStatus> {
    vec![task_status(TASK, ATTEMPT, TaskState::Exited, Some(cause))]
}

fn receive(partition: &mut PartitionState, status: &Heartbeat, at_ms: u64) {
    let now = Timestamp::from_millis(at_ms);
    assert!(partition.reconcile(status, StatusSource::Heartbeat, now));
}

fn is_placed(partition: &PartitionState) -> bool {
    partition
        .jobs
        .get(&JobId(1))
        .is_some_and(|job| job.placed.contains_key(&0))
}

fn launch(partition: &PartitionState) -> LaunchState {
    partition.jobs[&JobId(1)].placed[&0].launch
}

/// Guards against a task that runs twice: the task was listed by an old status and absent from a newer one, both
/// from before the previous leader launched the same attempt again.
#[test]
fn old_statuses_that_list_and_omit_inherited_task_do_not_drop_it() {
    let mut partition = partition_with_inherited_task();
    receive(
        &mut partition,
        &status(1, 9, PREVIOUS_TOKEN, running()),
        100,
    );
    receive(&mut partition, &status(2, 1, PREVIOUS_TOKEN, vec![]), 200);
    assert!(is_placed(&partition));
    assert_eq!(launch(&partition), LaunchState::Inherited);
    receive(&mut partition, &status(2, 5, OWN_TOKEN, vec![]), 300);
    assert_eq!(launch(&partition), LaunchState::NotLaunched);
}

/// Guards against a task that runs twice: an old status showed the task as exited, from before the previous leader
/// launched the same attempt again.
#[test]
fn old_status_that_shows_inherited_task_as_exited_does_not_drop_it() {
    for cause in [ExitCause::Stopped, ExitCause::Error, ExitCause::Done] {
        let mut partition = partition_with_inherited_task();
        receive(
            &mut partition,
            &status(1, 9, PREVIOUS_TOKEN, exited(cause)),
            100,
        );
        assert!(is_placed(&partition), "{cause:?}");
        assert_eq!(partition.jobs[&JobId(1)].done_count(), 0, "{cause:?}");
        receive(
            &mut partition,
            &status(1, 10, OWN_TOKEN, exited(cause)),
            200,
        );
        assert!(!is_placed(&partition), "{cause:?}");
    }
}

/// Guards against a launch beside a task of the previous leader: an old status without the task does not make the
/// attempt launchable, one with this leader's token does.
#[test]
fn inherited_task_is_launched_again_only_after_a_status_with_own_token() {
    let mut partition = partition_with_inherited_task();
    let launches = |partition: &mut PartitionState, now_ms| {
        let now = Timestamp::from_millis(now_ms);
        let commands =
            partition.commands_for(&machine_name(1), CommandRoute::HeartbeatResponse, now);
        let is_launch = |command: &&Command| matches!(command, Command::Launch { .. });
        commands.iter().filter(is_launch).count()
    };
    receive(&mut partition, &status(1, 1, PREVIOUS_TOKEN, vec![]), 100);
    assert_eq!(launches(&mut partition, 100), 0);
    receive(&mut partition, &status(1, 8, OWN_TOKEN, vec![]), 200);
    assert_eq!(launches(&mut partition, 200), 1);
}

/// A status with this leader's token that lists the task proves that it is there, so the next one without it proves
/// that it is gone.
#[test]
fn status_with_own_token_confirms_inherited_task() {
    let mut partition = partition_with_inherited_task();
    receive(
        &mut partition,
        &status(1, 1, PREVIOUS_TOKEN, running()),
        100,
    );
    assert_eq!(launch(&partition), LaunchState::Inherited);
    receive(&mut partition, &status(1, 2, OWN_TOKEN, running()), 200);
    assert!(launch(&partition).is_launched());
    receive(&mut partition, &status(2, 1, OWN_TOKEN, vec![]), 300);
    assert!(!is_placed(&partition));
}

/// Waits that would not end: the heartbeats of a machine arrive, and nothing arrives there. Its worker never shows this
/// leader's token, so the heartbeats stop being answered, and the lease expires.
#[test]
fn inherited_task_is_dropped_by_lease_expiry_if_machine_receives_nothing() {
    const LEASE_MS: u64 = 10_000;
    const HEARTBEAT_INTERVAL_MS: u64 = 5_000;
    let mut partition = partition_with_inherited_task();
    let mut now_ms = 100;
    while is_placed(&partition) {
        assert!(now_ms < 3 * LEASE_MS, "still placed after {now_ms} ms");
        let now = Timestamp::from_millis(now_ms);
        // The lease of the worker expires again and again.
        let tasks = if now_ms < LEASE_MS { running() } else { vec![] };
        let epoch = 1 + now_ms / LEASE_MS;
        receive(
            &mut partition,
            &status(epoch, now_ms, PREVIOUS_TOKEN, tasks),
            now_ms,
        );
        if partition.may_renew_lease(&machine_name(1), now) {
            let machine = partition.machines.get_mut(&machine_name(1)).expect("known");
            machine.renew_lease(true, now);
        }
        partition.expire_leases(now);
        now_ms += HEARTBEAT_INTERVAL_MS;
    }
}

/// A probe makes the worker show this leader's token also where the first status is an old one.
#[test]
fn machine_is_probed_under_own_token_until_it_shows_it() {
    let mut partition = partition_with_inherited_task();
    let token_of_probe = |partition: &mut PartitionState, now_ms| {
        let now = Timestamp::from_millis(now_ms);
        let probes = partition.machines_to_probe(Timestamp::from_millis(0), now);
        partition.record_probe_result(&machine_name(1), true, now);
        probes
            .first()
            .map(|probe| (probe.token.0, probe.worker_epoch.0))
    };
    receive(
        &mut partition,
        &status(2, 1, PREVIOUS_TOKEN, running()),
        100,
    );
    assert_eq!(token_of_probe(&mut partition, 9_000), Some((OWN_TOKEN, 2)));
    receive(&mut partition, &status(2, 2, OWN_TOKEN, running()), 9_100);
    assert_eq!(token_of_probe(&mut partition, 19_000), Some((0, 0)));
}
