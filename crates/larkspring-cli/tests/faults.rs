//! Faults on the path of a request, injected into separate processes.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::thread;

use common::client::{
    call, completion_request, expected_text, post_json, send, send_completion,
    streamed_body,
};
use common::{wait_until, Cluster, ClusterSpec, CALLER_KEY};
use serde_json::json;

const LONG_ANSWER_TOKENS: u64 = 1_000_000;

#[test]
fn disconnect_while_streaming_cancels_and_releases_the_pin() {
    let cluster = Cluster::start(ClusterSpec { slots: 1, ..ClusterSpec::default() });
    let mut sock = send(
        cluster.entry(),
        &completion_request(
            CALLER_KEY,
            &streamed_body("a0", "left", LONG_ANSWER_TOKENS),
            &[],
        ),
    );
    sock.read_until("a0@v1|left|").unwrap();
    drop(sock);
    wait_until("the engine has cancelled the request", || {
        cluster.engine_stats(0)["cancelled"] == 1
    });
    // The only slot becomes free only if the pin is released.
    let answer = send_completion(
        cluster.entry(),
        CALLER_KEY,
        &streamed_body("a1", "next", 2),
        &[],
    );
    assert_eq!(answer.text(), expected_text("a1@v1", "next", 2));
    assert_eq!(cluster.engine_stats(0)["unloads_in_use"], 0);
}

#[test]
fn disconnect_while_waiting_removes_the_request() {
    let cluster = Cluster::start(ClusterSpec { slots: 1, ..ClusterSpec::default() });
    let mut holder = send(
        cluster.entry(),
        &completion_request(
            CALLER_KEY,
            &streamed_body("a0", "holder", LONG_ANSWER_TOKENS),
            &[],
        ),
    );
    holder.read_until("a0@v1|holder|").unwrap();
    let waiting = send(
        cluster.entry(),
        &completion_request(CALLER_KEY, &streamed_body("a1", "gone", 2), &[]),
    );
    drop(waiting);
    drop(holder);
    let answer = send_completion(
        cluster.entry(),
        CALLER_KEY,
        &streamed_body("a2", "after", 2),
        &[],
    );
    assert_eq!(answer.text(), expected_text("a2@v1", "after", 2));
    assert_eq!(cluster.run_count("gone"), 0);
}

#[test]
fn interrupted_answer_is_resumed_or_ends_with_an_error() {
    struct Case {
        resumable: bool,
        restart: bool,
        whole: bool,
    }
    let cases = [
        Case { resumable: true, restart: false, whole: true },
        Case { resumable: false, restart: false, whole: false },
        Case { resumable: true, restart: true, whole: false },
    ];
    let cluster = Cluster::start(ClusterSpec::default());
    for case in cases {
        let tokens = if case.restart { LONG_ANSWER_TOKENS } else { 50 };
        let broken = if case.restart { json!(null) } else { json!(7) };
        cluster.set_engine_faults(
            0,
            json!({ "break_after": broken, "resumable": case.resumable }),
        );
        let mut sock = send(
            cluster.entry(),
            &completion_request(CALLER_KEY, &streamed_body("a0", "cut", tokens), &[]),
        );
        if case.restart {
            sock.read_until("a0@v1|cut|").unwrap();
            post_json(&cluster.engines[0].addr, "/restart", &json!({}));
        }
        let answer = sock.read();
        if case.whole {
            assert_eq!(answer.text(), expected_text("a0@v1", "cut", 50));
        }
        assert_eq!(answer.has_end_marker(), case.whole, "{answer:?}");
        assert_eq!(answer.is_complete, case.whole, "{answer:?}");
        assert_ne!(answer.body.contains("event: error"), case.whole);
    }
}

