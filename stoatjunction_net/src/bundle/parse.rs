//! Parser of bundles in INI, which reports all errors together.

use stoatjunction_core::id::Tier;
use stoatjunction_core::shard::UpstreamSpec;
use stoatjunction_core::time::Span;

use super::model::{Bundle, Credential, Kind, Limits, Organisation, Protocol, Service, Upstream};
use crate::ini::{Document, IniErrors, Section};

/// Largest number of roles in a bundle, limited by the bit sets of the scheduler.
const MAX_ROLES: usize = 64;
/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Default output hint for a kind served by engines, in tokens.
const ENGINE_OUTPUT_HINT: u32 = 128;
/// Default output hint for a kind served by plain upstreams, in tokens; their responses arrive whole.
const PLAIN_OUTPUT_HINT: u32 = 1;
/// Length of a SHA-256 hash in hexadecimal.
const SHA256_HEX_LEN: usize = 64;

/// Parses and validates the bundle `text`; `file` is its name in errors.
///
/// # Errors
///
/// [`IniErrors`] with every error found.
pub fn parse(file: &str, text: &str) -> Result<Bundle, IniErrors> {
    let mut doc = Document::parse(file, text)?;
    let mut bundle = Bundle::default();
    read_limits(&mut doc, &mut bundle);
    read_tiers(&mut doc, &mut bundle);
    read_services(&mut doc, &mut bundle);
    read_upstreams(&mut doc, &mut bundle);
    read_kinds(&mut doc, &mut bundle);
    read_organisations(&mut doc, &mut bundle);
    read_credentials(&mut doc, &mut bundle);
    doc.finish()?;
    Ok(bundle)
}

fn read_limits(doc: &mut Document, bundle: &mut Bundle) {
    let mut s = doc.take_section("limits");
    let defaults = Limits::default();
    let max_body = doc.number(&mut s, "max-body-bytes", 1..=64 << 20, defaults.max_body);
    let max_kept = doc.number(
        &mut s,
        "max-kept-answer-bytes",
        0..=262_144,
        defaults.max_kept_answer,
    );
    let ttl = doc.number(
        &mut s,
        "claim-ttl-s",
        60..=31_536_000,
        defaults.claim_ttl.0 / 1_000_000,
    );
    bundle.limits = Limits {
        max_body,
        max_kept_answer: max_kept,
        claim_ttl: Span::from_millis(ttl * 1_000),
    };
    doc.check_unknown_keys(&s);
}

fn read_tiers(doc: &mut Document, bundle: &mut Bundle) {
    for mut s in doc.take_sections("tier") {
        let name = section_label(doc, &s);
        let rank = doc.number(&mut s, "rank", 0..=15u8, u8::MAX);
        if rank == u8::MAX {
            doc.add_error(&s, "rank", "the key is missing or empty");
        }
        if bundle.tiers.values().any(|t| t.0 == rank) {
            doc.add_error(&s, "rank", "another tier has this rank");
        }
        bundle.tiers.insert(name, Tier(rank));
        doc.check_unknown_keys(&s);
    }
}

fn read_services(doc: &mut Document, bundle: &mut Bundle) {
    for mut s in doc.take_sections("service") {
        let name = section_label(doc, &s);
        let shard_size = doc.number(&mut s, "shard-size", 1..=256, 64);
        bundle.services.insert(name, Service { shard_size });
        doc.check_unknown_keys(&s);
    }
}

fn read_upstreams(doc: &mut Document, bundle: &mut Bundle) {
    for mut s in doc.take_sections("upstream") {
        let name = section_label(doc, &s);
        let service = doc.required(&mut s, "service");
        if !service.is_empty() && !bundle.services.contains_key(&service) {
            doc.add_error(&s, "service", format!("no section [service {service}]"));
        }
        let spec = UpstreamSpec {
            name: name.clone(),
            role: doc.text(&mut s, "role").unwrap_or_else(|| "any".to_owned()),
            slots: doc.number(&mut s, "slots", 1..=4_096, 8),
            prefill_rate: doc.number(&mut s, "prefill-rate", 1.0..=1e7, 4_000.0),
            decode_rate: doc.number(&mut s, "decode-rate", 0.1..=1e5, 30.0),
            cache_tokens: doc.number(&mut s, "cache-tokens", 0..=1 << 30, 0),
        };
        let upstream = Upstream {
            service,
            dc: doc.required(&mut s, "dc"),
            addr: doc.address(&mut s, "addr"),
            protocol: protocol(doc, &mut s),
            checks_fencing: doc.flag(&mut s, "checks-fencing", false),
            spec,
        };
        if bundle.upstreams.values().any(|u| u.addr == upstream.addr) {
            doc.add_error(&s, "addr", "another upstream has this address");
        }
        bundle.upstreams.insert(name, upstream);
        doc.check_unknown_keys(&s);
    }
}

fn protocol(doc: &mut Document, s: &mut Section) -> Protocol {
    match doc.text(s, "protocol").as_deref() {
        None | Some("engine") => Protocol::Engine,
        Some("plain") => Protocol::Plain,
        Some(other) => {
            doc.add_error(
                s,
                "protocol",
                format!("`{other}` is neither `engine` nor `plain`"),
            );
            Protocol::Engine
        }
    }
}

