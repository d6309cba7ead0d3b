//! Records of capacity that is kept free: room for one queue entry, or machines for a gang.

use model::{JobId, MachineName, Resources, TeamName, Timestamp};
use std::collections::BTreeMap;

/// Machines that are kept for a gang.
#[derive(Debug, Clone)]
pub(crate) struct GangReservation {
    pub job: JobId,
    /// The machines, and how many of the gang's tasks each is to take.
    pub machines: BTreeMap<MachineName, u64>,
    /// When the last of them should have free capacity.
    pub ready_at: Timestamp,
    pub chosen_at: Timestamp,
    /// Until when they are kept while the team's limit prevents the gang from being placed.
    pub until: Timestamp,
}

/// Free capacity that is kept for one queue entry while tasks are being preempted for it.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub machine: MachineName,
    pub needs: Resources,
    pub until: Timestamp,
    /// The team of whose limit the same amount is kept, if the limit is what prevents placement.
    pub charged_team: Option<TeamName>,
}
