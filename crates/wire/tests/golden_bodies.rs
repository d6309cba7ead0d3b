//! Bodies of the protocols as bytes: how they are encoded, and how they are decoded if optional fields are
//! absent.

mod golden;

use golden::body;
use serde::de::DeserializeOwned;
use serde_json::json;
use wire::cloud::{
    ListedMachine, MachineList, MachineNames, MachineState, MachineType, MachineTypes, RentRequest,
};
use wire::state::{
    Change, Changes, Item, LeaseRequest, LeaseResponse, ListPage, Transaction, TransactionResponse,
    Write,
};
use wire::users::{ErrorBody, JobKind, JobRequest, JobState, JobStatus, Priority};
use wire::workers::{
    Command, DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, Redirect, TaskState,
    TaskStatus,
};

fn full_job(kind: JobKind, priority: Priority) -> JobRequest {
    JobRequest {
        id: "j-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind,
        priority,
        task_count: 16,
        cpus: 8.0,
        gpus: 0.5,
        memory_gb: 64.25,
        image: "img-07".into(),
        image_gb: 6.2,
        allowed_machine_types: Some(vec!["g8".into(), "m4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread_over_zones: false,
        spot_allowed: true,
        estimated_run_time_s: 240.0,
        checkpoint_interval_s: 30.5,
        checkpoint_save_time_s: 4.0,
        deadline_s: Some(900.0),
    }
}

fn job_without_options() -> JobRequest {
    JobRequest {
        allowed_machine_types: None,
        zone: None,
        deadline_s: None,
        ..full_job(JobKind::Array, Priority::Low)
    }
}

fn job_status(state: JobState, done: Option<u64>, running: Option<u64>) -> JobStatus {
    JobStatus {
        id: "j-000412".into(),
        state,
        done,
        running,
    }
}

#[test]
fn bodies_of_users_keep_their_bytes() {
    let entries = [
        body("job_group_high", full_job(JobKind::Gang, Priority::High)),
        body(
            "job_service_critical",
            full_job(JobKind::Service, Priority::Production),
        ),
        body(
            "job_batch_standard",
            full_job(JobKind::Array, Priority::Normal),
        ),
        body("job_plain_low", job_without_options()),
        body(
            "status_pending",
            job_status(JobState::Queued, Some(0), Some(0)),
        ),
        body(
            "status_running",
            job_status(JobState::Running, Some(3), Some(2)),
        ),
        body("status_done", job_status(JobState::Done, None, None)),
        body(
            "status_cancelled",
            job_status(JobState::Cancelled, None, None),
        ),
        body(
            "error",
            ErrorBody {
                error: "no such job".into(),
            },
        ),
    ];
    golden::check("users.txt", &entries);
}

fn task_status(
    state: TaskState,
    exit_cause: Option<ExitCause>,
    checkpoint_saved: Option<bool>,
) -> TaskStatus {
    TaskStatus {
        task: "j-000412/3".into(),
        attempt: 57,
        state,
        exit_cause,
        checkpoint_saved,
    }
}

fn exited(exit_cause: ExitCause) -> TaskStatus {
    task_status(TaskState::Exited, Some(exit_cause), None)
}

fn heartbeat(reclaimed_in_s: Option<f64>, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: "host-000007".into(),
        address: "10.0.1.7:9000".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: true,
        worker_epoch: 77,
        sequence_number: 12,
        token: 41,
        reclaimed_in_s,
        tasks,
    }
}

fn commands() -> Vec<Command> {
    let task = || "j-000412/3".to_owned();
    vec![
        Command::Launch {
            task: task(),
            attempt: 57,
        },
        Command::Stop {
            task: task(),
            attempt: 57,
            grace_s: 4.5,
        },
        Command::Forget {
            task: task(),
            attempt: 57,
        },
    ]
}

#[test]
fn bodies_of_workers_keep_their_bytes() {
    let entries = [
        body(
            "report",
            heartbeat(
                Some(30.0),
                vec![task_status(TaskState::Running, None, Some(true))],
            ),
        ),
        body("report_plain", heartbeat(None, Vec::new())),
        body(
            "task_fetching",
            task_status(TaskState::Fetching, None, None),
        ),
        body(
            "task_gathering",
            task_status(TaskState::Waiting, None, Some(false)),
        ),
        body("task_running", task_status(TaskState::Running, None, None)),
        body("task_saving", task_status(TaskState::Saving, None, None)),
        body("exited_done", exited(ExitCause::Done)),
        body("exited_halted", exited(ExitCause::Stopped)),
        body("exited_mates_gone", exited(ExitCause::GangPeersLost)),
        body("exited_incomplete", exited(ExitCause::GangIncomplete)),
        body("exited_full", exited(ExitCause::NoFreeCapacity)),
        body("exited_busy", exited(ExitCause::Busy)),
        body("exited_unknown", exited(ExitCause::Unknown)),
        body("exited_error", exited(ExitCause::Error)),
        body(
            "answer",
            HeartbeatResponse {
                token: 41,
                commands: commands(),
            },
        ),
        body(
            "answer_empty",
            HeartbeatResponse {
                token: 41,
                commands: Vec::new(),
            },
        ),
        body(
            "redirect",
            Redirect {
                controller: Some("n2".into()),
            },
        ),
        body("redirect_nowhere", Redirect { controller: None }),
        body(
            "direct_commands",
            DirectCommands {
                token: 41,
                worker_epoch: 77,
                commands: commands(),
            },
        ),
    ];
    golden::check("workers.txt", &entries);
}

fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 32.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 80.5,
        fetch_gb_per_s: 1.25,
        price_per_hour: 4.2,
        spot_price_per_hour: 1.3,
        boot_s: 90.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn listed_machine(state: MachineState) -> ListedMachine {
    ListedMachine {
        name: "host-000007".into(),
        address: "10.0.1.7:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 12.5,
    }
}

fn rent_request() -> RentRequest {
    RentRequest {
        idempotency_key: "n0-41-7".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
    }
}

#[test]
fn bodies_of_the_cloud_keep_their_bytes() {
    let names = vec!["host-000007".to_owned(), "host-000008".to_owned()];
    let machines = [
        MachineState::Booting,
        MachineState::Running,
        MachineState::Failed,
    ]
    .map(listed_machine);
    let entries = [
        body(
            "types",
            MachineTypes {
                types: vec![machine_type()],
            },
        ),
        body("rent", rent_request()),
        body("names", MachineNames { machines: names }),
        body(
            "list",
            MachineList {
                machines: machines.to_vec(),
                has_more: true,
            },
        ),
        body(
            "list_last",
            MachineList {
                machines: Vec::new(),
                has_more: false,
            },
        ),
    ];
    golden::check("cloud.txt", &entries);
}

fn item(lease: Option<u64>) -> Item {
    Item {
        key: "s/p/0".into(),
        value: json!({ "term": 40 }),
        version: 9,
        lease,
    }
}

fn change(lease: Option<u64>) -> Change {
    let value = Some(json!({ "term": 40 }));
    Change {
        put_key: Some("s/p/0".into()),
        deleted_key: None,
        value,
        version: 9,
        lease,
    }
}

fn deletion() -> Change {
    let deleted_key = Some("s/p/0".into());
    Change {
        put_key: None,
        deleted_key,
        value: None,
        version: 10,
        lease: None,
    }
}

fn transaction() -> Transaction {
    Transaction::default()
        .if_version("s/p/0", 9)
        .if_version("s/t", 0)
        .write(Write::put("s/t", json!({ "next": 41 })))
        .write(Write::put_leased("s/p/0", json!({ "term": 41 }), 500))
        .write(Write::delete("s/w/0"))
}

#[test]
fn bodies_of_the_state_service_keep_their_bytes() {
    let failed = vec!["s/p/0".to_owned()];
    let entries = [
        body("item", item(None)),
        body("item_leased", item(Some(500))),
        body(
            "list",
            ListPage {
                items: vec![item(Some(500))],
                has_more: true,
                revision: 77,
            },
        ),
        body(
            "list_last",
            ListPage {
                items: Vec::new(),
                has_more: false,
                revision: 77,
            },
        ),
        body("txn", transaction()),
        body("txn_empty", Transaction::default()),
        body(
            "txn_answer",
            TransactionResponse {
                revision: 78,
                failed: Vec::new(),
            },
        ),
        body(
            "txn_conflict",
            TransactionResponse {
                revision: 78,
                failed,
            },
        ),
        body("lease_request", LeaseRequest { ttl_ms: 6_000 }),
        body("lease_answer", LeaseResponse { lease: 500 }),
        body(
            "changes",
            Changes {
                revision: 79,
                events: vec![change(None), change(Some(500)), deletion()],
            },
        ),
        body(
            "changes_none",
            Changes {
                revision: 79,
                events: Vec::new(),
            },
        ),
    ];
    golden::check("state.txt", &entries);
}

/// Checks that a stored body is decoded as this value.
fn check_decoded<T: DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: &T) {
    let stored = golden::read("read_only.txt");
    let (_, text) = stored
        .iter()
        .find(|(stored_name, _)| stored_name == name)
        .expect("find entry by name");
    let decoded: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(decoded, *value, "{name} is stored as {text}");
}

