//! Format of the settings file, and the validation of its fields.
//!
//! Unknown fields are ignored. The error names the first field that fails a check.

use super::{FieldProblem, Peer, Settings, SettingsError, StateLimits, Team, WorkerTimings};
use crate::{duration_from_secs, ControllerName, Resources, TeamName, ZoneName};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of sockets that a controller may open if the file sets no quota.
const DEFAULT_MAX_SOCKETS: usize = 1000;
/// A change of leadership writes two records, and the archiving of a job as many.
pub(super) const MIN_TXN_OPS: usize = 2;
/// Smallest limit on the size of a value with which records still fit.
const MIN_VALUE_KB: f64 = 1.0;
const BYTES_PER_KB: f64 = 1024.0;
/// Kind of an objective that sets a time within which jobs should be finished.
const COMPLETION_OBJECTIVE: &str = "finished";

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
    /// Limits that replace these at some time while the controller runs, without notice.
    next: Option<FileNextState>,
}

/// Later limits of the state service. A limit that is absent stays as it is.
#[derive(Deserialize)]
struct FileNextState {
    rps: Option<f64>,
    write_rps: Option<f64>,
    value_kb: Option<f64>,
    txn_ops: Option<usize>,
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

/// An objective for a class of jobs. Unknown kinds and fields are ignored.
#[derive(Deserialize)]
struct FileObjective {
    kind: Option<String>,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct FileSettings {
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: FileWorkers,
    state: FileState,
    cloud: FileCloud,
    quota: Option<FileQuota>,
}

#[derive(Deserialize)]
struct SettingsFile {
    member: String,
    zone: String,
    serve_on: String,
    mesh_addr: String,
    #[serde(default)]
    peers: Vec<FilePeer>,
    endpoints: FileEndpoints,
    settings: FileSettings,
}

fn invalid_field<T>(field: impl Into<String>, problem: FieldProblem) -> Result<T, SettingsError> {
    Err(SettingsError::Field {
        field: field.into(),
        problem,
    })
}

fn to_single_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse()
        .or_else(|_| invalid_field(field, FieldProblem::NotAnAddress(text.to_owned())))
}

fn require_positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        invalid_field(field, FieldProblem::NotPositive(value))
    }
}

fn require_not_empty(field: &str, value: &str) -> Result<(), SettingsError> {
    if value.is_empty() {
        return invalid_field(field, FieldProblem::Empty);
    }
    Ok(())
}

fn parse_peers(entries: &[FilePeer]) -> Result<Vec<Peer>, SettingsError> {
    let mut peers = Vec::new();
    for (index, peer) in entries.iter().enumerate() {
        peers.push(Peer {
            name: ControllerName::from(peer.member.as_str()),
            zone: ZoneName::from(peer.zone.as_str()),
            mesh_address: parse_address(&format!("peers[{index}].endpoint"), &peer.endpoint)?,
        });
    }
    Ok(peers)
}

fn parse_teams(entries: &[FileTeam]) -> Result<Vec<Team>, SettingsError> {
    let mut teams: Vec<Team> = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let prefix = format!("settings.teams[{index}]");
        let team = parse_team(&prefix, entry)?;
        if teams.iter().any(|other| other.name == team.name) {
            return invalid_field(
                format!("{prefix}.name"),
                FieldProblem::DuplicateTeam(team.name.to_string()),
            );
        }
        teams.push(team);
    }
    Ok(teams)
}

fn parse_team(prefix: &str, team: &FileTeam) -> Result<Team, SettingsError> {
    let amounts = [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ];
    for (field, value) in amounts {
        if !value.is_finite() || value < 0.0 {
            return invalid_field(format!("{prefix}.{field}"), FieldProblem::Negative);
        }
    }
    Ok(Team {
        name: TeamName::from(team.name.as_str()),
        guarantee: Resources::offered(team.cpus, team.gpus, 0.0),
        limit: Resources::team_limit(team.cpus_max, team.gpus_max),
    })
}

fn parse_worker_timings(workers: &FileWorkers) -> Result<WorkerTimings, SettingsError> {
    let duration = |field: &str, value: f64| {
        require_positive(&format!("settings.workers.{field}"), value).map(duration_from_secs)
    };
    Ok(WorkerTimings {
        heartbeat_interval: duration("report_s", workers.report_s)?,
        lease_duration: duration("lease_s", workers.lease_s)?,
        gang_start_timeout: duration("gang_wait_s", workers.gang_wait_s)?,
        gang_peer_timeout: duration("gang_peer_s", workers.gang_peer_s)?,
        cancel_deadline: duration("cancel_s", workers.cancel_s)?,
    })
}

