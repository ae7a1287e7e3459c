//! Metrics of a process, served as text.

use std::time::Duration;

use larkspring_core::admission::shares::Class;
use larkspring_core::fleet::availability::Notice;
use larkspring_core::fleet::rate::AdvertisedRate;
use larkspring_core::ids::StorePoint;
use prometheus::proto::MetricType;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use super::logs;
use super::unknown_names::{NameSource, UnknownNames};

/// The metrics of one process.
#[derive(Debug)]
pub struct Stats {
    registry: Registry,
    requests: IntCounterVec,
    observe_first_byte: HistogramVec,
    observe_pause: HistogramVec,
    wait: HistogramVec,
    attempts: IntCounterVec,
    answer_ends: IntCounterVec,
    stream_changes: IntCounterVec,
    taken_up: IntCounterVec,
    connections: IntCounterVec,
    slow_readers: IntCounterVec,
    holds: IntCounterVec,
    orders: IntCounterVec,
    reports: IntCounterVec,
    store_calls: IntCounterVec,
    agent_reads: IntCounterVec,
    workspaces: IntCounterVec,
    share_refusals: IntCounterVec,
    admission: IntCounterVec,
    set_reserved_units: IntGaugeVec,
    items_left_out: IntCounterVec,
    count_quarantine: IntCounterVec,
    endpoint_checks: IntCounterVec,
    notices: IntCounterVec,
    unknown: UnknownNames,
    permits: IntCounterVec,
    rated_sends: IntCounterVec,
    build_records: IntCounterVec,
    version_records: IntCounterVec,
    count_invalid_items: IntGaugeVec,
    set_gauge: IntGaugeVec,
}

/// Bounds of latency buckets in seconds: around the objectives of 0.15 to 1 s.
const LATENCY_BUCKETS_SECS: [f64; 12] =
    [0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0];

impl Default for Stats {
    fn default() -> Self {
        Self::new()
    }
}

