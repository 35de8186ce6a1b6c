//! Routes, keys and the validation of a configuration.

use stackpost_gateway_core::*;
use stackpost_types::*;
use std::collections::BTreeMap;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: RouteName::new(name),
        host: "ferry.example".into(),
        path_prefix: path_prefix.into(),
        kind: RouteKind::NonIdempotent,
        timeout: Millis(2_000),
        objective: Millis(300),
        gap_objective: None,
        priority: 1,
        split: vec![Split { service: "tickets".into(), weight: 1 }],
        max_attempts: 1,
        public: false,
        sticky: false,
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: TenantName::new(name),
        keys: keys.iter().map(ToString::to_string).collect(),
        priority: None,
        prepaid: Some(Tokens(1_000)),
    }
}

fn config() -> RoutingConfig {
    let tickets = Service { health_path: None, max_connections: 96, engine: None, cold_rate: None };
    RoutingConfig {
        version: 7,
        routes: vec![route("all", "/"), route("boarding", "/pass/"), route("late", "/pass/late/")],
        services: BTreeMap::from([("tickets".into(), tickets)]),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_096,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        },
        tenants: Some(vec![tenant("jetty", &["a", "b"]), tenant("hall", &["c"])]),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(config());
    let name = |path| table.route("Ferry.example:80", path).map(|route| route.name.as_str());
    assert_eq!(name("/pass/late/1"), Some("late"));
    assert_eq!(name("/pass/1"), Some("boarding"));
    assert_eq!(name("/passage"), Some("all"));
    assert_eq!(table.route("other.example", "/pass/1"), None);
}

#[test]
fn a_key_is_needed_unless_the_route_is_public() {
    let mut public_config = config();
    public_config.routes[0].public = true;
    let table = RouteTable::new(public_config);
    let admitted = |key, path| table.admit("ferry.example", path, key);
    assert!(matches!(
        admitted(Some("b"), "/pass/1"),
        Admission::Admitted { tenant: Some(tenant), .. } if tenant.name.as_str() == "jetty"
    ));
    assert_eq!(admitted(Some("z"), "/pass/1"), Admission::UnknownKey);
    assert_eq!(admitted(None, "/pass/1"), Admission::UnknownKey);
    assert!(matches!(admitted(None, "/open"), Admission::Admitted { tenant: None, .. }));
}

#[test]
fn a_split_follows_its_weights_and_is_stable_per_request() {
    let mut split = route("split", "/");
    split.split = vec![
        Split { service: "old".into(), weight: 9 },
        Split { service: "new".into(), weight: 1 },
    ];
    let ids: Vec<String> = (0..2_000).map(|number| format!("request-{number}")).collect();
    let new = ids.iter().filter(|id| split.service_for(id).as_str() == "new").count();
    assert!(
        (140..260).contains(&new),
        "{new} of 2000 went to the service with a tenth of the weight"
    );
    assert_eq!(split.service_for("request-5"), split.service_for("request-5"));
    split.split[0].weight = 0;
    assert!(ids.iter().all(|id| split.service_for(id).as_str() == "new"));
}

#[test]
fn every_rule_of_a_configuration_is_checked() {
    assert_eq!(config().validate(), Ok(()));
    let error_of = |change: fn(&mut RoutingConfig)| {
        let mut config = config();
        change(&mut config);
        config.validate().expect_err("the changed configuration is invalid")
    };
    assert!(matches!(
        error_of(|config| config.routes[1].split[0].service = "ghost".into()),
        ConfigError::UnknownService { .. }
    ));
    assert!(matches!(
        error_of(|config| config.routes[1].path_prefix = "/".into()),
        ConfigError::DuplicateRoute { .. }
    ));
    assert!(matches!(
        error_of(|config| config.routes[1].split[0].weight = 0),
        ConfigError::ZeroWeight(_)
    ));
    assert!(matches!(
        error_of(|config| config.routes[1].timeout = Millis(0)),
        ConfigError::ZeroTimeout(_)
    ));
    assert!(matches!(
        error_of(|config| config.tenants = Some(vec![tenant("a", &["k"]), tenant("b", &["k"])])),
        ConfigError::SharedKey { .. }
    ));
}
