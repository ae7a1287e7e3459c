//! Where streams began, told to agents and asked of them.
//!
//! A caller takes a broken stream up at any entry. The agents that keep where streams
//! began are the first in rendezvous order for the attempt's id, on which entries agree
//! without communicating. An entry tells them when it sends the request, and tells agents
//! that take the place of others, or of ones that will leave, for as long as the caller
//! may come back.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use larkspring_core::fleet::routes::{Route, RouteClass};
use larkspring_core::fleet::stream_origins::{
    KeptOrigin, StreamKey, StreamOrigin, StreamOrigins, StreamStart, MAX_KEPT,
};
use larkspring_core::ids::ServiceId;
use larkspring_proto::residency as wire;
use parking_lot::Mutex;
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use super::answer::ErrorReason;
use super::build_record::BuildRecord;
use super::fleet::Fleet;
use super::link::{AgentStatus, Link, StreamQuery};
use super::peer::Peer;
use super::request_handler::DEFAULT_TIMEOUT;
use super::EntryState;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::CallerRequest;
use crate::direct::stats::Stats;
use crate::direct::streams::encode_start;
use crate::exec::with_timeout;

/// The streams that began at this entry, and the way to those of others.
pub(super) struct StreamTracker {
    fleet: Arc<Fleet>,
    stats: Arc<Stats>,
    origins: Mutex<StreamOrigins>,
    /// The oldest first.
    began: Mutex<VecDeque<BegunStream>>,
    builds: Arc<BuildRecord>,
    changed: Event,
}

/// A stream that was sent or began at this entry.
struct BegunStream {
    key: StreamKey,
    kept: KeptOrigin,
    /// The agent beside the endpoint, which is there for as long as the endpoint.
    beside: Option<Arc<Link>>,
    /// When callers can no longer take the stream up.
    until: Instant,
    /// The agents that were told.
    told: Vec<AgentConnection>,
}

/// What was found out about the beginning of a stream.
pub(super) struct Finding {
    kept: KeptOrigin,
    /// Who knew it; the label of the metric.
    known_by: &'static str,
    /// The agents that were asked, and how many of them replied.
    asked: usize,
    replies: usize,
}

impl Default for Finding {
    fn default() -> Self {
        let kept = KeptOrigin::Unknown;
        Self { kept, known_by: "unknown", asked: 0, replies: 0 }
    }
}

/// An agent and the number of the connection to it.
type AgentConnection = (SocketAddr, u64);

/// Interval of checks for agents that restarted.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval at which streams are told again to other agents.
const MIN_RETELL_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out for the replies of agents that are connected: a few round trips between halls
/// and a scheduling delay of a busy process.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Time-out for finding out where a stream began by an entry that has just started and is
/// not connected to the agents yet.
const STARTING_TIMEOUT: Duration = Duration::from_millis(500);
/// Limits the streams that are told again to other agents.
const MAX_BEGUN: usize = 16 * 1024;

impl StreamTracker {
    /// Creates a tracker without streams.
    pub fn new(
        fleet: Arc<Fleet>,
        builds: Arc<BuildRecord>,
        stats: Arc<Stats>,
    ) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            builds,
            stats,
            origins: Mutex::default(),
            began: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Records where the stream of an attempt was sent or began, at a peer. Callers may
    /// take it up for `kept_for`.
    pub fn record(
        &self,
        attempt: &str,
        peer: &Peer,
        kept: KeptOrigin,
        kept_for: Duration,
    ) {
        let (key, now) = (stream_key(attempt), Instant::now());
        let until = now + kept_for.min(MAX_KEPT);
        let kept = {
            let mut origins = self.origins.lock();
            let before = origins.get(now, key);
            origins.record(now, key, kept, until);
            let kept = origins.get(now, key);
            let has_origin = kept.origin().is_some();
            if before == kept || has_origin && before.origin() == kept.origin() {
                return;
            }
            kept
        };
        let mut began = self.began.lock();
        if began.len() >= MAX_BEGUN {
            // The agents that were told keep it.
            began.pop_front();
        }
        let beside = peer.link.clone();
        began.push_back(BegunStream { key, kept, beside, until, told: Vec::new() });
        drop(began);
        self.changed.notify(1);
    }

