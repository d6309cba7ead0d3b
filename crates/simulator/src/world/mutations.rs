//! Defects that are injected into messages and into the cloud's machine types, see [`Mutation`].

use super::events::Message;
use super::scenario::Mutation;
use super::World;
use controller::HeartbeatReply;
use model::JobId;
use rand::Rng;
use wire::mesh::{MeshMessage, ReplicatedRecord};
use wire::workers::Command;

impl World {
    /// Applies [`Mutation::UnschedulableJobsFit`]: the cloud advertises machine types so large that any task fits.
    pub(super) fn enlarge_machine_types(&mut self) {
        if self.plan.mutation == Some(Mutation::UnschedulableJobsFit) {
            for machine_type in &mut self.cloud.machine_types {
                (machine_type.cpus, machine_type.gpus, machine_type.memory_gb) =
                    (1_000.0, 8.0, 10_000.0);
            }
        }
    }

    /// Applies the mutations of replication streams to a mesh message. None if the message is lost.
    pub(super) fn mutate_mesh_message(&mut self, message: MeshMessage) -> Option<MeshMessage> {
        let MeshMessage::Replication(mut batch) = message else {
            return Some(message);
        };
        match self.plan.mutation {
            Some(Mutation::FalseReplicationRecords) => {
                let names: Vec<String> = self.cloud.machines.keys().cloned().collect();
                for record in &mut batch.records {
                    self.falsify_record(record, &names);
                }
            }
            Some(Mutation::LostReplicationRecords) => match self.rng.random_range(0..6) {
                0 => return None,
                1 => batch.records.truncate(batch.records.len() / 2),
                2 => batch.term = batch.term.saturating_sub(1),
                3 => (batch.after, batch.up_to) = (batch.after + 1, batch.up_to + 1),
                _ => {}
            },
            _ => {}
        }
        Some(MeshMessage::Replication(batch))
    }

    /// Applies [`Mutation::SomeJobsNeverStarted`]: removes the launch commands of every seventh job's tasks from a
    /// message to a machine. Job numbers are multiples of 7.
    pub(super) fn without_some_launches(&self, mut message: Message) -> Message {
        let is_mutated = self.plan.mutation == Some(Mutation::SomeJobsNeverStarted);
        let commands = match &mut message {
            Message::HeartbeatResponse {
                reply: HeartbeatReply::Response(answer),
                ..
            } => &mut answer.commands,
            Message::DirectCall { body, .. } => &mut body.commands,
            _ => return message,
        };
        if is_mutated {
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

    /// Replaces some contents of a record of a replication stream by false ones; `names` are those of all machines
    /// ever rented.
    pub(super) fn falsify_record(&mut self, record: &mut ReplicatedRecord, names: &[String]) {
        let Some(other_machine) = names.get(self.rng.random_range(0..names.len().max(1))) else {
            return;
        };
        match record {
            ReplicatedRecord::Machine(record) => match self.rng.random_range(0..9) {
                0 => record.address = format!("{other_machine}:9000"),
                1 => record.worker_epoch += 1,
                2 => record.worker_epoch = record.worker_epoch.saturating_sub(1),
                3 => record.machine = other_machine.clone(),
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
