//! The report of a run.

use crate::config::Experiment;
use crate::http::{Traffic, TrafficTotals};
use crate::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use crate::processes::ProcessFigures;
use crate::rules::Verdict;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use wire::users::{JobKind, JobState};

/// How the figures came about, in every report.
pub const SETTING: &str = "real controller processes over loopback on one shared machine; state \
    service, cloud, workers and users are stand-ins, no tasks are run";
/// Digits that histograms keep, and the longest latency that they tell apart.
const DIGITS: u8 = 3;
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// What a run measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    pub setting: String,
    /// Seconds since 1970 at the begin.
    pub started_s: u64,
    /// Length of the measured window.
    pub window_s: f64,
    /// How the run ended: `whole`, or why not.
    pub ended: String,
    pub machine: MachineFigures,
    /// Means over the window, by name.
    pub rates: BTreeMap<String, f64>,
    pub processes: Vec<ProcessFigures>,
    /// Messages and bytes a second in the window, by controller (`all` for direct commands) and kind.
    pub traffic: BTreeMap<String, BTreeMap<String, TrafficRate>>,
    /// What the stand-ins counted.
    pub stand_ins: BTreeMap<String, BTreeMap<String, f64>>,
    /// Latencies by class.
    pub latencies: BTreeMap<String, ClassLatencies>,
    /// Controllers that ended by themselves.
    pub unexpected_ends: Vec<String>,
    pub rules: Verdict,
    pub experiment: Experiment,
}

/// The machine of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct MachineFigures {
    pub cores: usize,
    pub memory_gb: f64,
    /// Load averages over a minute before and at the end: others share the machine.
    pub load_before: f64,
    pub load_after: f64,
    /// Most memory of all processes of the run together.
    pub memory_mb_max: f64,
}

/// Messages and bytes a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficRate {
    pub messages_per_s: f64,
    pub bytes_from_controller_per_s: f64,
    pub bytes_to_controller_per_s: f64,
}

/// A distribution of latencies, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// Latencies of a class of jobs submitted in the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassLatencies {
    /// From the first submission to the acceptance.
    pub accept: Latency,
    /// From the first submission to the start of the job's first task.
    pub first_start: Latency,
    /// From the first submission to the start of each task.
    pub task_start: Latency,
    /// From the completion of the last task to the first answer that says so; users poll every 5 s.
    pub done_told: Latency,
    /// Jobs of the window none of whose tasks had started at the end.
    pub never_started: u64,
}

/// Traffic as rates.
pub fn traffic_rates(
    tally: &TrafficTotals,
    window_s: f64,
) -> BTreeMap<String, BTreeMap<String, TrafficRate>> {
    let rate = |count: u64| count as f64 / window_s;
    let kinds = |kinds: &BTreeMap<String, Traffic>| {
        let rates = kinds.iter().map(|(kind, traffic)| {
            let rates = TrafficRate {
                messages_per_s: rate(traffic.messages),
                bytes_from_controller_per_s: rate(traffic.from_controller),
                bytes_to_controller_per_s: rate(traffic.to_controller),
            };
            (kind.clone(), rates)
        });
        rates.collect::<BTreeMap<_, _>>()
    };
    let name = |controller: u32| match controller {
        crate::workers::UNKNOWN_CONTROLLER => "all".to_owned(),
        controller => crate::run_layout::controller_name(controller),
    };
    tally
        .iter()
        .map(|(controller, by_kind)| (name(*controller), kinds(by_kind)))
        .collect()
}

struct Distribution(Histogram<u64>);

impl Distribution {
    fn new() -> Result<Self, String> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
        histogram.map(Distribution).map_err(|e| e.to_string())
    }

    fn record(&mut self, from_us: u64, to_us: u64) {
        self.0.saturating_record(to_us.saturating_sub(from_us));
    }

    fn latency(&self) -> Latency {
        let ms = |us: u64| us as f64 / 1_000.0;
        Latency {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p99_ms: ms(self.0.value_at_quantile(0.99)),
            max_ms: ms(self.0.max()),
        }
    }
}