#[test]
fn bodies_with_absent_unknown_and_null_fields_are_read() {
    check_decoded("job_null_fields", &job_without_options());
    check_decoded("report_absent_fields", &heartbeat(None, Vec::new()));
    check_decoded("task_unheard_of_cause", &exited(ExitCause::Error));
    check_decoded("types_absent_fields", &machine_types_with_required_fields());
    check_decoded("list_absent_fields", &machine_list_with_required_fields());
    check_decoded(
        "state_list_absent_more",
        &ListPage {
            items: Vec::new(),
            has_more: false,
            revision: 77,
        },
    );
    check_decoded(
        "txn_answer_absent_failed",
        &TransactionResponse {
            revision: 78,
            failed: Vec::new(),
        },
    );
    check_decoded(
        "changes_absent_log",
        &Changes {
            revision: 79,
            events: Vec::new(),
        },
    );
    check_decoded("redirect_null", &Redirect { controller: None });
}

fn machine_types_with_required_fields() -> MachineTypes {
    let machine_type = MachineType {
        gpus: 0.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price_per_hour: 0.0,
        spot_price_per_hour: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
        ..machine_type()
    };
    MachineTypes {
        types: vec![machine_type],
    }
}

fn machine_list_with_required_fields() -> MachineList {
    let machine = ListedMachine {
        address: String::new(),
        age_s: 0.0,
        ..listed_machine(MachineState::Running)
    };
    MachineList {
        machines: vec![machine],
        has_more: false,
    }
}
