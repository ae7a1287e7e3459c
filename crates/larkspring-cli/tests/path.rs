//! Requests through separate processes: exact answers, and errors with the right outcome.

mod common;

use std::thread;

use common::client::{
    call, completion_request, expected_text, request, send, send_completion, send_raw,
    streamed_body,
};
use common::{wait_until, Cluster, ClusterSpec, CALLER_KEY, OTHER_CALLER_KEY};
use serde_json::{json, Value};

#[test]
fn named_adapters_answer_at_once_and_as_stream() {
    struct Case {
        model: &'static str,
        target: &'static str,
        chat: bool,
        stream: bool,
    }
    let cases = [
        Case { model: "a1", target: "a1@v1", chat: false, stream: false },
        Case { model: "a1@v1", target: "a1@v1", chat: false, stream: true },
        Case { model: "a1@v2", target: "a1@v2", chat: false, stream: true },
        Case { model: "a2@v2", target: "a2@v2", chat: true, stream: false },
        Case { model: "a2", target: "a2@v1", chat: true, stream: true },
        Case { model: "secret", target: "secret@v1", chat: false, stream: true },
    ];
    let cluster =
        Cluster::start(ClusterSpec { engines: 2, entries: 2, ..ClusterSpec::default() });
    for entry in &cluster.entries {
        for case in &cases {
            let mut body =
                json!({ "model": case.model, "max_tokens": 5, "stream": case.stream });
            match case.chat {
                true => body["messages"] = json!([{ "role": "user", "content": "hi" }]),
                false => body["prompt"] = json!("hi"),
            }
            let answer = send_completion(&entry.addr, CALLER_KEY, &body, &[]);
            assert_eq!(answer.status, 200, "{}: {answer:?}", case.model);
            assert_eq!(answer.text(), expected_text(case.target, "hi", 5));
            assert!(answer.is_complete, "{answer:?}");
            assert_eq!(answer.has_end_marker(), case.stream);
        }
    }
}

#[test]
fn refusals_name_outcome_and_step() {
    struct Case {
        key: &'static str,
        body: Value,
        header: (&'static str, &'static str),
        status: u16,
        step: &'static str,
    }
    let case = |key, body, header, status, step| Case { key, body, header, status, step };
    let body_for = |model: &str| json!({ "model": model, "prompt": "never" });
    let none = ("x-none", "");
    let cases = [
        case(CALLER_KEY, body_for("nobody"), none, 404, "resolve"),
        case(CALLER_KEY, body_for("a1@v9"), none, 404, "resolve"),
        case(CALLER_KEY, body_for("a1@"), none, 404, "resolve"),
        case(OTHER_CALLER_KEY, body_for("secret"), none, 403, "admit"),
        case("wrong", body_for("a1"), none, 401, "authenticate"),
        case("", body_for("a1"), none, 401, "authenticate"),
        case(CALLER_KEY, json!({ "prompt": "never" }), none, 400, "read"),
        case(CALLER_KEY, json!("never"), none, 400, "read"),
        case(CALLER_KEY, body_for("a1"), ("larkspring-deadline-ms", "soon"), 400, "read"),
        case(CALLER_KEY, body_for("a1"), ("larkspring-priority", "10"), 400, "read"),
        case(
            CALLER_KEY,
            body_for("a1"),
            ("larkspring-repeatable", "perhaps"),
            400,
            "read",
        ),
        case(CALLER_KEY, body_for("a1"), ("idempotency-key", ""), 400, "read"),
    ];
    let cluster = Cluster::start(ClusterSpec::default());
    for case in cases {
        let answer =
            send_completion(cluster.entry(), case.key, &case.body, &[case.header]);
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.body);
        assert_eq!(answer.outcome(), "not-run", "{}", case.body);
        assert_eq!(answer.error()["step"], case.step, "{}", case.body);
    }
    assert_eq!(cluster.run_count("never"), 0);
}

