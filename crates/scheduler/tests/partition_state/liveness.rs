//! Unresponsive and lost machines.

use crate::builders::{
    add_machine, heartbeat, job, machine_name, make_durable, new_partition,
    partition_with_four_machines, send_heartbeat,
};
use model::{MachineName, Resources, Timestamp};
use scheduler::{CommandRoute, PartitionState, StatusSource};
use std::time::Duration;
use wire::users::{JobKind, Priority};
use wire::workers::Heartbeat;

/// Seen when a holder lost its workers: the first that were missed were given back to the cloud
/// with their replicas, before it was clear that all were silent.
#[test]
fn first_of_many_unresponsive_machines_are_not_lost() {
    let mut share = partition_with_four_machines();
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 16),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(200), 100);
    (1..=4).for_each(|n| {
        send_heartbeat(
            &mut share,
            n,
            2,
            Vec::new(),
            Timestamp::from_millis(1_000 + u64::from(n) * 300),
        )
    });
    let (late, patience) = (Duration::from_millis(2_700), Duration::from_secs(5));
    let silent = |share: &PartitionState, now| {
        share.unresponsive_machines_with_replicas(Timestamp::from_millis(0), now, late, patience)
    };
    // Machines that boot say nothing for us: seen with 21 of 113 up, all of them silent.
    (5..=30).for_each(|n| add_machine(&mut share, n));
    assert_eq!(silent(&share, Timestamp::from_millis(6_400)), []);
    (2..=4)
        .for_each(|n| send_heartbeat(&mut share, n, 3, Vec::new(), Timestamp::from_millis(6_500)));
    assert_eq!(
        silent(&share, Timestamp::from_millis(6_600)),
        [machine_name(1)],
        "one alone is"
    );
}

/// On a small site three silent machines of ten were "many", and their replicas waited for leases.
#[test]
fn three_unresponsive_machines_of_ten_are_lost_but_not_four() {
    let mut share = partition_with_four_machines();
    (5..=10).for_each(|n| add_machine(&mut share, n));
    (1..=10)
        .for_each(|n| send_heartbeat(&mut share, n, 2, Vec::new(), Timestamp::from_millis(1_000)));
    share
        .teams
        .values_mut()
        .for_each(|t| t.limit = Resources::offered(40.0, 0.0, 0.0));
    share.add_job(
        job(1, "t", JobKind::Service, Priority::High, 40),
        1,
        &[],
        Timestamp::from_millis(1_000),
    );
    share.run_cycles(Timestamp::from_millis(1_100), 100);
    let silent = |share: &PartitionState, n| {
        share
            .unresponsive_machines_with_replicas(
                Timestamp::from_millis(0),
                Timestamp::from_millis(n),
                Duration::from_millis(2_700),
                Duration::from_secs(5),
            )
            .len()
    };
    (5..=10)
        .for_each(|n| send_heartbeat(&mut share, n, 3, Vec::new(), Timestamp::from_millis(6_000)));
    assert_eq!(silent(&share, 6_100), 0, "four of ten");
    send_heartbeat(&mut share, 4, 3, Vec::new(), Timestamp::from_millis(6_050));
    assert_eq!(silent(&share, 6_100), 3);
}

