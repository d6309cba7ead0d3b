//! Tests of the bytes of records and keys in the state service, which controllers of different builds
//! share.

#[path = "../../wire/tests/golden/mod.rs"]
mod golden;

use controller::controller::admin::TuningRecord;
use controller::placement_log::PlacementLog;
use controller::records::{
    accepted_jobs_key, cancellations_key, demand_key, incarnation_key, log_prefix, machines_key,
    partition_key, reclaim_key, terminal_jobs_key, terminal_state_key, AcceptedJobsPage,
    CancellationsRecord, ControllerIncarnation, DemandRecord, IncarnationRecord, MachineRecord,
    MachinesPage, PackedJob, PackedMachine, PartitionRecord, ReclaimRecord, TerminalJobsPage,
    TerminalStateRecord, TokenCounterRecord, MACHINE_TYPES_KEY, TOKEN_COUNTER_KEY, TUNING_KEY,
    WATCHED_PREFIX,
};
use golden::{record, Entry};
use model::{ControllerName, JobId, MachineName, PartitionId, Version};
use scheduler::{ChunkKey, PlacedTask, TaskChunk};
use serde_json::Value;
use std::collections::BTreeMap;
use wire::cloud::{MachineType, MachineTypes};
use wire::mesh::DemandShape;
use wire::state::{Item, Write};
use wire::users::{JobKind, JobRequest, JobState, Priority};

fn controller_name(name: &str) -> ControllerName {
    ControllerName::from(name)
}

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
        spot_allowed: false,
        estimated_run_time_s: 240.0,
        checkpoint_interval_s: 30.5,
        checkpoint_save_time_s: 4.0,
        deadline_s: Some(900.0),
    }
}

fn plain_job() -> JobRequest {
    JobRequest {
        allowed_machine_types: None,
        zone: None,
        deadline_s: None,
        one_zone: false,
        spread_over_zones: true,
        ..full_job(JobKind::Array, Priority::Low)
    }
}

fn spot_job() -> JobRequest {
    JobRequest {
        spot_allowed: true,
        one_zone: false,
        ..full_job(JobKind::Array, Priority::Normal)
    }
}

/// A page with one job, whose entry is decoded separately from the page, as in the state cache.
fn accepted_jobs_page(name: &'static str, job: JobRequest) -> Entry {
    let encode = |job: &JobRequest| {
        let packed = serde_json::to_value(PackedJob::new(86_400_007, job.clone()));
        let page = AcceptedJobsPage {
            jobs: vec![packed.expect("encode packed job")],
        };
        golden::to_json(&serde_json::to_value(page).expect("encode page"))
    };
    let decode = |text: &str| -> Result<JobRequest, serde_json::Error> {
        let page: AcceptedJobsPage = serde_json::from_str(text)?;
        let packed: PackedJob = serde_json::from_value(page.jobs[0].clone())?;
        assert_eq!(
            (packed.submitted_at_ms, packed.id()),
            (86_400_007, "j-000412")
        );
        Ok(packed.request)
    };
    Entry::round_trip(name, job, encode, decode)
}

#[test]
fn accepted_jobs_pages_keep_their_bytes() {
    let entries = [
        accepted_jobs_page("batch_low_plain", plain_job()),
        accepted_jobs_page("batch_standard", spot_job()),
        accepted_jobs_page("group_high", full_job(JobKind::Gang, Priority::High)),
        accepted_jobs_page(
            "service_critical",
            full_job(JobKind::Service, Priority::Production),
        ),
        record("none", AcceptedJobsPage::default()),
    ];
    golden::check("accepted_jobs.txt", &entries);
}

fn terminal_jobs() -> TerminalJobsPage {
    TerminalJobsPage {
        done: vec![1, 2],
        cancelled: vec![3],
        archived_done: vec![4, 5, 6],
        archived_cancelled: vec![7],
    }
}

fn incarnation(name: &str, number: u64) -> ControllerIncarnation {
    (controller_name(name), number).into()
}

fn partition(unconfirmed_predecessors: Vec<ControllerIncarnation>) -> PartitionRecord {
    PartitionRecord {
        leader: controller_name("n0"),
        incarnation: 3,
        term: 41,
        unconfirmed_predecessors,
    }
}

fn machine(spot: bool, leaving: bool) -> PackedMachine {
    let record = MachineRecord {
        machine_type: "m4".into(),
        zone: "a".into(),
        spot,
        partition: PartitionId(2),
        token: 41,
        leaving,
    };
    let packed = PackedMachine::new(&MachineName::from("host-000007"), &record);
    let value = serde_json::to_value(&packed).expect("encode machine");
    let read: PackedMachine = serde_json::from_value(value).expect("decode machine");
    assert_eq!((&read.name, &read.record), (&packed.name, &record));
    packed
}

fn shape(types: Option<Vec<String>>, zone: Option<String>) -> DemandShape {
    DemandShape {
        milli_cpus: 1500,
        milli_gpus: 2000,
        memory_mb: 64_000,
        allowed_machine_types: types,
        zone,
        spot_allowed: true,
        task_count: 12,
        urgent_count: 3,
        estimated_run_time_ms: 240_000,
        priority: Priority::High,
        gang_size: 16,
    }
}

