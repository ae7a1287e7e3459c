//! The platform's metadata store: lists, watches, and objects of the system's own kinds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// The objects by kind and name: the revision at which each was made, and its JSON.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// All changes: revision, kind, JSON of the event.
    log: Vec<(u64, String, String)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr)?;
        let store = Arc::new(Self::default());
        let served = store.clone();
        thread::spawn(move || {
            for sock in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(sock));
            }
        });
        Ok(store)
    }

    /// Writes an object; `spec` is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |(created, _)| *created);
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\
             \"created\":{created},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{spec},\"status\":{{}}}}"
        );
        let event = format!("{{\"object\":{object},\"deleted\":false}}");
        state.objects.insert(key, (created, object));
        state.log.push((revision, kind.to_owned(), event));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, sock: TcpStream) -> Option<()> {
        let mut conn = Conn::new(sock).ok()?;
        loop {
            let head = conn.read_head().ok()??;
            let body = conn.read_request_body(&head).ok()?;
            let (status, answer) = self.answer(&head, &body);
            // The store answers in about four milliseconds.
            thread::sleep(Duration::from_millis(4));
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            conn.write(text.as_bytes()).ok()?;
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let param = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let number = |name: &str| param(name).and_then(|text| text.parse::<u64>().ok());
        match (head.word(0), number("watch")) {
            ("GET", Some(since)) if name.is_empty() => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                (200, self.watch(kind, since, wait))
            }
            ("GET", _) if name.is_empty() => (200, self.list(kind)),
            ("GET", _) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some((_, object)) => (200, object.clone()),
                    None => (404, "{}".into()),
                }
            }
            ("POST", _) => {
                let text = String::from_utf8_lossy(body);
                let name = text.split("\"name\":\"").nth(1);
                let name = name.and_then(|rest| rest.split('"').next());
                let Some(name) = name else { return (400, "{}".into()) };
                self.put(kind, name, "{}");
                (201, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<_> = of_kind.map(|(_, (_, object))| object.as_str()).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.log.iter().filter(|(at, of, _)| *at > since && of == kind);
            let events: Vec<_> = newer.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
