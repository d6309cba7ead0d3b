//! The world: a queue of events in simulated time, a network, and real [`Node`]s.

use crate::cloud::{Boots, Cloud};
use crate::rules::Rules;
use crate::served::{Served, Share};
use crate::state::StateService;
use crate::takeovers::Takeovers;
use crate::worker::{Happened, Worker, MISTAKEN};
use coordination::node::DirectReply;
use coordination::{Effect, Event, Node, ReportReply, UserReply, UserRequest};
use model::{CallId, JobId, Moment, NodeName, Settings};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::{Hint, MeshMessage};
use wire::state::{StateReply, StateRequest, Txn, Write};
use wire::users::{JobKind, JobRequest, JobState, Priority};
use wire::workers::{Command, DirectCommands, ExitCause, Report, TaskState};

/// A trouble at a time.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Ends a node without a word; it is back after `back` ms.
    Crash { node: usize, back: u64 },
    /// Cuts a node from the state service.
    CutState { node: usize, ms: u64 },
    /// The state service refuses one node, or all.
    Refuse { node: Option<usize>, ms: u64 },
    /// Cuts a node from workers.
    CutWorkers { node: usize, ms: u64 },
    /// Cuts a node from the other nodes.
    CutMesh { node: usize, ms: u64 },
    /// Cuts two zones from each other.
    CutZones { ms: u64 },
    /// A machine loses the network.
    CutMachine { nth: usize, ms: u64 },
    /// A machine hangs.
    Hang { nth: usize, ms: u64 },
    /// A machine ends.
    Kill { nth: usize },
    /// A machine fails every task.
    Sick { nth: usize },
    /// The cloud's interface is down.
    CloudOutage { ms: u64 },
    /// A node stands still while its clock runs on: what it has decided last is sent afterwards,
    /// and all that has come meanwhile is there at once.
    Freeze { node: usize, ms: u64 },
    /// A node loses the network altogether; users' connections to it as well.
    Isolate { node: usize, ms: u64 },
    /// Machines come up early, late or never.
    Boots { how: Boots, ms: u64 },
    /// Many jobs are submitted with a mistake, and cancelled much later.
    Mistakes { ms: u64 },
    /// Users ask many times as often.
    Questions { ms: u64 },
    /// A team without guarantee and limit submits so many arrays of low priority.
    Guests { jobs: u64 },
    /// So many jobs come at once.
    Burst { jobs: usize },
    /// So many machines end at once.
    KillMany { count: usize },
    /// So many hang at once.
    HangMany { count: usize, ms: u64 },
    /// So many fail every task from one moment on.
    SickMany { count: usize },
    /// Zone b, its node and machines, is cut off from everything.
    CutZone { ms: u64 },
    /// The state service answers so many times slower.
    SlowState { times: u64, ms: u64 },
    /// Ends a node as it is about to do the nth thing that others would see: a write, an order, a
    /// rental, a message, an answer. It is back after 6 s.
    CrashAt { node: usize, nth: u64 },
    /// Garbage stands on a ledger page of a partition for a time.
    SpoilPage { partition: u32, ms: u64 },
}

/// A safety step that is deliberately broken, to show that the checker would tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    /// Rounds are reported as written but are not.
    RoundsNotWritten,
    /// Conditions on the partition are ignored.
    NoFencing,
    /// Controllers believe in leases much shorter than the workers'.
    ShortLease,
    /// Controllers believe that cancelling may take minutes.
    LongCancel,
    /// Workers take answers that bear an old token.
    TokensIgnored,
    /// The ends of jobs are told to whoever watches but are not kept.
    EndsNotWritten,
    /// The ledger is often read as it was some seconds before.
    OldLedger,
    /// Nobody records who held a partition before and may still answer its workers.
    PredecessorsForgotten,
    /// Controllers tell their followers falsehoods: addresses and sessions of other machines, machines
    /// that are gone, failures that never were.
    HintsLie,
    /// Parts of what followers are told are lost, held back or say less than they claim.
    HintsLost,
}

/// What a run consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub ms: u64,
    pub faults: Vec<(u64, Fault)>,
    pub sabotage: Option<Sabotage>,
    /// Users stop submitting after this time.
    pub submit_ms: u64,
    /// How many times the smallest site this one is: teams, machines and jobs.
    pub size: u64,
}

