//! Settings of a controller, as the rest of the code uses them. The module `file` reads them.

mod error;
mod file;

pub use error::{FieldProblem, SettingsError};

use crate::{ControllerName, DurationExt, Resources, TeamName, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of the margin of [`Settings::lease_validity`] for the delivery of a stop command.
const STOP_DELIVERY_ALLOWANCE: Duration = Duration::from_secs(1);

/// A team with its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Resources that the team is guaranteed.
    pub guarantee: Resources,
    /// Most that the team may use at a time; memory is not limited.
    pub limit: Resources,
}

/// Another controller.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name of the controller.
    pub name: ControllerName,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Address of its mesh listener.
    pub mesh_address: SocketAddr,
}

/// Times that workers and their leaders keep.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker (`report_s`).
    pub heartbeat_interval: Duration,
    /// Time after the last response to a heartbeat at which a worker's lease expires: it then kills
    /// its tasks and enters a new worker epoch (`lease_s`).
    pub lease_duration: Duration,
    /// Time for which a gang's task waits for the other tasks of the gang to start (`gang_wait_s`).
    pub gang_start_timeout: Duration,
    /// Time without contact to the other tasks of the gang after which a gang's task exits
    /// (`gang_peer_s`).
    pub gang_peer_timeout: Duration,
    /// Time within which the tasks of a cancelled job must have stopped (`cancel_s`).
    pub cancel_deadline: Duration,
}

/// Limits of the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct StateLimits {
    /// Requests per second (`rps`).
    pub requests_per_s: f64,
    /// Transactions per second (`write_rps`).
    pub writes_per_s: f64,
    /// Largest value in bytes (`value_kb`).
    pub max_value_bytes: usize,
    /// Most operations that one transaction may contain (`txn_ops`).
    pub max_txn_ops: usize,
}

/// Settings of a controller, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the controller (`member`).
    pub name: ControllerName,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Address on which users, workers and operators are served (`serve_on`).
    pub listen_address: SocketAddr,
    /// Address of the mesh listener (`mesh_addr`).
    pub mesh_address: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Address of the cloud.
    pub cloud_address: SocketAddr,
    /// Address of the state service.
    pub state_address: SocketAddr,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Times that workers and their leaders keep.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state_limits: StateLimits,
    /// Requests per second that the cloud accepts.
    pub cloud_requests_per_s: f64,
    /// Time by which the cloud's list of machines may lag behind its responses.
    pub cloud_list_lag: Duration,
    /// Number of sockets that the controller may open.
    pub max_sockets: usize,
    /// Time within which jobs of a class should be finished: the shortest one where the file names
    /// several.
    pub completion_objectives: BTreeMap<String, Duration>,
}

impl Settings {
    /// A team by name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// All controllers with their zones, in the order that is the same on every controller.
    pub fn controllers(&self) -> Vec<(ControllerName, ZoneName)> {
        let mut nodes: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (peer.name.clone(), peer.zone.clone()))
            .collect();
        nodes.push((self.name.clone(), self.zone.clone()));
        nodes.sort();
        nodes.dedup();
        nodes
    }

    /// How long a partition leader may respond to workers after it sent its last successful read of
    /// changes: the cancel deadline less a worker's lease, and less a margin for clock drift and the
    /// delivery of the stop command. The margin takes at most half of that time: the cancel deadline is
    /// met without the margin too, and with no validity left no worker would ever get a response.
    pub fn lease_validity(&self) -> Duration {
        let left = self
            .workers
            .cancel_deadline
            .saturating_sub(self.workers.lease_duration.with_clock_drift());
        let margin = STOP_DELIVERY_ALLOWANCE + self.workers.heartbeat_interval;
        left.saturating_sub(margin.min(left / 2))
    }
}
