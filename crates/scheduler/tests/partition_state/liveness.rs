//! Detection of unresponsive, lost and unreachable machines.

use crate::builders::{
    add_machine, heartbeat, job, machine_name, make_durable, new_partition,
    partition_with_four_machines, send_heartbeat,
};
use model::{MachineName, Resources, Timestamp};
use scheduler::{CommandRoute, PartitionState, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::Heartbeat;

/// When a leader lost contact to all its workers, it released the first machines whose heartbeats were
/// missed, together with their replicas, before it was clear that heartbeats were missing from all of them.
#[test]
fn first_of_many_unresponsive_machines_are_not_lost() {
    let mut partition = partition_with_four_machines();
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 16),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    partition.run_cycles(Timestamp::from_millis(200), 100);
    (1..=4).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            2,
            Vec::new(),
            Timestamp::from_millis(1_000 + u64::from(n) * 300),
        )
    });
    let (late_after, timeout) = (Duration::from_millis(2_700), Duration::from_secs(5));
    let unresponsive = |partition: &PartitionState, now| {
        partition.unresponsive_machines_with_replicas(
            Timestamp::from_millis(0),
            now,
            late_after,
            timeout,
        )
    };
    // Booting machines must not count as responsive: in one case 21 of 113 machines were up, and heartbeats
    // were missing from all 21.
    (5..=30).for_each(|n| add_machine(&mut partition, n));
    assert_eq!(unresponsive(&partition, Timestamp::from_millis(6_400)), []);
    (2..=4).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            3,
            Vec::new(),
            Timestamp::from_millis(6_500),
        )
    });
    assert_eq!(
        unresponsive(&partition, Timestamp::from_millis(6_600)),
        [machine_name(1)],
        "a single unresponsive machine"
    );
}

/// If three unresponsive machines of ten counted as a network fault, their replicas would start elsewhere
/// only after lease expiry.
#[test]
fn three_unresponsive_machines_of_ten_are_lost_but_not_four() {
    let mut partition = partition_with_four_machines();
    (5..=10).for_each(|n| add_machine(&mut partition, n));
    (1..=10).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            2,
            Vec::new(),
            Timestamp::from_millis(1_000),
        )
    });
    partition
        .teams
        .values_mut()
        .for_each(|team| team.limit = Resources::offered(40.0, 0.0, 0.0));
    partition.add_job(
        job(1, "t", JobKind::Service, Priority::High, 40),
        1,
        &[],
        Timestamp::from_millis(1_000),
    );
    partition.run_cycles(Timestamp::from_millis(1_100), 100);
    let count_unresponsive = |partition: &PartitionState, now_ms| {
        partition
            .unresponsive_machines_with_replicas(
                Timestamp::from_millis(0),
                Timestamp::from_millis(now_ms),
                Duration::from_millis(2_700),
                Duration::from_secs(5),
            )
            .len()
    };
    (5..=10).for_each(|n| {
        send_heartbeat(
            &mut partition,
            n,
            3,
            Vec::new(),
            Timestamp::from_millis(6_000),
        )
    });
    assert_eq!(count_unresponsive(&partition, 6_100), 0, "four of ten");
    send_heartbeat(
        &mut partition,
        4,
        3,
        Vec::new(),
        Timestamp::from_millis(6_050),
    );
    assert_eq!(count_unresponsive(&partition, 6_100), 3);
}

