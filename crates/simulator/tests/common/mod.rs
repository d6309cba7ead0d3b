//! Helpers that several test files share.

/// A number from an environment variable, or a default.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|number| number.parse().ok())
        .unwrap_or(default)
}
