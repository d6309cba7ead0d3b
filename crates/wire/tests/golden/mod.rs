//! Comparison of written values with stored ones, byte for byte.
//!
//! A golden file holds one entry on each line: its name, a space, and the bytes as text. Test crates
//! elsewhere in the workspace include this module by its path.

#![allow(dead_code, reason = "each test crate uses a part of this module")]

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use std::fs;
use std::path::PathBuf;

/// Set to `1` to write the golden files anew. Legitimate only when a format is added, or is changed
/// together with the number of its version; never to silence a difference.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

type Rewrite = Box<dyn Fn(&str) -> Result<String, String>>;

/// A value as the code writes it, and how the stored form of it is read and written again.
pub struct Entry {
    pub name: &'static str,
    pub written: String,
    pub rewrite: Rewrite,
}

impl Entry {
    /// An entry whose stored form is read into a `T`, which must equal the value, and written again.
    pub fn of<T, E>(
        name: &'static str,
        value: T,
        encode: fn(&T) -> String,
        decode: fn(&str) -> Result<T, E>,
    ) -> Self
    where
        T: PartialEq + std::fmt::Debug + 'static,
        E: std::fmt::Display + 'static,
    {
        let written = encode(&value);
        let rewrite = move |stored: &str| {
            let read = decode(stored).map_err(|error| format!("it is not read: {error}"))?;
            if read != value {
                return Err(format!(
                    "it is read as another value: {read:?}, not {value:?}"
                ));
            }
            Ok(encode(&read))
        };
        Entry {
            name,
            written,
            rewrite: Box::new(rewrite),
        }
    }

    /// An entry that is only written.
    pub fn text(name: &'static str, written: impl Into<String>) -> Self {
        Entry {
            name,
            written: written.into(),
            rewrite: Box::new(|stored| Ok(stored.to_owned())),
        }
    }
}

/// A body that is sent as JSON.
pub fn body<T>(name: &'static str, value: T) -> Entry
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug + 'static,
{
    Entry::of(
        name,
        value,
        |value| to_json(value),
        |text| serde_json::from_str(text),
    )
}

/// A record of the state service, which is put and read by way of a JSON value.
pub fn record<T>(name: &'static str, value: T) -> Entry
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug + 'static,
{
    let encode = |value: &T| to_json(&serde_json::to_value(value).expect("a value"));
    let decode = |text: &str| serde_json::from_str::<Value>(text).and_then(T::deserialize);
    Entry::of(name, value, encode, decode)
}

/// The text of a JSON body.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("JSON")
}

/// The stored entries of a file in the test data of the crate under test.
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

/// Compares all entries with a file: each is written as it is stored there, and its stored form is
/// read and written again unchanged. Names every entry that differs.
pub fn check(file: &str, entries: &[Entry]) {
    if std::env::var(UPDATE_VARIABLE).is_ok_and(|value| value == "1") {
        write(file, entries);
    }
    let stored = read(file);
    let names: Vec<&str> = stored.iter().map(|(name, _)| name.as_str()).collect();
    let expected: Vec<&str> = entries.iter().map(|entry| entry.name).collect();
    assert_eq!(expected, names, "the entries of {file}");
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

fn compare(entry: &Entry, stored: &str) -> Option<String> {
    let name = entry.name;
    if entry.written != stored {
        return Some(format!(
            "{name} is written as\n  {}\nnot as\n  {stored}",
            entry.written
        ));
    }
    match (entry.rewrite)(stored) {
        Ok(again) if again == stored => None,
        Ok(again) => Some(format!(
            "{name} is read and written as\n  {again}\nnot as\n  {stored}"
        )),
        Err(problem) => Some(format!("{name}: {problem}; it is stored as\n  {stored}")),
    }
}

fn write(file: &str, entries: &[Entry]) {
    let line = |entry: &Entry| format!("{} {}\n", entry.name, entry.written);
    let text: String = entries.iter().map(line).collect();
    fs::write(path(file), text).unwrap_or_else(|error| panic!("{file}: {error}"));
}

fn path(file: &str) -> PathBuf {
    PathBuf::from(std::env::var("CARGO_MANIFEST_DIR").expect("cargo sets it"))
        .join("tests/data")
        .join(file)
}
