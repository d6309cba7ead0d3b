//! Validation of workers' heartbeats, before anything is concluded from them.

use model::{MachineName, TaskId};
use wire::workers::Heartbeat;

/// Maximum length (bytes) of an address and of the name of a machine, a type or a zone.
const MAX_NAME_BYTES: usize = 255;

/// Why a heartbeat is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatFault {
    /// A name or an address is malformed.
    InvalidName,
    /// A task id is malformed, so it is unknown which tasks the machine runs.
    InvalidTaskId,
    /// It comes from another machine than the one that was called: addresses are used again.
    WrongMachine,
}

/// Checks that the list of tasks is complete and that the address can be used.
pub(super) fn check_heartbeat(report: &Heartbeat) -> Result<(), HeartbeatFault> {
    let names = [&report.machine, &report.machine_type, &report.zone];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
    {
        return Err(HeartbeatFault::InvalidName);
    }
    if !is_valid_address(&report.address) {
        return Err(HeartbeatFault::InvalidName);
    }
    if report
        .tasks
        .iter()
        .any(|entry| TaskId::parse(&entry.task).is_none())
    {
        return Err(HeartbeatFault::InvalidTaskId);
    }
    Ok(())
}

/// Checks the reply to a direct call to `called`.
pub(super) fn check_reply(report: &Heartbeat, called: &MachineName) -> Result<(), HeartbeatFault> {
    check_heartbeat(report)?;
    if report.machine != called.as_str() {
        return Err(HeartbeatFault::WrongMachine);
    }
    Ok(())
}

/// Whether the text can be the authority of a URL and nothing else.
fn is_valid_address(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:-_[]%".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
