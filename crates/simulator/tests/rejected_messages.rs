//! Malformed, stale and misrouted messages to a controller change nothing and are counted, and no message
//! makes it panic. Messages are drawn at random with fixed seeds.

use controller::controller::DirectReply;
use controller::rejections::{MessageFault, MessageSource};
use controller::{AdminRequest, Event, HeartbeatReply, UserReply, UserRequest};
use model::{CallId, ControllerName, JobId};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use simulator::single_controller::job;
use simulator::SingleController;
use std::collections::BTreeMap;
use wire::cloud::{CloudReply, MachineList, MachineTypes};
use wire::mesh::{
    DemandShape, JobFailureSnapshot, MachineSnapshot, MachineStatus, MeshMessage, PartitionStatus,
    ReplicatedRecord, ReplicationBatch, ReplicationKey,
};
use wire::state::{Changes, Item, ListPage, StateReply};
use wire::users::{JobKind, Priority};
use wire::workers::{ExitCause, Heartbeat, TaskState, TaskStatus};

const MACHINES: usize = 3;

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

fn rejected(
    single_controller: &mut SingleController,
    source: MessageSource,
    fault: MessageFault,
) -> u64 {
    single_controller
        .controller()
        .counters
        .rejections
        .get(source, fault)
}

/// What the controller knows of the first jobs, as operators are told.
fn view(single_controller: &mut SingleController) -> Vec<String> {
    (1..=20)
        .map(|id| {
            single_controller
                .controller()
                .explain(&format!("j-{id:06}"))
        })
        .collect()
}

/// Lets time pass, with heartbeats of all machines.
fn run(single_controller: &mut SingleController, rounds: usize) {
    for _ in 0..rounds {
        single_controller.tick(100);
        for nth in 0..MACHINES {
            single_controller.send_heartbeat(nth);
        }
    }
}

/// Puts work on the machines.
fn fill_machines(single_controller: &mut SingleController) {
    // Odd teams belong to the partition of the silent peer, which has no machines.
    for _ in 0..4 {
        single_controller.submit(JobKind::Array, 3);
        single_controller.submit(JobKind::Service, 2);
    }
    run(single_controller, 12);
    assert!(single_controller.task_count() > 0, "there is work");
}

/// Addresses are used again: what another machine answers says nothing of a launch that was sent to the
/// one before. Taken for settled, the cancelled task would count as gone while its launch may still come.
#[test]
fn reply_of_other_machine_settles_no_direct_launch() {
    let mut single_controller = SingleController::new(MACHINES);
    let mut other = single_controller.workers()[0].next_heartbeat();
    other.machine = "host-999999".into();
    single_controller.answer_direct_calls_with(Some(other));
    single_controller.submit(JobKind::Array, 1);
    run(&mut single_controller, 10);
    assert_eq!(
        single_controller.task_count(),
        0,
        "the launch has reached nobody"
    );
    assert!(
        rejected(
            &mut single_controller,
            MessageSource::Worker,
            MessageFault::Misrouted
        ) > 0
    );
    single_controller.send_user_request(UserRequest::Cancel(JobId(1)));
    run(&mut single_controller, 30);
    assert_ne!(
        single_controller.controller().explain("j-000001"),
        "not open",
        "its launch may still come"
    );
    // A heartbeat under a higher token shows that the launch would not be executed any more.
    single_controller.answer_direct_calls_with(None);
    for _ in 0..20 {
        let tokens = single_controller
            .take_heartbeat_replies()
            .into_iter()
            .filter_map(|reply| match reply {
                HeartbeatReply::Response(answer) => Some(answer.token),
                _ => None,
            });
        let newest = tokens.max().expect("workers are answered");
        for worker in single_controller.workers() {
            worker.token = worker.token.max(newest);
        }
        run(&mut single_controller, 5);
    }
    assert_eq!(
        single_controller.controller().explain("j-000001"),
        "not open"
    );
}

