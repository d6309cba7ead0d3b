//! No input makes a decoder panic, and a decoded message encodes to the same value again. The inputs are
//! random bytes, random JSON and randomly changed valid messages, with fixed seeds.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestCaseError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Map, Value};
use wire::cloud::{MachineList, MachineNames, MachineTypes};
use wire::json::{from_object, BodyError};
use wire::mesh::{
    DemandShape, Frame, MachineSnapshot, MeshMessage, ReplicationBatch, MESH_VERSION,
};
use wire::state::{Changes, Item, LeaseResponse, ListPage, Transaction, TransactionResponse};
use wire::users::{JobRequest, JobStatus, Priority};
use wire::workers::{DirectCommands, Heartbeat, HeartbeatResponse, Redirect};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

/// A valid message of each kind, as the protocols show them.
fn valid_messages() -> Vec<Value> {
    vec![
        json!({"id":"j-000412","lane":"train","crew":"vision","shape":"group","urgency":"high",
            "pieces":16,"vcpus":8.0,"gpus":1.0,"ram_gb":64.0,"bundle":"img-07","pull_gb":6.2,
            "rigs":["g8"],"yard":null,"together":true,"spread":false,"loaners":true,
            "expect_s":240.0,"notch_s":30.0,"stash_s":4.0,"due_s":900.0}),
        json!({"host":"host-000231","address":"10.1.0.232:9000","rig":"g8","yard":"a",
            "loaners":true,"shift":1,"tick":88,"baton":41,"warning_s":null,
            "pieces":[{"piece":"j-000412/3","try":2,"status":"running"},
                {"piece":"j-000398/0","try":1,"status":"exited","cause":"done"}]}),
        json!({"baton":41,"shift":1,"orders":[{"verb":"launch","piece":"j-000412/3","try":2},
            {"verb":"halt","piece":"j-000412/3","try":2,"mercy_s":4.0}]}),
        json!({"epoch":433,"log":[{"put":"c/9","v":{"a":1},"stamp":433},
            {"delete":"c/d","stamp":432}]}),
        json!({"pairs":[{"path":"s/t","v":{"next":7},"stamp":9,"hold":3}],"has_next":true,
            "epoch":431}),
        json!({"if":[{"path":"a/b","stamp":0}],
            "writes":[{"put":"a/b","v":{},"hold":7},{"delete":"c/d"}]}),
        json!({"epoch":12,"failed":["a/b"]}),
        json!({"hold":7}),
        json!({"hosts":[{"id":"host-000231","address":"10.1.0.232:9000","rig":"g8","yard":"a",
            "loaners":true,"status":"running","held_s":61.5}],"has_next":false}),
        json!({"rigs":[{"label":"g8","vcpus":64.0,"gpus":8.0,"ram_gb":512.0,"local_gb":900.0,
            "fetch_gb_per_s":1.0,"hourly":9.0,"market_price":3.0,"ready_s":40.0,"yards":["a"]}]}),
        json!({"id":"j-000412","status":"running","done":3,"running":13}),
    ]
}

/// Values that a field may have by mistake.
fn unexpected_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        // Multiples of 1/8, so that they are read back exactly.
        any::<i32>().prop_map(|eighths| Value::from(f64::from(eighths) / 8.0)),
        Just(json!(1e300)),
        Just(json!(4.5)),
        Just(json!(-1)),
        Just(json!("")),
        "\\PC{0,300}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
    ]
}

fn any_json() -> impl Strategy<Value = Value> {
    unexpected_value().prop_recursive(4, 40, 6, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..6).prop_map(Value::from),
            vec(("[a-z_]{1,9}", inner), 0..6)
                .prop_map(|fields| Value::Object(fields.into_iter().collect::<Map<_, _>>())),
        ]
    })
}

/// Replaces the value at an index, counting `value` itself and all values within it in the order of the
/// text. Returns false if there are fewer values. `index` is counted down.
fn replace_nth(value: &mut Value, index: &mut usize, replacement: &Value) -> bool {
    if *index == 0 {
        *value = replacement.clone();
        return true;
    }
    *index -= 1;
    match value {
        Value::Array(items) => items
            .iter_mut()
            .any(|item| replace_nth(item, index, replacement)),
        Value::Object(fields) => fields
            .values_mut()
            .any(|field| replace_nth(field, index, replacement)),
        _ => false,
    }
}

