//! Holds: reservations of adapters, which an agent loads and keeps for this entry.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larkspring_core::fleet::stream_outcomes::StreamOutcome;
use larkspring_core::ids::Target;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_entry::Kind;
use smol::channel::{self, Receiver, Sender};

use super::{send, Link};

/// Keeps an adapter loaded until dropped.
#[derive(Debug)]
pub(in super::super) struct Hold {
    link: Arc<Link>,
    id: u64,
    end: Option<Receiver<HoldEnd>>,
    granted: bool,
    /// How the stream ended for which the adapter was held, and when it was sent.
    stream_end: Option<(StreamOutcome, Instant)>,
}

/// The terms of a request for a hold.
#[derive(Debug, Clone, Copy)]
pub(in super::super) struct HoldRequest<'a> {
    /// 0 is the most urgent.
    pub priority: u32,
    /// How long the request waits for the grant.
    pub wait: Duration,
    /// Id of the request; empty for preloading.
    pub request_id: &'a str,
    /// Prompt tokens of the request that need a prefill.
    pub uncached_tokens: u32,
    /// Utility of an answer in time, by [`utility`](larkspring_core::fleet::utility).
    pub utility: f64,
    /// Load time within which the answer can still begin within the latency objective.
    pub load_time_limit: Duration,
    /// Holds that the engine may have at most, if this entry does not know its load; else 0.
    pub max_holds: u32,
}

/// The end of the wait for a hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in super::super) enum HoldEnd {
    /// The adapter is loaded and stays loaded. `copy_pays` if an engine of this hall
    /// should load the adapter too.
    Granted { copy_pays: bool },
    /// The agent can't load the adapter in time.
    Refused { reason: String, retry_after: Duration },
    /// The engine is full, which this entry did not know.
    Full,
    /// The agent can't be reached any more.
    Lost,
}

/// The connection's record of a hold.
#[derive(Debug)]
pub(super) struct HoldRecord {
    target: Target,
    priority: u32,
    /// The request that awaits the grant; `None` once granted.
    pub(super) waiter: Option<Sender<HoldEnd>>,
}

impl Link {
    /// Requests that the agent loads an adapter and keeps it loaded.
    pub fn request_hold(
        self: &Arc<Self>,
        target: Target,
        request: HoldRequest<'_>,
    ) -> Hold {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (waiter, end) = channel::bounded(1);
        let message = Kind::Hold(wire::Hold {
            id,
            adapter: target.adapter.to_string(),
            version: target.version.to_string(),
            priority: request.priority,
            wait_ms: request.wait.as_millis() as u64,
            in_use: false,
            request: request.request_id.into(),
            unread_tokens: request.uncached_tokens,
            worth: request.utility,
            in_time_ms: request.load_time_limit.as_millis() as u64,
            max_holds: request.max_holds,
        });
        let held =
            HoldRecord { target, priority: request.priority, waiter: Some(waiter) };
        self.holds.lock().insert(id, held);
        if !self.send_request(message) {
            // Drops the waiter, so that the hold ends as lost.
            self.holds.lock().remove(&id);
        }
        Hold { link: self.clone(), id, end: Some(end), granted: false, stream_end: None }
    }

    /// Ends the wait for a hold.
    pub(super) fn end_wait(&self, id: u64, end: HoldEnd) {
        let mut holds = self.holds.lock();
        let Some(held) = holds.get_mut(&id) else { return };
        let waiter = held.waiter.take();
        let granted = end.is_granted();
        if granted {
            // The agent's next state report may come too late for the next selection.
            self.engine_state.lock().record_held(held.target.hash());
        }
        if !granted {
            holds.remove(&id);
        } else if waiter.is_some() {
            self.granted_holds.fetch_add(1, Ordering::Relaxed);
        }
        if let Some(waiter) = waiter {
            // The request may have ended meanwhile; dropping its hold then releases it.
            let _ = waiter.try_send(end);
        }
    }

    /// Restores the granted holds on a new connection.
    pub(super) fn restore_holds(&self, tx: &Sender<wire::FromEntry>) {
        let holds = self.holds.lock();
        for (id, held) in holds.iter().filter(|(_, held)| held.waiter.is_none()) {
            send(
                tx,
                Kind::Hold(wire::Hold {
                    id: *id,
                    adapter: held.target.adapter.to_string(),
                    version: held.target.version.to_string(),
                    priority: held.priority,
                    in_use: true,
                    ..wire::Hold::default()
                }),
            );
        }
    }
}

impl HoldEnd {
    /// Returns whether the hold is granted.
    pub fn is_granted(&self) -> bool {
        matches!(self, Self::Granted { .. })
    }
}

impl Hold {
    /// Waits until the hold is granted, refused or lost.
    pub async fn wait_granted(&mut self) -> HoldEnd {
        let Some(end) = self.end.take() else { return HoldEnd::Lost };
        let end = end.recv().await.unwrap_or(HoldEnd::Lost);
        self.granted = end.is_granted();
        end
    }

    /// Records how the stream ended that was sent at `sent`, for the agent.
    pub fn record_stream_end(&mut self, outcome: StreamOutcome, sent: Instant) {
        self.stream_end = Some((outcome, sent));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let removed = self.link.holds.lock().remove(&self.id);
        let Some(held) = removed else { return };
        if held.waiter.is_none() {
            self.link.granted_holds.fetch_sub(1, Ordering::Relaxed);
        }
        let (outcome, sent_ms_ago) = match self.stream_end {
            Some((outcome, sent)) => (outcome, sent.elapsed().as_millis() as u64),
            None => (StreamOutcome::Unknown, 0),
        };
        let stream_end = match outcome {
            StreamOutcome::Unknown => wire::StreamEnd::Unknown,
            StreamOutcome::Complete => wire::StreamEnd::Complete,
            StreamOutcome::Broken => wire::StreamEnd::Broken,
        };
        self.link.send_message(Kind::Release(wire::Release {
            id: self.id,
            stream_end: stream_end.into(),
            sent_ms_ago,
        }));
    }
}
