//! The settings of a node.

use crate::DurationExt;
use std::time::Duration;
mod file;

use crate::{ControllerName, Resources, TeamName, ZoneName};
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
    pub name: ControllerName,
    pub zone: ZoneName,
    pub mesh: SocketAddr,
}

/// How workers behave.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTimes {
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub gang_peer: Duration,
    pub cancel: Duration,
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
    pub name: ControllerName,
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
    pub cloud_list_lag: Duration,
    pub sockets: usize,
    /// Time within which jobs of a class should be finished, the shortest where several are named.
    pub completion_objectives: BTreeMap<String, Duration>,
}

impl Settings {
    /// A team by name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == *name)
    }

    /// All nodes with their zones, in the order that every node agrees on.
    pub fn nodes(&self) -> Vec<(ControllerName, ZoneName)> {
        let mut nodes: Vec<_> = self
            .peers
            .iter()
            .map(|p| (p.name.clone(), p.zone.clone()))
            .collect();
        nodes.push((self.name.clone(), self.zone.clone()));
        nodes.sort();
        nodes.dedup();
        nodes
    }

    /// How long a holder may go on answering workers after the sending of its last
    /// confirmed read of changes: what a worker's lease leaves of `cancel_s`, less a margin
    /// for drift and for the delivery of the stop itself. Where little is left, half of that: without the
    /// margin the rule holds still, and with no time at all no worker could ever be answered.
    pub fn lease_validity(&self) -> Duration {
        let left = self
            .workers
            .cancel
            .saturating_sub(self.workers.lease.with_clock_drift());
        let margin = Duration::from_secs(1) + self.workers.report;
        left.saturating_sub(margin.min(left / 2))
    }
}
