//! The interface to a platform: its declared state, and the encoding of requests, reports
//! and orders.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use larkspring_core::fleet::availability::Notice;
use larkspring_core::fleet::build_history::ServiceBuild;
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::routes::Routing;
use larkspring_core::fleet::version_records::VersionObject;
use larkspring_core::ids::{
    AdapterId, BaseId, HallId, Incarnation, ObjectName, StartMs, StoreEpoch, StorePoint,
    Target,
};
use larkspring_core::quarantine::Feature;
use larkspring_core::workspaces::Credential;
use quick_error::quick_error;

use crate::clock::BootInstant;
use crate::platform::{PlatformError, PlatformFuture};

/// Identifier that a caller gives to one attempt at a request.
pub type RequestId = String;

/// The declared state of a platform.
pub trait StateStore: Send + Sync {
    /// Reads items of a kind, without decoding them.
    fn read(&self, ask: StateQuery) -> PlatformFuture<'_, ReadOutcome>;

    /// Decodes items that were read.
    fn decode(
        &self,
        kind: StateKind,
        state: &EncodedState,
    ) -> Result<DecodedState, PlatformError>;

    /// Returns whether two complete states of the same epoch hold the same items; `false`
    /// if that is unknown.
    fn holds_same_items(&self, a: &EncodedState, b: &EncodedState) -> bool;
}

/// Records the newest versions of adapters in the store, where a late write of the
/// operator does not replace them.
pub trait VersionStore: Send + Sync {
    /// Records the newest version beside an object. Fails without an effect if the object
    /// was changed since it was read.
    fn record<'a>(
        &'a self,
        object: &'a VersionObject,
        newest: u64,
    ) -> PlatformFuture<'a, ()>;
}

/// Records the software versions that the endpoints of services have, so that streams are
/// not taken up at another version after a restart of all processes.
pub trait BuildStore: Send + Sync {
    /// Returns the store's epoch at its last answer. Versions that were added in an earlier
    /// epoch may be lost.
    fn epoch(&self) -> StoreEpoch;

    /// Reads all versions.
    fn list(&self) -> PlatformFuture<'_, Vec<ServiceBuild>>;

    /// Adds a version, unless it is stored already.
    fn add<'a>(&'a self, build: &'a ServiceBuild) -> PlatformFuture<'a, ()>;

    /// Removes a version, if it is stored.
    fn remove<'a>(&'a self, build: &'a ServiceBuild) -> PlatformFuture<'a, ()>;
}

/// Stores the quarantined features of requests, so that they survive a restart of all
/// processes.
pub trait QuarantineStore: Send + Sync {
    /// Returns the store's epoch at its last answer. Features that were added in an
    /// earlier epoch may be lost.
    fn epoch(&self) -> StoreEpoch;

    /// Reads all features.
    fn list(&self) -> PlatformFuture<'_, Vec<Feature>>;

    /// Adds a feature, unless it is stored already.
    fn add(&self, feature: Feature) -> PlatformFuture<'_, ()>;

    /// Removes a feature, if it is stored.
    fn remove(&self, feature: Feature) -> PlatformFuture<'_, ()>;

    /// Removes a feature for an operator and records the lift, so that no process
    /// adds the feature again for crashes that were counted before.
    fn remove_and_record_lift(&self, feature: Feature) -> PlatformFuture<'_, ()>;

    /// Reads the features that operators lifted.
    fn lifted(&self) -> PlatformFuture<'_, Vec<Feature>>;

    /// Deletes the record of a lift.
    fn delete_lift(&self, feature: Feature) -> PlatformFuture<'_, ()>;
}

/// A read of the declared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateQuery {
    /// The kind of items.
    pub kind: StateKind,
    /// Reads the changes after this point; `None` reads the whole state.
    pub changes: Option<ChangeQuery>,
}

impl StateQuery {
    /// Creates a read of the whole state.
    pub fn whole(kind: StateKind) -> Self {
        Self { kind, changes: None }
    }

    /// Creates a read of the changes after a point, or of the whole state without one.
    pub fn after(kind: StateKind, changes: Option<ChangeQuery>) -> Self {
        Self { kind, changes }
    }
}

/// The changes to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeQuery {
    /// The point up to which the state is known.
    pub known: StorePoint,
    /// Longest time to wait for a change.
    pub max_wait: Duration,
}

/// The result of a read.
#[derive(Debug, Clone)]
pub enum ReadOutcome {
    /// Items.
    State(EncodedState),
    /// The history since the point was compacted, or the store was restored from a
    /// backup: the whole state has to be read again.
    HistoryCompacted,
}

