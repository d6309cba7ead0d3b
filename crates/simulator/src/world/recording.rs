//! What leaves the controllers, recorded for fingerprints; and operators' requests.

use super::*;
use crate::fingerprint::{Outgoing, Recorder};
use controller::AdminRequest;

impl World {
    /// Records all that leaves the controllers from now on.
    pub fn record_outgoing(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Ends the recording.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }

    /// An operator asks a node; the answer is recorded, and goes to nobody.
    pub fn administer(&mut self, node: usize, request: AdminRequest) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.handle_event(node, Event::Admin { ticket, request });
    }

    pub(super) fn record(&mut self, node: usize, incarnation: u64, effect: &Effect) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        let reporter = match effect {
            Effect::Heartbeat { ticket, .. } => {
                self.heartbeat_tickets.get(&(node, incarnation, *ticket))
            }
            _ => None,
        };
        let machine = reporter.map(|(machine, _)| machine.as_str());
        recorder.add(self.now, node, &Outgoing::of(node, effect, machine));
    }
}
