//! A small experiment with real processes, its rules checked, and nothing left behind.

use loadtest::config::Experiment;
use loadtest::experiment::{run, Programs};
use loadtest::report::is_controller;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the controller with the same profile and target directory as the tests.
fn controller_program() -> PathBuf {
    let loadtest = Path::new(env!("CARGO_BIN_EXE_trackcrank-loadtest"));
    let profile = loadtest.parent().expect("the directory of a profile");
    let target = profile.parent().expect("the target directory");
    let mut build = Command::new(env!("CARGO"));
    build.args([
        "build",
        "--workspace",
        "--bin",
        "trackcrank",
        "--locked",
        "--target-dir",
    ]);
    build.arg(target).current_dir(env!("CARGO_MANIFEST_DIR"));
    if profile.ends_with("release") {
        build.arg("--release");
    }
    assert!(
        build.status().expect("cargo runs").success(),
        "the controller is built"
    );
    profile.join("trackcrank")
}

/// 200 workers, and the end of a controller on the way. Only what holds on a machine of any load is
/// asserted: the rules, that work ran and that all is counted.
#[test]
fn small_experiment_keeps_the_rules() {
    let experiment =
        Experiment::parse(include_str!("../experiments/small.toml")).expect("a good file");
    let loadtest = PathBuf::from(env!("CARGO_BIN_EXE_trackcrank-loadtest"));
    let programs = Programs {
        controller: controller_program(),
        loadtest,
    };
    let report = run(&experiment, &programs, &mut |line| println!("{line}")).expect("a run");
    assert_eq!(report.ended, "whole");
    assert_eq!(report.rules.broken, Vec::new());
    assert_eq!(report.unexpected_ends, Vec::<String>::new());
    assert!(
        report.rules.task_events > 100,
        "tasks ran: {:?}",
        report.rules
    );
    assert!(
        report.rates["workers"] > 10.0,
        "machines were rented: {:?}",
        report.rates
    );
    assert!(
        report.latencies["urgent"].first_start.count > 0,
        "{:?}",
        report.latencies
    );
    let controllers: Vec<_> = report
        .processes
        .iter()
        .filter(|p| is_controller(&p.name))
        .collect();
    assert_eq!(controllers.len(), 3);
    assert!(
        controllers.iter().all(|p| p.memory_mb_max > 1.0),
        "{controllers:?}"
    );
    let starts: Vec<u32> = controllers.iter().map(|p| p.starts).collect();
    assert_eq!(starts, [1, 2, 1], "the second was ended once");
    for kind in ["report", "txn", "watch", "submit"] {
        let counted = report
            .traffic
            .values()
            .any(|kinds| kinds.contains_key(kind));
        assert!(counted, "{kind}: {:?}", report.traffic);
    }
}
