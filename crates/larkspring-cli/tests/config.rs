//! Declared state on separate processes: changes reach all processes and are never
//! reverted, despite races, lost replies and outages of the object API.

mod common;

use std::thread;
use std::time::Duration;

use common::client::{
    completion_request, expected_text, get_json, post_json, send, send_completion,
    streamed_body,
};
use common::{run_command, wait_until, Cluster, ClusterSpec, CALLER_KEY};
use futures_lite::stream::{self, StreamExt};
use larkspring::exec;
use larkspring::rpc::channel::Pool;
use larkspring_proto::agent::agent_client::AgentClient;
use larkspring_proto::agent::dispatch_down::Kind;
use larkspring_proto::agent::{dispatch_up, DispatchUp, ModelTarget, Start};
use serde_json::json;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

fn revision(addr: &str) -> u64 {
    get_json(addr, "/health")["revision"].as_u64().unwrap()
}

#[test]
fn endpoint_declared_draining_finishes_its_requests_and_gets_no_new_ones() {
    let cluster = Cluster::start(ClusterSpec { engines: 2, ..ClusterSpec::default() });
    let mut held = Vec::new();
    for n in 0..8 {
        let body = streamed_body(&format!("a{n}"), "held", 600);
        let mut conn = send(cluster.entry(), &completion_request(CALLER_KEY, &body, &[]));
        conn.read_until("|held|").unwrap();
        held.push(conn);
    }
    let text = cluster.declaration("");
    let leaving = text.replacen(
        "base: base\n  checks_fences",
        "base: base\n  leaving: true\n  checks_fences",
        1,
    );
    assert_ne!(text, leaving);
    cluster.declare(&leaving);
    // The agent refuses by itself, also if an entry has not applied the change yet.
    wait_until("the agent has applied the change", || {
        let log = cluster.dir.path().join("engine-0.log");
        std::fs::read_to_string(log).unwrap().contains("\"revision\":2")
    });
    wait_until("the entry has applied the change", || revision(cluster.entry()) == 2);
    let before = cluster.engine_stats(0)["runs"].as_array().unwrap().len();
    for n in 0..12 {
        let body = streamed_body(&format!("a{n}"), "new", 2);
        let answer = send_completion(cluster.entry(), CALLER_KEY, &body, &[]);
        assert_eq!(
            answer.text(),
            expected_text(&format!("a{n}@v1"), "new", 2),
            "{answer:?}"
        );
    }
    assert_eq!(cluster.engine_stats(0)["runs"].as_array().unwrap().len(), before);
    for conn in held {
        let answer = conn.read();
        assert!(answer.has_end_marker() && answer.is_complete, "{answer:?}");
    }
}

#[test]
fn concurrent_changes_are_ordered_and_never_reverted() {
    let cluster = Cluster::start(ClusterSpec { entries: 2, ..ClusterSpec::default() });
    let objects = cluster.objects.addr.clone();
    let dirs: Vec<_> = (0..6)
        .map(|n| {
            let dir = cluster.dir.path().join(format!("race{n}"));
            std::fs::create_dir_all(&dir).unwrap();
            let text =
                cluster.declaration("").replace("name: a19", &format!("name: b{n}"));
            std::fs::write(dir.join("all.yaml"), text).unwrap();
            dir
        })
        .collect();
    let changes = dirs.into_iter().map(|dir| {
        let objects = objects.clone();
        thread::spawn(move || {
            run_command(&["apply", dir.to_str().unwrap(), "--objects", &objects])
        })
    });
    let outputs: Vec<_> =
        changes.collect::<Vec<_>>().into_iter().map(|c| c.join().unwrap()).collect();
    let accepted = outputs.iter().filter(|out| out.status.success()).count() as u64;
    assert!(accepted >= 1);
    for out in outputs.iter().filter(|out| !out.status.success()) {
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(text.contains("another change made revision"), "{text}");
    }
    for entry in &cluster.entries {
        let mut last = 0;
        wait_until("the last change is in force", || {
            let now = revision(&entry.addr);
            assert!(now >= last, "went from {last} to {now}");
            last = now;
            now == 1 + accepted
        });
    }
}

#[test]
fn change_with_a_lost_reply_is_accepted_once() {
    let cluster = Cluster::start(ClusterSpec::default());
    let dir = cluster.dir.path().join("declarations");
    let text = cluster.declaration("").replace("name: a19", "name: b19");
    std::fs::write(dir.join("all.yaml"), text).unwrap();
    post_json(&cluster.objects.addr, "/faults", &json!({ "lose_replies": 1 }));
    for _ in 0..2 {
        let args = [
            "apply",
            dir.to_str().unwrap(),
            "--objects",
            &cluster.objects.addr,
            "--change",
            "the-one",
        ];
        let out = run_command(&args);
        assert!(out.status.success(), "{out:?}");
        let text = String::from_utf8_lossy(&out.stdout);
        assert!(text.starts_with("revision 2 "), "{text}");
    }
    wait_until("the change is in force", || revision(cluster.entry()) == 2);
}

