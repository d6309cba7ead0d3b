//! What every process of a run works out by itself: addresses, settings files, jobs and the clock.

use crate::config::{Experiment, MACHINE_CPUS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime};
use wire::users::{JobKind, JobRequest, Priority};

/// Jobs are numbered so that the class follows from the number: this many numbers a round, the last
/// of each round for a service.
const CLASSES: u64 = 16;
const SERVICE: u64 = CLASSES - 1;
/// First number given to a job.
const FIRST_ROUND: u64 = 1;
/// Workers in one block of addresses.
const BLOCK: u32 = 250;
/// First block of workers' addresses; the ones before belong to the other processes.
const FIRST_BLOCK: u32 = 8;
/// How far a team's limit lies above its guarantee.
const LIMIT_OVER_GUARANTEE: f64 = 1.5;
/// Images that jobs name.
const IMAGES: u64 = 8;
/// Size of an image; a machine fetches 1 GB a second.
const IMAGE_GB: f64 = 0.2;
/// Memory of a task for each of its CPUs.
const MEMORY_GB_PER_CPU: f64 = 2.0;

/// The addresses of one run: all in `127.NET.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoopbackNet(pub u8);

impl LoopbackNet {
    fn at(self, third: u32, fourth: u32, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, third as u8, fourth as u8), port))
    }

    /// The address that a run binds for as long as the block is its own.
    pub fn claim_address(self) -> SocketAddr {
        self.at(0, 1, 9_999)
    }

    /// State service, as one controller sees it: each has an address of its own, which tells who asks.
    pub fn state(self, controller: u32) -> SocketAddr {
        self.at(1, controller + 1, 2_379)
    }

    /// Cloud, as one controller sees it.
    pub fn cloud(self, controller: u32) -> SocketAddr {
        self.at(2, controller + 1, 8_443)
    }

    /// A controller for users and workers.
    pub fn controller(self, controller: u32) -> SocketAddr {
        self.at(3, controller + 1, 8_080)
    }

    /// A controller for its peers.
    pub fn mesh(self, controller: u32) -> SocketAddr {
        self.at(3, controller + 1, 8_081)
    }

    /// A process with workers, for the cloud.
    pub fn worker_process(self, process: u32) -> SocketAddr {
        self.at(4, process + 1, 9_100)
    }

    /// A worker.
    pub fn worker(self, machine: u32) -> SocketAddr {
        self.at(FIRST_BLOCK + machine / BLOCK, machine % BLOCK + 1, 9_000)
    }

    /// Machine numbers that have an address; later machines take the addresses of machines long gone.
    pub fn machine_number_count() -> u32 {
        (256 - FIRST_BLOCK) * BLOCK
    }
}

/// Number of a machine's address, by its name.
pub fn machine_number(name: &str) -> u32 {
    let number: u32 = name.trim_start_matches("host-").parse().unwrap_or_default();
    number % LoopbackNet::machine_number_count()
}

/// Name of a controller.
pub fn controller_name(controller: u32) -> String {
    format!("n{controller}")
}

/// Number of a controller, by its name.
pub fn controller_number(name: &str) -> Option<u32> {
    name.strip_prefix('n')?.parse().ok()
}

/// The clock of a run, the same in all its processes.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    begin: Instant,
    offset: Duration,
}

/// Microseconds since 1970, from which the processes of a run count.
pub fn unix_time_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}

impl Clock {
    /// The clock of a run that began at `started_us` since 1970.
    pub fn starting_at(started_us: u64) -> Self {
        let offset = Duration::from_micros(unix_time_us().saturating_sub(started_us));
        Clock {
            begin: Instant::now(),
            offset,
        }
    }

    /// Microseconds since the begin of the run.
    pub fn now_us(&self) -> u64 {
        (self.begin.elapsed() + self.offset).as_micros() as u64
    }

    /// Milliseconds since the begin of the run.
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// Sleeps until a time of the run.
    pub async fn sleep_until_ms(&self, at_ms: u64) {
        let left = (at_ms * 1_000).saturating_sub(self.now_us());
        tokio::time::sleep(Duration::from_micros(left)).await;
    }
}

/// Name of a job.
pub fn job_id(number: u64) -> String {
    format!("j-{number:06}")
}

/// Number of a job, by its name or by the name of one of its tasks.
pub fn job_number(name: &str) -> Option<u64> {
    name.split('/').next()?.strip_prefix("j-")?.parse().ok()
}

/// Number of the nth job of a class.
pub fn class_job_number(class: usize, nth: u64) -> u64 {
    (FIRST_ROUND + nth) * CLASSES + class as u64
}

/// Number of the nth service.
pub fn service_job_number(nth: u64) -> u64 {
    (FIRST_ROUND + nth) * CLASSES + SERVICE
}