#[test]
fn malformed_requests_are_refused_and_never_run() {
    struct Case {
        name: &'static str,
        request: String,
        half_close: bool,
        status: u16,
    }
    let case = |name, request: &str, half_close, status| Case {
        name,
        request: request.into(),
        half_close,
        status,
    };
    let body = json!({ "model": "a1", "prompt": "never" }).to_string();
    let post = format!(
        "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer {CALLER_KEY}\r\nhost: x\r\n"
    );
    let len = body.len();
    let long = format!("{post}x: {}\r\n\r\n", "y".repeat(9000));
    let many = format!("{post}{}\r\n", "x: y\r\n".repeat(70));
    let cases = [
        case("garbage", "{{{}\r\n\r\n", false, 400),
        case("no host", "GET /v1/models HTTP/1.1\r\n\r\n", false, 400),
        case("two hosts", &format!("{post}host: y\r\n\r\n"), false, 400),
        case("old version", "GET /v1/models HTTP/1.0\r\nhost: x\r\n\r\n", false, 505),
        case("long head", &long, false, 431),
        case("many headers", &many, false, 431),
        case(
            "two lengths",
            &format!("{post}content-length: 3\r\ncontent-length: {len}\r\n\r\n{body}"),
            false,
            400,
        ),
        case(
            "odd length",
            &format!("{post}content-length: +{len}\r\n\r\n{body}"),
            false,
            400,
        ),
        case(
            "length and encoding",
            &format!(
                "{post}content-length: {len}\r\ntransfer-encoding: chunked\r\n\r\n{body}"
            ),
            false,
            411,
        ),
        case(
            "chunked body without its end",
            &format!("{post}transfer-encoding: chunked\r\n\r\n{len:x}\r\n{body}\r\n"),
            true,
            411,
        ),
        case(
            "large body",
            &format!("{post}content-length: 99999999\r\n\r\n"),
            false,
            413,
        ),
        case(
            "short body",
            &format!("{post}content-length: {}\r\n\r\n{body}", len + 1),
            true,
            400,
        ),
        case(
            "slow body",
            &format!("{post}content-length: {}\r\n\r\n{body}", len + 1),
            false,
            408,
        ),
        case("slow head", "POST /v1/comp", false, 408),
        case("cut head", "POST /v1/comp", true, 400),
    ];
    let settings = "  head_timeout_ms: 1500\n";
    let cluster = Cluster::start(ClusterSpec {
        entry_settings: settings,
        ..ClusterSpec::default()
    });
    for case in cases {
        let answer = send_raw(cluster.entry(), &case.request, case.half_close);
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(answer.outcome(), "not-run", "{}", case.name);
        assert!(answer.is_complete, "{}", case.name);
    }
    assert_eq!(cluster.run_count("never"), 0);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let cluster = Cluster::start(ClusterSpec::default());
    let body = |n| json!({ "model": "a1", "prompt": n, "max_tokens": 2 });
    let first = completion_request(CALLER_KEY, &body("first"), &[])
        .replace("connection: close\r\n", "");
    let last = completion_request(CALLER_KEY, &body("last"), &[]);
    let mut sock = send(cluster.entry(), &format!("{first}{first}{last}"));
    let raw = sock.read_until("a1@v1|last|").unwrap();
    let at = |text: &str| raw.find(text).unwrap();
    assert!(at("a1@v1|first|") < at("a1@v1|last|"));
    assert_eq!(raw.matches("a1@v1|first|").count(), 2);
}