#[test]
fn stale_heartbeat_is_answered_and_changes_nothing() {
    let mut single_controller = SingleController::new(MACHINES);
    let old = single_controller.workers()[0].next_heartbeat();
    fill_machines(&mut single_controller);
    let before = view(&mut single_controller);
    let counted = rejected(
        &mut single_controller,
        MessageSource::Worker,
        MessageFault::Stale,
    );
    single_controller.inject_heartbeat(old);
    assert!(matches!(
        single_controller.take_heartbeat_replies().last(),
        Some(HeartbeatReply::Response(_))
    ));
    assert_eq!(view(&mut single_controller), before);
    assert_eq!(
        rejected(
            &mut single_controller,
            MessageSource::Worker,
            MessageFault::Stale
        ),
        counted + 1
    );
}

#[test]
fn mesh_messages_of_unknown_peer_change_nothing() {
    let mut single_controller = SingleController::with_silent_peer(MACHINES);
    fill_machines(&mut single_controller);
    let before = view(&mut single_controller);
    let messages = [
        MeshMessage::LeaderChanged {
            partition: 0,
            term: 1 << 30,
            leader: "n1".into(),
        },
        MeshMessage::JobsCancelled { jobs: vec![1] },
        MeshMessage::ReleaseMachine {
            machine: "host-000000".into(),
            to: None,
        },
        MeshMessage::ReclaimRequest {
            partition: 0,
            lease: 1,
            incarnation: 1,
        },
    ];
    for sender in ["n0", "stranger", "", "n1 "] {
        for message in &messages {
            let (from, message) = (ControllerName::from(sender), message.clone());
            single_controller.inject(Event::Mesh { from, message });
        }
    }
    assert_eq!(view(&mut single_controller), before);
    assert_eq!(
        rejected(
            &mut single_controller,
            MessageSource::Peer,
            MessageFault::UnknownSender
        ),
        16
    );
    // A peer cannot take a partition over for another, nor have a machine moved to none.
    let message = MeshMessage::LeaderChanged {
        partition: 0,
        term: 1 << 30,
        leader: "n7".into(),
    };
    single_controller.inject(Event::Mesh {
        from: ControllerName::from("n1"),
        message,
    });
    assert_eq!(
        rejected(
            &mut single_controller,
            MessageSource::Peer,
            MessageFault::Misrouted
        ),
        1
    );
    let message = MeshMessage::ReleaseMachine {
        machine: "host-000000".into(),
        to: Some(7),
    };
    single_controller.inject(Event::Mesh {
        from: ControllerName::from("n1"),
        message,
    });
    assert_eq!(
        rejected(
            &mut single_controller,
            MessageSource::Peer,
            MessageFault::Malformed
        ),
        1
    );
    single_controller.take_heartbeat_replies();
    run(&mut single_controller, 1);
    let replies = single_controller.take_heartbeat_replies();
    assert!(
        replies
            .iter()
            .all(|reply| matches!(reply, HeartbeatReply::Response(_))),
        "{replies:?}"
    );
    for _ in 0..8 {
        single_controller.submit(JobKind::Array, 3);
    }
    run(&mut single_controller, 20);
    let unused = single_controller
        .workers()
        .iter()
        .filter(|worker| worker.tasks.is_empty())
        .count();
    assert_eq!(unused, 0, "all machines are given work");
}

#[test]
fn unschedulable_submissions_are_rejected_with_reason() {
    let mut single_controller = SingleController::new(MACHINES);
    let refused = |single_controller: &mut SingleController,
                   change: &dyn Fn(&mut wire::users::JobRequest)| {
        let mut request = job(77, JobKind::Array, 1);
        change(&mut request);
        single_controller.take_user_replies();
        single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
        for _ in 0..10 {
            single_controller.tick(100);
        }
        single_controller.take_user_replies().pop()
    };
    let by = |reply: Option<UserReply>| match reply {
        Some(UserReply::Rejected(reason)) => reason.to_string(),
        other => format!("{other:?}"),
    };
    let unknown_team = refused(&mut single_controller, &|job| job.team = "nobody".into());
    assert_eq!(by(unknown_team), "unknown team");
    // No machine of the site has GPUs.
    for gpus in [0.001, 0.5, 1.0, 1e9] {
        let beyond = refused(&mut single_controller, &|job| job.gpus = gpus);
        assert_eq!(
            by(beyond),
            "a task fits no allowed machine type",
            "{gpus} GPUs"
        );
    }
    for gpus in [-1.0, -1e-9, f64::NAN, f64::INFINITY, 1e10] {
        let invalid = refused(&mut single_controller, &|job| job.gpus = gpus);
        assert!(
            matches!(invalid, Some(UserReply::Invalid(_))),
            "{gpus} GPUs: {invalid:?}"
        );
    }
    let beyond_limit = refused(&mut single_controller, &|job| {
        job.kind = JobKind::Gang;
        job.task_count = 1_000;
    });
    assert_eq!(by(beyond_limit), "the job needs more than the team's limit");
    let accepted = refused(&mut single_controller, &|_| {});
    assert!(
        matches!(accepted, Some(UserReply::Created(_))),
        "{accepted:?}"
    );
}