#[test]
fn object_api_outage_keeps_the_state_in_force() {
    let cluster = Cluster::start(ClusterSpec::default());
    post_json(&cluster.objects.addr, "/faults", &json!({ "outage": true }));
    let dir = cluster.dir.path().join("declarations");
    let out = run_command(&[
        "apply",
        dir.to_str().unwrap(),
        "--objects",
        &cluster.objects.addr,
    ]);
    assert!(!out.status.success());
    let answer =
        send_completion(cluster.entry(), CALLER_KEY, &streamed_body("a3", "on", 2), &[]);
    assert_eq!(answer.text(), expected_text("a3@v1", "on", 2));
    post_json(&cluster.objects.addr, "/faults", &json!({}));
    cluster.declare(&cluster.declaration("").replace("name: a19", "name: b19"));
    wait_until("the next change is in force", || revision(cluster.entry()) == 2);
}

#[test]
fn invalid_declarations_and_settings_name_file_line_and_key() {
    struct Case {
        settings: bool,
        text: &'static str,
        line: &'static str,
    }
    let case = |settings, text, line| Case { settings, text, line };
    let cases = [
        case(
            true,
            "hall: h\nvm: v\nentry:\n  lisen: x\n",
            ":4: entry: unknown field `lisen`",
        ),
        case(
            true,
            "hall: h\nvm: v\nplatform:\n  objects: here\nentry:\n  listen: 127.0.0.1:1\n",
            ":4: platform.objects: `here` is no address",
        ),
        case(
            true,
            "vm: v\nplatform:\n  objects: 127.0.0.1:1\nentry:\n  listen: 127.0.0.1:1\n",
            ":1: hall: a name is needed",
        ),
        case(
            true,
            "hall: h\nvm: v\nplatform:\n  objects: 127.0.0.1:1\nentry:\n  \
             listen: 127.0.0.1:1\n  max_streams: 5\n  max_streams_per_caller: 9\n",
            ":8: entry.max_streams_per_caller: the limit is over",
        ),
        case(false, "adapters:\n- name: a\n  bas: b\n", ":3: adapters[0]: unknown field"),
        case(
            false,
            "adapters:\n- name: a\n  base: b\n  default_version: v\n",
            ":2: adapter `a`: default_version `v` is no live version",
        ),
        case(
            false,
            "endpoints:\n- name: e\n  base: b\n  agent: there\n",
            ":2: endpoint `e`: agent is no address",
        ),
        case(false, "callers:\n- name: c\n  key_sha256: abc\n", ":2: caller `c`"),
    ];
    let dir = tempfile::tempdir().unwrap();
    for case in cases {
        let file = dir.path().join("x.yaml");
        std::fs::write(&file, case.text).unwrap();
        let (flag, path) = match case.settings {
            true => ("--settings", file.clone()),
            false => ("--declarations", dir.path().to_owned()),
        };
        let out = run_command(&["check", flag, path.to_str().unwrap()]);
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success());
        assert!(text.contains(&format!("x.yaml{}", case.line)), "{text}");
    }
}

#[test]
fn change_reaches_all_after_the_followed_entry_was_killed() {
    let mut cluster =
        Cluster::start(ClusterSpec { entries: 3, ..ClusterSpec::default() });
    cluster.wait_for_key_partitions();
    for n in 0..3 {
        cluster.entries[n].kill();
        let remaining = cluster.entries[(n + 1) % 3].addr.clone();
        let name = format!("c{n}");
        cluster.declare(&cluster.declaration("").replace("name: a19", &name_line(&name)));
        let answered = || {
            let body = streamed_body(&name, "new", 2);
            send_completion(&remaining, CALLER_KEY, &body, &[]).text()
                == expected_text(&format!("{name}@v1"), "new", 2)
        };
        wait_until("entry and agent serve the new adapter", answered);
        cluster.restart_entry(n);
        wait_until("the entry is ready", || {
            common::client::get_status(&cluster.entries[n].addr, "/health") == 200
        });
    }
}

fn name_line(name: &str) -> String {
    format!("name: {name}")
}

#[test]
fn process_started_in_an_outage_takes_the_state_of_a_peer() {
    let mut cluster = Cluster::start(ClusterSpec::default());
    cluster.wait_for_key_partitions();
    post_json(&cluster.objects.addr, "/faults", &json!({ "outage": true }));
    cluster.add_entry();
    wait_until("the new entry serves", || {
        common::client::get_status(&cluster.entries[1].addr, "/health") == 200
    });
    let entry = cluster.entries[1].addr.clone();
    let answer =
        send_completion(&entry, CALLER_KEY, &streamed_body("a3", "in-outage", 2), &[]);
    assert_eq!(answer.text(), expected_text("a3@v1", "in-outage", 2), "{answer:?}");
}

