//! Follow-up requests: after each reply that confirms something about a job, users send requests to every
//! controller within milliseconds and over parallel connections, and some cancel at once.

use super::events::ScheduledEvent;
use super::network::ActiveFault;
use super::site::CONTROLLERS;
use super::users::MAX_ATTEMPTS;
use super::World;
use controller::UserRequest;
use model::JobId;
use rand::Rng;
use std::collections::HashMap;

/// Delays between a confirmation and its follow-up requests, in ms.
const FOLLOW_UP_DELAYS_MS: [u64; 4] = [0, 3, 15, 80];
/// Rounds of follow-up requests per job and kind of confirmation.
const MAX_FOLLOW_UP_ROUNDS: u32 = 3;
/// Share of the jobs that are cancelled at the moment of their acceptance.
const CANCEL_AT_ACCEPTANCE_PROBABILITY: f64 = 0.15;

/// What a reply confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Confirmation {
    Accepted,
    Done,
    Cancelled,
}

/// What users send in one round. A controller that got only status requests has not received the job, and may
/// still not know it when a later round repeats its submission there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowUpStyle {
    Questions,
    Repeats,
    Both,
}

/// Rounds of follow-up requests by job and kind of confirmation.
pub(super) type FollowUpCounts = HashMap<(String, Confirmation), u32>;

impl World {
    /// Something was confirmed: schedules follow-up requests, if that fault is active.
    pub(super) fn schedule_follow_ups(&mut self, id: &str, confirmed: Confirmation) {
        if !self.network.is_active(&ActiveFault::FollowUpRequests) {
            return;
        }
        let rounds = self
            .follow_up_counts
            .entry((id.to_owned(), confirmed))
            .or_default();
        if *rounds >= MAX_FOLLOW_UP_ROUNDS {
            return;
        }
        *rounds += 1;
        let first = *rounds == 1;
        if first
            && confirmed == Confirmation::Accepted
            && self.rng.random_bool(CANCEL_AT_ACCEPTANCE_PROBABILITY)
        {
            self.coverage.cancelled_at_acceptance += 1;
            let what = ScheduledEvent::CancelJob { id: id.to_owned() };
            let after = self.rng.random_range(0..3);
            self.schedule(self.now + after, what);
        }
        let style = match self.rng.random_range(0..3) {
            0 => FollowUpStyle::Questions,
            1 => FollowUpStyle::Repeats,
            _ => FollowUpStyle::Both,
        };
        for pause in FOLLOW_UP_DELAYS_MS {
            for controller in 0..CONTROLLERS {
                self.schedule_follow_up(controller, id, confirmed, style, pause);
            }
        }
    }

    /// Schedules a follow-up that fits the confirmation: a status request, a repeated submission or a
    /// repeated cancellation.
    fn schedule_follow_up(
        &mut self,
        controller: usize,
        id: &str,
        confirmed: Confirmation,
        style: FollowUpStyle,
        pause: u64,
    ) {
        let Some(number) = JobId::parse(id) else {
            return;
        };
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let repeats = match style {
            FollowUpStyle::Questions => false,
            FollowUpStyle::Repeats => true,
            FollowUpStyle::Both => self.rng.random_bool(0.5),
        };
        let cancels = confirmed == Confirmation::Cancelled && self.rng.random_bool(0.2);
        let request = match (repeats, cancels) {
            (false, _) => UserRequest::Get(number),
            (true, true) => UserRequest::Cancel(number),
            (true, false) => UserRequest::Submit(Box::new(job)),
        };
        let at = self.now + pause + self.rng.random_range(0..3);
        self.schedule(
            at,
            ScheduledEvent::SendFollowUp {
                controller,
                request,
                id: id.to_owned(),
            },
        );
    }

    /// A follow-up request to one controller, over a connection of its own; it is not retried.
    pub(super) fn send_follow_up(&mut self, controller: usize, request: UserRequest, id: String) {
        if !self
            .network
            .is_active(&ActiveFault::UsersDisconnected(controller))
        {
            self.send_request_to(controller, request, id, MAX_ATTEMPTS);
        }
    }

    /// Schedules status requests and repeated submissions at every controller at the same moment.
    pub(super) fn follow_up_everywhere(&mut self, id: &str, after: u64) {
        for controller in 0..CONTROLLERS {
            self.schedule_follow_up(
                controller,
                id,
                Confirmation::Done,
                FollowUpStyle::Both,
                after,
            );
        }
    }
}
