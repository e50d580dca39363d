//! Service files, in which operators define a service.

use crate::ini::{Document, IniError, SectionReader};
use crate::names::{
    FailureDomain, KindName, OrganisationName, ServiceName, UpstreamName, is_valid,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use strum::{Display, EnumString};

/// Type of a service's upstreams.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceType {
    /// Model engines that generate tokens.
    #[default]
    Generation,
    /// Plain HTTP servers that handle calls.
    Plain,
}

/// How a generation is delivered.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// Token by token.
    #[default]
    Stream,
    /// Only once it is complete; until then it may be run again.
    Whole,
}

/// Weights of measures in decisions for a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Weight of the time for which running generations stall.
    pub stall: f64,
    /// Weight of the tail of latency between tokens.
    pub tail_latency: f64,
    /// Weight of preemptions.
    pub preemption: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { stall: 1.0, tail_latency: 1.0, preemption: 1.0 }
    }
}

/// Limits and latency targets of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum requests waiting for one upstream.
    pub queue_length: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum tokens per generation.
    pub max_tokens: u32,
    /// Target time between tokens, in milliseconds.
    pub inter_token_ms: u64,
    /// Target time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time without data after which an upstream's connection is closed, in milliseconds.
    pub silence_ms: u64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Weight of this kind in the service record.
    pub weight: f64,
    /// Priority in engines and queues, 0 to 9; higher is served first.
    pub priority: u8,
    /// How responses are delivered.
    pub delivery: Delivery,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Time from arrival to the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// Longest accepted time from arrival to the first token, in milliseconds.
    pub first_token_ms: u64,
}

/// An organisation's access to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Share of a contended upstream, relative to other organisations.
    pub share: f64,
    /// SHA-256 digests of bearer keys, in hex.
    pub key_sha256: Vec<String>,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Memory for running generations, in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Maximum concurrent requests.
    pub max_running: usize,
    /// Whether it rejects orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it is being removed and gets no new requests.
    pub leaving: bool,
}

/// Model that a service's engines must load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Model name.
    pub name: String,
    /// Model version.
    pub version: String,
    /// Bytes that an engine loads from the weight store for this version.
    pub weight_bytes: u64,
}

/// A service as published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Service name.
    pub name: ServiceName,
    /// Type of the upstreams.
    pub service_type: ServiceType,
    /// Weights for decisions.
    pub objective: Objective,
    /// Limits and latency targets.
    pub limits: Limits,
    /// Model of the engines; `None` if they keep the one that they have.
    pub model: Option<ModelSpec>,
    /// Kinds of request; at least one.
    pub kinds: BTreeMap<KindName, KindSpec>,
    /// Organisations that may call the service; at least one.
    pub organisations: BTreeMap<OrganisationName, Arc<OrganisationSpec>>,
    /// Upstreams; at least one.
    pub upstreams: BTreeMap<UpstreamName, UpstreamSpec>,
}

/// SHA-256 digest of a bearer key in hex, as in service files.
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

impl ServiceSpec {
    /// Parses and validates a service file.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        Self::from_document(&Document::parse(text)?)
    }

    /// Validates a document and returns its service.
    pub fn from_document(doc: &Document) -> Result<Self, IniError> {
        Self::from_document_reusing(doc, None)
    }

    /// Like `from_document`, but reuses an old version's organisations if `doc` shares their
    /// sections with the old document.
    pub fn from_document_reusing(
        doc: &Document,
        old: Option<(&Document, &Self)>,
    ) -> Result<Self, IniError> {
        let mut section = doc.section("service")?;
        let name = section.name("name")?;
        let service_type = section.required("type")?;
        section.finish()?;
        let mut spec = Self {
            name: ServiceName::from(name),
            service_type,
            objective: parse_objective(doc)?,
            limits: parse_limits(doc)?,
            model: None,
            kinds: BTreeMap::new(),
            organisations: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        };
        for (section, keys) in doc.sections() {
            let shared = old.filter(|(old_doc, _)| doc.shares_section(old_doc, section));
            let reused = shared.and_then(|(_, old_spec)| old_spec.organisation_in(section));
            match reused {
                Some((name, organisation)) => {
                    spec.organisations.insert(name.clone(), Arc::clone(organisation));
                }
                None => spec.add_section(section, SectionReader::new(section, keys))?,
            }
        }
        spec.check()
    }

    fn organisation_in(
        &self,
        section: &str,
    ) -> Option<(&OrganisationName, &Arc<OrganisationSpec>)> {
        let name = section.strip_prefix("organisation ")?;
        self.organisations.get_key_value(name)
    }

    fn add_section(&mut self, section: &str, reader: SectionReader) -> Result<(), IniError> {
        let (section_type, name) = section.split_once(' ').unwrap_or((section, ""));
        let has_valid_name = is_valid(name);
        match section_type {
            "service" | "objective" | "limits" if name.is_empty() => return Ok(()),
            "kind" if has_valid_name => {
                let kind = parse_kind(reader, self.limits.first_token_ms)?;
                self.kinds.insert(KindName::from(name), kind);
            }
            "model" if has_valid_name => self.add_model(section, parse_model(name, reader)?)?,
            "organisation" if has_valid_name => {
                let organisation = Arc::new(parse_organisation(reader)?);
                self.organisations.insert(OrganisationName::from(name), organisation);
            }
            "upstream" if has_valid_name => {
                let spec = parse_upstream(reader, self.service_type)?;
                self.upstreams.insert(UpstreamName::from(name), spec);
            }
            _ => return Err(unknown_section(section)),
        }
        Ok(())
    }

    fn add_model(&mut self, section: &str, model: ModelSpec) -> Result<(), IniError> {
        match self.model.replace(model) {
            Some(_) => Err(IniError::UnknownSection {
                section: section.to_owned(),
                expected: "one section [model NAME]".to_owned(),
            }),
            None => Ok(()),
        }
    }

    fn check(self) -> Result<Self, IniError> {
        for (section_type, is_missing) in [
            ("kind", self.kinds.is_empty()),
            ("organisation", self.organisations.is_empty()),
            ("upstream", self.upstreams.is_empty()),
        ] {
            if is_missing {
                return Err(IniError::MissingSection { section: format!("{section_type} NAME") });
            }
        }
        Ok(self)
    }
}

