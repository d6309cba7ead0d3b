//! The cases of the review, and trials.

use crate::cloud::MachineType;
use crate::site::{job, Plan, Record, Site, Team};
use crate::state::Limits;
use crate::{Clock, Verdict};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

pub async fn run(
    case: &str,
    trouble: bool,
    clock: Clock,
    record: Rc<Record>,
) -> Result<Verdict, String> {
    match case {
        "long-line" => long_line(trouble, clock, record).await,
        "beside-room" => beside_room(trouble, clock, record).await,
        "final-states" => final_states(trouble, clock, record).await,
        _ => Err(format!("no case {case}")),
    }
}

fn root() -> PathBuf {
    std::env::current_dir().unwrap_or_default()
}

/// The deployment of `rila-arcade-ops`: its limits, workers and teams, with fewer machines and without GPUs.
fn rila() -> Plan {
    let granite = MachineType {
        label: "granite",
        vcpus: 32.0,
        gpus: 0.0,
        ram_gb: 128.0,
        local_gb: 80.0,
        fetch_gb_per_s: 0.2,
        hourly: 2.01,
        market_price: 0.54,
        ready_s: 35.0,
    };
    let zones: Vec<String> = ["varna", "burgas", "rila", "ruse"]
        .map(str::to_owned)
        .to_vec();
    let capacity = zones
        .iter()
        .map(|zone| (("granite".to_owned(), zone.clone(), false), 16))
        .collect();
    let team = |name: &str, cpus: f64, cpus_max: f64| Team {
        name: name.into(),
        cpus,
        cpus_max,
    };
    Plan {
        node_zones: zones[..3].to_vec(),
        zones,
        teams: vec![
            team("boardkeepers", 1200.0, 2500.0),
            team("reelroom", 2000.0, 6000.0),
            team("fairplay", 900.0, 2500.0),
            team("harbour", 2000.0, 6000.0),
        ],
        report_s: 2.5,
        lease_s: 18.0,
        cancel_s: 38.0,
        state: Limits {
            rps: 120.0,
            write_rps: 40.0,
            value_bytes: 32 * 1024,
            txn_ops: 24,
            latency: Duration::from_millis(6),
        },
        value_kb: 32.0,
        cloud_rps: 8.0,
        list_lag_s: 5.0,
        types: vec![granite],
        capacity,
        boot_ms: 2_000,
        sockets: 1500,
        log: "info".into(),
    }
}

/// Number of jobs that the site has finished before the run: at its own 53 jobs a minute, those of 63 hours.
const EARLIER_JOBS: u64 = 199_955;
/// Jobs on one page of finished jobs, as the controllers write them.
const JOBS_A_PAGE: u64 = 192;
/// `scorescan` of the site: 33 jobs a minute.
const JOB_INTERVAL_MS: u64 = 1_800;
/// For how long jobs are submitted.
const SUBMIT_FOR_MS: u64 = 45_000;