#[derive(Debug, Clone)]
enum Message {
    State { node: usize, life: u64, call: CallId, request: StateRequest },
    Cloud { node: usize, life: u64, call: CallId, request: CloudRequest },
    Node { node: usize, life: u64, event: Event },
    Report { node: usize, machine: String, number: u64, report: Box<Report> },
    ReportAnswer { machine: String, number: u64, node: usize, reply: ReportReply },
    Direct { node: usize, life: u64, call: CallId, machine: String, body: DirectCommands },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Place {
    Node(usize),
    State,
    Cloud,
    Machine(u64),
}

#[derive(Debug)]
enum Happening {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver(Box<Message>),
    Timeout {
        node: usize,
        life: u64,
        call: CallId,
        event: Box<Event>,
    },
    WatchEnds {
        node: usize,
        life: u64,
        call: CallId,
    },
    Workers,
    Submit,
    Poll {
        id: String,
    },
    Cancel {
        id: String,
    },
    Boot {
        node: usize,
    },
    Fault(Fault),
    Heal(Cut),
    Flush,
    Thaw {
        node: usize,
        life: u64,
    },
    /// What stood under a key stands there again.
    Mend {
        key: String,
        value: serde_json::Value,
    },
    Ask {
        request: UserRequest,
        id: String,
        tries: u32,
    },
}

#[derive(Debug, Clone, PartialEq)]
enum Cut {
    State(usize),
    Refuse(Option<usize>),
    Workers(usize),
    Mesh(usize),
    Zones,
    Machine(String),
    Cloud,
    Users(usize),
    Boots,
    Mistakes,
    Questions,
    Zone,
    Slow(u64),
}

struct Running {
    node: Node,
    life: u64,
    since: u64,
    rate: f64,
    ticking: u64,
    frozen: Option<Frozen>,
}

/// What waits while a node stands still.
#[derive(Default)]
struct Frozen {
    /// Decided, not sent.
    decided: Vec<Effect>,
    handled: bool,
    waiting: Vec<Event>,
}

struct Queued {
    at: u64,
    order: u64,
    what: Happening,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A gang's task: its machine, its name, its state and when it completes.
type Member = (String, String, TaskState, Option<u64>);

const NODES: usize = 3;
/// Puts and deletes a second that the state service takes, by the size of the site.
const SMALL_WRITES: f64 = 40.0;
const GROWN_WRITES: f64 = 20.0;
const FLEET_WRITES: f64 = 70.0;
/// From this size on a site has a fleet's allowances and times.
const FLEET: u64 = 100;

/// Times of the workers, in ms, and what the state service takes a second.
#[derive(Debug, Clone, Copy)]
struct Terms {
    report: u64,
    lease: u64,
    cancel: u64,
    rps: f64,
    write_rps: f64,
    /// Time between two looks at the workers.
    step: u64,
    /// How many times the shortest site's an array task's run is.
    longer: u64,
    /// Up to how many times as often jobs come, and as large arrays are.
    often: u64,
    large: u64,
}

impl Terms {
    fn of(size: u64) -> Self {
        let small = Terms {
            report: 2_000,
            lease: 10_000,
            cancel: 30_000,
            rps: 400.0,
            write_rps: SMALL_WRITES,
            step: 50,
            longer: 1,
            often: 4,
            large: 8,
        };
        match size {
            0..=1 => small,
            // A grown site is allowed no more than a small one.
            2..FLEET => Terms { write_rps: GROWN_WRITES, ..small },
            _ => Terms {
                report: 5_000,
                lease: 26_500,
                cancel: 56_500,
                rps: 700.0,
                write_rps: FLEET_WRITES,
                step: 200,
                longer: 4,
                often: 8,
                large: 16,
            },
        }
    }
}

/// The world.
pub struct World {
    plan: Plan,
    terms: Terms,
    rng: SmallRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    nodes: Vec<Option<Running>>,
    lives: u64,
    state: StateService,
    /// As it was some seconds ago, for those who are to read what is old.
    older: StateService,
    watches: Vec<(usize, u64, CallId, String, u64)>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    cuts: Vec<Cut>,
    held: Vec<(Place, Place, Message)>,
    pending: HashSet<(usize, u64, CallId)>,
    tickets: HashMap<(usize, u64, u64), Asked>,
    report_tickets: HashMap<(usize, u64, u64), (String, u64)>,
    next_ticket: u64,
    jobs: HashMap<String, JobRequest>,
    next_job: u64,
    limits: BTreeMap<String, f64>,
    settled: BTreeSet<String>,
    submitted: HashMap<String, u64>,
    /// Requests that the state service has had, and answers that turned a user away.
    pub requests: u64,
    pub turned_away: u64,
    /// How long users waited for each acceptance.
    pub accept_ms: Vec<u64>,
    pub rules: Rules,
    pub takeovers: Takeovers,
    served: Served,
    /// Nodes that end as they are about to do something: what they have done so far, and at which
    /// deed they end.
    ends_at: HashMap<usize, (u64, u64)>,
    /// Machines that lived when the controllers gave them back.
    pub released_alive: u64,
    /// Early takeovers, and those of them whose holders lived, of nodes that have ended.
    early: (u64, u64),
}

#[derive(Debug, Clone)]
struct Asked {
    request: UserRequest,
    id: String,
    tries: u32,
    asked: u64,
}

fn settings(node: usize, sabotage: Option<Sabotage>, size: u64) -> String {
    let zone = |n: usize| if n == 1 { "b" } else { "a" };
    let peers: String = (0..NODES)
        .filter(|n| *n != node)
        .map(|n| {
            format!(
                "[[peers]]\nmember = \"n{n}\"\nzone = \"{}\"\nendpoint = \"10.0.0.{n}:81\"\n",
                zone(n)
            )
        })
        .collect();
    let teams: String = (0..6)
        .map(|t| {
            let (cpus, most) = (4 * size, 6 * size);
            format!("[[settings.teams]]\nname = \"t{t}\"\ncpus = {cpus}.0\ncpus_max = {most}.0\n")
        })
        .chain(["[[settings.teams]]\nname = \"guest\"\ncpus = 0.0\ncpus_max = 0.0\n".to_owned()])
        .collect();
    let Terms { report, lease, cancel, rps, write_rps, .. } = Terms::of(size);
    let value_kb = if size > 1 { 4 } else { 1 };
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    let report = seconds(report);
    let lease = if sabotage == Some(Sabotage::ShortLease) { 1.0 } else { seconds(lease) };
    let cancel = if sabotage == Some(Sabotage::LongCancel) { 300.0 } else { seconds(cancel) };
    format!(
        "member = \"n{node}\"\nzone = \"{}\"\nserve_on = \"10.0.0.{node}:80\"\n\
         mesh_addr = \"10.0.0.{node}:81\"\n{peers}\n\
         [endpoints]\ncloud = \"10.1.0.1:1\"\nstate = \"10.1.0.2:1\"\n\
         {teams}\n[settings.workers]\nreport_s = {report:.1}\nlease_s = {lease:.1}\n\
         gang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = {cancel:.1}\n\
         [settings.state]\nrps = {rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = {value_kb}.0\ntxn_ops = 6\n\
         [settings.cloud]\nrps = 10.0\nlist_lag_s = 6.0\n",
        zone(node)
    )
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(plan: Plan) -> Self {
        let terms = Terms::of(plan.size);
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            nodes: (0..NODES).map(|_| None).collect(),
            lives: 0,
            state: StateService::new(terms.write_rps),
            older: StateService::new(terms.write_rps),
            watches: Vec::new(),
            cloud: Cloud::new(&["a", "b"], 5 * plan.size as u32, 2 * plan.size as u32),
            workers: BTreeMap::new(),
            cuts: Vec::new(),
            held: Vec::new(),
            pending: HashSet::new(),
            tickets: HashMap::new(),
            report_tickets: HashMap::new(),
            next_ticket: 0,
            jobs: HashMap::new(),
            next_job: 0,
            limits: (0..6).map(|t| (format!("t{t}"), 6.0 * plan.size as f64)).collect(),
            settled: BTreeSet::new(),
            submitted: HashMap::new(),
            requests: 0,
            turned_away: 0,
            accept_ms: Vec::new(),
            rules: Rules::new(terms.cancel),
            takeovers: Takeovers::default(),
            served: Served::default(),
            ends_at: HashMap::new(),
            released_alive: 0,
            early: (0, 0),
            terms,
            plan,
        };
        for node in 0..NODES {
            world.at(0, Happening::Boot { node });
        }
        world.at(0, Happening::Workers);
        world.at(1_500, Happening::Submit);
        for (at, fault) in world.plan.faults.clone() {
            world.at(at, Happening::Fault(fault));
        }
        world
    }

    /// Runs to the end, or to the first broken rule.
    pub fn run(&mut self) {
        self.run_to(self.plan.ms);
    }

