//! Deployments for the demo and the tests, modelled on the first two users, and their bundles.

use std::fmt::Write as _;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use stoatjunction_standin::engine::EngineSettings;

/// An upstream of a layout.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Name.
    pub name: String,
    /// Service that it belongs to.
    pub service: &'static str,
    /// Data centre.
    pub dc: String,
    /// Role; `plain` for a plain service.
    pub role: &'static str,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Behaviour of the emulated engine, and the rates and cache size given in the bundle.
    pub engine: EngineSettings,
}

impl Default for UpstreamPlan {
    fn default() -> Self {
        UpstreamPlan {
            name: "upstream".to_owned(),
            service: "assistant",
            dc: "dc1".to_owned(),
            role: "large",
            slots: 8,
            engine: EngineSettings::default(),
        }
    }
}

impl UpstreamPlan {
    /// Returns true for a plain service.
    pub fn is_plain(&self) -> bool {
        self.role == "plain"
    }
}

/// A kind of request of a layout.
#[derive(Clone, Copy, Debug)]
pub struct KindPlan {
    /// Service and name in the form `SERVICE.NAME`.
    pub name: &'static str,
    /// Body of its section in the bundle.
    pub settings: &'static str,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data centres.
    pub dcs: Vec<String>,
    /// Number of entry hosts in each data centre.
    pub hosts_per_dc: usize,
    /// Upstreams.
    pub upstreams: Vec<UpstreamPlan>,
    /// Tiers, highest priority first.
    pub tiers: Vec<&'static str>,
    /// Kinds of requests.
    pub kinds: Vec<KindPlan>,
    /// Organisations with their shares.
    pub organisations: Vec<(&'static str, u32)>,
    /// Text appended to the bundle.
    pub extra_bundle_text: String,
}

/// Returns the secret of the credential of `organisation` for `tier`.
pub fn secret(organisation: &str, tier: &str) -> String {
    format!("secret-{organisation}-{tier}")
}

impl Layout {
    /// Returns the bundle of the layout, with the upstream addresses in `addrs` by name.
    pub fn bundle(&self, addrs: &IndexMap<String, String>) -> String {
        let mut text = String::new();
        for (rank, tier) in self.tiers.iter().enumerate() {
            let _ = writeln!(text, "[tier {tier}]\nrank = {rank}\n");
        }
        let mut services: Vec<&str> = self.upstreams.iter().map(|u| u.service).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let _ = writeln!(text, "[service {service}]\nshard-size = 64\n");
        }
        for kind in &self.kinds {
            let _ = writeln!(text, "[kind {}]\n{}\n", kind.name, kind.settings);
        }
        for u in &self.upstreams {
            self.write_upstream(&mut text, u, addrs.get(&u.name).map_or("", String::as_str));
        }
        for (organisation, share) in &self.organisations {
            let _ = writeln!(text, "[organisation {organisation}]\nshare = {share}\n");
            for tier in &self.tiers {
                let hash = hex::encode(Sha256::digest(secret(organisation, tier)));
                let _ = writeln!(
                    text,
                    "[credential {organisation}-{tier}]\norganisation = {organisation}\n\
                     tier = {tier}\nsha256 = {hash}\n"
                );
            }
        }
        text.push_str(&self.extra_bundle_text);
        text
    }

    fn write_upstream(&self, text: &mut String, u: &UpstreamPlan, addr: &str) {
        let protocol = if u.is_plain() { "plain" } else { "engine" };
        let _ = writeln!(
            text,
            "[upstream {}]\nservice = {}\ndc = {}\naddr = {addr}\nrole = {}\nslots = {}\n\
             protocol = {protocol}\nprefill-rate = {}\ndecode-rate = {}\ncache-tokens = {}\n",
            u.name,
            u.service,
            u.dc,
            u.role,
            u.slots,
            u.engine.prefill_rate,
            u.engine.decode_rate,
            u.engine.cache_tokens,
        );
    }
}

