//! Messages between controllers: sends heartbeats, and dispatches the messages of peers.

use super::peers::{PeerHeartbeatAge, PeerStatus};
use super::Controller;
use crate::job_status_cache::TaskCounts;
use crate::rejections::{MessageFault, MessageSource};
use model::{ControllerName, FencingToken, JobId, PartitionId};
use std::time::Duration;
use wire::mesh::MeshMessage;

/// Maximum age of the last read of changes at which heartbeats report contact with the state service.
const MAX_STATE_CONTACT_AGE: Duration = Duration::from_secs(3);

/// A peer's heartbeat, decoded.
struct PeerHeartbeat {
    status: PeerStatus,
    /// The revision of the state service up to which the peer has read all changes.
    revision: u64,
}

impl Controller {
    /// Sends heartbeats to all peers if they are due.
    pub(super) fn send_peer_heartbeats(&mut self) {
        if !self.peers.take_due_heartbeat(self.now) {
            return;
        }
        let is_synced = self.state_sync.is_synced();
        let message = MeshMessage::Heartbeat {
            peer_heartbeat_ages: self.peers.heartbeat_ages(self.now),
            incarnation: self.registration.incarnation(),
            revision: if is_synced { self.cache.revision.0 } else { 0 },
            state_contact: is_synced && self.has_recent_state_read(MAX_STATE_CONTACT_AGE),
            ready: is_synced && self.registration.is_registered(),
        };
        self.broadcast(message);
    }

    /// Handles a message of a peer.
    pub(super) fn handle_mesh_message(&mut self, from: ControllerName, message: MeshMessage) {
        if !self.settings.peers.iter().any(|peer| peer.name == from) {
            self.reject_peer_message(MessageFault::UnknownSender);
            return;
        }
        match message {
            MeshMessage::Heartbeat {
                incarnation,
                revision,
                state_contact,
                ready,
                peer_heartbeat_ages,
            } => {
                let status = PeerStatus {
                    last_seen_at: self.now,
                    incarnation,
                    state_contact,
                    ready,
                    peer_heartbeat_ages: decode_heartbeat_ages(&peer_heartbeat_ages),
                };
                self.handle_peer_heartbeat(&from, PeerHeartbeat { status, revision });
            }
            MeshMessage::PartitionStatus(status) => self.handle_partition_status(status),
            MeshMessage::Subscribe {
                partition,
                incarnation,
                term,
                applied,
            } => self.handle_subscription(&from, partition, incarnation, term, applied),
            MeshMessage::Replication(batch) => self.handle_replication_batch(&from, batch),
            MeshMessage::ReleaseMachine { machine, to } => {
                self.handle_release_request(&machine, to);
            }
            MeshMessage::TransferMachines { .. } => self.handle_transfer_request(&message),
            MeshMessage::LeaderChanged { leader, .. } if leader != from.as_str() => {
                self.reject_peer_message(MessageFault::Misrouted);
            }
            MeshMessage::LeaderChanged {
                partition, term, ..
            } => self.handle_leader_change(from, PartitionId(partition), FencingToken(term)),
            MeshMessage::LeadershipResigned { partition } => {
                self.record_peer_resignation(PartitionId(partition), from);
            }
            MeshMessage::ReclaimRequest {
                partition,
                lease,
                incarnation,
            } => {
                if self.peers.is_ready(&from) {
                    self.transfer_leadership(PartitionId(partition), &from, lease, incarnation);
                }
            }
            MeshMessage::JobsCancelled { jobs } => {
                for id in jobs {
                    self.stop_cancelled_job(JobId(id));
                }
            }
            MeshMessage::JobProgress { jobs } => self.record_job_progress(jobs),
        }
    }

    fn reject_peer_message(&mut self, fault: MessageFault) {
        self.counters.rejections.add(MessageSource::Peer, fault);
    }

    fn handle_peer_heartbeat(&mut self, from: &ControllerName, heartbeat: PeerHeartbeat) {
        let PeerHeartbeat { status, revision } = heartbeat;
        let incarnation = status.incarnation;
        self.detect_false_suspicion(from, incarnation);
        self.peers.record_heartbeat(from.clone(), status);
        let now = self.now;
        for leadership in self.leaderships.values_mut() {
            leadership.record_peer_revision(from, incarnation, revision, now);
        }
    }

    /// Handles a peer's announcement that it has acquired a partition. If the announced term is higher
    /// than this controller's, workers are redirected to the peer.
    fn handle_leader_change(
        &mut self,
        leader: ControllerName,
        partition: PartitionId,
        term: FencingToken,
    ) {
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if term > leadership.term() {
            tracing::warn!(%partition, %term, %leader, "partition leadership superseded");
            leadership.set_successor(leader);
        }
    }

    fn record_job_progress(&mut self, jobs: Vec<(u64, u64, u64)>) {
        for (id, done, running) in jobs {
            let id = JobId(id);
            if self.cache.jobs.contains_key(&id) {
                self.job_status
                    .record_progress(id, TaskCounts { done, running });
            }
        }
    }
}

fn decode_heartbeat_ages(ages: &[(String, u64)]) -> Vec<PeerHeartbeatAge> {
    ages.iter()
        .map(|(name, age_ms)| PeerHeartbeatAge {
            controller: ControllerName::from(name.as_str()),
            age: Duration::from_millis(*age_ms),
        })
        .collect()
}