#[test]
fn concurrent_answers_are_not_mixed_up() {
    let cluster =
        Cluster::start(ClusterSpec { engines: 2, entries: 2, ..ClusterSpec::default() });
    let threads = (0..48).map(|n| {
        let entry = cluster.entries[n % 2].addr.clone();
        let key = if n % 3 == 0 { OTHER_CALLER_KEY } else { CALLER_KEY };
        thread::spawn(move || {
            let model = format!("a{}@v{}", n % 4, 1 + n % 2);
            let prompt = format!("p{n}");
            let body = streamed_body(&model, &prompt, 40);
            (send_completion(&entry, key, &body, &[]), expected_text(&model, &prompt, 40))
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        let (answer, expected) = thread.join().unwrap();
        assert_eq!(answer.text(), expected, "{answer:?}");
        assert!(answer.is_complete && answer.has_end_marker());
    }
}

#[test]
fn services_are_reached_under_their_path() {
    let cluster = Cluster::start(ClusterSpec::default());
    let answer = call(cluster.entry(), "GET", "/services/loggers/readings/7?since=3");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, r#"{"ran":"GET /readings/7?since=3"}"#);
    let answer = call(cluster.entry(), "GET", "/services/nobody/x");
    assert_eq!((answer.status, &*answer.outcome()), (404, "not-run"));
}

#[test]
fn trace_id_reaches_entry_and_agent_logs() {
    let cluster = Cluster::start(ClusterSpec::default());
    let trace = "0123456789abcdef0123456789abcdef";
    let parent = format!("00-{trace}-0123456789abcdef-01");
    let body = streamed_body("a1", "traced", 2);
    let answer =
        send_completion(cluster.entry(), CALLER_KEY, &body, &[("traceparent", &parent)]);
    assert!(answer.header("traceparent").unwrap().contains(trace), "{answer:?}");
    for log in ["entry-0.log", "engine-0.log"] {
        let file = cluster.dir.path().join(log);
        wait_until("the span is logged", || {
            let text = std::fs::read_to_string(&file).unwrap();
            text.lines().any(|line| line.contains(trace) && line.contains("close"))
        });
    }
}

#[test]
fn keys_and_bodies_stay_out_of_the_logs() {
    let cluster = Cluster::start(ClusterSpec::default());
    send_completion(cluster.entry(), CALLER_KEY, &streamed_body("a1", "private", 2), &[]);
    send_completion(
        cluster.entry(),
        "wrong-key",
        &streamed_body("a1", "private", 2),
        &[],
    );
    for log in ["entry-0.log", "engine-0.log"] {
        let text = std::fs::read_to_string(cluster.dir.path().join(log)).unwrap();
        for secret in [CALLER_KEY, "wrong-key", "private"] {
            assert!(!text.contains(secret), "{log} holds {secret}");
        }
    }
}

#[test]
fn models_lists_only_permitted_targets() {
    let cluster = Cluster::start(ClusterSpec::default());
    let list = |key: &str| {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        let text = request("GET", "/v1/models", &headers, "");
        send(cluster.entry(), &text).read().body
    };
    assert!(list(CALLER_KEY).contains("secret@v1"));
    assert!(!list(OTHER_CALLER_KEY).contains("secret@v1"));
    assert!(list(OTHER_CALLER_KEY).contains("a1@v2"));
}

#[test]
fn unusual_bytes_in_requests_get_an_answer() {
    let cluster = Cluster::start(ClusterSpec::default());
    let body = streamed_body("a1", "strange", 2).to_string();
    let strange = ["é", "\u{1}", "\u{7f}", "a\tb", "\"", "💧", "%00", "\u{ad}"];
    let names = [
        "content-type",
        "traceparent",
        "authorization",
        "idempotency-key",
        "larkspring-deadline-ms",
        "larkspring-priority",
        "host",
    ];
    for name in names {
        for value in strange {
            let mut text =
                format!("POST /v1/completions HTTP/1.1\r\n{name}: {value}\r\n");
            if name != "host" {
                text.push_str("host: x\r\n");
            }
            if name != "authorization" {
                text.push_str(&format!("authorization: Bearer {CALLER_KEY}\r\n"));
            }
            text.push_str(&format!(
                "connection: close\r\ncontent-length: {}\r\n\r\n",
                body.len()
            ));
            let answer = send_raw(cluster.entry(), &(text + &body), false);
            assert_ne!(answer.status, 0, "{name}: {value:?}");
        }
    }
    for path in
        ["/services/loggers/é", "/services/loggers/%ff?a=%zz", "/services//x", "//", "/%"]
    {
        let text = request(
            "GET",
            path,
            &[("authorization", &format!("Bearer {CALLER_KEY}"))],
            "",
        );
        assert_ne!(send_raw(cluster.entry(), &text, false).status, 0, "{path}");
    }
    let answer = send_completion(
        cluster.entry(),
        CALLER_KEY,
        &streamed_body("a1", "after", 2),
        &[],
    );
    assert_eq!(answer.text(), expected_text("a1@v1", "after", 2));
}
