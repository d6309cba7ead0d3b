//! The executable; all that it does is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    trackcrank::cli::run()
}
