//! Errors of the settings file.

use thiserror::Error;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file is not valid TOML, or a field is missing or has the wrong type.
    #[error("settings file: {0}")]
    Syntax(String),
    /// A field has a value that is not allowed.
    #[error("settings: field `{field}`: {problem}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// What is wrong with its value.
        problem: FieldProblem,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FieldProblem {
    /// The text is not an IP address with a port.
    #[error("`{0}` is not an address of the form 10.0.0.1:8080")]
    NotAnAddress(String),
    /// The number must be finite and positive.
    #[error("must be finite and greater than 0, but is {0}")]
    NotPositive(f64),
    /// The number must be finite and not negative.
    #[error("must be finite and at least 0")]
    Negative,
    /// The number is below the given minimum.
    #[error("must be at least {0}")]
    BelowMinimum(f64),
    /// The text must not be empty.
    #[error("must not be empty")]
    Empty,
    /// Another team has the same name.
    #[error("another team has the name `{0}`")]
    DuplicateTeam(String),
}