/// Whether two values are equal except for the last digit of decimal numbers, which serde_json does not
/// preserve in numbers of more than 15 digits.
fn are_nearly_equal(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Number(a), Value::Number(b)) if a.is_f64() && b.is_f64() => {
            let (a, b) = (a.as_f64().unwrap_or(0.0), b.as_f64().unwrap_or(0.0));
            (a - b).abs() <= a.abs() * 1e-14
        }
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| are_nearly_equal(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            a.len() == b.len()
                && a.iter()
                    .all(|(name, a)| b.get(name).is_some_and(|b| are_nearly_equal(a, b)))
        }
        _ => one == other,
    }
}

/// Decodes a body as one kind of message. If this succeeds, the encoded message must be decoded as the same
/// value again.
fn check_round_trip<T: DeserializeOwned + Serialize>(body: &[u8]) -> Result<(), TestCaseError> {
    if let Ok(message) = from_object::<T>(body) {
        let bytes = serde_json::to_vec(&message).expect("encode message");
        let decoded_again: T = from_object(&bytes).expect("decode encoded message");
        let value = |message: &T| serde_json::to_value(message).expect("encode message");
        let (decoded, decoded_again) = (value(&message), value(&decoded_again));
        prop_assert!(
            are_nearly_equal(&decoded, &decoded_again),
            "{decoded} is decoded as {decoded_again} after encoding"
        );
    }
    Ok(())
}

/// Checks the round trip of a body as every kind of message.
fn check_all_kinds(body: &[u8]) -> Result<(), TestCaseError> {
    check_round_trip::<JobRequest>(body)?;
    check_round_trip::<JobStatus>(body)?;
    check_round_trip::<Heartbeat>(body)?;
    check_round_trip::<HeartbeatResponse>(body)?;
    check_round_trip::<Redirect>(body)?;
    check_round_trip::<DirectCommands>(body)?;
    check_round_trip::<Item>(body)?;
    check_round_trip::<ListPage>(body)?;
    check_round_trip::<Transaction>(body)?;
    check_round_trip::<TransactionResponse>(body)?;
    check_round_trip::<LeaseResponse>(body)?;
    check_round_trip::<Changes>(body)?;
    check_round_trip::<MachineTypes>(body)?;
    check_round_trip::<MachineList>(body)?;
    check_round_trip::<MachineNames>(body)
}

/// A valid mesh frame of several kinds of messages.
fn valid_frames() -> Vec<Frame> {
    let shape = DemandShape {
        milli_cpus: 8_000,
        milli_gpus: 0,
        memory_mb: 64_000,
        allowed_machine_types: Some(vec!["g8".into()]),
        zone: None,
        spot_allowed: true,
        task_count: 3,
        urgent_count: 0,
        estimated_run_time_ms: 240_000,
        priority: Priority::Normal,
        gang_size: 0,
    };
    let snapshot = MachineSnapshot {
        machine: "host-000231".into(),
        address: "10.1.0.232:9000".into(),
        worker_epoch: 1,
        reporting: true,
        quarantined: false,
        idle_since_ms: Some(7),
        images: vec![("img-07".into(), 6.2)],
    };
    let batch = ReplicationBatch {
        records: vec![wire::mesh::ReplicatedRecord::Machine(snapshot)],
        ..ReplicationBatch::default()
    };
    let peer_heartbeat_ages = vec![("n2".to_owned(), 7)];
    let messages = [
        MeshMessage::Heartbeat {
            incarnation: 1,
            revision: 2,
            state_contact: true,
            ready: true,
            peer_heartbeat_ages,
        },
        MeshMessage::TransferMachines {
            from: 0,
            to: 1,
            count: 3,
            shape,
        },
        MeshMessage::LeaderChanged {
            partition: 1,
            term: 9,
            leader: "n1".into(),
        },
        MeshMessage::JobsCancelled {
            jobs: vec![412, 413],
        },
        MeshMessage::JobProgress {
            jobs: vec![(412, 3, 4)],
        },
        MeshMessage::Replication(batch),
    ];
    let frame = |message| Frame {
        version: MESH_VERSION,
        from: "n1".into(),
        message,
    };
    messages.into_iter().map(frame).collect()
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn random_bytes_are_rejected_or_read(body in vec(any::<u8>(), 0..300)) {
        check_all_kinds(&body)?;
        let _ = rmp_serde::from_slice::<Frame>(&body);
    }

    #[test]
    fn random_json_is_rejected_or_read(value in any_json()) {
        check_all_kinds(value.to_string().as_bytes())?;
    }

    #[test]
    fn messages_with_unexpected_value_are_rejected_or_read(
        message_index in 0..11usize,
        value_index in 0..40usize,
        replacement in unexpected_value(),
    ) {
        let mut message = valid_messages().swap_remove(message_index);
        let mut remaining = value_index;
        replace_nth(&mut message, &mut remaining, &replacement);
        check_all_kinds(message.to_string().as_bytes())?;
    }

    #[test]
    fn truncated_messages_and_messages_with_changed_byte_are_rejected_or_read(
        message_index in 0..11usize,
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut body = valid_messages().swap_remove(message_index).to_string().into_bytes();
        let position = position.index(body.len());
        check_all_kinds(&body[..position])?;
        body[position] = byte;
        check_all_kinds(&body)?;
    }

    #[test]
    fn truncated_and_changed_mesh_frames_are_rejected_or_read(
        frame_index in 0..6usize,
        changes in vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        truncated_length in any::<prop::sample::Index>(),
    ) {
        let frame = valid_frames().swap_remove(frame_index);
        let mut bytes = rmp_serde::to_vec(&frame).expect("encode frame");
        let _ = rmp_serde::from_slice::<Frame>(&bytes[..truncated_length.index(bytes.len())]);
        for (position, byte) in changes {
            let position = position.index(bytes.len());
            bytes[position] = byte;
        }
        if let Ok(frame) = rmp_serde::from_slice::<Frame>(&bytes) {
            let encoded_again = rmp_serde::to_vec(&frame).expect("encode decoded frame");
            prop_assert!(rmp_serde::from_slice::<Frame>(&encoded_again).is_ok());
        }
    }
}

