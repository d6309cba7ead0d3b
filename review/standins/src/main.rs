//! Runs one case of the review: `standins CASE RECORD`, from the repository's root. `TROUBLE=0` leaves the
//! disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

// Some faults of the stand-ins serve trials only, which are not kept.
#![allow(dead_code)]

mod cases;
mod cloud;
mod http;
mod site;
mod state;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Milliseconds since the start of the run.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }

    pub async fn sleep_until(&self, at_ms: u64) {
        tokio::time::sleep(Duration::from_millis(at_ms.saturating_sub(self.ms()))).await;
    }
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

/// Longest run of a case.
const LONGEST: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let clock = Clock(Instant::now());
    let record = match site::Record::new(clock, &PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    let local = tokio::task::LocalSet::new();
    let outcome = local.block_on(&runtime, async {
        let run = cases::run(&case, trouble, clock, record.clone());
        tokio::time::timeout(LONGEST, run)
            .await
            .unwrap_or_else(|_| Err("the time is over".into()))
    });
    match outcome {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.say(format!("the case could not run: {problem}"));
            ExitCode::from(2)
        }
    }
}