impl Experiment {
    /// Services that run from the beginning on.
    pub fn service_count(&self) -> u64 {
        let cpus = f64::from(self.workers.count) * MACHINE_CPUS * self.services.fill;
        (cpus / (self.services.cpus * self.services.replicas as f64)).ceil() as u64
    }

    /// CPUs guaranteed to each team.
    pub fn guaranteed_team_cpus(&self) -> f64 {
        let all = f64::from(self.workers.count) * MACHINE_CPUS;
        (all / f64::from(self.controllers.teams)).ceil()
    }

    /// Most CPUs of each team.
    pub fn max_team_cpus(&self) -> f64 {
        (self.guaranteed_team_cpus() * LIMIT_OVER_GUARANTEE).ceil()
    }

    /// The job of a number, as every process works it out; none if no user submits it.
    pub fn job_request(&self, number: u64) -> Option<JobRequest> {
        let nth = (number / CLASSES).checked_sub(FIRST_ROUND)?;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9));
        if number % CLASSES == SERVICE {
            if nth >= self.service_count() {
                return None;
            }
            let team = nth % u64::from(self.controllers.teams);
            let services = &self.services;
            return Some(JobRequest {
                kind: JobKind::Service,
                task_count: services.replicas,
                ..base(number, "service", team, Priority::Production, services.cpus)
            });
        }
        let class = self.classes.get((number % CLASSES) as usize)?;
        let team = rng.random_range(0..u64::from(self.controllers.teams));
        Some(JobRequest {
            task_count: rng.random_range(class.tasks[0]..=class.tasks[1]),
            estimated_run_time_s: class.run_s,
            ..base(number, &class.name, team, class.priority, class.cpus)
        })
    }

    /// The settings file of a controller.
    pub fn settings_file(&self, net: LoopbackNet, controller: u32) -> String {
        let zones = &self.controllers.zones;
        let zone = |n: u32| &zones[n as usize % zones.len()];
        let mut file = toml::Table::new();
        let mut put = |key: &str, value: toml::Value| file.insert(key.to_owned(), value);
        put("member", controller_name(controller).into());
        put("zone", zone(controller).as_str().into());
        put("serve_on", net.controller(controller).to_string().into());
        put("mesh_addr", net.mesh(controller).to_string().into());
        let others = (0..self.controllers.count).filter(|n| *n != controller);
        let peer = |n: u32| {
            table([
                ("member", controller_name(n).into()),
                ("zone", zone(n).as_str().into()),
                ("endpoint", net.mesh(n).to_string().into()),
            ])
        };
        put("peers", toml::Value::Array(others.map(peer).collect()));
        put(
            "endpoints",
            table([
                ("cloud", net.cloud(controller).to_string().into()),
                ("state", net.state(controller).to_string().into()),
            ]),
        );
        put("settings", self.shared_settings());
        file.to_string()
    }

    fn shared_settings(&self) -> toml::Value {
        let team = |n: u32| {
            table([
                ("name", format!("t{n}").into()),
                ("cpus", self.guaranteed_team_cpus().into()),
                ("cpus_max", self.max_team_cpus().into()),
            ])
        };
        let Experiment {
            workers,
            state,
            cloud,
            ..
        } = self;
        table([
            (
                "teams",
                toml::Value::Array((0..self.controllers.teams).map(team).collect()),
            ),
            (
                "workers",
                table([
                    ("report_s", workers.report_s.into()),
                    ("lease_s", workers.lease_s.into()),
                    ("gang_wait_s", 45.0.into()),
                    ("gang_peer_s", 8.0.into()),
                    ("cancel_s", workers.cancel_s.into()),
                ]),
            ),
            (
                "state",
                table([
                    ("rps", state.requests_per_s.into()),
                    ("write_rps", state.writes_per_s.into()),
                    ("value_kb", state.value_kb.into()),
                    ("txn_ops", (state.txn_ops as i64).into()),
                ]),
            ),
            (
                "cloud",
                table([
                    ("rps", cloud.requests_per_s.into()),
                    ("list_lag_s", 6.0.into()),
                ]),
            ),
        ])
    }
}

fn table<const N: usize>(entries: [(&str, toml::Value); N]) -> toml::Value {
    entries
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect::<toml::Table>()
        .into()
}

/// An array of one task; the caller changes what differs.
fn base(number: u64, class: &str, team: u64, priority: Priority, cpus: f64) -> JobRequest {
    JobRequest {
        id: job_id(number),
        class: class.to_owned(),
        team: format!("t{team}"),
        kind: JobKind::Array,
        priority,
        task_count: 1,
        cpus,
        gpus: 0.0,
        memory_gb: cpus * MEMORY_GB_PER_CPU,
        image: format!("img-{}", number % IMAGES),
        image_gb: IMAGE_GB,
        allowed_machine_types: None,
        zone: None,
        one_zone: false,
        spread_over_zones: false,
        spot_allowed: false,
        estimated_run_time_s: 0.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
    }
}