/// When a hundred machines hung or crashed at once, missed heartbeats alone revealed the loss of their
/// replicas only after 14 s. A machine that leaves two probes unanswered is lost, unless more than half of
/// its zone does not answer either: then the network is at fault.
#[test]
fn machine_with_unanswered_probes_is_lost_unless_its_zone_is_unresponsive() {
    let lost_after_probes = |zone_unresponsive: bool, alarm_before: bool| -> Vec<MachineName> {
        let mut partition = new_partition();
        partition.heartbeat_interval = Duration::from_secs(5);
        for n in 2..=8 {
            add_machine(&mut partition, n);
        }
        let heartbeat_at = |partition: &mut PartitionState, n: u32, seq: u64, at: u64| {
            let heartbeat = Heartbeat {
                machine: machine_name(n).to_string(),
                ..heartbeat(seq, None, Vec::new())
            };
            partition.reconcile(
                &heartbeat,
                StatusSource::Heartbeat,
                Timestamp::from_millis(at),
            );
        };
        (1..=8).for_each(|n| heartbeat_at(&mut partition, n, 1, 100));
        for id in 1..=8 {
            let team = if id % 2 == 0 { "t" } else { "u" };
            partition.add_job(
                job(id, team, JobKind::Service, Priority::High, 1),
                id,
                &[],
                Timestamp::from_millis(100),
            );
        }
        partition.run_cycles(Timestamp::from_millis(100), 100);
        make_durable(&mut partition);
        let busy: Vec<MachineName> = partition
            .machines
            .values()
            .filter(|machine| !machine.tasks.is_empty())
            .map(|machine| machine.name.clone())
            .collect();
        assert!(busy.len() >= 2, "{busy:?}");
        assert_eq!(
            partition.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(2_000)),
            [],
            "probed although the newest status is recent"
        );
        if alarm_before {
            // One probe fails, then all machines send a heartbeat, and only then the network fails.
            partition.record_probe_result(&busy[1], false, Timestamp::from_millis(2_000));
            (1..=8).for_each(|n| heartbeat_at(&mut partition, n, 2, 2_100));
        }
        for at in [3_200, 4_400, 5_700] {
            let probes =
                partition.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(at));
            for probed in probes.into_iter().map(|probe| probe.machine) {
                let answers = !zone_unresponsive && probed != busy[0];
                partition.record_probe_result(
                    &probed,
                    answers,
                    Timestamp::from_millis(at + if answers { 5 } else { 900 }),
                );
                let number = (1..=8).find(|n| answers && machine_name(*n) == probed);
                number
                    .iter()
                    .for_each(|n| heartbeat_at(&mut partition, *n, at, at + 5));
            }
        }
        partition.lost_machines()
    };
    assert_eq!(lost_after_probes(false, false).len(), 1);
    assert_eq!(lost_after_probes(true, false), []);
    assert_eq!(
        lost_after_probes(true, true),
        [],
        "the other statuses are from before the network fault"
    );
}

/// Heartbeats of the machine arrive, but nothing that is sent to it does. Without the suspicion it would
/// get task after task, none of which would ever start.
#[test]
fn unreachable_machine_gets_no_tasks_until_it_answers() {
    let mut partition = new_partition();
    let name = MachineName::from("host-000001");
    partition.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    partition.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    partition.run_cycles(Timestamp::from_millis(100), 100);
    make_durable(&mut partition);
    assert_eq!(
        partition
            .commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(100))
            .len(),
        1
    );
    partition.record_unanswered_commands(&name, Timestamp::from_millis(2_600));
    partition.add_job(
        job(2, "t", JobKind::Array, Priority::Normal, 1),
        2,
        &[],
        Timestamp::from_millis(3_000),
    );
    for (seq, at) in [(2, 3_000), (3, 9_000)] {
        partition.reconcile(
            &heartbeat(seq, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        partition.run_cycles(Timestamp::from_millis(at), 100);
        assert_eq!(
            partition.jobs[&model::JobId(2)].placed.len(),
            0,
            "a task was placed on the unreachable machine"
        );
        assert_eq!(
            partition.jobs[&model::JobId(1)].placed.len(),
            1,
            "dropped although the launch may still arrive"
        );
        assert!(partition.machines[&name].is_unreachable());
        let probes = partition.machines_to_probe(
            Timestamp::from_millis(0),
            Timestamp::from_millis(at + 1_000),
        );
        assert_eq!(probes.len(), 1, "the machine is probed");
        partition.record_probe_result(&name, false, Timestamp::from_millis(at + 1_900));
    }
    assert_eq!(partition.lost_machines(), [], "its heartbeats arrive");
    // Its lease has expired: the launch named the previous worker epoch.
    let after_expiry = Heartbeat {
        worker_epoch: 2,
        ..heartbeat(4, None, Vec::new())
    };
    partition.reconcile(
        &after_expiry,
        StatusSource::Heartbeat,
        Timestamp::from_millis(13_000),
    );
    assert_eq!(
        partition.jobs[&model::JobId(1)].placed.len(),
        0,
        "the launch can no longer be executed"
    );
    let direct_response = Heartbeat {
        worker_epoch: 2,
        ..heartbeat(5, None, Vec::new())
    };
    partition.reconcile(
        &direct_response,
        StatusSource::DirectResponse,
        Timestamp::from_millis(14_000),
    );
    partition.run_cycles(Timestamp::from_millis(14_000), 100);
    assert_eq!(
        partition.jobs[&model::JobId(2)].placed.len(),
        1,
        "the machine is used again"
    );
}
