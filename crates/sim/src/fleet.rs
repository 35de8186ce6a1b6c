//! Shapes and initial tables of the simulated fleets.

use stackpost_table::*;
use stackpost_types::*;
use std::net::{Ipv4Addr, SocketAddr};

/// The model that every engine serves.
pub const MODEL: &str = "chat";
/// The model service, which the engines provide.
pub const MODEL_SERVICE: &str = "models";
/// The plain service.
pub const PLAIN_SERVICE: &str = "app";
/// Path of the plain service whose calls are not idempotent.
pub const NON_IDEMPOTENT_PATH: &str = "/tickets";
/// Path of the plain service whose calls are idempotent.
pub const IDEMPOTENT_PATH: &str = "/timetable";
/// Cost of one call of the plain service, in tokens.
pub const PLAIN_COST: u64 = 20;

/// Size and policy of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Routers in each zone.
    pub routers_per_zone: usize,
    /// Engines in each zone.
    pub engines_per_zone: usize,
    /// Budget limit of each tenant, in tokens; every tenant has a budget of its own.
    pub limits: Vec<u64>,
    /// One-way delay between zones, in milliseconds.
    pub zone_delay: u64,
    /// The fleet's policy row.
    pub policy: PolicyRow,
}

impl FleetShape {
    /// Three zones with two routers each, where false refusals are weighted most.
    pub fn three_zones() -> Self {
        Self {
            zones: vec!["east", "west", "north"],
            routers_per_zone: 2,
            engines_per_zone: 3,
            limits: vec![60_000, 40_000, 20_000, 6_000],
            zone_delay: 1,
            policy: PolicyRow::default(),
        }
    }

    /// Four zones with two routers each, where overspend is weighted most.
    pub fn four_zones() -> Self {
        Self {
            zones: vec!["north", "south", "east", "west"],
            routers_per_zone: 2,
            engines_per_zone: 3,
            limits: vec![50_000, 30_000, 20_000, 6_000],
            zone_delay: 1,
            policy: PolicyRow {
                floor_share_permille: 600,
                solo_share_permille: 10,
                ..PolicyRow::default()
            },
        }
    }

    /// The machines that run a router, with their zones.
    pub fn machines(&self) -> Vec<(MachineName, ZoneName)> {
        let mut machines = Vec::new();
        for zone in &self.zones {
            for number in 1..=self.routers_per_zone {
                machines.push((MachineName::new(format!("{zone}-{number}")), ZoneName::new(zone)));
            }
        }
        machines
    }

    /// The machines that run a control replica: the first machine of each of the first three zones.
    pub fn replicas(&self) -> Vec<(MachineName, ZoneName)> {
        let zones = self.zones.iter().take(3);
        zones.map(|zone| (MachineName::new(format!("{zone}-1")), ZoneName::new(zone))).collect()
    }

    /// The back ends with their zones and services.
    pub fn back_ends(&self) -> Vec<(BackEndName, ZoneName, ServiceName)> {
        let mut back_ends = Vec::new();
        for zone in &self.zones {
            for number in 1..=self.engines_per_zone {
                let name = BackEndName::new(format!("{zone}-engine-{number}"));
                back_ends.push((name, ZoneName::new(zone), ServiceName::new(MODEL_SERVICE)));
            }
            let name = BackEndName::new(format!("{zone}-app"));
            back_ends.push((name, ZoneName::new(zone), ServiceName::new(PLAIN_SERVICE)));
        }
        back_ends
    }

    /// Name of tenant number `index`; its budget has the same name.
    pub fn tenant(index: usize) -> String {
        format!("tenant-{index}")
    }

    /// Key hash of tenant number `index`.
    pub fn key_hash(index: usize) -> KeyHash {
        KeyHash::of(&Self::tenant(index))
    }

    /// Rows of the initial table, ordered so that each row refers only to earlier ones.
    pub fn rows(&self) -> Vec<(RowKey, Row)> {
        let mut rows = vec![(RowKey::Policy, Row::Policy(self.policy.clone()))];
        for zone in &self.zones {
            rows.push((RowKey::Zone(zone_name(zone)), Row::Zone(ZoneRow { weight: 1 })));
        }
        for (index, (machine, zone)) in self.machines().into_iter().enumerate() {
            let row = MachineRow {
                zone,
                peer_address: address(1, index),
                api_address: address(2, index),
            };
            rows.push((RowKey::Machine(machine), Row::Machine(row)));
        }
        rows.extend(service_rows());
        for (index, (name, zone, service)) in self.back_ends().into_iter().enumerate() {
            let row = BackEndRow {
                service,
                zone,
                address: address(3, index),
                weight: 100,
                state: BackEndState::Active,
                checks_fence: index % 2 == 0,
                loaded: Vec::new(),
                role: EngineRole::Both,
            };
            rows.push((RowKey::BackEnd(name), Row::BackEnd(row)));
        }
        for (index, limit) in self.limits.iter().enumerate() {
            let budget = BudgetName::new(Self::tenant(index));
            let limit = BudgetRow { limit: Tokens(*limit) };
            rows.push((RowKey::Budget(budget.clone()), Row::Budget(limit)));
            let tenant = TenantRow {
                key_hashes: vec![Self::key_hash(index)],
                budget,
                home_zone: zone_name(self.zones[index % self.zones.len()]),
                weight: 1,
            };
            let name = TenantName::new(Self::tenant(index));
            rows.push((RowKey::Tenant(name), Row::Tenant(tenant)));
        }
        rows
    }
}

fn zone_name(name: &str) -> ZoneName {
    ZoneName::new(name)
}

fn address(kind: u8, index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, kind, high, low), 1))
}

fn service_rows() -> Vec<(RowKey, Row)> {
    let service = |kind, models: Vec<ModelName>| {
        Row::Service(ServiceRow {
            kind,
            models,
            queue_limit: 100,
            back_end_concurrency: 8,
            queue_wait_ms: 5_000,
            max_tokens_limit: 1_000,
        })
    };
    let route = |path: &str, repeatable| {
        Row::Route(RouteRow {
            path_prefix: path.to_string(),
            methods: Vec::new(),
            service: ServiceName::new(PLAIN_SERVICE),
            repeatable,
            cost: Tokens(PLAIN_COST),
        })
    };
    vec![
        (
            RowKey::Service(MODEL_SERVICE.into()),
            service(ServiceKind::Model, vec![ModelName::new(MODEL)]),
        ),
        (RowKey::Service(PLAIN_SERVICE.into()), service(ServiceKind::Plain, Vec::new())),
        (RowKey::Route("tickets".into()), route(NON_IDEMPOTENT_PATH, false)),
        (RowKey::Route("timetable".into()), route(IDEMPOTENT_PATH, true)),
    ]
}
