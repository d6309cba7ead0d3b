//! The network's state: active faults, and messages that a disconnection holds back.

use super::active_fault::ActiveFault;
use super::events::{Endpoint, Message};

/// A message that is held back and sent again once a fault has ended.
#[derive(Debug)]
pub(super) struct HeldMessage {
    pub(super) from: Endpoint,
    pub(super) to: Endpoint,
    pub(super) message: Message,
}

/// Active faults in the order of their starts, and the messages that they hold back.
#[derive(Debug, Default)]
pub(super) struct Network {
    faults: Vec<ActiveFault>,
    held: Vec<HeldMessage>,
}

impl Network {
    /// Activates a fault. Equal faults may be active several times.
    pub(super) fn activate(&mut self, fault: ActiveFault) {
        self.faults.push(fault);
    }

    /// Ends one active fault that equals `ended`.
    pub(super) fn deactivate(&mut self, ended: &ActiveFault) {
        if let Some(index) = self.faults.iter().position(|fault| fault == ended) {
            self.faults.remove(index);
        }
    }

    /// Whether a fault is active.
    pub(super) fn is_active(&self, fault: &ActiveFault) -> bool {
        self.faults.contains(fault)
    }

    /// Whether an active fault matches.
    pub(super) fn any_active(&self, matches: impl FnMut(&ActiveFault) -> bool) -> bool {
        self.faults.iter().any(matches)
    }

    /// The first value that `select` returns for an active fault.
    pub(super) fn find_active<T>(
        &self,
        select: impl FnMut(&ActiveFault) -> Option<T>,
    ) -> Option<T> {
        self.faults.iter().find_map(select)
    }

    /// Holds a message back; it is sent again when any fault has ended.
    pub(super) fn hold(&mut self, held: HeldMessage) {
        self.held.push(held);
    }

    /// Takes all messages that are held back, in the order in which they were sent.
    pub(super) fn take_held(&mut self) -> Vec<HeldMessage> {
        std::mem::take(&mut self.held)
    }
}