    /// Puts and deletes that the state service has taken, and those it has refused for want of
    /// budget.
    pub fn writes(&self) -> (u64, u64) {
        (self.state.taken, self.state.refused)
    }

    /// Machines recorded for a partition.
    pub fn machines_of(&self, partition: u32) -> usize {
        self.records().filter(|m| m.get(4).is_some_and(|p| *p == partition)).count()
    }

    /// Takeovers of partitions whose records stood, and those of them whose holders lived.
    pub fn early_takeovers(&self) -> (u64, u64) {
        let counts =
            |r: &Running| (r.node.counters.early_takeovers, r.node.counters.wrong_takeovers);
        let living = self.nodes.iter().flatten().map(counts);
        living.fold(self.early, |sum, n| (sum.0 + n.0, sum.1 + n.1))
    }

    /// All records of machines.
    fn records(&self) -> impl Iterator<Item = &serde_json::Value> {
        let page = |n: u32| self.state.value(&format!("s/m/{n:04}"));
        (0..).map_while(page).filter_map(|p| p.get("machines")?.as_array()).flatten()
    }

    /// Machines that ended with tasks on them, and are recorded and not given up yet.
    pub fn recorded_dead(&self) -> usize {
        let kept = self.records().filter(|m| m.get(6).is_some_and(|leaving| *leaving == false));
        let names = kept.filter_map(|m| m.get(0)?.as_str());
        names.filter(|name| self.workers.get(*name).is_some_and(|w| w.ended_busy)).count()
    }

    /// How much of what is due has been served, by kind of work and by team. What came within the last
    /// `patience` ms need not be done.
    pub fn served(&self, patience: u64) -> Vec<Share> {
        let Rules { accepted, cancel_asked, done_told, .. } = &self.rules;
        let until = self.now.saturating_sub(patience);
        self.served.shares(&self.jobs, accepted, cancel_asked, done_told, until)
    }

    /// Names of the machines recorded for a partition that live.
    fn living_of(&self, partition: u32) -> BTreeSet<String> {
        let ours = self.records().filter(|m| m.get(4).is_some_and(|p| *p == partition));
        let names = ours.filter_map(|m| m.get(0)?.as_str());
        let lives = |name: &&str| self.workers.get(*name).is_some_and(|w| !w.dead);
        names.filter(lives).map(str::to_owned).collect()
    }

    /// A holder ends or stands still: its partitions are to be taken over.
    fn holder_stops(&mut self, node: usize) {
        let name = format!("n{node}");
        for partition in 0..NODES as u32 {
            if self.holder(partition) == Some(&name) {
                self.takeovers.ended(partition, &name, self.now);
            }
        }
    }

    /// Machines that are up.
    pub fn machines_up(&self) -> usize {
        self.workers.values().filter(|w| !w.dead).count()
    }

    /// The node that holds a partition by its record.
    pub fn holder(&self, partition: u32) -> Option<&str> {
        self.state.value(&format!("s/p/{partition}"))?.get("holder")?.as_str()
    }

    /// Runs to a time, or to the first broken rule.
    pub fn run_to(&mut self, ms: u64) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > ms || !self.rules.broken.is_empty() {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            // Where there is much to look at, it is looked at every time the workers move; every
            // start is checked anyway.
            let look = self.plan.size == 1 || matches!(next.what, Happening::Workers);
            self.happen(next.what);
            if !look {
                continue;
            }
            self.rules.check(&self.workers, &self.jobs, &self.limits, self.now);
        }
    }

    /// Prints where a job's tasks are, for the eyes of whoever looks into a run.
    pub fn dump(&self, id: &str) {
        for worker in self.workers.values() {
            for ((task, attempt), held) in &worker.tasks {
                if task.starts_with(id) {
                    println!("{} dead={} {task} try {attempt} {held:?}", worker.name, worker.dead);
                }
            }
        }
        for running in self.nodes.iter().flatten() {
            println!("{}", running.node.explain(id));
        }
    }

