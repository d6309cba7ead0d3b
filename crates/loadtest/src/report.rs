//! The report of a run: its format (JSON) and the rates and latencies in it.

use crate::config::Experiment;
use crate::http::{Traffic, TrafficTotals};
use crate::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use crate::processes::ProcessFigures;
use crate::rules::RuleCheckResult;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use wire::users::{JobKind, JobState};

/// Value of `Report::ended` for a run that completed.
pub const COMPLETED: &str = "whole";
/// How the figures were measured; part of every report.
pub const MEASUREMENT_SETUP: &str =
    "real controller processes over loopback on one shared machine; state \
    service, cloud, workers and users are stand-ins, no tasks are run";
/// Precision of the latency histograms, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longer latencies are recorded as this one.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// The results of a run. Stored reports must stay readable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub name: String,
    pub setting: String,
    /// Start of the run, in seconds since 1970.
    pub started_s: u64,
    /// Length of the measured window.
    pub window_s: f64,
    /// [`COMPLETED`], or why the run did not complete.
    pub ended: String,
    pub machine: HostFigures,
    /// Rates of events and mean worker figures in the window, by name.
    pub rates: BTreeMap<String, f64>,
    pub processes: Vec<ProcessFigures>,
    /// Rates of messages and bytes in the window, by controller (`all` for direct commands) and message kind.
    pub traffic: BTreeMap<String, BTreeMap<String, TrafficRate>>,
    /// Figures of the simulated services, workers and users, by process and name.
    pub stand_ins: BTreeMap<String, BTreeMap<String, f64>>,
    /// Latencies by job class.
    pub latencies: BTreeMap<String, ClassLatencies>,
    /// Exits of controllers that the experiment did not kill.
    pub unexpected_ends: Vec<String>,
    pub rules: RuleCheckResult,
    pub experiment: Experiment,
}

/// The host of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostFigures {
    pub cores: usize,
    pub memory_gb: f64,
    /// One-minute load averages before the run and at its end; other programs may run on the host too.
    pub load_before: f64,
    pub load_after: f64,
    /// Peak memory of all processes of the run together.
    pub memory_mb_max: f64,
}

/// Messages and bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficRate {
    pub messages_per_s: f64,
    pub bytes_from_controller_per_s: f64,
    pub bytes_to_controller_per_s: f64,
}

/// Summary of a distribution of latencies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// Latencies of the jobs of a class: of service jobs all, of array jobs those submitted in the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassLatencies {
    /// From the first submission of a job to its acceptance.
    pub accept: Latency,
    /// From the first submission to the start of the job's first task.
    pub first_start: Latency,
    /// From the first submission of the job to the start of each of its tasks.
    pub task_start: Latency,
    /// From completion of the job's last task to the first response that reports the job done; users poll every 5 s.
    pub done_told: Latency,
    /// Accepted jobs of which no task had started by the end of the run.
    pub never_started: u64,
}

/// Converts traffic totals to rates over the window, named as in [`Report::traffic`].
pub fn traffic_rates(
    totals: &TrafficTotals,
    window_s: f64,
) -> BTreeMap<String, BTreeMap<String, TrafficRate>> {
    let rate = |count: u64| count as f64 / window_s;
    let rates_by_kind = |totals: &BTreeMap<String, Traffic>| {
        let rates = totals.iter().map(|(kind, traffic)| {
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
    totals
        .iter()
        .map(|(controller, by_kind)| (name(*controller), rates_by_kind(by_kind)))
        .collect()
}

/// Histogram of latencies in microseconds.
struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Result<Self, String> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS);
        histogram.map(LatencyHistogram).map_err(|e| e.to_string())
    }

    fn record(&mut self, from_us: u64, to_us: u64) {
        self.0.saturating_record(to_us.saturating_sub(from_us));
    }

    fn summary(&self) -> Latency {
        let ms = |us: u64| us as f64 / 1_000.0;
        Latency {
            count: self.0.len(),
            p50_ms: ms(self.0.value_at_quantile(0.5)),
            p99_ms: ms(self.0.value_at_quantile(0.99)),
            max_ms: ms(self.0.max()),
        }
    }
}

/// Times of a job's events, in microseconds since the start of the run.
#[derive(Default)]
struct JobTimeline {
    submitted_us: Option<u64>,
    accepted_us: Option<u64>,
    /// First response that reports the job done.
    reported_done_us: Option<u64>,
    /// First start of each task, by index.
    task_starts_us: HashMap<u64, u64>,
    /// Completion of the last task.
    last_task_done_us: u64,
}

