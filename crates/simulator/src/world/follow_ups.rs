//! Follow-up requests: after a reply that confirms something about a job, users send requests about it to every
//! controller within milliseconds and over parallel connections, and some cancel it at once.

use super::active_fault::ActiveFault;
use super::events::{ScheduledEvent, MAX_ATTEMPTS};
use super::site::CONTROLLERS;
use super::World;
use controller::UserRequest;
use model::JobId;
use rand::Rng;
use std::collections::HashMap;

/// Delays between a confirmation and its follow-up requests; up to 2 ms are added at random.
const FOLLOW_UP_DELAYS_MS: [u64; 4] = [0, 3, 15, 80];
/// Upper bound of the rounds of follow-up requests per job and kind of confirmation.
const MAX_FOLLOW_UP_ROUNDS: u32 = 3;
/// Share of the jobs that are cancelled within 3 ms of their acceptance.
const CANCEL_AT_ACCEPTANCE_PROBABILITY: f64 = 0.15;

/// What a reply confirms about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Confirmation {
    Accepted,
    Done,
    Cancelled,
}

/// What users send in one round. Some rounds consist of status requests only: a controller that got no
/// submission may still not know the job when a later round repeats the submission there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowUpStyle {
    StatusRequests,
    RepeatedRequests,
    Mixed,
}

/// Number of rounds of follow-up requests so far, by job and kind of confirmation.
pub(super) type FollowUpCounts = HashMap<(String, Confirmation), u32>;

impl World {
    /// Schedules a round of follow-up requests after a confirmation, if that fault is active.
    pub(super) fn schedule_follow_ups(&mut self, id: &str, confirmation: Confirmation) {
        if !self.network.is_active(&ActiveFault::FollowUpRequests) {
            return;
        }
        let rounds = self
            .follow_up_counts
            .entry((id.to_owned(), confirmation))
            .or_default();
        if *rounds >= MAX_FOLLOW_UP_ROUNDS {
            return;
        }
        *rounds += 1;
        let is_first_round = *rounds == 1;
        if is_first_round
            && confirmation == Confirmation::Accepted
            && self.rng.random_bool(CANCEL_AT_ACCEPTANCE_PROBABILITY)
        {
            self.coverage.cancelled_at_acceptance += 1;
            let cancel = ScheduledEvent::CancelJob { id: id.to_owned() };
            let delay_ms = self.rng.random_range(0..3);
            self.schedule(self.now + delay_ms, cancel);
        }
        let style = match self.rng.random_range(0..3) {
            0 => FollowUpStyle::StatusRequests,
            1 => FollowUpStyle::RepeatedRequests,
            _ => FollowUpStyle::Mixed,
        };
        for delay_ms in FOLLOW_UP_DELAYS_MS {
            for controller in 0..CONTROLLERS {
                self.schedule_follow_up(controller, id, confirmation, style, delay_ms);
            }
        }
    }

    /// Schedules a follow-up request that fits the confirmation: a status request, a repeated submission, or a
    /// repeated cancellation of a cancelled job.
    fn schedule_follow_up(
        &mut self,
        controller: usize,
        id: &str,
        confirmation: Confirmation,
        style: FollowUpStyle,
        delay_ms: u64,
    ) {
        let Some(job_id) = JobId::parse(id) else {
            return;
        };
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let repeats = match style {
            FollowUpStyle::StatusRequests => false,
            FollowUpStyle::RepeatedRequests => true,
            FollowUpStyle::Mixed => self.rng.random_bool(0.5),
        };
        let cancels = confirmation == Confirmation::Cancelled && self.rng.random_bool(0.2);
        let request = match (repeats, cancels) {
            (false, _) => UserRequest::Get(job_id),
            (true, true) => UserRequest::Cancel(job_id),
            (true, false) => UserRequest::Submit(Box::new(job)),
        };
        let at = self.now + delay_ms + self.rng.random_range(0..3);
        self.schedule(
            at,
            ScheduledEvent::SendFollowUp {
                controller,
                request,
                id: id.to_owned(),
            },
        );
    }

    /// Sends a follow-up request to one controller, unless users cannot reach it. The request is not retried.
    pub(super) fn send_follow_up(&mut self, controller: usize, request: UserRequest, id: String) {
        if !self
            .network
            .is_active(&ActiveFault::UsersDisconnected(controller))
        {
            self.send_request_to(controller, request, id, MAX_ATTEMPTS);
        }
    }

    /// Schedules a status request or a repeated submission at every controller, within 3 ms of each other.
    pub(super) fn follow_up_everywhere(&mut self, id: &str, delay_ms: u64) {
        for controller in 0..CONTROLLERS {
            self.schedule_follow_up(
                controller,
                id,
                Confirmation::Done,
                FollowUpStyle::Mixed,
                delay_ms,
            );
        }
    }
}