/// Items of a kind at a point of the store's history, not decoded.
#[derive(Debug, Clone, Default)]
pub struct EncodedState {
    /// The point of the store's history that was read.
    pub at: StorePoint,
    /// Whether this is the whole state, and not only changes.
    pub is_complete: bool,
    /// Pages of a list.
    pub pages: Vec<Bytes>,
    /// Changes after the list, in their order.
    pub changes: Vec<Bytes>,
    /// Time since the platform's store answered; zero for an answer of the store itself.
    pub age: Duration,
    /// When the call to the store that returned this state was sent: the store held
    /// nothing newer of this kind at that time. `None` if the time is unknown.
    pub proved_at: Option<BootInstant>,
    /// When the last call to the store that listed the whole state was sent, and nothing
    /// newer of this kind was found. `None` if no such call is known.
    pub listed_at: Option<BootInstant>,
    /// Who answered the read.
    pub source: ReadSource,
}

impl EncodedState {
    /// Returns what the answer holds.
    pub fn content(&self) -> ReadContent {
        match (self.is_complete, self.changes.is_empty()) {
            (true, _) => ReadContent::Whole,
            (false, false) => ReadContent::Changes,
            (false, true) => ReadContent::Unchanged,
        }
    }
}

/// Who answers a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReadSource {
    /// The platform's store.
    #[default]
    Store,
    /// An agent that reads the store for the entries of its hall.
    Agent,
}

impl ReadSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Agent => "agent",
        }
    }
}

/// What the answer to a read holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadContent {
    /// The whole state.
    Whole,
    /// Changes.
    Changes,
    /// No change.
    Unchanged,
}

impl ReadContent {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Changes => "changes",
            Self::Unchanged => "unchanged",
        }
    }
}

/// Kinds of declared state; each kind is followed separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StateKind {
    /// Routes, services and limits of callers.
    Routing,
    /// Endpoints.
    Endpoints,
    /// Versions of adapters.
    Versions,
    /// Halls whose endpoints get no requests.
    Evacuations,
}

impl StateKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 4] =
        [Self::Routing, Self::Endpoints, Self::Versions, Self::Evacuations];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Endpoints => "endpoints",
            Self::Versions => "versions",
            Self::Evacuations => "evacuations",
        }
    }
}

/// Decoded items of a kind at a point of the store's history.
#[derive(Debug)]
pub struct DecodedState {
    /// The point of the store's history that was read.
    pub at: StorePoint,
    /// The items.
    pub items: Vec<Item>,
    /// Names of unrecognised fields.
    pub unknown_names: BTreeSet<String>,
}

/// One item of declared state.
#[derive(Debug)]
pub enum Item {
    /// The whole routing.
    Routing(Box<Routing>),
    /// A listed endpoint, and the point at which its object was last written.
    Endpoint(Endpoint, StorePoint),
    /// An endpoint that is no longer listed.
    EndpointRemoved(Incarnation),
    /// An object that names a version of an adapter.
    Version(VersionObject),
    /// An object that named a version of an adapter and was deleted.
    VersionRemoved(ObjectName),
    /// An evacuation of a hall, and the point at which it was written.
    Evacuation(HallId, StorePoint),
    /// An evacuation of a hall that was lifted.
    EvacuationLifted(HallId),
    /// An invalid item; it is logged and left out.
    Invalid {
        /// Its kind.
        kind: StateKind,
        /// Its name; empty if the name can't be decoded either.
        name: String,
        /// Why it can't be decoded.
        cause: String,
    },
}

impl Item {
    /// Whether the item is invalid.
    pub fn is_invalid(&self) -> bool {
        matches!(self, Self::Invalid { .. })
    }
}

/// The platform's encoding of requests, answers, reports and orders.
pub trait Protocol: Send + Sync {
    /// Decodes a caller's headers.
    fn decode_caller(&self, headers: &HeaderMap) -> Result<CallerRequest, BadRequest>;

