//! Defects that are injected into messages, see [`Mutation`].

use super::events::Message;
use super::scenario::Mutation;
use super::World;
use controller::HeartbeatReply;
use model::JobId;
use rand::Rng;
use wire::mesh::{MeshMessage, ReplicatedRecord};
use wire::workers::Command;

impl World {
    /// The cloud advertises machines that fit any task.
    pub(super) fn pretend_large_machines(&mut self) {
        if self.plan.mutation == Some(Mutation::UnschedulableJobsFit) {
            for kind in &mut self.cloud.machine_types {
                (kind.cpus, kind.gpus, kind.memory_gb) = (1_000.0, 8.0, 10_000.0);
            }
        }
    }

    /// A mesh message with false or missing replication records, or none if it is lost.
    pub(super) fn as_mutated(&mut self, message: MeshMessage) -> Option<MeshMessage> {
        let MeshMessage::Replication(mut part) = message else {
            return Some(message);
        };
        match self.plan.mutation {
            Some(Mutation::FalseReplicationRecords) => {
                let names: Vec<String> = self.cloud.machines.keys().cloned().collect();
                for record in &mut part.records {
                    self.falsify(record, &names);
                }
            }
            Some(Mutation::LostReplicationRecords) => match self.rng.random_range(0..6) {
                0 => return None,
                1 => part.records.truncate(part.records.len() / 2),
                2 => part.term = part.term.saturating_sub(1),
                3 => (part.after, part.up_to) = (part.after + 1, part.up_to + 1),
                _ => {}
            },
            _ => {}
        }
        Some(MeshMessage::Replication(part))
    }

    /// A message to a machine without the launches of some jobs.
    pub(super) fn without_some_launches(&self, mut message: Message) -> Message {
        let mutated = self.plan.mutation == Some(Mutation::SomeJobsNeverStarted);
        let commands = match &mut message {
            Message::HeartbeatResponse {
                reply: HeartbeatReply::Response(answer),
                ..
            } => &mut answer.commands,
            Message::Direct { body, .. } => &mut body.commands,
            _ => return message,
        };
        if mutated {
            commands.retain(|command| match command {
                Command::Launch { task, .. } => {
                    let id = task.split('/').next().and_then(JobId::parse);
                    id.is_none_or(|id| id.0 % 49 != 0)
                }
                _ => true,
            });
        }
        message
    }

    pub(super) fn falsify(&mut self, record: &mut ReplicatedRecord, names: &[String]) {
        let Some(other) = names.get(self.rng.random_range(0..names.len().max(1))) else {
            return;
        };
        match record {
            ReplicatedRecord::Machine(record) => match self.rng.random_range(0..9) {
                0 => record.address = format!("{other}:9000"),
                1 => record.worker_epoch += 1,
                2 => record.worker_epoch = record.worker_epoch.saturating_sub(1),
                3 => record.machine = other.clone(),
                4 => record.reporting = !record.reporting,
                5 => record.quarantined = self.rng.random_bool(0.2),
                6 => {
                    record.images = vec![(format!("img-{}", self.rng.random_range(0..3)), f64::NAN)]
                }
                7 => record.idle_since_ms = Some(u64::MAX),
                _ => {}
            },
            ReplicatedRecord::Job(record) => {
                record.failures = vec![(0, u32::MAX), (u32::MAX, 1)];
                record.failed_on = names.iter().take(4).cloned().collect();
                record.longest_failure_ms = u64::MAX;
            }
            ReplicatedRecord::Removed(_) => {}
        }
    }
}
