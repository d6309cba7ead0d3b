use super::*;

fn heartbeat(worker_epoch: u64, sequence_number: u64) -> Heartbeat {
    Heartbeat {
        machine: "host-000001".into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "m4".into(),
        zone: "a".into(),
        spot: false,
        worker_epoch,
        sequence_number,
        token: 5,
        reclaimed_in_s: None,
        tasks: Vec::new(),
    }
}

/// Guards against a late copy that replaces a newer heartbeat while the partition is loaded.
#[test]
fn late_copy_does_not_replace_newer_early_heartbeat() {
    let machine = MachineName::from("host-000001");
    let mut loading = Loading::default();
    let received = [(2, 3, 100), (1, 9, 200), (2, 2, 300)];
    for (epoch, sequence_number, at_ms) in received {
        let heartbeat = heartbeat(epoch, sequence_number);
        loading.record_heartbeat(&machine, &heartbeat, Timestamp::from_millis(at_ms));
    }
    let early = &loading.heartbeats[&machine];
    assert_eq!(early.heartbeat, heartbeat(2, 3));
    assert_eq!(
        early.answered_at,
        Timestamp::from_millis(300),
        "its reply may renew the lease"
    );
    loading.record_heartbeat(&machine, &heartbeat(2, 4), Timestamp::from_millis(400));
    assert_eq!(loading.heartbeats[&machine].heartbeat, heartbeat(2, 4));
}