/// Latencies by class of the array jobs submitted from `from_us` on and of all service jobs.
pub fn class_latencies(
    experiment: &Experiment,
    tasks: &[TaskEvent],
    users: &[UserEvent],
    from_us: u64,
) -> Result<BTreeMap<String, ClassLatencies>, String> {
    let mut by_class: BTreeMap<String, Vec<JobTimeline>> = BTreeMap::new();
    for (number, timeline) in job_timelines(tasks, users) {
        let Some(job) = experiment.job_request(number) else {
            continue;
        };
        let in_window = timeline.submitted_us.is_some_and(|at| at >= from_us);
        if in_window || job.kind == JobKind::Service {
            by_class.entry(job.class).or_default().push(timeline);
        }
    }
    by_class
        .into_iter()
        .map(|(class, timelines)| Ok((class, latencies_of(&timelines)?)))
        .collect()
}

/// Collects the timeline of each job, by job number.
fn job_timelines(tasks: &[TaskEvent], users: &[UserEvent]) -> HashMap<u64, JobTimeline> {
    let mut timelines: HashMap<u64, JobTimeline> = HashMap::new();
    for event in users {
        let timeline = timelines.entry(event.job).or_default();
        let first_us = match event.kind {
            UserEventKind::Submitted => &mut timeline.submitted_us,
            UserEventKind::Accepted => &mut timeline.accepted_us,
            UserEventKind::Status(JobState::Done) => &mut timeline.reported_done_us,
            _ => continue,
        };
        first_us.get_or_insert(event.at_us);
    }
    for event in tasks {
        let Some(timeline) = timelines.get_mut(&event.job) else {
            continue;
        };
        match event.change {
            TaskChange::Started => {
                let start_us = timeline
                    .task_starts_us
                    .entry(event.task)
                    .or_insert(event.at_us);
                *start_us = event.at_us.min(*start_us);
            }
            TaskChange::Done => {
                timeline.last_task_done_us = timeline.last_task_done_us.max(event.at_us);
            }
            TaskChange::Ended => {}
        }
    }
    timelines
}

fn latencies_of(timelines: &[JobTimeline]) -> Result<ClassLatencies, String> {
    let mut accept = LatencyHistogram::new()?;
    let mut first_start = LatencyHistogram::new()?;
    let mut task_start = LatencyHistogram::new()?;
    let mut done_told = LatencyHistogram::new()?;
    let mut never_started = 0;
    for timeline in timelines {
        let (Some(submitted_us), Some(accepted_us)) = (timeline.submitted_us, timeline.accepted_us)
        else {
            continue;
        };
        accept.record(submitted_us, accepted_us);
        match timeline.task_starts_us.values().min() {
            Some(first_us) => first_start.record(submitted_us, *first_us),
            None => never_started += 1,
        }
        for start_us in timeline.task_starts_us.values() {
            task_start.record(submitted_us, *start_us);
        }
        if let Some(reported_us) = timeline.reported_done_us {
            done_told.record(timeline.last_task_done_us, reported_us);
        }
    }
    Ok(ClassLatencies {
        accept: accept.summary(),
        first_start: first_start.summary(),
        task_start: task_start.summary(),
        done_told: done_told.summary(),
        never_started,
    })
}

/// Rates of task and user events from `from_us` on, which is the start of a window of `window_s`.
pub fn event_rates(
    tasks: &[TaskEvent],
    users: &[UserEvent],
    from_us: u64,
    window_s: f64,
) -> BTreeMap<String, f64> {
    let task_events = |change: TaskChange| {
        tasks
            .iter()
            .filter(|e| e.change == change && e.at_us >= from_us)
            .count()
    };
    let user_events = |kind: UserEventKind| {
        users
            .iter()
            .filter(|e| e.kind == kind && e.at_us >= from_us)
            .count()
    };
    let counts = [
        ("task starts a second", task_events(TaskChange::Started)),
        ("task completions a second", task_events(TaskChange::Done)),
        (
            "jobs submitted a second",
            user_events(UserEventKind::Submitted),
        ),
        (
            "jobs accepted a second",
            user_events(UserEventKind::Accepted),
        ),
    ];
    counts
        .map(|(name, count)| (name.to_owned(), count as f64 / window_s))
        .into()
}

/// Whether the process with this name is a controller.
pub fn is_controller(process: &str) -> bool {
    crate::run_layout::controller_number(process).is_some()
}
