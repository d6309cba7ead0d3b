//! Experiment files: what is wrong is named by its field, before anything is started.

use loadtest::config::Experiment;
use loadtest::limits::{check_processes, HostResources, PROCESS_LIMIT};

const SMALL: &str = include_str!("../experiments/small.toml");

fn problem(change: &str) -> String {
    Experiment::parse_with_overrides(SMALL, &[change.to_owned()])
        .expect_err(change)
        .to_string()
}

#[test]
fn experiment_files_of_the_repository_are_good() {
    for text in [
        SMALL,
        include_str!("../experiments/workers.toml"),
        include_str!("../experiments/starts.toml"),
        include_str!("../experiments/faults.toml"),
    ] {
        Experiment::parse(text).expect("a good file");
    }
}

#[test]
fn errors_name_the_field() {
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
        let problem = problem(change);
        assert!(
            problem.contains(field) && !problem.contains('\n'),
            "{change}: {problem}"
        );
    }
    let unknown = SMALL.replace("report_s = 2.0", "report_s = 2.0\nreport_m = 2.0");
    let problem = Experiment::parse(&unknown)
        .expect_err("an unknown field")
        .to_string();
    assert!(problem.contains("report_m"), "{problem}");
}

#[test]
fn experiments_beyond_the_machine_are_refused_with_the_limit() {
    let machine = HostResources {
        memory_bytes: 24 << 30,
        available_bytes: 20 << 30,
        max_open_files: 20_000,
    };
    let checked = |changes: &[&str], machine: HostResources| {
        let changes: Vec<String> = changes.iter().map(|c| (*c).to_owned()).collect();
        let experiment = Experiment::parse_with_overrides(SMALL, &changes).expect("a good file");
        machine
            .check_expected_use(&experiment)
            .map_err(|e| e.to_string())
    };
    assert_eq!(checked(&[], machine), Ok(()));
    let all = checked(&["workers.count=21000"], machine).expect_err("all at one controller");
    assert!(
        all.contains("workers.count") && all.contains("20000"),
        "{all}"
    );
    let process = checked(&["workers.count=9000", "workers.per_process=9000"], machine);
    let process = process.expect_err("too many in one process");
    assert!(process.contains("workers.per_process"), "{process}");
    let many = checked(&["workers.count=3000", "workers.per_process=10"], machine);
    assert!(many.expect_err("too many processes").contains("processes"));
    let small = HostResources {
        memory_bytes: 1 << 29,
        ..machine
    };
    let memory = checked(&["workers.count=5000"], small).expect_err("too little memory");
    assert!(memory.contains("MiB"), "{memory}");
    assert!(small.check_memory_use((1 << 28) + (1 << 20)).is_err());
    assert!(check_processes(PROCESS_LIMIT).is_err());
}
