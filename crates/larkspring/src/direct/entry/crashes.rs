//! Detection of endpoints that crash under requests of this entry.
//!
//! A broken connection alone proves no crash: it may have been reset, cut, or closed by a
//! draining endpoint. So the entry probes the endpoint. A listed endpoint that is not
//! draining has crashed if its VM refuses connections to the port, or if another run soon
//! takes over its address. The crash counts against the features of the interrupted requests,
//! and is reported for each feature to two agents, the first in rendezvous order for the
//! feature, which count the crashes.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::choose::rank_endpoints;
use larkspring_core::fleet::read_timing::MAX_AGENTS_PER_READ;
use larkspring_core::ids::Incarnation;
use larkspring_core::quarantine::{Crash, CrashReport, Feature, QuarantineStatus};
use parking_lot::Mutex;
use smol::Timer;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::features::RequestFeatures;
use super::fleet::Fleet;
use super::link::Link;
use super::peer::{InterruptedRequest, Peer};
use crate::direct::conn::EndpointConn;
use crate::direct::logs::{self, LineKind};
use crate::direct::quarantine::CrashReports;
use crate::direct::stats::Stats;
use crate::exec::{self, with_timeout};
use crate::http::client::{connect, HttpError};

/// The crashes that this entry detected, and the known crash reports of all entries.
pub(super) struct CrashDetector {
    fleet: Arc<Fleet>,
    crash_reports: Arc<CrashReports>,
    stats: Arc<Stats>,
    /// Crashes detected by this entry, the latest last.
    crashes: Mutex<VecDeque<DetectedCrash>>,
    /// The live agents at the last check for agents that lack a report.
    agents: Mutex<Vec<AgentConnection>>,
}

/// An agent and the number of the connection to it.
type AgentConnection = (SocketAddr, u64);

/// A crash of a run under requests with a feature.
struct DetectedCrash {
    feature: Feature,
    end: Crash,
    /// Agents to which the crash was reported.
    reported_to: Vec<AgentConnection>,
    /// Whether the quarantine that followed was relayed to all halls.
    is_relayed: bool,
}

/// Time-out of a probe of the endpoint's port. Allows for one lost packet, which the
/// operating system resends after a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long to wait for another run of the endpoint, reported by its agent or by its own
/// answer, if the probe is inconclusive. Engines restart in about 3 s.
const NEXT_RUN_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of agents that count the crashes of a feature. With two, the count
/// survives the loss of one agent.
const COUNTING_AGENTS: usize = 2;
/// Limits the requests that a log line names.
const MAX_LOGGED_REQUESTS: usize = 16;
/// Interval of checks for agents that lack a report, since an agent became unresponsive
/// or restarted and another may have taken its place.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a crash is reported to agents that take the place of others. Callers have
/// retried a request that crashes endpoints a few times by then.
const REPORT_PERIOD: Duration = Duration::from_secs(60);
/// Limits the crashes kept for these reports: those of 64 engines with 64 requests each.
const MAX_DETECTED_CRASHES: usize = 4096;

impl CrashDetector {
    /// Creates a record without crashes.
    pub fn new(
        fleet: Arc<Fleet>,
        crash_reports: Arc<CrashReports>,
        stats: Arc<Stats>,
    ) -> Arc<Self> {
        let (crashes, agents) = (Mutex::default(), Mutex::default());
        Arc::new(Self { fleet, crash_reports, stats, crashes, agents })
    }

    /// Returns whether requests with one of these features are quarantined.
    pub fn is_quarantined(&self, features: &RequestFeatures) -> bool {
        self.crash_reports.status(features.iter()) == QuarantineStatus::Refused
    }

    /// Returns whether endpoints crashed under requests with one of these features, also
    /// if these were too few for a quarantine.
    pub fn is_suspected(&self, features: &RequestFeatures) -> bool {
        self.crash_reports.status(features.iter()) >= QuarantineStatus::Suspected
    }

    /// Records that a request's connection broke before the answer was complete.
    pub fn connection_broke(
        self: &Arc<Self>,
        peer: &Arc<Peer>,
        features: &Arc<RequestFeatures>,
        id: &str,
        sent_at: Instant,
        has_begun: bool,
    ) {
        let endpoint = peer.endpoint();
        // A draining endpoint exits as planned, whatever requests it runs.
        if endpoint.leaving || !self.fleet.contains(&endpoint.id) {
            return;
        }
        if peer.record_interrupted(InterruptedRequest {
            features: features.clone(),
            id: id.into(),
            has_begun,
            sent_at,
            crashed_at: Instant::now(),
        }) {
            exec::spawn(self.clone().probe(peer.clone())).detach();
        }
    }

    /// Records a complete answer, which voids the crashes before it for all features of
    /// its request.
    pub fn record_answer(&self, features: &RequestFeatures) {
        self.clear(features.iter());
    }

