//! Decoding of JSON bodies. Every body of the protocols is an object.

use serde::de::DeserializeOwned;

/// Why a body cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body does not start with `{`. Serde would decode a struct from an array as well, which no
    /// protocol allows.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// The body is not valid JSON, or a field is missing or has an unexpected type.
    #[error(transparent)]
    Invalid(#[from] serde_json::Error),
}

/// Decodes a body that must be one JSON object.
pub fn from_object<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let first_byte = body.iter().find(|byte| !byte.is_ascii_whitespace());
    match first_byte {
        // An empty body is left to the parser, whose error names what it expected.
        None | Some(b'{') => Ok(serde_json::from_slice(body)?),
        Some(_) => Err(BodyError::NotAnObject),
    }
}
