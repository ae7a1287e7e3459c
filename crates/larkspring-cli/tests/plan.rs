//! Plans and confirmations on separate processes, with races, retries and lost replies.

mod common;

use std::process::Output;
use std::thread;

use common::client::{get_json, post_json, request, send};
use common::{run_command, wait_until, Cluster, ClusterSpec};
use larkspring_core::declared::key_hash;
use serde_json::{json, Value};

const OPERATOR_KEY: &str = "key-of-operators";

/// A deployment with two entries that serve operators.
struct OperatedCluster {
    cluster: Cluster,
    operators: Vec<String>,
}

impl OperatedCluster {
    fn start() -> Self {
        let operators: Vec<_> = (0..2).map(|_| common::unique_addr()).collect();
        let settings = format!("  operator_key_sha256: {}\n", key_hash(OPERATOR_KEY));
        let entry_settings: &'static str = Box::leak(settings.into_boxed_str());
        let cluster = Cluster::start(ClusterSpec {
            entries: 2,
            entry_settings,
            operators: operators.clone(),
            ..ClusterSpec::default()
        });
        std::fs::write(cluster.dir.path().join("key"), OPERATOR_KEY).unwrap();
        Self { cluster, operators }
    }

    /// Runs an operator command against an entry.
    fn command(&self, entry: usize, args: &[&str]) -> Output {
        let key = self.cluster.dir.path().join("key");
        let mut all = args.to_vec();
        all.extend(["--operator", &self.operators[entry]]);
        all.extend(["--key-file", key.to_str().unwrap()]);
        run_command(&all)
    }

    /// Requests a plan for declarations.
    fn plan(&self, entry: usize, text: &str) -> Value {
        let name = format!("plan-{:x}", text_hash(text));
        let dir = self.cluster.dir.path().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("all.yaml"), text).unwrap();
        let out = self.command(entry, &["plan", dir.to_str().unwrap()]);
        assert!(out.status.success(), "{out:?}");
        serde_json::from_slice(&out.stdout).unwrap()
    }

    fn confirm(&self, entry: usize, plan: &Value) -> Output {
        self.command(entry, &["confirm", plan["id"].as_str().unwrap()])
    }

    fn revision(&self) -> u64 {
        get_json(self.cluster.entry(), "/health")["revision"].as_u64().unwrap()
    }

    fn renamed(&self, name: &str) -> String {
        self.cluster.declaration("").replace("name: a19", &format!("name: {name}"))
    }
}

fn text_hash(text: &str) -> u64 {
    larkspring_core::ids::Target::new(text, "").hash()
}

#[test]
fn plan_reports_changes_without_applying_them() {
    let operated = OperatedCluster::start();
    let text = operated
        .renamed("b19")
        .replace("base: base\n  checks_fences", "base: other\n  checks_fences");
    let plan = operated.plan(0, &text);
    assert_eq!(plan["from"], 1);
    assert_eq!(plan["changes"]["adapters"]["added"], json!(["b19"]));
    assert_eq!(plan["changes"]["adapters"]["removed"], json!(["a19"]));
    assert_eq!(plan["changes"]["endpoints"]["changed"], json!(["engine-0"]));
    assert_eq!(plan["suspicious"], json!(["no endpoint serves base model base"]));
    assert_eq!(operated.revision(), 1);
    let small = operated.plan(0, "callers: []\n");
    let suspicious = small["suspicious"].to_string();
    assert!(suspicious.contains("22 of 22 adapters would go"), "{suspicious}");
    assert!(small["costs"].to_string().contains("caller agency loses rights"));
}

#[test]
fn plan_confirmation_is_idempotent_at_any_entry() {
    let operated = OperatedCluster::start();
    let plan = operated.plan(0, &operated.renamed("b19"));
    for entry in [1, 0, 1] {
        let out = operated.confirm(entry, &plan);
        assert_eq!(
            String::from_utf8_lossy(&out.stdout),
            "revision 2 accepted\n",
            "{out:?}"
        );
    }
    wait_until("the change is in force", || operated.revision() == 2);
}

#[test]
fn only_one_of_concurrent_confirmations_is_accepted() {
    let operated = OperatedCluster::start();
    let plans: Vec<_> = (0..4)
        .map(|n| operated.plan(n % 2, &operated.renamed(&format!("b{n}"))))
        .collect();
    let operated = &operated;
    let outputs: Vec<_> = thread::scope(|scope| {
        let confirms: Vec<_> = plans
            .iter()
            .enumerate()
            .map(|(n, plan)| scope.spawn(move || operated.confirm(n % 2, plan)))
            .collect();
        confirms.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(
        outputs.iter().filter(|out| out.status.success()).count(),
        1,
        "{outputs:?}"
    );
    for out in outputs.iter().filter(|out| !out.status.success()) {
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(text.contains("another change made revision 2 first"), "{text}");
    }
}

#[test]
fn confirmation_with_a_lost_reply_succeeds() {
    let operated = OperatedCluster::start();
    let plan = operated.plan(0, &operated.renamed("b19"));
    post_json(&operated.cluster.objects.addr, "/faults", &json!({ "lose_replies": 1 }));
    let out = operated.confirm(0, &plan);
    assert_eq!(String::from_utf8_lossy(&out.stdout), "revision 2 accepted\n", "{out:?}");
}

#[test]
fn confirmation_during_an_outage_is_not_accepted() {
    let operated = OperatedCluster::start();
    let plan = operated.plan(0, &operated.renamed("b19"));
    post_json(&operated.cluster.objects.addr, "/faults", &json!({ "outage": true }));
    let out = operated.confirm(0, &plan);
    assert!(!out.status.success());
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(text.contains("not accepted"), "{text}");
    post_json(&operated.cluster.objects.addr, "/faults", &json!({}));
    assert!(operated.confirm(1, &plan).status.success());
}

#[test]
fn operators_need_their_own_key() {
    let operated = OperatedCluster::start();
    for key in ["", common::CALLER_KEY, "key-of-operator"] {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        let answer =
            send(&operated.operators[0], &request("GET", "/status", &headers, "")).read();
        assert_eq!(answer.status, 401, "{key}");
    }
    // The operators' key is not valid for callers.
    let answer = common::client::send_completion(
        operated.cluster.entry(),
        OPERATOR_KEY,
        &common::client::streamed_body("a0", "x", 1),
        &[],
    );
    assert_eq!(answer.status, 401);
}
