//! Ages of freshness proofs include the time during which the VM is suspended.

use std::time::{Duration, Instant};

use larkspring::clock::{advance, BootInstant};
use larkspring::direct::platform_api::StateKind;
use larkspring::direct::replicated_state::ReplicatedState;

/// Guards against an entry that keeps serving from its view of the keys after a
/// suspension: the monotonic clock stops meanwhile, so the view would seem fresh, and
/// keys removed during the suspension would still be accepted.
#[test]
fn proof_of_the_keys_ages_during_a_vm_suspension() {
    const SUSPENDED: Duration = Duration::from_secs(60);
    let replicated_state = ReplicatedState::default();
    replicated_state.record_proof(StateKind::Routing, BootInstant::now());
    let (before, steady) = (BootInstant::now(), Instant::now());
    advance(SUSPENDED);
    assert!(steady.elapsed() < SUSPENDED);
    assert!(before.elapsed() >= SUSPENDED);
    assert!(replicated_state
        .proof_age(StateKind::Routing)
        .is_some_and(|age| age >= SUSPENDED));
    // A proof in transit during the suspension is as old as the call that brought it.
    replicated_state.record_proof(StateKind::Routing, before);
    assert!(replicated_state
        .proof_age(StateKind::Routing)
        .is_some_and(|age| age >= SUSPENDED));
    replicated_state.record_proof(StateKind::Routing, BootInstant::now());
    assert!(replicated_state
        .proof_age(StateKind::Routing)
        .is_some_and(|age| age < SUSPENDED));
}
