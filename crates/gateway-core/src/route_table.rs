//! Lookups in a configuration.

use crate::config::{Route, RoutingConfig, Tenant};
use stackpost_types::{Digest, ServiceName};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A configuration with indexes for the lookups of each request.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Arc<RoutingConfig>,
    /// For each host, positions of its routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

/// The tenant that a key belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TenantMatch<'a> {
    /// The configuration has no tenants, so no key is needed.
    NotNeeded,
    /// The tenant with the key.
    Known(&'a Tenant),
    /// No tenant has the key, or no key was given.
    Unknown,
}

/// Whether the configuration admits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission<'a> {
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The request is admitted.
    Admitted {
        /// Its route.
        route: &'a Route,
        /// Its tenant; `None` if the configuration has no tenants, or if the route is public and
        /// the key is unknown.
        tenant: Option<&'a Tenant>,
    },
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|position| {
                std::cmp::Reverse(config.routes[*position].path_prefix.len())
            });
        }
        let mut by_key = HashMap::new();
        for (position, tenant) in config.tenants.iter().flatten().enumerate() {
            for key in &tenant.keys {
                by_key.insert(key.clone(), position);
            }
        }
        Self { config: Arc::new(config), by_host, by_key }
    }

    /// The configuration.
    pub fn config(&self) -> &RoutingConfig {
        &self.config
    }

    /// The route for `host` and `path` with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_without_port(host).to_ascii_lowercase();
        let positions = self.by_host.get(&host)?;
        positions
            .iter()
            .map(|position| &self.config.routes[*position])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The tenant with `key`.
    pub fn tenant(&self, key: Option<&str>) -> TenantMatch<'_> {
        let Some(tenants) = &self.config.tenants else {
            return TenantMatch::NotNeeded;
        };
        match key.and_then(|key| self.by_key.get(key)) {
            Some(position) => TenantMatch::Known(&tenants[*position]),
            None => TenantMatch::Unknown,
        }
    }

    /// Route and tenant of a request.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Admission<'_> {
        let Some(route) = self.route(host, path) else {
            return Admission::NoRoute;
        };
        match self.tenant(key) {
            TenantMatch::NotNeeded => Admission::Admitted { route, tenant: None },
            TenantMatch::Known(tenant) => Admission::Admitted { route, tenant: Some(tenant) },
            TenantMatch::Unknown if route.public => Admission::Admitted { route, tenant: None },
            TenantMatch::Unknown => Admission::UnknownKey,
        }
    }
}

impl Route {
    /// The service for one request: chosen by the weights, and always the same for the same
    /// request.
    pub fn service_for(&self, request_id: &str) -> &ServiceName {
        let total: u64 = self.split.iter().map(|part| part.weight).sum();
        let mut point = Digest::of(&[request_id.as_bytes()]).to_u64() % total.max(1);
        for part in &self.split {
            if point < part.weight {
                return &part.service;
            }
            point -= part.weight;
        }
        &self.split[0].service
    }
}

fn host_without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

impl RouteTable {
    /// Number of routes of every service, for metrics and logs.
    pub fn routes_by_service(&self) -> BTreeMap<&ServiceName, usize> {
        let mut counts = BTreeMap::new();
        for part in self.config.routes.iter().flat_map(|route| &route.split) {
            *counts.entry(&part.service).or_default() += 1;
        }
        counts
    }
}
