//! Supervises the real controller processes: starts them, kills them at the times of the experiment's faults, restarts
//! those that exit, and kills them all at the end of the run.

use crate::config::{Experiment, Fault};
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{controller_name, LoopbackNet};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often the controller processes are checked.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a controller that exited without having been killed is restarted.
const RESTART_DELAY_MS: u64 = 2_000;

/// Runs the controllers until `context.stop` resolves.
pub async fn run(context: Context, program: &str) -> io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let directory =
        std::env::temp_dir().join(format!("trackcrank-loadtest-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let mut supervisor = Supervisor::new(program, directory, &experiment, net)?;
    send_message(&RoleMessage::Ready);
    loop {
        supervisor.supervise(clock.now_ms())?;
        let stopped = tokio::time::timeout(SUPERVISION_INTERVAL, &mut stop).await;
        if stopped.is_ok() {
            break;
        }
    }
    supervisor.kill_all();
    Ok(RoleReport::default())
}

/// The process of one controller.
struct Controller {
    child: Option<Child>,
    /// Time of the run at which it is to be started.
    start_at_ms: u64,
    /// Kills that were carried out, as indices in the experiment's list of faults.
    executed_kills: Vec<usize>,
    starts: u32,
}

struct Supervisor {
    program: PathBuf,
    directory: PathBuf,
    experiment: Experiment,
    controllers: Vec<Controller>,
    /// Whether a controller exited without having been killed; the logs are then kept.
    exited_unexpectedly: bool,
}

impl Supervisor {
    fn new(
        program: &str,
        directory: PathBuf,
        experiment: &Experiment,
        net: LoopbackNet,
    ) -> io::Result<Self> {
        let count = experiment.controllers.count;
        for controller in 0..count {
            let settings = experiment.settings_file(net, controller);
            std::fs::write(settings_path(&directory, controller), settings)?;
        }
        let controllers = (0..count)
            .map(|_| Controller {
                child: None,
                start_at_ms: 0,
                executed_kills: Vec::new(),
                starts: 0,
            })
            .collect();
        Ok(Supervisor {
            program: PathBuf::from(program),
            directory,
            experiment: experiment.clone(),
            controllers,
            exited_unexpectedly: false,
        })
    }

    /// Carries out the kills that are due, detects exits, and starts the controllers that are due.
    fn supervise(&mut self, now_ms: u64) -> io::Result<()> {
        for index in 0..self.controllers.len() {
            self.kill_if_due(index, now_ms);
            self.detect_exit(index, now_ms)?;
            let controller = &self.controllers[index];
            if controller.child.is_none() && controller.start_at_ms <= now_ms {
                self.start(index as u32)?;
            }
        }
        Ok(())
    }

    fn start(&mut self, index: u32) -> io::Result<()> {
        let controller = &mut self.controllers[index as usize];
        controller.starts += 1;
        let log_file = format!("{}-{}.log", controller_name(index), controller.starts);
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(settings_path(&self.directory, index))
            .env("LOG_LEVEL", &self.experiment.controllers.log)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(self.directory.join(log_file))?)
            .spawn()
            .map_err(|e| {
                io::Error::new(
                    e.kind(),
                    format!("cannot start {}: {e}", self.program.display()),
                )
            })?;
        send_message(&RoleMessage::Controller {
            controller: index,
            pid: child.id(),
        });
        controller.child = Some(child);
        Ok(())
    }

    fn kill_if_due(&mut self, index: usize, now_ms: u64) {
        let due =
            self.experiment
                .faults
                .iter()
                .enumerate()
                .find(|(fault_index, fault)| match fault {
                    Fault::KillController { controller, .. } => {
                        *controller as usize == index
                            && fault.is_active(now_ms)
                            && !self.controllers[index].executed_kills.contains(fault_index)
                    }
                    _ => false,
                });
        let Some((fault_index, fault)) = due else {
            return;
        };
        let controller = &mut self.controllers[index];
        controller.executed_kills.push(fault_index);
        controller.start_at_ms = (fault.start_and_end_s().1 * 1_000.0) as u64;
        if let Some(mut child) = controller.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn detect_exit(&mut self, index: usize, now_ms: u64) -> io::Result<()> {
        let controller = &mut self.controllers[index];
        let Some(child) = &mut controller.child else {
            return Ok(());
        };
        if let Some(status) = child.try_wait()? {
            let status = format!("{status}, logs in {}", self.directory.display());
            send_message(&RoleMessage::ControllerEnded {
                controller: index as u32,
                status,
            });
            controller.child = None;
            controller.start_at_ms = now_ms + RESTART_DELAY_MS;
            self.exited_unexpectedly = true;
        }
        Ok(())
    }

    fn kill_all(&mut self) {
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let writes_logs = self.experiment.controllers.log != "error";
        if !self.exited_unexpectedly && !writes_logs {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn settings_path(directory: &Path, controller: u32) -> PathBuf {
    directory.join(format!("{}.toml", controller_name(controller)))
}
