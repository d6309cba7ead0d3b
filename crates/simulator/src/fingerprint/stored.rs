//! The text format of stored digests: the name of a run and its digest on each line.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_128;

/// Error for a line that is not a name and a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line} is not a name and a digest")]
pub struct ParseError {
    line: usize,
}

/// Digests by the names of their runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredDigests(BTreeMap<String, u128>);

/// Name on the line with the digest of all digests.
const COMBINED_NAME: &str = "all";

impl StoredDigests {
    /// Adds the digest of a run.
    pub fn insert(&mut self, name: &str, digest: u128) {
        self.0.insert(name.to_owned(), digest);
    }

    /// The digest of all digests, in the order of their names.
    pub fn combined(&self) -> u128 {
        xxh3_128(self.lines().as_bytes())
    }

    /// Names of the runs whose digest in `other` is missing or different.
    pub fn differing<'a>(&'a self, other: &Self) -> Vec<&'a str> {
        let differs = |(name, digest): &(&String, &u128)| other.0.get(*name) != Some(*digest);
        self.0
            .iter()
            .filter(differs)
            .map(|(name, _)| name.as_str())
            .collect()
    }

    fn lines(&self) -> String {
        self.0
            .iter()
            .map(|(name, digest)| format!("{name} {digest:032x}\n"))
            .collect()
    }
}

impl fmt::Display for StoredDigests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}{COMBINED_NAME} {:032x}",
            self.lines(),
            self.combined()
        )
    }
}

impl FromStr for StoredDigests {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let mut digests = StoredDigests::default();
        for (index, line) in text.lines().enumerate() {
            let error = ParseError { line: index + 1 };
            let (name, digest) = line.split_once(' ').ok_or(error.clone())?;
            let digest = u128::from_str_radix(digest, 16).map_err(|_| error)?;
            if name != COMBINED_NAME {
                digests.insert(name, digest);
            }
        }
        Ok(digests)
    }
}