    /// Rewrites a caller's headers for the endpoint.
    fn rewrite_headers(&self, headers: &mut HeaderMap, to: &ForwardHeaders<'_>);

    /// Decodes the headers of an endpoint's answer.
    fn decode_answer(&self, headers: &HeaderMap, id: &str) -> AnswerHead;

    /// Decodes the notice in any answer of an endpoint.
    fn decode_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Returns the unrecognised names in any answer of an endpoint.
    fn unknown_names(&self, headers: &HeaderMap) -> Vec<String>;

    /// Adds the headers of an answer that larkspring itself gives.
    fn add_answer_headers(&self, headers: &mut HeaderMap, id: &str);

    /// Builds a request for the engine's report.
    fn report_request(&self) -> Request<Bytes>;

    /// Decodes the engine's report.
    fn decode_report(&self, res: &Response<Bytes>) -> Result<Report, BadAnswer>;

    /// Builds a request to the engine's health check, whose answer names the run.
    fn health_request(&self, path: &str) -> Option<Request<Bytes>>;

    /// Decodes the name of the engine's run from the answer.
    fn decode_health(&self, res: &Response<Bytes>) -> Option<Incarnation>;

    /// Builds an order.
    fn order_request(&self, order: &Order) -> Request<Bytes>;

    /// Decodes the answer to an order.
    fn decode_order(&self, res: &Response<Bytes>) -> OrderOutcome;
}

quick_error! {
    /// Why a request is not valid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BadRequest {
        /// A required header is missing.
        Missing(name: &'static str) { display("the header {name} is missing") }
        /// A header can't be decoded.
        Header(name: &'static str) { display("the header {name} can't be read") }
    }
}

quick_error! {
    /// Why an answer of the platform or an engine can't be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BadAnswer {
        /// Its status is not the expected one.
        Status(status: u16) { display("answered {status}") }
        /// Its body can't be decoded.
        Body(cause: String) { display("the answer can't be read: {cause}") }
    }
}

/// A caller's request, by its headers.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Its identifier.
    pub id: RequestId,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// The model request; `None` if the request is not for a model engine.
    pub model: Option<ModelRequest>,
    /// The event after which an interrupted stream is resumed.
    pub resume_after: Option<String>,
    /// The attempt that brought the first event of that stream, if the caller states it.
    pub resumed_attempt: Option<RequestId>,
    /// The caller's credential.
    pub credential: Credential,
    /// Tokens of the prompt plus the maximum of the answer, if stated.
    pub tokens: Option<u64>,
}

/// The base model, adapter and prompt of a request to a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// The base model.
    pub base: BaseId,
    /// The adapter, if the request names an adapter.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Parts of the prompt in their order; other requests may share all but the last
    /// part.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    /// Its number of tokens.
    pub tokens: u32,
}

/// Values for an endpoint beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct ForwardHeaders<'a> {
    /// Time left for the request.
    pub deadline: Duration,
    /// The only run of the endpoint that may process the request.
    pub incarnation: &'a str,
    /// The only version of the adapter that may process the request.
    pub version: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The event after which the stream is resumed.
    pub resume_after: Option<&'a str>,
    /// The caller's identity for the endpoint.
    pub identity: Identity<'a>,
}

/// The caller's identity as sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Callers need no keys: their own identity headers are passed on.
    Unchecked,
    /// The endpoint gets this workspace, or none; the caller's key is not passed on.
    Checked(Option<&'a str>),
}

/// The parts of an endpoint's answer head that identify the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the answer is to the request that was sent.
    pub echo: Echo,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer has the endpoint's signature.
    pub signed: bool,
    /// The run of the endpoint, if stated.
    pub incarnation: Option<Incarnation>,
}

/// Which request an answer identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The request that was sent.
    Same,
    /// No request.
    Missing,
    /// Another request.
    Other,
}

/// The state of an engine, by its own report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// When the run began, if reported.
    pub start: Option<StartMs>,
    /// Number of orders accepted in this run.
    pub orders_taken: u64,
    /// Whether an order for a base model is in progress.
    pub busy: bool,
    /// Resident base models.
    pub bases: Vec<BaseId>,
    /// Base models with a copy on the engine's VM.
    pub copied_bases: Vec<BaseId>,
    /// Resident adapters.
    pub adapters: Vec<Target>,
    /// Adapters that are loading.
    pub pending: Vec<Target>,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait for a batch slot.
    pub queued: u32,
    /// Names of unrecognised fields.
    pub unknown: Vec<String>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The change to make.
    pub change: Change,
    /// The order is accepted only while the engine has accepted this number of orders.
    pub orders_taken: u64,
    /// The order is accepted only by this run of the engine, if the run is known.
    pub incarnation: Option<Incarnation>,
    /// Who sends the order.
    pub sender: String,
}

/// The change that an order makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Load a base model.
    LoadBase(BaseId),
    /// Load an adapter of a resident base model.
    Load(Target),
    /// Unload an adapter.
    Unload(Target),
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The change is made.
    Done,
    /// The change is in progress.
    UnderWay,
    /// The engine has accepted other orders, or is working on an order: its report shows
    /// which.
    Stale,
    /// Another run has the address.
    Moved,
    /// The engine refuses the order permanently.
    Refused(u16),
}
