//! Users who look closely: after each answer that confirms something about a job they ask every node again,
//! within milliseconds and over parallel connections, and some cancel at once.

use super::*;

/// Pauses between a confirmation and the looks that follow it, in ms.
const FOLLOW_UP_DELAYS_MS: [u64; 4] = [0, 3, 15, 80];
/// How often a confirmation of one kind is followed by looks, for each job.
const MAX_FOLLOW_UP_ROUNDS: u32 = 3;
/// Share of the jobs that are cancelled at the moment of their acceptance.
const CANCEL_AT_ACCEPTANCE_PROBABILITY: f64 = 0.15;

/// What an answer confirms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Confirmation {
    Accepted,
    Done,
    Cancelled,
}

/// What users send in one round of looks. A node that a round asks only questions has not been sent the job, and
/// may still not know it when a later round repeats its submission there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowUpStyle {
    Questions,
    Repeats,
    Both,
}

/// How often each kind of confirmation of a job has been followed by looks.
pub(super) type FollowUpCounts = HashMap<(String, Confirmation), u32>;

impl World {
    /// Something was confirmed: looks follow if users look closely at present.
    pub(super) fn schedule_follow_ups(&mut self, id: &str, confirmed: Confirmation) {
        if !self.active_faults.contains(&ActiveFault::FollowUpRequests) {
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
            self.at(self.now + after, what);
        }
        let style = match self.rng.random_range(0..3) {
            0 => FollowUpStyle::Questions,
            1 => FollowUpStyle::Repeats,
            _ => FollowUpStyle::Both,
        };
        for pause in FOLLOW_UP_DELAYS_MS {
            for node in 0..CONTROLLERS {
                self.schedule_follow_up(node, id, confirmed, style, pause);
            }
        }
    }

    /// One look of a kind that fits what was confirmed: a question, a repeated submission, a repeated
    /// cancellation.
    fn schedule_follow_up(
        &mut self,
        node: usize,
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
        self.at(
            at,
            ScheduledEvent::SendFollowUp {
                node,
                request,
                id: id.to_owned(),
            },
        );
    }

    /// A look at one node, over a connection of its own; it isn't repeated.
    pub(super) fn send_follow_up(&mut self, node: usize, request: UserRequest, id: String) {
        if !self
            .active_faults
            .contains(&ActiveFault::UsersDisconnected(node))
        {
            self.send_request_to(node, request, id, MAX_ATTEMPTS);
        }
    }

    /// Questions and repeated submissions at every node at the same moment.
    pub(super) fn follow_up_everywhere(&mut self, id: &str, after: u64) {
        for node in 0..CONTROLLERS {
            self.schedule_follow_up(node, id, Confirmation::Done, FollowUpStyle::Both, after);
        }
    }
}
