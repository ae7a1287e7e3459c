//! Permits to send to endpoints that name a rate which they take from all VMs together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::ranked;
use larkspring_core::fleet::permits::{self, run_hash, Ask, Home, Verdict, UNUSED};
use parking_lot::Mutex;

use super::fleet::Fleet;
use super::link::Link;
use super::peer::Peer;
use crate::direct::stats::Stats;

/// What this entry needs to ask for permits.
pub(super) struct Permits {
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
    /// Homes that did not answer, and until when others are asked in their place.
    passed_over: Mutex<Vec<(SocketAddr, Instant)>>,
    /// Grants a part of each rate while no agent is known.
    own: Mutex<permits::Permits>,
}

/// Leave to send one request to a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    until: Instant,
}

/// Whether a request may be sent to a run.
pub(super) enum Leave {
    /// The run takes what comes.
    Free,
    /// One of those that it takes.
    With(Permit),
    /// Its rate is used up for so long.
    UsedUp(Duration),
}

/// How long a home that did not answer is not asked.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// How long a run is left alone if nobody grants for it: about the time after which a
/// killed agent is back.
const NOBODY: Duration = Duration::from_millis(250);

impl Permits {
    /// Creates permits of which none was asked for.
    pub fn new(fleet: Arc<Fleet>, stats: Arc<Stats>) -> Self {
        Self { fleet, stats, passed_over: Mutex::default(), own: Mutex::default() }
    }

    /// Asks for leave to send a request to an endpoint.
    pub async fn ask(&self, peer: &Arc<Peer>) -> Leave {
        let now = Instant::now();
        let Some(limit) = peer.rate_limit() else { return Leave::Free };
        let Some(rate) = limit.in_force(now) else { return Leave::Free };
        let ask = Ask {
            run: run_hash(&peer.endpoint().id),
            rate,
            age: now.saturating_duration_since(limit.told_at()),
            home: Home::First,
        };
        let verdict = self.verdict(peer, ask).await;
        self.stats.permit(match verdict {
            Some(Verdict::Granted) => "granted",
            Some(Verdict::Denied(_)) => "denied",
            None => "unanswered",
        });
        match verdict {
            Some(Verdict::Granted) => Leave::With(Permit::new()),
            Some(Verdict::Denied(wait)) => Leave::UsedUp(wait),
            None => Leave::UsedUp(NOBODY),
        }
    }

    /// Asks the home of a run, and the process that ranks second if that does not answer.
    async fn verdict(&self, peer: &Peer, ask: Ask) -> Option<Verdict> {
        let homes = self.homes(peer, ask.run);
        if homes.is_empty() {
            let ask = Ask { home: Home::Alone, ..ask };
            return Some(self.own.lock().ask(Instant::now(), &ask));
        }
        for ((addr, link), home) in homes.into_iter().zip([Home::First, Home::Second]) {
            if self.is_passed_over(addr) {
                continue;
            }
            match link.permit(&Ask { home, ..ask }).await {
                Some(verdict) => return Some(verdict),
                None => {
                    let until = Instant::now() + PASSED_OVER;
                    self.passed_over.lock().push((addr, until));
                }
            }
        }
        None
    }

    /// Agents in the order in which they are asked for a run: the one beside it first, then
    /// by rank among all, so that entries agree on them without talking.
    fn homes(&self, peer: &Peer, run: permits::RunHash) -> Vec<(SocketAddr, Arc<Link>)> {
        let links = self.fleet.links().into_iter();
        let named = links.map(|(addr, link)| (addr.to_string().into(), (addr, link)));
        let ranked = ranked(run, named.collect(), |(name, _)| name);
        let mut homes: Vec<_> = ranked.into_iter().map(|(_, home)| home).collect();
        if let Some(own) = &peer.link {
            // A stable sort, so that the others keep their rank.
            homes.sort_by_key(|(_, link)| !Arc::ptr_eq(link, own));
        }
        homes
    }

    fn is_passed_over(&self, addr: SocketAddr) -> bool {
        let now = Instant::now();
        let mut passed_over = self.passed_over.lock();
        passed_over.retain(|(_, until)| *until > now);
        passed_over.iter().any(|(out, _)| *out == addr)
    }
}

impl Permit {
    fn new() -> Self {
        Self { until: Instant::now() + UNUSED }
    }

    /// Whether a request may still be sent by it.
    pub fn holds(&self) -> bool {
        Instant::now() < self.until
    }
}
