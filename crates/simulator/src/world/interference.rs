//! Messages that come late, twice, on one way only or without an answer.

use super::*;
use wire::workers::Heartbeat;

/// Longest time from a holder's record to a copy that meets its begin, in ms.
const BEGIN: u64 = 400;

/// A machine that is up within this time has booted quickly, and is young for so long, in ms.
const QUICK: u64 = 2_000;
const YOUNG: u64 = 4_000;

/// What is kept, and what is looked out for.
#[derive(Debug, Default)]
pub(super) struct Interference {
    /// Copies of reports that wait for the next holder.
    copies: Vec<Message>,
    /// Reports that are held back until the next holder has acted.
    reports: Vec<Message>,
    /// Transactions whose answers were lost and that no other node has read: their nodes and revisions.
    unread: Vec<(usize, u64)>,
}

impl World {
    /// Draws whether one of so many per cent is meant. Nothing is drawn where there is no such trouble.
    fn meant(&mut self, percent: impl Fn(&Cut) -> Option<u64>) -> bool {
        let percent = self.cuts.iter().find_map(percent);
        percent.is_some_and(|percent| self.rng.random_range(0..100) < percent)
    }

    /// A message on its way, unless it is held up.
    pub(super) fn as_intercepted(&mut self, message: Message) -> Option<Message> {
        let message = self.without_some_launches(message);
        match &message {
            Message::Heartbeat { .. } => {
                let copied = |cut: &Cut| match cut {
                    Cut::KeptCopies(percent) => Some(*percent),
                    _ => None,
                };
                let held = |cut: &Cut| match cut {
                    Cut::HeldReports(percent) => Some(*percent),
                    _ => None,
                };
                if self.meant(copied) {
                    self.interference.copies.push(message.clone());
                }
                if self.meant(held) {
                    self.interference.reports.push(message);
                    return None;
                }
            }
            Message::Direct { .. } => {
                let late = |cut: &Cut| match cut {
                    Cut::LateCommands(percent) => Some(*percent),
                    _ => None,
                };
                if self.meant(late) {
                    let after = self.rng.random_range(2_000..16_000);
                    self.at(self.now + after, Happening::LateCommand(Box::new(message)));
                    return None;
                }
            }
            _ => {}
        }
        Some(message)
    }

    /// A partition has a new holder by its record. What was kept for it comes: copies while it begins, to
    /// every node; held reports once it has acted, there.
    pub(super) fn next_holder_begins(&mut self, machines: &BTreeSet<String>, partition: u32) {
        let holder = self
            .holder(partition)
            .and_then(|name| name.strip_prefix('n')?.parse().ok());
        let Some(holder) = holder else { return };
        for copy in std::mem::take(&mut self.interference.copies) {
            let Message::Heartbeat {
                machine,
                mut report,
                ..
            } = copy
            else {
                continue;
            };
            if self.plan.sabotage == Some(Sabotage::CopiesTrusted) {
                report.seq += 1_000_000;
            }
            self.note_kept(machines, &machine, &report);
            for node in 0..NODES {
                let (machine, report) = (machine.clone(), report.clone());
                // Its answer goes to nobody.
                let message = Message::Heartbeat {
                    node,
                    machine,
                    number: 0,
                    report,
                };
                let after = self.rng.random_range(1..BEGIN);
                self.at(self.now + after, Happening::Copy(Box::new(message)));
            }
        }
        for held in std::mem::take(&mut self.interference.reports) {
            let Message::Heartbeat {
                machine,
                number,
                mut report,
                ..
            } = held
            else {
                continue;
            };
            if self.plan.sabotage == Some(Sabotage::CopiesTrusted) {
                report.seq += 1_000_000;
            }
            let message = Message::Heartbeat {
                node: holder,
                machine,
                number,
                report,
            };
            let after = self.rng.random_range(1_000..6_000);
            self.at(self.now + after, Happening::HeldReport(Box::new(message)));
        }
    }

    /// Whether a kept copy is an old one of a machine whose holder begins.
    fn note_kept(&mut self, machines: &BTreeSet<String>, machine: &str, report: &Heartbeat) {
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        if machines.contains(machine) && worker.has_said_more(report) {
            self.met.old_at_begin += 1;
            self.met.old_sessions_at_begin += u64::from(report.session < worker.session);
        }
    }

    pub(super) fn held_report(&mut self, message: Message) {
        self.met.held_reports += 1;
        self.deliver(message);
    }

