//! Malformed, stale and misrouted messages to a controller change nothing and are counted, and no message makes it
//! panic. Messages are drawn at random with fixed seeds.

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

fn rejected_count(
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

/// The controller's explanations of jobs 1 to 20, as operators get them.
fn explanations(single_controller: &mut SingleController) -> Vec<String> {
    (1..=20)
        .map(|id| {
            single_controller
                .controller()
                .explain(&format!("j-{id:06}"))
        })
        .collect()
}

/// Advances the time by 100 ms per round, with a heartbeat of every machine in each.
fn run(single_controller: &mut SingleController, rounds: usize) {
    for _ in 0..rounds {
        single_controller.tick(100);
        for machine_index in 0..MACHINES {
            single_controller.send_heartbeat(machine_index);
        }
    }
}

/// Submits jobs and runs until their tasks are placed on the machines.
fn fill_machines(single_controller: &mut SingleController) {
    // Teams with odd numbers belong to the partition of the silent peer, which has no machines.
    for _ in 0..4 {
        single_controller.submit(JobKind::Array, 3);
        single_controller.submit(JobKind::Service, 2);
    }
    run(single_controller, 12);
    assert!(single_controller.task_count() > 0, "no task runs");
}

/// Addresses are reused: the reply of another machine at an address says nothing about a launch that was sent to its
/// predecessor there. If this reply settled the launch, the cancelled task would count as gone although the launch may
/// still arrive.
#[test]
fn reply_of_other_machine_settles_no_direct_launch() {
    let mut single_controller = SingleController::new(MACHINES);
    let mut other_heartbeat = single_controller.workers()[0].next_heartbeat();
    other_heartbeat.machine = "host-999999".into();
    single_controller.answer_direct_calls_with(Some(other_heartbeat));
    single_controller.submit(JobKind::Array, 1);
    run(&mut single_controller, 10);
    assert_eq!(
        single_controller.task_count(),
        0,
        "the launch must reach no worker"
    );
    assert!(
        rejected_count(
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
        "its launch may still arrive"
    );
    // A heartbeat with a higher fencing token shows that the worker would no longer execute the launch.
    single_controller.answer_direct_calls_with(None);
    for _ in 0..20 {
        let tokens = single_controller
            .take_heartbeat_replies()
            .into_iter()
            .filter_map(|reply| match reply {
                HeartbeatReply::Response(response) => Some(response.token),
                _ => None,
            });
        let newest_token = tokens.max().expect("a response to a heartbeat");
        for worker in single_controller.workers() {
            worker.token = worker.token.max(newest_token);
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
    let stale_heartbeat = single_controller.workers()[0].next_heartbeat();
    fill_machines(&mut single_controller);
    let before = explanations(&mut single_controller);
    let rejected_before = rejected_count(
        &mut single_controller,
        MessageSource::Worker,
        MessageFault::Stale,
    );
    single_controller.inject_heartbeat(stale_heartbeat);
    assert!(matches!(
        single_controller.take_heartbeat_replies().last(),
        Some(HeartbeatReply::Response(_))
    ));
    assert_eq!(explanations(&mut single_controller), before);
    assert_eq!(
        rejected_count(
            &mut single_controller,
            MessageSource::Worker,
            MessageFault::Stale
        ),
        rejected_before + 1
    );
}

#[test]
fn mesh_messages_of_unknown_peer_change_nothing() {
    let mut single_controller = SingleController::with_silent_peer(MACHINES);
    fill_machines(&mut single_controller);
    let before = explanations(&mut single_controller);
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
    assert_eq!(explanations(&mut single_controller), before);
    assert_eq!(
        rejected_count(
            &mut single_controller,
            MessageSource::Peer,
            MessageFault::UnknownSender
        ),
        16
    );
    // A peer can announce no other controller as a leader, and can move no machine to an unknown partition.
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
        rejected_count(
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
        rejected_count(
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
    let unused_machines = single_controller
        .workers()
        .iter()
        .filter(|worker| worker.tasks.is_empty())
        .count();
    assert_eq!(unused_machines, 0, "every machine must get work");
}

#[test]
fn unschedulable_submissions_are_rejected_with_reason() {
    let mut single_controller = SingleController::new(MACHINES);
    let submit = |single_controller: &mut SingleController,
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
    let reason = |reply: Option<UserReply>| match reply {
        Some(UserReply::Rejected(reject_reason)) => reject_reason.to_string(),
        other => format!("{other:?}"),
    };
    let unknown_team = submit(&mut single_controller, &|job| job.team = "nobody".into());
    assert_eq!(reason(unknown_team), "unknown team");
    // No machine of the site has GPUs.
    for gpus in [0.001, 0.5, 1.0, 1e9] {
        let unavailable = submit(&mut single_controller, &|job| job.gpus = gpus);
        assert_eq!(
            reason(unavailable),
            "a task fits no allowed machine type",
            "{gpus} GPUs"
        );
    }
    for gpus in [-1.0, -1e-9, f64::NAN, f64::INFINITY, 1e10] {
        let invalid = submit(&mut single_controller, &|job| job.gpus = gpus);
        assert!(
            matches!(invalid, Some(UserReply::Invalid(_))),
            "{gpus} GPUs: {invalid:?}"
        );
    }
    let beyond_limit = submit(&mut single_controller, &|job| {
        job.kind = JobKind::Gang;
        job.task_count = 1_000;
    });
    assert_eq!(
        reason(beyond_limit),
        "the job needs more than the team's limit"
    );
    let accepted = submit(&mut single_controller, &|_| {});
    assert!(
        matches!(accepted, Some(UserReply::Created(_))),
        "{accepted:?}"
    );
}

/// Small numbers and numbers at the ends of the range of a field.
fn edge_u64() -> impl Strategy<Value = u64> {
    prop_oneof![0..6u64, Just(1 << 40), Just(u64::MAX - 1), Just(u64::MAX)]
}

fn edge_u32() -> impl Strategy<Value = u32> {
    prop_oneof![0..4u32, Just(u32::MAX - 1), Just(u32::MAX)]
}

fn edge_f64() -> impl Strategy<Value = f64> {
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
        (0..MACHINES).prop_map(|machine_index| format!("host-{machine_index:06}")),
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
    fn demand_shape()(
        amounts in (edge_u64(), edge_u64(), edge_u64()),
        counts in (edge_u64(), edge_u64(), edge_u64(), edge_u64()),
        spot in any::<bool>(),
        zone in prop::option::of("[a-c]"),
        types in prop::option::of(vec("m4|", 0..3)),
        low in any::<bool>(),
    ) -> DemandShape {
        DemandShape {
            milli_cpus: amounts.0, milli_gpus: amounts.1, memory_mb: amounts.2,
            allowed_machine_types: types, zone, spot_allowed: spot, task_count: counts.0, urgent_count: counts.1,
            estimated_run_time_ms: counts.2, priority: if low { Priority::Low } else { Priority::High },
            gang_size: counts.3,
        }
    }
}

prop_compose! {
    fn partition_status()(
        partition in edge_u32(),
        term in edge_u64(),
        demand in vec(demand_shape(), 0..4),
        machines in vec((machine_name(), edge_u32(), edge_u64(), any::<[bool; 4]>()), 0..4),
    ) -> PartitionStatus {
        let machine = |(machine, number, age_ms, flags): (String, u32, u64, [bool; 4])| MachineStatus {
            machine, task_count: number, idle_ms: age_ms, reporting: flags[0], quarantined: flags[1],
            since_heartbeat_ms: age_ms, transferable: flags[2], best_effort: flags[3],
            transfer_to: flags[0].then_some(number),
        };
        PartitionStatus {
            partition, term, demand, machines: machines.into_iter().map(machine).collect(),
        }
    }
}

fn replicated_record() -> impl Strategy<Value = ReplicatedRecord> {
    let machine = (
        machine_name(),
        edge_u64(),
        prop::option::of(edge_u64()),
        edge_f64(),
    )
        .prop_map(|(machine, worker_epoch, idle_since_ms, image_gb)| {
            ReplicatedRecord::Machine(MachineSnapshot {
                address: format!("{machine}:9000"),
                machine,
                worker_epoch,
                reporting: true,
                quarantined: false,
                idle_since_ms,
                images: vec![("img-1".into(), image_gb)],
            })
        });
    let job = (
        edge_u64(),
        vec((edge_u32(), edge_u32()), 0..3),
        edge_u32(),
        edge_u64(),
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
    let removed = edge_u64().prop_map(|id| ReplicatedRecord::Removed(ReplicationKey::Job(id)));
    prop_oneof![machine, job, removed]
}

fn replication_batch() -> impl Strategy<Value = ReplicationBatch> {
    (
        edge_u32(),
        vec(edge_u64(), 7),
        vec(replicated_record(), 0..4),
    )
        .prop_map(|(partition, n, records)| ReplicationBatch {
            partition,
            incarnation: n[0],
            term: n[1],
            after: n[2],
            up_to: n[3],
            newest: n[4],
            tombstones_dropped_up_to: n[5],
            sent_at_ms: n[6],
            records,
        })
}

fn mesh_message() -> impl Strategy<Value = MeshMessage> {
    let peer_heartbeat_ages = || vec(("n[0-2]", edge_u64()), 0..3);
    prop_oneof![
        (
            edge_u64(),
            edge_u64(),
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
        partition_status().prop_map(MeshMessage::PartitionStatus),
        (machine_name(), prop::option::of(edge_u32()))
            .prop_map(|(machine, to)| MeshMessage::ReleaseMachine { machine, to }),
        (edge_u32(), edge_u32(), edge_u32(), demand_shape()).prop_map(
            |(from, to, count, shape)| MeshMessage::TransferMachines {
                from,
                to,
                count,
                shape
            }
        ),
        (edge_u32(), edge_u64(), "n[0-2]").prop_map(|(partition, term, leader)| {
            MeshMessage::LeaderChanged {
                partition,
                term,
                leader,
            }
        }),
        edge_u32().prop_map(|partition| MeshMessage::LeadershipResigned { partition }),
        (edge_u32(), edge_u64(), edge_u64()).prop_map(|(partition, lease, incarnation)| {
            MeshMessage::ReclaimRequest {
                partition,
                lease,
                incarnation,
            }
        }),
        vec(edge_u64(), 0..4).prop_map(|jobs| MeshMessage::JobsCancelled { jobs }),
        vec((edge_u64(), edge_u64(), edge_u64()), 0..4)
            .prop_map(|jobs| MeshMessage::JobProgress { jobs }),
        (edge_u32(), edge_u64(), edge_u64(), edge_u64()).prop_map(
            |(partition, incarnation, term, applied)| {
                MeshMessage::Subscribe {
                    partition,
                    incarnation,
                    term,
                    applied,
                }
            }
        ),
        replication_batch().prop_map(MeshMessage::Replication),
    ]
}

fn task_status() -> impl Strategy<Value = TaskStatus> {
    let state = prop::sample::select(vec![
        TaskState::Fetching,
        TaskState::Waiting,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Exited,
    ]);
    let exit_cause = prop::option::of(prop::sample::select(vec![
        ExitCause::Done,
        ExitCause::Stopped,
        ExitCause::NoFreeCapacity,
        ExitCause::Busy,
        ExitCause::Error,
    ]));
    (task_name(), edge_u64(), state, exit_cause).prop_map(|(task, attempt, state, exit_cause)| {
        TaskStatus {
            task,
            attempt,
            state,
            exit_cause,
            checkpoint_saved: None,
        }
    })
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let machine_attributes = ("m4|", "[ab]?", any::<bool>());
    let numbers = (edge_u64(), edge_u64(), edge_u64());
    let tasks = vec(task_status(), 0..5);
    (
        machine_name(),
        machine_attributes,
        numbers,
        prop::option::of(edge_f64()),
        tasks,
    )
        .prop_map(
            |(
                machine,
                (machine_type, zone, spot),
                (worker_epoch, sequence_number, token),
                reclaimed_in_s,
                tasks,
            )| {
                Heartbeat {
                    address: format!("{machine}:9000"),
                    machine,
                    machine_type,
                    zone,
                    spot,
                    worker_epoch,
                    sequence_number,
                    token,
                    reclaimed_in_s,
                    tasks,
                }
            },
        )
}

/// A key and value of the state service that no controller has written.
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
        edge_u64().prop_map(|next| json!({ "next": next })),
        edge_u64().prop_map(|n| json!({ "jobs": [n, n, 1, 2] })),
        edge_u64().prop_map(|n| json!({ "d": [n, 1], "c": [1, n], "fd": [n] })),
        edge_u64().prop_map(|n| json!({ "holder": "n1", "boot": n, "term": n })),
        edge_u64().prop_map(|n| json!({ "node": "n1", "boot": n, "lease": n })),
        edge_u64()
            .prop_map(|n| json!({ "round": n, "items": [[1, 0, {}], [n, 4294967295u32, {}]] })),
        (0..9u32, edge_u64()).prop_map(|(partition, token)| json!({ "machines": [
            ["host-000000", "m4", "a", false, partition, token, false],
            ["", "m4", "a", false, 0, 0, false],
            ["host-777777", "none", "", true, 0, token, true],
        ] })),
        edge_u64().prop_map(|submitted_at_ms| {
            let packed =
                controller::records::PackedJob::new(submitted_at_ms, job(9, JobKind::Gang, 3));
            json!({ "jobs": [packed, [], [1, 7], ["j-000001"], [submitted_at_ms, "j-000003"]] })
        }),
        Just(json!({ "rigs": [{ "label": "m4", "vcpus": -1.0, "ram_gb": 1e300 }] })),
        Just(json!({ "max_backoff_s": -3.0 })),
    ];
    (key.prop_map(str::to_owned), value)
}

#[derive(Debug, Clone)]
enum Step {
    Tick(u64),
    Heartbeats,
    Mesh(&'static str, MeshMessage),
    ForgedHeartbeat(Heartbeat),
    ForeignRecord(String, Value),
    UnrequestedStateReply(StateReply),
    UnrequestedCloudReply(CloudReply),
    UnrequestedWorkerReply(Heartbeat),
    GetJob(u64),
    CancelJob(u64),
    SubmitJob(u64, f64),
    ChangeSettings(Value),
    Restart,
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
        edge_u64().prop_map(|revision| StateReply::Committed { revision }),
        edge_u64().prop_map(StateReply::Lease),
        edge_u64().prop_map(move |revision| {
            StateReply::List(ListPage {
                items: vec![item(), item()],
                has_more: true,
                revision,
            })
        }),
        edge_u64().prop_map(|revision| StateReply::Changes(Changes {
            revision,
            events: Vec::new()
        })),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let sender = prop::sample::select(vec!["n1", "n1", "n1", "n0", "stranger"]);
    let cloud_reply = prop_oneof![
        Just(CloudReply::MachineTypes(MachineTypes::default())),
        Just(CloudReply::MachineList(MachineList {
            machines: Vec::new(),
            has_more: true
        })),
        Just(CloudReply::Rented(vec![String::new()])),
    ];
    prop_oneof![
        4 => prop::sample::select(vec![1u64, 100, 700, 3_000]).prop_map(Step::Tick),
        2 => Just(Step::Heartbeats),
        6 => (sender, mesh_message()).prop_map(|(from, message)| Step::Mesh(from, message)),
        2 => heartbeat().prop_map(Step::ForgedHeartbeat),
        2 => foreign_record().prop_map(|(key, value)| Step::ForeignRecord(key, value)),
        1 => state_reply().prop_map(Step::UnrequestedStateReply),
        1 => cloud_reply.prop_map(Step::UnrequestedCloudReply),
        1 => heartbeat().prop_map(Step::UnrequestedWorkerReply),
        1 => edge_u64().prop_map(Step::GetJob),
        1 => (1..9u64).prop_map(Step::CancelJob),
        2 => (1..12u64, edge_f64()).prop_map(|(id, amount)| Step::SubmitJob(id, amount)),
        1 => foreign_record().prop_map(|(_, value)| Step::ChangeSettings(value)),
        1 => Just(Step::Restart),
    ]
}

fn apply(single_controller: &mut SingleController, step: Step) {
    // The controller has made no call with this id.
    let call = CallId(u64::MAX);
    match step {
        Step::Tick(ms) => {
            single_controller.tick(ms);
        }
        Step::Heartbeats => run(single_controller, 1),
        Step::Mesh(from, message) => {
            single_controller.inject(Event::Mesh {
                from: ControllerName::from(from),
                message,
            });
        }
        Step::ForgedHeartbeat(heartbeat) => single_controller.inject_heartbeat(heartbeat),
        Step::ForeignRecord(key, value) => single_controller.put_state_value(&key, value),
        Step::UnrequestedStateReply(reply) => {
            single_controller.inject(Event::State { call, reply })
        }
        Step::UnrequestedCloudReply(reply) => {
            single_controller.inject(Event::Cloud { call, reply })
        }
        Step::UnrequestedWorkerReply(heartbeat) => {
            let reply = DirectReply::Answered(Box::new(heartbeat));
            single_controller.inject(Event::Worker { call, reply });
        }
        Step::GetJob(id) => single_controller.send_user_request(UserRequest::Get(JobId(id))),
        Step::CancelJob(id) => single_controller.send_user_request(UserRequest::Cancel(JobId(id))),
        Step::SubmitJob(id, amount) => {
            let mut request = job(id, JobKind::Array, 3);
            (request.cpus, request.estimated_run_time_s) = (amount, amount);
            single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
        }
        Step::ChangeSettings(settings) => {
            let request = AdminRequest::ChangeSettings {
                version: 0,
                settings,
            };
            single_controller.inject(Event::Admin { ticket: 0, request });
        }
        Step::Restart => single_controller.restart(),
    }
}

/// Tasks that are on more than one machine at the same time.
fn tasks_on_two_machines(single_controller: &mut SingleController) -> Vec<String> {
    let mut machine_counts: BTreeMap<String, usize> = BTreeMap::new();
    for worker in single_controller.workers() {
        let present = worker.tasks.iter().filter(|(_, task)| task.is_present());
        for ((task, _), _) in present {
            *machine_counts.entry(task.clone()).or_default() += 1;
        }
    }
    machine_counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(task, _)| task)
        .collect()
}

/// Whether a step neither forges a machine's status or a record nor restarts the controller. Such steps may start no
/// task twice.
fn is_without_forgery_and_restart(step: &Step) -> bool {
    !matches!(
        step,
        Step::ForgedHeartbeat(_) | Step::ForeignRecord(..) | Step::Restart
    )
}

proptest! {
    #![proptest_config(config(48, 7))]

    #[test]
    fn arbitrary_messages_cause_no_panic(steps in vec(step(), 1..40)) {
        let mut single_controller = SingleController::with_silent_peer(MACHINES);
        fill_machines(&mut single_controller);
        for step in steps {
            apply(&mut single_controller, step);
        }
        run(&mut single_controller, 3);
    }

    #[test]
    fn malformed_messages_start_no_task_twice(
        steps in vec(step().prop_filter("forgery or restart", is_without_forgery_and_restart), 1..40)
    ) {
        let mut single_controller = SingleController::with_silent_peer(MACHINES);
        fill_machines(&mut single_controller);
        for step in steps {
            apply(&mut single_controller, step);
            prop_assert_eq!(tasks_on_two_machines(&mut single_controller), Vec::<String>::new());
        }
    }
}

proptest! {
    #![proptest_config(config(24, 8))]

    #[test]
    fn malformed_heartbeats_change_nothing(faults in vec((0..MACHINES, 0..6usize), 1..20)) {
        let mut single_controller = SingleController::new(MACHINES);
        fill_machines(&mut single_controller);
        let before = explanations(&mut single_controller);
        single_controller.take_heartbeat_replies();
        single_controller.controller().counters.rejections.drain().for_each(drop);
        for (machine_index, fault) in &faults {
            let mut heartbeat = single_controller.workers()[*machine_index].next_heartbeat();
            match fault {
                0 => heartbeat.machine_type = String::new(),
                1 => heartbeat.machine = "x".repeat(300),
                2 => heartbeat.address = "host:9000/commands?".into(),
                3 => heartbeat.zone = "z".repeat(256),
                4 => heartbeat.address = String::new(),
                _ => {
                    heartbeat.tasks.truncate(1);
                    heartbeat.tasks.iter_mut().for_each(|status| status.task.push('x'));
                }
            }
            single_controller.inject_heartbeat(heartbeat);
        }
        let replies = single_controller.take_heartbeat_replies();
        prop_assert!(replies.iter().all(|reply| *reply == HeartbeatReply::Malformed), "{replies:?}");
        let rejected = rejected_count(&mut single_controller, MessageSource::Worker, MessageFault::Malformed);
        prop_assert_eq!(rejected, faults.len() as u64);
        prop_assert_eq!(explanations(&mut single_controller), before);
        run(&mut single_controller, 1);
        let replies = single_controller.take_heartbeat_replies();
        prop_assert!(replies.iter().all(|reply| matches!(reply, HeartbeatReply::Response(_))));
    }
}
