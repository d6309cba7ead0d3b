//! Selection of the commands that fit into one message to a worker.
//!
//! Normally all of them do, in the order in which they were collected. Otherwise tasks are killed first, then stopped,
//! then forgotten, and new ones are launched last. The stops of a batch begin after the last one of the batch before,
//! so that no task waits because the same commands are sent again and again.

use crate::placement::TaskAttempt;
use model::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::limits::{
    command_bytes, KILLED_ENTRY_GROWTH_BYTES, MAX_COMMANDS_BYTES, STOPPED_ENTRY_GROWTH_BYTES,
};
use wire::workers::Command;

/// How long a stop command counts as on its way: a worker drops a heartbeat response that is older than 4 s.
const DELIVERY_TIME: Duration = Duration::from_secs(5);

/// A command that is due for a machine.
#[derive(Debug, Clone)]
pub(crate) struct DueCommand {
    pub id: TaskAttempt,
    pub command: Command,
    /// The stop can no longer wait until a heartbeat has room for the task's exit.
    pub is_overdue: bool,
}

/// Order in which commands are sent if not all of them fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CommandClass {
    Kill,
    Stop,
    Forget,
    Launch,
}

impl DueCommand {
    fn class(&self) -> CommandClass {
        match self.command {
            Command::Stop { grace_s: 0.0, .. } => CommandClass::Kill,
            Command::Stop { .. } => CommandClass::Stop,
            Command::Forget { .. } => CommandClass::Forget,
            Command::Launch { .. } => CommandClass::Launch,
        }
    }

    fn is_stop(&self) -> bool {
        matches!(self.command, Command::Stop { .. })
    }

    /// Bytes by which the machine's heartbeat grows when the command has been executed.
    fn heartbeat_growth_bytes(&self) -> usize {
        match self.class() {
            CommandClass::Kill => KILLED_ENTRY_GROWTH_BYTES,
            CommandClass::Stop => STOPPED_ENTRY_GROWTH_BYTES,
            CommandClass::Forget | CommandClass::Launch => 0,
        }
    }
}

/// The commands of one message.
#[derive(Debug, Default)]
pub(crate) struct CommandBatch {
    pub commands: Vec<DueCommand>,
    /// Whether these are all commands that are due.
    pub is_complete: bool,
}

/// What is known of the stop commands that were sent to a machine.
#[derive(Debug, Default)]
pub(crate) struct StopDelivery {
    /// Stops that may be on their way, with the time when each was first sent. No heartbeat has shown the exit.
    in_flight: BTreeMap<TaskAttempt, Timestamp>,
    /// The last stop of the last batch that was not complete.
    last_sent: Option<TaskAttempt>,
}

impl StopDelivery {
    /// Chooses the commands of the next message, and records the stops among them as sent. `heartbeat_bytes` is the
    /// number of bytes by which the machine's heartbeat may grow.
    pub(crate) fn next_batch(
        &mut self,
        due: Vec<DueCommand>,
        heartbeat_bytes: usize,
        now: Timestamp,
    ) -> CommandBatch {
        self.in_flight
            .retain(|_, sent_at| now.duration_since(*sent_at) < DELIVERY_TIME);
        let mut space = self.space(&due, heartbeat_bytes);
        let fits_whole = space.clone().take_all(&due, self);
        let batch = if fits_whole {
            CommandBatch {
                commands: due,
                is_complete: true,
            }
        } else {
            self.select(due, &mut space)
        };
        for stop in batch.commands.iter().filter(|due| due.is_stop()) {
            // A repeated stop does not count anew: one without effect gives way to others after a while.
            self.in_flight.entry(stop.id).or_insert(now);
        }
        batch
    }

    /// The space that the stops on their way leave.
    fn space(&self, due: &[DueCommand], heartbeat_bytes: usize) -> MessageSpace {
        let in_flight_bytes: usize = due
            .iter()
            .filter(|due| self.in_flight.contains_key(&due.id))
            .map(DueCommand::heartbeat_growth_bytes)
            .sum();
        MessageSpace {
            command_bytes: MAX_COMMANDS_BYTES,
            heartbeat_bytes: heartbeat_bytes.saturating_sub(in_flight_bytes),
        }
    }

    /// Chooses by class, and within a class in rotation.
    fn select(&mut self, mut due: Vec<DueCommand>, space: &mut MessageSpace) -> CommandBatch {
        let last_sent = self.last_sent;
        let was_sent_before = |id: TaskAttempt| last_sent.is_some_and(|last| id <= last);
        due.sort_by_key(|due| (due.class(), was_sent_before(due.id), due.id));
        let mut commands = Vec::new();
        for command in due {
            if space.take(&command, self) {
                commands.push(command);
            }
        }
        let last_stop = commands.iter().rfind(|due| due.is_stop());
        self.last_sent = last_stop.map(|stop| stop.id).or(self.last_sent);
        CommandBatch {
            commands,
            is_complete: false,
        }
    }
}

/// What is left of a message and of the heartbeat that follows it, in bytes.
#[derive(Debug, Clone)]
struct MessageSpace {
    command_bytes: usize,
    heartbeat_bytes: usize,
}

impl MessageSpace {
    /// Takes the space of a command. False, without a change, if there is not enough.
    fn take(&mut self, due: &DueCommand, delivery: &StopDelivery) -> bool {
        let command_bytes = command_bytes(&due.command);
        let needs_growth = !due.is_overdue && !delivery.in_flight.contains_key(&due.id);
        let growth = if needs_growth {
            due.heartbeat_growth_bytes()
        } else {
            0
        };
        if command_bytes > self.command_bytes || growth > self.heartbeat_bytes {
            return false;
        }
        self.command_bytes -= command_bytes;
        self.heartbeat_bytes -= growth;
        true
    }

    fn take_all(&mut self, due: &[DueCommand], delivery: &StopDelivery) -> bool {
        due.iter().all(|due| self.take(due, delivery))
    }
}

#[cfg(test)]
mod tests;
