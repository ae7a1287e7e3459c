//! Plans: the changes that a declaration would make, stored in the object API until the
//! plan is confirmed.
//!
//! A plan is bound to the root from which it was made. Its chunks are written in advance;
//! they are immutable and unreferenced until the confirmation, which is one conditional
//! update of the root. The plan's id is the id of the change, so that confirmation is
//! idempotent.

use std::collections::{BTreeMap, BTreeSet};

use larkspring_proto::declared::{Adapter, Caller, Chunk, Root};
use serde::{Deserialize, Serialize};

use super::publish::{present, publish_root, write_chunks, PublishError, RootSnapshot};
use crate::in_force::chunk_name;
use crate::platform::objects::ObjectApi;
use crate::platform::PlatformError;

/// The changes that a declaration would make.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Id of the plan and of its change.
    pub id: String,
    /// Revision from which the plan was made.
    pub from: u64,
    /// Items that would be added, changed and removed, by kind.
    pub changes: BTreeMap<String, KindChange>,
    /// Costs of the change: adapter loads, drains and lost rights.
    pub costs: Vec<String>,
    /// Warnings to be reviewed before confirmation.
    pub suspicious: Vec<String>,
    /// Hashes of the chunks of the planned state.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub chunks: Vec<String>,
}

/// Names of the items of one kind that a plan changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct KindChange {
    /// Items that are added.
    pub added: Vec<String>,
    /// Items whose declaration changes.
    pub changed: Vec<String>,
    /// Items that are removed.
    pub removed: Vec<String>,
}

/// Share of the items of a kind above which a removal is listed as suspicious.
const SUSPICIOUS_REMOVED_SHARE: f64 = 0.2;

/// Makes a plan for `wanted` and stores it.
pub async fn make(
    api: &dyn ObjectApi,
    wanted: &Chunk,
    id: &str,
) -> Result<Plan, PublishError> {
    let refused = |e: PlatformError| PublishError::Refused(e.to_string());
    let from = present(api).await.map_err(refused)?;
    let now = read_all(api, &from.root).await.map_err(refused)?;
    let mut plan = compare(&now, wanted);
    plan.id = id.into();
    plan.from = from.root.revision;
    plan.chunks = write_chunks(api, &from.root, wanted).await?;
    let value = serde_json::to_vec(&plan).unwrap_or_default();
    match api.put(&plan_name(id), 0, value).await {
        Ok(_) => Ok(plan),
        Err(e) => match find(api, id).await {
            Ok(Some(kept)) if kept == plan => Ok(plan),
            _ => Err(PublishError::Refused(e.to_string())),
        },
    }
}

/// Publishes a plan; returns the revision.
pub async fn confirm(api: &dyn ObjectApi, id: &str) -> Result<u64, PublishError> {
    let refused = |e: PlatformError| PublishError::Refused(e.to_string());
    let from = present(api).await.map_err(refused)?;
    if from.root.changes.iter().any(|change| change == id) {
        return Ok(from.root.revision);
    }
    let plan = find(api, id).await.map_err(refused)?;
    let plan = plan.ok_or_else(|| PublishError::Refused(format!("no plan {id}")))?;
    if plan.from != from.root.revision {
        return Err(PublishError::Outdated(from.root.revision));
    }
    publish_root(api, &from, plan.chunks, id).await
}

/// Reads a stored plan.
pub async fn find(api: &dyn ObjectApi, id: &str) -> Result<Option<Plan>, PlatformError> {
    let Some(object) = api.get(&plan_name(id)).await? else { return Ok(None) };
    let plan = serde_json::from_slice(&object.value);
    plan.map(Some).map_err(|e| PlatformError::Answer("read a plan", e.to_string()))
}

/// Reads the complete declared state of a root.
pub async fn read_all(api: &dyn ObjectApi, root: &Root) -> Result<Chunk, PlatformError> {
    let step = "read a chunk";
    let mut all = Chunk::default();
    let hashes: BTreeSet<_> = root.chunks.iter().collect();
    for hash in hashes {
        let object = api.get(&chunk_name(hash)).await?;
        let missing = || PlatformError::Answer(step, format!("chunk {hash} is missing"));
        let chunk = serde_json::from_slice(&object.ok_or_else(missing)?.value);
        let chunk: Chunk =
            chunk.map_err(|e| PlatformError::Answer(step, e.to_string()))?;
        all.adapters.extend(chunk.adapters);
        all.callers.extend(chunk.callers);
        all.services.extend(chunk.services);
        all.endpoints.extend(chunk.endpoints);
    }
    Ok(all)
}

