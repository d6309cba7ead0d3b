//! Validation of workers' heartbeats before they are applied.

use model::{MachineName, TaskId};
use wire::workers::Heartbeat;

/// Maximum length of an address and of the name of a machine, a machine type or a zone.
const MAX_NAME_BYTES: usize = 255;

/// Why a heartbeat is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatFault {
    /// A name or the address is malformed.
    InvalidName,
    /// A task's id is malformed, so it is unknown which tasks the machine runs.
    InvalidTaskId,
    /// The reply comes from another machine than the called one: addresses are reused.
    WrongMachine,
}

/// Checks that the names and the address are valid and that all tasks can be identified.
pub(super) fn check_heartbeat(heartbeat: &Heartbeat) -> Result<(), HeartbeatFault> {
    let names = [&heartbeat.machine, &heartbeat.machine_type, &heartbeat.zone];
    if names
        .iter()
        .any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES)
    {
        return Err(HeartbeatFault::InvalidName);
    }
    if !is_valid_address(&heartbeat.address) {
        return Err(HeartbeatFault::InvalidName);
    }
    if heartbeat
        .tasks
        .iter()
        .any(|status| TaskId::parse(&status.task).is_none())
    {
        return Err(HeartbeatFault::InvalidTaskId);
    }
    Ok(())
}

/// Checks the heartbeat in the reply to a direct call to `called`.
pub(super) fn check_reply(
    heartbeat: &Heartbeat,
    called: &MachineName,
) -> Result<(), HeartbeatFault> {
    check_heartbeat(heartbeat)?;
    if heartbeat.machine != called.as_str() {
        return Err(HeartbeatFault::WrongMachine);
    }
    Ok(())
}

/// Whether the address has only characters of a URL's host and port, so that it cannot change any other
/// part of a URL that is built from it.
fn is_valid_address(address: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:-_[]%".contains(&byte);
    !address.is_empty() && address.len() <= MAX_NAME_BYTES && address.bytes().all(is_allowed)
}
