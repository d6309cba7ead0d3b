//! Tests with records in the state service that no controller has written: they are counted as
//! rejected, the cached records stay, and nothing panics.

use controller::placement_log::PlacementLog;
use controller::records::{MachineRecord, MachinesPage, PackedMachine, TokenCounterRecord};
use controller::state_cache::StateCache;
use model::{ControllerName, JobId, MachineName, PartitionId, Version};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use wire::state::{Change, Changes, Item};

fn proptest_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn put(key: &str, value: Value, version: u64) -> Change {
    let value = Some(value);
    Change {
        put_key: Some(key.into()),
        deleted_key: None,
        value,
        version,
        lease: None,
    }
}

fn apply(cache: &mut StateCache, key: &str, value: Value) {
    let version = cache.revision.0 + 1;
    cache.apply(&Changes {
        revision: version,
        events: vec![put(key, value, version)],
    });
}

#[test]
fn undecodable_record_keeps_cached_record() {
    let mut cache = StateCache::default();
    apply(&mut cache, "s/t", json!({ "next": 41 }));
    apply(&mut cache, "s/k", json!({ "rigs": [] }));
    apply(
        &mut cache,
        "s/p/0",
        json!({ "holder": "n0", "boot": 1, "term": 40 }),
    );
    apply(&mut cache, "s/x/n0", json!({ "jobs": [412] }));
    apply(&mut cache, "s/b/n0", json!({ "boot": 1 }));
    assert_eq!(cache.take_rejected_count(), 0);
    let foreign_records = [
        ("s/t", json!({ "next": -1 })),
        ("s/t", json!({ "next": 4.5 })),
        ("s/t", json!({ "next": u64::MAX })),
        ("s/t", Value::Null),
        ("s/k", json!({ "rigs": 7 })),
        ("s/k", json!("none")),
        ("s/p/0", json!({ "holder": "n1" })),
        ("s/p/+0", json!({ "holder": "n1", "boot": 1, "term": 50 })),
        (
            "s/p/4294967296",
            json!({ "holder": "n1", "boot": 1, "term": 50 }),
        ),
        ("s/p/", json!({ "holder": "n1", "boot": 1, "term": 50 })),
        ("s/x/n0", json!({ "jobs": ["j-000412"] })),
        ("s/b/n0", json!([])),
        ("s/m/4294967295", json!({ "machines": [] })),
        ("s/j/n0/4294967295", json!({ "jobs": [] })),
        ("s/j/n0", json!({ "jobs": [] })),
        ("s/e/0", json!({})),
        ("s/zz/0", json!({})),
    ];
    let record_count = foreign_records.len() as u64;
    for (key, value) in foreign_records {
        apply(&mut cache, key, value);
    }
    assert_eq!(cache.take_rejected_count(), record_count);
    assert_eq!(cache.next_token(), 41);
    assert!(cache.machine_types.is_some());
    let partitions: Vec<_> = cache.partitions.keys().copied().collect();
    assert_eq!(partitions, [PartitionId(0)]);
    assert_eq!(
        cache.partitions[&PartitionId(0)].record.leader,
        ControllerName::from("n0")
    );
    assert!(cache.is_cancelled(JobId(412)));
    assert_eq!(
        cache.incarnations[&ControllerName::from("n0")]
            .record
            .incarnation,
        1
    );
    assert!(cache.machine_pages.is_empty() && cache.accepted_job_pages.is_empty());
}

#[test]
fn next_token_never_decreases() {
    let mut cache = StateCache::default();
    apply(&mut cache, "s/t", json!({ "next": 41 }));
    apply(&mut cache, "s/t", json!({ "next": 7 }));
    assert_eq!((cache.next_token(), cache.token_counter_version()), (41, 2));
    assert_eq!(cache.take_rejected_count(), 1);
    let counter = TokenCounterRecord {
        next: 9,
        ..TokenCounterRecord::default()
    };
    let value = serde_json::to_value(counter).expect("encode token counter");
    cache.replace(
        &[Item {
            key: "s/t".into(),
            value,
            version: 5,
            lease: None,
        }],
        6,
    );
    assert_eq!((cache.next_token(), cache.token_counter_version()), (41, 5));
}

