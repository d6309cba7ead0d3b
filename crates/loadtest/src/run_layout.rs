//! What each process of a run derives from the experiment without asking another: addresses, the controllers' settings
//! files, jobs and the clock.

use crate::config::{Experiment, MACHINE_CPUS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant, SystemTime};
use wire::users::{JobKind, JobRequest, Priority};

/// A job's class follows from its number modulo this: the last remainder stands for services, the others are indices of
/// classes.
const JOB_NUMBERS_PER_ROUND: u64 = 16;
const SERVICE_REMAINDER: u64 = JOB_NUMBERS_PER_ROUND - 1;
/// Round of the first job of each class.
const FIRST_ROUND: u64 = 1;
/// Workers in one block of addresses, which share the third byte.
const WORKERS_PER_BLOCK: u32 = 250;
/// First block of workers' addresses; the blocks below belong to the other processes.
const FIRST_WORKER_BLOCK: u32 = 8;
/// Ratio of a team's limit to its guarantee.
const TEAM_LIMIT_TO_GUARANTEE: f64 = 1.5;
/// Number of different images that jobs use.
const IMAGE_COUNT: u64 = 8;
/// Size of an image; a machine fetches 1 GB/s.
const IMAGE_GB: f64 = 0.2;
/// Memory of a task per CPU.
const MEMORY_GB_PER_CPU: f64 = 2.0;

/// The loopback addresses of one run, all in `127.NET.0.0/16`; the field is NET.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoopbackNet(pub u8);

impl LoopbackNet {
    fn address(self, third: u32, fourth: u32, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, third as u8, fourth as u8), port))
    }

    /// The address that a run keeps bound to reserve the block.
    pub fn claim_address(self) -> SocketAddr {
        self.address(0, 1, 9_999)
    }

    /// Address of the state service for one controller: each controller has its own, which identifies it as the client.
    pub fn state(self, controller: u32) -> SocketAddr {
        self.address(1, controller + 1, 2_379)
    }

    /// Address of the cloud for one controller.
    pub fn cloud(self, controller: u32) -> SocketAddr {
        self.address(2, controller + 1, 8_443)
    }

    /// Address of a controller for users and workers.
    pub fn controller(self, controller: u32) -> SocketAddr {
        self.address(3, controller + 1, 8_080)
    }

    /// Address of a controller for its peers.
    pub fn mesh(self, controller: u32) -> SocketAddr {
        self.address(3, controller + 1, 8_081)
    }

    /// Address at which a process that runs workers receives the cloud's notifications.
    pub fn worker_process(self, process: u32) -> SocketAddr {
        self.address(4, process + 1, 9_100)
    }

    /// Address of the worker on the machine with this number.
    pub fn worker(self, machine: u32) -> SocketAddr {
        self.address(
            FIRST_WORKER_BLOCK + machine / WORKERS_PER_BLOCK,
            machine % WORKERS_PER_BLOCK + 1,
            9_000,
        )
    }

    /// How many machine numbers there are; later machines reuse the numbers and addresses of machines released long before.
    pub fn machine_number_count() -> u32 {
        (256 - FIRST_WORKER_BLOCK) * WORKERS_PER_BLOCK
    }
}

/// Number of the machine with this name; it determines the worker's address.
pub fn machine_number(name: &str) -> u32 {
    let number: u32 = name.trim_start_matches("host-").parse().unwrap_or_default();
    number % LoopbackNet::machine_number_count()
}

/// Name of the controller with this number.
pub fn controller_name(controller: u32) -> String {
    format!("n{controller}")
}

/// Number of the controller with this name.
pub fn controller_number(name: &str) -> Option<u32> {
    name.strip_prefix('n')?.parse().ok()
}

/// The clock of a run: time since its start, the same in all its processes.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    created_at: Instant,
    /// Time of the run at `created_at`.
    offset: Duration,
}

/// Microseconds since 1970.
pub fn unix_time_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    since.as_micros() as u64
}

impl Clock {
    /// The clock of a run that started at `started_us`, in microseconds since 1970.
    pub fn starting_at(started_us: u64) -> Self {
        let offset = Duration::from_micros(unix_time_us().saturating_sub(started_us));
        Clock {
            created_at: Instant::now(),
            offset,
        }
    }

    /// Microseconds since the start of the run.
    pub fn now_us(&self) -> u64 {
        (self.created_at.elapsed() + self.offset).as_micros() as u64
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.now_us() / 1_000
    }

    /// Sleeps until the given time of the run.
    pub async fn sleep_until_ms(&self, at_ms: u64) {
        let left_us = (at_ms * 1_000).saturating_sub(self.now_us());
        tokio::time::sleep(Duration::from_micros(left_us)).await;
    }
}

/// Id of the job with this number.
pub fn job_id(number: u64) -> String {
    format!("j-{number:06}")
}

/// Number of the job with this id, or of the job of the task with this id.
pub fn job_number(id: &str) -> Option<u64> {
    id.split('/').next()?.strip_prefix("j-")?.parse().ok()
}

/// Number of a class's job with this index.
pub fn class_job_number(class: usize, index: u64) -> u64 {
    (FIRST_ROUND + index) * JOB_NUMBERS_PER_ROUND + class as u64
}

/// Number of the service with this index.
pub fn service_job_number(index: u64) -> u64 {
    (FIRST_ROUND + index) * JOB_NUMBERS_PER_ROUND + SERVICE_REMAINDER
}

impl Experiment {
    /// Number of services, which are submitted at the start and run to the end.
    pub fn service_count(&self) -> u64 {
        let cpus = f64::from(self.workers.count) * MACHINE_CPUS * self.services.fill;
        (cpus / (self.services.cpus * self.services.replicas as f64)).ceil() as u64
    }

    /// CPUs guaranteed to each team.
    pub fn guaranteed_team_cpus(&self) -> f64 {
        let total_cpus = f64::from(self.workers.count) * MACHINE_CPUS;
        (total_cpus / f64::from(self.controllers.teams)).ceil()
    }

    /// Limit of each team's CPUs.
    pub fn max_team_cpus(&self) -> f64 {
        (self.guaranteed_team_cpus() * TEAM_LIMIT_TO_GUARANTEE).ceil()
    }

    /// The request of the job with this number, the same in every process; none if no user submits such a job.
    pub fn job_request(&self, number: u64) -> Option<JobRequest> {
        let index = (number / JOB_NUMBERS_PER_ROUND).checked_sub(FIRST_ROUND)?;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9));
        if number % JOB_NUMBERS_PER_ROUND == SERVICE_REMAINDER {
            if index >= self.service_count() {
                return None;
            }
            let team = index % u64::from(self.controllers.teams);
            let services = &self.services;
            return Some(JobRequest {
                kind: JobKind::Service,
                task_count: services.replicas,
                ..single_task_job(number, "service", team, Priority::Production, services.cpus)
            });
        }
        let class = self
            .classes
            .get((number % JOB_NUMBERS_PER_ROUND) as usize)?;
        let team = rng.random_range(0..u64::from(self.controllers.teams));
        Some(JobRequest {
            task_count: rng.random_range(class.tasks[0]..=class.tasks[1]),
            estimated_run_time_s: class.run_s,
            ..single_task_job(number, &class.name, team, class.priority, class.cpus)
        })
    }

    /// Content of a controller's settings file (TOML).
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

/// The request of an array with one task; callers override the fields that differ.
fn single_task_job(
    number: u64,
    class: &str,
    team: u64,
    priority: Priority,
    cpus: f64,
) -> JobRequest {
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
        image: format!("img-{}", number % IMAGE_COUNT),
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
