//! Ages that prove something go on while the VM is suspended.

use std::time::{Duration, Instant};

use larkspring::clock::{step, Moment};
use larkspring::direct::beliefs::Beliefs;
use larkspring::direct::edge::Kind;

/// A view of the keys that was new before a suspension is old after it, though the steady
/// clock stood still: an entry that served on by it would serve keys taken away meanwhile.
#[test]
fn a_view_of_the_keys_ages_while_the_vm_is_suspended() {
    const SUSPENDED: Duration = Duration::from_secs(60);
    let beliefs = Beliefs::default();
    beliefs.proved(Kind::Routing, Moment::now());
    let (before, steady) = (Moment::now(), Instant::now());
    step(SUSPENDED);
    assert!(steady.elapsed() < SUSPENDED);
    assert!(before.elapsed() >= SUSPENDED);
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age >= SUSPENDED));
    // A proof that was on its way meanwhile is as old as the call that brought it.
    beliefs.proved(Kind::Routing, before);
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age >= SUSPENDED));
    beliefs.proved(Kind::Routing, Moment::now());
    assert!(beliefs.proof_age(Kind::Routing).is_some_and(|age| age < SUSPENDED));
}