/// Maximum weight size of a model version: 16 TiB.
const MAX_WEIGHT_BYTES: u64 = 1 << 44;

fn unknown_section(section: &str) -> IniError {
    IniError::UnknownSection {
        section: section.to_owned(),
        expected: "[service], [objective], [limits], [model NAME], [kind NAME], \
                   [organisation NAME] or \
                   [upstream NAME]"
            .to_owned(),
    }
}

fn optional_section(doc: &Document, name: &str) -> SectionReader {
    let empty = BTreeMap::new();
    SectionReader::new(name, doc.sections().get(name).map_or(&empty, |keys| keys))
}

fn parse_weight(reader: &mut SectionReader, key: &str, default: f64) -> Result<f64, IniError> {
    let value = reader.value_or(key, default)?;
    if value.is_finite() && (0.0..=1000.0).contains(&value) {
        return Ok(value);
    }
    Err(reader.bad_value(key, &value.to_string(), "expected 0 to 1000"))
}

fn parse_objective(doc: &Document) -> Result<Objective, IniError> {
    let mut reader = optional_section(doc, "objective");
    let objective = Objective {
        stall: parse_weight(&mut reader, "stall", 1.0)?,
        tail_latency: parse_weight(&mut reader, "tail_latency", 1.0)?,
        preemption: parse_weight(&mut reader, "preemption", 1.0)?,
    };
    reader.finish()?;
    Ok(objective)
}

fn parse_limits(doc: &Document) -> Result<Limits, IniError> {
    let mut reader = optional_section(doc, "limits");
    let limits = Limits {
        queue_length: reader.number_or("queue_length", 200, 0..=100_000)? as usize,
        body_bytes: reader.number_or("body_bytes", 262_144, 1..=16_777_216)? as usize,
        max_tokens: reader.number_or("max_tokens", 65_536, 1..=1_000_000)? as u32,
        inter_token_ms: reader.number_or("inter_token_ms", 56, 1..=10_000)?,
        first_token_ms: reader.number_or("first_token_ms", 1_800, 1..=600_000)?,
        silence_ms: reader.number_or("silence_ms", 2_000, 50..=600_000)?,
    };
    reader.finish()?;
    Ok(limits)
}

fn parse_kind(
    mut reader: SectionReader,
    default_first_token_ms: u64,
) -> Result<KindSpec, IniError> {
    let spec = KindSpec {
        weight: parse_weight(&mut reader, "weight", 1.0)?,
        priority: reader.number_or("priority", 5, 0..=9)? as u8,
        delivery: reader.value_or("delivery", Delivery::Stream)?,
        idempotent: reader.required("idempotent")?,
        deadline_ms: reader.number_or("deadline_ms", 60_000, 1..=86_400_000)?,
        first_token_ms: reader.number_or(
            "first_token_ms",
            default_first_token_ms,
            1..=86_400_000,
        )?,
    };
    reader.finish()?;
    Ok(spec)
}

fn parse_model(name: &str, mut reader: SectionReader) -> Result<ModelSpec, IniError> {
    let model = ModelSpec {
        name: name.to_owned(),
        version: reader.name("version")?,
        weight_bytes: reader.number_or("weight_bytes", 0, 0..=MAX_WEIGHT_BYTES)?,
    };
    reader.finish()?;
    Ok(model)
}

fn parse_organisation(mut reader: SectionReader) -> Result<OrganisationSpec, IniError> {
    let share = parse_weight(&mut reader, "share", 1.0)?;
    if share <= 0.0 {
        return Err(reader.bad_value("share", &share.to_string(), "expected more than 0"));
    }
    let digests: String = reader.required("key_sha256")?;
    let key_sha256: Vec<_> = digests.split_whitespace().map(str::to_ascii_lowercase).collect();
    let is_digest = |d: &String| d.len() == 64 && d.bytes().all(|b| b.is_ascii_hexdigit());
    if key_sha256.is_empty() || !key_sha256.iter().all(is_digest) {
        return Err(reader.bad_value("key_sha256", &digests, "expected 64 hex digits each"));
    }
    reader.finish()?;
    Ok(OrganisationSpec { share, key_sha256 })
}

fn parse_upstream(
    mut reader: SectionReader,
    service_type: ServiceType,
) -> Result<UpstreamSpec, IniError> {
    let memory_tokens = reader.number_or("memory_tokens", 0, 0..=1_000_000_000)?;
    if service_type == ServiceType::Generation && memory_tokens == 0 {
        return Err(reader.bad_value("memory_tokens", "0", "an engine needs memory"));
    }
    let spec = UpstreamSpec {
        address: reader.required("address")?,
        failure_domain: FailureDomain::from(reader.name("failure_domain")?),
        memory_tokens,
        max_running: reader.number_or("max_running", 256, 1..=100_000)? as usize,
        checks_fencing: reader.value_or("checks_fencing", false)?,
        leaving: reader.value_or("leaving", false)?,
    };
    reader.finish()?;
    Ok(spec)
}
