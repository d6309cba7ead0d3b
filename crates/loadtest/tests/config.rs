//! Validation of experiment files and of their expected use of resources, which happens before any process starts.

use loadtest::config::Experiment;
use loadtest::limits::{check_processes, HostResources, PROCESS_LIMIT};

const SMALL: &str = include_str!("../experiments/small.toml");

/// The error that the small experiment gives with one field overridden.
fn error_with_override(change: &str) -> String {
    Experiment::parse_with_overrides(SMALL, &[change.to_owned()])
        .expect_err(change)
        .to_string()
}

#[test]
fn experiment_files_of_the_repository_are_valid() {
    for text in [
        SMALL,
        include_str!("../experiments/workers.toml"),
        include_str!("../experiments/starts.toml"),
        include_str!("../experiments/faults.toml"),
    ] {
        Experiment::parse(text).expect("the experiment file is valid");
    }
}

#[test]
fn errors_name_the_invalid_field() {
    for (change, field) in [
        ("duration_s=-1.0", "duration_s"),
        ("warmup_s=99.0", "warmup_s"),
        ("controllers.count=0", "controllers.count"),
        ("controllers.zones=[\"a\", \"a\"]", "controllers.zones"),
        ("controllers.log=loud", "controllers.log"),
        ("workers.count=2000000", "workers.count"),
        ("workers.lease_s=1.0", "workers.lease_s"),
        ("state.value_kb=1000.0", "state.value_kb"),
        ("cloud.requests_per_s=nan", "cloud.requests_per_s"),
        ("services.fill=1.5", "services.fill"),
        ("classes.0.tasks=[4, 1]", "classes[0].tasks[1]"),
        ("classes.1.name=urgent", "classes[1].name"),
        ("faults.0.controller=3", "faults[0].controller"),
        ("faults.0.at_s=31.0", "faults[0].at_s"),
        ("workers.number=1", "workers.number"),
        ("workers.count=many", "count = \"many\""),
    ] {
        let error = error_with_override(change);
        assert!(
            error.contains(field) && !error.contains('\n'),
            "{change}: {error}"
        );
    }
    let with_unknown_field = SMALL.replace("report_s = 2.0", "report_s = 2.0\nreport_m = 2.0");
    let error = Experiment::parse(&with_unknown_field)
        .expect_err("an unknown field")
        .to_string();
    assert!(error.contains("report_m"), "{error}");
}

#[test]
fn experiments_that_exceed_the_host_are_rejected_with_the_exceeded_limit() {
    let host = HostResources {
        memory_bytes: 24 << 30,
        available_bytes: 20 << 30,
        max_open_files: 20_000,
    };
    let check = |overrides: &[&str], host: HostResources| {
        let overrides: Vec<String> = overrides.iter().map(|o| (*o).to_owned()).collect();
        let experiment = Experiment::parse_with_overrides(SMALL, &overrides)
            .expect("the experiment file is valid");
        host.check_expected_use(&experiment)
            .map_err(|e| e.to_string())
    };
    assert_eq!(check(&[], host), Ok(()));
    let error =
        check(&["workers.count=21000"], host).expect_err("too many workers at one controller");
    assert!(
        error.contains("workers.count") && error.contains("20000"),
        "{error}"
    );
    let outcome = check(&["workers.count=9000", "workers.per_process=9000"], host);
    let error = outcome.expect_err("too many workers in one process");
    assert!(error.contains("workers.per_process"), "{error}");
    let outcome = check(&["workers.count=3000", "workers.per_process=10"], host);
    assert!(outcome
        .expect_err("too many processes")
        .contains("processes"));
    let small_host = HostResources {
        memory_bytes: 1 << 29,
        ..host
    };
    let error = check(&["workers.count=5000"], small_host).expect_err("too little memory");
    assert!(error.contains("MiB"), "{error}");
    assert!(small_host.check_memory_use((1 << 28) + (1 << 20)).is_err());
    assert!(check_processes(PROCESS_LIMIT).is_err());
}
