//! Parsing, splitting and signing of bundles, and parsing of settings.

use ed25519_dalek::SigningKey;
use stoatjunction_core::id::ShardId;
use stoatjunction_net::bundle::{
    OperatorKeys, Record, RecordError, SignedAction, SignedBundle, join_parts, parse, sha256_hex,
    sign, split_parts,
};
use stoatjunction_net::settings::DaemonSettings;
use yare::parameterized;

const VALID: &str = "\
[tier gold]
rank = 0
[tier batch]
rank = 1
[service assistant]
shard-size = 2
[service orders]
[kind assistant.talk]
roles = large
[kind orders.book]
idempotent = false
key = required
[upstream a]
service = assistant
dc = d1
addr = 127.0.0.1:1001
role = large
[upstream b]
service = orders
dc = d1
addr = 127.0.0.1:1002
protocol = plain
[organisation acme]
[credential acme-gold]
organisation = acme
tier = gold
sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
";

fn key(name: &str) -> SigningKey {
    SigningKey::from_bytes(&[name.as_bytes()[0]; 32])
}

fn keys() -> OperatorKeys {
    ["ana", "berta"]
        .map(|n| (n.to_owned(), key(n).verifying_key()))
        .into_iter()
        .collect()
}

fn signed(text: &str, approver: &str) -> SignedBundle {
    let texts = split_parts(text);
    let parts: Vec<String> = texts.iter().map(|t| sha256_hex(t)).collect();
    let record = Record {
        number: 7,
        proposal: sign(&key("ana"), SignedAction::Propose, 7, &parts, "n"),
        approval: sign(&key(approver), SignedAction::Approve, 7, &parts, "n"),
        parts,
        note: "n".to_owned(),
        proposer: "ana".to_owned(),
        approver: Some(approver.to_owned()),
    };
    SignedBundle {
        record,
        parts: texts,
    }
}

#[test]
fn a_valid_bundle_is_parsed() {
    let bundle = parse("b", VALID).expect("valid");

    assert_eq!(bundle.kinds.len(), 2);
    assert_eq!(
        bundle.credential("secret").map(|c| c.name.as_str()),
        Some("acme-gold")
    );
    assert!(bundle.credential("other").is_none());
}

#[parameterized(
    unknown_key = { "shard-size = 2", "shard-sise = 2", "[service assistant] shard-sise: unknown key" },
    unknown_section = { "[service orders]", "[servise x]\n[service orders]", "[servise x] : unknown section" },
    dangling_service = { "service = assistant", "service = nothing", "no section [service nothing]" },
    dangling_tier = { "tier = gold", "tier = none", "no section [tier none]" },
    dangling_organisation = { "organisation = acme", "organisation = none", "no section [organisation none]" },
    role_without_upstream = { "roles = large", "roles = huge", "no upstream of assistant has the role `huge`" },
    missing_key_policy = { "key = required", "deadline-ms = 5", "needs `key = required`" },
    cancellable_and_not_idempotent = { "key = required", "key = required\ncancellable = true", "cannot be cancellable" },
    duplicate_name = { "[tier batch]", "[tier gold]", "duplicate section" },
    duplicate_rank = { "rank = 1", "rank = 0", "another tier has this rank" },
    duplicate_address = { "127.0.0.1:1002", "127.0.0.1:1001", "another upstream has this address" },
    out_of_range = { "shard-size = 2", "shard-size = 0", "`0` is not a number in 1..=256" },
    bad_address = { "127.0.0.1:1001", "nowhere", "`nowhere` is not an address" },
    bad_hash = { "sha256 = 2b", "sha256 = zz", "not a SHA-256" },
)]
fn an_error_names_section_and_key(from: &str, to: &str, expected: &str) {
    let text = VALID.replacen(from, to, 1);

    let errors = parse("b.ini", &text).expect_err("invalid");

    assert!(errors.lines().contains(expected), "{}", errors.lines());
    assert!(errors.lines().contains("b.ini: ["), "{}", errors.lines());
}

#[test]
fn all_errors_are_reported_together() {
    let text = VALID
        .replace("rank = 1", "rank = x")
        .replace("tier = gold", "tier = none");

    let errors = parse("b", &text).expect_err("invalid");

    assert!(errors.errors.len() >= 3, "{}", errors.lines());
}

