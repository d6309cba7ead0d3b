//! Parsing and validation of the settings file.

use model::{Resources, Settings};

const VALID: &str = r#"
    member = "n0"
    zone = "a"
    serve_on = "10.0.0.1:8080"
    mesh_addr = "10.0.0.1:8081"
    later = "ignored"
    [endpoints]
    cloud = "10.2.0.2:8443"
    state = "10.2.0.1:2379"
    [settings]
    teams = [{ name = "t", cpus = 4.0, cpus_max = 8.0 }]
    [settings.workers]
    report_s = 2.0
    lease_s = 10.0
    gang_wait_s = 45.0
    gang_peer_s = 8.0
    cancel_s = 30.0
    [settings.state]
    rps = 100.0
    write_rps = 20.0
    value_kb = 4.0
    txn_ops = 8
    [settings.cloud]
    rps = 5.0
    list_lag_s = 8.0
"#;

#[test]
fn errors_name_the_invalid_field_on_one_line() {
    let settings = Settings::parse(VALID).expect("parse valid file");
    assert!(
        settings.lease_validity() + settings.workers.lease_duration
            < settings.workers.cancel_deadline
    );
    for (replaced, replacement, field) in [
        (
            "serve_on = \"10.0.0.1:8080\"",
            "serve_on = \"x\"",
            "serve_on",
        ),
        ("member = \"n0\"", "", "member"),
        ("lease_s = 10.0", "lease_s = 0.0", "lease_s"),
        ("cpus_max = 8.0", "cpus_max = -1.0", "cpus_max"),
        ("rps = 5.0", "rps = \"many\"", "rps"),
    ] {
        let error = Settings::parse(&VALID.replace(replaced, replacement))
            .expect_err(field)
            .to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{error}");
    }
}

/// If a limit of 0 is taken for a ban, every job of a guest team, whose limits are 0, is rejected with 422.
#[test]
fn limit_of_zero_means_no_limit() {
    let guests = VALID.replace("cpus = 4.0, cpus_max = 8.0", "cpus = 0.0, cpus_max = 0.0");
    let large = Resources::needed(5_000.0, 1.0, 1.0);
    let team = |text: &str| Settings::parse(text).expect("parse settings").teams[0].clone();
    assert!(large.fits_quota(&team(&guests).limit));
    assert!(!large.fits_quota(&team(VALID).limit));
    assert!(!Resources::needed(0.25, 0.0, 1.0).fits_quota(&team(&guests).guarantee));
}

/// Guards against writes that the state service never accepts once its limits are lowered, of which it gives no notice.
#[test]
fn limits_announced_for_later_hold_at_once_where_they_are_lower() {
    let next =
        "[settings.state.next]\nrps = 400.0\nwrite_rps = 8.0\nvalue_kb = 2.0\n[settings.cloud]";
    let settings = Settings::parse(&VALID.replace("[settings.cloud]", next)).expect("valid");
    let limits = settings.state_limits;
    assert_eq!(limits.requests_per_s, 100.0);
    assert_eq!(limits.writes_per_s, 8.0);
    assert_eq!(limits.max_value_bytes, 2_048);
    assert_eq!(limits.max_txn_ops, 8);
    // 0.4 s of 8 writes a second.
    assert_eq!(limits.max_txn_writes(), 3);
    let error = Settings::parse(&VALID.replace("[settings.cloud]", &next.replace("2.0", "0.5")))
        .expect_err("too small a value")
        .to_string();
    assert!(error.contains("settings.state.next.value_kb"), "{error}");
}
