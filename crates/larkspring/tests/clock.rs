//! Ages of freshness proofs include the time during which the VM is suspended.

use std::time::{Duration, Instant};

use larkspring::clock::{step, Moment};
use larkspring::direct::beliefs::Beliefs;
use larkspring::direct::edge::Kind;

/// Guards against an entry that keeps serving from its view of the keys after a suspension:
/// the monotonic clock stops meanwhile, so the view would seem fresh, and keys removed during
/// the suspension would still be accepted.
#[test]
fn proof_of_the_keys_ages_during_a_vm_suspension() {
    const SUSPENDED: Duration = Duration::from_secs(60);
    let beliefs = Beliefs::default();
    beliefs.proved(Kind::Routing, Moment::now());
    let (before, steady) = (Moment::now(), Instant::now());
    step(SUSPENDED);
    assert!(steady.elapsed() < SUSPENDED);
    assert!(before.elapsed() >= SUSPENDED);
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age >= SUSPENDED));
    // A proof in transit during the suspension is as old as the call that brought it.
    beliefs.proved(Kind::Routing, before);
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age >= SUSPENDED));
    beliefs.proved(Kind::Routing, Moment::now());
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age < SUSPENDED));
}
