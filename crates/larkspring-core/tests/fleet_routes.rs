//! Tests of the choice of a route, and of the service of a split route.

use std::time::Duration;

use larkspring_core::fleet::routes::{
    AllowedRegions, BaseModel, EngineCapacity, RequestLimits, Route, RouteClass,
    RouteTarget, Routing,
};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        class: RouteClass::AtMostOnce,
        timeout: None,
        first_byte_objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 0,
        public: false,
        max_endpoints: 1,
        targets: vec![RouteTarget { service: "s".into(), weight: 1 }],
        regions: AllowedRegions::default(),
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    prefix: Option<&'static str>,
}

#[test]
fn longest_prefix_of_the_host_matches() {
    let routes = [
        route("a.example", "/"),
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/only/"),
    ];
    let routing = Routing::new(1, routes, [], RequestLimits::default());
    let cases = [
        Case { host: "a.example", path: "/", prefix: Some("/") },
        Case { host: "a.example", path: "/x", prefix: Some("/") },
        Case { host: "a.example", path: "/x/", prefix: Some("/x/") },
        Case { host: "a.example", path: "/x/y", prefix: Some("/x/") },
        Case { host: "a.example", path: "/x/y/z/w", prefix: Some("/x/y/") },
        Case { host: "a.example", path: "/xy/z", prefix: Some("/") },
        Case { host: "A.Example:8080", path: "/x/1", prefix: Some("/x/") },
        Case { host: "b.example", path: "/only/1", prefix: Some("/only/") },
        Case { host: "b.example", path: "/other/1", prefix: None },
        Case { host: "c.example", path: "/", prefix: None },
        Case { host: "a.example", path: "no-slash", prefix: None },
        Case { host: "", path: "/", prefix: None },
    ];
    for c in cases {
        let found = routing.find(c.host, c.path).map(|r| r.prefix.as_str());
        assert_eq!(found, c.prefix, "{} {}", c.host, c.path);
    }
}

#[test]
fn split_route_gives_each_service_its_share() {
    let mut split = route("a.example", "/");
    split.targets = vec![
        RouteTarget { service: "old".into(), weight: 9000 },
        RouteTarget { service: "new".into(), weight: 1000 },
        RouteTarget { service: "none".into(), weight: 0 },
    ];
    let mut counts = [0; 3];
    const PICKS: u32 = 10_000;
    for n in 0..PICKS {
        let pick = n * (u32::MAX / PICKS);
        match &**split.service(pick).expect("a service") {
            "old" => counts[0] += 1,
            "new" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert!((8990..=9010).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[2], 0, "{counts:?}");
    assert!(split.service(u32::MAX).is_some());
}

#[test]
fn adapters_are_limited_by_memory_and_slots() {
    let model =
        |adapter_mb| BaseModel { name: "m".into(), weights_mb: 65_100.0, adapter_mb };
    let engine = |memory_mb, adapter_slots| EngineCapacity {
        batch_slots: 1,
        memory_mb,
        adapter_slots,
        models: Vec::new(),
    };
    let cases = [
        ("places bind", 66_600.0, 16, 12.0, 16),
        ("memory binds", 65_150.0, 16, 12.0, 4),
        ("no memory left", 65_000.0, 16, 12.0, 0),
        ("adapters without size", 66_600.0, 16, 0.0, 16),
    ];
    for (name, memory, places, adapter_mb, fit) in cases {
        assert_eq!(
            engine(memory, places).adapter_slots_for(&model(adapter_mb)),
            fit,
            "{name}"
        );
    }
}
