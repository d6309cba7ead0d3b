//! Decoding of JSON bodies. Every body of the protocols is an object.

use serde::de::DeserializeOwned;

/// Why a body cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Serde reads a struct from an array as well, which no protocol allows.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// The body is no valid JSON, or its fields have other types than expected.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
}

/// Decodes a body that must be one JSON object.
pub fn from_object<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let first = body.iter().find(|byte| !byte.is_ascii_whitespace());
    match first {
        // An empty body is left to the parser, whose error names what it expected.
        None | Some(b'{') => Ok(serde_json::from_slice(body)?),
        Some(_) => Err(BodyError::NotAnObject),
    }
}
