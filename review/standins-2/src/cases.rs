//! The scenarios of the cases.

use crate::http::call;
use crate::record::Record;
use crate::site::{Plan, Site, RILA, SOFIA};
use crate::worker::{Job, Worker};
use crate::Outcome;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a job may wait while a machine that fits has room and its team is under its limit.
const MAX_WAIT: Duration = Duration::from_secs(90);

pub fn run(case: &str, has_trouble: bool, record: Arc<Record>) -> Outcome {
    match case {
        "sick" => sick_machine(has_trouble, record),
        "cached" => cached_image(has_trouble, record),
        "avoided" => avoided_machine(has_trouble, record),
        "copies" => copied_reports(has_trouble, record),
        "gang" => gang_reservation(has_trouble, record),
        _ => Outcome::CouldNotRun("no such case".into()),
    }
}

/// An array of one task after the class `invaudit`.
fn array(id: &str, pieces: u64, bundle: &str, pull_gb: f64, run_s: f64) -> Job {
    Job {
        id: id.to_owned(),
        team: "platops-00".into(),
        shape: "batch",
        urgency: "standard",
        pieces,
        vcpus: 1.0,
        ram_gb: 3.1,
        bundle: bundle.into(),
        pull_gb,
        expect_s: run_s,
        run_s,
        yard: None,
    }
}

/// A service of one replica after the class `savegate`.
fn service(id: &str) -> Job {
    Job {
        shape: "service",
        urgency: "high",
        ram_gb: 2.9,
        expect_s: 0.0,
        ..array(id, 1, "img-gate", 0.2, 0.0)
    }
}

/// Waits until the job's first task has started.
fn wait_start(site: &Site, id: &str, limit_s: u64) -> bool {
    site.wait(Duration::from_secs(limit_s), |site| site.has_started(id))
}

/// Waits until all tasks of the job are done.
fn wait_done(site: &Site, job: &Job, limit_s: u64) -> bool {
    let prefix = format!("{}/", job.id);
    site.wait(Duration::from_secs(limit_s), |site| {
        let events = site.record.events();
        let done = events
            .iter()
            .filter(|event| event.task.starts_with(&prefix) && event.what == "exits done");
        done.count() as u64 >= job.pieces
    })
}

/// Watches a job that waits for a machine. The rule is broken once it has had no task on any machine for `MAX_WAIT`,
/// and during all of that time a machine has had room for one of its tasks.
fn watch_wait(site: &mut Site, job: &Job, limit: Duration) -> Outcome {
    let prefix = format!("{}/", job.id);
    let ends_at = Instant::now() + limit;
    let mut since = Instant::now();
    let mut polled_at = Instant::now();
    let mut node = 0;
    while Instant::now() < ends_at {
        std::thread::sleep(Duration::from_millis(100));
        if site.any_controller_ended() {
            return Outcome::CouldNotRun("a controller ended by itself".into());
        }
        let events = site.record.events();
        let done = |event: &crate::record::TaskEvent| {
            event.task.starts_with(&prefix) && event.what == "exits done"
        };
        if events.iter().any(done) {
            return Outcome::Held(format!("{} ran", job.id));
        }
        let last = events
            .iter()
            .rev()
            .find(|event| event.task.starts_with(&prefix));
        let is_running = last.is_some_and(|event| event.what.starts_with("starts"));
        let has_room =
            |(cpus, ram): (f64, f64)| cpus + 1e-6 >= job.vcpus && ram + 1e-6 >= job.ram_gb;
        let any_room = site.workers().iter().any(|worker| has_room(worker.free()));
        if is_running || !any_room {
            since = Instant::now();
        }
        if since.elapsed() >= MAX_WAIT {
            let status = site.poll(&job.id, 0);
            return Outcome::Broken(format!(
                "{} has waited for {:.0} s while a machine had room for it and its team was far below its limit; \
                 its status is {status:?}",
                job.id,
                since.elapsed().as_secs_f64()
            ));
        }
        if polled_at.elapsed() >= Duration::from_secs(5) {
            polled_at = Instant::now();
            site.poll(&job.id, node);
            node += 1;
        }
    }
    Outcome::CouldNotRun("no room for long enough within the time".into())
}

