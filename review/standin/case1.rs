//! An unsafe request runs twice after a worker has sent its refusal twice.
//!
//! One worker, nearly full by the load of two entries. During the disruption the worker
//! sends a second copy of a few of its refusals, late: in the place of the next answer on
//! the connection. All answers carry the id of their request.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::node::{config, server_entry};
use crate::store::Store;
use crate::{Random, Record, Stage};

const SERVICE: &str = "case-portal";
const OTHER_SERVICE: &str = "registry";
/// The places of a worker of the small deployment's plain service.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const MAX_CONNS: usize = 96;
/// Its work, in milliseconds.
const WORK_MS: (u64, u64) = (3, 7);
/// Users at each of the two entries: together a few more than the worker has places.
const USERS: usize = 17;
/// The disruption: part of the answers, and the seconds in which it lasts.
const SHARE: f64 = 0.03;
const WINDOW: (u64, u64) = (2, 7);
const PLAY: Duration = Duration::from_secs(9);

struct Worker {
    id: &'static str,
    record: Arc<Record>,
    has_trouble: bool,
    start: Instant,
    places: Mutex<Places>,
    freed: Condvar,
    /// Runs by attempt.
    runs: Mutex<HashMap<String, u32>>,
    /// Answers during the disruption, and those that were sent twice.
    answers: AtomicU64,
    doubled: AtomicU64,
}

#[derive(Default)]
struct Places {
    running: usize,
    queued: usize,
}

pub fn play(stage: &Arc<Stage>) -> io::Result<bool> {
    let net = &stage.network;
    let store = Store::start(net.store())?;
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"portal.example\",\
             \"pathPrefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":1000,\
             \"latencyGoalMs\":150,\"priority\":2,\"service\":\"{service}\",\
             \"maxAttempts\":2}}"
        )
    };
    let routes =
        [route("status", "unsafe", SERVICE), route("registry", "safe", OTHER_SERVICE)];
    store.put("config", "main", &config(&routes, &[SERVICE, OTHER_SERVICE], MAX_CONNS));
    let start_worker = |host, id, service, has_trouble| {
        let worker = Arc::new(Worker {
            id,
            record: stage.record.clone(),
            has_trouble,
            start: Instant::now(),
            places: Mutex::default(),
            freed: Condvar::new(),
            runs: Mutex::default(),
            answers: AtomicU64::new(0),
            doubled: AtomicU64::new(0),
        });
        let addr = net.addr(host, 8501);
        let (listener, serving) = (TcpListener::bind(addr)?, worker.clone());
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(sock));
            }
        });
        store.put("servers", id, &server_entry(service, addr, "hall-a", SLOTS));
        Ok::<_, io::Error>(worker)
    };
    // One of the two workers of the deployment is faulty.
    let worker = start_worker(10, "i-7f3a91c2", SERVICE, stage.has_trouble)?;
    start_worker(11, "i-02d9e6b4", OTHER_SERVICE, false)?;
    net.start_entry(2, "hall-a")?;
    net.start_entry(3, "hall-b")?;

    let over = Arc::new(AtomicBool::new(false));
    let answered: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let begin = Instant::now();
    let mut users = Vec::new();
    for (host, user) in [2, 3].into_iter().flat_map(|h| (0..USERS).map(move |u| (h, u))) {
        let (front, over, answered) = (net.front(host), over.clone(), answered.clone());
        let record = stage.record.clone();
        let name = format!("{host:02x}{user:02x}");
        users.push(thread::spawn(move || {
            use_entry(&name, front, &over, &answered, &record)
        }));
    }
    thread::sleep(PLAY.saturating_sub(begin.elapsed()));
    over.store(true, Ordering::Relaxed);
    users.into_iter().for_each(|user| drop(user.join()));
    thread::sleep(Duration::from_millis(1500));

    let (runs, answered) = (worker.runs.lock().unwrap(), answered.lock().unwrap());
    let mut twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    twice.sort();
    let is_refusal = |status: &u16| matches!(status, 408 | 421 | 429 | 503);
    let refused =
        answered.iter().filter(|(id, s)| is_refusal(s) && runs.contains_key(*id));
    let mut refused: Vec<_> = refused.collect();
    refused.sort();
    for (id, runs) in &twice {
        stage.record.say(format!("TWICE: the unsafe attempt {id} ran {runs} times"));
    }
    for (id, status) in &refused {
        stage
            .record
            .say(format!("REFUSED: the unsafe attempt {id} got {status} and ran"));
    }
    stage.record.say(format!(
        "{} attempts sent, {} run; {} of {} answers during the disruption sent twice",
        answered.len(),
        runs.len(),
        worker.doubled.load(Ordering::Relaxed),
        worker.answers.load(Ordering::Relaxed),
    ));
    Ok(twice.is_empty() && refused.is_empty())
}

