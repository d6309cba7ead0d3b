//! Runs a small experiment with real controller processes and checks its report.

use loadtest::config::Experiment;
use loadtest::experiment::{run, Programs};
use loadtest::report::is_controller;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the controller with the same profile and target directory as the tests.
fn controller_program() -> PathBuf {
    let loadtest = Path::new(env!("CARGO_BIN_EXE_trackcrank-loadtest"));
    let profile = loadtest
        .parent()
        .expect("the program is in the directory of its profile");
    let target = profile
        .parent()
        .expect("the profile is in the target directory");
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
        "cargo could not build the controller"
    );
    profile.join("trackcrank")
}

/// 200 workers, and a controller that is killed during the run. Asserts only what holds on a host under any load: that
/// no rule was broken, that tasks ran and that processes and messages were counted.
#[test]
fn small_experiment_breaks_no_rules() {
    let experiment = Experiment::parse(include_str!("../experiments/small.toml"))
        .expect("the experiment file is valid");
    let loadtest = PathBuf::from(env!("CARGO_BIN_EXE_trackcrank-loadtest"));
    let programs = Programs {
        controller: controller_program(),
        loadtest,
    };
    let report =
        run(&experiment, &programs, &mut |line| println!("{line}")).expect("the experiment runs");
    assert_eq!(report.ended, "whole");
    assert_eq!(report.rules.broken, Vec::new());
    assert_eq!(report.unexpected_ends, Vec::<String>::new());
    assert!(
        report.rules.task_events > 100,
        "too few task events: {:?}",
        report.rules
    );
    assert!(
        report.rates["workers"] > 10.0,
        "too few machines were rented: {:?}",
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
    assert_eq!(starts, [1, 2, 1], "the second controller was killed once");
    for kind in ["report", "txn", "watch", "submit"] {
        let has_kind = report
            .traffic
            .values()
            .any(|kinds| kinds.contains_key(kind));
        assert!(has_kind, "{kind}: {:?}", report.traffic);
    }
}
