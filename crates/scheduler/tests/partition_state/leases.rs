//! Renewal and expiry of worker leases.

use crate::builders::{heartbeat, job, machine_name, make_durable, new_partition, task_status};
use model::{MachineName, Timestamp};
use scheduler::{CommandRoute, StatusSource};
use wire::users::{JobKind, Priority};
use wire::workers::{Command, TaskState};

/// If the arrival of a late copy of a heartbeat counted as a renewal, the lease would be taken to expire
/// later by the copy's delay.
#[test]
fn late_heartbeat_copy_does_not_defer_lease_expiry() {
    let mut partition = new_partition();
    let name = MachineName::from("host-000001");
    let first = heartbeat(1, None, Vec::new());
    for at in [100, 9_000] {
        let is_newer =
            partition.reconcile(&first, StatusSource::Heartbeat, Timestamp::from_millis(at));
        let machine = partition.machines.get_mut(&name).expect("machine exists");
        machine.renew_lease(is_newer, Timestamp::from_millis(at));
        assert_eq!(machine.lease_renewed_at, Timestamp::from_millis(100));
    }
}

/// As long as the state service provides no higher token, only the expiry of the machine's lease supersedes
/// an unanswered direct launch. So the lease is not renewed beyond the bound that follows from the cancel
/// deadline, unless a heartbeat lists the task: then the reply stops it.
#[test]
fn lease_is_not_renewed_while_cancelled_launch_may_arrive() {
    let mut partition = new_partition();
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    partition.run_cycles(Timestamp::from_millis(100), 10);
    make_durable(&mut partition);
    let sent = partition.commands_for(
        &machine_name(1),
        CommandRoute::DirectCall,
        Timestamp::from_millis(110),
    );
    assert!(matches!(&sent[..], [Command::Launch { .. }]), "{sent:?}");
    let attempt = partition.jobs[&model::JobId(1)].placed[&0].attempt.0;
    partition.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    partition.bound_lease_renewal(model::JobId(1), Timestamp::from_millis(15_000));
    let mut may_renew_after_heartbeat = |seq, tasks, at| {
        partition.reconcile(
            &heartbeat(seq, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        partition.may_renew_lease(&machine_name(1), Timestamp::from_millis(at))
    };
    assert!(
        may_renew_after_heartbeat(2, Vec::new(), 14_000),
        "not renewed before the bound"
    );
    assert!(
        !may_renew_after_heartbeat(3, Vec::new(), 15_000),
        "renewed although the launch may still arrive"
    );
    assert!(may_renew_after_heartbeat(
        4,
        vec![task_status("j-000001/0", attempt, TaskState::Running, None)],
        16_000
    ));
    let commands = partition.commands_for(
        &machine_name(1),
        CommandRoute::HeartbeatResponse,
        Timestamp::from_millis(16_000),
    );
    assert!(
        matches!(&commands[..], [Command::Stop { grace_s: 0.0, .. }]),
        "{commands:?}"
    );
}
