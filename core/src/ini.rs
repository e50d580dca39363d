//! INI files: parsing, and typed access to a section's values.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// An error in a settings or service file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IniError {
    /// The text is not valid INI.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What the parser expected.
        message: String,
    },
    /// A key appears before the first section.
    #[error("key \"{key}\" appears before the first section")]
    KeyOutsideSection {
        /// The key.
        key: String,
    },
    /// A section appears twice.
    #[error("section [{section}] appears twice")]
    DuplicateSection {
        /// The section.
        section: String,
    },
    /// A key appears twice in one section.
    #[error("key \"{key}\" appears twice in section [{section}]")]
    DuplicateKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// Unknown section.
    #[error("section [{section}] is not known; expected {expected}")]
    UnknownSection {
        /// The section.
        section: String,
        /// Allowed sections.
        expected: String,
    },
    /// Missing section.
    #[error("section [{section}] is missing")]
    MissingSection {
        /// The section.
        section: String,
    },
    /// Unknown key.
    #[error("key \"{key}\" is not known in section [{section}]")]
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// Missing key.
    #[error("key \"{key}\" is missing in section [{section}]")]
    MissingKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// Invalid value.
    #[error("key \"{key}\" in section [{section}] cannot be \"{value}\": {reason}")]
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Why the value is invalid.
        reason: String,
    },
}

/// The keys and values of one section, ordered by key.
pub type Keys = BTreeMap<String, String>;

/// Sections of an INI file. Clones share sections until they are replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document {
    sections: BTreeMap<String, Arc<Keys>>,
}

impl Document {
    /// Parses `text`; fails on invalid INI, duplicates, and keys outside sections.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let opt = ini::ParseOption { enabled_escape: false, ..ini::ParseOption::default() };
        let ini = ini::Ini::load_from_str_opt(text, opt).map_err(|e| IniError::Syntax {
            line: e.line + 1,
            column: e.col + 1,
            message: e.msg.to_string(),
        })?;
        let mut doc = Self::default();
        for (name, properties) in &ini {
            match name {
                Some(name) => doc.add_section(name.trim(), properties)?,
                None => reject_leading_keys(properties)?,
            }
        }
        Ok(doc)
    }

    fn add_section(&mut self, name: &str, properties: &ini::Properties) -> Result<(), IniError> {
        let mut keys = Keys::new();
        for (key, value) in properties {
            if keys.insert(key.to_owned(), value.to_owned()).is_some() {
                return Err(IniError::DuplicateKey {
                    section: name.to_owned(),
                    key: key.to_owned(),
                });
            }
        }
        match self.sections.insert(name.to_owned(), Arc::new(keys)) {
            Some(_) => Err(IniError::DuplicateSection { section: name.to_owned() }),
            None => Ok(()),
        }
    }

    /// Sections by name.
    pub fn sections(&self) -> &BTreeMap<String, Arc<Keys>> {
        &self.sections
    }

    /// Adds or replaces a section.
    pub fn put(&mut self, name: &str, keys: Keys) {
        self.sections.insert(name.to_owned(), Arc::new(keys));
    }

    /// Whether both documents share section `name` in memory, which implies that it is equal.
    pub fn shares_section(&self, other: &Self, name: &str) -> bool {
        match (self.sections.get(name), other.sections.get(name)) {
            (Some(own), Some(others)) => Arc::ptr_eq(own, others),
            _ => false,
        }
    }

    /// Removes a section, if it exists.
    pub fn remove(&mut self, name: &str) {
        self.sections.remove(name);
    }

    /// Reader of section `name`; fails if that is missing.
    pub fn section(&self, name: &str) -> Result<SectionReader, IniError> {
        let keys = self
            .sections
            .get(name)
            .ok_or_else(|| IniError::MissingSection { section: name.to_owned() })?;
        Ok(SectionReader::new(name, keys))
    }
}

fn reject_leading_keys(properties: &ini::Properties) -> Result<(), IniError> {
    match properties.iter().next() {
        Some((key, _)) => Err(IniError::KeyOutsideSection { key: key.to_owned() }),
        None => Ok(()),
    }
}

/// Reads typed values from one section. [`SectionReader::finish`] rejects keys that were not read.
#[derive(Debug)]
pub struct SectionReader {
    section: String,
    keys: Keys,
}

impl SectionReader {
    /// Creates a reader of `keys` in `section`.
    pub fn new(section: &str, keys: &Keys) -> Self {
        Self { section: section.to_owned(), keys: keys.clone() }
    }

    /// Value of `key`; fails if missing or invalid.
    pub fn required<T>(&mut self, key: &str) -> Result<T, IniError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key)?.ok_or_else(|| IniError::MissingKey {
            section: self.section.clone(),
            key: key.to_owned(),
        })
    }

    /// Value of `key`, or `default` if missing; fails if invalid.
    pub fn value_or<T>(&mut self, key: &str, default: T) -> Result<T, IniError>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(key)?.unwrap_or(default))
    }

    /// Value of `key`, if present; fails if invalid.
    pub fn optional<T>(&mut self, key: &str) -> Result<Option<T>, IniError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(value) = self.keys.remove(key) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(e) => Err(self.bad_value(key, &value, &e.to_string())),
        }
    }

    /// Number at `key`, or `default` if missing; fails outside `range`.
    pub fn number_or(
        &mut self,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Result<u64, IniError> {
        let value = self.value_or(key, default)?;
        if range.contains(&value) {
            return Ok(value);
        }
        let reason = format!("expected {} to {}", range.start(), range.end());
        Err(self.bad_value(key, &value.to_string(), &reason))
    }

    /// Name at `key`; fails if missing or with other characters than lower-case letters, digits and
    /// hyphens.
    pub fn name(&mut self, key: &str) -> Result<String, IniError> {
        let value: String = self.required(key)?;
        if crate::names::is_valid(&value) {
            return Ok(value);
        }
        Err(self.bad_value(key, &value, "expected lower-case letters, digits and hyphens"))
    }

    /// Error for an invalid value of `key`.
    pub fn bad_value(&self, key: &str, value: &str, reason: &str) -> IniError {
        IniError::BadValue {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// Fails if a key has not been read.
    pub fn finish(self) -> Result<(), IniError> {
        match self.keys.into_keys().next() {
            Some(key) => Err(IniError::UnknownKey { section: self.section, key }),
            None => Ok(()),
        }
    }
}