#[test]
fn agent_waits_for_the_revision_that_a_request_names() {
    let cluster = Cluster::start(ClusterSpec::default());
    let log = cluster.dir.path().join("engine-0.log");
    let declared = revision(cluster.entry());
    let start = Start {
        attempt: "attempt-1".into(),
        revision: declared + 1,
        deadline_ms: 60_000,
        credit: 1000,
        model: Some(ModelTarget {
            adapter: "late".into(),
            version: "v1".into(),
            path: "/v1/completions".into(),
        }),
        body: json!({ "model": "late@v1", "prompt": "p", "max_tokens": 1 })
            .to_string()
            .into(),
        content_type: "application/json".into(),
        ..Start::default()
    };
    let agent = cluster.agents[0].addr.clone();
    let reply = thread::spawn(move || exec::run(1, first_message(&agent, start)));
    wait_until("the request waits or is answered", || {
        let text = std::fs::read_to_string(&log).unwrap();
        text.contains("waits for the declared state") || reply.is_finished()
    });
    cluster.declare(&cluster.declaration("").replace("name: a19", "name: late"));
    let first = reply.join().unwrap();
    assert!(matches!(first, Some(Kind::Begin(_))), "{first:?}");
}

/// Sends a request to an agent as an entry does and returns the first message in reply.
async fn first_message(agent: &str, start: Start) -> Option<Kind> {
    let channel = Pool::new(1, CONNECT_TIMEOUT).get(agent).await.unwrap();
    let origin = channel.origin();
    let mut client = AgentClient::with_origin(channel, origin);
    let up = DispatchUp { kind: Some(dispatch_up::Kind::Start(start)) };
    let messages = stream::once(up).chain(stream::pending());
    let mut down = client.dispatch(messages).await.unwrap().into_inner();
    down.message().await.unwrap()?.kind
}

#[test]
fn loads_stay_within_the_weight_store_budget() {
    let cluster = Cluster::start(ClusterSpec {
        engines: 6,
        weight_store_faults: json!({ "rate": 8.0, "concurrency": 2, "load_ms": 100 }),
        platform_settings: "  load_rate: 8\n  load_concurrency: 2\n",
        ..ClusterSpec::default()
    });
    let threads = (0..19).map(|n| {
        let entry = cluster.entry().to_owned();
        thread::spawn(move || {
            let model = format!("a{n}@v2");
            let answer = send_completion(
                &entry,
                CALLER_KEY,
                &streamed_body(&model, "cold", 2),
                &[],
            );
            (answer, expected_text(&model, "cold", 2))
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        let (answer, expected) = thread.join().unwrap();
        assert_eq!(answer.text(), expected, "{answer:?}");
    }
    let stats = get_json(&cluster.weights.addr, "/stats");
    assert_eq!(stats["refused"], 0, "{stats}");
}

#[test]
fn endpoint_on_a_leaving_vm_gets_no_requests_until_the_vm_stays() {
    let cluster =
        Cluster::start(ClusterSpec { engines: 2, entries: 2, ..ClusterSpec::default() });
    cluster.wait_for_key_partitions();
    let list = |leaving: bool| {
        let vms = json!([{ "name": "vm-engine-0", "leaving": leaving }]);
        post_json(&cluster.vms.addr, "/faults", &json!({ "vms": vms, "lag_ms": 100 }));
    };
    let vm_change_was_logged = |count: usize| {
        let log = cluster.dir.path().join("engine-0.log");
        let text = std::fs::read_to_string(log).unwrap();
        text.matches("VMs are leaving").count() >= count
    };
    let runs = || cluster.engine_stats(0)["runs"].as_array().unwrap().len();
    let send_to_all_adapters = || {
        for n in 0..12 {
            let body = streamed_body(&format!("a{n}"), "new", 2);
            let answer =
                send_completion(&cluster.entries[n % 2].addr, CALLER_KEY, &body, &[]);
            assert_eq!(
                answer.text(),
                expected_text(&format!("a{n}@v1"), "new", 2),
                "{answer:?}"
            );
        }
    };
    list(true);
    wait_until("the agent has applied the change", || vm_change_was_logged(1));
    let before = runs();
    send_to_all_adapters();
    assert_eq!(runs(), before);
    list(false);
    wait_until("the agent has applied the change", || vm_change_was_logged(2));
    wait_until("the endpoint serves again", || {
        send_to_all_adapters();
        runs() > before
    });
}

#[test]
fn examples_are_valid() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["agency", "delta"] {
        let path = |part: &str| root.join(name).join(part).display().to_string();
        let out = run_command(&[
            "check",
            "--settings",
            &path("entry.yaml"),
            "--settings",
            &path("agent.yaml"),
            "--declarations",
            &path("declarations"),
        ]);
        assert!(out.status.success(), "{name}: {}", String::from_utf8_lossy(&out.stderr));
    }
}