/// Numbers at the ends of what a field holds, and some within.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..6u64, Just(1 << 40), Just(u64::MAX - 1), Just(u64::MAX)]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![0..4u32, Just(u32::MAX - 1), Just(u32::MAX)]
}

fn amount() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(1.0),
        Just(-1.0),
        Just(1e300),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY)
    ]
}

fn machine_name() -> impl Strategy<Value = String> {
    prop_oneof![
        (0..MACHINES).prop_map(|nth| format!("host-{nth:06}")),
        Just("host-999999".to_owned()),
        Just(String::new()),
        Just("x".repeat(300)),
    ]
}

fn task_name() -> impl Strategy<Value = String> {
    prop_oneof![
        (1..9u64, 0..4u32).prop_map(|(id, index)| format!("j-{id:06}/{index}")),
        Just("j-000001/4294967295".to_owned()),
        Just("j-18446744073709551615/0".to_owned()),
        Just("j-1/0".to_owned()),
        Just("j-000001".to_owned()),
        Just(String::new()),
    ]
}

prop_compose! {
    fn shape()(
        amounts in (number(), number(), number()),
        counts in (number(), number(), number(), number()),
        spot in any::<bool>(),
        zone in prop::option::of("[a-c]"),
        types in prop::option::of(vec("m4|", 0..3)),
        low in any::<bool>(),
    ) -> DemandShape {
        DemandShape {
            milli_cpus: amounts.0, milli_gpus: amounts.1, memory_mb: amounts.2,
            allowed_machine_types: types, zone, spot_allowed: spot, task_count: counts.0, urgent_count: counts.1, estimated_run_time_ms: counts.2,
            priority: if low { Priority::Low } else { Priority::High }, gang_size: counts.3,
        }
    }
}

prop_compose! {
    fn load()(
        partition in small_number(),
        term in number(),
        demand in vec(shape(), 0..4),
        machines in vec((machine_name(), small_number(), number(), any::<[bool; 4]>()), 0..4),
    ) -> PartitionStatus {
        let machine = |(machine, tasks, ms, flags): (String, u32, u64, [bool; 4])| MachineStatus {
            machine, task_count: tasks, idle_ms: ms, reporting: flags[0], quarantined: flags[1], since_heartbeat_ms: ms,
            transferable: flags[2], best_effort: flags[3], transfer_to: flags[0].then_some(tasks),
        };
        PartitionStatus {
            partition, term, demand, machines: machines.into_iter().map(machine).collect(),
        }
    }
}

fn hint() -> impl Strategy<Value = ReplicatedRecord> {
    let machine = (
        machine_name(),
        number(),
        prop::option::of(number()),
        amount(),
    )
        .prop_map(|(machine, session, idle_since_ms, gb)| {
            ReplicatedRecord::Machine(MachineSnapshot {
                address: format!("{machine}:9000"),
                machine,
                worker_epoch: session,
                reporting: true,
                quarantined: false,
                idle_since_ms,
                images: vec![("img-1".into(), gb)],
            })
        });
    let job = (
        number(),
        vec((small_number(), small_number()), 0..3),
        small_number(),
        number(),
    )
        .prop_map(|(job, failures, successes, longest_failure_ms)| {
            let failed_on = vec!["host-000000".to_owned(); 3];
            ReplicatedRecord::Job(JobFailureSnapshot {
                job,
                failures,
                failed_on,
                successes,
                longest_failure_ms,
            })
        });
    let gone = number().prop_map(|id| ReplicatedRecord::Removed(ReplicationKey::Job(id)));
    prop_oneof![machine, job, gone]
}

