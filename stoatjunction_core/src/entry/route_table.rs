//! Look-up of a request's route and organisation.

use indexmap::IndexMap;

use super::config::{Configuration, Organisation, Route};

/// Reason why a request has no route or no access to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches its host and path.
    NoRoute,
    /// Its API key is missing or unknown.
    UnknownKey,
}

/// Routes and organisations of a configuration, indexed by host and by API key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    cfg: Configuration,
    by_host: IndexMap<String, Vec<usize>>,
    by_key: IndexMap<String, usize>,
}

impl RouteTable {
    /// Creates the table of a configuration.
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
            // White space at its ends does not reach a header, and no header is no key.
            let keys = organisation.keys.iter();
            let keys = keys.map(|k| k.trim_matches([' ', '\t']));
            for key in keys.filter(|k| !k.is_empty()) {
                by_key.insert(key.to_owned(), index);
            }
        }
        RouteTable {
            cfg,
            by_host,
            by_key,
        }
    }

    /// Returns the configuration.
    pub fn cfg(&self) -> &Configuration {
        &self.cfg
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&host.to_ascii_lowercase())?;
        let mut routes = routes.iter().map(|i| &self.cfg.routes[*i]);
        routes.find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the organisation with the API key `key`.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        let index = *self.by_key.get(key)?;
        self.cfg.organisations.get(index)
    }

    /// Returns the route and the organisation of a request. The organisation is absent only where
    /// no key is required.
    ///
    /// # Errors
    ///
    /// An error when no route matches, or when the key is missing or unknown and one is required.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Organisation>), RouteError> {
        let organisation = key.and_then(|k| self.organisation_by_key(k));
        let route = self.admit(host, path, organisation)?;
        Ok((route, organisation))
    }

    /// Returns the organisation with this name.
    pub fn organisation_by_name(&self, name: &str) -> Option<&Organisation> {
        self.cfg.organisations.iter().find(|o| o.name == name)
    }

    /// Returns the route of a request of an organisation.
    ///
    /// # Errors
    ///
    /// The same as those of [`RouteTable::resolve`].
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        organisation: Option<&Organisation>,
    ) -> Result<&Route, RouteError> {
        let route = self.find_route(host, path).ok_or(RouteError::NoRoute)?;
        let is_open = route.anonymous || self.cfg.organisations.is_empty();
        if organisation.is_none() && !is_open {
            return Err(RouteError::UnknownKey);
        }
        Ok(route)
    }
}

/// Chooses a service of `route` by weight; `draw` is uniform in [0, 1).
pub fn choose_service(route: &Route, draw: f64) -> Option<&str> {
    let total: u64 = route.targets.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut remaining = (draw * total as f64) as u64;
    for (service, weight) in &route.targets {
        if remaining < u64::from(*weight) {
            return Some(service);
        }
        remaining -= u64::from(*weight);
    }
    None
}
