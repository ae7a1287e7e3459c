//! Tests of the choice of an endpoint in a fleet.

use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::{
    choose_any, choose_for_adapter, choose_plain, rank_endpoints, should_load_in_hall,
    AdapterLocation, Distance, EndpointView, NEW_CONNECTION_COST,
};
use larkspring_core::fleet::host_copies::HostCopies;
use larkspring_core::fleet::mechanisms::{DisabledMechanisms, Mechanism};
use larkspring_core::fleet::quality::EndpointQuality;
use larkspring_core::fleet::request_rates::RequestRates;
use larkspring_core::fleet::stream_outcomes::StreamLoss;
use larkspring_core::ids::{AdapterId, Incarnation};

const NO_LOSS: StreamLoss =
    StreamLoss { probability: 0.0, breaks_off: false, is_trial: false };

const RESIDENT: EndpointView = EndpointView {
    distance: Distance::SameHall,
    adapter_location: AdapterLocation::Resident,
    running: 0,
    max_concurrent: 8,
    free_adapter_slots: 4,
    loads_ahead: 0,
    can_load: true,
    loading_base: false,
    uncached_prompt_tokens: 100,
    prefill_backlog_tokens: 0,
    failure_cost: Duration::ZERO,
    stream_loss: NO_LOSS,
    connection_cost: Duration::ZERO,
    avoided: false,
    is_rate_limited: false,
};
const OTHER_HALL: EndpointView =
    EndpointView { distance: Distance::SameRegion, ..RESIDENT };
const UNCONNECTED: EndpointView =
    EndpointView { connection_cost: NEW_CONNECTION_COST, ..RESIDENT };
const COPIED: EndpointView =
    EndpointView { adapter_location: AdapterLocation::HostMemory, ..RESIDENT };
const ABSENT: EndpointView =
    EndpointView { adapter_location: AdapterLocation::WeightStore, ..RESIDENT };

struct Case {
    name: &'static str,
    views: Vec<EndpointView>,
    chosen: Option<usize>,
}

#[test]
fn adapter_requests_go_to_the_least_cost() {
    let no_agent = EndpointView { can_load: false, ..ABSENT };
    let cases = [
        Case { name: "none", views: vec![], chosen: None },
        Case {
            name: "the home where nobody holds it",
            views: vec![ABSENT, ABSENT],
            chosen: Some(0),
        },
        Case {
            name: "a holder before the home",
            views: vec![ABSENT, RESIDENT],
            chosen: Some(1),
        },
        Case {
            name: "a far holder before a load",
            views: vec![ABSENT, OTHER_HALL],
            chosen: Some(1),
        },
        Case {
            name: "a near holder before a far one",
            views: vec![OTHER_HALL, RESIDENT],
            chosen: Some(1),
        },
        Case {
            name: "one on its way before a new load",
            views: vec![
                ABSENT,
                EndpointView { adapter_location: AdapterLocation::Loading, ..RESIDENT },
            ],
            chosen: Some(1),
        },
        Case {
            name: "a full batch before nobody",
            views: vec![EndpointView { running: 40, ..RESIDENT }],
            chosen: Some(0),
        },
        Case {
            name: "a far holder before a full batch",
            views: vec![EndpointView { running: 40, ..RESIDENT }, OTHER_HALL],
            chosen: Some(1),
        },
        Case {
            name: "the next home where the first has no place",
            views: vec![EndpointView { free_adapter_slots: 0, ..ABSENT }, ABSENT],
            chosen: Some(1),
        },
        Case {
            name: "the next home where the first has loads ahead",
            views: vec![EndpointView { loads_ahead: 4, ..ABSENT }, ABSENT],
            chosen: Some(1),
        },
        Case {
            name: "no load without an agent",
            views: vec![no_agent, no_agent],
            chosen: None,
        },
        Case {
            name: "a holder without an agent",
            views: vec![no_agent, EndpointView { can_load: false, ..RESIDENT }],
            chosen: Some(1),
        },
        Case {
            name: "not one that no connection came up to",
            views: vec![EndpointView { avoided: true, ..RESIDENT }, ABSENT],
            chosen: Some(1),
        },
        Case {
            name: "no load where the rate is limited",
            views: vec![
                EndpointView { is_rate_limited: true, ..ABSENT },
                EndpointView { loads_ahead: 4, ..ABSENT },
            ],
            chosen: Some(1),
        },
        Case {
            name: "a load there if all are so",
            views: vec![
                EndpointView { is_rate_limited: true, ..ABSENT },
                EndpointView { is_rate_limited: true, ..ABSENT },
            ],
            chosen: Some(0),
        },
        Case {
            name: "a holder whose rate is limited",
            views: vec![ABSENT, EndpointView { is_rate_limited: true, ..RESIDENT }],
            chosen: Some(1),
        },
        Case {
            name: "a copy on the VM before a fetch at the home",
            views: vec![ABSENT, COPIED],
            chosen: Some(1),
        },
        Case {
            name: "a holder before a copy on the VM",
            views: vec![COPIED, OTHER_HALL],
            chosen: Some(1),
        },
        Case {
            name: "a copy on the VM before a holder that is busy",
            views: vec![EndpointView { running: 40, ..RESIDENT }, COPIED],
            chosen: Some(1),
        },
        Case {
            name: "a busy holder before a fetch, for a short prompt",
            views: vec![
                EndpointView { running: 7, prefill_backlog_tokens: 14_000, ..RESIDENT },
                ABSENT,
            ],
            chosen: Some(0),
        },
        Case {
            name: "a fetch before a busy holder, for a long prompt",
            views: vec![
                EndpointView {
                    running: 7,
                    prefill_backlog_tokens: 14_000,
                    uncached_prompt_tokens: 9000,
                    ..RESIDENT
                },
                EndpointView { uncached_prompt_tokens: 9000, ..ABSENT },
            ],
            chosen: Some(1),
        },
        Case {
            name: "not behind a long prompt",
            views: vec![
                EndpointView { prefill_backlog_tokens: 9000, ..RESIDENT },
                OTHER_HALL,
            ],
            chosen: Some(1),
        },
        Case {
            name: "a long prompt goes where little runs",
            views: vec![
                EndpointView { running: 6, uncached_prompt_tokens: 9000, ..RESIDENT },
                EndpointView { running: 1, uncached_prompt_tokens: 9000, ..OTHER_HALL },
            ],
            chosen: Some(1),
        },
        Case {
            name: "a short prompt stays near",
            views: vec![
                EndpointView { running: 6, ..RESIDENT },
                EndpointView { running: 1, ..OTHER_HALL },
            ],
            chosen: Some(0),
        },
        Case {
            name: "the one that has read the prompt",
            views: vec![
                EndpointView { uncached_prompt_tokens: 6000, ..RESIDENT },
                EndpointView { uncached_prompt_tokens: 500, ..RESIDENT },
            ],
            chosen: Some(1),
        },
    ];
    for c in cases {
        assert_eq!(
            choose_for_adapter(&c.views, DisabledMechanisms::default()),
            c.chosen,
            "{}",
            c.name
        );
    }
}