fn records() -> impl Strategy<Value = ReplicationBatch> {
    (small_number(), vec(number(), 7), vec(hint(), 0..4)).prop_map(|(partition, n, records)| {
        ReplicationBatch {
            partition,
            incarnation: n[0],
            term: n[1],
            after: n[2],
            up_to: n[3],
            newest: n[4],
            tombstones_dropped_up_to: n[5],
            sent_at_ms: n[6],
            records,
        }
    })
}

fn mesh_message() -> impl Strategy<Value = MeshMessage> {
    let peer_heartbeat_ages = || vec(("n[0-2]", number()), 0..3);
    prop_oneof![
        (
            number(),
            number(),
            any::<bool>(),
            any::<bool>(),
            peer_heartbeat_ages()
        )
            .prop_map(
                |(incarnation, revision, state_contact, ready, peer_heartbeat_ages)| {
                    MeshMessage::Heartbeat {
                        incarnation,
                        revision,
                        state_contact,
                        ready,
                        peer_heartbeat_ages,
                    }
                }
            ),
        load().prop_map(MeshMessage::PartitionStatus),
        (machine_name(), prop::option::of(small_number()))
            .prop_map(|(machine, to)| MeshMessage::ReleaseMachine { machine, to }),
        (small_number(), small_number(), small_number(), shape()).prop_map(
            |(from, to, count, shape)| MeshMessage::TransferMachines {
                from,
                to,
                count,
                shape
            }
        ),
        (small_number(), number(), "n[0-2]").prop_map(|(partition, term, leader)| {
            MeshMessage::LeaderChanged {
                partition,
                term,
                leader,
            }
        }),
        small_number().prop_map(|partition| MeshMessage::LeadershipResigned { partition }),
        (small_number(), number(), number()).prop_map(|(partition, lease, incarnation)| {
            MeshMessage::ReclaimRequest {
                partition,
                lease,
                incarnation,
            }
        }),
        vec(number(), 0..4).prop_map(|jobs| MeshMessage::JobsCancelled { jobs }),
        vec((number(), number(), number()), 0..4)
            .prop_map(|jobs| MeshMessage::JobProgress { jobs }),
        (small_number(), number(), number(), number()).prop_map(
            |(partition, incarnation, term, applied)| {
                MeshMessage::Subscribe {
                    partition,
                    incarnation,
                    term,
                    applied,
                }
            }
        ),
        records().prop_map(MeshMessage::Replication),
    ]
}

fn task_report() -> impl Strategy<Value = TaskStatus> {
    let state = prop::sample::select(vec![
        TaskState::Fetching,
        TaskState::Waiting,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Exited,
    ]);
    let why = prop::option::of(prop::sample::select(vec![
        ExitCause::Done,
        ExitCause::Stopped,
        ExitCause::NoFreeCapacity,
        ExitCause::Busy,
        ExitCause::Error,
    ]));
    (task_name(), number(), state, why).prop_map(|(task, attempt, state, why)| TaskStatus {
        task,
        attempt,
        state,
        exit_cause: why,
        checkpoint_saved: None,
    })
}

fn report() -> impl Strategy<Value = Heartbeat> {
    let place = ("m4|", "[ab]?", any::<bool>());
    let numbers = (number(), number(), number());
    let tasks = vec(task_report(), 0..5);
    (
        machine_name(),
        place,
        numbers,
        prop::option::of(amount()),
        tasks,
    )
        .prop_map(
            |(machine, (machine_type, zone, spot), (session, seq, token), notice_s, tasks)| {
                Heartbeat {
                    address: format!("{machine}:9000"),
                    machine,
                    machine_type,
                    zone,
                    spot,
                    worker_epoch: session,
                    sequence_number: seq,
                    token,
                    reclaimed_in_s: notice_s,
                    tasks,
                }
            },
        )
}

