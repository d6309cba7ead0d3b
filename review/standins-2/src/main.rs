//! Runs a case of the review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` leaves out the disruption.

mod cases;
mod http;
mod record;
mod site;
mod state;
mod worker;

use record::Record;
use std::sync::Arc;

/// How a case ended.
pub enum Outcome {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(&format!("{folder}/record.txt")));
    record.line(format!("case {case}, TROUBLE={}", u8::from(has_trouble)));
    let outcome = cases::run(case, has_trouble, record.clone());
    let (code, text) = match outcome {
        Outcome::Broken(text) => (1, format!("BROKEN: {text}")),
        Outcome::Held(text) => (0, format!("held: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("case {case}: {text}");
    std::process::exit(code);
}
