//! Where streams began, told to agents and asked of them.
//!
//! A caller takes a broken stream up at any entry. The agents that keep where streams
//! began are the first in rendezvous order for the attempt's id, on which entries agree
//! without communicating. An entry tells them at the first events of a stream, and tells
//! agents that take the place of others for as long as the caller may come back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::future;
use larkspring_core::fleet::routes::{Route, RouteClass};
use larkspring_core::fleet::stream_origins::{
    KeptOrigin, StreamKey, StreamOrigin, StreamOrigins, StreamStart, MAX_KEPT,
};
use larkspring_core::ids::{BuildId, ServiceId};
use larkspring_proto::residency as wire;
use parking_lot::Mutex;
use smol::Timer;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::answer::ErrorReason;
use super::fleet::Fleet;
use super::link::{Link, StreamQuery};
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
    began: Mutex<Vec<BegunStream>>,
    /// When the agents were last told that streams begin there.
    told_services: Mutex<HashMap<(ServiceId, BuildId), Instant>>,
    changed: Event,
}

/// A stream that began at this entry.
struct BegunStream {
    key: StreamKey,
    origin: StreamOrigin,
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
    /// The agents that should know it, and how many of them replied.
    keepers: usize,
    replies: usize,
}

impl Default for Finding {
    fn default() -> Self {
        let kept = KeptOrigin::Unknown;
        Self { kept, known_by: "unknown", keepers: 0, replies: 0 }
    }
}

/// An agent and the number of the connection to it.
type AgentConnection = (SocketAddr, u64);

/// Interval of checks for agents that took the place of others.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time-out for the agents' replies: a few round trips between halls and a scheduling
/// delay of a busy process.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Interval at which agents are told at which software the streams of a service begin.
const SERVICE_TELL_INTERVAL: Duration = Duration::from_secs(4);
/// Keeps the keys of services apart from those of attempts.
const SERVICE_SEED: u64 = 1;
/// Limits the streams that are told again to other agents.
const MAX_BEGUN: usize = 16 * 1024;