/// A record that no controller has written.
fn foreign_record() -> impl Strategy<Value = (String, Value)> {
    let key = prop::sample::select(vec![
        "s/t",
        "s/k",
        "s/c",
        "s/m/0000",
        "s/m/0001",
        "s/m/4294967295",
        "s/p/0",
        "s/p/1",
        "s/p/9",
        "s/j/n0/0000",
        "s/j/n0/4294967295",
        "s/j/n1/0003",
        "s/x/n1",
        "s/e/0/0000",
        "s/e/7/x",
        "s/b/n1",
        "s/w/0",
        "s/d/1",
        "s/unknown/1",
        "s/",
        "l/0/0000",
        "l/0/0009",
    ]);
    let value = prop_oneof![
        Just(Value::Null),
        Just(json!({})),
        Just(json!("text")),
        number().prop_map(|next| json!({ "next": next })),
        number().prop_map(|n| json!({ "jobs": [n, n, 1, 2] })),
        number().prop_map(|n| json!({ "d": [n, 1], "c": [1, n], "fd": [n] })),
        number().prop_map(|n| json!({ "holder": "n1", "boot": n, "term": n })),
        number().prop_map(|n| json!({ "node": "n1", "boot": n, "lease": n })),
        number().prop_map(|n| json!({ "round": n, "items": [[1, 0, {}], [n, 4294967295u32, {}]] })),
        (0..9u32, number()).prop_map(|(partition, token)| json!({ "machines": [
            ["host-000000", "m4", "a", false, partition, token, false],
            ["", "m4", "a", false, 0, 0, false],
            ["host-777777", "none", "", true, 0, token, true],
        ] })),
        number().prop_map(|order| {
            let packed = controller::records::PackedJob::new(order, job(9, JobKind::Gang, 3));
            json!({ "jobs": [packed, [], [1, 7], ["j-000001"], [order, "j-000003"]] })
        }),
        Just(json!({ "rigs": [{ "label": "m4", "vcpus": -1.0, "ram_gb": 1e300 }] })),
        Just(json!({ "max_backoff_s": -3.0 })),
    ];
    (key.prop_map(str::to_owned), value)
}