fn demand() -> DemandRecord {
    let limited = shape(Some(vec!["g8".into()]), Some("a".into()));
    DemandRecord {
        term: 41,
        demand: vec![shape(None, None), limited],
    }
}

fn counter() -> TokenCounterRecord {
    TokenCounterRecord {
        next: 42,
        last_leaders: BTreeMap::from([(0, incarnation("n0", 3)), (10, incarnation("n2", 4))]),
        unconfirmed_predecessors: BTreeMap::from([(
            2,
            vec![incarnation("n1", 5), incarnation("n0", 6)],
        )]),
    }
}

fn machine_types() -> MachineTypes {
    let machine_type = MachineType {
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
    };
    MachineTypes {
        types: vec![machine_type],
    }
}

fn tuning() -> TuningRecord {
    TuningRecord {
        initial_backoff_s: 0.5,
        max_backoff_s: 21.0,
        unschedulable_timeout_s: 22.0,
        heartbeat_grace_s: 3.5,
        max_queued_tasks_per_job: 24,
        quarantine_threshold: 25,
        preempt: false,
        size_penalty_factor: 26,
        consolidate_replicas: true,
        absorb_within_s: 27.5,
        overload_penalty_factor: 28,
        horizon_s: 29.0,
        keep_idle_s: 30.0,
        minimum_billing_s: 31.0,
        transfer_idle_s: 32.0,
        max_idle_transfers: 33,
        heartbeat_timeout_s: 34.0,
        boot_capacity_factor: 3.5,
        boot_timeout_factor: 36,
    }
}

#[test]
fn records_keep_their_bytes() {
    let page = MachinesPage {
        machines: vec![machine(true, false), machine(false, true)],
    };
    let unconfirmed_predecessors = vec![incarnation("n1", 5), incarnation("n2", 6)];
    let entries = [
        record("cancellations", CancellationsRecord { jobs: vec![7, 412] }),
        record("cancellations_none", CancellationsRecord::default()),
        record("ended_jobs", terminal_jobs()),
        record("ended_jobs_none", TerminalJobsPage::default()),
        record(
            "final_done",
            TerminalStateRecord {
                state: JobState::Done,
            },
        ),
        record(
            "final_cancelled",
            TerminalStateRecord {
                state: JobState::Cancelled,
            },
        ),
        record("partition", partition(Vec::new())),
        record("partition_suspects", partition(unconfirmed_predecessors)),
        record("machines", page),
        record("machines_none", MachinesPage::default()),
        record(
            "wish",
            ReclaimRecord {
                controller: controller_name("n0"),
                incarnation: 3,
                lease: 500,
            },
        ),
        record("demand", demand()),
        record("counter", counter()),
        record("counter_first", TokenCounterRecord::default()),
        record(
            "boot",
            IncarnationRecord {
                incarnation: 3,
                short_runs: 2,
            },
        ),
        record("types", machine_types()),
        record("settings", tuning()),
        record("settings_default", TuningRecord::default()),
    ];
    golden::check("records.txt", &entries);
}

#[test]
fn terminal_jobs_are_listed_with_terminal_states() {
    let listed: Vec<(u64, JobState)> = terminal_jobs()
        .jobs()
        .map(|(id, state)| (id.0, state))
        .collect();
    let done = [1, 2, 4, 5, 6].map(|id| (id, JobState::Done));
    let cancelled = [3, 7].map(|id| (id, JobState::Cancelled));
    assert_eq!(listed, [&done[..], &cancelled[..]].concat());
}

/// Decodes the stored record with this name, in which optional fields are absent.
fn record_with_absent_fields<T: serde::de::DeserializeOwned>(name: &str) -> T {
    let stored = golden::read("absent_fields.txt");
    let (_, text) = stored
        .iter()
        .find(|(other, _)| other == name)
        .unwrap_or_else(|| panic!("absent_fields.txt has no entry {name}"));
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{name}: {error}"))
}

#[test]
fn records_with_absent_fields_are_read() {
    assert_eq!(
        record_with_absent_fields::<IncarnationRecord>("boot"),
        IncarnationRecord {
            incarnation: 3,
            short_runs: 0
        }
    );
    assert_eq!(
        record_with_absent_fields::<TokenCounterRecord>("counter").next,
        42
    );
    assert_eq!(
        record_with_absent_fields::<TerminalJobsPage>("ended_jobs"),
        TerminalJobsPage::default()
    );
    assert_eq!(
        record_with_absent_fields::<TuningRecord>("settings"),
        TuningRecord::default()
    );
    let demand = record_with_absent_fields::<DemandRecord>("demand").demand;
    assert_eq!(
        (demand[0].priority, demand[0].gang_size),
        (Priority::Normal, 0)
    );
    assert_eq!(
        (&demand[0].allowed_machine_types, &demand[0].zone),
        (&None, &None)
    );
}

