//! Answers without end to calls of the HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use http_types::Method;
use larkspring::exec;
use larkspring::http::client::{fetch, request, MAX_ANSWER_BYTES, MAX_HEAD_BYTES};

struct Case {
    name: &'static str,
    /// The beginning of the answer.
    begin: &'static [u8],
    /// What is sent again and again after it.
    repeated: &'static [u8],
}

/// Limit of a call. Longer than the test may take, so that a time-out ends no case.
const LIMIT: Duration = Duration::from_secs(60);
/// Bytes that the sockets of both sides may hold.
const MAX_IN_SOCKETS: usize = 16 * 1024 * 1024;

/// Starts a peer that sends an answer without end, and returns its address and a handle
/// on the number of bytes that it could send.
fn start_peer(c: &Case) -> (SocketAddr, thread::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (begin, part) = (c.begin, c.repeated.repeat(4096));
    let sent = thread::spawn(move || {
        let (mut sock, _) = listener.accept().unwrap();
        let _ = sock.read(&mut [0; 1024]);
        let mut sent = 0;
        let mut result = sock.write_all(begin);
        while result.is_ok() && sent < 1024 * 1024 * 1024 {
            result = sock.write_all(&part);
            sent += part.len();
        }
        sent
    });
    (addr, sent)
}

/// Guards against memory that a peer fills with bytes that are no answer, and against a
/// call that they keep from ending.
#[test]
fn answers_without_end_are_given_up() {
    let cases = [
        Case { name: "a status line", begin: b"HTTP/1.1 200 ", repeated: b"x" },
        Case { name: "a header line", begin: b"HTTP/1.1 200 OK\r\nx: ", repeated: b"x" },
        Case {
            name: "header lines",
            begin: b"HTTP/1.1 200 OK\r\n",
            repeated: b"x: y\r\n",
        },
        Case {
            name: "interim answers",
            begin: b"",
            repeated: b"HTTP/1.1 100 Continue\r\n\r\n",
        },
        Case {
            name: "a body",
            begin: b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            repeated: b"x",
        },
        Case {
            name: "chunks",
            begin: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            repeated: b"1\r\nx\r\n",
        },
        Case {
            name: "the size of a chunk",
            begin: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            repeated: b"0",
        },
        Case {
            name: "a chunk's extension",
            begin: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
            repeated: b"x",
        },
        Case {
            name: "trailers",
            begin: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            repeated: b"x: y\r\n",
        },
    ];
    for c in cases {
        let (addr, sent) = start_peer(&c);
        let addr = addr.to_string();
        let got = exec::run(1, async {
            let req = request(Method::Get, &addr, "/").unwrap();
            fetch(&addr, req, LIMIT).await
        });
        // Interim answers are not read as answers, so the call may end with the first.
        assert!(got.is_err() || c.name == "interim answers", "{}", c.name);
        let sent = sent.join().unwrap();
        let max = MAX_HEAD_BYTES + 2 * MAX_ANSWER_BYTES + MAX_IN_SOCKETS;
        assert!(sent <= max, "{}: {sent} bytes", c.name);
    }
}