fn read_kinds(doc: &mut Document, bundle: &mut Bundle) {
    let mut roles: Vec<String> = Vec::new();
    for mut s in doc.take_sections("kind") {
        let full_name = section_label(doc, &s);
        let Some((service, name)) = full_name.split_once('.') else {
            doc.add_error(&s, "", "the section must be named [kind SERVICE.NAME]");
            continue;
        };
        if !bundle.services.contains_key(service) {
            doc.add_error(&s, "", format!("no section [service {service}]"));
        }
        let mut of_service = bundle.upstreams.values().filter(|u| u.service == service);
        let all_plain = of_service.all(|u| u.protocol == Protocol::Plain);
        let kind = read_kind(
            doc,
            &mut s,
            if all_plain {
                PLAIN_OUTPUT_HINT
            } else {
                ENGINE_OUTPUT_HINT
            },
        );
        check_roles(doc, &s, service, &kind, bundle);
        roles.extend(kind.roles.iter().cloned());
        bundle
            .kinds
            .insert((service.to_owned(), name.to_owned()), kind);
        doc.check_unknown_keys(&s);
    }
    roles.sort();
    roles.dedup();
    if roles.len() > MAX_ROLES {
        let top = doc.take_section("");
        doc.add_error(&top, "", format!("more than {MAX_ROLES} roles"));
    }
}

fn read_kind(doc: &mut Document, s: &mut Section, output_hint: u32) -> Kind {
    let idempotent = doc.flag(s, "idempotent", true);
    let cancellable = doc.flag(s, "cancellable", idempotent);
    let deadline = doc.number(s, "deadline-ms", 1..=MAX_DEADLINE_MS, 30_000);
    let max = doc.number(s, "max-deadline-ms", 1..=MAX_DEADLINE_MS, deadline);
    if max < deadline {
        doc.add_error(s, "max-deadline-ms", "must not be below deadline-ms");
    }
    if !idempotent && cancellable {
        doc.add_error(
            s,
            "cancellable",
            "a kind that is not idempotent cannot be cancellable",
        );
    }
    match (idempotent, doc.text(s, "key").as_deref()) {
        (true, None) | (false, Some("required")) => {}
        (false, _) => doc.add_error(
            s,
            "key",
            "a kind that is not idempotent needs `key = required`",
        ),
        (true, Some(_)) => doc.add_error(s, "key", "an idempotent kind takes no key"),
    }
    Kind {
        idempotent,
        cancellable,
        deadline: Span::from_millis(deadline),
        max_deadline: Span::from_millis(max),
        output_hint: doc.number(s, "output-hint", 1..=1_000_000, output_hint),
        roles: doc.list(s, "roles"),
    }
}

fn check_roles(doc: &mut Document, s: &Section, service: &str, kind: &Kind, bundle: &Bundle) {
    let serves = |role: Option<&String>| {
        let mut of_service = bundle.upstreams.values().filter(|u| u.service == service);
        of_service.any(|u| role.is_none_or(|r| u.spec.role == *r))
    };
    if kind.roles.is_empty() && !serves(None) {
        doc.add_error(s, "", "no upstream serves this kind");
    }
    for role in &kind.roles {
        if !serves(Some(role)) {
            doc.add_error(
                s,
                "roles",
                format!("no upstream of {service} has the role `{role}`"),
            );
        }
    }
}

fn read_organisations(doc: &mut Document, bundle: &mut Bundle) {
    for mut s in doc.take_sections("organisation") {
        let name = section_label(doc, &s);
        let share = doc.number(&mut s, "share", 1..=1_000, 1);
        bundle.organisations.insert(name, Organisation { share });
        doc.check_unknown_keys(&s);
    }
}

fn read_credentials(doc: &mut Document, bundle: &mut Bundle) {
    for mut s in doc.take_sections("credential") {
        let name = section_label(doc, &s);
        let organisation = doc.required(&mut s, "organisation");
        if !organisation.is_empty() && !bundle.organisations.contains_key(&organisation) {
            doc.add_error(
                &s,
                "organisation",
                format!("no section [organisation {organisation}]"),
            );
        }
        let tier_name = doc.required(&mut s, "tier");
        let tier = bundle.tiers.get(&tier_name).copied();
        if tier.is_none() && !tier_name.is_empty() {
            doc.add_error(&s, "tier", format!("no section [tier {tier_name}]"));
        }
        let hash = doc.required(&mut s, "sha256").to_ascii_lowercase();
        if !hash.is_empty() && (hash.len() != SHA256_HEX_LEN || hex::decode(&hash).is_err()) {
            doc.add_error(&s, "sha256", "not a SHA-256 hash in hexadecimal");
        }
        let credential = Credential {
            name,
            organisation,
            tier: tier.unwrap_or_default(),
        };
        if bundle.credentials.insert(hash, credential).is_some() {
            doc.add_error(&s, "sha256", "another credential has this secret");
        }
        doc.check_unknown_keys(&s);
    }
}

fn section_label(doc: &mut Document, s: &Section) -> String {
    if s.label().is_empty() {
        doc.add_error(
            s,
            "",
            format!("the section needs a name: [{} NAME]", s.section_type()),
        );
    }
    s.label().to_owned()
}