#[test]
fn plain_requests_stay_in_the_hall_until_it_costs_more() {
    let answer = Duration::from_millis(30);
    let busy = |running| EndpointView { running, max_concurrent: 6, ..RESIDENT };
    let cases = [
        Case { name: "near", views: vec![OTHER_HALL, RESIDENT], chosen: Some(1) },
        Case {
            name: "near though busier",
            views: vec![OTHER_HALL, busy(4)],
            chosen: Some(1),
        },
        Case {
            name: "far where near is full",
            views: vec![OTHER_HALL, busy(6)],
            chosen: Some(0),
        },
        Case {
            name: "far where near fails",
            views: vec![
                OTHER_HALL,
                EndpointView { failure_cost: Duration::from_millis(100), ..RESIDENT },
            ],
            chosen: Some(0),
        },
        Case {
            name: "connected, of equal cost",
            views: vec![UNCONNECTED, RESIDENT],
            chosen: Some(1),
        },
        Case {
            name: "near without a connection",
            views: vec![OTHER_HALL, UNCONNECTED],
            chosen: Some(1),
        },
    ];
    for c in cases {
        assert_eq!(choose_any(&c.views, answer), c.chosen, "{}", c.name);
    }
}

/// Guards against an endpoint that gets no requests though it costs no more, or that gets
/// as many as one that is expected to answer sooner.
#[test]
fn plain_requests_are_spread_by_cost() {
    struct Case {
        name: &'static str,
        views: [EndpointView; 2],
        times_ms: [u64; 2],
        /// Percent of the requests that the first endpoint gets.
        first: std::ops::RangeInclusive<usize>,
    }
    let near = EndpointView { max_concurrent: 6, uncached_prompt_tokens: 0, ..RESIDENT };
    let far = EndpointView { distance: Distance::SameRegion, ..near };
    let failing = EndpointView { failure_cost: Duration::from_millis(60), ..near };
    let busy = EndpointView { running: 5, ..near };
    let away = EndpointView { avoided: true, ..near };
    let cases = [
        Case { name: "equal", views: [near; 2], times_ms: [30, 30], first: 50..=50 },
        Case { name: "unknown", views: [near; 2], times_ms: [0, 30], first: 50..=50 },
        Case { name: "short times", views: [near; 2], times_ms: [9, 1], first: 50..=50 },
        Case { name: "a tenth", views: [near; 2], times_ms: [33, 30], first: 15..=20 },
        Case { name: "near", views: [near, far], times_ms: [30, 30], first: 99..=100 },
        Case { name: "slow", views: [near, far], times_ms: [90, 30], first: 0..=1 },
        Case { name: "fails", views: [failing, far], times_ms: [30, 30], first: 0..=1 },
        Case {
            name: "saturated",
            views: [failing, far],
            times_ms: [30, 150],
            first: 99..=100,
        },
        Case { name: "busy", views: [busy, near], times_ms: [30, 30], first: 0..=1 },
        Case { name: "avoided", views: [away, near], times_ms: [1, 900], first: 0..=0 },
    ];
    for c in cases {
        let times = c.times_ms.map(Duration::from_millis);
        let pick = |n: u32| choose_plain(&c.views, &times, (f64::from(n) + 0.5) / 100.0);
        let first = (0..100).filter(|n| pick(*n) == Some(0)).count();
        assert!(c.first.contains(&first), "{}: {first}", c.name);
    }
    assert_eq!(choose_plain(&[], &[], 0.5), None);
}

