//! Sizes of commands and of tasks in heartbeats equal those of the encoded messages.

use wire::limits::{
    command_bytes, commands_that_fit, encoded_bytes, listed_task_bytes, running_task_bytes,
    truncate_error, MAX_COMMANDS_BYTES, MAX_ERROR_BYTES, MAX_MESSAGE_BYTES,
};
use wire::workers::{Command, HeartbeatResponse, TaskState, TaskStatus};

fn kill(index: u64) -> Command {
    Command::Stop {
        task: format!("j-999999/{index}"),
        attempt: u64::MAX,
        grace_s: 0.0,
    }
}

/// Guards against a response to a worker of more than 64 KiB.
#[test]
fn response_with_the_commands_that_fit_is_within_the_limit() {
    let commands = commands_that_fit((0..5_000).map(kill));
    let left_out = kill(commands.len() as u64);
    let sizes: usize = commands.iter().map(command_bytes).sum();
    assert!(sizes + command_bytes(&left_out) > MAX_COMMANDS_BYTES);
    let response = HeartbeatResponse {
        token: u64::MAX,
        commands,
    };
    assert!(encoded_bytes(&response) <= MAX_MESSAGE_BYTES);
}

#[test]
fn running_task_takes_no_more_than_its_estimate() {
    for state in [
        TaskState::Fetching,
        TaskState::Waiting,
        TaskState::Running,
        TaskState::Saving,
    ] {
        for attempt in [0, 9, 10, 16_777_217, u64::MAX] {
            let status = TaskStatus {
                task: "j-000412/99999".into(),
                attempt,
                state,
                exit_cause: None,
                checkpoint_saved: None,
            };
            let estimate = running_task_bytes(status.task.len(), attempt);
            assert!(listed_task_bytes(&status) <= estimate, "{status:?}");
        }
    }
}

#[test]
fn long_error_is_cut_at_a_character() {
    let text = "ä".repeat(MAX_ERROR_BYTES);
    assert_eq!(truncate_error(&text).len(), MAX_ERROR_BYTES);
    assert_eq!(truncate_error("short"), "short");
}