#[test]
fn answer_of_a_killed_engine_ends_visibly_incomplete() {
    let mut cluster = Cluster::start(ClusterSpec::default());
    let mut sock = send(
        cluster.entry(),
        &completion_request(
            CALLER_KEY,
            &streamed_body("a0", "killed", LONG_ANSWER_TOKENS),
            &[],
        ),
    );
    sock.read_until("a0@v1|killed|").unwrap();
    cluster.engines[0].kill();
    let answer = sock.read();
    assert!(!answer.has_end_marker() && !answer.is_complete, "{answer:?}");
    let refused = send_completion(
        cluster.entry(),
        CALLER_KEY,
        &streamed_body("a0", "late", 1),
        &[],
    );
    assert_eq!((refused.status, &*refused.outcome()), (503, "not-run"));
    assert!(refused.header("retry-after").is_some());
}

#[test]
fn killed_agent_is_skipped_or_requests_are_refused_as_not_run() {
    let mut cluster =
        Cluster::start(ClusterSpec { engines: 2, ..ClusterSpec::default() });
    cluster.agents[0].kill();
    for n in 0..8 {
        let body = streamed_body(&format!("a{n}"), "one-left", 2);
        let answer = send_completion(cluster.entry(), CALLER_KEY, &body, &[]);
        assert_eq!(answer.text(), expected_text(&format!("a{n}@v1"), "one-left", 2));
    }
    cluster.agents[1].kill();
    let answer = send_completion(
        cluster.entry(),
        CALLER_KEY,
        &streamed_body("a0", "none-left", 2),
        &[],
    );
    assert_eq!((answer.status, &*answer.outcome()), (503, "not-run"), "{answer:?}");
    assert_eq!(cluster.run_count("none-left"), 0);
}

#[test]
fn answer_of_a_killed_agent_ends_visibly_incomplete() {
    let mut cluster = Cluster::start(ClusterSpec::default());
    let mut sock = send(
        cluster.entry(),
        &completion_request(
            CALLER_KEY,
            &streamed_body("a0", "cut", LONG_ANSWER_TOKENS),
            &[],
        ),
    );
    sock.read_until("a0@v1|cut|").unwrap();
    cluster.agents[0].kill();
    let answer = sock.read();
    assert!(!answer.has_end_marker() && !answer.is_complete, "{answer:?}");
    assert!(answer.body.contains("\"outcome\":\"failed\""));
}

#[test]
fn stalled_callers_do_not_block_other_callers() {
    let settings = "  max_streams_per_caller: 2000\n";
    let agent_settings = "  max_running: 1000\n";
    let cluster = Cluster::start(ClusterSpec {
        engine_faults: json!({ "step_us": 200, "max_batch": 1000, "over_knee_us": 0 }),
        entry_settings: settings,
        agent_settings,
        ..ClusterSpec::default()
    });
    let mut stalled: Vec<_> = (0..300)
        .map(|n| {
            let body = streamed_body("a0", &format!("stalled{n}"), LONG_ANSWER_TOKENS);
            send(cluster.entry(), &completion_request(CALLER_KEY, &body, &[]))
        })
        .collect();
    for sock in &mut stalled {
        sock.read_until("|").unwrap();
    }
    // The engine generates no more tokens for an answer that is not read, so that after
    // some time only the reading caller receives tokens.
    wait_until("the stalled answers get no more tokens", || {
        let before = cluster.engine_stats(0)["tokens"].clone();
        let body = streamed_body("a0", "probe", 20);
        let probe = send_completion(cluster.entry(), CALLER_KEY, &body, &[]);
        assert_eq!(probe.text(), expected_text("a0@v1", "probe", 20), "{probe:?}");
        let after = cluster.engine_stats(0)["tokens"].clone();
        after.as_u64().unwrap() - before.as_u64().unwrap() < 40
    });
    let body = streamed_body("a0", "reading", 2000);
    let answer = send_completion(cluster.entry(), CALLER_KEY, &body, &[]);
    assert_eq!(answer.text(), expected_text("a0@v1", "reading", 2000));
    for sock in &mut stalled[..5] {
        sock.read_until(" 900\"").unwrap();
    }
}

