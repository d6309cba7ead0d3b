//! Limits of the protocols on the size of messages, and the sizes of what grows in them.
//!
//! A body is bounded where it is built. The sender checks the encoded body once more, so that a body that is too long
//! is an error of this service that is counted and logged, not a message that the receiver drops.

use crate::workers::{Command, TaskStatus};
use serde::Serialize;
use std::io;

/// Longest body of a request, and longest line of a response to workers and users, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;
/// Longest text of an error in a response, in bytes.
pub const MAX_ERROR_BYTES: usize = 512;

/// Bytes of a message with commands that are not commands: a fencing token, a worker epoch and the names of the fields.
const COMMANDS_ENVELOPE_BYTES: usize = 128;
/// Bytes of a heartbeat that are not tasks: four names of up to 255 bytes, and numbers.
const HEARTBEAT_ENVELOPE_BYTES: usize = 1_536;

/// Longest list of commands in a message to a worker, in bytes.
pub const MAX_COMMANDS_BYTES: usize = MAX_MESSAGE_BYTES - COMMANDS_ENVELOPE_BYTES;
/// Longest list of tasks in a heartbeat, in bytes.
pub const MAX_LISTED_TASKS_BYTES: usize = MAX_MESSAGE_BYTES - HEARTBEAT_ENVELOPE_BYTES;

/// Bytes of a running task's entry in a heartbeat without its id and the number of its attempt.
const RUNNING_ENTRY_BYTES: usize = r#"{"piece":"","try":,"status":"gathering"},"#.len();
/// Bytes by which the entry of a task grows when the task exits because it was killed.
pub const KILLED_ENTRY_GROWTH_BYTES: usize = r#","cause":"halted""#.len();
/// Bytes by which the entry of a task grows when the task exits because it was stopped with time to save a checkpoint.
pub const STOPPED_ENTRY_GROWTH_BYTES: usize = r#","cause":"halted","stored":false"#.len();

/// Counts the bytes that are written to it.
struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Length of a value as JSON in bytes. A value that cannot be encoded is longer than any limit.
pub fn encoded_bytes(value: &impl Serialize) -> usize {
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX / 2,
    }
}

/// Length of a command in a list of commands, with the separator.
pub fn command_bytes(command: &Command) -> usize {
    encoded_bytes(command) + 1
}

/// The first of these commands that fit into one message.
pub fn commands_that_fit(commands: impl IntoIterator<Item = Command>) -> Vec<Command> {
    let mut total_bytes = 0;
    let fits = |command: &Command| {
        total_bytes += command_bytes(command);
        total_bytes <= MAX_COMMANDS_BYTES
    };
    commands.into_iter().take_while(fits).collect()
}

/// Length of a task's entry in a heartbeat, with the separator.
pub fn listed_task_bytes(status: &TaskStatus) -> usize {
    encoded_bytes(status) + 1
}

/// Longest entry in a heartbeat of a task that has not exited, with the separator. `task_id_bytes` is the length of the
/// task's id.
pub fn running_task_bytes(task_id_bytes: usize, attempt: u64) -> usize {
    RUNNING_ENTRY_BYTES + task_id_bytes + decimal_digits(attempt)
}

/// Number of decimal digits of a number.
pub fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Length of the longest line of a body.
pub fn longest_line_bytes(body: &[u8]) -> usize {
    body.split(|byte| *byte == b'\n')
        .map(<[u8]>::len)
        .max()
        .unwrap_or(0)
}

/// The beginning of a text that fits into an error message.
pub fn truncate_error(text: &str) -> &str {
    let end = text
        .char_indices()
        .map(|(start, character)| start + character.len_utf8())
        .take_while(|end| *end <= MAX_ERROR_BYTES)
        .last();
    &text[..end.unwrap_or(0)]
}
