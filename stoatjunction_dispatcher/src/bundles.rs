//! Distribution of configuration bundles. A few elected hosts read them from the platform, all
//! others receive them from peers. A bundle never replaces one with a higher number.

use std::sync::Arc;
use std::time::Duration;

use stoatjunction_core::membership::is_elected;
use stoatjunction_net::bundle::{ACCEPTED_KEY, BundleStore, SignedBundle, sha256_hex};
use stoatjunction_net::message::{Notice, Request};
use stoatjunction_net::platform::{ObjectApiClient, PlatformError};
use tokio::sync::mpsc;

use crate::daemon::SharedState;
use crate::event::Event;
use crate::state::State;

/// Number of hosts per data centre that watch the platform.
const WATCHERS_PER_DC: usize = 2;
/// Longest time that the platform holds one watch request open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between attempts after a failed platform request, and between checks of the election.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Returns the hashes of the parts of the bundle in force.
    pub(crate) fn held_part_hashes(&self) -> Vec<String> {
        self.signed_bundle
            .as_ref()
            .map_or(Vec::new(), |s| s.record.parts.clone())
    }

    pub(crate) fn request_bundle(&self, host: &str, number: u64) {
        let have = self.held_part_hashes();
        if let Some(tx) = self.outgoing_peers.get(host) {
            tx.send(Request::FetchBundle { number, have });
        }
    }

    /// Returns the bundle in force without the parts whose hashes are in `have`, or `None` if its
    /// number is lower than `number`.
    pub(crate) fn bundle_notice(&self, number: u64, have: &[String]) -> Option<Notice> {
        let signed = self
            .signed_bundle
            .as_ref()
            .filter(|s| s.record.number >= number)?;
        let is_missing = |p: &&String| !have.contains(&sha256_hex(p));
        let parts = signed.parts.iter().filter(is_missing).cloned().collect();
        let record = signed.record.clone();
        Some(Notice::Bundle(Box::new(SignedBundle { record, parts })))
    }

    /// Puts a bundle into force if its number is higher than the current one and it is valid.
    pub(crate) fn install_bundle(&mut self, mut signed: SignedBundle) {
        let number = signed.record.number;
        if number <= self.bundle_number() {
            return;
        }
        let held = self
            .signed_bundle
            .as_ref()
            .map_or(Vec::new(), |s| s.parts.clone());
        signed.fill_missing_parts(&held);
        let number_text = number.to_string();
        match signed.verify_and_parse(&self.cfg.operators) {
            Err(e) => {
                let error = e.to_string();
                self.timeline.record(
                    "bundle_rejected",
                    &[("number", &number_text), ("error", &error)],
                );
            }
            Ok(bundle) => {
                self.bundle = Some(Arc::new(bundle));
                self.signed_bundle = Some(signed);
                self.timeline
                    .record("bundle_in_force", &[("number", &number_text)]);
                self.apply_bundle();
                self.broadcast_digest();
            }
        }
    }

    /// Compares the number accepted on the platform with the bundle in force, and records an event
    /// if the platform is behind. Returns true if the accepted bundle must be fetched.
    pub(crate) fn check_accepted_number(&self, number: u64) -> bool {
        let in_force = self.bundle_number();
        if number < in_force {
            let (accepted, installed) = (number.to_string(), in_force.to_string());
            self.timeline.record(
                "platform_older",
                &[("number", &accepted), ("in_force", &installed)],
            );
        }
        number > in_force
    }
}

/// Watches the platform for accepted bundles while this host is an elected watcher or has no
/// bundle.
pub(crate) async fn watch_accepted(
    shared: SharedState,
    platform: ObjectApiClient,
    tx: mpsc::Sender<Event>,
) {
    let mut version = 0;
    loop {
        if !is_watcher(&shared) {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        }
        match platform.watch(ACCEPTED_KEY, version, WATCH_TIMEOUT).await {
            Ok(object) => {
                version = object.version;
                let Some(number) = accepted_number(&object.value) else {
                    continue;
                };
                if tx.send(Event::BundleAccepted { number }).await.is_err() {
                    return;
                }
            }
            Err(PlatformError::NotFound) => {}
            Err(_) => {
                // The platform may restart its version numbers after it is restored from a backup.
                version = 0;
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Retries to fetch the accepted bundle `number` from the platform until it succeeds or a bundle of
/// at least this number is in force.
pub(crate) async fn fetch_accepted(
    shared: SharedState,
    store: BundleStore,
    number: u64,
    tx: mpsc::Sender<Event>,
) {
    loop {
        let have = {
            let state = shared.lock();
            if state.bundle_number() >= number {
                return;
            }
            state.held_part_hashes()
        };
        if let Ok(signed) = store.fetch(number, &have).await {
            let _ = tx.send(Event::BundleFetched(Box::new(signed))).await;
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn is_watcher(shared: &SharedState) -> bool {
    let state = shared.lock();
    let hosts = state.live_hosts();
    let hosts = hosts.iter().map(String::as_str);
    state.bundle.is_none()
        || is_elected(
            hosts,
            &state.own_member.host,
            "bundle-watch",
            WATCHERS_PER_DC,
        )
}

fn accepted_number(value: &str) -> Option<u64> {
    let accepted: stoatjunction_net::bundle::Accepted = serde_json::from_str(value).ok()?;
    Some(accepted.number)
}