/// Checks the limits of the state service. Where the limits will change, the lower ones hold from the beginning:
/// nobody is told when they change, and what is stored must fit then too.
fn parse_state_limits(state: &FileState) -> Result<StateLimits, SettingsError> {
    let limits = parse_limits("settings.state", state)?;
    let Some(next) = &state.next else {
        return Ok(limits);
    };
    let next = FileState {
        rps: next.rps.unwrap_or(state.rps),
        write_rps: next.write_rps.unwrap_or(state.write_rps),
        value_kb: next.value_kb.unwrap_or(state.value_kb),
        txn_ops: next.txn_ops.unwrap_or(state.txn_ops),
        next: None,
    };
    let next = parse_limits("settings.state.next", &next)?;
    Ok(StateLimits {
        requests_per_s: limits.requests_per_s.min(next.requests_per_s),
        writes_per_s: limits.writes_per_s.min(next.writes_per_s),
        max_value_bytes: limits.max_value_bytes.min(next.max_value_bytes),
        max_txn_ops: limits.max_txn_ops.min(next.max_txn_ops),
    })
}

/// Checks one set of limits, whose fields begin with `prefix`.
fn parse_limits(prefix: &str, state: &FileState) -> Result<StateLimits, SettingsError> {
    if state.txn_ops < MIN_TXN_OPS {
        return invalid_field(
            format!("{prefix}.txn_ops"),
            FieldProblem::BelowMinimum(MIN_TXN_OPS as f64),
        );
    }
    let value_kb = require_positive(&format!("{prefix}.value_kb"), state.value_kb)?;
    if value_kb < MIN_VALUE_KB {
        return invalid_field(
            format!("{prefix}.value_kb"),
            FieldProblem::BelowMinimum(MIN_VALUE_KB),
        );
    }
    Ok(StateLimits {
        requests_per_s: require_positive(&format!("{prefix}.rps"), state.rps)?,
        writes_per_s: require_positive(&format!("{prefix}.write_rps"), state.write_rps)?,
        max_value_bytes: (value_kb * BYTES_PER_KB) as usize,
        max_txn_ops: state.txn_ops,
    })
}

/// Collects the time within which jobs of each class should be finished.
fn parse_completion_objectives(
    objectives: &[FileObjective],
) -> Result<BTreeMap<String, Duration>, SettingsError> {
    let mut completion_objectives: BTreeMap<String, Duration> = BTreeMap::new();
    for (index, objective) in objectives.iter().enumerate() {
        let FileObjective {
            kind: Some(kind),
            class: Some(class),
            within_s: Some(within),
        } = objective
        else {
            continue;
        };
        if kind != COMPLETION_OBJECTIVE {
            continue;
        }
        let field = format!("settings.objectives[{index}].within_s");
        let within = duration_from_secs(require_positive(&field, *within)?);
        let completion_objective = completion_objectives.entry(class.clone()).or_insert(within);
        *completion_objective = within.min(*completion_objective);
    }
    Ok(completion_objectives)
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let file: SettingsFile =
            toml::from_str(text).map_err(|error| SettingsError::Syntax(to_single_line(&error)))?;
        require_not_empty("member", &file.member)?;
        require_not_empty("zone", &file.zone)?;
        let platform_settings = &file.settings;
        let peers = parse_peers(&file.peers)?;
        let teams = parse_teams(&platform_settings.teams)?;
        let workers = parse_worker_timings(&platform_settings.workers)?;
        let state_limits = parse_state_limits(&platform_settings.state)?;
        let completion_objectives = parse_completion_objectives(&platform_settings.objectives)?;
        Ok(Settings {
            name: ControllerName::from(file.member.as_str()),
            zone: ZoneName::from(file.zone.as_str()),
            listen_address: parse_address("serve_on", &file.serve_on)?,
            mesh_address: parse_address("mesh_addr", &file.mesh_addr)?,
            peers,
            cloud_address: parse_address("endpoints.cloud", &file.endpoints.cloud)?,
            state_address: parse_address("endpoints.state", &file.endpoints.state)?,
            teams,
            workers,
            state_limits,
            cloud_requests_per_s: require_positive(
                "settings.cloud.rps",
                platform_settings.cloud.rps,
            )?,
            cloud_list_lag: duration_from_secs(platform_settings.cloud.list_lag_s),
            max_sockets: platform_settings
                .quota
                .as_ref()
                .map_or(DEFAULT_MAX_SOCKETS, |quota| quota.sockets),
            completion_objectives,
        })
    }
}
