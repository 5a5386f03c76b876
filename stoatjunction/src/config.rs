//! The operator's settings: name, keys, and the addresses of the platform and the daemons.

use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::Duration;

use ed25519_dalek::SigningKey;
use miette::miette;
use stoatjunction_net::bundle::{BundleStore, OperatorKeys};
use stoatjunction_net::ini::Document;
use stoatjunction_net::platform::ObjectApiClient;
use stoatjunction_net::settings::parse_key;

use crate::output::outln;

/// Length of an Ed25519 private key, in bytes.
const PRIVATE_KEY_BYTES: usize = 32;
/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Admin interface of a daemon.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the daemon, such as `lima-0/gateway`.
    pub name: String,
    /// Address as `ip:port`.
    pub addr: String,
}

/// The operator's settings.
#[derive(Debug)]
pub struct Config {
    /// Name of the operator.
    pub operator: String,
    /// Path of the file with the operator's private key.
    pub key_file: Option<String>,
    /// Public keys of all operators, by name.
    pub keys: OperatorKeys,
    /// Address of the Object API.
    pub object_api: String,
    /// Bearer token for the admin interfaces.
    pub admin_token: String,
    /// Admin interfaces of all daemons.
    pub endpoints: Vec<Endpoint>,
}

impl Config {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// A report with all errors, if the file cannot be read or is not valid.
    pub fn load(path: &Path) -> miette::Result<Config> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| miette!("{name}: {e}"))?;
        let mut doc = Document::parse(&name, &text)?;
        let mut s = doc.take_section("operator");
        let operator = doc.required(&mut s, "name");
        let key_file = doc.text(&mut s, "key-file");
        let admin_token = doc.required(&mut s, "admin-token");
        doc.check_unknown_keys(&s);
        let mut s = doc.take_section("platform");
        let object_api = doc.address(&mut s, "object-api");
        doc.check_unknown_keys(&s);
        let mut s = doc.take_section("operators");
        let mut keys = OperatorKeys::new();
        for name in s.entries().map(|(k, _)| k.to_owned()).collect::<Vec<_>>() {
            let text = doc.required(&mut s, &name);
            match parse_key(&text) {
                Some(key) => drop(keys.insert(name, key)),
                None => doc.add_error(&s, &name, "not a public key of 32 bytes in hexadecimal"),
            }
        }
        let mut s = doc.take_section("hosts");
        let mut endpoints = Vec::new();
        for name in s.entries().map(|(k, _)| k.to_owned()).collect::<Vec<_>>() {
            let addr = doc.address(&mut s, &name);
            endpoints.push(Endpoint { name, addr });
        }
        doc.finish()?;
        Ok(Config {
            operator,
            key_file,
            keys,
            object_api,
            admin_token,
            endpoints,
        })
    }

    /// Creates a client for the Object API.
    pub fn object_api_client(&self) -> ObjectApiClient {
        ObjectApiClient::new(&self.object_api, PLATFORM_TIMEOUT)
    }

    /// Creates a store for the bundles in the platform.
    pub fn bundle_store(&self) -> BundleStore {
        BundleStore::new(self.object_api_client())
    }

    /// Reads the operator's private key.
    ///
    /// # Errors
    ///
    /// A report, if `key-file` is not set or the file cannot be read or holds no private key.
    pub fn signing_key(&self) -> miette::Result<SigningKey> {
        let file = self
            .key_file
            .as_ref()
            .ok_or_else(|| miette!("section [operator] has no key `key-file`"))?;
        let text = std::fs::read_to_string(file).map_err(|e| miette!("{file}: {e}"))?;
        let bytes = hex::decode(text.trim()).ok();
        let bytes: Option<[u8; PRIVATE_KEY_BYTES]> = bytes.and_then(|b| b.try_into().ok());
        let bytes =
            bytes.ok_or_else(|| miette!("{file}: not a private key of 32 bytes in hexadecimal"))?;
        Ok(SigningKey::from_bytes(&bytes))
    }
}

/// Generates a private key in the new file `path` and prints the public key.
///
/// # Errors
///
/// A report, if the file exists or cannot be written, or `/dev/urandom` cannot be read.
pub fn generate_key(path: &str) -> miette::Result<()> {
    let mut bytes = [0; PRIVATE_KEY_BYTES];
    let mut urandom =
        std::fs::File::open("/dev/urandom").map_err(|e| miette!("/dev/urandom: {e}"))?;
    std::io::Read::read_exact(&mut urandom, &mut bytes)
        .map_err(|e| miette!("/dev/urandom: {e}"))?;
    let key = SigningKey::from_bytes(&bytes);
    let opened = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    let mut f = opened.map_err(|e| miette!("{path}: {e}"))?;
    writeln!(f, "{}", hex::encode(bytes)).map_err(|e| miette!("{path}: {e}"))?;
    outln!("{}", hex::encode(key.verifying_key().as_bytes()));
    Ok(())
}