/// What is known of a job.
#[derive(Default)]
struct Life {
    submitted: Option<u64>,
    accepted: Option<u64>,
    told_done: Option<u64>,
    /// First start of each task.
    starts: HashMap<u64, u64>,
    last_done: u64,
}

/// Latencies of the jobs submitted from a time on, by class.
pub fn latencies(
    experiment: &Experiment,
    tasks: &[TaskEvent],
    users: &[UserEvent],
    from_us: u64,
) -> Result<BTreeMap<String, ClassLatencies>, String> {
    let mut by_class: BTreeMap<String, Vec<Life>> = BTreeMap::new();
    for (number, life) in lives(tasks, users) {
        let Some(job) = experiment.job_request(number) else {
            continue;
        };
        let measured = life.submitted.is_some_and(|at| at >= from_us);
        if measured || job.kind == JobKind::Service {
            by_class.entry(job.class).or_default().push(life);
        }
    }
    by_class
        .into_iter()
        .map(|(class, lives)| Ok((class, class_latencies(&lives)?)))
        .collect()
}

fn lives(tasks: &[TaskEvent], users: &[UserEvent]) -> HashMap<u64, Life> {
    let mut lives: HashMap<u64, Life> = HashMap::new();
    for event in users {
        let life = lives.entry(event.job).or_default();
        let first = match event.kind {
            UserEventKind::Submitted => &mut life.submitted,
            UserEventKind::Accepted => &mut life.accepted,
            UserEventKind::Status(JobState::Done) => &mut life.told_done,
            _ => continue,
        };
        first.get_or_insert(event.at_us);
    }
    for event in tasks {
        let Some(life) = lives.get_mut(&event.job) else {
            continue;
        };
        match event.change {
            TaskChange::Started => {
                let at = life.starts.entry(event.task).or_insert(event.at_us);
                *at = event.at_us.min(*at);
            }
            TaskChange::Done => life.last_done = life.last_done.max(event.at_us),
            TaskChange::Ended => {}
        }
    }
    lives
}

fn class_latencies(lives: &[Life]) -> Result<ClassLatencies, String> {
    let mut accept = Distribution::new()?;
    let mut first_start = Distribution::new()?;
    let mut task_start = Distribution::new()?;
    let mut done_told = Distribution::new()?;
    let mut never_started = 0;
    for life in lives {
        let (Some(submitted), Some(accepted)) = (life.submitted, life.accepted) else {
            continue;
        };
        accept.record(submitted, accepted);
        match life.starts.values().min() {
            Some(first) => first_start.record(submitted, *first),
            None => never_started += 1,
        }
        for start in life.starts.values() {
            task_start.record(submitted, *start);
        }
        if let Some(told) = life.told_done {
            done_told.record(life.last_done, told);
        }
    }
    Ok(ClassLatencies {
        accept: accept.latency(),
        first_start: first_start.latency(),
        task_start: task_start.latency(),
        done_told: done_told.latency(),
        never_started,
    })
}

/// Events a second from a time on, by what changed.
pub fn event_rates(
    tasks: &[TaskEvent],
    users: &[UserEvent],
    from_us: u64,
    window_s: f64,
) -> BTreeMap<String, f64> {
    let tasks_of = |change: TaskChange| {
        tasks
            .iter()
            .filter(|e| e.change == change && e.at_us >= from_us)
            .count()
    };
    let answers_of = |answer: UserEventKind| {
        users
            .iter()
            .filter(|e| e.kind == answer && e.at_us >= from_us)
            .count()
    };
    let counts = [
        ("task starts a second", tasks_of(TaskChange::Started)),
        ("task completions a second", tasks_of(TaskChange::Done)),
        (
            "jobs submitted a second",
            answers_of(UserEventKind::Submitted),
        ),
        (
            "jobs accepted a second",
            answers_of(UserEventKind::Accepted),
        ),
    ];
    counts
        .map(|(name, count)| (name.to_owned(), count as f64 / window_s))
        .into()
}

/// Whether a process is a controller, by its name.
pub fn is_controller(process: &str) -> bool {
    crate::run_layout::controller_number(process).is_some()
}
