//! The settings file that the platform hands over.

use crate::{NodeName, Resources, Span, TeamName, ZoneName};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

/// A settings file that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("settings file: {0}")]
    Syntax(String),
    #[error("settings: field `{field}`: {problem}")]
    Field { field: String, problem: String },
}

fn bad<T>(field: impl Into<String>, problem: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError::Field { field: field.into(), problem: problem.into() })
}

/// A team with its guarantee and its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: TeamName,
    pub guarantee: Resources,
    pub limit: Resources,
}

/// Another controller node.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    pub name: NodeName,
    pub zone: ZoneName,
    pub mesh: SocketAddr,
}

/// How workers behave.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTimes {
    pub report: Span,
    pub lease: Span,
    pub gang_wait: Span,
    pub gang_peer: Span,
    pub cancel: Span,
}

/// Limits of the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct StateLimits {
    pub requests_per_s: f64,
    pub writes_per_s: f64,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub name: NodeName,
    pub zone: ZoneName,
    pub listen: SocketAddr,
    pub mesh: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    pub teams: Vec<Team>,
    pub workers: WorkerTimes,
    pub state_limits: StateLimits,
    pub cloud_rps: f64,
    pub cloud_list_lag: Span,
    pub sockets: usize,
    /// Within what time jobs of a class should be over, the shortest where several are named.
    pub goals: BTreeMap<String, Span>,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(default)]
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FilePeer {
    member: String,
    zone: String,
    endpoint: String,
}

#[derive(Deserialize)]
struct FileEndpoints {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct FileWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct FileState {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

#[derive(Deserialize)]
struct FileCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileQuota {
    sockets: usize,
}

/// What is expected of a class. Kinds and fields that we do not know are ignored.
#[derive(Deserialize)]
struct FileObjective {
    kind: Option<String>,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct FileParams {
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: FileWorkers,
    state: FileState,
    cloud: FileCloud,
    quota: Option<FileQuota>,
}

#[derive(Deserialize)]
struct File {
    member: String,
    zone: String,
    serve_on: String,
    mesh_addr: String,
    #[serde(default)]
    peers: Vec<FilePeer>,
    endpoints: FileEndpoints,
    settings: FileParams,
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => bad(field, format!("`{text}` is no address of the form 10.0.0.1:8080")),
    }
}

fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        bad(field, format!("{value} must be above 0"))
    }
}