    /// A job as it was submitted.
    pub fn job(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// Tasks that workers have killed since their lease had run out.
    pub fn killed_by_lease(&self) -> u64 {
        self.workers.values().map(|w| w.lapsed_tasks).sum()
    }

    /// Jobs that were accepted and are neither done nor cancelled by now.
    pub fn unfinished(&self) -> Vec<String> {
        self.rules
            .accepted
            .keys()
            .filter(|id| {
                !self.rules.done_told.contains_key(*id)
                    && !self.rules.cancelled_told.contains_key(*id)
            })
            .cloned()
            .collect()
    }

    fn at(&mut self, at: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Queued { at: at.max(self.now), order: self.order, what }));
    }

    fn machine(&self, name: &str) -> Place {
        Place::Machine(name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0))
    }

    fn zone_of(&self, place: Place) -> Option<String> {
        match place {
            Place::Node(1) => Some("b".into()),
            Place::Node(_) => Some("a".into()),
            Place::Machine(n) => {
                self.cloud.machines.get(&format!("host-{n:06}")).map(|m| m.zone.clone())
            }
            _ => None,
        }
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        let between = |a: Place, b: Place| (from, to) == (a, b) || (from, to) == (b, a);
        let node_machine = |n: usize| {
            matches!((from, to), (Place::Node(x), Place::Machine(_))
                | (Place::Machine(_), Place::Node(x)) if x == n)
        };
        self.cuts.iter().any(|cut| match cut {
            Cut::State(n) => between(Place::Node(*n), Place::State),
            Cut::Workers(n) => node_machine(*n),
            Cut::Mesh(n) => matches!((from, to), (Place::Node(a), Place::Node(b))
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
            Cut::Refuse(_) | Cut::Cloud | Cut::Users(_) | Cut::Slow(_) => false,
            Cut::Boots | Cut::Mistakes | Cut::Questions => false,
        })
    }

    /// Sends a message; a cut holds it back until it heals.
    fn send(&mut self, from: Place, to: Place, message: Message) {
        if self.is_cut(from, to) {
            self.held.push((from, to, message));
            return;
        }
        let mut delay = self.rng.random_range(1..6);
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

    fn live(&self, node: usize, life: u64) -> bool {
        self.nodes[node].as_ref().is_some_and(|r| r.life == life)
    }

    fn feed(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.nodes[node].as_mut() else { return };
        if let Some(frozen) = running.frozen.as_mut().filter(|frozen| frozen.handled) {
            frozen.waiting.push(event);
            return;
        }
        let local = Moment(((now - running.since) as f64 * running.rate) as u64);
        let effects = running.node.handle(local, event);
        let life = running.life;
        if let Some(frozen) = running.frozen.as_mut() {
            frozen.handled = true;
            frozen.decided = effects;
            return;
        }
        let next = running.node.next_tick();
        let at = running.since + (next.0 as f64 / running.rate).ceil() as u64;
        if running.ticking <= now || at < running.ticking {
            running.ticking = at.max(now + 1);
            let at = running.ticking;
            self.at(at, Happening::Tick { node, life });
        }
        for effect in effects {
            if self.ends_here(node, &effect) {
                return;
            }
            self.carry_out(node, life, effect);
        }
    }

    /// Ends a node that has come to the deed at which it is to end.
    fn ends_here(&mut self, node: usize, effect: &Effect) -> bool {
        let Some((done, last)) = self.ends_at.get_mut(&node) else { return false };
        let changes = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Txn(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::List { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Alive { .. }),
            Effect::User { .. } => true,
            Effect::Report { .. } | Effect::Admin { .. } => false,
        };
        *done += u64::from(changes);
        if !changes || done < last {
            return false;
        }
        self.ends_at.remove(&node);
        self.fault(Fault::Crash { node, back: 6_000 });
        true
    }

    fn carry_out(&mut self, node: usize, life: u64, effect: Effect) {
        match effect {
            Effect::State { call, request, timeout } => {
                self.pending.insert((node, life, call));
                let event = Event::State { call, reply: StateReply::Unknown };
                self.time_out(timeout.0, node, life, call, event);
                let message = Message::State { node, life, call, request };
                self.send(Place::Node(node), Place::State, message);
            }
            Effect::Cloud { call, request } => {
                self.pending.insert((node, life, call));
                let event = Event::Cloud { call, reply: CloudReply::Unknown };
                self.time_out(4_000, node, life, call, event);
                let message = Message::Cloud { node, life, call, request };
                self.send(Place::Node(node), Place::Cloud, message);
            }
            Effect::Worker { call, address, body, timeout } => {
                self.pending.insert((node, life, call));
                let event = Event::Worker { call, reply: DirectReply::Unknown };
                self.time_out(timeout.0, node, life, call, event);
                let machine = address.trim_end_matches(":9000").to_owned();
                let to = self.machine(&machine);
                let message = Message::Direct { node, life, call, machine, body };
                self.send(Place::Node(node), to, message);
            }
            Effect::Mesh { to, message } => {
                let Some(other) = to.as_str().trim_start_matches('n').parse::<usize>().ok() else {
                    return;
                };
                self.send_mesh(node, other, message);
            }
            Effect::Admin { .. } => {}
            Effect::User { ticket, reply } => {
                if let Some(asked) = self.tickets.remove(&(node, life, ticket)) {
                    self.user_answer(asked, reply);
                }
            }
            Effect::Report { ticket, reply } => {
                if let Some((machine, number)) = self.report_tickets.remove(&(node, life, ticket)) {
                    let to = self.machine(&machine);
                    let message = Message::ReportAnswer { machine, number, node, reply };
                    self.send(Place::Node(node), to, message);
                }
            }
        }
    }

    fn send_mesh(&mut self, node: usize, other: usize, message: MeshMessage) {
        let Some(life) = self.nodes[other].as_ref().map(|r| r.life) else { return };
        let Some(message) = self.as_sabotaged(message) else { return };
        let event = Event::Mesh { from: NodeName::from(format!("n{node}").as_str()), message };
        let message = Message::Node { node: other, life, event };
        self.send(Place::Node(node), Place::Node(other), message);
    }

    /// A message as followers get it: with lies, or in part.
    fn as_sabotaged(&mut self, message: MeshMessage) -> Option<MeshMessage> {
        let MeshMessage::Hints(mut part) = message else { return Some(message) };
        match self.plan.sabotage {
            Some(Sabotage::HintsLie) => {
                let names: Vec<String> = self.cloud.machines.keys().cloned().collect();
                for hint in &mut part.hints {
                    self.lie(hint, &names);
                }
            }
            Some(Sabotage::HintsLost) => match self.rng.random_range(0..6) {
                0 => return None,
                1 => part.hints.truncate(part.hints.len() / 2),
                2 => part.term = part.term.saturating_sub(1),
                3 => (part.after, part.upto) = (part.after + 1, part.upto + 1),
                _ => {}
            },
            _ => {}
        }
        Some(MeshMessage::Hints(part))
    }

    fn lie(&mut self, hint: &mut Hint, names: &[String]) {
        let Some(other) = names.get(self.rng.random_range(0..names.len().max(1))) else { return };
        match hint {
            Hint::Machine(hint) => match self.rng.random_range(0..9) {
                0 => hint.address = format!("{other}:9000"),
                1 => hint.session += 1,
                2 => hint.session = hint.session.saturating_sub(1),
                3 => hint.machine = other.clone(),
                4 => hint.reporting = !hint.reporting,
                5 => hint.faulty = self.rng.random_bool(0.2),
                6 => hint.images = vec![(format!("img-{}", self.rng.random_range(0..3)), f64::NAN)],
                7 => hint.idle_at = Some(u64::MAX),
                _ => {}
            },
            Hint::Job(hint) => {
                hint.failures = vec![(0, u32::MAX), (u32::MAX, 1)];
                hint.failed_on = names.iter().take(4).cloned().collect();
                hint.fails_within_ms = u64::MAX;
            }
            Hint::Gone(_) => {}
        }
    }

    fn time_out(&mut self, after: u64, node: usize, life: u64, call: CallId, event: Event) {
        let what = Happening::Timeout { node, life, call, event: Box::new(event) };
        self.at(self.now + after, what);
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick { node, life } => {
                if self.live(node, life) {
                    self.feed(node, Event::Tick);
                }
            }
            Happening::Thaw { node, life } => self.thaw(node, life),
            Happening::Mend { key, value } => self.write_past(&key, value),
            Happening::Deliver(message) => self.deliver(*message),
            Happening::Timeout { node, life, call, event } => {
                if self.live(node, life) && self.pending.remove(&(node, life, call)) {
                    self.feed(node, *event);
                }
            }
            Happening::WatchEnds { node, life, call } => {
                let waiting =
                    self.watches.iter().position(|w| (w.0, w.1, w.2) == (node, life, call));
                if let Some(at) = waiting {
                    if self.refuses(node) {
                        return;
                    }
                    self.watches.remove(at);
                    let reply = self.state.no_changes();
                    self.state_answer(node, life, call, reply);
                }
            }
            Happening::Workers => {
                let keeps = self.plan.sabotage == Some(Sabotage::OldLedger);
                if keeps && self.now % 6_000 < self.terms.step {
                    self.older = self.state.clone();
                }
                self.step_workers();
                let (accepted, asked) = (&self.rules.accepted, &self.rules.cancel_asked);
                self.served.look(&self.workers, &self.jobs, accepted, asked, self.now);
                self.at(self.now + self.terms.step, Happening::Workers);
            }
            Happening::Submit => self.submit(),
            Happening::Poll { id } => {
                if !self.settled.contains(&id) {
                    if let Some(job) = JobId::parse(&id) {
                        self.ask(UserRequest::Get(job), id.clone(), 0);
                    }
                    let often = self.cuts.contains(&Cut::Questions);
                    self.at(self.now + if often { 300 } else { 5_000 }, Happening::Poll { id });
                }
            }
            Happening::Cancel { id } => {
                self.rules.cancel_asked.insert(id.clone());
                if let Some(job) = JobId::parse(&id) {
                    self.ask(UserRequest::Cancel(job), id, 0);
                }
            }
            Happening::Ask { request, id, tries } => self.ask(request, id, tries),
            Happening::Boot { node } => self.boot(node),
            Happening::Fault(fault) => self.fault(fault),
            Happening::Heal(cut) => {
                if let Some(at) = self.cuts.iter().position(|c| *c == cut) {
                    self.cuts.remove(at);
                }
                if let Cut::Refuse(None) = cut {
                    self.state.refresh_leases(self.now);
                }
                if cut == Cut::Boots {
                    self.cloud.boots = Boots::Usual;
                }
                self.at(self.now + 1, Happening::Flush);
            }
            Happening::Flush => {
                let held = std::mem::take(&mut self.held);
                for (from, to, message) in held {
                    self.send(from, to, message);
                }
            }
        }
    }

    fn boot(&mut self, node: usize) {
        self.lives += 1;
        let text = settings(node, self.plan.sabotage, self.plan.size);
        let Ok(settings) = Settings::parse(&text) else { panic!("settings of the world") };
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let seed = self.rng.random();
        self.nodes[node] = Some(Running {
            node: Node::new(settings, seed),
            life: self.lives,
            since: self.now,
            rate,
            ticking: 0,
            frozen: None,
        });
        self.feed(node, Event::Tick);
    }

    /// A node goes on: what it had decided is sent, and what has come meanwhile reaches it in any
    /// order, its own timers among it.
    fn thaw(&mut self, node: usize, life: u64) {
        if !self.live(node, life) {
            return;
        }
        let Some(frozen) = self.nodes[node].as_mut().and_then(|r| r.frozen.take()) else { return };
        for effect in frozen.decided {
            self.carry_out(node, life, effect);
        }
        let mut waiting = frozen.waiting;
        waiting.push(Event::Tick);
        waiting.shuffle(&mut self.rng);
        if let Some(running) = self.nodes[node].as_mut() {
            running.ticking = 0;
        }
        for event in waiting {
            self.feed(node, event);
        }
    }

    fn fault(&mut self, fault: Fault) {
        let names: Vec<String> =
            self.workers.values().filter(|w| !w.dead).map(|w| w.name.clone()).collect();
        let pick = |nth: usize| names.get(nth % names.len().max(1)).cloned();
        let (cut, ms) = match fault {
            Fault::Crash { node, back } => {
                self.holder_stops(node);
                if let Some(ended) = self.nodes[node].take() {
                    self.early.0 += ended.node.counters.early_takeovers;
                    self.early.1 += ended.node.counters.wrong_takeovers;
                }
                self.watches.retain(|w| w.0 != node);
                // Users repeat what has not been answered.
                let lost: Vec<_> = self.tickets.extract_if(|key, _| key.0 == node).collect();
                let mut lost: Vec<_> =
                    lost.into_iter().map(|(key, asked)| (key.2, asked)).collect();
                lost.sort_by_key(|(ticket, _)| *ticket);
                for (_, Asked { request, id, tries, .. }) in lost {
                    if !matches!(request, UserRequest::Get(_)) {
                        let what = Happening::Ask { request, id, tries: tries + 1 };
                        self.at(self.now + 1_000, what);
                    }
                }
                self.at(self.now + back, Happening::Boot { node });
                return;
            }
            Fault::Hang { nth, ms } => {
                if let Some(name) = pick(nth) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::Kill { nth } => {
                if let Some(name) = pick(nth) {
                    self.end_machine(&name);
                }
                return;
            }
            Fault::Sick { nth } => {
                if let Some(name) = pick(nth) {
                    self.sicken(&name);
                }
                return;
            }
            Fault::Burst { jobs } => {
                (0..jobs).for_each(|_| self.new_job());
                return;
            }
            Fault::KillMany { count } => {
                self.some(&names, count).iter().for_each(|name| self.end_machine(name));
                return;
            }
            Fault::SickMany { count } => {
                self.some(&names, count).iter().for_each(|name| self.sicken(name));
                return;
            }
            Fault::HangMany { count, ms } => {
                for name in self.some(&names, count) {
                    self.hang(name, ms);
                }
                return;
            }
            Fault::CutZone { ms } => {
                self.cut(Cut::Users(1), ms);
                (Cut::Zone, ms)
            }
            Fault::SlowState { times, ms } => (Cut::Slow(times), ms),
            Fault::CrashAt { node, nth } => {
                self.ends_at.insert(node, (0, nth));
                return;
            }
            Fault::SpoilPage { partition, ms } => {
                let key = format!("l/{partition}/0000");
                if let Some(value) = self.state.value(&key).cloned() {
                    self.write_past(&key, serde_json::json!({ "round": "garbage" }));
                    self.at(self.now + ms, Happening::Mend { key, value });
                }
                return;
            }
            Fault::CutState { node, ms } => (Cut::State(node), ms),
            Fault::Refuse { node, ms } => (Cut::Refuse(node), ms),
            Fault::CutWorkers { node, ms } => (Cut::Workers(node), ms),
            Fault::CutMesh { node, ms } => (Cut::Mesh(node), ms),
            Fault::CutZones { ms } => (Cut::Zones, ms),
            Fault::CutMachine { nth, ms } => match pick(nth) {
                Some(name) => (Cut::Machine(name), ms),
                None => return,
            },
            Fault::CloudOutage { ms } => (Cut::Cloud, ms),
            Fault::Freeze { node, ms } => {
                if ms >= 4_000 {
                    self.holder_stops(node);
                }
                if let Some(running) = self.nodes[node].as_mut() {
                    running.frozen.get_or_insert_default();
                    let life = running.life;
                    self.at(self.now + ms, Happening::Thaw { node, life });
                }
                return;
            }
            Fault::Isolate { node, ms } => {
                for cut in [Cut::State(node), Cut::Workers(node), Cut::Mesh(node)] {
                    self.cut(cut, ms);
                }
                (Cut::Users(node), ms)
            }
            Fault::Guests { jobs } => {
                (0..jobs).for_each(|_| self.guest_job());
                return;
            }
            Fault::Boots { how, ms } => {
                self.cloud.boots = how;
                (Cut::Boots, ms)
            }
            Fault::Mistakes { ms } => (Cut::Mistakes, ms),
            Fault::Questions { ms } => (Cut::Questions, ms),
        };
        self.cut(cut, ms);
    }

    /// Writes a value past everybody.
    fn write_past(&mut self, key: &str, value: serde_json::Value) {
        let txn = Txn::default().write(Write::put(key, value));
        self.state.execute(self.now, &StateRequest::Txn(txn));
        self.answer_watches();
    }

    /// Cuts something for a time.
    fn cut(&mut self, cut: Cut, ms: u64) {
        self.cuts.push(cut.clone());
        self.at(self.now + ms, Happening::Heal(cut));
    }

    /// A machine hangs: what is sent to it meanwhile waits.
    fn hang(&mut self, name: String, ms: u64) {
        let until = self.now + ms;
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.hangs_until = until;
        }
        self.cut(Cut::Machine(name), ms);
    }

    /// A machine fails every task from now on.
    fn sicken(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.fails_everything = true;
        }
    }

    /// Some of the machines, spread over all.
    fn some(&mut self, names: &[String], count: usize) -> Vec<String> {
        let mut names = names.to_vec();
        names.shuffle(&mut self.rng);
        names.truncate(count);
        names
    }

    fn end_machine(&mut self, name: &str) {
        if let Some(machine) = self.cloud.machines.get_mut(name) {
            machine.gone_at.get_or_insert(self.now);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.dead = true;
            worker.ended_busy = !worker.tasks.is_empty();
            worker.tasks.clear();
        }
        self.takeovers.gone(name, self.now);
    }

    fn refuses(&self, node: usize) -> bool {
        self.cuts.iter().any(|c| matches!(c, Cut::Refuse(n) if n.is_none_or(|n| n == node)))
    }

    fn outage(&self) -> bool {
        self.cuts.contains(&Cut::Refuse(None))
    }

    fn state_answer(&mut self, node: usize, life: u64, call: CallId, reply: StateReply) {
        let event = Event::State { call, reply };
        let message = Message::Node { node, life, event };
        self.send(Place::State, Place::Node(node), message);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::State { node, life, call, request } => {
                self.state_request(node, life, call, request);
            }
            Message::Cloud { node, life, call, request } => {
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
                    let message = Message::Node { node, life, event };
                    self.send(Place::Cloud, Place::Node(node), message);
                }
            }
            Message::Node { node, life, event } => self.node_event(node, life, event),
            Message::Report { node, machine, number, report } => {
                let Some(life) = self.nodes[node].as_ref().map(|r| r.life) else { return };
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.report_tickets.insert((node, life, ticket), (machine, number));
                self.feed(node, Event::Report { ticket, report });
            }
            Message::ReportAnswer { machine, number, node, reply } => {
                self.report_answer(&machine, number, node, reply);
            }
            Message::Direct { node, life, call, machine, body } => {
                let now = self.now;
                let from = self.machine(&machine);
                let Some(worker) = self.workers.get_mut(&machine) else { return };
                if worker.dead {
                    return;
                }
                worker.check_lease(now, self.terms.lease);
                if worker.direct(body.token, body.session, &body.commands, now, &self.jobs) {
                    self.takeovers.told(&machine, body.token, starts(&body.commands), now);
                }
                let report = Box::new(worker.report());
                let event = Event::Worker { call, reply: DirectReply::Answered(report) };
                self.send(from, Place::Node(node), Message::Node { node, life, event });
            }
        }
    }

    fn node_event(&mut self, node: usize, life: u64, event: Event) {
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

    fn state_request(&mut self, node: usize, life: u64, call: CallId, mut request: StateRequest) {
        self.requests += 1;
        if self.refuses(node) {
            self.state_answer(node, life, call, StateReply::Refused { throttled: false });
            return;
        }
        if let StateRequest::Watch { prefix, after, wait_ms } = &request {
            match self.state.changes(prefix, *after) {
                Some(reply) => self.state_answer(node, life, call, reply),
                None => {
                    self.watches.push((node, life, call, prefix.clone(), *after));
                    let what = Happening::WatchEnds { node, life, call };
                    self.at(self.now + wait_ms, what);
                }
            }
            return;
        }
        let mut pretend = false;
        if let StateRequest::Txn(txn) = &mut request {
            let page = |w: &Write| matches!(w, Write::Put { put, .. } if put.starts_with("l/"));
            match self.plan.sabotage {
                Some(Sabotage::PredecessorsForgotten) => forget_predecessors(&mut txn.writes),
                Some(Sabotage::RoundsNotWritten) => pretend = txn.writes.iter().any(page),
                Some(Sabotage::NoFencing) => {
                    txn.conditions
                        .retain(|c| !c.key.starts_with("s/p/") && !c.key.starts_with("l/"));
                }
                _ => {}
            }
        }
        let records = holders_written(&request);
        let before: Vec<Option<String>> =
            records.iter().map(|(p, _)| self.holder(*p).map(str::to_owned)).collect();
        let reply = if pretend {
            StateReply::Committed { revision: 0 }
        } else if self.is_read_late(&request) {
            self.older.execute(self.now, &request)
        } else {
            self.state.execute(self.now, &request)
        };
        if let StateReply::Committed { .. } = reply {
            for ((partition, term), before) in records.into_iter().zip(before) {
                let living = self.living_of(partition);
                self.takeovers.taken(partition, before.as_deref(), term, living, self.now);
            }
        }
        if self.plan.sabotage == Some(Sabotage::EndsNotWritten) {
            self.state.lose("f/");
            self.state.lose("s/e/");
        }
        // Now and then the answer is lost, although the request was executed.
        if !self.rng.random_bool(0.003) {
            self.state_answer(node, life, call, reply);
        }
        self.answer_watches();
    }

    /// Whether a read of the ledger gets what was there some seconds before.
    fn is_read_late(&mut self, request: &StateRequest) -> bool {
        let ledger =
            matches!(request, StateRequest::List { prefix, .. } if prefix.starts_with("l/"));
        ledger && self.plan.sabotage == Some(Sabotage::OldLedger) && self.rng.random_bool(0.7)
    }

    fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (node, life, call, prefix, after) in watches {
            match self.state.changes(&prefix, after) {
                Some(reply) if !self.refuses(node) => self.state_answer(node, life, call, reply),
                _ => self.watches.push((node, life, call, prefix, after)),
            }
        }
    }

    fn report_answer(&mut self, machine: &str, number: u64, node: usize, reply: ReportReply) {
        let now = self.now;
        let ignore_tokens = self.plan.sabotage == Some(Sabotage::TokensIgnored);
        let Some(worker) = self.workers.get_mut(machine) else { return };
        if worker.dead || worker.in_flight.map(|f| f.0) != Some(number) {
            return;
        }
        worker.check_lease(now, self.terms.lease);
        match reply {
            ReportReply::Answer(mut answer) => {
                if ignore_tokens {
                    answer.token = answer.token.max(worker.token);
                }
                if worker.answered(number, &answer, now, &self.jobs) {
                    let launches = starts(&answer.commands);
                    self.takeovers.told(machine, answer.token, launches, now);
                }
                worker.in_flight = None;
            }
            ReportReply::Redirect(Some(to)) => {
                worker.in_flight = None;
                let to: usize = to.as_str().trim_start_matches('n').parse().unwrap_or(0);
                if to == node {
                    worker.node = (node + 1) % NODES;
                    worker.next_report = now + 1_000;
                } else {
                    worker.node = to;
                    worker.next_report = now + self.rng.random_range(0..500);
                }
            }
            ReportReply::Redirect(None) | ReportReply::Unavailable => {
                worker.in_flight = None;
                worker.node = (node + 1) % NODES;
                worker.next_report = now + 1_000;
            }
        }
    }

    fn run_ms(seed: u64, task: &str) -> u64 {
        let sum: u64 = task.bytes().map(u64::from).sum();
        2_000 + (sum * 7919 + seed * 31) % 9_000
    }

    fn step_workers(&mut self) {
        if !self.outage() {
            self.state.expire(self.now);
            self.answer_watches();
        }
        let now = self.now;
        let up: Vec<(String, String, String, bool)> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| {
                m.gone_at.is_none()
                    && m.up_at.is_some_and(|at| at <= now)
                    && !self.workers.contains_key(*name)
            })
            .map(|(n, m)| (n.clone(), m.machine_type.clone(), m.zone.clone(), m.spot))
            .collect();
        for (name, kind, zone, spot) in up {
            let mut worker = Worker::new(&name, &kind, &zone, spot, now);
            worker.node = self.rng.random_range(0..NODES);
            self.workers.insert(name, worker);
        }
        let seed = self.plan.seed;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            if worker.dead {
                continue;
            }
            // A machine that hangs does not outlive its lease either.
            worker.check_lease(now, self.terms.lease);
            if worker.hangs_until > now {
                continue;
            }
            let run = |task: &str| Self::run_ms(seed, task) * self.terms.longer;
            let happened = worker.advance(now, &self.jobs, run);
            for event in happened {
                match event {
                    Happened::Started(task) => {
                        if let Some(on) = self.workers.get(&name) {
                            self.rules.started(&task, on, &self.workers, &self.jobs, now);
                        }
                    }
                    Happened::Done(task) => {
                        self.rules.done_tasks.insert(task);
                    }
                }
            }
            self.step_report(&name);
        }
        self.step_gangs();
    }

    fn step_report(&mut self, name: &str) {
        let now = self.now;
        let from = self.machine(name);
        let report = self.terms.report;
        let wait = self.rng.random_range(report * 3 / 4..report * 5 / 4);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some((_, sent, _)) = worker.in_flight {
            if now >= sent + 4_000 {
                worker.in_flight = None;
                worker.node = (worker.node + 1) % NODES;
                worker.next_report = now + 1_000;
            }
            return;
        }
        if !worker.report_due(now) {
            return;
        }
        self.next_ticket += 1;
        let number = self.next_ticket;
        worker.in_flight = Some((number, now, worker.session));
        worker.changed = false;
        worker.last_report = now;
        worker.next_report = now + wait;
        let node = worker.node;
        let report = Box::new(worker.report());
        if self.nodes[node].is_none() {
            // Refused at once.
            worker.in_flight = None;
            worker.node = (node + 1) % NODES;
            worker.next_report = now + 1_000;
            return;
        }
        let message = Message::Report { node, machine: name.to_owned(), number, report };
        self.send(from, Place::Node(node), message);
    }

    /// Gangs start when all their tasks wait, end together, and notice lost members.
    fn step_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| !w.dead) {
            for ((task, attempt), held) in &worker.tasks {
                let Some((id, _)) = task.split_once('/') else { continue };
                if self.jobs.get(id).is_some_and(|j| j.kind == JobKind::Gang) && held.present() {
                    let entry = (worker.name.clone(), task.clone(), held.state, held.done_at);
                    gangs.entry((id.to_owned(), *attempt)).or_default().push(entry);
                }
            }
        }
        for ((id, attempt), members) in gangs {
            let Some(tasks) = self.jobs.get(&id).map(|j| j.tasks) else { continue };
            let all = members.len() as u64 == tasks;
            let waiting = members.iter().all(|m| m.2 == TaskState::Waiting);
            let running = members.iter().any(|m| m.2 == TaskState::Running);
            let hung: Vec<bool> = members
                .iter()
                .map(|m| self.workers.get(&m.0).is_some_and(|w| w.hangs_until > now))
                .collect();
            let whole = all && !hung.contains(&true);
            let done = members.iter().any(|m| m.3.is_some_and(|at| now >= at));
            let end = now + Self::run_ms(self.plan.seed, &id);
            for ((machine, task, state, _), hangs) in members.into_iter().zip(hung) {
                if hangs {
                    continue;
                }
                let key = (task.clone(), attempt);
                let Some(worker) = self.workers.get_mut(&machine) else { continue };
                if whole && waiting {
                    worker.set_gang(&key, TaskState::Running, None);
                    if let Some(held) = worker.tasks.get_mut(&key) {
                        held.done_at = Some(end);
                    }
                } else if running && whole && done {
                    worker.set_gang(&key, TaskState::Exited, Some(ExitCause::Done));
                    self.rules.done_tasks.insert(task);
                } else if running && !whole && state == TaskState::Running {
                    worker.set_gang(&key, TaskState::Exited, Some(ExitCause::PeersGone));
                }
            }
        }
    }

    fn submit(&mut self) {
        if self.now > self.plan.submit_ms {
            return;
        }
        self.new_job();
        let pause = self.rng.random_range(700..2_800) / self.plan.size.min(self.terms.often);
        self.at(self.now + pause, Happening::Submit);
    }

    fn new_job(&mut self) {
        self.next_job += 1;
        let id = format!("j-{:06}", self.next_job * 7);
        let kind = match self.rng.random_range(0..10) {
            0..=2 => JobKind::Service,
            3..=4 => JobKind::Gang,
            _ => JobKind::Array,
        };
        let tasks = match kind {
            JobKind::Service => self.rng.random_range(1..3),
            JobKind::Gang => self.rng.random_range(2..5),
            JobKind::Array => self.rng.random_range(1..10) * self.plan.size.min(self.terms.large),
        };
        let zone = self.rng.random_bool(0.15).then(|| "a".to_owned());
        let together = zone.is_none() && self.rng.random_bool(0.2);
        let mistaken = self.cuts.contains(&Cut::Mistakes) && self.rng.random_bool(0.4);
        let job = JobRequest {
            id: id.clone(),
            class: if mistaken { MISTAKEN } else { "c" }.into(),
            team: format!("t{}", self.rng.random_range(0..6)),
            kind,
            priority: match self.rng.random_range(0..3) {
                0 => Priority::High,
                1 => Priority::Low,
                _ => Priority::Normal,
            },
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 2.0,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_gb: 1.5,
            types: None,
            spread: zone.is_none() && !together && self.rng.random_bool(0.2),
            zone,
            one_zone: together,
            spot: self.rng.random_bool(0.5),
            estimate_s: match kind {
                JobKind::Service => 0.0,
                JobKind::Gang => 6.0,
                JobKind::Array => 6.0 * self.terms.longer as f64,
            },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        self.jobs.insert(id.clone(), job.clone());
        self.submitted.insert(id.clone(), self.now);
        if kind == JobKind::Service || mistaken || self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10_000..50_000);
            self.at(self.now + after, Happening::Cancel { id: id.clone() });
        }
        self.ask(UserRequest::Submit(Box::new(job.clone())), id.clone(), 0);
        if self.rng.random_bool(0.1) {
            // A retry may arrive at any later time.
            let after = self.rng.random_range(500..40_000);
            let request = UserRequest::Submit(Box::new(job));
            self.at(self.now + after, Happening::Ask { request, id: id.clone(), tries: 50 });
        }
        if self.rng.random_bool(0.05) {
            self.ask(UserRequest::Get(JobId(900_001)), "j-900001".into(), 0);
        }
        self.at(self.now + 4_000, Happening::Poll { id });
    }

    fn guest_job(&mut self) {
        self.next_job += 1;
        let id = format!("j-{:06}", self.next_job * 7);
        let job = JobRequest {
            id: id.clone(),
            class: "guests".into(),
            team: "guest".into(),
            kind: JobKind::Array,
            priority: Priority::Low,
            tasks: 20 * self.plan.size,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "img-guests".into(),
            image_gb: 0.5,
            types: None,
            spread: false,
            zone: None,
            one_zone: false,
            spot: true,
            estimate_s: 20.0,
            checkpoint_s: 5.0,
            save_s: 1.0,
            deadline_s: None,
        };
        self.jobs.insert(id.clone(), job.clone());
        self.submitted.insert(id.clone(), self.now);
        self.ask(UserRequest::Submit(Box::new(job)), id.clone(), 0);
        self.at(self.now + 4_000, Happening::Poll { id });
    }

    fn ask(&mut self, request: UserRequest, id: String, tries: u32) {
        let reached = |n: &usize| self.nodes[*n].is_some() && !self.cuts.contains(&Cut::Users(*n));
        let alive: Vec<usize> = (0..NODES).filter(reached).collect();
        if alive.is_empty() {
            if tries < 60 {
                let what = Happening::Ask { request, id, tries: tries + 1 };
                self.at(self.now + 1_000, what);
            }
            return;
        }
        let node = alive[self.rng.random_range(0..alive.len())];
        let Some(life) = self.nodes[node].as_ref().map(|r| r.life) else { return };
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let asked = Asked { request: request.clone(), id, tries, asked: self.now };
        self.tickets.insert((node, life, ticket), asked);
        self.feed(node, Event::User { ticket, request });
    }

    fn user_answer(&mut self, asked: Asked, reply: UserReply) {
        let Asked { request, id, tries, asked } = asked;
        let now = self.now;
        match reply {
            UserReply::Created(_) => {
                let first = self.submitted.get(&id).copied().unwrap_or(now);
                self.accept_ms.push(now - first);
                self.rules.accepted.entry(id).or_insert(now);
            }
            UserReply::Status(status) => {
                if let UserRequest::Submit(_) = request {
                    self.rules.accepted.entry(id.clone()).or_insert(now);
                }
                if matches!(status.state, JobState::Done | JobState::Cancelled) {
                    self.settled.insert(id.clone());
                }
                self.rules.told(&id, status.state, &self.jobs, asked, now);
            }
            UserReply::NotFound => {
                self.rules.told_missing(&id, asked, now);
                if let UserRequest::Cancel(_) = request {
                    // Its submission may still be under way.
                    let what = Happening::Ask { request, id, tries: tries + 1 };
                    if tries < 30 {
                        self.at(now + 2_000, what);
                    }
                }
            }
            UserReply::Invalid(_) | UserReply::Rejected(_) => {
                self.rules.told_missing(&id, asked, now);
            }
            UserReply::Busy { retry_after_s } => {
                self.turned_away += 1;
                let again = !matches!(request, UserRequest::Get(_)) && tries < 60;
                if again {
                    let what = Happening::Ask { request, id, tries: tries + 1 };
                    self.at(now + retry_after_s.max(1) * 1_000, what);
                }
            }
        }
    }
}

/// Whether any of the commands starts a task.
fn starts(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::Start { .. }))
}

/// Partitions whose records a request writes, with the new terms.
fn holders_written(request: &StateRequest) -> Vec<(u32, u64)> {
    let StateRequest::Txn(txn) = request else { return Vec::new() };
    let record = |write: &Write| match write {
        Write::Put { put, value, .. } => {
            let partition = put.strip_prefix("s/p/")?.parse().ok()?;
            Some((partition, value.get("term")?.as_u64()?))
        }
        Write::Delete { .. } => None,
    };
    txn.writes.iter().filter_map(record).collect()
}

/// Strikes out who may still answer the workers of a partition.
fn forget_predecessors(writes: &mut [Write]) {
    for write in writes {
        let Write::Put { put, value, .. } = write else { continue };
        if put == "s/t" || put.starts_with("s/p/") {
            for field in ["takers", "suspects"] {
                match value.get_mut(field) {
                    Some(serde_json::Value::Object(map)) => map.clear(),
                    Some(serde_json::Value::Array(list)) => list.clear(),
                    _ => {}
                }
            }
        }
    }
}
