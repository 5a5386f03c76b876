//! The operator's settings: who they are, and where the platform and the hosts are.

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

/// Length of a private key in bytes.
const KEY_LEN: usize = 32;
/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// A daemon's admin interface.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name, such as `lima-0/gateway`.
    pub name: String,
    /// Address, `ip:port`.
    pub addr: String,
}

/// The operator's settings.
#[derive(Debug)]
pub struct Config {
    /// Name of the operator.
    pub operator: String,
    /// File of the private key.
    pub key_file: Option<String>,
    /// Public keys of all operators.
    pub keys: OperatorKeys,
    /// Address of the Object API.
    pub object_api: String,
    /// Bearer token of the admin interfaces.
    pub admin_token: String,
    /// Admin interfaces of all daemons.
    pub endpoints: Vec<Endpoint>,
}

impl Config {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// A report with every fault.
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

    /// The platform.
    pub fn platform(&self) -> ObjectApiClient {
        ObjectApiClient::new(&self.object_api, PLATFORM_TIMEOUT)
    }

    /// The bundles in the platform.
    pub fn bundles(&self) -> BundleStore {
        BundleStore::new(self.platform())
    }

    /// The operator's private key.
    ///
    /// # Errors
    ///
    /// A report when there is none or its file cannot be read.
    pub fn signing_key(&self) -> miette::Result<SigningKey> {
        let file = self
            .key_file
            .as_ref()
            .ok_or_else(|| miette!("[operator] has no key-file"))?;
        let text = std::fs::read_to_string(file).map_err(|e| miette!("{file}: {e}"))?;
        let bytes = hex::decode(text.trim()).ok();
        let bytes: Option<[u8; KEY_LEN]> = bytes.and_then(|b| b.try_into().ok());
        let bytes = bytes.ok_or_else(|| miette!("{file}: not a private key in hexadecimal"))?;
        Ok(SigningKey::from_bytes(&bytes))
    }
}

/// Makes a private key in the new file `path` and prints the public key.
///
/// # Errors
///
/// A report when the file exists or no randomness can be had.
pub fn make_key(path: &str) -> miette::Result<()> {
    let mut bytes = [0; KEY_LEN];
    let mut source = std::fs::File::open("/dev/urandom").map_err(|e| miette!("{e}"))?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(|e| miette!("{e}"))?;
    let key = SigningKey::from_bytes(&bytes);
    let opened = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path);
    let mut f = opened.map_err(|e| miette!("{path}: {e}"))?;
    writeln!(f, "{}", hex::encode(bytes)).map_err(|e| miette!("{path}: {e}"))?;
    println!("{}", hex::encode(key.verifying_key().as_bytes()));
    Ok(())
}