/// Sends unsafe requests one after the other on a kept connection; heeds the retry time
/// of refusals, with a new attempt.
fn use_entry(
    name: &str,
    front: SocketAddr,
    over: &AtomicBool,
    answered: &Mutex<HashMap<String, u16>>,
    record: &Record,
) {
    let mut conn = None;
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}{number:08x}");
        record.line(format!("client sends {id}"));
        let status = match ask(&mut conn, front, &id) {
            Ok((status, wait)) => {
                record.line(format!("client gets {status} for {id}"));
                thread::sleep(wait);
                status
            }
            Err(e) => {
                record.line(format!("client gets no answer for {id}: {e}"));
                conn = None;
                0
            }
        };
        answered.lock().unwrap().insert(id, status);
    }
}

fn ask(
    conn: &mut Option<Conn>,
    front: SocketAddr,
    id: &str,
) -> io::Result<(u16, Duration)> {
    let mut open = match conn.take() {
        Some(open) => open,
        None => Conn::open(front, Duration::from_secs(1))?,
    };
    open.set_read_timeout(Duration::from_millis(1600))?;
    let body = format!("{{\"application\":\"{id}\"}}");
    let head = format!(
        "POST /status/2f HTTP/1.1\r\nHost: portal.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    open.write(head.as_bytes())?;
    let answer = open.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    open.read_answer_body(&answer)?;
    let wait = answer.get("retry-after").and_then(|text| text.parse().ok());
    if answer.get("connection") != Some("close") {
        *conn = Some(open);
    }
    Ok((answer.status(), Duration::from_secs_f64(wait.unwrap_or(0.0))))
}

impl Worker {
    fn serve(&self, sock: TcpStream) -> Option<()> {
        let mut conn = Conn::new(sock).ok()?;
        let mut random = Random::new();
        // A second copy of the last answer, which comes late.
        let mut surplus: Option<Vec<u8>> = None;
        loop {
            conn.set_read_timeout(Duration::from_secs(5)).ok()?;
            let head = conn.read_head().ok()??;
            conn.read_request_body(&head).ok()?;
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            if let Some(copy) = surplus.take() {
                self.record.line(format!("worker sends a surplus answer; {id} is due"));
                conn.write(&copy).ok()?;
            }
            if head.word(1) == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                conn.write(text.as_bytes()).ok()?;
                continue;
            }
            if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\n\
                     Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                conn.write(text.as_bytes()).ok()?;
                continue;
            }
            let answer = match self.enter(&conn) {
                Some(true) => {
                    *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                    self.record.line(format!("worker runs {id}"));
                    let work = random.between(WORK_MS.0, WORK_MS.1);
                    thread::sleep(Duration::from_millis(work));
                    self.leave();
                    format!(
                        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: 3e1b.{id}\r\n\
                         Keep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\ndone"
                    )
                }
                Some(false) => {
                    self.record.line(format!("worker refuses {id}, as it is full"));
                    format!(
                        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\n\
                         Not-Executed: 1\r\nKeep-Alive: timeout=5\r\n\
                         Content-Length: 0\r\n\r\n"
                    )
                }
                None => return None,
            };
            conn.write(answer.as_bytes()).ok()?;
            if self.is_doubled(answer.contains(" 503 ")) {
                self.record.line(format!("the answer to {id} will be sent again"));
                surplus = Some(answer.into_bytes());
            }
        }
    }

    /// Waits for a slot. `false` if the queue is full, `None` if the caller has left.
    fn enter(&self, conn: &Conn) -> Option<bool> {
        let mut places = self.places.lock().unwrap();
        if places.running < SLOTS {
            places.running += 1;
            return Some(true);
        }
        if places.queued >= QUEUE {
            return Some(false);
        }
        places.queued += 1;
        while places.running >= SLOTS {
            places = self.freed.wait(places).unwrap();
        }
        places.queued -= 1;
        places.running += 1;
        drop(places);
        if conn.is_closed() {
            self.leave();
            return None;
        }
        Some(true)
    }

    fn leave(&self) {
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    /// Returns whether an answer is sent a second time: refusals during the disruption, up
    /// to its share of all answers.
    fn is_doubled(&self, is_refusal: bool) -> bool {
        let at = self.start.elapsed().as_secs();
        let is_on = (WINDOW.0..WINDOW.1).contains(&at);
        if !self.has_trouble || !is_on {
            return false;
        }
        let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let doubled = self.doubled.load(Ordering::Relaxed) + 1;
        let is_doubled = is_refusal && doubled as f64 <= SHARE * answers as f64;
        if is_doubled {
            self.doubled.fetch_add(1, Ordering::Relaxed);
        }
        is_doubled
    }
}
