//! Golden files: compares encoded values with stored ones, byte for byte.
//!
//! A golden file holds one entry on each line: its name, a space, and the encoded bytes as text. Test
//! crates elsewhere in the workspace include this module by its path.

#![allow(dead_code, reason = "each test crate uses a part of this module")]

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::fs;
use std::path::PathBuf;

/// Environment variable that makes [`check`] rewrite the golden files if it is `1`. Allowed only when a
/// format is added, or is changed together with its version number; never to hide a difference.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// Decodes the stored form of a value, and encodes it again.
type Reencode = Box<dyn Fn(&str) -> Result<String, String>>;

/// A value as the code encodes it, and how its stored form is decoded and encoded again.
pub struct Entry {
    pub name: &'static str,
    pub encoded: String,
    pub reencode: Reencode,
}

impl Entry {
    /// An entry whose stored form is decoded to a `T`, which must equal the value, and encoded again.
    pub fn round_trip<T, E>(
        name: &'static str,
        value: T,
        encode: fn(&T) -> String,
        decode: fn(&str) -> Result<T, E>,
    ) -> Self
    where
        T: PartialEq + std::fmt::Debug + 'static,
        E: std::fmt::Display + 'static,
    {
        let encoded = encode(&value);
        let reencode = move |stored: &str| {
            let decoded =
                decode(stored).map_err(|error| format!("it cannot be decoded: {error}"))?;
            if decoded != value {
                return Err(format!(
                    "it is decoded as another value: {decoded:?}, not {value:?}"
                ));
            }
            Ok(encode(&decoded))
        };
        Entry {
            name,
            encoded,
            reencode: Box::new(reencode),
        }
    }

    /// An entry that is only compared, not decoded.
    pub fn text(name: &'static str, encoded: impl Into<String>) -> Self {
        Entry {
            name,
            encoded: encoded.into(),
            reencode: Box::new(|stored| Ok(stored.to_owned())),
        }
    }
}

/// An entry of a body that is sent as JSON.
pub fn body<T>(name: &'static str, value: T) -> Entry
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug + 'static,
{
    Entry::round_trip(
        name,
        value,
        |value| to_json(value),
        |text| serde_json::from_str(text),
    )
}

/// An entry of a record in the state service, which is encoded and decoded by way of a JSON value.
pub fn record<T>(name: &'static str, value: T) -> Entry
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug + 'static,
{
    let encode = |value: &T| to_json(&serde_json::to_value(value).expect("encode record"));
    let decode = |text: &str| serde_json::from_str::<Value>(text).and_then(T::deserialize);
    Entry::round_trip(name, value, encode, decode)
}

/// Encodes a value as JSON text.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("encode JSON")
}

/// Reads the names and stored forms of all entries of a file in the test data of the crate under test.
pub fn read(file: &str) -> Vec<(String, String)> {
    let text = fs::read_to_string(path(file)).unwrap_or_else(|error| panic!("{file}: {error}"));
    let entry = |line: &str| {
        let (name, stored) = line
            .split_once(' ')
            .unwrap_or_else(|| panic!("{file}: {line}"));
        (name.to_owned(), stored.to_owned())
    };
    text.lines().map(entry).collect()
}

/// Compares all entries with a file: each is encoded as it is stored there, and its stored form does not
/// change when it is decoded and encoded again. Panics with the names of all entries that differ.
pub fn check(file: &str, entries: &[Entry]) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        write(file, entries);
    }
    let stored = read(file);
    let names: Vec<&str> = stored.iter().map(|(name, _)| name.as_str()).collect();
    let expected: Vec<&str> = entries.iter().map(|entry| entry.name).collect();
    assert_eq!(expected, names, "names of the entries of {file}");
    let differences: Vec<String> = entries
        .iter()
        .zip(&stored)
        .filter_map(|(entry, (_, text))| compare(entry, text))
        .collect();
    assert!(
        differences.is_empty(),
        "{file}:\n{}",
        differences.join("\n")
    );
}

/// Describes the difference between an entry and its stored form, if there is one.
fn compare(entry: &Entry, stored: &str) -> Option<String> {
    let name = entry.name;
    if entry.encoded != stored {
        return Some(format!(
            "{name} is encoded as\n  {}\nnot as\n  {stored}",
            entry.encoded
        ));
    }
    match (entry.reencode)(stored) {
        Ok(reencoded) if reencoded == stored => None,
        Ok(reencoded) => Some(format!(
            "{name} is decoded and encoded again as\n  {reencoded}\nnot as\n  {stored}"
        )),
        Err(problem) => Some(format!("{name}: {problem}; it is stored as\n  {stored}")),
    }
}

fn write(file: &str, entries: &[Entry]) {
    let line = |entry: &Entry| format!("{} {}\n", entry.name, entry.encoded);
    let text: String = entries.iter().map(line).collect();
    fs::write(path(file), text).unwrap_or_else(|error| panic!("{file}: {error}"));
}

fn path(file: &str) -> PathBuf {
    PathBuf::from(std::env::var("CARGO_MANIFEST_DIR").expect("cargo sets CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(file)
}
