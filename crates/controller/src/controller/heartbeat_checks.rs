//! Validation of workers' heartbeats, before anything is concluded from them.

use model::{MachineName, TaskId};
use wire::workers::Heartbeat;

/// Maximum length (bytes) of an address and of the name of a machine, a type or a zone.
const MAX_NAME_LENGTH: usize = 255;

/// Why a heartbeat is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatFault {
    /// A name or an address is malformed.
    Name,
    /// A task id is malformed, so it is unknown which tasks the machine runs.
    Task,
    /// It comes from another machine than the one that was called: addresses are used again.
    OtherMachine,
}

/// Checks that the list of tasks is complete and that the address can be used.
pub(super) fn check_heartbeat(report: &Heartbeat) -> Result<(), HeartbeatFault> {
    let names = [&report.machine, &report.machine_type, &report.zone];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_LENGTH)
    {
        return Err(HeartbeatFault::Name);
    }
    if !is_address(&report.address) {
        return Err(HeartbeatFault::Name);
    }
    if report
        .tasks
        .iter()
        .any(|entry| TaskId::parse(&entry.task).is_none())
    {
        return Err(HeartbeatFault::Task);
    }
    Ok(())
}

/// Checks the reply to a direct call to `called`.
pub(super) fn check_reply(report: &Heartbeat, called: &MachineName) -> Result<(), HeartbeatFault> {
    check_heartbeat(report)?;
    if report.machine != called.as_str() {
        return Err(HeartbeatFault::OtherMachine);
    }
    Ok(())
}

/// Whether the text can be the authority of a URL and nothing else.
fn is_address(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:-_[]%".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(allowed)
}
