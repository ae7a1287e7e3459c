//! Validation of declared workspaces, lookups by key, and the secrecy of keys.

use larkspring_core::fleet::routes::AllowedRegions;
use larkspring_core::workspaces::{
    ApiKeyHash, LimitUnit, Workspace, WorkspaceError, WorkspaceLimit, Workspaces,
};

fn workspace(name: &str, limit: Option<WorkspaceLimit>) -> Workspace {
    Workspace {
        name: name.into(),
        priority: None,
        limit,
        regions: AllowedRegions::default(),
    }
}

fn limit(units_per_sec: f64, burst: f64) -> Option<WorkspaceLimit> {
    Some(WorkspaceLimit { units_per_sec, burst, unit: LimitUnit::Requests })
}

fn key(text: &str) -> ApiKeyHash {
    ApiKeyHash::of(text.as_bytes())
}

struct Case {
    name: &'static str,
    declared: Vec<(Workspace, Vec<ApiKeyHash>)>,
    error: Option<WorkspaceError>,
}

#[test]
fn declared_workspaces_are_validated() {
    let a = || workspace("a", None);
    let cases = [
        Case { name: "none", declared: vec![], error: None },
        Case {
            name: "two keys of one workspace",
            declared: vec![(a(), vec![key("k1"), key("k2")])],
            error: None,
        },
        Case {
            name: "the same key twice in one workspace",
            declared: vec![(a(), vec![key("k1"), key("k1")])],
            error: None,
        },
        Case {
            name: "one name twice",
            declared: vec![(a(), vec![key("k1")]), (a(), vec![key("k2")])],
            error: Some(WorkspaceError::DuplicateName("a".into())),
        },
        Case {
            name: "an empty key",
            declared: vec![(a(), vec![key("")])],
            error: Some(WorkspaceError::EmptyKey("a".into())),
        },
        Case {
            name: "a key of two workspaces",
            declared: vec![
                (a(), vec![key("secret-1")]),
                (workspace("b", None), vec![key("secret-1")]),
            ],
            error: Some(WorkspaceError::SharedKey("a".into(), "b".into())),
        },
        Case {
            name: "a negative rate",
            declared: vec![(workspace("a", limit(-1.0, 0.0)), vec![])],
            error: Some(WorkspaceError::InvalidFigure("a".into(), "rate", "-1".into())),
        },
        Case {
            name: "a burst that is no number",
            declared: vec![(workspace("a", limit(1.0, f64::NAN)), vec![])],
            error: Some(WorkspaceError::InvalidFigure("a".into(), "burst", "NaN".into())),
        },
    ];
    for c in cases {
        let built = Workspaces::new(c.declared);
        let text = built.as_ref().err().map(ToString::to_string).unwrap_or_default();
        assert!(!text.contains("secret"), "{}: {text} shows a key", c.name);
        assert_eq!(built.err(), c.error, "{}", c.name);
    }
}

#[test]
fn only_exact_keys_find_a_workspace() {
    let declared = [
        (workspace("a", None), vec![key("k1"), key("k2")]),
        (workspace("b", None), vec![key("k3")]),
    ];
    let workspaces = Workspaces::new(declared).expect("the workspaces are valid");
    let found = |text| workspaces.find(&key(text)).map(|w| w.name.to_string());
    assert_eq!(found("k1").as_deref(), Some("a"));
    assert_eq!(found("k2").as_deref(), Some("a"));
    assert_eq!(found("k3").as_deref(), Some("b"));
    for other in ["", "k", "K1", "k1 ", "a"] {
        assert_eq!(found(other), None, "{other:?}");
    }
}

#[test]
fn debug_output_shows_no_key_or_hash() {
    let declared = [(workspace("a", None), vec![key("k1")])];
    let workspaces = Workspaces::new(declared).expect("the workspaces are valid");
    assert_eq!(format!("{:?}", key("k1")), "KeyHash(..)");
    assert_eq!(format!("{workspaces:?}"), "Workspaces { count: 1, keys: 1 }");
}

#[test]
fn requests_cost_units_of_the_limit() {
    struct Cost {
        unit: LimitUnit,
        tokens: Option<u64>,
        cost: f64,
    }
    let cases = [
        Cost { unit: LimitUnit::Requests, tokens: Some(900), cost: 1.0 },
        Cost { unit: LimitUnit::Requests, tokens: None, cost: 1.0 },
        Cost {
            unit: LimitUnit::Tokens { unsized_request: 200.0 },
            tokens: Some(900),
            cost: 900.0,
        },
        Cost {
            unit: LimitUnit::Tokens { unsized_request: 200.0 },
            tokens: None,
            cost: 200.0,
        },
    ];
    for c in cases {
        let limit = WorkspaceLimit { units_per_sec: 1.0, burst: 1.0, unit: c.unit };
        assert_eq!(limit.cost(c.tokens), c.cost, "{:?} {:?}", c.unit, c.tokens);
    }
}
