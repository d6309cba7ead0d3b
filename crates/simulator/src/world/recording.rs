//! Recording of the controllers' outgoing messages for fingerprints, and requests of operators.

use super::open_requests::TicketKey;
use super::World;
use crate::fingerprint::{OutgoingMessage, Recorder};
use controller::{AdminRequest, Effect, Event};

impl World {
    /// Records all outgoing messages of the controllers from now on.
    pub fn record_outgoing(&mut self, recorder: Recorder) {
        self.recorder = Some(recorder);
    }

    /// Ends the recording and returns the recorder.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }

    /// Sends an operator's request to a controller. The response is recorded and goes to nobody.
    pub fn send_admin_request(&mut self, controller: usize, request: AdminRequest) {
        let ticket = self.open_requests.next_ticket();
        self.handle_event(controller, Event::Admin { ticket, request });
    }

    /// Records an effect of a controller, if recording is enabled.
    pub(super) fn record_effect(&mut self, controller: usize, incarnation: u64, effect: &Effect) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        let machine = match effect {
            Effect::Heartbeat { ticket, .. } => self.open_requests.heartbeat_machine(TicketKey {
                controller,
                incarnation,
                ticket: *ticket,
            }),
            _ => None,
        };
        recorder.record(
            self.now,
            controller,
            &OutgoingMessage::from_effect(controller, effect, machine),
        );
    }
}
