//! Reads INI text into sections and takes checked values out of them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// What is wrong with a settings or service file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IniError {
    /// The text is not INI.
    #[error("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What the reader expected.
        message: String,
    },
    /// A key stands before the first section.
    #[error("key \"{key}\" stands before the first section")]
    NoSection {
        /// The key.
        key: String,
    },
    /// A section stands twice.
    #[error("section [{section}] stands twice")]
    RepeatedSection {
        /// The section.
        section: String,
    },
    /// A key stands twice in one section.
    #[error("key \"{key}\" stands twice in section [{section}]")]
    RepeatedKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A section is not known.
    #[error("section [{section}] is not known; expected {expected}")]
    UnknownSection {
        /// The section.
        section: String,
        /// The sections that are known.
        expected: String,
    },
    /// A section is missing.
    #[error("section [{section}] is missing")]
    MissingSection {
        /// The section.
        section: String,
    },
    /// A key is not known.
    #[error("key \"{key}\" is not known in section [{section}]")]
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A key is missing.
    #[error("key \"{key}\" is missing in section [{section}]")]
    MissingKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value cannot be used.
    #[error("key \"{key}\" in section [{section}] cannot be \"{value}\": {reason}")]
    BadValue {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Why it cannot be used.
        reason: String,
    },
}

/// Keys and values of one section, in order of key.
pub type Keys = BTreeMap<String, String>;

/// An INI file as sections by name. Copies share the sections that do not differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document {
    sections: BTreeMap<String, Arc<Keys>>,
}

impl Document {
    /// Reads `text`.
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
                return Err(IniError::RepeatedKey {
                    section: name.to_owned(),
                    key: key.to_owned(),
                });
            }
        }
        match self.sections.insert(name.to_owned(), Arc::new(keys)) {
            Some(_) => Err(IniError::RepeatedSection { section: name.to_owned() }),
            None => Ok(()),
        }
    }

    /// The sections by name.
    pub fn sections(&self) -> &BTreeMap<String, Arc<Keys>> {
        &self.sections
    }

    /// Puts a section in place of the one of the same name.
    pub fn put(&mut self, name: &str, keys: Keys) {
        self.sections.insert(name.to_owned(), Arc::new(keys));
    }

    /// Whether `other` shares the section `name`, so that it cannot differ.
    pub fn shares(&self, other: &Self, name: &str) -> bool {
        match (self.sections.get(name), other.sections.get(name)) {
            (Some(own), Some(others)) => Arc::ptr_eq(own, others),
            _ => false,
        }
    }

    /// Removes a section.
    pub fn remove(&mut self, name: &str) {
        self.sections.remove(name);
    }

    /// Takes the section `name` for reading.
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
        Some((key, _)) => Err(IniError::NoSection { key: key.to_owned() }),
        None => Ok(()),
    }
}

/// Takes values out of one section and refuses those that nobody asked for.
#[derive(Debug)]
pub struct SectionReader {
    section: String,
    keys: Keys,
}

impl SectionReader {
    /// Reads `keys` of the section `section`.
    pub fn new(section: &str, keys: &Keys) -> Self {
        Self { section: section.to_owned(), keys: keys.clone() }
    }

    /// The value of `key`, which must be there.
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

    /// The value of `key`, or `default` when it is not there.
    pub fn or<T>(&mut self, key: &str, default: T) -> Result<T, IniError>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(key)?.unwrap_or(default))
    }

    /// The value of `key`, if it is there.
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

    /// A number of `key` within `range`, or `default` when it is not there.
    pub fn number_or(
        &mut self,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Result<u64, IniError> {
        let value = self.or(key, default)?;
        if range.contains(&value) {
            return Ok(value);
        }
        let reason = format!("expected {} to {}", range.start(), range.end());
        Err(self.bad_value(key, &value.to_string(), &reason))
    }

    /// A name of `key` made of lower-case letters, digits and hyphens.
    pub fn name(&mut self, key: &str) -> Result<String, IniError> {
        let value: String = self.required(key)?;
        if crate::names::is_valid(&value) {
            return Ok(value);
        }
        Err(self.bad_value(key, &value, "expected lower-case letters, digits and hyphens"))
    }

    /// The error for a value of `key` that cannot be used.
    pub fn bad_value(&self, key: &str, value: &str, reason: &str) -> IniError {
        IniError::BadValue {
            section: self.section.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            reason: reason.to_owned(),
        }
    }

    /// Refuses keys that are left.
    pub fn finish(self) -> Result<(), IniError> {
        match self.keys.into_keys().next() {
            Some(key) => Err(IniError::UnknownKey { section: self.section, key }),
            None => Ok(()),
        }
    }
}