/// Reads the current root and its complete declared state.
pub async fn read_present(
    api: &dyn ObjectApi,
) -> Result<(RootSnapshot, Chunk), PlatformError> {
    let from = present(api).await?;
    let all = read_all(api, &from.root).await?;
    Ok((from, all))
}

/// Compares two declared states.
pub fn compare(now: &Chunk, wanted: &Chunk) -> Plan {
    let mut plan = Plan::default();
    let mut add = |kind: &str, change: KindChange| {
        if change != KindChange::default() {
            plan.changes.insert(kind.into(), change);
        }
    };
    add("adapters", compare_kind(&now.adapters, &wanted.adapters, |a| &a.name));
    add("callers", compare_kind(&now.callers, &wanted.callers, |c| &c.name));
    add("services", compare_kind(&now.services, &wanted.services, |s| &s.name));
    add("endpoints", compare_kind(&now.endpoints, &wanted.endpoints, |e| &e.name));
    plan.costs = costs(now, wanted);
    plan.suspicious = suspicious(now, wanted, &plan.changes);
    plan
}

fn compare_kind<T: PartialEq>(
    now: &[T],
    wanted: &[T],
    name: fn(&T) -> &String,
) -> KindChange {
    let index = |all: &'_ [T]| -> BTreeMap<String, usize> {
        all.iter().enumerate().map(|(n, item)| (name(item).clone(), n)).collect()
    };
    let (old, new) = (index(now), index(wanted));
    let mut change = KindChange::default();
    for (name, at) in &new {
        match old.get(name) {
            None => change.added.push(name.clone()),
            Some(before) if now[*before] != wanted[*at] => {
                change.changed.push(name.clone());
            }
            Some(_) => {}
        }
    }
    change.removed = old.into_keys().filter(|name| !new.contains_key(name)).collect();
    change
}

fn costs(now: &Chunk, wanted: &Chunk) -> Vec<String> {
    let mut costs = Vec::new();
    let old: BTreeMap<_, _> = now.adapters.iter().map(|a| (&a.name, a)).collect();
    let shifts = wanted.adapters.iter().filter(|a| {
        old.get(&a.name).is_some_and(|o| o.default_version != a.default_version)
    });
    match shifts.count() {
        0 => {}
        n => costs.push(format!("{n} loads: adapters whose default version changes")),
    }
    let drained =
        |name: &str| wanted.endpoints.iter().all(|e| e.name != name || e.leaving);
    for endpoint in now.endpoints.iter().filter(|e| !e.leaving && drained(&e.name)) {
        costs.push(format!("endpoint {} drains", endpoint.name));
    }
    let lost = now.callers.iter().filter(|caller| loses_rights(caller, wanted));
    for caller in lost {
        costs.push(format!("caller {} loses rights", caller.name));
    }
    costs
}

fn loses_rights(caller: &Caller, wanted: &Chunk) -> bool {
    match wanted.callers.iter().find(|c| c.name == caller.name) {
        None => true,
        Some(new) => caller.groups.iter().any(|group| !new.groups.contains(group)),
    }
}

fn suspicious(
    now: &Chunk,
    wanted: &Chunk,
    changes: &BTreeMap<String, KindChange>,
) -> Vec<String> {
    let mut found = Vec::new();
    let live = wanted.endpoints.iter().filter(|e| !e.leaving);
    let served: BTreeSet<_> = live.clone().map(|e| &e.base).collect();
    let unserved = |a: &&Adapter| !served.contains(&a.base);
    let bases: BTreeSet<_> =
        wanted.adapters.iter().filter(unserved).map(|a| &a.base).collect();
    for base in bases {
        found.push(format!("no endpoint serves base model {base}"));
    }
    let offered: BTreeSet<_> = live.map(|e| &e.service).collect();
    for service in wanted.services.iter().filter(|s| !offered.contains(&s.name)) {
        found.push(format!("no endpoint serves service {}", service.name));
    }
    let sizes = [
        ("adapters", now.adapters.len()),
        ("callers", now.callers.len()),
        ("endpoints", now.endpoints.len()),
    ];
    for (kind, size) in sizes {
        let removed = changes.get(kind).map_or(0, |change| change.removed.len());
        if removed > 0 && removed as f64 > SUSPICIOUS_REMOVED_SHARE * size as f64 {
            found.push(format!("{removed} of {size} {kind} would go"));
        }
    }
    found
}

fn plan_name(id: &str) -> String {
    format!("plan/{id}")
}