    /// Finds out where a stream began that its caller takes up.
    ///
    /// `attempt` brought the first event, if the caller states it; `service` is the only
    /// one to which the route leads, if there is only one.
    pub async fn find(
        &self,
        attempt: Option<&str>,
        service: Option<&ServiceId>,
    ) -> Finding {
        let starting = Instant::now() + STARTING_TIMEOUT;
        self.wait_for_endpoints(starting).await;
        let mut found = match attempt {
            Some(attempt) => self.find_attempt(stream_key(attempt), starting).await,
            None => Finding::default(),
        };
        if let (KeptOrigin::Unknown, Some(service)) = (&found.kept, service) {
            if let Some(only) = self.find_only(service).await {
                found.kept = KeptOrigin::Begun(only);
                found.known_by = "one version";
            }
        }
        self.stats.count_taken_up(found.known_by);
        found
    }

    /// Waits until endpoints are known, as an entry that has just started knows none.
    async fn wait_for_endpoints(&self, until: Instant) {
        let known = async {
            loop {
                let changed = self.fleet.listen();
                if !self.fleet.is_empty() {
                    return;
                }
                changed.await;
            }
        };
        let left = until.saturating_duration_since(Instant::now());
        // What is not known by then is not found.
        let _ = with_timeout(left, known).await;
    }

    /// Returns where streams of a service begin if all that callers may have can have done
    /// so at one software version only.
    async fn find_only(&self, service: &ServiceId) -> Option<StreamOrigin> {
        let recorded = self.builds.read().await?;
        // The deadline of the caller's former tries is not known.
        let build = self.fleet.only_build(service, MAX_KEPT, &recorded)?;
        Some(StreamOrigin { service: service.clone(), build })
    }

    /// Returns what this entry and the agents keep.
    async fn find_attempt(&self, key: StreamKey, starting: Instant) -> Finding {
        let own = self.origins.lock().get(Instant::now(), key);
        let (first, others) = self.fleet.keeper_set().asked(key);
        let (mut kept, mut replies) = ask(key, &first, starting).await;
        let mut asked = first.len();
        let is_own = own != KeptOrigin::Unknown;
        kept = own.merge(kept);
        if kept == KeptOrigin::Unknown {
            // The agent beside the endpoint may know it, whichever that is.
            let (known, more) = ask(key, &others, starting).await;
            (kept, replies) = (known, replies + more);
            asked += others.len();
        }
        let known_by = match &kept {
            KeptOrigin::Sent(_) | KeptOrigin::Begun(_) if is_own => "own",
            KeptOrigin::Sent(_) | KeptOrigin::Begun(_) => "agents",
            KeptOrigin::SentToSeveral | KeptOrigin::Ambiguous => "ambiguous",
            KeptOrigin::Unknown => "unknown",
        };
        Finding { kept, known_by, asked, replies }
    }

    /// Tells agents where streams began, until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut agents = Vec::new();
        let mut check_at = Instant::now() + CHECK_INTERVAL;
        let mut retold_at = Instant::now();
        loop {
            let changed = self.changed.listen();
            let keepers_changed = self.fleet.keepers_changed();
            let now = Instant::now();
            self.began.lock().retain(|stream| stream.until > now);
            let is_check_due = now >= check_at;
            if is_check_due {
                check_at = now + CHECK_INTERVAL;
            }
            let has_changed = is_check_due && self.agents_changed(&mut agents);
            if has_changed {
                retold_at = now;
            }
            self.tell(now, has_changed);
            let check = async {
                Timer::at(check_at).await;
                false
            };
            let changed = async {
                changed.await;
                false
            };
            let keepers_changed = async {
                keepers_changed.await;
                true
            };
            if future::or(keepers_changed, future::or(changed, check)).await {
                agents.clear();
                check_at = check_at.min(retold_at + MIN_RETELL_INTERVAL);
            }
        }
    }

    /// Returns whether the connections to agents changed while there are streams to tell.
    fn agents_changed(&self, known: &mut Vec<AgentConnection>) -> bool {
        if self.began.lock().is_empty() {
            return false;
        }
        let links = self.fleet.usable_links();
        let mut agents: Vec<_> =
            links.iter().map(|(addr, link)| (*addr, link.connection_count())).collect();
        agents.sort_unstable();
        std::mem::replace(known, agents.clone()) != agents
    }

    /// Tells streams to those of their agents that were not told yet: all streams if the
    /// agents changed, else those that are new.
    fn tell(&self, now: Instant, has_changed: bool) {
        let mut messages: Vec<(Arc<Link>, Vec<wire::StreamStart>)> = Vec::new();
        let keepers = self.fleet.keeper_set();
        let mut began = self.began.lock();
        let is_due = |stream: &&mut BegunStream| has_changed || stream.told.is_empty();
        for stream in began.iter_mut().filter(is_due) {
            let kept_for = stream.until.saturating_duration_since(now);
            let Some(start) = encode_start(stream.key, &stream.kept, kept_for) else {
                continue;
            };
            let told = match stream.kept {
                KeptOrigin::Sent(_) => keepers.told(stream.key),
                // An agent that was told of the first send only would name its version.
                _ => keepers.all(),
            };
            for link in told.into_iter().chain(&stream.beside) {
                let Ok(addr) = link.addr().parse() else { continue };
                let agent = (addr, link.connection_count());
                if !link.is_usable() || stream.told.contains(&agent) {
                    continue;
                }
                // A message that is lost with its connection is sent again on the next.
                stream.told.push(agent);
                match messages.iter_mut().find(|(known, _)| Arc::ptr_eq(known, link)) {
                    Some((_, starts)) => starts.push(start.clone()),
                    None => messages.push((link.clone(), vec![start.clone()])),
                }
            }
        }
        drop(began);
        for (link, starts) in messages {
            // An agent that can't be told leaves the others.
            link.send_stream_starts(starts);
        }
    }
}

