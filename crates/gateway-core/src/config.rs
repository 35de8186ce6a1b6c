//! The configuration of a gateway as a typed document.

use stackpost_types::{Millis, RequestRate, RouteName, ServiceName, TenantName, Tokens};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Responds with a stream of events.
    Streaming {
        /// Whether the stream may be resumed at another engine after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may already have run may be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the others.
    pub weight: u64,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host it applies to.
    pub host: String,
    /// Prefix of the paths it applies to.
    pub path_prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Maximum time for a request.
    pub timeout: Millis,
    /// Target for the time to the response.
    pub objective: Millis,
    /// Longest pause between events at which a stream meets its objective.
    pub gap_objective: Option<Millis>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// The services and their weights.
    pub split: Vec<Split>,
    /// Maximum number of engines that one request is sent to.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Whether requests about the same subject benefit from the same engine.
    pub sticky: bool,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineProfile {
    /// Requests an engine runs concurrently.
    pub slots: u32,
    /// Memory of an engine, in tokens of prompts and of generated text; zero if it is not known.
    pub cache_tokens: Tokens,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: u64,
}

impl EngineProfile {
    /// Memory of an engine, in tokens; `None` if it is not known.
    pub fn memory(&self) -> Option<Tokens> {
        (self.cache_tokens > Tokens::ZERO).then_some(self.cache_tokens)
    }

    /// Whether a generation of `tokens` (prompt and generated text) fits into an idle engine.
    pub fn fits(&self, tokens: Tokens) -> bool {
        self.memory().is_none_or(|memory| tokens <= memory)
    }
}

/// A group of interchangeable engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Path of the engines' health check, if they have one.
    pub health_path: Option<String>,
    /// Connections that an engine accepts from all callers together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineProfile>,
    /// Requests that a cold engine accepts from all routers together; `None` if it accepts as many
    /// as a warm one.
    pub cold_rate: Option<RequestRate>,
}

/// Limits on client connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of the headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the headers.
    pub header_timeout: Millis,
    /// Maximum idle time between requests.
    pub idle_timeout: Millis,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Its bearer keys.
    pub keys: Vec<String>,
    /// Its priority, which overrides that of the route.
    pub priority: Option<u32>,
    /// Total tokens of its prepaid budget; `None` for no budget.
    pub prepaid: Option<Tokens>,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Set by the operator; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// The limits for clients.
    pub limits: ClientLimits,
    /// The tenants; `None` if requests need no keys.
    pub tenants: Option<Vec<Tenant>>,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// The document can't be parsed.
    #[error("the configuration can't be read: {0}")]
    Unreadable(String),
    /// A number is not one that the product computes with exactly.
    #[error("field `{field}` of {subject} is {value}, not a number from {least} to {most}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// The route, service or tenant.
        subject: String,
        /// The number.
        value: f64,
        /// The smallest valid number.
        least: f64,
        /// The largest valid number.
        most: f64,
    },
    /// A route refers to a service that does not exist.
    #[error("route `{route}` names the unknown service `{service}`")]
    UnknownService {
        /// The route.
        route: RouteName,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes share host `{host}` and prefix `{path_prefix}`")]
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        path_prefix: String,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route `{0}` add up to 0")]
    ZeroWeight(RouteName),
    /// A route has a timeout of zero.
    #[error("route `{0}` has a timeout of 0")]
    ZeroTimeout(RouteName),
    /// Two tenants have the same key.
    #[error("tenants `{first}` and `{second}` share a key")]
    SharedKey {
        /// One tenant.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
}

impl RoutingConfig {
    /// Rates of cold engines, of the services that limit them.
    pub fn cold_rates(&self) -> BTreeMap<ServiceName, RequestRate> {
        let limited = self.services.iter().filter_map(|(name, service)| {
            let rate = service.cold_rate?;
            Some((name.clone(), rate))
        });
        limited.collect()
    }

    /// Checks the rules that the types do not enforce.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            self.validate_route(route)?;
            // Requests are matched to hosts without regard to case.
            if !seen.insert((route.host.to_ascii_lowercase(), route.path_prefix.as_str())) {
                return Err(ConfigError::DuplicateRoute {
                    host: route.host.clone(),
                    path_prefix: route.path_prefix.clone(),
                });
            }
        }
        self.validate_keys()
    }

    /// The tenants' prepaid amounts.
    pub fn prepaid_limits(&self) -> Vec<(TenantName, Tokens)> {
        let tenants = self.tenants.iter().flatten();
        tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.prepaid?))).collect()
    }

    fn validate_route(&self, route: &Route) -> Result<(), ConfigError> {
        for part in &route.split {
            if !self.services.contains_key(&part.service) {
                let (route, service) = (route.name.clone(), part.service.clone());
                return Err(ConfigError::UnknownService { route, service });
            }
        }
        if route.split.iter().map(|part| part.weight).sum::<u64>() == 0 {
            return Err(ConfigError::ZeroWeight(route.name.clone()));
        }
        if route.timeout.0 == 0 {
            return Err(ConfigError::ZeroTimeout(route.name.clone()));
        }
        Ok(())
    }

    fn validate_keys(&self) -> Result<(), ConfigError> {
        let mut owners = BTreeMap::new();
        for tenant in self.tenants.iter().flatten() {
            for key in &tenant.keys {
                match owners.insert(key, &tenant.name) {
                    Some(other) if *other != tenant.name => {
                        let (first, second) = (other.clone(), tenant.name.clone());
                        return Err(ConfigError::SharedKey { first, second });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}