#[test]
fn keys_keep_their_text() {
    let entries = [
        Entry::text("watched", WATCHED_PREFIX),
        Entry::text("counter", TOKEN_COUNTER_KEY),
        Entry::text("types", MACHINE_TYPES_KEY),
        Entry::text("settings", TUNING_KEY),
        Entry::text(
            "accepted_jobs",
            accepted_jobs_key(&controller_name("n0"), 7),
        ),
        Entry::text(
            "accepted_jobs_wide",
            accepted_jobs_key(&controller_name("n0"), 12_345),
        ),
        Entry::text("cancellations", cancellations_key(&controller_name("n0"))),
        Entry::text("ended_jobs", terminal_jobs_key(PartitionId(2), 7)),
        Entry::text("machines", machines_key(7)),
        Entry::text("final", terminal_state_key(JobId(412))),
        Entry::text("partition", partition_key(PartitionId(2))),
        Entry::text("wish", reclaim_key(PartitionId(2))),
        Entry::text("demand", demand_key(PartitionId(2))),
        Entry::text("boot", incarnation_key(&controller_name("n0"))),
        Entry::text("ledger", log_prefix(PartitionId(2))),
    ];
    golden::check("keys.txt", &entries);
}

fn placed() -> Vec<PlacedTask> {
    vec![
        PlacedTask {
            offset: 3,
            attempt: 57,
            machine: "host-000007".into(),
        },
        PlacedTask {
            offset: 5,
            attempt: 58,
            machine: "host-000008".into(),
        },
    ]
}

/// Chunks of all forms: done and placed tasks, only one of the two, and an empty chunk.
fn chunks() -> Vec<(ChunkKey, TaskChunk)> {
    let done = || "8000000000000005".to_owned();
    vec![
        (
            ChunkKey {
                job: JobId(7),
                chunk: 0,
            },
            TaskChunk {
                done: done(),
                placed: placed(),
            },
        ),
        (
            ChunkKey {
                job: JobId(7),
                chunk: 2,
            },
            TaskChunk {
                done: done(),
                placed: Vec::new(),
            },
        ),
        (
            ChunkKey {
                job: JobId(412),
                chunk: 0,
            },
            TaskChunk {
                done: String::new(),
                placed: placed(),
            },
        ),
        (
            ChunkKey {
                job: JobId(413),
                chunk: 1,
            },
            TaskChunk::default(),
        ),
    ]
}

/// The pages that a commit writes, by key.
fn written_pages(commit: &controller::placement_log::LogCommit) -> Vec<(String, Value)> {
    let page = |write: &Write| match write {
        Write::Put {
            key,
            value,
            lease: None,
        } => (key.clone(), value.clone()),
        other => panic!("expected a put without a lease: {other:?}"),
    };
    commit.txn.writes.iter().map(page).collect()
}

/// A placement log loaded from stored pages.
fn stored_log(value_bytes: usize) -> PlacementLog {
    let item = |(key, text): (String, String)| {
        let value = serde_json::from_str(&text).expect("decode stored page");
        Item {
            key,
            value,
            version: 9,
            lease: None,
        }
    };
    let pages = golden::read("ledger_pages.txt")
        .into_iter()
        .filter(|(key, _)| key.starts_with('l'));
    let items: Vec<Item> = pages.map(item).collect();
    PlacementLog::load(PartitionId(2), &items, value_bytes, 6)
}

#[test]
fn placement_log_commits_keep_their_bytes() {
    let log = PlacementLog::load(PartitionId(2), &[], 4_096, 6);
    let (commit, left_out) = log.prepare_commit(Version(10), chunks());
    assert!(left_out.is_empty(), "{left_out:?}");
    let (key, _) = log
        .verification_page(&commit)
        .expect("the commit writes a page");
    let entries = [
        Entry::text("l/2/0000", golden::to_json(&written_pages(&commit)[0].1)),
        Entry::text("transaction", golden::to_json(&commit.txn)),
    ];
    assert_eq!(key, "l/2/0000");
    golden::check("ledger_pages.txt", &entries);
}

#[test]
fn stored_placement_log_pages_are_read_and_rewritten() {
    let mut log = stored_log(4_096);
    assert!(log.unreadable_pages().is_empty());
    for (key, chunk) in chunks() {
        assert!(
            log.chunks_of(key.job).contains(&(key.chunk, chunk)),
            "{key:?}"
        );
    }
    // Empty commits write the other three pages in turn, so that the next one rewrites this page.
    for _ in 0..3 {
        let (commit, _) = log.prepare_commit(Version(10), Vec::new());
        log.confirm_commit(&commit, 11);
    }
    let entries = [Entry::text("l/2/0000", next_written_page(&log))];
    golden::check("ledger_rewritten.txt", &entries);
}

/// The page that the next commit writes, with the entries that were read and no new ones.
fn next_written_page(log: &PlacementLog) -> String {
    let (commit, _) = log.prepare_commit(Version(10), Vec::new());
    golden::to_json(&written_pages(&commit)[0].1)
}
