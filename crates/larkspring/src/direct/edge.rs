//! What larkspring asks of a platform: its declared state, and how its requests, reports
//! and orders are written.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use larkspring_core::fleet::availability::Notice;
use larkspring_core::fleet::members::Endpoint;
use larkspring_core::fleet::routes::Routing;
use larkspring_core::ids::{
    AdapterId, BaseId, ContentHash, Incarnation, StartMs, StoreEpoch, StorePoint, Target,
};
use larkspring_core::workspaces::Credential;
use quick_error::quick_error;

use crate::clock::Moment;
use crate::platform::{Answer, PlatformError};

/// Name that a caller gives to one attempt at a request.
pub type RequestId = String;

/// The declared state of a platform.
pub trait Directory: Send + Sync {
    /// Reads items of a kind, as they are written.
    fn read(&self, ask: Ask) -> Answer<'_, Read>;

    /// Decodes items that were read.
    fn decode(&self, kind: Kind, state: &State) -> Result<Listed, PlatformError>;
}

/// Where contents of requests that end endpoints outlive all processes.
pub trait QuarantineStore: Send + Sync {
    /// Which history the store's last answer was of. What was added in an earlier one may be
    /// lost.
    fn epoch(&self) -> StoreEpoch;

    /// Reads all.
    fn list(&self) -> Answer<'_, Vec<ContentHash>>;

    /// Adds one, unless it is there.
    fn add(&self, content: ContentHash) -> Answer<'_, ()>;

    /// Removes one, if it is there.
    fn remove(&self, content: ContentHash) -> Answer<'_, ()>;

    /// Removes one for an operator, and notes that, so that nobody adds it again by what was
    /// counted before.
    fn lift(&self, content: ContentHash) -> Answer<'_, ()>;

    /// Reads what operators lifted.
    fn lifted(&self) -> Answer<'_, Vec<ContentHash>>;

    /// Forgets that one was lifted.
    fn forget_lift(&self, content: ContentHash) -> Answer<'_, ()>;
}

/// What is read of the declared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ask {
    /// The kind of items.
    pub kind: Kind,
    /// What changed after a point; everything if there is none.
    pub after: Option<After>,
}

/// Which changes are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct After {
    /// The state that is known.
    pub at: StorePoint,
    /// How long a change is waited for.
    pub wait: Duration,
}

/// What a read brought.
#[derive(Debug, Clone)]
pub enum Read {
    /// Items.
    State(State),
    /// The history since the point is gone, or the store was restored from a copy since:
    /// everything has to be read anew.
    HistoryGone,
}

/// Items of a kind at a point, as they are written.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The state that was read.
    pub at: StorePoint,
    /// Whether it is everything, and not only what changed.
    pub whole: bool,
    /// Pages of a list.
    pub pages: Vec<Bytes>,
    /// Changes after the list, in their order.
    pub changes: Vec<Bytes>,
    /// Time since the platform's store answered; zero if it did just now.
    pub age: Duration,
    /// When the call was sent to the store that brought this state: it held nothing newer
    /// of this kind then. `None` if that is not known.
    pub proved: Option<Moment>,
    /// Who answered.
    pub via: Via,
}

/// Who answers a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Via {
    /// The platform's store.
    #[default]
    Store,
    /// An agent that reads for the entries of its hall.
    Agent,
}

/// Kinds of declared state, each followed by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Routes, services and bounds on callers.
    Routing,
    /// Endpoints.
    Endpoints,
    /// Versions of adapters.
    Versions,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Routing, Self::Endpoints, Self::Versions];

    /// Returns the word used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routing => "routing",
            Self::Endpoints => "endpoints",
            Self::Versions => "versions",
        }
    }
}

/// Items of a kind at a point.
#[derive(Debug)]
pub struct Listed {
    /// The state that was read.
    pub at: StorePoint,
    /// The items.
    pub items: Vec<Item>,
    /// Names of fields that nothing knows.
    pub unknown: BTreeSet<String>,
}

/// One item of declared state.
#[derive(Debug)]
pub enum Item {
    /// The whole routing.
    Routing(Box<Routing>),
    /// An endpoint that is listed, and when its entry was last written.
    Endpoint(Endpoint, StorePoint),
    /// An endpoint that is listed no more.
    EndpointGone(Incarnation),
    /// The newest version of an adapter.
    Version(AdapterId, u64),
    /// An item that makes no sense; it is logged and left out.
    Unreadable {
        /// Its kind.
        kind: Kind,
        /// Its name; empty if that can't be read either.
        name: String,
        /// Why it can't be read.
        cause: String,
    },
}

impl Item {
    /// Whether it makes no sense.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, Self::Unreadable { .. })
    }
}

/// How requests, answers, reports and orders are written.
pub trait Protocol: Send + Sync {
    /// Reads what a caller says about its request.
    fn caller(&self, headers: &HeaderMap) -> Result<CallerRequest, BadRequest>;

