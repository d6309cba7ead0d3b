//! Settings of a controller, as the rest of the code uses them. The module `file` reads them from the
//! settings file.

mod error;
mod file;

pub use error::{FieldProblem, SettingsError};

use crate::{ControllerName, DurationExt, Resources, TeamName, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of the margin in [`Settings::lease_validity`]: time for the delivery of a stop command.
const STOP_DELIVERY_ALLOWANCE: Duration = Duration::from_secs(1);

/// A team with its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Resources that the team is guaranteed.
    pub guarantee: Resources,
    /// Most that the team may use at the same time; memory is not limited.
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

/// Intervals and timeouts of workers and their partition leaders.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerTimings {
    /// Time between two heartbeats of a worker (`report_s`).
    pub heartbeat_interval: Duration,
    /// Time after the last response to a heartbeat at which a worker's lease expires: the worker then
    /// kills its tasks and enters a new worker epoch (`lease_s`).
    pub lease_duration: Duration,
    /// Time for which a gang's task waits for the other tasks of the gang to start (`gang_wait_s`).
    pub gang_start_timeout: Duration,
    /// Time without contact with the other tasks of the gang after which a gang's task exits
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
    /// Puts and deletes per second (`write_rps`).
    pub writes_per_s: f64,
    /// Largest value in bytes (`value_kb`).
    pub max_value_bytes: usize,
    /// Maximum number of operations in one transaction (`txn_ops`).
    pub max_txn_ops: usize,
}

/// Seconds' worth of the service's write rate that one transaction takes at most. A controller must be able
/// to save that up while others write too.
const MAX_TXN_WRITE_SECONDS: f64 = 0.4;

impl StateLimits {
    /// Maximum number of puts and deletes in one transaction, so that neither the limit on its operations nor
    /// the write rate refuses it for ever.
    pub fn max_txn_writes(&self) -> usize {
        let granted_by_rate = (self.writes_per_s * MAX_TXN_WRITE_SECONDS) as usize;
        self.max_txn_ops.min(granted_by_rate.max(file::MIN_TXN_OPS))
    }
}

/// Validated settings of a controller.
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
    /// Intervals and timeouts of workers and their partition leaders.
    pub workers: WorkerTimings,
    /// Limits of the state service.
    pub state_limits: StateLimits,
    /// Requests per second that the cloud accepts.
    pub cloud_requests_per_s: f64,
    /// Time by which the cloud's list of machines may lag behind its responses.
    pub cloud_list_lag: Duration,
    /// Maximum number of sockets that the controller may open.
    pub max_sockets: usize,
    /// Time within which jobs should be finished, by class of the job: the shortest one if the file sets
    /// several for a class.
    pub completion_objectives: BTreeMap<String, Duration>,
}

impl Settings {
    /// The team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }

    /// All controllers with their zones, including this one, in the same order on every controller.
    pub fn controllers(&self) -> Vec<(ControllerName, ZoneName)> {
        let mut controllers: Vec<_> = self
            .peers
            .iter()
            .map(|peer| (peer.name.clone(), peer.zone.clone()))
            .collect();
        controllers.push((self.name.clone(), self.zone.clone()));
        controllers.sort();
        controllers.dedup();
        controllers
    }

    /// How long after sending its last successful read of changes a partition leader may respond to
    /// workers: the cancel deadline minus a worker's lease duration, with an allowance for clock drift, and
    /// minus a margin for the delivery of the stop command. The margin takes at most half of the time that
    /// remains after the lease: the cancel deadline is met without the margin too, and with a validity of
    /// zero no worker would ever get a response.
    pub fn lease_validity(&self) -> Duration {
        let without_margin = self
            .workers
            .cancel_deadline
            .saturating_sub(self.workers.lease_duration.with_clock_drift());
        let margin = STOP_DELIVERY_ALLOWANCE + self.workers.heartbeat_interval;
        without_margin.saturating_sub(margin.min(without_margin / 2))
    }
}
