//! Requests that run at most once, on separate processes: with the same key at several
//! entries, and with each process killed, paused or disconnected from the object API.

mod common;

use std::thread;

use common::client::{
    completion_request, expected_text, post_json, send, send_completion, streamed_body,
    Answer,
};
use common::{wait_until, Cluster, ClusterSpec, CALLER_KEY};
use serde_json::json;
use uuid::Uuid;

const LONG_ANSWER_TOKENS: u64 = 1_000_000;

fn cluster(entries: usize) -> Cluster {
    let cluster = Cluster::start(ClusterSpec { entries, ..ClusterSpec::default() });
    cluster.wait_for_key_partitions();
    cluster
}

/// Sends a request that runs at most once, with the idempotency key `key`.
fn send_once(entry: &str, key: &str, prompt: &str, tokens: u64) -> Answer {
    let body = streamed_body("once", prompt, tokens);
    send_completion(entry, CALLER_KEY, &body, &[("idempotency-key", key)])
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

#[test]
fn same_key_at_several_entries_runs_once() {
    let cluster = cluster(3);
    for (n, key) in [new_key(), "plain-key".into()].into_iter().enumerate() {
        let prompt = format!("race{n}");
        let threads = (0..12).map(|n| {
            let entry = cluster.entries[n % 3].addr.clone();
            let (key, prompt) = (key.clone(), prompt.clone());
            thread::spawn(move || send_once(&entry, &key, &prompt, 30))
        });
        let threads: Vec<_> = threads.collect();
        let answers: Vec<_> = threads.into_iter().map(|a| a.join().unwrap()).collect();
        assert_eq!(cluster.run_count(&prompt), 1, "{answers:?}");
        let whole = answers.iter().filter(|a| a.status == 200);
        for answer in whole.clone() {
            assert_eq!(answer.text(), expected_text("once@v1", &prompt, 30));
        }
        assert!(whole.count() >= 1);
        for answer in answers.iter().filter(|a| a.status != 200) {
            assert_eq!((answer.status, &*answer.outcome()), (409, "unknown"));
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
        }
    }
}

#[test]
fn retry_after_completion_gets_the_same_answer() {
    let cluster = cluster(2);
    for key in [new_key(), "plain".into()] {
        let first = send_once(&cluster.entries[0].addr, &key, &key, 5);
        assert_eq!(first.text(), expected_text("once@v1", &key, 5));
        wait_until("the claim is settled", || {
            let resend = send_once(&cluster.entries[1].addr, &key, &key, 5);
            resend.status == 200
                && resend.body == first.body
                && resend.header("larkspring-replayed") == Some("yes")
        });
        assert_eq!(cluster.run_count(&key), 1);
    }
}

#[test]
fn key_used_for_another_request_is_refused() {
    let cluster = cluster(1);
    let key = new_key();
    assert_eq!(send_once(cluster.entry(), &key, "one", 2).status, 200);
    let other = send_once(cluster.entry(), &key, "two", 2);
    assert_eq!((other.status, &*other.outcome()), (409, "failed"), "{other:?}");
    assert_eq!(cluster.run_count("two"), 0);
}

#[test]
fn answer_is_kept_after_the_caller_disconnects() {
    let cluster = cluster(2);
    let key = new_key();
    let body = streamed_body("once", "hung-up", 300);
    let headers = [("idempotency-key", key.as_str())];
    let mut conn =
        send(cluster.entry(), &completion_request(CALLER_KEY, &body, &headers));
    conn.read_until("|hung-up|").unwrap();
    drop(conn);
    wait_until("the answer is found", || {
        let resend = send_once(&cluster.entries[1].addr, &key, "hung-up", 300);
        resend.status == 200 && resend.text() == expected_text("once@v1", "hung-up", 300)
    });
    assert_eq!(cluster.run_count("hung-up"), 1);
}

#[test]
fn unknown_outcome_stays_unknown() {
    let mut cluster = cluster(2);
    cluster.set_engine_faults(0, json!({ "hang": true }));
    let key = new_key();
    let headers = [("idempotency-key", key.as_str()), ("larkspring-deadline-ms", "1000")];
    let body = streamed_body("once", "unclear", LONG_ANSWER_TOKENS);
    let first = send_completion(cluster.entry(), CALLER_KEY, &body, &headers);
    assert_eq!(first.outcome(), "unknown", "{first:?}");
    cluster.set_engine_faults(0, json!({}));
    for entry in &cluster.entries {
        let resend = send_completion(&entry.addr, CALLER_KEY, &body, &headers);
        assert_eq!((resend.status, &*resend.outcome()), (409, "unknown"));
    }
    assert_eq!(cluster.run_count("unclear"), 1);
    // The same with an agent that is killed during the request.
    let key = new_key();
    let headers = [("idempotency-key", key.as_str())];
    let body = streamed_body("once", "agent-died", LONG_ANSWER_TOKENS);
    let mut conn =
        send(cluster.entry(), &completion_request(CALLER_KEY, &body, &headers));
    conn.read_until("|agent-died|").unwrap();
    cluster.agents[0].kill();
    assert!(!conn.read().has_end_marker());
    cluster.restart_agent(0);
    wait_until("the agent serves again", || {
        send_completion(cluster.entry(), CALLER_KEY, &streamed_body("a0", "back", 1), &[])
            .status
            == 200
    });
    let resend =
        send_once(&cluster.entries[1].addr, &key, "agent-died", LONG_ANSWER_TOKENS);
    assert_eq!((resend.status, &*resend.outcome()), (409, "unknown"));
    assert_eq!(cluster.run_count("agent-died"), 1);
}

#[test]
fn refusal_as_not_run_leaves_the_key_unused() {
    let mut cluster = cluster(2);
    let key = new_key();
    cluster.agents[0].kill();
    let refused = send_once(cluster.entry(), &key, "later", 2);
    assert_eq!((refused.status, &*refused.outcome()), (503, "not-run"), "{refused:?}");
    cluster.restart_agent(0);
    wait_until("the request runs", || {
        let resend = send_once(&cluster.entries[1].addr, &key, "later", 2);
        resend.text() == expected_text("once@v1", "later", 2)
    });
    assert_eq!(cluster.run_count("later"), 1);
}

#[test]
fn claims_succeed_during_an_object_api_outage() {
    let cluster = cluster(2);
    post_json(&cluster.objects.addr, "/faults", &json!({ "outage": true }));
    for n in 0..40 {
        let (key, prompt) = (new_key(), format!("outage{n}"));
        let first = send_once(&cluster.entries[n % 2].addr, &key, &prompt, 2);
        assert_eq!(first.text(), expected_text("once@v1", &prompt, 2), "{first:?}");
        let resend = send_once(&cluster.entries[(n + 1) % 2].addr, &key, &prompt, 2);
        assert!(matches!(resend.status, 200 | 409), "{resend:?}");
        assert_eq!(cluster.run_count(&prompt), 1);
    }
}

#[test]
fn claims_succeed_in_an_outage_right_after_an_entry_joined() {
    // The first entry reads the key table only every 4 to 6 s: too late to find the
    // second entry's partitions there before the outage.
    let entry_settings = "  max_key_partitions: 56\n";
    let mut cluster = Cluster::start(ClusterSpec {
        entries: 1,
        entry_settings,
        ..ClusterSpec::default()
    });
    wait_until("the first entry holds its share", || {
        cluster.entries[0].key_partitions() == 56
    });
    cluster.add_entry();
    cluster.wait_for_key_partitions();
    post_json(&cluster.objects.addr, "/faults", &json!({ "outage": true }));
    for n in 0..40 {
        let (key, prompt) = (new_key(), format!("joined{n}"));
        let answer = send_once(&cluster.entries[0].addr, &key, &prompt, 2);
        assert_eq!(answer.text(), expected_text("once@v1", &prompt, 2), "{answer:?}");
    }
}

#[test]
fn keys_of_a_killed_entry_never_run_again_and_new_keys_do() {
    let mut cluster = cluster(2);
    let keys: Vec<_> = (0..20).map(|n| (new_key(), format!("died{n}"))).collect();
    for (key, prompt) in &keys {
        assert_eq!(send_once(cluster.entry(), key, prompt, 2).status, 200);
    }
    // A new run at the same address proves that the old run has ended.
    cluster.restart_entry(0);
    wait_until("the entry is ready", || {
        common::client::get_status(cluster.entry(), "/health") == 200
    });
    cluster.wait_for_key_partitions();
    for entry in &cluster.entries {
        for (key, prompt) in &keys {
            let resend = send_once(&entry.addr, key, prompt, 2);
            assert!(matches!(resend.status, 200 | 409), "{resend:?}");
            assert_eq!(cluster.run_count(prompt), 1);
        }
    }
    wait_until("new keys run", || {
        let answers = (0..20).map(|_| send_once(cluster.entry(), &new_key(), "new", 1));
        answers.into_iter().all(|a| a.status == 200)
    });
}

#[test]
fn entry_paused_past_its_lease_grants_no_key_twice() {
    let settings = "  key_lease_ms: 1000\n  clock_skew_ms: 100\n";
    let cluster = Cluster::start(ClusterSpec {
        entries: 2,
        entry_settings: settings,
        ..ClusterSpec::default()
    });
    cluster.wait_for_key_partitions();
    let keys: Vec<_> = (0..40).map(|n| (new_key(), format!("paused{n}"))).collect();
    cluster.entries[0].pause();
    wait_until("the other entry holds all partitions", || {
        cluster.entries[1].key_partitions() == 64
    });
    let later_keys: Vec<_> = (0..40).map(|n| (new_key(), format!("after{n}"))).collect();
    for (key, prompt) in keys.iter().chain(&later_keys) {
        send_once(&cluster.entries[1].addr, key, prompt, 2);
    }
    // The resumed entry may still assume that its lease is valid.
    cluster.entries[0].resume();
    for (key, prompt) in keys.iter().chain(&later_keys) {
        send_once(&cluster.entries[0].addr, key, prompt, 2);
        assert!(cluster.run_count(prompt) <= 1, "{prompt}");
    }
    wait_until("new keys run again", || {
        send_once(&cluster.entries[0].addr, &new_key(), "again", 1).status == 200
    });
}

#[test]
fn lost_object_api_replies_run_no_request_twice() {
    let cluster = Cluster::start(ClusterSpec { entries: 2, ..ClusterSpec::default() });
    post_json(&cluster.objects.addr, "/faults", &json!({ "lose_replies": 6 }));
    cluster.wait_for_key_partitions();
    for n in 0..20 {
        let (key, prompt) = (new_key(), format!("lost{n}"));
        for entry in &cluster.entries {
            send_once(&entry.addr, &key, &prompt, 1);
        }
        assert_eq!(cluster.run_count(&prompt), 1);
    }
}

#[test]
fn service_call_marked_not_repeatable_runs_once() {
    let cluster = cluster(2);
    let call = |entry: &str, key: &str| {
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        let path = "/services/loggers/config/7";
        let text = common::client::request("POST", path, &headers, "night");
        send(entry, &text).read()
    };
    let runs = || {
        let runs = common::client::get_json(&cluster.service.addr, "/stats");
        let runs = runs.as_array().unwrap().clone();
        runs.iter().filter(|r| r["call"] == "POST /config/7").count()
    };
    let key = new_key();
    assert_eq!(call(cluster.entry(), &key).status, 200);
    wait_until("the answer is kept", || {
        call(&cluster.entries[1].addr, &key).status == 200
    });
    assert_eq!(runs(), 1);
    // A call that runs and is never answered is not retried.
    post_json(&cluster.service.addr, "/faults", &json!({ "hang": 1 }));
    let key = new_key();
    let bearer = format!("Bearer {CALLER_KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", key.as_str()),
        ("larkspring-deadline-ms", "1000"),
    ];
    let text =
        common::client::request("POST", "/services/loggers/config/7", &headers, "x");
    let answer = send(cluster.entry(), &text).read();
    assert_eq!((answer.status, &*answer.outcome()), (502, "unknown"), "{answer:?}");
    let resend = send(&cluster.entries[1].addr, &text).read();
    assert_eq!((resend.status, &*resend.outcome()), (409, "unknown"), "{resend:?}");
    assert_eq!(runs(), 2);
}

