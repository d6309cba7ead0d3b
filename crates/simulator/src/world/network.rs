//! The network: who reaches whom, delays, and messages that a cut holds back.

use super::*;

impl World {
    pub(super) fn machine(&self, name: &str) -> Place {
        Place::Machine(
            name.rsplit('-')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0),
        )
    }

    pub(super) fn zone_of(&self, place: Place) -> Option<String> {
        match place {
            Place::Controller(1) => Some("b".into()),
            Place::Controller(_) => Some("a".into()),
            Place::Machine(n) => self
                .cloud
                .machines
                .get(&format!("host-{n:06}"))
                .map(|m| m.zone.clone()),
            _ => None,
        }
    }

    pub(super) fn is_cut(&self, from: Place, to: Place) -> bool {
        let between = |a: Place, b: Place| (from, to) == (a, b) || (from, to) == (b, a);
        let node_machine = |n: usize| {
            matches!((from, to), (Place::Controller(x), Place::Machine(_))
                | (Place::Machine(_), Place::Controller(x)) if x == n)
        };
        self.cuts.iter().any(|cut| match cut {
            Cut::State(n) => between(Place::Controller(*n), Place::State),
            Cut::Workers(n) => node_machine(*n),
            Cut::Mesh(n) => matches!((from, to), (Place::Controller(a), Place::Controller(b))
                if (a == *n) != (b == *n)),
            Cut::Zones => match (self.zone_of(from), self.zone_of(to)) {
                (Some(a), Some(b)) => a != b,
                _ => false,
            },
            Cut::Machine(name) => {
                let place = self.machine(name);
                from == place || to == place
            }
            Cut::Zone => {
                let inside = |place| self.zone_of(place).is_some_and(|zone| zone == "b");
                inside(from) != inside(to)
            }
            // What is lost on one way is not held back.
            Cut::Unreached(_) | Cut::UnreachedZone | Cut::Copies => false,
            Cut::Refuse(_) | Cut::Cloud | Cut::Users(_) | Cut::Slow(_) => false,
            Cut::Boots | Cut::Mistakes | Cut::Questions | Cut::Heavy => false,
            Cut::LateWrites(_) | Cut::Long(_) => false,
            Cut::Mute(_) | Cut::LostAnswers(_) | Cut::KeptCopies(_) | Cut::HeldReports(_) => false,
            Cut::LateCommands(_) | Cut::OneWay(..) | Cut::MeshCopies(_) | Cut::SlowLinks(_) => {
                false
            }
            Cut::CloseLooks | Cut::CancelAtEnd(_) | Cut::OddRequests | Cut::OneTaskJobs => false,
        })
    }

    /// Whether a message is lost on its way to a machine.
    fn is_lost(&self, from: Place, to: Place) -> bool {
        let (Place::Controller(_), Place::Machine(_)) = (from, to) else {
            return false;
        };
        self.cuts.iter().any(|cut| match cut {
            Cut::Unreached(name) => self.machine(name) == to,
            Cut::UnreachedZone => self.zone_of(to).is_some_and(|zone| zone == "b"),
            _ => false,
        })
    }

    /// Has copies of a message come later, if there are such at present.
    fn copy(&mut self, message: &Message) {
        let copied = match message {
            Message::Heartbeat { .. } | Message::Direct { .. } => true,
            Message::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Message::Cloud { request, .. } => !matches!(request, CloudRequest::List { .. }),
            _ => false,
        };
        if !copied || !self.cuts.contains(&Cut::Copies) || !self.rng.random_bool(0.3) {
            return;
        }
        for _ in 0..self.rng.random_range(1..4) {
            let mut copy = message.clone();
            if let Message::Heartbeat {
                node,
                number,
                report,
                ..
            } = &mut copy
            {
                // Its answer goes to nobody.
                (*node, *number) = (self.rng.random_range(0..NODES), 0);
                if self.plan.sabotage == Some(Sabotage::CopiesTrusted) {
                    report.seq += 1_000_000;
                }
            }
            let after = self.rng.random_range(1_000..3 * self.terms.lease);
            self.at(self.now + after, Happening::Copy(Box::new(copy)));
        }
    }

    /// Whether a copy of a report is older than what its machine has said since.
    pub(super) fn note_copy(&mut self, message: &Message) {
        let Message::Heartbeat {
            machine, report, ..
        } = message
        else {
            return;
        };
        let Some(worker) = self.workers.get(machine).filter(|w| !w.dead) else {
            return;
        };
        self.met.old_reports += u64::from(worker.has_said_more(report));
        self.met.old_sessions += u64::from(report.session < worker.session);
    }

    /// Sends a message; a cut holds it back until it heals.
    pub(super) fn send(&mut self, from: Place, to: Place, message: Message) {
        self.copy(&message);
        if self.is_lost_between_nodes(from, to) {
            return;
        }
        let Some(message) = self.as_intercepted(message) else {
            return;
        };
        if self.is_lost(from, to) {
            self.met.unheard += 1;
            return;
        }
        if self.is_cut(from, to) {
            self.held.push((from, to, message));
            return;
        }
        let mut delay = self.rng.random_range(1..6) * self.slowness(from, to);
        if self.rng.random_bool(0.004) {
            delay += self.rng.random_range(50..600);
        }
        let slow = self.cuts.iter().find_map(|cut| match cut {
            Cut::Slow(times) => Some(*times),
            _ => None,
        });
        if let (Some(times), true) = (slow, from == Place::State || to == Place::State) {
            delay *= times;
        }
        self.at(self.now + delay, Happening::Deliver(Box::new(message)));
    }

    pub(super) fn send_mesh(&mut self, node: usize, other: usize, message: MeshMessage) {
        let Some(life) = self.nodes[other].as_ref().map(|r| r.life) else {
            return;
        };
        let Some(message) = self.as_sabotaged(message) else {
            return;
        };
        let event = Event::Mesh {
            from: ControllerName::from(format!("n{node}").as_str()),
            message,
        };
        self.copy_mesh(other, &event);
        let message = Message::Controller {
            node: other,
            life,
            event,
        };
        self.send(Place::Controller(node), Place::Controller(other), message);
    }

    pub(super) fn time_out(
        &mut self,
        after: u64,
        node: usize,
        life: u64,
        call: CallId,
        event: Event,
    ) {
        let what = Happening::Timeout {
            node,
            life,
            call,
            event: Box::new(event),
        };
        self.at(self.now + after, what);
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::State {
                node,
                life,
                call,
                request,
            } => {
                self.state_request(node, life, call, request);
            }
            Message::Cloud {
                node,
                life,
                call,
                request,
            } => {
                let reply = if self.cuts.contains(&Cut::Cloud) {
                    CloudReply::Refused
                } else {
                    let (reply, gone) = self.cloud.execute(self.now, &request, &mut self.rng);
                    for name in gone {
                        let lives = self.workers.get(&name).is_some_and(|w| !w.dead);
                        self.released_alive += u64::from(lives);
                        self.end_machine(&name);
                    }
                    reply
                };
                // Now and then the answer is lost.
                if !self.rng.random_bool(0.02) {
                    let event = Event::Cloud { call, reply };
                    let message = Message::Controller { node, life, event };
                    self.send(Place::Cloud, Place::Controller(node), message);
                }
            }
            Message::Controller { node, life, event } => self.node_event(node, life, event),
            Message::Heartbeat {
                node,
                machine,
                number,
                report,
            } => {
                let Some(life) = self.nodes[node].as_ref().map(|r| r.life) else {
                    return;
                };
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.report_tickets
                    .insert((node, life, ticket), (machine, number));
                self.feed(node, Event::Heartbeat { ticket, report });
            }
            Message::HeartbeatResponse {
                machine,
                number,
                node,
                reply,
            } => {
                self.report_answer(&machine, number, node, reply);
            }
            Message::Direct {
                node,
                life,
                call,
                machine,
                body,
            } => {
                let now = self.now;
                let from = self.machine(&machine);
                self.note_told(&machine);
                let Some(worker) = self.workers.get_mut(&machine) else {
                    return;
                };
                if worker.dead {
                    return;
                }
                worker.check_lease(now, self.terms.lease);
                if self.plan.sabotage == Some(Sabotage::DirectKeepsLease) {
                    worker.renew_unasked(now);
                }
                let executed =
                    worker.direct(body.token, body.session, &body.commands, now, &self.jobs);
                let report = Box::new(worker.report());
                if executed {
                    self.takeovers
                        .told(&machine, body.token, starts(&body.commands), now);
                    self.note_launch(&machine, &body.commands);
                }
                let event = Event::Worker {
                    call,
                    reply: DirectReply::Answered(report),
                };
                self.send(
                    from,
                    Place::Controller(node),
                    Message::Controller { node, life, event },
                );
            }
        }
    }

    pub(super) fn node_event(&mut self, node: usize, life: u64, event: Event) {
        let call = match &event {
            Event::State { call, .. } | Event::Cloud { call, .. } | Event::Worker { call, .. } => {
                Some(*call)
            }
            _ => None,
        };
        if !self.live(node, life) {
            return;
        }
        if call.is_none_or(|call| self.pending.remove(&(node, life, call))) {
            self.feed(node, event);
        }
    }
}
