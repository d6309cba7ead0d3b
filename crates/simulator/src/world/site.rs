//! Parameters of a simulated site by its size, and the settings files of its controllers.

use super::scenario::Mutation;
use crate::state::{StateService, StateServiceLimits};

/// Number of controllers, and of partitions.
pub(super) const CONTROLLERS: usize = 3;

/// Puts and deletes that the state service accepts per second on sites other than the smallest.
const LARGE_SITE_WRITES_PER_SECOND: f64 = 20.0;
const FLEET_WRITES_PER_SECOND: f64 = 70.0;

/// Sites of at least this size have the rate limits and intervals of a fleet.
pub(super) const FLEET_SIZE: u64 = 100;

/// Intervals and deadlines of workers, limits of the state service, and load of a site.
#[derive(Debug, Clone, Copy)]
pub(super) struct SiteParameters {
    pub(super) heartbeat_interval_ms: u64,
    pub(super) lease_duration_ms: u64,
    pub(super) cancel_deadline_ms: u64,
    pub(super) state_limits: StateServiceLimits,
    /// Limits that the settings announce for a later time.
    pub(super) next_state_limits: Option<StateServiceLimits>,
    /// Interval at which workers and gangs advance.
    pub(super) step_ms: u64,
    /// Run time of an array task relative to a small site.
    pub(super) run_time_factor: u64,
    /// Submission rate and array size relative to a small site grow with the site's size up to these factors.
    pub(super) max_submission_rate_factor: u64,
    pub(super) max_array_size_factor: u64,
}

impl SiteParameters {
    pub(super) fn of(size: u64) -> Self {
        let small = SiteParameters {
            heartbeat_interval_ms: 2_000,
            lease_duration_ms: 10_000,
            cancel_deadline_ms: 30_000,
            state_limits: StateServiceLimits::default(),
            next_state_limits: None,
            step_ms: 50,
            run_time_factor: 1,
            max_submission_rate_factor: 4,
            max_array_size_factor: 8,
        };
        match size {
            0..=1 => small,
            // Fewer writes than on a small site, although there are more machines and jobs.
            2..FLEET_SIZE => SiteParameters {
                state_limits: StateServiceLimits {
                    writes_per_s: LARGE_SITE_WRITES_PER_SECOND,
                    value_kb: 4.0,
                    ..small.state_limits
                },
                ..small
            },
            _ => SiteParameters {
                heartbeat_interval_ms: 5_000,
                lease_duration_ms: 26_500,
                cancel_deadline_ms: 56_500,
                state_limits: StateServiceLimits {
                    requests_per_s: 700.0,
                    writes_per_s: FLEET_WRITES_PER_SECOND,
                    value_kb: 4.0,
                    ..small.state_limits
                },
                next_state_limits: None,
                step_ms: 200,
                run_time_factor: 4,
                max_submission_rate_factor: 8,
                max_array_size_factor: 16,
            },
        }
    }
}

impl SiteParameters {
    /// An empty state service with the limits of the site.
    pub(super) fn state_service(&self) -> StateService {
        let mut service = StateService::new(self.state_limits.writes_per_s);
        service.set_limits(self.state_limits);
        service
    }
}

/// The settings file of a controller of a site with these parameters.
pub(super) fn settings_toml(
    controller: usize,
    mutation: Option<Mutation>,
    size: u64,
    parameters: &SiteParameters,
) -> String {
    let zone = |controller: usize| if controller == 1 { "b" } else { "a" };
    let peers: String = (0..CONTROLLERS)
        .filter(|n| *n != controller)
        .map(|n| {
            format!(
                "[[peers]]\nmember = \"n{n}\"\nzone = \"{}\"\nendpoint = \"10.0.0.{n}:81\"\n",
                zone(n)
            )
        })
        .collect();
    let teams: String = (0..6)
        .map(|t| {
            let (cpus, cpus_max) = (4 * size, 6 * size);
            format!(
                "[[settings.teams]]\nname = \"t{t}\"\ncpus = {cpus}.0\ncpus_max = {cpus_max}.0\n"
            )
        })
        .chain(["[[settings.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n".to_owned()])
        .collect();
    let SiteParameters {
        heartbeat_interval_ms,
        lease_duration_ms,
        cancel_deadline_ms,
        state_limits:
            StateServiceLimits {
                requests_per_s,
                writes_per_s,
                value_kb,
                txn_ops,
            },
        next_state_limits,
        ..
    } = *parameters;
    let next = next_state_limits.map_or(String::new(), |next| {
        format!(
            "[settings.state.next]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n",
            next.requests_per_s, next.writes_per_s, next.value_kb, next.txn_ops
        )
    });
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    let report_s = seconds(heartbeat_interval_ms);
    let lease_s = if mutation == Some(Mutation::ShortLease) {
        1.0
    } else {
        seconds(lease_duration_ms)
    };
    let cancel_s = if mutation == Some(Mutation::LongCancellationDeadline) {
        300.0
    } else {
        seconds(cancel_deadline_ms)
    };
    format!(
        "member = \"n{controller}\"\nzone = \"{}\"\nserve_on = \"10.0.0.{controller}:80\"\n\
         mesh_addr = \"10.0.0.{controller}:81\"\n{peers}\n\
         [endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n\
         {teams}\n[settings.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n\
         gang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = {cancel_s:.1}\n\
         [settings.state]\nrps = {requests_per_s:.1}\nwrite_rps = {writes_per_s:.1}\nvalue_kb = {value_kb:.1}\ntxn_ops = {txn_ops}\n{next}\
         [settings.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n",
        zone(controller)
    )
}