#[derive(Debug, Clone)]
enum Step {
    Tick(u64),
    Reports,
    Mesh(&'static str, MeshMessage),
    Forged(Heartbeat),
    Foreign(String, Value),
    LateState(StateReply),
    LateCloud(CloudReply),
    LateWorker(Heartbeat),
    Ask(u64),
    Cancel(u64),
    Submit(u64, f64),
    Admin(Value),
    TakeOver,
}

fn state_reply() -> impl Strategy<Value = StateReply> {
    let item = || Item {
        key: "s/p/0".into(),
        value: json!({}),
        version: u64::MAX,
        lease: Some(u64::MAX),
    };
    prop_oneof![
        Just(StateReply::Unknown),
        Just(StateReply::Compacted),
        Just(StateReply::NotFound),
        number().prop_map(|revision| StateReply::Committed { revision }),
        number().prop_map(StateReply::Lease),
        number().prop_map(move |revision| {
            StateReply::List(ListPage {
                items: vec![item(), item()],
                has_more: true,
                revision,
            })
        }),
        number().prop_map(|revision| StateReply::Changes(Changes {
            revision,
            events: Vec::new()
        })),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let sender = prop::sample::select(vec!["n1", "n1", "n1", "n0", "stranger"]);
    let cloud = prop_oneof![
        Just(CloudReply::MachineTypes(MachineTypes::default())),
        Just(CloudReply::MachineList(MachineList {
            machines: Vec::new(),
            has_more: true
        })),
        Just(CloudReply::Rented(vec![String::new()])),
    ];
    prop_oneof![
        4 => prop::sample::select(vec![1u64, 100, 700, 3_000]).prop_map(Step::Tick),
        2 => Just(Step::Reports),
        6 => (sender, mesh_message()).prop_map(|(from, message)| Step::Mesh(from, message)),
        2 => report().prop_map(Step::Forged),
        2 => foreign_record().prop_map(|(key, value)| Step::Foreign(key, value)),
        1 => state_reply().prop_map(Step::LateState),
        1 => cloud.prop_map(Step::LateCloud),
        1 => report().prop_map(Step::LateWorker),
        1 => number().prop_map(Step::Ask),
        1 => (1..9u64).prop_map(Step::Cancel),
        2 => (1..12u64, amount()).prop_map(|(id, amount)| Step::Submit(id, amount)),
        1 => foreign_record().prop_map(|(_, value)| Step::Admin(value)),
        1 => Just(Step::TakeOver),
    ]
}

fn play(single_controller: &mut SingleController, step: Step) {
    let call = CallId(u64::MAX);
    match step {
        Step::Tick(ms) => {
            single_controller.tick(ms);
        }
        Step::Reports => run(single_controller, 1),
        Step::Mesh(from, message) => {
            single_controller.inject(Event::Mesh {
                from: ControllerName::from(from),
                message,
            });
        }
        Step::Forged(report) => single_controller.inject_heartbeat(report),
        Step::Foreign(key, value) => single_controller.put_state_value(&key, value),
        Step::LateState(reply) => single_controller.inject(Event::State { call, reply }),
        Step::LateCloud(reply) => single_controller.inject(Event::Cloud { call, reply }),
        Step::LateWorker(report) => {
            let reply = DirectReply::Answered(Box::new(report));
            single_controller.inject(Event::Worker { call, reply });
        }
        Step::Ask(id) => single_controller.send_user_request(UserRequest::Get(JobId(id))),
        Step::Cancel(id) => single_controller.send_user_request(UserRequest::Cancel(JobId(id))),
        Step::Submit(id, amount) => {
            let mut request = job(id, JobKind::Array, 3);
            (request.cpus, request.estimated_run_time_s) = (amount, amount);
            single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
        }
        Step::Admin(settings) => {
            let request = AdminRequest::ChangeSettings {
                version: 0,
                settings,
            };
            single_controller.inject(Event::Admin { ticket: 0, request });
        }
        Step::TakeOver => single_controller.restart(),
    }
}

/// Tasks that are on two machines at a time.
fn on_two_machines(single_controller: &mut SingleController) -> Vec<String> {
    let mut places: BTreeMap<String, usize> = BTreeMap::new();
    for worker in single_controller.workers() {
        let held = worker.tasks.iter().filter(|(_, held)| held.is_present());
        for ((task, _), _) in held {
            *places.entry(task.clone()).or_default() += 1;
        }
    }
    places
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(task, _)| task)
        .collect()
}

/// Steps that say nothing false of a machine or of what is recorded: no rule may break by them.
fn proves_nothing(step: &Step) -> bool {
    !matches!(step, Step::Forged(_) | Step::Foreign(..) | Step::TakeOver)
}

proptest! {
    #![proptest_config(config(48, 7))]

    #[test]
    fn arbitrary_messages_cause_no_panic(steps in vec(step(), 1..40)) {
        let mut single_controller = SingleController::with_silent_peer(MACHINES);
        fill_machines(&mut single_controller);
        for step in steps {
            play(&mut single_controller, step);
        }
        run(&mut single_controller, 3);
    }

    #[test]
    fn malformed_messages_start_no_task_twice(steps in vec(step().prop_filter("said", proves_nothing), 1..40)) {
        let mut single_controller = SingleController::with_silent_peer(MACHINES);
        fill_machines(&mut single_controller);
        for step in steps {
            play(&mut single_controller, step);
            prop_assert_eq!(on_two_machines(&mut single_controller), Vec::<String>::new());
        }
    }
}

proptest! {
    #![proptest_config(config(24, 8))]

    #[test]
    fn malformed_heartbeats_change_nothing(faults in vec((0..MACHINES, 0..6usize), 1..20)) {
        let mut single_controller = SingleController::new(MACHINES);
        fill_machines(&mut single_controller);
        let before = view(&mut single_controller);
        single_controller.take_heartbeat_replies();
        single_controller.controller().counters.rejections.drain().for_each(drop);
        for (nth, fault) in &faults {
            let mut report = single_controller.workers()[*nth].next_heartbeat();
            match fault {
                0 => report.machine_type = String::new(),
                1 => report.machine = "x".repeat(300),
                2 => report.address = "host:9000/commands?".into(),
                3 => report.zone = "z".repeat(256),
                4 => report.address = String::new(),
                _ => {
                    report.tasks.truncate(1);
                    report.tasks.iter_mut().for_each(|entry| entry.task.push('x'));
                }
            }
            single_controller.inject_heartbeat(report);
        }
        let replies = single_controller.take_heartbeat_replies();
        prop_assert!(replies.iter().all(|reply| *reply == HeartbeatReply::Malformed), "{replies:?}");
        let counted = rejected(&mut single_controller, MessageSource::Worker, MessageFault::Malformed);
        prop_assert_eq!(counted, faults.len() as u64);
        prop_assert_eq!(view(&mut single_controller), before);
        run(&mut single_controller, 1);
        let replies = single_controller.take_heartbeat_replies();
        prop_assert!(replies.iter().all(|reply| matches!(reply, HeartbeatReply::Response(_))));
    }
}
