//! Finding a request's route and organisation.

use indexmap::IndexMap;

use super::config::{Configuration, Organisation, Route};

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route begins its path.
    NoRoute,
    /// Its key is missing or unknown.
    UnknownKey,
}

/// A configuration with indices for looking up.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    cfg: Configuration,
    by_host: IndexMap<String, Vec<usize>>,
    by_key: IndexMap<String, usize>,
}

impl RouteTable {
    /// Indexes `cfg`.
    pub fn new(cfg: Configuration) -> RouteTable {
        let mut by_host: IndexMap<String, Vec<usize>> = IndexMap::new();
        for (index, route) in cfg.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(cfg.routes[*i].prefix.len()));
        }
        let mut by_key = IndexMap::new();
        for (index, organisation) in cfg.organisations.iter().enumerate() {
            for key in &organisation.keys {
                by_key.insert(key.clone(), index);
            }
        }
        RouteTable {
            cfg,
            by_host,
            by_key,
        }
    }

    /// The configuration.
    pub fn cfg(&self) -> &Configuration {
        &self.cfg
    }

    /// The route of the host with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut routes = routes.iter().map(|i| &self.cfg.routes[*i]);
        routes.find(|r| path.starts_with(&r.prefix))
    }

    /// The organisation that holds `key`.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let index = *self.by_key.get(key)?;
        self.cfg.organisations.get(index)
    }

    /// The route and organisation of a request.
    ///
    /// # Errors
    ///
    /// Why the request is not let in.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Organisation>), RouteError> {
        let route = self.find_route(host, path).ok_or(RouteError::NoRoute)?;
        let holder = key.and_then(|k| self.organisation_by_key(k));
        let open = route.anonymous || self.cfg.organisations.is_empty();
        if holder.is_none() && !open {
            return Err(RouteError::UnknownKey);
        }
        Ok((route, holder))
    }
}

/// The service that takes a request of `route`; `draw` is uniform in [0, 1).
pub fn choose_service(route: &Route, draw: f64) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut left = (draw * total as f64) as u64;
    for (service, weight) in &route.targets {
        if left < u64::from(*weight) {
            return Some(service);
        }
        left -= u64::from(*weight);
    }
    None
}
