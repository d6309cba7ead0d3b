//! Fingerprints of behaviour: a digest for each of a fixed list of simulated runs.
//!
//! `cargo run --release -p simulator --example fingerprint -- --compare crates/simulator/tests/data/fingerprint-full.txt`

use clap::Parser;
use simulator::fingerprint::{all_runs, short_runs, Recorder, Run, StoredDigests};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Prints the digests of what leaves the controllers in simulated runs.
#[derive(Parser)]
struct Arguments {
    /// Only a dozen runs.
    #[arg(long)]
    short: bool,
    /// A stored list of digests; names the runs that differ, and fails if there are any.
    #[arg(long, value_name = "FILE")]
    compare: Option<PathBuf>,
    /// Only this run.
    #[arg(long, value_name = "NAME")]
    run: Option<String>,
    /// Writes one line for each outgoing message of the run.
    #[arg(long, value_name = "FILE", requires = "run")]
    trace: Option<PathBuf>,
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
        return Err("there is no such run".into());
    }
    if let (Some(file), [run]) = (&arguments.trace, runs.as_slice()) {
        write_trace(run, file)?;
    }
    let digests = play_all(&runs, arguments.threads);
    println!("{digests}");
    match &arguments.compare {
        Some(file) => compare(&digests, file),
        None => Ok(ExitCode::SUCCESS),
    }
}

/// Plays runs side by side.
fn play_all(runs: &[Run], threads: usize) -> StoredDigests {
    let next = AtomicUsize::new(0);
    let digests = Mutex::new(StoredDigests::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                // The longest runs come last in the list and are begun first.
                while let Some(run) = runs.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed)) {
                    let digest = play(run);
                    digests
                        .lock()
                        .expect("no thread fails")
                        .insert(&run.name, digest);
                }
            });
        }
    });
    digests.into_inner().expect("no thread fails")
}

fn play(run: &Run) -> u128 {
    let started = std::time::Instant::now();
    let outcome = run.execute(Recorder::default());
    let seconds = started.elapsed().as_secs_f64();
    let messages = outcome.recorder.message_count();
    eprintln!("{}: {messages} messages, {seconds:.1} s", run.name);
    if outcome.violations > 0 {
        eprintln!(
            "{}: ends early, since {} rules are broken",
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
        eprintln!("all digests are as stored");
        return Ok(ExitCode::SUCCESS);
    }
    for name in differing {
        eprintln!("differs: {name}");
    }
    Ok(ExitCode::FAILURE)
}