/// A machine fails every task that it starts, for ten seconds. Later it is sound and has room, and no other machine
/// can be rented.
fn sick_machine(has_trouble: bool, record: Arc<Record>) -> Outcome {
    let plan = Plan {
        deployment: SOFIA,
        capacity: vec![("vitosha", 1), ("plovdiv", 0)],
        boot_s: 1.5,
    };
    let mut site = Site::start(&plan, record.clone());
    if !site.wait_healthy(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    let gate = service("j-000101");
    if !site.submit(&gate) || !wait_start(&site, &gate.id, 20) {
        return Outcome::CouldNotRun("the service did not start".into());
    }
    if has_trouble {
        record.line("trouble: the machine fails every task that it starts");
        site.workers()[0].set_sick(true);
    }
    let first = array("j-000202", 1, "img-audit", 0.2, 3.0);
    let second = array("j-000203", 1, "img-audit", 0.2, 3.0);
    if !site.submit(&first) || !site.submit(&second) {
        return Outcome::CouldNotRun("the jobs were not accepted".into());
    }
    if has_trouble {
        std::thread::sleep(Duration::from_secs(10));
        record.line("trouble over: the machine is sound again");
        site.workers()[0].set_sick(false);
    }
    watch_wait(&mut site, &first, MAX_WAIT + Duration::from_secs(4))
}

/// A job failed once on a machine that was faulty for a short time. The other machine is full.
fn avoided_machine(has_trouble: bool, record: Arc<Record>) -> Outcome {
    let plan = Plan {
        deployment: SOFIA,
        capacity: vec![("vitosha", 1), ("plovdiv", 1)],
        boot_s: 1.5,
    };
    let mut site = Site::start(&plan, record.clone());
    if !site.wait_healthy(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    let mut gate = service("j-000101");
    gate.yard = Some("vitosha");
    let mut full = service("j-000102");
    full.yard = Some("plovdiv");
    full.pieces = 4;
    for job in [&gate, &full] {
        if !site.submit(job) || !wait_start(&site, &job.id, 20) {
            return Outcome::CouldNotRun("the services did not start".into());
        }
    }
    site.wait(Duration::from_secs(5), |site| {
        site.workers().iter().any(|worker| worker.free().0 < 0.5)
    });
    let near = |site: &Site| {
        site.workers()
            .into_iter()
            .find(|worker| worker.zone == "vitosha")
    };
    if has_trouble {
        record.line("trouble: the machine fails every task that it starts");
        near(&site).unwrap().set_sick(true);
    }
    let job = array("j-000202", 1, "img-audit", 0.2, 3.0);
    if !site.submit(&job) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    if has_trouble {
        site.wait(Duration::from_secs(8), |site| site.has_started("j-000202"));
        std::thread::sleep(Duration::from_secs(1));
        record.line("trouble over: the machine is sound again");
        near(&site).unwrap().set_sick(false);
    }
    watch_wait(&mut site, &job, MAX_WAIT + Duration::from_secs(4))
}

/// A task after the class `scorescan`.
fn scorescan(id: &str, pieces: u64, bundle: &str, pull_gb: f64, run_s: f64) -> Job {
    Job {
        team: "boardkeepers".into(),
        ram_gb: 3.0,
        ..array(id, pieces, bundle, pull_gb, run_s)
    }
}

/// An array waits for a machine that has its image, and that machine's tasks run for long.
fn cached_image(has_trouble: bool, record: Arc<Record>) -> Outcome {
    let plan = Plan {
        deployment: RILA,
        capacity: vec![("varna", 2)],
        boot_s: 1.5,
    };
    let mut site = Site::start(&plan, record.clone());
    if !site.wait_healthy(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    if has_trouble {
        record.line("trouble: jobs of the class come several times as often");
        let long = scorescan("j-000201", 4, "img-a", 3.0, 150.0);
        if !site.submit(&long) {
            return Outcome::CouldNotRun("the long job was not accepted".into());
        }
        let is_full = |site: &Site| site.workers().iter().any(|worker| worker.free().0 < 0.5);
        if !site.wait(Duration::from_secs(20), is_full) {
            return Outcome::CouldNotRun("the long job was not placed".into());
        }
    }
    let other = scorescan("j-000101", 1, "img-b", 0.4, 150.0);
    if !site.submit(&other) || !wait_start(&site, &other.id, 20) {
        return Outcome::CouldNotRun("the other job did not start".into());
    }
    if has_trouble {
        if !wait_start(&site, "j-000201", 20) {
            return Outcome::CouldNotRun("the long job did not start".into());
        }
        std::thread::sleep(Duration::from_millis(500));
        record.line("trouble over");
    }
    let short = scorescan("j-000202", 1, "img-a", 3.0, 15.0);
    if !site.submit(&short) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    watch_wait(&mut site, &short, MAX_WAIT + Duration::from_secs(4))
}

/// A gang waits for a whole machine. Another job would fit beside the tasks that run there for long.
fn gang_reservation(has_trouble: bool, record: Arc<Record>) -> Outcome {
    let plan = Plan {
        deployment: SOFIA,
        capacity: vec![("vitosha", 1), ("plovdiv", 0)],
        boot_s: 1.5,
    };
    let mut site = Site::start(&plan, record.clone());
    if !site.wait_healthy(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    let long = array("j-000201", 3, "img-audit", 0.2, 200.0);
    if !site.submit(&long) || !wait_start(&site, &long.id, 20) {
        return Outcome::CouldNotRun("the long job did not start".into());
    }
    if has_trouble {
        let gang = Job {
            shape: "group",
            vcpus: 4.0,
            expect_s: 5.0,
            run_s: 5.0,
            ..array("j-000202", 1, "img-audit", 0.2, 5.0)
        };
        if !site.submit(&gang) {
            return Outcome::CouldNotRun("the gang was not accepted".into());
        }
        // Short tasks come and go beside it; after each of them the gang is tried again.
        let short = array("j-000204", 5, "img-audit", 0.2, 0.5);
        if !site.submit(&short) || !wait_done(&site, &short, 15) {
            return Outcome::CouldNotRun("the short tasks did not run".into());
        }
    }
    let mut last = array("j-000203", 1, "img-audit", 0.2, 120.0);
    last.run_s = 2.0;
    if !site.submit(&last) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    watch_wait(&mut site, &last, MAX_WAIT + Duration::from_secs(4))
}

/// Whether a report lists the task as running.
fn lists(report: &serde_json::Value, task: &str) -> bool {
    let pieces = report["pieces"].as_array().into_iter().flatten();
    pieces
        .filter(|piece| piece["piece"] == task)
        .any(|piece| piece["status"] == "running")
}

/// All controllers are away for longer than a lease, and a task is started again on its machine. Then the leader ends
/// while that machine can't be reached, and old reports of the machine reach the controllers as a new leader begins.
fn copied_reports(has_trouble: bool, record: Arc<Record>) -> Outcome {
    let plan = Plan {
        deployment: SOFIA,
        capacity: vec![("vitosha", 1), ("plovdiv", 1)],
        boot_s: 1.5,
    };
    let mut site = Site::start(&plan, record.clone());
    if !site.wait_healthy(Duration::from_secs(15)) {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    let task = "j-000101/0";
    let mut long = array("j-000101", 1, "img-audit", 0.2, 90.0);
    long.yard = None;
    let mut gate = service("j-000102");
    gate.bundle = "img-audit".into();
    gate.yard = Some("plovdiv");
    for job in [&long, &gate] {
        if !site.submit(job) || !wait_start(&site, &job.id, 20) {
            return Outcome::CouldNotRun("the jobs did not start".into());
        }
    }
    let worker_in = |site: &Site, zone: &str| {
        site.workers()
            .into_iter()
            .find(|worker| worker.zone == zone)
    };
    let (Some(near), Some(far)) = (worker_in(&site, "vitosha"), worker_in(&site, "plovdiv")) else {
        return Outcome::CouldNotRun("a machine is missing".into());
    };
    if !near.present().contains(&task.to_owned()) {
        return Outcome::CouldNotRun("the task is on the other machine".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        if let Err(problem) = troubles_of_copied_reports(&mut site, &near, &far, task) {
            return Outcome::CouldNotRun(problem);
        }
    }
    // Watches the task from here on.
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let places: Vec<String> = [&near, &far]
            .iter()
            .filter(|worker| worker.present().contains(&task.to_owned()))
            .map(|worker| worker.name.clone())
            .collect();
        if places.len() > 1 {
            return Outcome::Broken(format!(
                "{task} has started on one machine while it is on another: {places:?}"
            ));
        }
        if site.any_controller_ended() {
            return Outcome::CouldNotRun("a controller ended by itself".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Outcome::Held(format!("{task} was on one machine at a time"))
}

fn troubles_of_copied_reports(
    site: &mut Site,
    near: &Worker,
    far: &Worker,
    task: &str,
) -> Result<(), String> {
    let record = site.record.clone();
    let Some(first) = near
        .reports()
        .into_iter()
        .rev()
        .find(|report| lists(report, task))
    else {
        return Err("no report lists the task".into());
    };
    record.line("trouble: all controllers crash and are away for 12 s");
    (0..3).for_each(|index| site.kill_controller(index));
    std::thread::sleep(Duration::from_secs(12));
    let sent_before = near.reports().len();
    (0..3).for_each(|index| site.start_controller(index));
    let is_back = |_: &Site| near.present().contains(&task.to_owned());
    if !site.wait(Duration::from_secs(20), is_back) {
        return Err("the task was not started again on its machine".into());
    }
    // A report of the new session, sent before the task was started again.
    let later = near.reports().into_iter().skip(sent_before);
    let is_empty = |report: &serde_json::Value| {
        report["shift"].as_u64() > first["shift"].as_u64()
            && report["pieces"].as_array().is_some_and(Vec::is_empty)
    };
    let Some(second) = later.filter(is_empty).next_back() else {
        return Err("no report of the new session before the start".into());
    };
    // The leader answers the machine for a while.
    std::thread::sleep(Duration::from_secs(4));
    let Some(leader) = far.answered_by() else {
        return Err("no leader is known".into());
    };
    record.line("trouble: the leader crashes while the machine has lost the network");
    near.cut();
    site.kill_controller(leader);
    let is_succeeded = |_: &Site| far.answered_by().is_some_and(|node| node != leader);
    if !site.wait(Duration::from_secs(9), is_succeeded) {
        return Err("no new leader within the time".into());
    }
    record
        .line("trouble: copies of two old reports reach the controllers as the new leader begins");
    for report in [&first, &second] {
        for (name, address) in site
            .nodes
            .iter()
            .filter(|(_, address)| *address != site.nodes[leader].1)
        {
            let reply = call(
                *address,
                "POST",
                "/hello",
                Some(report),
                Duration::from_secs(2),
            );
            record.line(format!("copy -> {name}: POST /hello {report} -> {reply:?}"));
        }
    }
    Ok(())
}