#[test]
fn machine_moved_to_another_page_survives_rewrite_of_its_old_page() {
    let mut cache = StateCache::default();
    let record = MachineRecord {
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        partition: PartitionId(0),
        token: 1,
        leaving: false,
    };
    let packed = |name: &str| PackedMachine::new(&MachineName::from(name), &record);
    let page = |names: &[&str]| {
        let machines = names.iter().map(|name| packed(name)).collect();
        serde_json::to_value(MachinesPage { machines }).expect("encode machines page")
    };
    apply(
        &mut cache,
        "s/m/0000",
        page(&["host-000001", "host-000002", ""]),
    );
    assert_eq!(cache.take_rejected_count(), 1, "a machine without a name");
    apply(&mut cache, "s/m/0001", page(&["host-000001"]));
    apply(&mut cache, "s/m/0000", page(&["host-000002"]));
    assert!(cache
        .machines
        .contains_key(&MachineName::from("host-000001")));
    apply(&mut cache, "s/m/0001", page(&[]));
    assert!(!cache
        .machines
        .contains_key(&MachineName::from("host-000001")));
}

fn log_page(key: &str, value: Value) -> Item {
    Item {
        key: key.into(),
        value,
        version: 3,
        lease: None,
    }
}

/// The contents of an invalid page are unknown, so a leader must not make decisions without it.
#[test]
fn invalid_placement_log_pages_are_unreadable() {
    let pages = [
        json!({ "round": 1, "items": [[412, 0, { "d": "xyz" }]] }),
        json!({ "round": 1, "items": [[412, 0, { "p": [[64, 1, "host-000001"]] }]] }),
        json!({ "round": 1, "items": [[412, 0, { "p": [[4294967295u32, 1, "host-000001"]] }]] }),
        json!({ "round": 1, "items": [[412, 0, { "p": [[0, 1, ""]] }]] }),
        json!({ "round": 1, "items": [[412, 4294967295u32, {}]] }),
        json!({ "round": u64::MAX, "items": [] }),
        json!({ "round": 1, "items": [[412, 0]] }),
        json!({ "round": -1, "items": [] }),
        json!([]),
    ];
    for page in pages {
        let items = [log_page("l/0/0002", page.clone())];
        let log = PlacementLog::load(PartitionId(0), &items, 4096, 8);
        assert_eq!(log.unreadable_pages(), ["l/0/0002"], "{page}");
    }
    let valid = json!({ "round": 1, "items": [[412, 1562, { "d": "ffff", "p": [[63, 1, "h"]] }]] });
    let log = PlacementLog::load(PartitionId(0), &[log_page("l/0/0002", valid)], 4096, 8);
    assert!(log.unreadable_pages().is_empty());
    assert_eq!(log.jobs(), [JobId(412)]);
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        Just(json!(4.5)),
        "[a-z0-9-]{0,9}".prop_map(Value::from),
        Just(json!("j-000412")),
    ];
    let field = prop::sample::select(vec![
        "jobs", "d", "c", "fd", "fc", "holder", "boot", "term", "suspects", "machines", "node",
        "lease", "demand", "next", "takers", "round", "right", "items", "p", "rigs",
    ]);
    leaf.prop_recursive(4, 30, 5, move |inner| {
        prop_oneof![
            vec(inner.clone(), 0..5).prop_map(Value::from),
            vec((field.clone(), inner), 0..5).prop_map(|fields| {
                Value::Object(
                    fields
                        .into_iter()
                        .map(|(name, value)| (name.to_owned(), value))
                        .collect(),
                )
            }),
        ]
    })
}

proptest! {
    #![proptest_config(proptest_config(3))]

    #[test]
    fn random_records_are_rejected_or_read(
        events in vec(("s/[jxepwdmbtkcz](/(n0/)?[0-9]{1,4})?", any_json(), any::<bool>()), 1..12),
    ) {
        let mut cache = StateCache::default();
        let mut items = Vec::new();
        for (index, (key, value, deleted)) in events.into_iter().enumerate() {
            let version = index as u64 + 1;
            let change = if deleted {
                Change { put_key: None, deleted_key: Some(key), value: None, version, lease: None }
            } else {
                items.push(Item { key: key.clone(), value: value.clone(), version, lease: None });
                put(&key, value, version)
            };
            cache.apply(&Changes { revision: version, events: vec![change] });
        }
        let next_token_before = cache.next_token();
        let revision = cache.revision.0;
        cache.replace(&items, revision);
        prop_assert!(cache.next_token() >= next_token_before || cache.token_counter.is_none());
    }

    #[test]
    fn random_placement_log_pages_are_rejected_or_read(
        pages in vec(("l/0/[0-9]{1,6}", any_json()), 1..6),
    ) {
        let items: Vec<Item> =
            pages.into_iter().map(|(key, value)| log_page(&key, value)).collect();
        let log = PlacementLog::load(PartitionId(0), &items, 4096, 8);
        for job in log.jobs() {
            log.chunks_of(job);
        }
        let (commit, _) = log.prepare_commit(Version(3), Vec::new());
        let mut log = log;
        log.confirm_commit(&commit, 9);
    }
}
