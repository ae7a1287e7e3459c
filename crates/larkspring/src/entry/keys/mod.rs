//! Idempotency keys of requests that run at most once: claims at the holder of a key's
//! partition, and decisions for the partitions that this entry holds.

mod handover;
mod rpc;
mod table;

use std::fmt::{self, Debug, Formatter};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use event_listener::Event;
use larkspring_core::claims::{Ask, ClaimKey, ClaimLimits, Claims, Settled, Verdict};
use larkspring_core::outcome::{Refusal, Step};
use larkspring_core::tenure::{
    millis, same_run, standing, Millis, Standing, Terms, PARTITIONS,
};
use larkspring_proto::keys::keys_client::KeysClient;
use larkspring_proto::keys::{
    ClaimReply, ClaimRequest, KeptAnswer, SettleRequest, Tenure,
};
use parking_lot::Mutex;
use tonic::Status;
use uuid::Uuid;

pub use self::rpc::Service;
use self::table::TableView;
pub use self::table::TABLE_OBJECT;
use crate::exec::within;
use crate::platform::objects::HttpObjects;
use crate::rpc::channel::{Channel, Pool};
use crate::settings::{EntryCfg, Settings};

/// The idempotency keys of an entry: the partitions it holds, and access to the others.
pub struct Keys {
    /// This run, as written in the table.
    own_tenure: Tenure,
    terms: Terms,
    /// Maximum number of partitions that this entry takes.
    max_partitions: usize,
    view: Mutex<TableView>,
    changed: Event,
    /// The claims of each partition, each under a separate lock.
    claims: Vec<Mutex<Claims<KeptAnswer>>>,
    api: HttpObjects,
    pool: Pool,
    /// Addresses of other entries, from the settings.
    peers: Vec<String>,
    /// Whether this run hands over its partitions and grants no more keys.
    closing: AtomicBool,
}

/// A request to claim a key.
#[derive(Debug, Clone)]
pub struct KeyClaim {
    /// Partition of the key.
    pub partition: usize,
    /// Creation time of the key; 0 if the key carries none.
    pub created_ms: Millis,
    /// The claim.
    pub ask: Ask,
}

/// Reply to a request to claim a key.
#[derive(Debug, Clone)]
pub struct ClaimAnswer {
    /// The decision on the key.
    pub verdict: Verdict,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
    /// The kept answer, if the request already ran.
    pub answer: Option<KeptAnswer>,
}