#[test]
fn failed_load_is_retried_elsewhere_or_refused_as_not_run() {
    struct Case {
        name: &'static str,
        fault: serde_json::Value,
        both: bool,
        status: u16,
    }
    let cases = [
        Case {
            name: "one",
            fault: json!({ "fail_loads": 1000 }),
            both: false,
            status: 200,
        },
        Case {
            name: "both",
            fault: json!({ "fail_loads": 1000 }),
            both: true,
            status: 503,
        },
        Case {
            name: "wrong",
            fault: json!({ "load_wrong": "a9@v2" }),
            both: true,
            status: 503,
        },
    ];
    for (n, case) in cases.iter().enumerate() {
        let cluster =
            Cluster::start(ClusterSpec { engines: 2, ..ClusterSpec::default() });
        cluster.set_engine_faults(0, case.fault.clone());
        if case.both {
            cluster.set_engine_faults(1, case.fault.clone());
        }
        let model = format!("a{}", 10 + n);
        let answer = send_completion(
            cluster.entry(),
            CALLER_KEY,
            &streamed_body(&model, case.name, 2),
            &[],
        );
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        match case.status {
            200 => {
                assert_eq!(
                    answer.text(),
                    expected_text(&format!("{model}@v1"), case.name, 2)
                )
            }
            _ => {
                assert_eq!(answer.outcome(), "not-run", "{}", case.name);
                assert_eq!(cluster.run_count(case.name), 0, "{}", case.name);
            }
        }
    }
}

#[test]
fn deadline_ends_a_request_with_the_right_outcome() {
    struct Case {
        name: &'static str,
        fault: serde_json::Value,
        outcome: &'static str,
        status: u16,
        runs: usize,
    }
    let frozen_load = json!({ "rate": 1000.0, "concurrency": 1, "load_ms": 600_000 });
    let cases = [
        Case {
            name: "hanging",
            fault: json!({ "hang": true }),
            outcome: "unknown",
            status: 502,
            runs: 1,
        },
        Case {
            name: "loading",
            fault: json!({}),
            outcome: "not-run",
            status: 503,
            runs: 0,
        },
    ];
    let cluster = Cluster::start(ClusterSpec::default());
    post_json(&cluster.weights.addr, "/faults", &frozen_load);
    for case in cases {
        cluster.set_engine_faults(0, case.fault);
        let model = if case.runs == 1 { "a0" } else { "a5" };
        let headers =
            [("larkspring-deadline-ms", "1000"), ("larkspring-repeatable", "no")];
        let tokens = if case.runs == 1 { LONG_ANSWER_TOKENS } else { 2 };
        let body = streamed_body(model, case.name, tokens);
        let answer = send_completion(cluster.entry(), CALLER_KEY, &body, &headers);
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.outcome(), case.outcome, "{}", case.name);
        assert_eq!(cluster.run_count(case.name), case.runs, "{}", case.name);
    }
    wait_until("the hanging request was cancelled", || {
        cluster.engine_stats(0)["cancelled"] == 1
    });
}