    fn clear(&self, features: impl Iterator<Item = Feature>) {
        for cleared in self.crash_reports.record_answer(features) {
            self.crashes.lock().retain(|crash| crash.feature != cleared.feature);
            let agents = Agents::of(&self.fleet);
            for (_, link) in agents.counting(cleared.feature) {
                // An agent that can't be reached keeps suspecting the request.
                link.send_crash_reports(&[cleared]);
            }
        }
    }

    /// Updates the metrics of quarantined and suspected requests.
    pub fn update_metrics(&self) {
        self.crash_reports.write_metrics();
    }

    /// Reports recent crashes to agents that take the place of others, until dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            Timer::after(REPORT_INTERVAL).await;
            let recent =
                |crash: &DetectedCrash| crash.end.crashed_at.elapsed() < REPORT_PERIOD;
            self.crashes.lock().retain(recent);
            if self.agents_changed() {
                self.report();
            }
            self.relay_quarantined();
            self.relay_contradictions();
        }
    }

    /// Tells the agents from which each hall reads the declared state of features that were
    /// quarantined after crashes detected here. In a large fleet the counting agents
    /// are connected to a part of the entries, these agents to all entries of their hall.
    fn relay_quarantined(&self) {
        if self.fleet.follows_all() {
            return;
        }
        let mut relayed = Vec::new();
        for crash in self.crashes.lock().iter_mut().filter(|crash| !crash.is_relayed) {
            let status = self.crash_reports.status([crash.feature]);
            crash.is_relayed = status == QuarantineStatus::Refused;
            if crash.is_relayed {
                relayed.push(crash.feature);
            }
        }
        if relayed.is_empty() {
            return;
        }
        let mut reports = self.crash_reports.latest();
        reports.retain(|found| relayed.contains(&found.feature));
        self.send_to_halls(&reports);
    }

    /// Sends remembered answers that spoke against crash reports to the agents that count
    /// the crashes and to those of all halls, since a crash report may come from another
    /// agent in a large fleet.
    fn relay_contradictions(&self) {
        let contradictions = self.crash_reports.take_contradictions();
        if contradictions.is_empty() || self.fleet.follows_all() {
            return;
        }
        let agents = Agents::of(&self.fleet);
        for answered in &contradictions {
            for (_, link) in agents.counting(answered.feature) {
                link.send_crash_reports(&[*answered]);
            }
        }
        self.send_to_halls(&contradictions);
    }

    /// Sends crash reports to the agents from which each hall reads the declared state.
    fn send_to_halls(&self, reports: &[CrashReport]) {
        for hall in self.fleet.halls() {
            for reader in self.fleet.readers_in(&hall, MAX_AGENTS_PER_READ) {
                if let Some(link) = self.fleet.link_to(reader.addr) {
                    // The other reader of the hall passes the reports on too.
                    link.send_crash_reports(reports);
                }
            }
        }
    }

    /// Finds out whether an endpoint crashed, and counts the crash against its
    /// interrupted requests.
    async fn probe(self: Arc<Self>, peer: Arc<Peer>) {
        let probed = Instant::now();
        let crashed = self.has_crashed(&peer, probed).await;
        let interrupted = peer.take_interrupted();
        let endpoint = peer.endpoint();
        if logs::is_allowed(LineKind::StateChange) {
            tracing::info!(
                event = if crashed { "endpoint ended" } else { "endpoint did not end" },
                endpoint = %endpoint.id,
                took_ms = probed.elapsed().as_millis() as u64,
                broken = interrupted.len(),
                requests = request_ids(&interrupted),
            );
        }
        self.stats.count_endpoint_check(crashed);
        if !crashed {
            // The endpoint survived the parts of these requests.
            for request in interrupted.iter().filter(|request| request.has_begun) {
                self.clear(request.features.iter().filter(|feature| feature.is_shared()));
            }
            return;
        }
        // The requests are held against themselves. An endpoint that restarts under the
        // same id starts anew.
        peer.streams(|s| s.forget(Instant::now()));
        peer.quality(|q| q.forget_failures());
        for (feature, end) in self.blamed(&endpoint.id, &interrupted) {
            self.record_crash(feature, end);
        }
        self.report();
    }

    /// Returns the features that a crash counts against. A request with a quarantined
    /// feature was sent before this entry knew of the quarantine, and does not count
    /// against its other features.
    fn blamed(
        &self,
        run: &Incarnation,
        interrupted: &[InterruptedRequest],
    ) -> HashMap<Feature, Crash> {
        let run = xxh3_64(run.as_bytes());
        let is_refused = |feature: &Feature| {
            self.crash_reports.status([*feature]) == QuarantineStatus::Refused
        };
        let mut blamed: HashMap<Feature, Crash> = HashMap::new();
        for InterruptedRequest { features, id, has_begun, sent_at, crashed_at } in
            interrupted
        {
            let refused: Vec<_> = features.iter().filter(is_refused).collect();
            let counted = match refused.is_empty() {
                true => features.iter().collect(),
                false => refused,
            };
            let attempt = xxh3_64_with_seed(id.as_bytes(), run);
            // The endpoint survived the beginning of an answer that had begun.
            let counted = counted.into_iter().filter(|f| !(*has_begun && f.is_shared()));
            for feature in counted {
                let answered_at = self.crash_reports.last_answer(feature);
                let (sent_at, crashed_at) = (*sent_at, *crashed_at);
                // A request that comes again says no more of its parts than of itself.
                let attempt = match feature.is_shared() {
                    true => features.content,
                    false => attempt,
                };
                let end = Crash { attempt, sent_at, crashed_at, answered_at };
                let latest = blamed.entry(feature).or_insert(end);
                if latest.sent_at < sent_at {
                    *latest = end;
                }
            }
        }
        blamed
    }

    /// Returns whether an endpoint crashed while its VM kept running.
    async fn has_crashed(&self, peer: &Arc<Peer>, since: Instant) -> bool {
        let addr = peer.endpoint().addr;
        match connect(&addr.to_string(), PROBE_TIMEOUT).await {
            Err(HttpError::Refused(_)) => return true,
            Ok(sock) => {
                // The probe's connection goes to the idle pool for the next request.
                if let Ok(conn) = EndpointConn::from_socket(addr, sock).await {
                    peer.idle.recycle(conn).await;
                }
            }
            // The network is disturbed or the VM is gone. The agent may still report a
            // run.
            Err(_) => {}
        }
        // The endpoint may have restarted and listen on the port again.
        with_timeout(NEXT_RUN_TIMEOUT, self.fleet.wait_replaced(peer, since))
            .await
            .is_some()
    }

    /// Keeps a crash for the agents, and counts it in this entry too, in case no agent is
    /// live.
    fn record_crash(&self, feature: Feature, end: Crash) {
        let mut crashes = self.crashes.lock();
        if crashes.len() >= MAX_DETECTED_CRASHES {
            crashes.pop_front();
        }
        let (reported_to, is_relayed) = (Vec::new(), false);
        crashes.push_back(DetectedCrash { feature, end, reported_to, is_relayed });
        self.crash_reports.record_crash(feature, end);
    }

    /// Returns whether the set of live agents changed while there are crashes to report.
    ///
    /// Ranking all agents for each crash is too expensive to be done each second without
    /// need.
    fn agents_changed(&self) -> bool {
        if self.crashes.lock().is_empty() {
            return false;
        }
        let links = self.fleet.usable_links();
        let mut agents: Vec<_> =
            links.iter().map(|(addr, link)| (*addr, link.connection_count())).collect();
        agents.sort_unstable();
        std::mem::replace(&mut *self.agents.lock(), agents.clone()) != agents
    }

    /// Reports each crash to the agents of its feature that lack the report, in one
    /// message an agent.
    fn report(&self) {
        let agents = Agents::of(&self.fleet);
        let mut crashes = self.crashes.lock();
        let mut messages: HashMap<SocketAddr, Message> = HashMap::new();
        for (n, crash) in crashes.iter().enumerate() {
            for (addr, link) in agents.counting(crash.feature) {
                let key = (addr, link.connection_count());
                if crash.reported_to.contains(&key) {
                    continue;
                }
                let new_message =
                    || Message { link, key, crashes: Vec::new(), numbers: Vec::new() };
                let message = messages.entry(addr).or_insert_with(new_message);
                message.crashes.push((crash.feature, crash.end));
                message.numbers.push(n);
            }
        }
        for message in messages.into_values() {
            if message.link.report_crashes(&message.crashes) {
                for n in message.numbers {
                    crashes[n].reported_to.push(message.key);
                }
            }
        }
    }
}