#[test]
fn valid_messages_are_read() {
    let texts: Vec<String> = valid_messages().iter().map(Value::to_string).collect();
    let body = |index: usize| texts[index].as_bytes();
    assert!(from_object::<JobRequest>(body(0)).is_ok());
    assert!(from_object::<Heartbeat>(body(1)).is_ok());
    assert!(from_object::<DirectCommands>(body(2)).is_ok());
    assert!(from_object::<Changes>(body(3)).is_ok());
    assert!(from_object::<ListPage>(body(4)).is_ok());
    assert!(from_object::<Transaction>(body(5)).is_ok());
    assert!(from_object::<TransactionResponse>(body(6)).is_ok());
    assert!(from_object::<LeaseResponse>(body(7)).is_ok());
    assert!(from_object::<MachineList>(body(8)).is_ok());
    assert!(from_object::<MachineTypes>(body(9)).is_ok());
    assert!(from_object::<JobStatus>(body(10)).is_ok());
}

/// Serde decodes a struct from an array of its fields as well, but a body must be an object.
#[test]
fn bodies_that_are_not_objects_are_rejected() {
    let status = JobStatus {
        id: "j-000412".into(),
        state: wire::users::JobState::Queued,
        done: None,
        running: None,
    };
    let array = br#" ["j-000412", "pending", 1, 2]"#;
    assert!(
        serde_json::from_slice::<JobStatus>(array).is_ok(),
        "serde decodes the array"
    );
    assert!(matches!(
        from_object::<JobStatus>(array),
        Err(BodyError::NotAnObject)
    ));
    for body in [
        "",
        "  ",
        "null",
        "7",
        "\"a\"",
        "[]",
        "[{}]",
        "{",
        "{}",
        "{} {}",
        "\u{feff}{}",
    ] {
        assert!(from_object::<JobStatus>(body.as_bytes()).is_err(), "{body}");
    }
    let body = br#" {"id":"j-000412","status":"pending","unknown":{"x":[1]}}"#;
    assert_eq!(
        from_object::<JobStatus>(body).expect("unknown fields are ignored"),
        status
    );
}

#[test]
fn list_pages_out_of_sequence_are_invalid() {
    let page = |keys: &[&str], has_more| ListPage {
        items: keys
            .iter()
            .map(|key| Item {
                key: (*key).into(),
                value: Value::Null,
                version: 1,
                lease: None,
            })
            .collect(),
        has_more,
        revision: 7,
    };
    assert!(page(&["s/a", "s/b"], true).is_valid_for("s/", ""));
    assert!(page(&["s/c"], false).is_valid_for("s/", "s/b"));
    assert!(page(&[], false).is_valid_for("s/", "s/b"));
    assert!(
        !page(&[], true).is_valid_for("s/", "s/b"),
        "empty page although another one follows"
    );
    assert!(
        !page(&["s/b", "s/a"], false).is_valid_for("s/", ""),
        "keys out of order"
    );
    assert!(
        !page(&["s/a", "s/a"], false).is_valid_for("s/", ""),
        "repeated key"
    );
    assert!(
        !page(&["s/b"], true).is_valid_for("s/", "s/b"),
        "previous page again"
    );
    assert!(
        !page(&["t/b"], false).is_valid_for("s/", "s/b"),
        "key with another prefix"
    );
}
