//! Tests of the timing of reads of the declared state against the bound on a change.

use std::time::Duration;

use fastrand::Rng;
use larkspring_core::fleet::read_timing::{
    AgentReadTiming, ChangeFrequency, StoreReadTiming, MAX_AGENTS_PER_READ,
};

const BOUNDS_MS: [u64; 6] = [500, 1000, 2000, 3000, 4000, 10_000];
const KINDS: [ChangeFrequency; 2] = [ChangeFrequency::Rare, ChangeFrequency::Continuous];

/// Guards against waits that are each shorter than the bound on a change but exceed it in
/// total.
#[test]
fn waits_on_each_path_total_less_than_the_bound() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        for changes in KINDS {
            let direct = StoreReadTiming::for_entry(bound, changes);
            let lost = direct.max_delay(0);
            assert!(lost < bound, "{changes:?}: {lost:?} of {bound:?} by the store");
            let repeated = direct.max_delay(1);
            assert!(
                repeated <= bound,
                "{changes:?}: {repeated:?} of {bound:?}, two lost"
            );
            let agent = StoreReadTiming::for_agent(bound, changes);
            let healthy = agent.pause + agent.long_poll;
            let oldest = AgentReadTiming::new(bound).max_age;
            assert!(
                healthy < oldest,
                "{changes:?}: {healthy:?} of {oldest:?} at an agent"
            );
        }
        let relayed = AgentReadTiming::new(bound).max_delay();
        assert!(relayed < bound, "{relayed:?} of {bound:?} by agents");
    }
}

/// An entry that reads from agents and, if no agent's answer is recent enough, from the
/// store. Times in ms.
struct Follower {
    pace: AgentReadTiming,
    /// Time of the store's answer on which the entry's state is based.
    store_time: f64,
    now: f64,
}

/// State of an agent from the fault on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Agent {
    /// Reads from the store normally.
    Healthy,
    /// Gets no answers from the store any more, and reports no changes.
    Stale,
    /// Does not answer.
    Paused,
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

impl Follower {
    /// Reads until the state at `change` or later is known; returns the time.
    ///
    /// Every answer takes as long as allowed, and every fault begins at `fault`, when the
    /// store last answered the agents.
    fn follow(
        &mut self,
        agents: [Agent; MAX_AGENTS_PER_READ],
        fault: f64,
        change: f64,
    ) -> f64 {
        loop {
            let age =
                Duration::from_secs_f64((self.now - self.store_time).max(0.0) / 1e3);
            let mut wait = ms(self.pace.long_poll_at(age));
            for agent in agents {
                match agent {
                    Agent::Paused => self.now += wait + ms(self.pace.answer_timeout),
                    Agent::Healthy | Agent::Stale => {
                        self.now += wait;
                        let store_time =
                            if agent == Agent::Healthy { self.now } else { fault };
                        if self.now - store_time <= ms(self.pace.max_age) {
                            self.store_time = store_time;
                            break;
                        }
                        self.now += ms(self.pace.answer_timeout);
                    }
                }
                // Only the first agent is asked to wait for a change.
                wait = 0.0;
            }
            let is_recent = self.now - self.store_time <= ms(self.pace.max_age);
            if !is_recent {
                self.now += ms(self.pace.store_read_timeout);
                self.store_time = self.now;
            }
            if self.store_time >= change {
                return self.now;
            }
            self.now += ms(self.pace.pause);
        }
    }
}

/// Guards against a sequence of agents and reads in which each step is in time but the
/// total exceeds the bound: faults of both agents and changes at random times, with every
/// step as late as allowed.
#[test]
fn random_agent_faults_never_delay_a_change_beyond_its_bound() {
    let mut rng = Rng::with_seed(46);
    let mut worst: f64 = 0.0;
    for series in 0..20_000 {
        let bound = BOUNDS_MS[rng.usize(..BOUNDS_MS.len())];
        let pace = AgentReadTiming::new(Duration::from_millis(bound));
        let fault = rng.f64() * bound as f64;
        let kinds = [Agent::Healthy, Agent::Stale, Agent::Paused];
        let agents = std::array::from_fn(|_| kinds[rng.usize(..kinds.len())]);
        let lag = rng.f64() * ms(pace.max_age).min(fault);
        let change = fault + rng.f64() * 2.0;
        let mut entry = Follower { pace, store_time: fault - lag, now: fault };
        let known = entry.follow(agents, fault, change);
        let part = (known - change) / bound as f64;
        assert!(part < 1.0, "series {series}: {agents:?}: {part} of {bound} ms");
        worst = worst.max(part);
    }
    println!("worst: {worst:.3} of the bound");
}