impl StreamTracker {
    /// Creates a tracker without streams.
    pub fn new(fleet: Arc<Fleet>, stats: Arc<Stats>) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            stats,
            origins: Mutex::default(),
            began: Mutex::default(),
            told_services: Mutex::default(),
            changed: Event::new(),
        })
    }

    /// Records that the stream of an attempt began. Callers may take it up for `kept`.
    pub fn record(&self, attempt: &str, origin: StreamOrigin, kept: Duration) {
        let (key, now) = (stream_key(attempt), Instant::now());
        let until = now + kept.min(MAX_KEPT);
        self.origins.lock().record(now, key, origin.clone(), until);
        if let Some(until) = self.service_told_until(now, &origin, until) {
            self.push(service_key(&origin.service), origin.clone(), until);
        }
        self.push(key, origin, until);
        self.changed.notify(1);
    }

    fn push(&self, key: StreamKey, origin: StreamOrigin, until: Instant) {
        let mut began = self.began.lock();
        if began.len() < MAX_BEGUN {
            began.push(BegunStream { key, origin, until, told: Vec::new() });
        }
    }

    /// Returns until when the agents are to keep that streams of the service begin at this
    /// software; `None` if they were told lately.
    fn service_told_until(
        &self,
        now: Instant,
        origin: &StreamOrigin,
        until: Instant,
    ) -> Option<Instant> {
        let mut told = self.told_services.lock();
        let key = (origin.service.clone(), origin.build.clone());
        let last = told.get(&key).map(|at| now.saturating_duration_since(*at));
        if last.is_some_and(|age| age < SERVICE_TELL_INTERVAL) {
            return None;
        }
        told.retain(|_, at| now.saturating_duration_since(*at) < SERVICE_TELL_INTERVAL);
        told.insert(key, now);
        Some(until + SERVICE_TELL_INTERVAL)
    }

    /// Returns where a stream began that its caller takes up; `None` if that is not known,
    /// or not the same everywhere.
    ///
    /// `attempt` brought the first event, if the caller states it; `service` is the only
    /// one to which the route leads, if there is only one.
    pub async fn find(
        &self,
        attempt: Option<&str>,
        service: Option<&ServiceId>,
        window: Duration,
    ) -> Finding {
        let mut found = match attempt {
            Some(attempt) => self.find_attempt(stream_key(attempt)).await,
            None => Finding::default(),
        };
        if let (KeptOrigin::Unknown, Some(service)) = (&found.kept, service) {
            if let Some(only) = self.find_only(service, window).await {
                found.kept = KeptOrigin::Known(only);
                found.known_by = "one version";
            }
        }
        self.stats.count_taken_up(found.known_by);
        found
    }

    /// Returns where streams of a service begin if all did so at one software version
    /// within `window`. An entry that has known the service for less asks the agents.
    async fn find_only(
        &self,
        service: &ServiceId,
        window: Duration,
    ) -> Option<StreamOrigin> {
        let (build, is_long_known) = self.fleet.only_build(service, window)?;
        let only = StreamOrigin { service: service.clone(), build };
        if is_long_known {
            return Some(only);
        }
        let found = self.find_attempt(service_key(service)).await;
        (found.kept == KeptOrigin::Known(only.clone())).then_some(only)
    }

    /// Returns what this entry and the agents keep.
    async fn find_attempt(&self, key: StreamKey) -> Finding {
        let own = self.origins.lock().get(Instant::now(), key);
        let keepers = self.fleet.stream_keepers(key);
        let queries: Vec<_> =
            keepers.iter().filter_map(|(_, link)| link.query_stream(key)).collect();
        let (kept, replies) = ask(&queries).await;
        let is_own = own != KeptOrigin::Unknown;
        let kept = own.merge(kept);
        let known_by = match &kept {
            KeptOrigin::Known(_) if is_own => "own",
            KeptOrigin::Known(_) => "agents",
            KeptOrigin::Ambiguous => "ambiguous",
            KeptOrigin::Unknown => "unknown",
        };
        Finding { kept, known_by, keepers: keepers.len(), replies }
    }

    /// Tells agents where streams began, until dropped.
    pub async fn run(self: Arc<Self>) {
        let mut agents = Vec::new();
        let mut check_at = Instant::now() + CHECK_INTERVAL;
        loop {
            let changed = self.changed.listen();
            let now = Instant::now();
            self.began.lock().retain(|stream| stream.until > now);
            let is_check_due = now >= check_at;
            if is_check_due {
                check_at = now + CHECK_INTERVAL;
            }
            self.tell(now, is_check_due && self.agents_changed(&mut agents));
            let check = async {
                Timer::at(check_at).await;
            };
            future::or(changed, check).await;
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
    /// agents changed, else those that have just begun.
    fn tell(&self, now: Instant, has_changed: bool) {
        let mut messages: Vec<(Arc<Link>, Vec<wire::StreamStart>)> = Vec::new();
        let mut began = self.began.lock();
        let is_due = |stream: &&mut BegunStream| has_changed || stream.told.is_empty();
        for stream in began.iter_mut().filter(is_due) {
            for (addr, link) in self.fleet.stream_keepers(stream.key) {
                let agent = (addr, link.connection_count());
                if !link.is_usable() || stream.told.contains(&agent) {
                    continue;
                }
                stream.told.push(agent);
                let kept = stream.until.saturating_duration_since(now);
                let start = encode_start(stream.key, &stream.origin, kept);
                match messages.iter_mut().find(|(known, _)| Arc::ptr_eq(known, &link)) {
                    Some((_, starts)) => starts.push(start),
                    None => messages.push((link, vec![start])),
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
    let window = take_up_time(caller, route);
    let found = entry.streams.find(attempt, service, window).await;
    log_found(caller, &found);
    let KeptOrigin::Known(origin) = found.kept else {
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
        let origin = match &found.kept {
            KeptOrigin::Known(origin) => Some(origin),
            KeptOrigin::Unknown | KeptOrigin::Ambiguous => None,
        };
        tracing::info!(
            event = "stream taken up",
            request = caller.id,
            resumes = caller.resumed_attempt,
            after = caller.resume_after,
            known_by = found.known_by,
            keepers = found.keepers,
            replies = found.replies,
            service = origin.map(|at| &*at.service),
            build = origin.map(|at| &*at.build),
        );
    }
}

/// Returns what the agents keep, by the replies that come in time, and their number.
async fn ask(queries: &[StreamQuery]) -> (KeptOrigin, usize) {
    let deadline = Instant::now() + REPLY_TIMEOUT;
    let (mut kept, mut replies) = (KeptOrigin::Unknown, 0);
    for query in queries {
        let left = deadline.saturating_duration_since(Instant::now());
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

/// Returns the key under which agents keep at which software the streams of a service
/// begin.
fn service_key(service: &ServiceId) -> StreamKey {
    xxh3_64_with_seed(service.as_bytes(), SERVICE_SEED)
}
