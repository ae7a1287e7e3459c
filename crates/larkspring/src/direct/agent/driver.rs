//! Calls to the engine beside the agent, one at a time on a kept connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::future::poll_fn;
use http::{Request, Response};
use larkspring_core::call_time::{CallBounds, CallTime};
use larkspring_core::fleet::rate::RateWord;
use larkspring_core::ids::Incarnation;
use smol::channel::{self, Receiver, Sender};

use super::keeper::Event;
use crate::direct::conn::Conn;
use crate::direct::edge::{Order, OrderEnd, Protocol, Report};
use crate::direct::stats::Stats;
use crate::direct::unknown::Place;
use crate::exec::{self, within};

/// What the driver is asked to do.
#[derive(Debug)]
pub(super) enum Command {
    /// Ask for the report.
    Report,
    /// Ask for the run at a path.
    Identify(String),
    /// Give an order.
    Order(Order),
}

/// What came of a command; the text says why there is no answer.
#[derive(Debug)]
pub(super) enum Driven {
    Report(Result<Report, String>),
    Identified(Result<Incarnation, String>),
    Order(Order, Result<OrderEnd, String>),
}

/// Time for the answer to a report or an order. The engine is on the same VM and answers
/// within 1 to 3 ms; a busy VM takes ten times as long. Nothing else is ordered meanwhile,
/// so a lost answer holds up all other loads for this time: of 11,000 orders 547 were not
/// answered while each was waited for 250 ms, and single loads waited 1.6 s behind them.
const ANSWER: CallBounds =
    CallBounds { least: Duration::from_millis(30), most: Duration::from_millis(250) };
/// Time for the engine to tell its run: that waits for a place in its batch.
const IDENTIFY: Duration = Duration::from_millis(250);
/// Bytes of a report.
const MAX_REPORT: usize = 1024 * 1024;

struct Driver {
    engine: SocketAddr,
    protocol: Arc<dyn Protocol>,
    stats: Arc<Stats>,
    conn: Option<Conn>,
    time: CallTime,
    events: Sender<Event>,
    /// The kind of call whose answer named a rate last: silence of other answers may be no
    /// word of the engine.
    rate_named_by: Option<Call>,
}

/// A kind of call to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Report,
    Health,
    Order,
}

/// Starts the driver of an engine; it ends with the returned sender.
pub(super) fn start(
    engine: SocketAddr,
    protocol: Arc<dyn Protocol>,
    stats: Arc<Stats>,
    events: Sender<Event>,
) -> Sender<Command> {
    let (tx, rx) = channel::bounded(1);
    let time = CallTime::new(ANSWER);
    let driver =
        Driver { engine, protocol, stats, conn: None, time, events, rate_named_by: None };
    exec::spawn(driver.run(rx)).detach();
    tx
}

impl Driver {
    async fn run(mut self, commands: Receiver<Command>) {
        while let Ok(command) = commands.recv().await {
            let driven = match command {
                Command::Report => Driven::Report(self.report().await),
                Command::Identify(path) => Driven::Identified(self.identify(&path).await),
                Command::Order(order) => {
                    let end = self.order(&order).await;
                    Driven::Order(order, end)
                }
            };
            if self.events.send(Event::Driven(driven)).await.is_err() {
                return;
            }
        }
    }

    async fn report(&mut self) -> Result<Report, String> {
        let res = self.timed(Call::Report, self.protocol.report()).await?;
        self.protocol.read_report(&res).map_err(|e| e.to_string())
    }

    async fn identify(&mut self, path: &str) -> Result<Incarnation, String> {
        let req = self.protocol.health(path).ok_or("the health path can't be read")?;
        let res = self.call(Call::Health, req, IDENTIFY).await?;
        let run = self.protocol.read_health(&res);
        run.ok_or_else(|| format!("answered {} without its run", res.status()))
    }

    async fn order(&mut self, order: &Order) -> Result<OrderEnd, String> {
        let res = self.timed(Call::Order, self.protocol.order(order)).await?;
        Ok(self.protocol.read_order(&res))
    }

    /// Calls the engine for as long as its answers usually take.
    async fn timed(
        &mut self,
        kind: Call,
        req: Request<Bytes>,
    ) -> Result<Response<Bytes>, String> {
        let asked = Instant::now();
        let res = self.call(kind, req, self.time.limit()).await;
        match &res {
            Ok(_) => self.time.answered(asked.elapsed()),
            Err(_) => self.time.lost(),
        }
        res
    }

    /// Calls the engine; a connection that brought no answer is closed.
    async fn call(
        &mut self,
        kind: Call,
        req: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Bytes>, String> {
        let (engine, asked) = (self.engine, Instant::now());
        let work = async {
            let mut conn = match kept(self.conn.take()).await {
                Some(conn) => conn,
                None => Conn::open(engine, limit).await.map_err(|e| e.to_string())?,
            };
            let res = conn.fetch(engine, req, MAX_REPORT).await;
            let res = res.map_err(|e| e.to_string())?;
            Ok((res, conn))
        };
        let got: Option<Result<_, String>> = within(limit, work).await;
        let (res, conn) = got.ok_or("no answer in time")??;
        self.conn = Some(conn);
        self.notice(kind, asked, &res);
        Ok(res)
    }

    /// Tells the keeper what an answer says of the engine.
    fn notice(&mut self, kind: Call, asked: Instant, res: &Response<Bytes>) {
        let unknown = self.protocol.unknown_words(res.headers());
        self.stats.unknown_words(Place::Answer, &unknown);
        let mut notice = self.protocol.notice(res.status(), res.headers());
        match notice.rate {
            RateWord::Named(_) => self.rate_named_by = Some(kind),
            RateWord::Silent if self.rate_named_by == Some(kind) => {
                self.rate_named_by = None;
            }
            _ if notice.is_empty() => return,
            _ => notice = notice.without_silence(),
        }
        // The keeper lives as long as the agent.
        let _ = self.events.try_send(Event::Noticed { asked, notice });
    }
}

/// Returns a kept connection, unless the engine has closed it.
async fn kept(conn: Option<Conn>) -> Option<Conn> {
    let mut conn = conn?;
    let ready = poll_fn(|cx| std::task::Poll::Ready(conn.is_ready(cx))).await;
    ready.then_some(conn)
}