/// Partition whose holder is the leader: it grants loads on behalf of all entries.
pub const LEADING_PARTITION: usize = 0;
/// Maximum number of keys kept by one entry; a key takes about 100 bytes.
const MAX_KEYS: usize = 100_000;
/// Limit on the time that a call to another entry takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections to other entries.
const MAX_CONNECTIONS: usize = PARTITIONS;
/// Attempts to reach the holder of a key.
const CLAIM_ATTEMPTS: u32 = 3;
const SETTLE_ATTEMPTS: u32 = 3;
/// Retry delay sent when the holder of a key could not be reached.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Keys {
    /// Creates the key state of an entry that other entries reach at `addr`.
    pub fn new(cfg: &EntryCfg, settings: &Settings, addr: SocketAddr) -> Self {
        let limits = ClaimLimits {
            retention: cfg.terms.retention,
            keys: MAX_KEYS / PARTITIONS,
            answer_bytes: cfg.kept_answer_bytes / PARTITIONS,
        };
        let own_tenure = Tenure {
            holder: addr.to_string(),
            run: fastrand::u64(1..),
            vm: settings.vm.clone(),
            ..Tenure::default()
        };
        let platform = &settings.platform;
        Self {
            own_tenure,
            terms: cfg.terms,
            max_partitions: cfg.max_key_partitions,
            view: Mutex::default(),
            changed: Event::new(),
            claims: (0..PARTITIONS).map(|_| Mutex::new(Claims::new(limits))).collect(),
            api: HttpObjects::new(&platform.objects, platform.timeout),
            pool: Pool::new(MAX_CONNECTIONS, CALL_TIMEOUT),
            peers: platform.peers.clone(),
            closing: AtomicBool::new(false),
        }
    }

    /// Returns the number of partitions that this entry holds.
    pub fn held(&self) -> usize {
        let view = self.view.lock();
        view.table.partitions.iter().filter(|t| same_run(t, &self.own_tenure)).count()
    }

    /// Whether this entry leads: it holds the first partition under a lease that has not
    /// expired.
    pub fn leads(&self) -> bool {
        let first = self.holder(LEADING_PARTITION);
        first.is_some_and(|t| same_run(&t, &self.own_tenure) && wall_clock() < t.until_ms)
    }

    /// Claims a key at the holder of its partition.
    pub async fn claim(&self, key: &KeyClaim) -> Result<ClaimAnswer, Refusal> {
        let mut cause = String::new();
        for _ in 0..CLAIM_ATTEMPTS {
            let Some(holder) = self.holder(key.partition) else {
                cause = "no entry holds the key's partition".into();
                self.refresh().await;
                continue;
            };
            match self.ask(&holder, key).await {
                Ok(reply) if reply.verdict == Verdict::Foreign => {
                    cause = "the asked entry does not hold the key".into();
                    self.refresh().await;
                }
                Ok(reply) => return Ok(reply),
                Err(status) => {
                    cause = format!("entry {}: {}", holder.holder, status.message());
                    self.suspect(&holder);
                }
            }
        }
        let text = format!("it can't be found out now whether this key has run: {cause}");
        Err(Refusal::unknown(Step::Claim, text).retry_after(CLAIM_RETRY_DELAY))
    }

    /// Reports to the holder of a granted key how the request ended.
    pub async fn settle(
        &self,
        key: &KeyClaim,
        settled: Settled,
        answer: Option<KeptAnswer>,
    ) {
        for _ in 0..SETTLE_ATTEMPTS {
            let Some(holder) = self.holder(key.partition) else { return };
            if same_run(&holder, &self.own_tenure) {
                return self.settle_here(key, settled, answer);
            }
            let req = SettleRequest {
                partition: key.partition as u32,
                key: key.ask.key.to_be_bytes().to_vec().into(),
                attempt: key.ask.attempt.clone(),
                settled: settled.code(),
                answer: answer.clone(),
            };
            let Ok(mut client) = self.client(&holder).await else { continue };
            if with_call_timeout(client.settle(req)).await.is_ok() {
                return;
            }
        }
        // The holder treats the attempt as unknown once the attempt's deadline has
        // passed.
        tracing::warn!("claim not settled: the holder of the key did not answer");
    }

    /// Decides on a claim, if this run holds the key's partition.
    fn decide(&self, run: u64, key: KeyClaim) -> ClaimAnswer {
        let now = wall_clock();
        let foreign = ClaimAnswer::new(Verdict::Foreign);
        let Some(tenure) = self.holder(key.partition) else { return foreign };
        if run != self.own_tenure.run || !same_run(&tenure, &self.own_tenure) {
            return foreign;
        }
        let mut claims = self.claims[key.partition].lock();
        // Checked under the lock, so that a handover includes every granted claim.
        if self.closing.load(Ordering::Acquire) {
            return foreign;
        }
        if let Some((verdict, answer)) = claims.look(now, &key.ask) {
            return ClaimAnswer { verdict, retry_after: None, answer };
        }
        match standing(&tenure, &self.terms, now, key.created_ms) {
            Standing::Known => {
                let (verdict, answer) = claims.claim(now, key.ask);
                ClaimAnswer { verdict, retry_after: None, answer }
            }
            Standing::Lost => ClaimAnswer::new(Verdict::Unknown),
            Standing::LostUntil(at) => {
                let wait = Duration::from_millis(at - now);
                ClaimAnswer {
                    retry_after: Some(wait),
                    ..ClaimAnswer::new(Verdict::Unknown)
                }
            }
            Standing::Foreign => foreign,
        }
    }

    fn settle_here(&self, key: &KeyClaim, settled: Settled, answer: Option<KeptAnswer>) {
        let answer = answer.map(|a| {
            let len = a.body.len();
            (a, len)
        });
        let mut claims = self.claims[key.partition].lock();
        claims.settle(key.ask.key, &key.ask.attempt, settled, answer);
    }

    /// Returns the current tenure of a partition; `None` if no run ever held the
    /// partition.
    fn holder(&self, partition: usize) -> Option<Tenure> {
        let view = self.view.lock();
        let tenure = view.table.partitions.get(partition)?;
        (!tenure.holder.is_empty()).then(|| tenure.clone())
    }

    async fn ask(&self, holder: &Tenure, key: &KeyClaim) -> Result<ClaimAnswer, Status> {
        if same_run(holder, &self.own_tenure) {
            return Ok(self.decide(self.own_tenure.run, key.clone()));
        }
        let now = wall_clock();
        let req = ClaimRequest {
            partition: key.partition as u32,
            run: holder.run,
            key: key.ask.key.to_be_bytes().to_vec().into(),
            birth_ms: key.created_ms,
            request: key.ask.request,
            attempt: key.ask.attempt.clone(),
            deadline_ms: key.ask.deadline.saturating_sub(now),
        };
        let mut client = self.client(holder).await?;
        let reply = with_call_timeout(client.claim(req)).await?;
        Ok(ClaimAnswer::from_reply(reply))
    }

    async fn client(&self, holder: &Tenure) -> Result<KeysClient<Channel>, Status> {
        let channel = self.pool.get(&holder.holder).await;
        let channel = channel.map_err(|e| Status::unavailable(e.to_string()))?;
        let origin = channel.origin();
        Ok(KeysClient::with_origin(channel, origin))
    }
}

