//! Entry point of the executable; its code is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    trackcrank::cli::run()
}
