//! Wire formats of every interface trackcrank speaks.
//!
//! Rust names are the field's standard terms; the names a site uses on the
//! wire appear only as serde renames. Clients may depend on this crate alone.

pub mod cloud;
pub mod http;
pub mod json;
pub mod mesh;
pub mod state;
pub mod users;
pub mod workers;
