//! Operator commands on settings and on the declared state.

use std::time::Duration;

use http_types::Method;
use larkspring::http::client::{fetch, request};
use larkspring::operate::{declare, publish};
use larkspring::platform::objects::HttpObjects;
use larkspring::{exec, settings};
use serde_json::Value;

use crate::args::{ApplyArgs, CheckArgs, ConfirmArgs, OperatorArgs, PlanArgs};
use crate::AnyError;

const API_TIMEOUT: Duration = Duration::from_secs(5);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(60);

/// Validates settings and declarations and reports all errors at once.
pub fn check(args: &CheckArgs) -> Result<(), AnyError> {
    let mut errors = Vec::new();
    for file in &args.settings {
        match settings::load(file) {
            Ok(_) => println!("{}: settings are valid", file.display()),
            Err(e) => errors.push(e.to_string()),
        }
    }
    for dir in &args.declarations {
        match declare::read_dir(dir) {
            Ok(all) => println!(
                "{}: {} adapters, {} callers, {} services, {} endpoints are valid",
                dir.display(),
                all.adapters.len(),
                all.callers.len(),
                all.services.len(),
                all.endpoints.len()
            ),
            Err(e) => errors.push(e.to_string()),
        }
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(errors.join("\n").into()),
    }
}

/// Requests a plan from an entry and prints it.
pub fn plan(args: &PlanArgs) -> Result<(), AnyError> {
    let all = declare::read_dir(&args.declarations)?;
    let text = serde_json::to_string(&all)?;
    let plan = exec::run(1, call_operator_api(&args.to, Method::Post, "/plans", text))?;
    println!("{}", serde_json::to_string_pretty(&plan)?);
    Ok(())
}

/// Confirms a plan, which publishes its changes.
pub fn confirm(args: &ConfirmArgs) -> Result<(), AnyError> {
    let path = format!("/plans/{}/confirm", args.plan);
    let confirmed =
        exec::run(1, call_operator_api(&args.to, Method::Post, &path, String::new()))?;
    println!("revision {} accepted", confirmed["revision"]);
    Ok(())
}

/// Prints the declared state.
pub fn export(args: &OperatorArgs) -> Result<(), AnyError> {
    let all =
        exec::run(1, call_operator_api(args, Method::Get, "/declared", String::new()))?;
    print!("{}", serde_yaml_ng::to_string(&all)?);
    Ok(())
}

/// Calls the operator API of an entry.
async fn call_operator_api(
    to: &OperatorArgs,
    method: Method,
    path: &str,
    body: String,
) -> Result<Value, AnyError> {
    let key = std::fs::read_to_string(&to.key_file)
        .map_err(|e| format!("{}: {e}", to.key_file.display()))?;
    let mut req = request(method, &to.operator, path)?;
    req.insert_header("authorization", format!("Bearer {}", key.trim()));
    req.set_body(body);
    let (res, body) = fetch(&to.operator, req, OPERATOR_TIMEOUT).await?;
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    match res.status() as u16 {
        200 => Ok(answer),
        status => {
            let message = answer["error"]["message"].as_str().unwrap_or("no reason");
            Err(format!("{} answered {status}: {message}", to.operator).into())
        }
    }
}

/// Publishes a folder of declarations as the declared state.
pub fn apply(args: &ApplyArgs) -> Result<(), AnyError> {
    let all = declare::read_dir(&args.declarations)?;
    let change =
        args.change.clone().unwrap_or_else(|| format!("{:032x}", fastrand::u128(..)));
    let revision = exec::run(1, async {
        let api = HttpObjects::new(&args.objects.to_string(), API_TIMEOUT);
        let present = publish::read_root(&api).await?;
        let revision = publish::publish(&api, &present, &all, &change).await?;
        Ok::<_, AnyError>(revision)
    })?;
    println!("revision {revision} accepted as change {change}");
    Ok(())
}