/// Seen on days on which a hundred machines hang or die at once: replicas were missed after 14 s, by
/// the reports that did not come. A machine that is asked and does not answer twice is lost, unless
/// half of its zone is quiet too: then the network is at fault.
#[test]
fn unanswered_probes_lose_machine_unless_zone_is_unresponsive() {
    let asked = |zone_is_quiet: bool, alarm_before: bool| -> Vec<MachineName> {
        let mut share = new_partition();
        share.heartbeat_interval = Duration::from_secs(5);
        for n in 2..=8 {
            add_machine(&mut share, n);
        }
        let hear = |share: &mut PartitionState, n: u32, seq: u64, at: u64| {
            let report = Heartbeat {
                machine: machine_name(n).to_string(),
                ..heartbeat(seq, None, Vec::new())
            };
            share.reconcile(&report, StatusSource::Heartbeat, Timestamp::from_millis(at));
        };
        (1..=8).for_each(|n| hear(&mut share, n, 1, 100));
        for id in 1..=8 {
            let team = if id % 2 == 0 { "t" } else { "u" };
            share.add_job(
                job(id, team, JobKind::Service, Priority::High, 1),
                id,
                &[],
                Timestamp::from_millis(100),
            );
        }
        share.run_cycles(Timestamp::from_millis(100), 100);
        make_durable(&mut share);
        let busy: Vec<MachineName> = share
            .machines
            .values()
            .filter(|m| !m.tasks.is_empty())
            .map(|m| m.name.clone())
            .collect();
        assert!(busy.len() >= 2, "{busy:?}");
        assert_eq!(
            share.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(2_000)),
            [],
            "it was heard just now"
        );
        if alarm_before {
            // One is missed for a moment, all are heard, and only then we are cut off.
            share.record_probe_result(&busy[1], false, Timestamp::from_millis(2_000));
            (1..=8).for_each(|n| hear(&mut share, n, 2, 2_100));
        }
        for at in [3_200, 4_400, 5_700] {
            let names =
                share.machines_to_probe(Timestamp::from_millis(0), Timestamp::from_millis(at));
            for asked in names.into_iter().map(|question| question.machine) {
                let answers = !zone_is_quiet && asked != busy[0];
                share.record_probe_result(
                    &asked,
                    answers,
                    Timestamp::from_millis(at + if answers { 5 } else { 900 }),
                );
                let number = (1..=8).find(|n| answers && machine_name(*n) == asked);
                number.iter().for_each(|n| hear(&mut share, *n, at, at + 5));
            }
        }
        share.lost_machines()
    };
    assert_eq!(asked(false, false).len(), 1);
    assert_eq!(asked(true, false), []);
    assert_eq!(
        asked(true, true),
        [],
        "they were heard before we were cut off"
    );
}

/// Its reports arrive; nothing that is sent to it does. It was given task after task, each of which waited
/// there for ever.
#[test]
fn unreachable_machine_gets_no_tasks_until_it_answers() {
    let mut share = new_partition();
    let name = MachineName::from("host-000001");
    share.reconcile(
        &heartbeat(1, None, Vec::new()),
        StatusSource::Heartbeat,
        Timestamp::from_millis(100),
    );
    share.add_job(
        job(1, "t", JobKind::Array, Priority::Normal, 1),
        1,
        &[],
        Timestamp::from_millis(100),
    );
    share.run_cycles(Timestamp::from_millis(100), 100);
    make_durable(&mut share);
    assert_eq!(
        share
            .commands_for(&name, CommandRoute::DirectCall, Timestamp::from_millis(100))
            .len(),
        1
    );
    share.record_unanswered_commands(&name, Timestamp::from_millis(2_600));
    share.add_job(
        job(2, "t", JobKind::Array, Priority::Normal, 1),
        2,
        &[],
        Timestamp::from_millis(3_000),
    );
    for (seq, at) in [(2, 3_000), (3, 9_000)] {
        share.reconcile(
            &heartbeat(seq, None, Vec::new()),
            StatusSource::Heartbeat,
            Timestamp::from_millis(at),
        );
        share.run_cycles(Timestamp::from_millis(at), 100);
        assert_eq!(
            share.jobs[&model::JobId(2)].placed.len(),
            0,
            "nothing new goes there"
        );
        assert_eq!(
            share.jobs[&model::JobId(1)].placed.len(),
            1,
            "the launch may yet arrive"
        );
        assert!(share.machines[&name].is_unreachable());
        let asked = share.machines_to_probe(
            Timestamp::from_millis(0),
            Timestamp::from_millis(at + 1_000),
        );
        assert_eq!(asked.len(), 1, "it is asked");
        share.record_probe_result(&name, false, Timestamp::from_millis(at + 1_900));
    }
    assert_eq!(share.lost_machines(), [], "it is heard, so it lives");
    // Its lease has ended: the launch named the session before.
    let new = Heartbeat {
        session: 2,
        ..heartbeat(4, None, Vec::new())
    };
    share.reconcile(
        &new,
        StatusSource::Heartbeat,
        Timestamp::from_millis(13_000),
    );
    assert_eq!(share.jobs[&model::JobId(1)].placed.len(), 0, "proven gone");
    let answer = Heartbeat {
        session: 2,
        ..heartbeat(5, None, Vec::new())
    };
    share.reconcile(
        &answer,
        StatusSource::Direct,
        Timestamp::from_millis(14_000),
    );
    share.run_cycles(Timestamp::from_millis(14_000), 100);
    assert_eq!(
        share.jobs[&model::JobId(2)].placed.len(),
        1,
        "used again without ceremony"
    );
}