impl ClaimAnswer {
    fn new(verdict: Verdict) -> Self {
        Self { verdict, retry_after: None, answer: None }
    }

    fn from_reply(reply: ClaimReply) -> Self {
        let wait = reply.retry_after_ms;
        Self {
            verdict: Verdict::from_code(reply.verdict),
            retry_after: (wait > 0).then(|| Duration::from_millis(wait)),
            answer: reply.answer,
        }
    }
}

impl KeyClaim {
    /// Creates a claim of a caller's key for a request with the fingerprint `request`.
    pub fn new(
        caller: &str,
        key: &str,
        request: u64,
        attempt: String,
        left: Duration,
    ) -> Self {
        let hash: ClaimKey = key_hash(caller, key);
        let deadline = wall_clock() + millis(left);
        Self {
            partition: (hash % PARTITIONS as u128) as usize,
            created_ms: created_ms(key),
            ask: Ask { key: hash, request, attempt, deadline },
        }
    }
}

impl Debug for Keys {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys").field("me", &self.own_tenure).finish_non_exhaustive()
    }
}

fn key_hash(caller: &str, key: &str) -> ClaimKey {
    // A caller's name contains no newline, so two different pairs never give the same
    // text.
    xxhash_rust::xxh3::xxh3_128(format!("{caller}\n{key}").as_bytes())
}

/// Returns the creation time in a UUID of version 7; 0 for any other key.
fn created_ms(key: &str) -> Millis {
    let uuid = Uuid::parse_str(key).ok().filter(|id| id.get_version_num() == 7);
    let time = uuid.and_then(|id| id.get_timestamp()).map(|t| t.to_unix());
    time.map_or(0, |(secs, nanos)| secs * 1000 + u64::from(nanos) / 1_000_000)
}

/// Returns the current Unix time in milliseconds.
fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, millis)
}

/// Waits for a call to another entry, at most [`CALL_TIMEOUT`].
async fn with_call_timeout<T>(
    call: impl std::future::Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, Status> {
    let late = || Err(Status::deadline_exceeded("no answer in time"));
    let reply = within(CALL_TIMEOUT, call).await.unwrap_or_else(late);
    reply.map(tonic::Response::into_inner)
}
