//! Renewal and expiry of worker leases.

use crate::builders::{heartbeat, job, machine_name, make_durable, new_partition, task_status};
use model::{MachineName, Timestamp};
use scheduler::{CommandRoute, StatusSource};
use wire::users::{JobKind, Priority};
use wire::workers::{Command, TaskState};

/// A lease counted from the arrival of a late copy would put the proof off by as much.
#[test]
fn late_heartbeat_copy_does_not_defer_lease_expiry() {
    let mut share = new_partition();
    let name = MachineName::from("host-000001");
    let first = heartbeat(1, None, Vec::new());
    for at in [100, 9_000] {
        let newer = share.reconcile(&first, StatusSource::Heartbeat, Timestamp::from_millis(at));
        let machine = share.machines.get_mut(&name).expect("it is there");
        machine.renew_lease(newer, Timestamp::from_millis(at));
        assert_eq!(machine.lease_renewed_at, Timestamp::from_millis(100));
    }
}

/// While the state service gives no higher token, a direct launch without an answer can only be voided by
/// the end of the machine's lease. So past the time that a cancellation leaves it is not answered, unless a
/// report shows the task, which the answer then stops.
#[test]
fn lease_is_not_renewed_while_cancelled_launch_may_arrive() {
    let mut share = new_partition();
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(100), 10);
    make_durable(&mut share);
    let sent = share.commands_for(
        &machine_name(1),
        CommandRoute::DirectCall,
        Timestamp::from_millis(110),
    );
    assert!(matches!(&sent[..], [Command::Start { .. }]), "{sent:?}");
    let attempt = share.jobs[&model::JobId(1)].placed[&0].attempt.0;
    share.cancel_job(model::JobId(1), Timestamp::from_millis(200));
    share.bound_lease_renewal(model::JobId(1), Timestamp::from_millis(15_000));
    let mut heard = |seq, tasks, at| {
        share.reconcile(
            &heartbeat(seq, None, tasks),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        share.may_renew_lease(&machine_name(1), Timestamp::from_millis(at))
    };
    assert!(
        heard(2, Vec::new(), 14_000),
        "there is time for a higher token"
    );
    assert!(!heard(3, Vec::new(), 15_000), "the launch may still come");
    assert!(heard(
        4,
        vec![task_status("j-000001/0", attempt, TaskState::Running, None)],
        16_000
    ));
    let halts = share.commands_for(
        &machine_name(1),
        CommandRoute::HeartbeatResponse,
        Timestamp::from_millis(16_000),
    );
    assert!(
        matches!(&halts[..], [Command::Stop { grace_s: 0.0, .. }]),
        "{halts:?}"
    );
}