    /// A direct command comes late, and nobody hears of it.
    pub(super) fn late_command(&mut self, message: Message) {
        let Message::Direct {
            node,
            life,
            machine,
            body,
            ..
        } = &message
        else {
            return;
        };
        let (now, lease) = (self.now, self.terms.lease);
        if self.is_cut(Place::Controller(*node), self.machine(machine)) {
            self.at(now + 1_000, Happening::LateCommand(Box::new(message)));
            return;
        }
        let ended = !self.live(*node, *life);
        let Some(worker) = self.workers.get_mut(machine).filter(|w| !w.dead) else {
            return;
        };
        worker.check_lease(now, lease);
        let deposed = worker.token > body.token;
        let (token, session) = match self.plan.sabotage {
            Some(Sabotage::LateCommandsTrusted) => (worker.token, worker.session),
            _ => (body.token, body.session),
        };
        let executed = worker.direct(token, session, &body.commands, now, &self.jobs);
        if executed {
            self.takeovers
                .told(machine, token, starts(&body.commands), now);
            self.note_launch(machine, &body.commands);
        }
        if body.commands.is_empty() {
            return;
        }
        self.met.late_commands += u64::from(executed);
        self.met.late_commands_void += u64::from(!executed);
        self.met.late_commands_of_the_dead += u64::from(ended);
        self.met.late_commands_of_the_deposed += u64::from(deposed);
    }

    /// Whether a machine's connections to controllers fail.
    pub(super) fn is_mute(&mut self, machine: &str) -> bool {
        let mute = self
            .cuts
            .iter()
            .any(|cut| matches!(cut, Cut::Mute(name) if name == machine));
        self.met.mute += u64::from(mute);
        mute
    }

    /// Something comes straight to a machine.
    pub(super) fn note_told(&mut self, machine: &str) {
        let mute = self
            .cuts
            .iter()
            .any(|cut| matches!(cut, Cut::Mute(name) if name == machine));
        self.met.mute_and_told += u64::from(mute);
    }

    /// A machine was given something to start, perhaps one that has come up quickly a moment ago, while
    /// writes come late.
    pub(super) fn note_launch(&mut self, machine: &str, commands: &[Command]) {
        let lag = self
            .cuts
            .iter()
            .any(|cut| matches!(cut, Cut::LateWrites(_)));
        let Some(rented) = self.cloud.machines.get(machine).filter(|_| lag) else {
            return;
        };
        let quick = |up: u64| up < rented.rented_at + QUICK && self.now < up + YOUNG;
        let young = starts(commands) && rented.up_at.is_some_and(quick);
        self.met.young_launches += u64::from(young);
    }

    /// Whether what one node tells another is lost.
    pub(super) fn is_lost_between_nodes(&mut self, from: Place, to: Place) -> bool {
        let (Place::Controller(from), Place::Controller(to)) = (from, to) else {
            return false;
        };
        let lost = self.cuts.contains(&Cut::OneWay(from, to));
        self.met.lost_on_one_way += u64::from(lost);
        lost
    }

    /// Has a copy of what a node is told come again, if there are such at present.
    pub(super) fn copy_mesh(&mut self, to: usize, event: &Event) {
        let copied = |cut: &Cut| match cut {
            Cut::MeshCopies(percent) => Some(*percent),
            _ => None,
        };
        if !self.meant(copied) {
            return;
        }
        let mut event = event.clone();
        let trusted = self.plan.sabotage == Some(Sabotage::MeshCopiesTrusted);
        if let (
            true,
            Event::Mesh {
                message: MeshMessage::Heartbeat { revision, .. },
                ..
            },
        ) = (trusted, &mut event)
        {
            *revision = u64::MAX;
        }
        let after = self.rng.random_range(1_000..3 * self.terms.lease);
        self.at(self.now + after, Happening::MeshCopy { to, event });
    }

    /// How many times slower a link is than usual.
    pub(super) fn slowness(&self, from: Place, to: Place) -> u64 {
        let linked = |place| matches!(place, Place::Controller(_) | Place::Machine(_));
        let slow = self.cuts.iter().find_map(|cut| match cut {
            Cut::SlowLinks(times) => Some(*times),
            _ => None,
        });
        slow.filter(|_| linked(from) && linked(to)).unwrap_or(1)
    }

    /// Whether a request is a transaction whose answer will be lost.
    pub(super) fn loses_answer(&mut self, request: &StateRequest) -> bool {
        let lost = |cut: &Cut| match cut {
            Cut::LostAnswers(percent) => Some(*percent),
            _ => None,
        };
        matches!(request, StateRequest::Transaction(_)) && self.meant(lost)
    }

    /// The answer to a transaction that was carried out is lost.
    pub(super) fn note_lost_answer(&mut self, node: usize, reply: &StateReply) {
        if let StateReply::Committed { revision } = reply {
            self.met.lost_answers += 1;
            self.interference.unread.push((node, *revision));
        }
    }

    /// A node reads changes, perhaps those of a transaction whose own node knows nothing of it.
    pub(super) fn note_read(&mut self, reader: usize, reply: &StateReply) {
        let StateReply::Changes(changes) = reply else {
            return;
        };
        let met = &mut self.met;
        self.interference.unread.retain(|(writer, revision)| {
            let read = *writer != reader && changes.events.iter().any(|c| c.version == *revision);
            met.lost_and_read += u64::from(read);
            !read
        });
    }
}