/// Returns the ids of interrupted requests for a log line, separated by spaces.
fn request_ids(interrupted: &[InterruptedRequest]) -> String {
    let ids = interrupted.iter().take(MAX_LOGGED_REQUESTS).map(|request| &*request.id);
    ids.collect::<Vec<_>>().join(" ")
}

/// The crashes to report to an agent.
struct Message {
    link: Arc<Link>,
    key: AgentConnection,
    crashes: Vec<(Feature, Crash)>,
    /// Their numbers in the record of this entry.
    numbers: Vec<usize>,
}

/// The agents that may count crashes.
struct Agents(Vec<(Arc<str>, SocketAddr, Arc<Link>)>);

impl Agents {
    fn of(fleet: &Fleet) -> Self {
        let links = fleet.usable_links().into_iter();
        Self(links.map(|(addr, link)| (addr.to_string().into(), addr, link)).collect())
    }

    /// Returns the agents that count the crashes of a feature. Entries agree on them
    /// without communicating.
    fn counting(&self, feature: Feature) -> Vec<(SocketAddr, Arc<Link>)> {
        let key = match feature {
            Feature::Content(hash) => hash,
            Feature::Part(_) => xxh3_64(feature.to_string().as_bytes()),
        };
        let ranked = rank_endpoints(key, self.0.clone(), |(name, _, _)| name);
        let counting = ranked.into_iter().take(COUNTING_AGENTS);
        counting.map(|(_, addr, link)| (addr, link)).collect()
    }
}
