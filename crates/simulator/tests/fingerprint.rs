//! Fingerprints of behavior, which are digests of all messages that leave the controllers, are repeatable, differ
//! between seeds, and match the stored short list.

use simulator::fingerprint::{all_runs, short_runs, Recorder, Run, StoredDigests};

/// Digests of the short list, as `cargo run --release -p simulator --example fingerprint -- --short`
/// prints them.
const STORED_SHORT: &str = include_str!("data/fingerprint.txt");
/// Digests of all runs, which are compared by hand with the example `fingerprint`.
const STORED_FULL: &str = include_str!("data/fingerprint-full.txt");

fn digest(run: &Run) -> u128 {
    let outcome = run.execute(Recorder::default());
    assert_eq!(
        outcome.violations, 0,
        "{}: a violated rule ends the run early",
        run.name
    );
    outcome.recorder.digest()
}

fn run_named(name: &str) -> Run {
    all_runs()
        .into_iter()
        .find(|run| run.name == name)
        .expect("a run of this name")
}

#[test]
fn repeated_run_has_equal_digest() {
    for name in ["administration", "histories"] {
        let run = run_named(name);
        assert_eq!(digest(&run), digest(&run), "{name}");
    }
}

#[test]
fn different_seed_has_different_digest() {
    let run = run_named("quiet_1");
    let other_seed = run.clone().with_seed(1_001);
    assert_ne!(digest(&run), digest(&other_seed));
}

#[test]
fn trace_has_one_line_per_message_and_keeps_digest() {
    let run = run_named("administration");
    let traced = run.execute(Recorder::with_trace()).recorder;
    let lines = traced.trace().expect("a trace").lines().count();
    assert_eq!(lines as u64, traced.message_count());
    assert_eq!(traced.digest(), digest(&run));
}

#[test]
fn short_list_matches_stored_digests() {
    let stored: StoredDigests = STORED_SHORT.parse().expect("digests");
    let mut digests = StoredDigests::default();
    for run in short_runs() {
        digests.insert(&run.name, digest(&run));
    }
    assert_eq!(
        digests.differing(&stored),
        Vec::<&str>::new(),
        "messages of the controllers differ in these runs"
    );
    assert_eq!(digests, stored, "the stored list has other runs");
}

#[test]
fn stored_lists_agree_and_run_names_are_unique() {
    let short: StoredDigests = STORED_SHORT.parse().expect("digests");
    let full: StoredDigests = STORED_FULL.parse().expect("digests");
    assert_eq!(short.differing(&full), Vec::<&str>::new());
    let mut names: Vec<String> = all_runs().into_iter().map(|run| run.name).collect();
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count, "a name is used for two runs");
}

#[test]
fn stored_digests_survive_write_and_read() {
    let mut digests = StoredDigests::default();
    digests.insert("one", 1);
    digests.insert("two", u128::MAX);
    assert_eq!(digests.to_string().parse(), Ok(digests.clone()));
    let mut changed = digests.clone();
    changed.insert("two", 2);
    changed.insert("three", 3);
    assert_eq!(changed.differing(&digests), ["three", "two"]);
    assert!("one".parse::<StoredDigests>().is_err());
    assert!("one not-a-digest".parse::<StoredDigests>().is_err());
}
