//! Reading and checking the settings file.

use model::{Resources, Settings};

const GOOD: &str = r#"
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
fn settings_name_the_field_that_is_wrong() {
    let good = Settings::parse(GOOD).expect("good settings");
    assert!(good.lease_validity() + good.workers.lease_duration < good.workers.cancel_deadline);
    for (from, to, field) in [
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
        let error = Settings::parse(&GOOD.replace(from, to))
            .expect_err(field)
            .to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{error}");
    }
}

/// Seen on days with a guest team: a limit of 0 was taken for a ban, and each of its jobs was
/// refused with 422.
#[test]
fn a_limit_of_0_is_no_limit() {
    let guests = GOOD.replace("cpus = 4.0, cpus_max = 8.0", "cpus = 0.0, cpus_max = 0.0");
    let much = Resources::needed(5_000.0, 1.0, 1.0);
    let team = |text: &str| Settings::parse(text).expect("good settings").teams[0].clone();
    assert!(much.fits_quota(&team(&guests).limit));
    assert!(!much.fits_quota(&team(GOOD).limit));
    assert!(!Resources::needed(0.25, 0.0, 1.0).fits_quota(&team(&guests).guarantee));
}
