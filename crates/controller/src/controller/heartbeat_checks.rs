//! Whether a worker's report can be relied on at all, before anything is concluded from it.

use model::{MachineName, TaskId};
use wire::workers::Heartbeat;

/// Longest name of a machine, a type or a zone, and longest address.
const MAX_NAME_LENGTH: usize = 255;

/// Why a report proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeartbeatFault {
    /// A name or an address that no worker has.
    Name,
    /// A task that cannot be read: whether one of ours is there is not known then.
    Task,
    /// It comes from another machine than the one that was asked: addresses are used again.
    OtherMachine,
}

/// Checks what a report must hold for its list of tasks to be complete and its address to be used.
pub(super) fn check_report(report: &Heartbeat) -> Result<(), HeartbeatFault> {
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

/// Checks the answer to a direct call to `asked`.
pub(super) fn check_answer(report: &Heartbeat, asked: &MachineName) -> Result<(), HeartbeatFault> {
    check_report(report)?;
    if report.machine != asked.as_str() {
        return Err(HeartbeatFault::OtherMachine);
    }
    Ok(())
}

/// Whether the text can be the authority of a URL, and nothing besides.
fn is_address(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".:-_[]%".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(allowed)
}
