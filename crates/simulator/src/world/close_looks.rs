//! Users who look closely: after each answer that confirms something about a job they ask every node again,
//! within milliseconds and over parallel connections, and some cancel at once.

use super::*;

/// Pauses between a confirmation and the looks that follow it, in ms.
const PAUSES: [u64; 4] = [0, 3, 15, 80];
/// How often a confirmation of one kind is followed by looks, for each job.
const ROUNDS: u32 = 3;
/// Share of the jobs that are cancelled at the moment of their acceptance.
const CANCELLED_AT_ONCE: f64 = 0.15;

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
enum Style {
    Questions,
    Repeats,
    Both,
}

/// How often each kind of confirmation of a job has been followed by looks.
pub(super) type Looks = HashMap<(String, Confirmation), u32>;

impl World {
    /// Something was confirmed: looks follow if users look closely at present.
    pub(super) fn look_closely(&mut self, id: &str, confirmed: Confirmation) {
        if !self.cuts.contains(&Cut::CloseLooks) {
            return;
        }
        let rounds = self.looks.entry((id.to_owned(), confirmed)).or_default();
        if *rounds >= ROUNDS {
            return;
        }
        *rounds += 1;
        let first = *rounds == 1;
        if first && confirmed == Confirmation::Accepted && self.rng.random_bool(CANCELLED_AT_ONCE) {
            self.met.cancelled_at_acceptance += 1;
            let what = Happening::Cancel { id: id.to_owned() };
            let after = self.rng.random_range(0..3);
            self.at(self.now + after, what);
        }
        let style = match self.rng.random_range(0..3) {
            0 => Style::Questions,
            1 => Style::Repeats,
            _ => Style::Both,
        };
        for pause in PAUSES {
            for node in 0..NODES {
                self.schedule_look(node, id, confirmed, style, pause);
            }
        }
    }

    /// One look of a kind that fits what was confirmed: a question, a repeated submission, a repeated
    /// cancellation.
    fn schedule_look(
        &mut self,
        node: usize,
        id: &str,
        confirmed: Confirmation,
        style: Style,
        pause: u64,
    ) {
        let Some(number) = JobId::parse(id) else {
            return;
        };
        let Some(job) = self.jobs.get(id).cloned() else {
            return;
        };
        let repeats = match style {
            Style::Questions => false,
            Style::Repeats => true,
            Style::Both => self.rng.random_bool(0.5),
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
            Happening::Look {
                node,
                request,
                id: id.to_owned(),
            },
        );
    }

    /// A look at one node, over a connection of its own; it isn't repeated.
    pub(super) fn look(&mut self, node: usize, request: UserRequest, id: String) {
        if !self.cuts.contains(&Cut::Users(node)) {
            self.ask_node(node, request, id, LAST_TRY);
        }
    }

    /// Questions and repeated submissions at every node at the same moment.
    pub(super) fn look_everywhere(&mut self, id: &str, after: u64) {
        for node in 0..NODES {
            self.schedule_look(node, id, Confirmation::Done, Style::Both, after);
        }
    }
}