#[test]
fn home_endpoints_are_consistent_and_stable() {
    let ids: Vec<Incarnation> =
        (0..18).map(|n| format!("run-{n}").as_str().into()).collect();
    let home = |target: u64, ids: &[Incarnation]| {
        rank_endpoints(target, ids.to_vec(), |id| id)[0].clone()
    };
    let mut reversed = ids.clone();
    reversed.reverse();
    let fewer = &ids[1..];
    let mut moved = 0;
    for target in 0..1000 {
        let first = home(target, &ids);
        assert_eq!(
            first,
            home(target, &reversed),
            "the order of the list does not matter"
        );
        if first != home(target, fewer) {
            assert_eq!(first, ids[0], "only what was at the lost endpoint moves");
            moved += 1;
        }
    }
    assert!((20..100).contains(&moved), "{moved} of 1000 moved");
}

#[test]
fn latest_host_copies_are_kept() {
    let mut copies = HostCopies::default();
    for target in 0..100 {
        copies.record_unload(target);
    }
    copies.record_unload(40);
    let known = |copies: &HostCopies| (0..100).filter(|t| copies.contains(*t)).count();
    assert_eq!(known(&copies), 64, "an adapter that left twice is remembered once");
    assert!(copies.contains(40) && copies.contains(99) && !copies.contains(35));
    copies.record_unload(200);
    assert!(copies.contains(200) && !copies.contains(36), "the oldest makes room");
    copies.clear();
    assert_eq!(known(&copies), 0);
}

#[test]
fn failures_add_cost_and_decay() {
    let start = Instant::now();
    let mut quality = EndpointQuality::new(start);
    quality.record_failure(start);
    let after_one = quality.failure_share(start);
    assert!(after_one < 0.3, "one failure does not condemn: {after_one}");
    for _ in 0..20 {
        quality.record_failure(start);
    }
    assert!(quality.failure_share(start) > 0.8);
    let later = start + Duration::from_secs(12);
    assert!(quality.failure_share(later) < 0.1, "{}", quality.failure_share(later));
    quality.record_unreachable(start);
    assert!(quality.is_avoided(start));
    assert!(!quality.is_avoided(start + Duration::from_secs(3)));
    quality.record_success(start, Duration::from_millis(5));
    assert!(!quality.is_avoided(start));
}

#[test]
fn demand_follows_the_rate() {
    let start = Instant::now();
    let mut demand = RequestRates::default();
    let adapter: AdapterId = "m/a1".into();
    for n in 0..200 {
        demand.record(start + Duration::from_millis(100 * n), &adapter);
    }
    let end = start + Duration::from_secs(20);
    let rate = demand.rate(end, &adapter);
    assert!((9.0..12.0).contains(&rate), "ten a second: {rate}");
    let later = demand.rate(end + Duration::from_secs(30), &adapter);
    assert!(later < 0.1, "forgotten: {later}");
    assert_eq!(demand.rate(end, &"m/other".into()), 0.0);
    let pays = |rate| should_load_in_hall(rate, Distance::SameRegion);
    assert!(pays(2.0) && !pays(1.0));
    let pays_far = |rate| should_load_in_hall(rate, Distance::OtherRegion);
    assert!(pays_far(0.5) && !pays_far(0.2));
}

#[test]
fn mechanisms_are_disabled_individually() {
    let off = DisabledMechanisms::from_iter([Mechanism::HomeRank, Mechanism::Retiring]);
    let cases = [
        (Mechanism::HomeRank, false),
        (Mechanism::HostCopies, true),
        (Mechanism::PacedFetches, true),
        (Mechanism::Retiring, false),
    ];
    for (mechanism, uses) in cases {
        assert_eq!(off.is_enabled(mechanism), uses, "{mechanism:?}");
        assert!(DisabledMechanisms::default().is_enabled(mechanism), "{mechanism:?}");
    }
}

#[test]
fn without_home_ranks_an_endpoint_in_the_hall_is_preferred() {
    let far_home = EndpointView { distance: Distance::SameRegion, ..ABSENT };
    let near = EndpointView { loads_ahead: 0, ..ABSENT };
    // Two ranks cost more than another hall.
    let views = [far_home, far_home, near];
    let off = DisabledMechanisms::from_iter([Mechanism::HomeRank]);
    assert_eq!(choose_for_adapter(&views, DisabledMechanisms::default()), Some(0));
    assert_eq!(choose_for_adapter(&views, off), Some(2));
}
