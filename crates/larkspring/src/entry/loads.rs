//! Grants of the weight store's load budget to agents.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures_lite::FutureExt;
use larkspring_core::budget::{Budget, BudgetLimits, LoadId};
use larkspring_proto::loads::loads_server::Loads as LoadsRpc;
use larkspring_proto::loads::{DoneReply, DoneRequest, PermitReply, PermitRequest};
use parking_lot::Mutex;
use smol::channel::{bounded, Sender};
use smol::Timer;
use tonic::{Request, Response, Status};

use super::keys::Keys;
use crate::exec::within;

/// The load budget, and the agents that wait for a permit.
pub struct LoadGranter {
    state: Mutex<State>,
    changed: Event,
}

struct State {
    budget: Budget,
    waiting: HashMap<LoadId, Sender<()>>,
}

/// Serves load permits to agents, if this entry leads.
pub struct Service {
    /// The budget.
    pub loads: Arc<LoadGranter>,
    /// Decides whether this entry leads.
    pub keys: Arc<Keys>,
}

/// Maximum time that a call for a permit waits.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(10);

impl LoadGranter {
    /// Creates an unused budget.
    pub fn new(limits: BudgetLimits) -> Self {
        let state = State { budget: Budget::new(limits), waiting: HashMap::new() };
        Self { state: Mutex::new(state), changed: Event::new() }
    }

    /// Grants loads as the budget allows; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            let listener = self.changed.listen();
            let next = self.grant();
            let wake = async {
                match next {
                    Some(at) => drop(Timer::at(at).await),
                    None => std::future::pending().await,
                }
            };
            listener.or(wake).await;
        }
    }

    /// Grants the loads that may begin now; returns when the next grant may be possible.
    fn grant(&self) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.state.lock();
        for load in state.budget.grant(now) {
            let granted = state.waiting.remove(&load).map(|tx| tx.try_send(()));
            if !matches!(granted, Some(Ok(()))) {
                state.budget.done(&load);
            }
        }
        state.budget.next(now)
    }

    async fn permit(&self, req: PermitRequest) -> bool {
        let (tx, rx) = bounded(1);
        let _waiter = PendingPermit { loads: self, load: req.load.clone() };
        {
            let mut state = self.state.lock();
            state.waiting.insert(req.load.clone(), tx);
            state.budget.ask(Instant::now(), req.load, req.priority, req.waiting);
        }
        self.changed.notify(usize::MAX);
        matches!(within(MAX_PERMIT_WAIT, rx.recv()).await, Some(Ok(())))
    }

    fn done(&self, load: &str) {
        self.state.lock().budget.done(load);
        self.changed.notify(usize::MAX);
    }
}

/// Withdraws a load from the queue when its call ends, for example because the agent
/// crashed.
struct PendingPermit<'a> {
    loads: &'a LoadGranter,
    load: LoadId,
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.loads.state.lock();
        state.waiting.remove(&self.load);
        state.budget.withdraw(&self.load);
    }
}

#[tonic::async_trait]
impl LoadsRpc for Service {
    async fn permit(
        &self,
        req: Request<PermitRequest>,
    ) -> Result<Response<PermitReply>, Status> {
        if !self.keys.leads() {
            return Ok(Response::new(PermitReply { granted: false, elsewhere: true }));
        }
        let granted = self.loads.permit(req.into_inner()).await;
        Ok(Response::new(PermitReply { granted, elsewhere: false }))
    }

    async fn done(
        &self,
        req: Request<DoneRequest>,
    ) -> Result<Response<DoneReply>, Status> {
        self.loads.done(&req.into_inner().load);
        Ok(Response::new(DoneReply {}))
    }
}
