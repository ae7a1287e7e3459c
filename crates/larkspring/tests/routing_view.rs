//! The routing and the proof by which a request is refused belong together.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use larkspring::clock::{advance, BootInstant};
use larkspring::direct::platform_api::{
    DecodedState, Item, ReadContent, ReadSource, StateKind,
};
use larkspring::direct::replicated_state::{ProofBasis, ReplicatedState};
use larkspring_core::fleet::routes::{RequestLimits, Routing, RoutingVersion};
use larkspring_core::ids::StorePoint;

/// Longer than any time for which a test runs.
const BOUND: Duration = Duration::from_secs(600);
/// Held by a test that advances the clock, which all tests of a process share.
static CLOCK: Mutex<()> = Mutex::new(());

fn put_in_force(state: &ReplicatedState, version: RoutingVersion) {
    let routing = Routing::new(version, [], [], RequestLimits::default());
    let items = vec![Item::Routing(Box::new(routing))];
    let at = StorePoint::new(1, version);
    let unknown_names = BTreeSet::new();
    state.apply_changes(Instant::now(), DecodedState { at, items, unknown_names });
}

fn basis(listed_at: Option<BootInstant>) -> Option<ProofBasis> {
    let (source, content) = (ReadSource::Store, ReadContent::Unchanged);
    let point = StorePoint::new(1, 1);
    Some(ProofBasis { source, content, point, listed_at, routing: None })
}

/// Guards against refusing a request by an old routing with the proof of a newer one that
/// comes into force while the request is handled.
#[test]
fn a_view_keeps_the_proof_of_its_own_routing() {
    let _clock = CLOCK.lock();
    let state = ReplicatedState::default();
    let prove = |state: &ReplicatedState| {
        let now = BootInstant::now();
        state.record_proof_of(StateKind::Routing, now, basis(Some(now)));
    };
    put_in_force(&state, 1);
    prove(&state);
    let old = state.routing_view().unwrap();
    assert!(old.is_absence_certain(BOUND));
    advance(BOUND);
    put_in_force(&state, 2);
    prove(&state);
    let new = state.routing_view().unwrap();
    assert_eq!((old.routing.version, new.routing.version), (1, 2));
    assert!(!old.is_absence_certain(BOUND));
    assert!(new.is_absence_certain(BOUND));
}

/// Guards against denying a route, or trusting a key, by an answer that rests on no list
/// of the store, or on a list older than the bound.
#[test]
fn only_a_recent_list_of_the_store_shows_that_a_route_is_missing() {
    struct Case {
        name: &'static str,
        /// The ages of the lists that successive answers rest on.
        lists: &'static [Option<Duration>],
        certain: bool,
    }
    const OLD: Duration = Duration::from_secs(601);
    let cases = [
        Case { name: "none", lists: &[None], certain: false },
        Case { name: "recent", lists: &[Some(Duration::ZERO)], certain: true },
        Case { name: "old", lists: &[Some(OLD)], certain: false },
        Case { name: "none after", lists: &[Some(Duration::ZERO), None], certain: true },
        Case {
            name: "old after",
            lists: &[Some(Duration::ZERO), Some(OLD)],
            certain: true,
        },
    ];
    let _clock = CLOCK.lock();
    advance(OLD);
    for c in cases {
        let state = ReplicatedState::default();
        put_in_force(&state, 1);
        for age in c.lists {
            let now = BootInstant::now();
            let listed_at = age.and_then(|age| now.checked_sub(age));
            state.record_proof_of(StateKind::Routing, now, basis(listed_at));
        }
        let view = state.routing_view().unwrap();
        assert_eq!(view.is_absence_certain(BOUND), c.certain, "{}", c.name);
        assert!(view.proof_age().is_some(), "{}", c.name);
    }
}