/// Returns for how long a caller may take a stream up: for its deadline or the route's
/// time-out, and as long again if it counts anew.
pub(super) fn take_up_time(caller: &CallerRequest, route: &Route) -> Duration {
    let own = caller.deadline.unwrap_or(DEFAULT_TIMEOUT);
    2 * own.max(route.timeout.unwrap_or(own))
}

/// Returns where the stream began that a request takes up.
pub(super) async fn stream_start(
    entry: &EntryState,
    route: &Route,
    caller: &CallerRequest,
) -> Result<StreamStart, ErrorReason> {
    let may_resume = route.class == RouteClass::Stream { resumable: true };
    if !may_resume || caller.resume_after.is_none() {
        return Ok(StreamStart::NotBegun);
    }
    let service = match &route.targets[..] {
        [only] => Some(&only.service),
        _ => None,
    };
    let attempt = caller.resumed_attempt.as_deref();
    let found = entry.streams.find(attempt, service).await;
    log_found(caller, &found);
    let Some(origin) = found.kept.origin().cloned() else {
        return Err(ErrorReason::UnknownBuild);
    };
    // A stream does not go on at a service to which its route no longer leads.
    if !route.targets.iter().any(|target| target.service == origin.service) {
        return Err(ErrorReason::NoSameBuild);
    }
    Ok(StreamStart::At(origin))
}

fn log_found(caller: &CallerRequest, found: &Finding) {
    if logs::is_allowed(LineKind::Attempt) {
        let origin = found.kept.origin();
        tracing::info!(
            event = "stream taken up",
            request = caller.id,
            resumes = caller.resumed_attempt,
            after = caller.resume_after,
            known_by = found.known_by,
            asked = found.asked,
            replies = found.replies,
            service = origin.map(|at| &*at.service),
            build = origin.map(|at| &*at.build),
        );
    }
}

/// Returns what agents keep, by the replies that come in time, and their number.
async fn ask(
    key: StreamKey,
    agents: &[Arc<Link>],
    starting: Instant,
) -> (KeptOrigin, usize) {
    let connected = Instant::now() + REPLY_TIMEOUT;
    let limit = |link: &Link| match link.status() {
        AgentStatus::Unknown => starting.max(connected),
        AgentStatus::Live | AgentStatus::Unresponsive => connected,
    };
    let queries: Vec<(Instant, StreamQuery)> = agents
        .iter()
        .filter_map(|link| Some((limit(link), link.query_stream(key)?)))
        .collect();
    let (mut kept, mut replies) = (KeptOrigin::Unknown, 0);
    for (limit, query) in &queries {
        let left = limit.saturating_duration_since(Instant::now());
        if let Some(Some(reply)) = with_timeout(left, query.reply()).await {
            kept = kept.merge(reply);
            replies += 1;
        }
    }
    (kept, replies)
}

fn stream_key(attempt: &str) -> StreamKey {
    xxh3_64(attempt.as_bytes())
}
