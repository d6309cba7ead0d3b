//! Fingerprints of behavior: a digest for each of a fixed list of simulated runs.
//!
//! `cargo run --release -p simulator --example fingerprint -- --compare crates/simulator/tests/data/fingerprint-full.txt`

use clap::Parser;
use simulator::fingerprint::{all_runs, short_runs, Recorder, Run, StoredDigests};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Prints the digests of everything that the controllers send in simulated runs.
#[derive(Parser)]
struct Arguments {
    /// Run only the short list, a dozen runs.
    #[arg(long)]
    short: bool,
    /// Compare with a stored list of digests: name the runs that differ, and fail if there are any.
    #[arg(long, value_name = "FILE")]
    compare: Option<PathBuf>,
    /// Run only the run with this name.
    #[arg(long, value_name = "NAME")]
    run: Option<String>,
    /// Write a line to this file for each message that the controllers send in the run.
    #[arg(long, value_name = "FILE", requires = "run")]
    trace: Option<PathBuf>,
    /// Number of runs that are simulated at the same time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments = Arguments::parse();
    let mut runs = if arguments.short {
        short_runs()
    } else {
        all_runs()
    };
    if let Some(name) = &arguments.run {
        runs.retain(|run| run.name == *name);
    }
    if runs.is_empty() {
        return Err("there is no run with this name".into());
    }
    if let (Some(file), [run]) = (&arguments.trace, runs.as_slice()) {
        write_trace(run, file)?;
    }
    let digests = digests_of(&runs, arguments.threads);
    println!("{digests}");
    match &arguments.compare {
        Some(file) => compare(&digests, file),
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Executes runs on several threads.
fn digests_of(runs: &[Run], threads: usize) -> StoredDigests {
    let next_from_end = AtomicUsize::new(0);
    let digests = Mutex::new(StoredDigests::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                // The longest runs are last in the list and are started first.
                while let Some(run) = runs
                    .iter()
                    .rev()
                    .nth(next_from_end.fetch_add(1, Ordering::Relaxed))
                {
                    let digest = digest_of(run);
                    digests
                        .lock()
                        .expect("no thread panics")
                        .insert(&run.name, digest);
                }
            });
        }
    });
    digests.into_inner().expect("no thread panics")
}

fn digest_of(run: &Run) -> u128 {
    let started = std::time::Instant::now();
    let outcome = run.execute(Recorder::default());
    let seconds = started.elapsed().as_secs_f64();
    let messages = outcome.recorder.message_count();
    eprintln!("{}: {messages} messages, {seconds:.1} s", run.name);
    if outcome.violations > 0 {
        eprintln!(
            "{}: ended early with {} rule violations",
            run.name, outcome.violations
        );
    }
    outcome.recorder.digest()
}

fn write_trace(run: &Run, file: &Path) -> Result<(), std::io::Error> {
    let outcome = run.execute(Recorder::with_trace());
    std::fs::write(file, outcome.recorder.trace().unwrap_or_default())
}

fn compare(digests: &StoredDigests, file: &Path) -> Result<ExitCode, Box<dyn Error>> {
    let stored: StoredDigests = std::fs::read_to_string(file)?.parse()?;
    let differing = digests.differing(&stored);
    if differing.is_empty() {
        eprintln!("all digests equal the stored ones");
        return Ok(ExitCode::SUCCESS);
    }
    for name in differing {
        eprintln!("differs: {name}");
    }
    Ok(ExitCode::FAILURE)
}
