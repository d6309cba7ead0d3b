//! Records of reserved capacity: capacity on one machine for a queue entry, or machines for a gang.

use model::{JobId, MachineName, Resources, TeamName, Timestamp};
use std::collections::BTreeMap;

/// Machines that are reserved for a gang.
#[derive(Debug, Clone)]
pub(crate) struct GangReservation {
    pub job: JobId,
    /// The machines, with the number of the gang's tasks for each.
    pub machines: BTreeMap<MachineName, u64>,
    /// When the last of them is expected to have free capacity.
    pub ready_at: Timestamp,
    pub chosen_at: Timestamp,
    /// After this time the reservation is renewed only if the team's limit allows the gang to be placed.
    pub expires_at: Timestamp,
}

/// Capacity that is reserved for one queue entry while tasks are being stopped for it.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub machine: MachineName,
    pub needs: Resources,
    pub expires_at: Timestamp,
    /// The team of whose limit the same amount is reserved, if any.
    pub charged_team: Option<TeamName>,
}