#[test]
fn joined_parts_give_the_same_bundle_and_a_change_affects_one_part() {
    let organisations: String = (0..4_000)
        .map(|i| format!("[organisation org-{i}]\nshare = 1\n"))
        .collect();
    let text = format!("{VALID}{organisations}");
    let before = split_parts(&text);
    let after = split_parts(&text.replace(
        "[organisation org-7]\nshare = 1",
        "[organisation org-7]\nshare = 2",
    ));

    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();

    assert_eq!(
        parse("b", &join_parts(&before)).expect("valid"),
        parse("b", &text).expect("valid")
    );
    assert!(before.len() > 2 && before.iter().all(|p| p.len() < 1 << 20));
    assert_eq!(changed, 1);
}

#[test]
fn a_bundle_signed_by_two_operators_is_accepted() {
    let bundle = signed(VALID, "berta")
        .verify_and_parse(&keys())
        .expect("valid");

    assert_eq!(bundle.number, 7);
}

#[derive(Clone, Copy)]
enum Forgery {
    SameOperator,
    UnknownOperator,
    OtherNumber,
    OtherText,
    NoApproval,
}

#[parameterized(
    same_operator = { Forgery::SameOperator },
    unknown_operator = { Forgery::UnknownOperator },
    other_number = { Forgery::OtherNumber },
    other_text = { Forgery::OtherText },
    no_approval = { Forgery::NoApproval },
)]
fn a_forged_bundle_is_rejected(forgery: Forgery) {
    let mut bundle = match forgery {
        Forgery::SameOperator => signed(VALID, "ana"),
        Forgery::UnknownOperator => signed(VALID, "carla"),
        _ => signed(VALID, "berta"),
    };
    match forgery {
        Forgery::OtherNumber => bundle.record.number = 8,
        Forgery::OtherText => bundle.parts[0].push_str("[organisation extra]\n"),
        Forgery::NoApproval => bundle.record.approver = None,
        Forgery::SameOperator | Forgery::UnknownOperator => {}
    }

    let verified: Result<_, RecordError> = bundle.verify_and_parse(&keys());

    assert!(verified.is_err());
}

#[test]
fn every_upstream_belongs_to_one_shard() {
    let more_upstreams: String = (0..9)
        .map(|i| {
            format!(
                "[upstream m{i}]\nservice = assistant\ndc = d1\naddr = 127.0.0.1:{}\n",
                2_000 + i
            )
        })
        .collect();
    let bundle = parse("b", &format!("{VALID}{more_upstreams}")).expect("valid");

    let shards = bundle.shards_of("assistant");
    let assigned: usize = shards
        .iter()
        .map(|s: &ShardId| bundle.upstreams_of(s).len())
        .sum();

    assert_eq!((shards.len(), assigned), (5, 10));
}

const SETTINGS: &str = "\
[host]
name = a
dc = d1
listen = 127.0.0.1:1
admin = 127.0.0.1:2
admin-token = 0123456789abcdef
[platform]
object-api = 127.0.0.1:3
[links]
seeds = 127.0.0.1:4, 127.0.0.1:5
[operators]
ana = 197f6b23e16c8532c6abc838facd5ea789be0c76b2920334039bfa8b3d368d61
berta = 197f6b23e16c8532c6abc838facd5ea789be0c76b2920334039bfa8b3d368d61
";

#[parameterized(
    missing_name = { "name = a", "", "[host] name: the key is missing" },
    unknown_key = { "dc = d1", "dc = d1\ncolour = red", "[host] colour: unknown key" },
    short_token = { "0123456789abcdef", "short", "shorter than 16" },
    same_addresses = { "127.0.0.1:2", "127.0.0.1:1", "must differ from listen" },
    bad_seed = { "127.0.0.1:5", "there", "`there` is not an address" },
    heartbeat_too_long = { "seeds", "heartbeat-ms = 900\nseeds", "must be at least twice heartbeat-ms" },
    one_operator = { "berta = 197f6b23e16c8532c6abc838facd5ea789be0c76b2920334039bfa8b3d368d61", "", "two operators" },
    bad_key = { "ana = 19", "ana = zz", "not a public key" },
)]
fn an_invalid_setting_is_named(from: &str, to: &str, expected: &str) {
    DaemonSettings::parse("s", SETTINGS).expect("valid");

    let errors =
        DaemonSettings::parse("s.ini", &SETTINGS.replacen(from, to, 1)).expect_err("invalid");

    assert!(errors.lines().contains(expected), "{}", errors.lines());
}