    /// Turns a caller's headers into those for the endpoint.
    fn forward(&self, headers: &mut HeaderMap, to: &Forward<'_>);

    /// Reads what an endpoint's answer says about itself.
    fn answer(&self, headers: &HeaderMap, id: &str) -> AnswerHead;

    /// Reads what an answer of any kind says of the endpoint that gives it.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Names in an answer of any kind that nothing knows.
    fn unknown_words(&self, headers: &HeaderMap) -> Vec<String>;

    /// Adds what a caller finds in an answer of larkspring's own.
    fn own_answer(&self, headers: &mut HeaderMap, id: &str);

    /// Builds a request for the engine's report.
    fn report(&self) -> Request<Bytes>;

    /// Reads the engine's report.
    fn read_report(&self, res: &Response<Bytes>) -> Result<Report, BadAnswer>;

    /// Builds a request for the engine's health, which tells its run.
    fn health(&self, path: &str) -> Option<Request<Bytes>>;

    /// Reads the engine's run from the answer.
    fn read_health(&self, res: &Response<Bytes>) -> Option<Incarnation>;

    /// Builds an order.
    fn order(&self, order: &Order) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order(&self, res: &Response<Bytes>) -> OrderEnd;
}

quick_error! {
    /// Why a request can't be served as it is.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BadRequest {
        /// A header is needed.
        Missing(name: &'static str) { display("the header {name} is missing") }
        /// A header can't be read.
        Header(name: &'static str) { display("the header {name} can't be read") }
    }
}

quick_error! {
    /// Why an answer of the platform or an engine can't be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BadAnswer {
        /// Its status is not the expected one.
        Status(status: u16) { display("answered {status}") }
        /// Its body can't be read.
        Body(cause: String) { display("the answer can't be read: {cause}") }
    }
}

/// What a caller says about its request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// Its name.
    pub id: RequestId,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// What it asks of a model engine.
    pub model: Option<ModelRequest>,
    /// The event after which a broken stream goes on.
    pub resume_after: Option<String>,
    /// What it shows of its key.
    pub credential: Credential,
    /// Tokens of its prompt and at most of its answer, if it names them.
    pub tokens: Option<u64>,
}

/// What a request asks of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRequest {
    /// The base model.
    pub base: BaseId,
    /// The adapter, if it names one.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Parts of the prompt in their order; other requests may share all but the last.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct Forward<'a> {
    /// Time that is left.
    pub deadline: Duration,
    /// The run of the endpoint that may run it.
    pub incarnation: &'a str,
    /// The version that may run it: of the adapter.
    pub version: Option<&'a str>,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// The event after which a stream goes on.
    pub resume_after: Option<&'a str>,
    /// On whose behalf it is sent.
    pub identity: Identity<'a>,
}

/// On whose behalf a request is sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity<'a> {
    /// Callers need no keys: what they say of themselves is passed on.
    Unchecked,
    /// The endpoint is told this workspace, or none; the caller's key is kept from it.
    Checked(Option<&'a str>),
}

/// What an endpoint's answer says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether it answers the request that was sent.
    pub echo: Echo,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// The run of the endpoint, if it says so.
    pub incarnation: Option<Incarnation>,
}

/// Which request an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The one that was sent.
    Same,
    /// None.
    Missing,
    /// Another one.
    Other,
}

/// The state of an engine, by its own report.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// When the run began, if it says so.
    pub start: Option<StartMs>,
    /// Orders that it has taken in this run.
    pub orders_taken: u64,
    /// Whether it is working on an order for a base model.
    pub busy: bool,
    /// Base models that it holds.
    pub bases: Vec<BaseId>,
    /// Base models of which its VM has a copy.
    pub copied_bases: Vec<BaseId>,
    /// Adapters that it holds.
    pub adapters: Vec<Target>,
    /// Adapters on their way to it.
    pub pending: Vec<Target>,
    /// Requests in its batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub queued: u32,
    /// Names of fields that nothing knows.
    pub unknown: Vec<String>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub change: Change,
    /// Taken only while the engine has taken this many orders.
    pub orders_taken: u64,
    /// Taken only by this run of the engine, if it is known.
    pub incarnation: Option<Incarnation>,
    /// Who gives it.
    pub holder: String,
}

/// What an order changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Load a base model.
    LoadBase(BaseId),
    /// Load an adapter of a base model that is held.
    Load(Target),
    /// Unload an adapter.
    Unload(Target),
}

/// What an engine answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// It is done.
    Done,
    /// It is under way.
    UnderWay,
    /// The engine has taken other orders, or works on one: its report tells more.
    Stale,
    /// Another run has the address.
    Moved,
    /// The engine refuses it for good.
    Refused(u16),
}
