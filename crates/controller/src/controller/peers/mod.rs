//! Peers: what their heartbeats say, and which of them are alive.

#[cfg(test)]
mod tests;

use model::{ControllerName, DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two heartbeats to peers.
const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A peer whose last heartbeat is older is not considered alive.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The last heartbeat of a peer.
#[derive(Debug, Clone)]
pub(super) struct PeerStatus {
    /// When it was received.
    pub last_seen_at: Timestamp,
    /// The peer's incarnation.
    pub incarnation: u64,
    /// Whether the peer has read the state service recently.
    pub state_contact: bool,
    /// Whether the peer may lead partitions.
    pub ready: bool,
    /// Ages of the last heartbeats that the peer had received from other controllers when it sent this one.
    pub peer_heartbeat_ages: Vec<PeerHeartbeatAge>,
}

impl PeerStatus {
    /// Age of the last heartbeat that the peer had received from `controller` when it sent its own.
    pub(super) fn heartbeat_age_of(&self, controller: &ControllerName) -> Option<Duration> {
        self.peer_heartbeat_ages
            .iter()
            .find(|heartbeat| heartbeat.controller == *controller)
            .map(|heartbeat| heartbeat.age)
    }
}

/// The age of a controller's last heartbeat, as reported by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PeerHeartbeatAge {
    pub controller: ControllerName,
    pub age: Duration,
}

/// The peers that have sent a heartbeat, and the time of this controller's own last heartbeat.
#[derive(Debug, Default)]
pub(super) struct PeerRegistry {
    peers: BTreeMap<ControllerName, PeerStatus>,
    heartbeat_sent_at: Timestamp,
}

impl PeerRegistry {
    /// Records a heartbeat.
    pub(super) fn record_heartbeat(&mut self, peer: ControllerName, status: PeerStatus) {
        self.peers.insert(peer, status);
    }

    /// The last heartbeat of a peer.
    pub(super) fn status(&self, peer: &ControllerName) -> Option<&PeerStatus> {
        self.peers.get(peer)
    }

    /// Whether a peer has sent a heartbeat since this controller started.
    pub(super) fn is_known(&self, peer: &ControllerName) -> bool {
        self.peers.contains_key(peer)
    }

    /// Time since a peer's last heartbeat.
    pub(super) fn heartbeat_age(&self, peer: &ControllerName, now: Timestamp) -> Option<Duration> {
        let status = self.peers.get(peer)?;
        Some(now.duration_since(status.last_seen_at))
    }

    /// Whether a peer's last heartbeat is recent.
    pub(super) fn is_alive(&self, peer: &ControllerName, now: Timestamp) -> bool {
        self.heartbeat_age(peer, now)
            .is_some_and(|age| age <= PEER_TIMEOUT)
    }

    /// Whether any peer with a heartbeat no older than `max_age` has read the state service recently.
    pub(super) fn any_has_state_contact(&self, max_age: Duration, now: Timestamp) -> bool {
        self.with_heartbeat_within(max_age, now)
            .any(|status| status.state_contact)
    }

    /// Whether any peers are known, and all their last heartbeats are older than `max_age`.
    pub(super) fn are_all_silent(&self, max_age: Duration, now: Timestamp) -> bool {
        !self.peers.is_empty() && self.with_heartbeat_within(max_age, now).next().is_none()
    }

    fn with_heartbeat_within(
        &self,
        max_age: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = &PeerStatus> + '_ {
        self.peers
            .values()
            .filter(move |status| now.duration_since(status.last_seen_at) <= max_age)
    }

    /// Whether a peer may lead partitions, according to its last heartbeat.
    pub(super) fn is_ready(&self, peer: &ControllerName) -> bool {
        self.peers.get(peer).is_some_and(|status| status.ready)
    }

    /// Whether a peer receives the heartbeats of `controller`, according to the peer's own last heartbeat.
    /// Each direction between two controllers is a separate connection, and one may be cut without the
    /// other.
    pub(super) fn is_receiving_from(
        &self,
        peer: &ControllerName,
        controller: &ControllerName,
    ) -> bool {
        self.peers
            .get(peer)
            .and_then(|status| status.heartbeat_age_of(controller))
            .is_some_and(|age| age <= PEER_TIMEOUT)
    }

    /// Names of the live peers that may lead partitions.
    pub(super) fn ready_peers(&self, now: Timestamp) -> impl Iterator<Item = &ControllerName> + '_ {
        self.peers
            .iter()
            .filter(move |(name, status)| status.ready && self.is_alive(name, now))
            .map(|(name, _)| name)
    }

    /// Names of the live peers that may lead partitions and have read the state service recently.
    pub(super) fn eligible_leaders(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = &ControllerName> + '_ {
        self.peers
            .iter()
            .filter(move |(name, status)| {
                status.ready && status.state_contact && self.is_alive(name, now)
            })
            .map(|(name, _)| name)
    }

    /// Age of the latest heartbeat that any other live peer has received from a controller.
    pub(super) fn latest_heartbeat_age(
        &self,
        controller: &ControllerName,
        now: Timestamp,
    ) -> Option<Duration> {
        self.peers
            .iter()
            .filter(|(name, _)| *name != controller && self.is_alive(name, now))
            .filter_map(|(_, status)| {
                let age = status.heartbeat_age_of(controller)?;
                Some(age + now.duration_since(status.last_seen_at))
            })
            .min()
    }

    /// Ages of all peers' last heartbeats in milliseconds, to be sent with this controller's own heartbeat.
    pub(super) fn heartbeat_ages(&self, now: Timestamp) -> Vec<(String, u64)> {
        self.peers
            .iter()
            .map(|(name, status)| {
                let age = now.duration_since(status.last_seen_at);
                (name.to_string(), age.whole_millis())
            })
            .collect()
    }

    /// Whether this controller's next heartbeat is due. If it is, it counts as sent now.
    pub(super) fn take_due_heartbeat(&mut self, now: Timestamp) -> bool {
        let never_sent = self.heartbeat_sent_at == Timestamp::default();
        let due =
            never_sent || now.duration_since(self.heartbeat_sent_at) >= PEER_HEARTBEAT_INTERVAL;
        if due {
            self.heartbeat_sent_at = now;
        }
        due
    }

    /// Moves the times of all last heartbeats ahead by a pause of this controller. Heartbeats could not be
    /// received during the pause, so it does not count as silence of the peers.
    pub(super) fn shift_heartbeats(&mut self, pause: Duration) {
        for status in self.peers.values_mut() {
            status.last_seen_at += pause;
        }
    }
}