impl Stats {
    /// Creates metrics that are all zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, metric)
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels);
            register(&registry, metric)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts =
                HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECS.to_vec());
            register(&registry, HistogramVec::new(opts, labels))
        };
        Self {
            requests: counter(
                "larkspring_requests_total",
                "Requests by route and how they ended.",
                &["route", "outcome"],
            ),
            observe_first_byte: histogram(
                "larkspring_first_byte_seconds",
                "Time from a request's head to the head of its answer.",
                &["route"],
            ),
            observe_pause: histogram(
                "larkspring_pause_seconds",
                "Longest pause between parts of an answer.",
                &["route"],
            ),
            wait: histogram(
                "larkspring_adapter_wait_seconds",
                "Time that requests waited for an adapter to be ready.",
                &["source"],
            ),
            attempts: counter(
                "larkspring_attempts_total",
                "Attempts at endpoints by how they ended.",
                &["end"],
            ),
            answer_ends: counter(
                "larkspring_answer_ends_total",
                "Relayed bodies of endpoints by their framing and how they ended.",
                &["framing", "end"],
            ),
            stream_changes: counter(
                "larkspring_stream_changes_total",
                "Endpoints that began to break off streams, or recovered.",
                &["change"],
            ),
            taken_up: counter(
                "larkspring_streams_taken_up_total",
                "Streams that callers took up, by who knew where they began.",
                &["known_by"],
            ),
            slow_readers: counter(
                "larkspring_slow_readers_total",
                "Connections closed because their reader was slow, by the end that read slowly.",
                &["end"],
            ),
            connections: counter(
                "larkspring_connections_total",
                "Connections to endpoints, new and reused.",
                &["kind"],
            ),
            holds: counter(
                "larkspring_holds_total",
                "Holds of adapters by how they ended.",
                &["end"],
            ),
            orders: counter(
                "larkspring_orders_total",
                "Orders to the engine by kind and answer.",
                &["order", "answer"],
            ),
            reports: counter(
                "larkspring_reports_total",
                "Reports asked of the engine by whether they came.",
                &["outcome"],
            ),
            store_calls: counter(
                "larkspring_store_calls_total",
                "Calls to the platform's store by kind and outcome.",
                &["kind", "outcome"],
            ),
            agent_reads: counter(
                "larkspring_agent_reads_total",
                "Reads of the declared state that an agent answered, by kind.",
                &["kind"],
            ),
            workspaces: counter(
                "larkspring_workspace_requests_total",
                "Requests of workspaces with a limit, admitted and refused.",
                &["workspace", "verdict"],
            ),
            share_refusals: counter(
                "larkspring_share_refusals_total",
                "Requests refused since their workspace was over its share of a service.",
                &["workspace"],
            ),
            admission: counter(
                "larkspring_admission_total",
                "Requests of workspaces with a limit in tokens, by class and verdict.",
                &["workspace", "class", "verdict"],
            ),
            items_left_out: counter(
                "larkspring_items_left_out_total",
                "Items of the platform's store that make no sense, each time they are read.",
                &["kind"],
            ),
            count_quarantine: counter(
                "larkspring_quarantine_total",
                "Contents of requests by what endings of endpoints let think of them.",
                &["standing"],
            ),
            endpoint_checks: counter(
                "larkspring_endpoint_looks_total",
                "Looks after answers that broke off, by whether the endpoint had ended.",
                &["ended"],
            ),
            notices: counter(
                "larkspring_endpoint_notices_total",
                "Answers in which endpoints said what they take no more, or how much.",
                &["said"],
            ),
            unknown: UnknownNames::new(counter(
                "larkspring_unknown_words_total",
                "Words of the platform and its endpoints that nothing reads.",
                &["place", "name"],
            )),
            permits: counter(
                "larkspring_permits_total",
                "Asks for leave to send to an endpoint that names a rate, by their end.",
                &["end"],
            ),
            rated_sends: counter(
                "larkspring_rated_sends_total",
                "Requests sent to endpoints that name a rate: first, again or going on.",
                &["kind"],
            ),
            build_records: counter(
                "larkspring_software_version_records_total",
                "Updates of the record of software versions in the store, by outcome.",
                &["outcome"],
            ),
            version_records: counter(
                "larkspring_version_records_total",
                "Writes of the newest version of an adapter to the store, by outcome.",
                &["outcome"],
            ),
            set_reserved_units: gauge(
                "larkspring_workspace_reserved",
                "Units that the entry holds in reserve for a workspace.",
                &["workspace"],
            ),
            count_invalid_items: gauge(
                "larkspring_log_lines_left_out",
                "Log lines left out so far, by kind.",
                &["kind"],
            ),
            set_gauge: gauge(
                "larkspring_state",
                "Present state, by what is counted.",
                &["of"],
            ),
            registry,
        }
    }

    /// Counts a completed request.
    pub fn count_request(&self, route: &str, outcome: &str) {
        self.requests.with_label_values(&[route, outcome]).inc();
    }

    /// Records the time to the head of an answer.
    pub fn observe_first_byte(&self, route: &str, took: Duration) {
        self.observe_first_byte.with_label_values(&[route]).observe(took.as_secs_f64());
    }

    /// Records the longest pause within an answer.
    pub fn observe_pause(&self, route: &str, longest: Duration) {
        self.observe_pause.with_label_values(&[route]).observe(longest.as_secs_f64());
    }

    /// Records the time that a request waited for its adapter.
    pub fn observe_adapter_wait(&self, source: &str, took: Duration) {
        self.wait.with_label_values(&[source]).observe(took.as_secs_f64());
    }

    /// Counts an attempt at an endpoint.
    pub fn count_attempt(&self, end: &str) {
        self.attempts.with_label_values(&[end]).inc();
    }

    /// Counts the end of an endpoint's body that was relayed.
    pub fn count_answer_end(&self, framing: &str, end: &str) {
        self.answer_ends.with_label_values(&[framing, end]).inc();
    }

    /// Counts an endpoint that began to break off streams, or recovered.
    pub fn count_stream_change(&self, change: &str) {
        self.stream_changes.with_label_values(&[change]).inc();
    }

    /// Counts a stream that its caller takes up.
    pub fn count_taken_up(&self, known_by: &str) {
        self.taken_up.with_label_values(&[known_by]).inc();
    }

    /// Counts a connection that was closed because its reader was slow.
    pub fn count_slow_reader(&self, end: &str) {
        self.slow_readers.with_label_values(&[end]).inc();
    }

    /// Counts the use of a connection to an endpoint.
    pub fn count_connection(&self, kind: &str) {
        self.connections.with_label_values(&[kind]).inc();
    }

    /// Counts a completed hold.
    pub fn count_hold(&self, end: &str) {
        self.holds.with_label_values(&[end]).inc();
    }

    /// Counts an order to the engine.
    pub fn count_order(&self, order: &str, answer: &str) {
        self.orders.with_label_values(&[order, answer]).inc();
    }

    /// Counts a request for the engine's report.
    pub fn count_report(&self, came: bool) {
        self.reports.with_label_values(&[outcome(came)]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, kind: &str, ok: bool) {
        self.store_calls.with_label_values(&[kind, outcome(ok)]).inc();
    }

    /// Counts a read of the declared state that an agent answered.
    pub fn count_agent_read(&self, kind: &str) {
        self.agent_reads.with_label_values(&[kind]).inc();
    }

    /// Counts a request of a workspace with a limit.
    ///
    /// Workspaces are declared by operators, so their number is bounded by the routing.
    pub fn count_workspace(&self, workspace: &str, verdict: &str) {
        self.workspaces.with_label_values(&[workspace, verdict]).inc();
    }

    /// Counts a request refused because its workspace was over its share of a service.
    pub fn count_share_refusal(&self, workspace: &str) {
        self.share_refusals.with_label_values(&[workspace]).inc();
    }

    /// Counts a request of a workspace with a limit in tokens, by its class.
    pub fn count_admission(&self, workspace: &str, class: Class, verdict: &str) {
        let class = class.to_string();
        self.admission.with_label_values(&[workspace, &class, verdict]).inc();
    }

    /// Counts invalid items of the store that were left out.
    pub fn count_invalid_items(&self, kind: &str, count: u64) {
        if count > 0 {
            self.items_left_out.with_label_values(&[kind]).inc_by(count);
        }
    }

    /// Counts an update of the record of software versions in the store.
    pub fn count_build_record(&self, ok: bool) {
        self.build_records.with_label_values(&[outcome(ok)]).inc();
    }

    /// Counts a write of the newest version of an adapter to the store.
    pub fn count_version_record(&self, ok: bool) {
        self.version_records.with_label_values(&[outcome(ok)]).inc();
    }

    /// Counts a change of a fingerprint's quarantine status.
    pub fn count_quarantine(&self, status: &str) {
        self.count_quarantine.with_label_values(&[status]).inc();
    }

    /// Counts a check whether an endpoint has ended.
    pub fn count_endpoint_check(&self, ended: bool) {
        self.endpoint_checks.with_label_values(&[if ended { "yes" } else { "no" }]).inc();
    }

    /// Counts the parts of an answer's notice.
    pub fn count_notice(&self, notice: Notice) {
        if notice.leaving {
            self.notices.with_label_values(&["leaving"]).inc();
        }
        if notice.rest.is_some() {
            self.notices.with_label_values(&["rest"]).inc();
        }
        match notice.rate {
            AdvertisedRate::Limit(_) => self.notices.with_label_values(&["rate"]).inc(),
            AdvertisedRate::Invalid | AdvertisedRate::Missing => {}
        }
    }

    /// Counts unrecognised names.
    pub(super) fn count_unknown_names<'a>(
        &self,
        place: NameSource,
        names: impl IntoIterator<Item = &'a String>,
    ) {
        names.into_iter().for_each(|name| self.unknown.count(place, name));
    }

    /// Counts a request for a permit to send to a rate-limited endpoint.
    pub fn count_permit(&self, end: &str) {
        self.permits.with_label_values(&[end]).inc();
    }

    /// Counts a request that is sent to a rate-limited endpoint.
    pub fn count_rated_send(&self, kind: &str) {
        self.rated_sends.with_label_values(&[kind]).inc();
    }

    /// Sets the units that the entry holds in reserve for a workspace.
    pub fn set_reserved_units(&self, workspace: &str, units: i64) {
        self.set_reserved_units.with_label_values(&[workspace]).set(units);
    }

    /// Sets a gauge of the present state.
    pub fn set_gauge(&self, of: &str, value: i64) {
        self.set_gauge.with_label_values(&[of]).set(value);
    }

    /// Sets the time since the store is proved to have held nothing newer of a kind; -1
    /// without a proof.
    pub fn set_proof_age(&self, kind: &str, age: Option<Duration>) {
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        self.set_gauge(&format!("{kind}_proof_age_ms"), age);
    }

    /// Sets the point of the store's history up to which a kind is known.
    pub fn set_store_point(&self, kind: &str, at: StorePoint) {
        self.set_gauge(&format!("{kind}_epoch"), at.epoch() as i64);
        self.set_gauge(&format!("{kind}_revision"), at.revision() as i64);
    }

    /// Encodes all metrics as text; histograms come last, so that a scrape that is cut
    /// off keeps the present state.
    pub fn encode(&self) -> Vec<u8> {
        for (kind, count) in logs::dropped_lines() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.count_invalid_items.with_label_values(&[kind]).set(count);
        }
        let mut families = self.registry.gather();
        families.sort_by_key(|family| match family.get_field_type() {
            MetricType::GAUGE => 0,
            MetricType::COUNTER => 1,
            _ => 2,
        });
        let mut text = Vec::new();
        // Encoding to memory fails only for metrics without samples, which are left out.
        if let Err(e) = TextEncoder::new().encode(&families, &mut text) {
            tracing::warn!(event = "metrics not written", cause = %e);
        }
        text
    }
}

fn outcome(ok: bool) -> &'static str {
    match ok {
        true => "ok",
        false => "failed",
    }
}

/// Registers a metric. Names and labels are constants, so an error shows at the first
/// start.
fn register<T>(registry: &Registry, metric: prometheus::Result<T>) -> T
where
    T: prometheus::core::Collector + Clone + 'static,
{
    let metric = metric.expect("the name and labels of a metric are valid");
    registry.register(Box::new(metric.clone())).expect("each metric has its own name");
    metric
}