#[test]
fn graceful_shutdown_hands_the_keys_over() {
    let mut cluster = cluster(2);
    let keys: Vec<_> =
        (0..20).map(|n| (format!("plain{n}"), format!("kept{n}"))).collect();
    let mut bodies = Vec::new();
    for (key, prompt) in &keys {
        let first = send_once(cluster.entry(), key, prompt, 2);
        assert_eq!(first.text(), expected_text("once@v1", prompt, 2), "{first:?}");
        bodies.push(first.body);
    }
    let body = streamed_body("once", "long", 1500);
    let headers = [("idempotency-key", "running")];
    let mut running =
        send(cluster.entry(), &completion_request(CALLER_KEY, &body, &headers));
    running.read_until("|long|").unwrap();
    cluster.entries[0].request_stop();
    wait_until("the other entry holds all partitions", || {
        cluster.entries[1].key_partitions() == 64
    });
    let remaining = cluster.entries[1].addr.clone();
    for ((key, prompt), body) in keys.iter().zip(&bodies) {
        let resend = send_once(&remaining, key, prompt, 2);
        assert_eq!((resend.status, &resend.body), (200, body), "{key}: {resend:?}");
        assert_eq!(cluster.run_count(prompt), 1);
    }
    for n in 0..20 {
        let new = send_once(&remaining, &format!("new{n}"), "new", 1);
        assert_eq!(new.status, 200, "{new:?}");
    }
    assert!(running.read().has_end_marker());
    cluster.entries[0].wait_for_exit();
    wait_until("the answer of the running request is kept", || {
        let resend = send_once(&remaining, "running", "long", 1500);
        resend.header("larkspring-replayed") == Some("yes") || resend.status == 409
    });
    assert_eq!(cluster.run_count("long"), 1);
}

#[test]
fn entry_respects_its_partition_limit() {
    let settings = "  max_key_partitions: 30\n";
    let mut cluster = Cluster::start(ClusterSpec {
        entry_settings: settings,
        ..ClusterSpec::default()
    });
    wait_until("the first entry holds its maximum", || {
        cluster.entries[0].key_partitions() == 30
    });
    for _ in 0..2 {
        cluster.add_entry();
    }
    cluster.wait_for_key_partitions();
    for entry in &cluster.entries {
        let held = entry.key_partitions();
        assert!((4..=30).contains(&held), "{held}");
    }
}
