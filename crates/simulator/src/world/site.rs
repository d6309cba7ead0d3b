//! A site's sizes, times and settings.

use super::scenario::Mutation;

pub(super) const CONTROLLERS: usize = 3;

/// Puts and deletes a second that the state service takes, by the size of the site.
const SMALL_SITE_WRITES_PER_SECOND: f64 = 40.0;

const LARGE_SITE_WRITES_PER_SECOND: f64 = 20.0;

const FLEET_WRITES_PER_SECOND: f64 = 70.0;

/// From this size on a site has a fleet's rate limits and intervals.
pub(super) const FLEET_SIZE: u64 = 100;

/// Intervals and deadlines of workers in ms, and rate limits of the state service per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct SiteParameters {
    pub(super) report: u64,
    pub(super) lease: u64,
    pub(super) cancel: u64,
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    /// Interval at which workers advance.
    pub(super) step: u64,
    /// Factor of an array task's run time over that of a small site.
    pub(super) longer: u64,
    /// Highest factors of submission rate and array size over those of a small site.
    pub(super) often: u64,
    pub(super) large: u64,
}

impl SiteParameters {
    pub(super) fn of(size: u64) -> Self {
        let small = SiteParameters {
            report: 2_000,
            lease: 10_000,
            cancel: 30_000,
            rps: 400.0,
            write_rps: SMALL_SITE_WRITES_PER_SECOND,
            step: 50,
            longer: 1,
            often: 4,
            large: 8,
        };
        match size {
            0..=1 => small,
            // A large site gets a lower write budget than a small one.
            2..FLEET_SIZE => SiteParameters {
                write_rps: LARGE_SITE_WRITES_PER_SECOND,
                ..small
            },
            _ => SiteParameters {
                report: 5_000,
                lease: 26_500,
                cancel: 56_500,
                rps: 700.0,
                write_rps: FLEET_WRITES_PER_SECOND,
                step: 200,
                longer: 4,
                often: 8,
                large: 16,
            },
        }
    }
}

pub(super) fn settings(controller: usize, mutation: Option<Mutation>, size: u64) -> String {
    let zone = |n: usize| if n == 1 { "b" } else { "a" };
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
            let (cpus, most) = (4 * size, 6 * size);
            format!("[[settings.teams]]\nname = \"t{t}\"\ncpus = {cpus}.0\ncpus_max = {most}.0\n")
        })
        .chain(["[[settings.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n".to_owned()])
        .collect();
    let SiteParameters {
        report,
        lease,
        cancel,
        rps,
        write_rps,
        ..
    } = SiteParameters::of(size);
    let value_kb = if size > 1 { 4 } else { 1 };
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    let report = seconds(report);
    let lease = if mutation == Some(Mutation::ShortLease) {
        1.0
    } else {
        seconds(lease)
    };
    let cancel = if mutation == Some(Mutation::LongCancellationDeadline) {
        300.0
    } else {
        seconds(cancel)
    };
    format!(
        "member = \"n{controller}\"\nzone = \"{}\"\nserve_on = \"10.0.0.{controller}:80\"\n\
         mesh_addr = \"10.0.0.{controller}:81\"\n{peers}\n\
         [endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n\
         {teams}\n[settings.workers]\nreport_s = {report:.1}\nlease_s = {lease:.1}\n\
         gang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = {cancel:.1}\n\
         [settings.state]\nrps = {rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = {value_kb}.0\ntxn_ops = 6\n\
         [settings.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n",
        zone(controller)
    )
}
