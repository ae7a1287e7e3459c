//! Serves the connections of entries.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_lite::Stream;
use larkspring_proto::residency::residency_server::{Residency, ResidencyServer};
use larkspring_proto::residency::{
    FromAgent, FromEntry, ReadReply, ReadRequest, RoutingCopy,
};
use smol::channel::{self, Receiver, Sender};
use smol::net::TcpListener;
use tonic::{Request, Response, Status, Streaming};

use super::controller::{EntryNumber, Event};
use super::routing_keeper::RoutingKeeper;
use super::state_cache::StateCache;
use crate::exec;
use crate::rpc::serve::{serve, ShutdownHandle};

struct Service {
    events: Sender<Event>,
    next_number: AtomicU64,
    state: Arc<StateCache>,
    routing: RoutingKeeper,
}

/// Serves entries on `listener` in the background.
pub(super) fn start(
    listener: TcpListener,
    events: Sender<Event>,
    state: Arc<StateCache>,
) -> ShutdownHandle {
    let service = Arc::new(Service {
        events,
        next_number: AtomicU64::new(1),
        state,
        routing: RoutingKeeper::default(),
    });
    serve(listener, ResidencyServer::from_arc(service))
}

#[tonic::async_trait]
impl Residency for Service {
    type FollowStream = EntryStream;

    async fn follow(
        &self,
        req: Request<Streaming<FromEntry>>,
    ) -> Result<Response<EntryStream>, Status> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = channel::unbounded();
        let stopping = |_| Status::unavailable("the agent stops");
        self.events.send(Event::EntryConnected(number, tx)).await.map_err(stopping)?;
        let reader = forward_messages(number, req.into_inner(), self.events.clone());
        let task = exec::spawn(reader);
        Ok(Response::new(EntryStream { rx: Box::pin(rx), _reader: task }))
    }

    async fn read(
        &self,
        req: Request<ReadRequest>,
    ) -> Result<Response<ReadReply>, Status> {
        Ok(Response::new(self.state.read(&req.into_inner()).await))
    }

    async fn exchange_routing(
        &self,
        req: Request<RoutingCopy>,
    ) -> Result<Response<RoutingCopy>, Status> {
        Ok(Response::new(self.routing.exchange(req.into_inner())))
    }
}

/// The messages for one entry; the entry's own messages are read until this value is
/// dropped.
struct EntryStream {
    rx: Pin<Box<Receiver<FromAgent>>>,
    _reader: smol::Task<()>,
}

impl Stream for EntryStream {
    type Item = Result<FromAgent, Status>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Self::Item>> {
        self.rx.as_mut().poll_next(cx).map(|m| m.map(Ok))
    }
}

/// Notifies the controller, when dropped, that an entry's connection has ended.
struct DisconnectGuard {
    number: EntryNumber,
    events: Sender<Event>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let (number, events) = (self.number, self.events.clone());
        exec::spawn(async move {
            // The controller ends only with the whole process.
            let _ = events.send(Event::EntryDisconnected(number)).await;
        })
        .detach();
    }
}

async fn forward_messages(
    number: EntryNumber,
    mut messages: Streaming<FromEntry>,
    events: Sender<Event>,
) {
    let _guard = DisconnectGuard { number, events: events.clone() };
    while let Ok(Some(message)) = messages.message().await {
        let Some(kind) = message.kind else { continue };
        if events.send(Event::EntryMessage(number, kind)).await.is_err() {
            return;
        }
    }
}