/// Case 1: final states of jobs are forgotten.
async fn final_states(trouble: bool, clock: Clock, record: Rc<Record>) -> Result<Verdict, String> {
    let site = Site::start(clock, record.clone(), &root(), rila()).await?;
    // What the controllers leave in the state service: finished jobs of each partition, on pages.
    let mut ids = 300_000..300_000 + EARLIER_JOBS;
    let mut page = 0;
    while !ids.is_empty() {
        let done: Vec<u64> = ids.by_ref().take(JOBS_A_PAGE as usize).collect();
        let value = serde_json::json!({"d": done, "c": [], "fd": [], "fc": []});
        site.state
            .preload(&format!("s/e/{}/{:04}", page % 3, page / 3), value);
        page += 1;
    }
    record.say(format!(
        "{EARLIER_JOBS} jobs were finished before the run, on {page} pages"
    ));
    site.start_all()?;
    site.wait_healthy(Duration::from_secs(25)).await?;
    record.say("the controllers are healthy");
    let teams = ["boardkeepers", "reelroom", "fairplay", "harbour"];
    // Two and a half times as many with the disruption, as on the site's own days.
    let due = |round: u64| {
        if trouble {
            (round + 1) * 5 / 2
        } else {
            round + 1
        }
    };
    let began = clock.ms();
    let mut accepted = Vec::new();
    let mut number: u64 = 0;
    for round in 0..SUBMIT_FOR_MS / JOB_INTERVAL_MS {
        clock.sleep_until(began + round * JOB_INTERVAL_MS).await;
        while number < due(round) {
            let id = 100 + number;
            let asked = job(id, teams[number as usize % teams.len()], 1, 1.0, 3.0, 1.0);
            match site.submit(number as usize % 3, &asked).await {
                Some(200 | 201) => accepted.push(format!("j-{id:06}")),
                status => return Err(format!("a submission ended with {status:?}")),
            }
            number += 1;
        }
    }
    record.say(format!("{} jobs of this run are accepted", accepted.len()));
    // Users poll until their job is done.
    let mut told_done = Vec::new();
    for (n, id) in accepted.iter().enumerate() {
        while clock.ms() < began + SUBMIT_FOR_MS + 25_000 {
            match site.get(n % 3, id).await {
                Some((200, body)) if body["status"] == "done" => {
                    told_done.push(id.clone());
                    break;
                }
                Some((404, _)) => break,
                _ => tokio::time::sleep(Duration::from_millis(500)).await,
            }
        }
    }
    record.say(format!("{} of them were called done", told_done.len()));
    if accepted.len() as u64 != number {
        return Err("not all jobs were accepted".into());
    }
    // They may poll again at any later time, at any node, and repeat the submission.
    let mut forgotten = 0;
    let mut unanswered = 0;
    for id in &accepted {
        for n in 0..3 {
            match site.get(n, id).await {
                Some((404, _)) => forgotten += 1,
                Some((200, _)) => {}
                _ => unanswered += 1,
            }
        }
    }
    let mut earlier_forgotten = 0;
    for k in 0..60 {
        let id = format!("j-{:06}", 300_000 + k * (EARLIER_JOBS / 60));
        if let Some((404, _)) = site.get((k % 3) as usize, &id).await {
            earlier_forgotten += 1;
        }
    }
    site.check_processes();
    record.say(format!(
        "of {} polls for jobs of this run {forgotten} received a 404, {unanswered} no answer; of 60 polls for earlier jobs {earlier_forgotten} a 404",
        accepted.len() * 3
    ));
    record.say(format!(
        "final states archived under f/: {}; pages of finished jobs: {}; memory of the controllers: {:?} MB",
        site.state.keys_with("f/").len(),
        site.state.keys_with("s/e/").len(),
        (0..3).map(|n| site.memory_mb(n).unwrap_or(0.0).round()).collect::<Vec<_>>()
    ));
    for page in site.state.keys_with("s/e/").iter().rev().take(1) {
        record.line(format!(
            "last page {page}: {}",
            site.state.value(page).unwrap_or_default()
        ));
    }
    Ok(if forgotten > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Tasks of the array of case 2.
const SMALL_TASKS: u64 = 1_000;

/// Case 2: an answer to a worker has a line of more than 64 KiB.
async fn long_line(trouble: bool, clock: Clock, record: Rc<Record>) -> Result<Verdict, String> {
    let mut plan = rila();
    plan.capacity = [(("granite".to_owned(), "varna".to_owned(), false), 1)].into();
    let site = Site::start(clock, record.clone(), &root(), plan).await?;
    site.start_all()?;
    site.wait_healthy(Duration::from_secs(15)).await?;
    let service = job(11, "harbour", 1, 1.0, 2.0, 0.0);
    let array = job(1000, "boardkeepers", SMALL_TASKS, 0.03, 0.12, 100.0);
    for asked in [&service, &array] {
        let status = site.submit(0, asked).await;
        if status != Some(201) {
            return Err(format!("a submission ended with {status:?}"));
        }
    }
    let on_machines = |id: &str| {
        let mut on = 0i64;
        for event in site
            .fleet
            .events
            .borrow()
            .iter()
            .filter(|e| e.piece.starts_with(id))
        {
            on += if event.what == "started" { 1 } else { -1 };
        }
        on
    };
    while on_machines("j-001000/") < SMALL_TASKS as i64 || on_machines("j-000011/") < 1 {
        if clock.ms() > 40_000 {
            let (array, service) = (on_machines("j-001000/"), on_machines("j-000011/"));
            return Err(format!(
                "{array} tasks of the array and {service} of the service run"
            ));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record.say("the service and all tasks of the array run");
    tokio::time::sleep(Duration::from_secs(4)).await;
    record.say(format!(
        "longest line of an answer to a worker so far: {} bytes",
        site.fleet.longest_line.get()
    ));
    if trouble {
        let answer = site
            .ask(
                0,
                hyper::Method::POST,
                "/v1/jobs/j-001000/cancel",
                String::new(),
                5.0,
            )
            .await;
        record.say(format!("the array is called off: {answer:?}"));
    }
    let service_at = clock.ms();
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let answer = site.get(1, "j-000011").await;
        record.say(format!(
            "tasks of the array on the machine: {}, of the service: {}; leases over: {}; the service is {}",
            on_machines("j-001000/"),
            on_machines("j-000011/"),
            site.fleet.leases_ended.get(),
            answer.map_or("unanswered".into(), |(_, body)| body["status"].to_string())
        ));
    }
    let events = site.fleet.events.borrow();
    let lost = events
        .iter()
        .filter(|e| e.at >= service_at && e.piece.starts_with("j-000011/") && e.what != "started");
    record.say(format!(
        "longest line: {} bytes; answers that could not be read: {}; times the service was lost: {}",
        site.fleet.longest_line.get(),
        site.fleet.lines_too_long.get(),
        lost.count()
    ));
    site.check_processes();
    Ok(if site.fleet.lines_too_long.get() > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// For how long no job may be left waiting beside room, once the troubles are over.
const LONGEST_WAIT_MS: u64 = 90_000;

/// The deployment of `anaya-reparto`, with a cloud that has five ordinary machines.
fn anaya() -> Plan {
    let cuatrito = MachineType {
        label: "cuatrito",
        vcpus: 4.0,
        gpus: 0.0,
        ram_gb: 8.0,
        local_gb: 30.0,
        fetch_gb_per_s: 0.6,
        hourly: 0.25,
        market_price: 0.08,
        ready_s: 25.0,
    };
    let zones = ["guadalajara", "zapopan", "tlaquepaque", "tonala"]
        .map(str::to_owned)
        .to_vec();
    let count = [
        ("guadalajara", 2),
        ("zapopan", 1),
        ("tlaquepaque", 1),
        ("tonala", 1),
    ];
    let capacity = count
        .map(|(zone, count)| (("cuatrito".to_owned(), zone.to_owned(), false), count))
        .into();
    Plan {
        node_zones: ["guadalajara", "zapopan", "guadalajara"]
            .map(str::to_owned)
            .to_vec(),
        zones,
        teams: (0..8)
            .map(|n| Team {
                name: format!("despacho-{n:02}"),
                cpus: 16.0,
                cpus_max: 48.0,
            })
            .collect(),
        report_s: 2.0,
        lease_s: 10.0,
        cancel_s: 30.0,
        state: Limits {
            rps: 250.0,
            write_rps: 20.0,
            value_bytes: 4 * 1024,
            txn_ops: 8,
            latency: Duration::from_millis(2),
        },
        value_kb: 4.0,
        cloud_rps: 5.0,
        list_lag_s: 8.0,
        types: vec![cuatrito],
        capacity,
        boot_ms: 2_000,
        sockets: 1500,
        log: "info".into(),
    }
}

/// Machines with their free CPUs and memory, by the tasks that are on them.
fn free(site: &Site) -> Vec<(String, f64, f64)> {
    let workers = site.fleet.workers.borrow();
    workers
        .values()
        .map(|worker| (worker.name.clone(), worker.free().0, worker.free().1))
        .collect()
}

/// Case 3: a job waits without end beside room.
async fn beside_room(trouble: bool, clock: Clock, record: Rc<Record>) -> Result<Verdict, String> {
    let site = Site::start(clock, record.clone(), &root(), anaya()).await?;
    site.start_all()?;
    site.wait_healthy(Duration::from_secs(10)).await?;
    // `rutaviva`: services of one task of 2 CPUs and 2.1 GB; eight at the start, here one of each team.
    let rutaviva = |id: u64, team: u64| {
        let mut asked = job(id, &format!("despacho-{team:02}"), 1, 2.0, 2.1, 0.0);
        asked["lane"] = "rutaviva".into();
        asked["urgency"] = "high".into();
        asked
    };
    let started = |id: u64| {
        let piece = format!("j-{id:06}/0");
        site.fleet
            .events
            .borrow()
            .iter()
            .find(|e| e.piece == piece && e.what == "started")
            .map(|e| e.at)
    };
    let submit = |id: u64, team: u64| {
        let (site, asked) = (site.clone(), rutaviva(id, team));
        async move {
            match site.submit(id as usize, &asked).await {
                Some(200 | 201) => Ok(()),
                status => Err(format!("a submission ended with {status:?}")),
            }
        }
    };
    for team in 0..8 {
        submit(100 + team, team).await?;
    }
    while !(100..108).all(|id| started(id).is_some()) {
        if clock.ms() > 18_000 {
            return Err("the services of the start do not run".into());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record.say(format!("eight services run; free: {:?}", free(&site)));
    // One more in this time, and twice as many with the disruption.
    submit(110, 0).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut late = vec![110];
    if trouble {
        submit(111, 2).await?;
        late.push(111);
    }
    let over = clock.ms();
    record.say("the trouble is over: nothing else is submitted");
    // The last time at which no machine had room for another one.
    let mut no_room_at = over;
    while clock.ms() < over + LONGEST_WAIT_MS + 500 {
        if !free(&site)
            .iter()
            .any(|(_, cpus, ram)| *cpus >= 2.0 && *ram >= 2.1)
        {
            no_room_at = clock.ms();
        }
        if !trouble && late.iter().all(|id| started(*id).is_some()) && clock.ms() > over + 20_000 {
            break;
        }
        if (clock.ms() / 100) % 100 == 0 {
            record.line(format!("free: {:?}", free(&site)));
            for id in &late {
                site.get(0, &format!("j-{id:06}")).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut waits = Vec::new();
    for id in late {
        let answer = site.get(1, &format!("j-{id:06}")).await;
        record.say(format!(
            "j-{id:06}: started at {:?} ms, status {:?}",
            started(id),
            answer.map(|a| a.1["status"].clone())
        ));
        if started(id).is_none() {
            waits.push(id);
        }
    }
    record.say(format!(
        "machines and what is free there: {:?}",
        free(&site)
    ));
    site.check_processes();
    let room_for = clock.ms() - no_room_at;
    if waits.is_empty() {
        return Ok(Verdict::Held);
    }
    record.say(format!("jobs that wait: {waits:?}; for the last {room_for} ms a machine has had room for one of them at each look"));
    Ok(if room_for >= LONGEST_WAIT_MS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