impl Settings {
    /// Reads and checks a settings file. Unknown fields are ignored.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let file: File = toml::from_str(text)
            .map_err(|e| SettingsError::Syntax(e.to_string().trim().replace('\n', " ")))?;
        for (field, value) in [("member", &file.member), ("zone", &file.zone)] {
            if value.is_empty() {
                return bad(field, "must not be empty");
            }
        }
        let mut peers = Vec::new();
        for (at, peer) in file.peers.iter().enumerate() {
            peers.push(Peer {
                name: NodeName::from(peer.member.as_str()),
                zone: ZoneName::from(peer.zone.as_str()),
                mesh: address(&format!("peers[{at}].endpoint"), &peer.endpoint)?,
            });
        }
        let params = &file.settings;
        let mut teams: Vec<Team> = Vec::new();
        for (at, team) in params.teams.iter().enumerate() {
            let at = format!("settings.teams[{at}]");
            for (field, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !value.is_finite() || value < 0.0 {
                    return bad(format!("{at}.{field}"), "must be a number from 0");
                }
            }
            if teams.iter().any(|t| t.name.as_str() == team.name) {
                return bad(format!("{at}.name"), format!("`{}` is named twice", team.name));
            }
            teams.push(Team {
                name: TeamName::from(team.name.as_str()),
                guarantee: Resources::offered(team.cpus, team.gpus, 0.0),
                limit: Resources::limit(team.cpus_max, team.gpus_max),
            });
        }
        let w = &params.workers;
        let span = |field: &str, value: f64| {
            positive(&format!("settings.workers.{field}"), value).map(Span::from_secs)
        };
        let workers = WorkerTimes {
            report: span("report_s", w.report_s)?,
            lease: span("lease_s", w.lease_s)?,
            gang_wait: span("gang_wait_s", w.gang_wait_s)?,
            gang_peer: span("gang_peer_s", w.gang_peer_s)?,
            cancel: span("cancel_s", w.cancel_s)?,
        };
        if params.state.txn_ops < 2 {
            return bad("settings.state.txn_ops", "must be at least 2");
        }
        let value_kb = positive("settings.state.value_kb", params.state.value_kb)?;
        if value_kb < 1.0 {
            return bad("settings.state.value_kb", "must be at least 1");
        }
        let mut goals: BTreeMap<String, Span> = BTreeMap::new();
        for (at, objective) in params.objectives.iter().enumerate() {
            let FileObjective { kind: Some(kind), class: Some(class), within_s: Some(within) } =
                objective
            else {
                continue;
            };
            if kind == "finished" {
                let field = format!("settings.objectives[{at}].within_s");
                let within = Span::from_secs(positive(&field, *within)?);
                let goal = goals.entry(class.clone()).or_insert(within);
                *goal = within.min(*goal);
            }
        }
        Ok(Settings {
            name: NodeName::from(file.member.as_str()),
            zone: ZoneName::from(file.zone.as_str()),
            listen: address("serve_on", &file.serve_on)?,
            mesh: address("mesh_addr", &file.mesh_addr)?,
            peers,
            cloud: address("endpoints.cloud", &file.endpoints.cloud)?,
            state: address("endpoints.state", &file.endpoints.state)?,
            teams,
            workers,
            state_limits: StateLimits {
                requests_per_s: positive("settings.state.rps", params.state.rps)?,
                writes_per_s: positive("settings.state.write_rps", params.state.write_rps)?,
                value_bytes: (value_kb * 1024.0) as usize,
                txn_ops: params.state.txn_ops,
            },
            cloud_rps: positive("settings.cloud.rps", params.cloud.rps)?,
            cloud_list_lag: Span::from_secs(params.cloud.list_lag_s),
            sockets: params.quota.as_ref().map_or(1000, |q| q.sockets),
            goals,
        })
    }

    /// A team by name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == *name)
    }

    /// All nodes with their zones, in the order that every node agrees on.
    pub fn nodes(&self) -> Vec<(NodeName, ZoneName)> {
        let mut nodes: Vec<_> =
            self.peers.iter().map(|p| (p.name.clone(), p.zone.clone())).collect();
        nodes.push((self.name.clone(), self.zone.clone()));
        nodes.sort();
        nodes.dedup();
        nodes
    }

    /// How long a holder may go on answering workers after the sending of its last
    /// confirmed read of changes: what a worker's lease leaves of `cancel_s`, less a margin
    /// for drift and for the delivery of the stop itself. Where little is left, half of that: without the
    /// margin the rule holds still, and with no time at all no worker could ever be answered.
    pub fn blind_span(&self) -> Span {
        let left = self.workers.cancel.saturating_sub(self.workers.lease.with_drift());
        let margin = Span(1000) + self.workers.report;
        left.saturating_sub(margin.min(left / 2))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
        member = "n0"
        zone = "a"
        serve_on = "10.0.0.1:8080"
        mesh_addr = "10.0.0.1:8081"
        later = "ignored"
        [endpoints]
        cloud = "10.2.0.2:8443"
        state = "10.2.0.1:2379"
        [settings]
        teams = [{ name = "t", cpus = 4.0, cpus_max = 8.0 }]
        [settings.workers]
        report_s = 2.0
        lease_s = 10.0
        gang_wait_s = 45.0
        gang_peer_s = 8.0
        cancel_s = 30.0
        [settings.state]
        rps = 100.0
        write_rps = 20.0
        value_kb = 4.0
        txn_ops = 8
        [settings.cloud]
        rps = 5.0
        list_lag_s = 8.0
    "#;

    #[test]
    fn settings_name_the_field_that_is_wrong() {
        let good = Settings::parse(GOOD).expect("good settings");
        assert!(good.blind_span() + good.workers.lease < good.workers.cancel);
        for (from, to, field) in [
            ("serve_on = \"10.0.0.1:8080\"", "serve_on = \"x\"", "serve_on"),
            ("member = \"n0\"", "", "member"),
            ("lease_s = 10.0", "lease_s = 0.0", "lease_s"),
            ("cpus_max = 8.0", "cpus_max = -1.0", "cpus_max"),
            ("rps = 5.0", "rps = \"many\"", "rps"),
        ] {
            let error = Settings::parse(&GOOD.replace(from, to)).expect_err(field).to_string();
            assert!(error.contains(field) && !error.contains('\n'), "{error}");
        }
    }

    /// Seen on days with a guest team: a limit of 0 was taken for a ban, and each of its jobs was
    /// refused with 422.
    #[test]
    fn a_limit_of_0_is_no_limit() {
        let guests = GOOD.replace("cpus = 4.0, cpus_max = 8.0", "cpus = 0.0, cpus_max = 0.0");
        let much = Resources::needed(5_000.0, 1.0, 1.0);
        let team = |text: &str| Settings::parse(text).expect("good settings").teams[0].clone();
        assert!(much.fits_quota(&team(&guests).limit));
        assert!(!much.fits_quota(&team(GOOD).limit));
        assert!(!Resources::needed(0.25, 0.0, 1.0).fits_quota(&team(&guests).guarantee));
    }
}
