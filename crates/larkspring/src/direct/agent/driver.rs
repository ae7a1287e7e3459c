//! Calls to the engine beside the agent, one at a time on a persistent connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::poll_fn;
use http::{Request, Response};
use larkspring_core::call_timeout::{CallTimeout, TimeoutBounds};
use larkspring_core::fleet::rate::AdvertisedRate;
use larkspring_core::ids::Incarnation;
use smol::channel::{self, Receiver, Sender};

use super::controller::Event;
use crate::direct::conn::EndpointConn;
use crate::direct::platform_api::{Order, OrderOutcome, Protocol, Report};
use crate::direct::stats::Stats;
use crate::direct::unknown_names::NameSource;
use crate::exec::{self, with_timeout};

/// A command for the driver.
#[derive(Debug)]
pub(super) enum Command {
    /// Requests the engine's report.
    Report,
    /// Requests the run's name, at a health path.
    Identify(String),
    /// Sends an order.
    Order(Order),
}

/// The result of a command; the error text says why there is no answer.
#[derive(Debug)]
pub(super) enum CommandResult {
    Report(Result<Report, String>),
    RunName(Result<Incarnation, String>),
    Order(Order, Result<OrderOutcome, String>),
}

/// Time limit for the answer to a report request or an order. The engine is on the same
/// VM and answers within 1 to 3 ms; a busy VM takes ten times as long. No other order is
/// sent meanwhile, so a lost answer delays all other loads by this time: with a fixed
/// limit of 250 ms, 547 of 11,000 orders were not answered, and single loads waited 1.6 s
/// behind them.
const ANSWER_TIMEOUT: TimeoutBounds = TimeoutBounds {
    shortest: Duration::from_millis(30),
    longest: Duration::from_millis(250),
};
/// Time limit for the health check: its answer waits for a batch slot in the engine.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(250);
/// Limits the size of a report in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

struct Driver {
    engine: SocketAddr,
    protocol: Arc<dyn Protocol>,
    stats: Arc<Stats>,
    conn: Option<EndpointConn>,
    answer_time: CallTimeout,
    events: Sender<Event>,
    /// The kind of call whose answer last advertised a rate: answers of other kinds may
    /// never state a rate, so their lack of one does not end the limit.
    rate_advertised_by: Option<Call>,
}

/// A kind of call to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Report,
    Health,
    Order,
}

/// Starts the driver of an engine; the driver ends when the returned sender is dropped.
pub(super) fn start(
    engine: SocketAddr,
    protocol: Arc<dyn Protocol>,
    stats: Arc<Stats>,
    events: Sender<Event>,
) -> Sender<Command> {
    let (tx, rx) = channel::bounded(1);
    let answer_time = CallTimeout::new(ANSWER_TIMEOUT);
    let driver = Driver {
        engine,
        protocol,
        stats,
        conn: None,
        answer_time,
        events,
        rate_advertised_by: None,
    };
    exec::spawn(driver.run(rx)).detach();
    tx
}

impl Driver {
    async fn run(mut self, commands: Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            let result = match command {
                Command::Report => CommandResult::Report(self.report().await),
                Command::Identify(path) => {
                    CommandResult::RunName(self.identify(&path).await)
                }
                Command::Order(order) => {
                    let end = self.order(&order).await;
                    CommandResult::Order(order, end)
                }
            };
            if self.events.send(Event::CommandDone(result)).await.is_err() {
                return;
            }
        }
    }

    async fn report(&mut self) -> Result<Report, String> {
        let res =
            self.call_adaptive(Call::Report, self.protocol.report_request()).await?;
        self.protocol.decode_report(&res).map_err(|e| e.to_string())
    }

    async fn identify(&mut self, path: &str) -> Result<Incarnation, String> {
        let req =
            self.protocol.health_request(path).ok_or("the health path is not valid")?;
        let res = self.call(Call::Health, req, HEALTH_TIMEOUT).await?;
        let run = self.protocol.decode_health(&res);
        run.ok_or_else(|| format!("answered {} without a run name", res.status()))
    }

    async fn order(&mut self, order: &Order) -> Result<OrderOutcome, String> {
        let res =
            self.call_adaptive(Call::Order, self.protocol.order_request(order)).await?;
        Ok(self.protocol.decode_order(&res))
    }

    /// Calls the engine with the time limit that its recent answers call for.
    async fn call_adaptive(
        &mut self,
        kind: Call,
        req: Request<Bytes>,
    ) -> Result<Response<Bytes>, String> {
        let sent_at = Instant::now();
        let res = self.call(kind, req, self.answer_time.current()).await;
        match &res {
            Ok(_) => self.answer_time.record_answer(sent_at.elapsed()),
            Err(_) => self.answer_time.record_loss(),
        }
        res
    }

    /// Calls the engine; closes the connection if there is no answer.
    async fn call(
        &mut self,
        kind: Call,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, String> {
        let (engine, sent_at) = (self.engine, Instant::now());
        let work = async {
            let mut conn = match reuse(self.conn.take()).await {
                Some(conn) => conn,
                None => {
                    EndpointConn::open(engine, limit).await.map_err(|e| e.to_string())?
                }
            };
            let res = conn.fetch(engine, req, MAX_REPORT_BYTES).await;
            let res = res.map_err(|e| e.to_string())?;
            Ok((res, conn))
        };
        let result: Option<Result<_, String>> = with_timeout(limit, work).await;
        let (res, conn) = result.ok_or("no answer in time")??;
        self.conn = Some(conn);
        self.forward_notice(kind, sent_at, &res);
        Ok(res)
    }

    /// Sends the notice from an answer's headers to the controller.
    fn forward_notice(&mut self, kind: Call, sent_at: Instant, res: &Response<Bytes>) {
        let unknown = self.protocol.unknown_names(res.headers());
        self.stats.count_unknown_names(NameSource::Answer, &unknown);
        let mut notice = self.protocol.decode_notice(res.status(), res.headers());
        match notice.rate {
            AdvertisedRate::Limit(_) => self.rate_advertised_by = Some(kind),
            AdvertisedRate::Missing if self.rate_advertised_by == Some(kind) => {
                self.rate_advertised_by = None;
            }
            _ if notice.is_empty() => return,
            _ => notice = notice.ignoring_missing_rate(),
        }
        // The controller lives as long as the agent.
        let _ = self.events.try_send(Event::EngineNotice { sent_at, notice });
    }
}

/// Returns the idle connection, unless the engine has closed it.
async fn reuse(conn: Option<EndpointConn>) -> Option<EndpointConn> {
    let mut conn = conn?;
    let ready = poll_fn(|cx| std::task::Poll::Ready(conn.is_ready(cx))).await;
    ready.then_some(conn)
}