/// Engine settings of four hardware generations: role, slots, prefill rate and decode rate in
/// tokens per second, and cache size in tokens.
const HARDWARE_GENERATIONS: [(&str, u32, f64, f64, u32); 4] = [
    ("large", 16, 16_000.0, 60.0, 200_000),
    ("large", 12, 9_000.0, 45.0, 120_000),
    ("small", 8, 5_000.0, 35.0, 60_000),
    ("small", 4, 2_500.0, 22.0, 30_000),
];

fn engine_upstreams(service: &'static str, dcs: &[String], count: usize) -> Vec<UpstreamPlan> {
    (0..count)
        .map(|i| {
            let (role, slots, prefill_rate, decode_rate, cache_tokens) =
                HARDWARE_GENERATIONS[i % 4];
            let engine = EngineSettings {
                prefill_rate,
                decode_rate,
                cache_tokens,
                ..EngineSettings::default()
            };
            let dc = dcs[i % dcs.len()].clone();
            UpstreamPlan {
                name: format!("worker-{i}"),
                service,
                dc,
                role,
                slots,
                engine,
            }
        })
        .collect()
}

fn plain_upstreams(service: &'static str, dcs: &[String], count: usize) -> Vec<UpstreamPlan> {
    (0..count)
        .map(|i| UpstreamPlan {
            name: format!("{service}-{i}"),
            service,
            dc: dcs[i % dcs.len()].clone(),
            role: "plain",
            ..UpstreamPlan::default()
        })
        .collect()
}

/// Returns the layout of the Cooperativa de Telefonía Empresarial Andina.
pub fn andina() -> Layout {
    let dcs: Vec<String> = ["lima", "callao", "ica", "chincha"]
        .map(str::to_owned)
        .to_vec();
    let mut upstreams = engine_upstreams("assistant", &dcs, 12);
    upstreams.extend(plain_upstreams("lines", &dcs, 4));
    Layout {
        hosts_per_dc: 2,
        upstreams,
        tiers: vec!["voice", "staff", "summary", "batch"],
        kinds: vec![
            KindPlan {
                name: "assistant.voice",
                settings: "deadline-ms = 8000\nmax-deadline-ms = 30000\noutput-hint = 60",
            },
            KindPlan {
                name: "assistant.summary",
                settings: "deadline-ms = 30000\nmax-deadline-ms = 120000\noutput-hint = 300\n\
                           roles = large",
            },
            KindPlan {
                name: "assistant.tag",
                settings: "deadline-ms = 20000\nmax-deadline-ms = 60000\noutput-hint = 6",
            },
            KindPlan {
                name: "lines.port",
                settings: "idempotent = false\nkey = required\ndeadline-ms = 10000",
            },
            KindPlan {
                name: "lines.status",
                settings: "deadline-ms = 5000",
            },
        ],
        organisations: vec![("quipu", 4), ("tambo", 1), ("puna", 1)],
        dcs,
        extra_bundle_text: String::new(),
    }
}

/// Returns the layout of Hollinshead & Daughters.
pub fn hollinshead() -> Layout {
    let dcs: Vec<String> = ["walsall", "dudley", "wolverhampton"]
        .map(str::to_owned)
        .to_vec();
    let mut upstreams = engine_upstreams("assistant", &dcs, 12);
    upstreams.extend(plain_upstreams("bookings", &dcs, 3));
    Layout {
        hosts_per_dc: 2,
        upstreams,
        tiers: vec!["customers", "vans", "workshop", "batch"],
        kinds: vec![
            KindPlan {
                name: "assistant.history",
                settings: "deadline-ms = 40000\nmax-deadline-ms = 120000\noutput-hint = 300\n\
                           roles = large",
            },
            KindPlan {
                name: "assistant.note",
                settings: "deadline-ms = 15000\nmax-deadline-ms = 60000\noutput-hint = 80",
            },
            KindPlan {
                name: "assistant.part",
                settings: "deadline-ms = 10000\nmax-deadline-ms = 60000\noutput-hint = 5",
            },
            KindPlan {
                name: "bookings.visit",
                settings: "idempotent = false\nkey = required\ndeadline-ms = 10000",
            },
        ],
        organisations: vec![("walsall-shop", 2), ("dudley-shop", 1)],
        dcs,
        extra_bundle_text: String::new(),
    }
}