#[test]
fn graceful_shutdown_completes_answers_and_refuses_new_requests() {
    let mut cluster =
        Cluster::start(ClusterSpec { engines: 2, entries: 2, ..ClusterSpec::default() });
    let conns: Vec<_> = (0..6)
        .map(|n| {
            let body = streamed_body(&format!("a{n}"), "slowly", 800);
            let mut sock =
                send(cluster.entry(), &completion_request(CALLER_KEY, &body, &[]));
            sock.read_until("|slowly|").unwrap();
            (n, sock)
        })
        .collect();
    cluster.agents[0].request_stop();
    cluster.entries[0].request_stop();
    wait_until("the entry refuses at once", || {
        let refused = send_completion(
            cluster.entry(),
            CALLER_KEY,
            &streamed_body("a0", "late", 2),
            &[],
        );
        refused.status == 503 && refused.outcome() == "not-run"
    });
    let readers: Vec<_> = conns
        .into_iter()
        .map(|(n, sock)| (n, thread::spawn(move || sock.read())))
        .collect();
    for n in 0..8 {
        let body = streamed_body(&format!("a{n}"), "meanwhile", 2);
        let answer = send_completion(&cluster.entries[1].addr, CALLER_KEY, &body, &[]);
        assert_eq!(
            answer.text(),
            expected_text(&format!("a{n}@v1"), "meanwhile", 2),
            "{answer:?}"
        );
    }
    for (n, reader) in readers {
        let answer = reader.join().unwrap();
        assert!(answer.is_complete && answer.has_end_marker(), "a{n}: {answer:?}");
        assert!(answer.body.contains(" 799\""), "a{n}");
    }
    cluster.agents[0].wait_for_exit();
    cluster.entries[0].wait_for_exit();
}

#[test]
fn refusal_after_an_unknown_attempt_is_never_not_run() {
    let mut cluster =
        Cluster::start(ClusterSpec { engines: 2, slots: 16, ..ClusterSpec::default() });
    cluster.set_engine_faults(0, json!({ "hang": true }));
    cluster.set_engine_faults(1, json!({ "fail_loads": 1000 }));
    let conns: Vec<_> = (2..10)
        .map(|n| {
            let body = streamed_body(&format!("a{n}"), "unclear", LONG_ANSWER_TOKENS);
            send(cluster.entry(), &completion_request(CALLER_KEY, &body, &[]))
        })
        .collect();
    // Some requests reach the hanging engine first, others after the other engine refused
    // them.
    wait_until("all requests hang", || cluster.run_count("unclear") == 8);
    cluster.agents[0].kill();
    for conn in conns {
        let answer = conn.read();
        assert_ne!(answer.status, 200, "{answer:?}");
        assert_ne!(answer.outcome(), "not-run", "{answer:?}");
    }
}

/// Guards against an answer that reaches its caller as complete and empty: the agent
/// can't read a body that ends with the connection.
#[test]
fn an_answer_without_length_or_chunks_is_refused() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        status: u16,
        /// The body that the caller gets; `None` for a refusal.
        body: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "no length",
            answer: "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nread",
            status: 502,
            body: None,
        },
        Case {
            name: "no length, nothing after the head",
            answer: "HTTP/1.1 200 OK\r\n\r\n",
            status: 502,
            body: None,
        },
        Case {
            name: "an error without length",
            answer: "HTTP/1.1 404 Not Found\r\n\r\nread",
            status: 502,
            body: None,
        },
        Case {
            name: "a length",
            answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nread",
            status: 200,
            body: Some("read"),
        },
        Case {
            name: "chunks",
            answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                4\r\nread\r\n0\r\n\r\n",
            status: 200,
            body: Some("read"),
        },
        Case {
            name: "a status without a body",
            answer: "HTTP/1.1 204 No Content\r\n\r\n",
            status: 204,
            body: Some(""),
        },
    ];
    let mut cluster = Cluster::start(ClusterSpec::default());
    cluster.service.kill();
    let listener = TcpListener::bind(&cluster.service.addr).unwrap();
    for case in cases {
        let answer = thread::scope(|scope| {
            scope.spawn(|| {
                let (mut sock, _) = listener.accept().unwrap();
                let head = BufReader::new(&sock).lines().map(Result::unwrap);
                head.take_while(|line| !line.is_empty()).for_each(drop);
                sock.write_all(case.answer.as_bytes()).unwrap();
            });
            call(cluster.entry(), "GET", "/services/loggers/readings")
        });
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        match case.body {
            Some(body) => assert_eq!(answer.body, body, "{}: {answer:?}", case.name),
            None => assert_eq!(answer.outcome(), "failed", "{}: {answer:?}", case.name),
        }
    }
}
