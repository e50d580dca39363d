//! Service files: what operators say about one service.

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

/// The kind of back end behind a service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceType {
    /// Model engines that write tokens.
    #[default]
    Generation,
    /// Plain servers that answer calls.
    Plain,
}

/// When a generation reaches its caller.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// Token by token.
    #[default]
    Stream,
    /// Only when it is complete; until then it may be run again.
    Whole,
}

/// How much each measure weighs in the decisions for a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Weight of the time a running answer stands still.
    pub stall: f64,
    /// Weight of the tail latency between tokens.
    pub tail_latency: f64,
    /// Weight of preemptions.
    pub preemption: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self { stall: 1.0, tail_latency: 1.0, preemption: 1.0 }
    }
}

/// Bounds of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Requests that may wait for one upstream.
    pub queue_length: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Largest number of tokens of one answer.
    pub max_tokens: u32,
    /// Target time between tokens, in milliseconds.
    pub inter_token_ms: u64,
    /// Target time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest silence of an upstream before its connection is given up, in milliseconds.
    pub silence_ms: u64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindSpec {
    /// Weight in the service record.
    pub weight: f64,
    /// Priority at the engines and in queues; higher goes first.
    pub priority: u8,
    /// When the answer reaches the caller.
    pub delivery: Delivery,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time from arrival to the first token that its callers accept, in milliseconds.
    pub first_token_ms: u64,
}

/// An organisation's part in a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Share of a crowded upstream, relative to other organisations.
    pub share: f64,
    /// SHA-256 digests of bearer keys, in hex.
    pub key_sha256: Vec<String>,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Memory for running answers, in tokens; zero for plain services.
    pub memory_tokens: u64,
    /// Requests it runs at once.
    pub max_running: usize,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it is to get no new work.
    pub leaving: bool,
}

/// The model that the engines of a service are to have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// Bytes that an engine loads from the weight store for it.
    pub weight_bytes: u64,
}

/// A service as published.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// What stands behind it.
    pub service_type: ServiceType,
    /// What the decisions weigh.
    pub objective: Objective,
    /// Its bounds.
    pub limits: Limits,
    /// The model of its engines; without one they keep what they have.
    pub model: Option<ModelSpec>,
    /// Its kinds of request.
    pub kinds: BTreeMap<KindName, KindSpec>,
    /// The organisations that may call it.
    pub organisations: BTreeMap<OrganisationName, Arc<OrganisationSpec>>,
    /// Its upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamSpec>,
}

/// The hex digest of a bearer key, as service files hold it.
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

impl ServiceSpec {
    /// Reads a service file.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        Self::from_document(&Document::parse(text)?)
    }

    /// Checks a document and takes the service out of it.
    pub fn from_document(doc: &Document) -> Result<Self, IniError> {
        Self::from_changed(doc, None)
    }

    /// The same for a changed document; organisations whose sections it shares with the old one
    /// are taken over from the service that the old one held.
    pub fn from_changed(doc: &Document, old: Option<(&Document, &Self)>) -> Result<Self, IniError> {
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
            let shared = old.filter(|(old_doc, _)| doc.shares(old_doc, section));
            let kept = shared.and_then(|(_, old_spec)| old_spec.organisation_of(section));
            match kept {
                Some((name, organisation)) => {
                    spec.organisations.insert(name.clone(), Arc::clone(organisation));
                }
                None => spec.add_section(section, SectionReader::new(section, keys))?,
            }
        }
        spec.check()
    }

    fn organisation_of(
        &self,
        section: &str,
    ) -> Option<(&OrganisationName, &Arc<OrganisationSpec>)> {
        let name = section.strip_prefix("organisation ")?;
        self.organisations.get_key_value(name)
    }

    fn add_section(&mut self, section: &str, reader: SectionReader) -> Result<(), IniError> {
        let (role, name) = section.split_once(' ').unwrap_or((section, ""));
        let named = is_valid(name);
        match role {
            "service" | "objective" | "limits" if name.is_empty() => return Ok(()),
            "kind" if named => {
                let kind = parse_kind(reader, self.limits.first_token_ms)?;
                self.kinds.insert(KindName::from(name), kind);
            }
            "model" if named => self.add_model(section, parse_model(name, reader)?)?,
            "organisation" if named => {
                let organisation = Arc::new(parse_organisation(reader)?);
                self.organisations.insert(OrganisationName::from(name), organisation);
            }
            "upstream" if named => {
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
        for (role, missing) in [
            ("kind", self.kinds.is_empty()),
            ("organisation", self.organisations.is_empty()),
            ("upstream", self.upstreams.is_empty()),
        ] {
            if missing {
                return Err(IniError::MissingSection { section: format!("{role} NAME") });
            }
        }
        Ok(self)
    }
}

/// Largest weights of one version: 16 TiB.
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

fn reader_or_empty(doc: &Document, name: &str) -> SectionReader {
    let empty = BTreeMap::new();
    SectionReader::new(name, doc.sections().get(name).map_or(&empty, |keys| keys))
}

fn weight(reader: &mut SectionReader, key: &str, default: f64) -> Result<f64, IniError> {
    let value = reader.or(key, default)?;
    if value.is_finite() && (0.0..=1000.0).contains(&value) {
        return Ok(value);
    }
    Err(reader.bad_value(key, &value.to_string(), "expected 0 to 1000"))
}

fn parse_objective(doc: &Document) -> Result<Objective, IniError> {
    let mut reader = reader_or_empty(doc, "objective");
    let objective = Objective {
        stall: weight(&mut reader, "stall", 1.0)?,
        tail_latency: weight(&mut reader, "tail_latency", 1.0)?,
        preemption: weight(&mut reader, "preemption", 1.0)?,
    };
    reader.finish()?;
    Ok(objective)
}

fn parse_limits(doc: &Document) -> Result<Limits, IniError> {
    let mut reader = reader_or_empty(doc, "limits");
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
        weight: weight(&mut reader, "weight", 1.0)?,
        priority: reader.number_or("priority", 5, 0..=9)? as u8,
        delivery: reader.or("delivery", Delivery::Stream)?,
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
    let share = weight(&mut reader, "share", 1.0)?;
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
        checks_fencing: reader.or("checks_fencing", false)?,
        leaving: reader.or("leaving", false)?,
    };
    reader.finish()?;
    Ok(spec)
}
