//! The processes of a run, each with one role, and their protocol with the main process: it writes the settings to
//! their standard input, and they write messages to their standard output, one line of JSON each. A process stops when
//! its standard input is closed, which also happens when the main process exits.

use crate::config::Experiment;
use crate::http::TrafficTotals;
use crate::observations::{TaskEvent, UserEvent};
use crate::run_layout::{Clock, LoopbackNet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use tokio::sync::oneshot;

/// The role of a process of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    StateService,
    Cloud,
    /// Starts, kills and monitors the real controllers.
    Controllers {
        program: String,
    },
    /// Runs the workers whose machine number, modulo the number of such processes, is `process`.
    Workers {
        process: u32,
    },
    Users,
}

impl Role {
    /// Name of the process in reports.
    pub fn name(&self) -> String {
        match self {
            Role::StateService => "state service".into(),
            Role::Cloud => "cloud".into(),
            Role::Controllers { .. } => "controllers' supervisor".into(),
            Role::Workers { process } => format!("workers {process}"),
            Role::Users => "users".into(),
        }
    }
}

/// Settings that a process reads at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoleSettings {
    pub role: Role,
    pub net: LoopbackNet,
    /// Start of the run, in microseconds since 1970.
    pub started_us: u64,
    pub experiment: Experiment,
}

/// What a process reports at its end.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoleReport {
    pub traffic: TrafficTotals,
    pub tasks: Vec<TaskEvent>,
    pub users: Vec<UserEvent>,
    /// Figures of the report, by name.
    pub figures: BTreeMap<String, f64>,
}

/// A message of a process to the main process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RoleMessage {
    /// The process has started and is ready.
    Ready,
    /// Current figures, by name.
    Progress(BTreeMap<String, f64>),
    /// A controller was started with this process id.
    Controller { controller: u32, pid: u32 },
    /// A controller exited without having been killed.
    ControllerEnded { controller: u32, status: String },
    /// The report; the last message.
    Report(Box<RoleReport>),
}

/// Sends a message to the main process.
pub fn send_message(message: &RoleMessage) {
    if let Ok(line) = serde_json::to_string(message) {
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{line}").and_then(|()| out.flush());
    }
}

/// What every role is given.
pub struct Context {
    pub net: LoopbackNet,
    pub clock: Clock,
    pub experiment: Experiment,
    /// Resolves when the process must stop.
    pub stop: oneshot::Receiver<()>,
}

/// Exits the process when any of its tasks panics: a run is not valid once a part of a simulated service has failed.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(101);
    }));
}

/// Runs the role given by the settings on standard input.
pub fn run() -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut line)
        .map_err(|e| format!("cannot read the settings: {e}"))?;
    let settings: RoleSettings =
        serde_json::from_str(&line).map_err(|e| format!("invalid settings: {e}"))?;
    let (stop_sender, stop) = oneshot::channel();
    std::thread::spawn(move || {
        let mut ignored = String::new();
        while std::io::stdin()
            .lock()
            .read_line(&mut ignored)
            .is_ok_and(|read| read > 0)
        {
            ignored.clear();
        }
        let _ = stop_sender.send(());
    });
    let RoleSettings {
        role,
        net,
        started_us,
        experiment,
    } = settings;
    if !matches!(role, Role::Controllers { .. }) {
        exit_on_panic();
    }
    let context = Context {
        net,
        clock: Clock::starting_at(started_us),
        experiment,
        stop,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    let name = role.name();
    let run_role = async {
        match role {
            Role::StateService => crate::state_service::run(context).await,
            Role::Cloud => crate::cloud::run(context).await,
            Role::Controllers { program } => crate::controllers::run(context, &program).await,
            Role::Workers { process } => crate::workers::run(context, process).await,
            Role::Users => crate::users::run(context).await,
        }
    };
    let report = tokio::task::LocalSet::new()
        .block_on(&runtime, run_role)
        .map_err(|e| format!("{name}: {e}"))?;
    send_message(&RoleMessage::Report(Box::new(report)));
    Ok(())
}
