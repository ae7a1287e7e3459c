//! Operator commands.

use std::time::Duration;

use larkspring::operate::{declare, publish};
use larkspring::platform::objects::HttpObjects;
use larkspring::{exec, settings};

use crate::args::{ApplyArgs, CheckArgs};
use crate::AnyError;

const API_TIMEOUT: Duration = Duration::from_secs(5);

/// Checks settings and declarations.
pub fn check(args: &CheckArgs) -> Result<(), AnyError> {
    let mut faults = Vec::new();
    for file in &args.settings {
        match settings::load(file) {
            Ok(_) => println!("{}: settings are valid", file.display()),
            Err(e) => faults.push(e.to_string()),
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
            Err(e) => faults.push(e.to_string()),
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(faults.join("\n").into()),
    }
}

/// Makes a folder of declarations the declared state.
pub fn apply(args: &ApplyArgs) -> Result<(), AnyError> {
    let all = declare::read_dir(&args.declarations)?;
    let change =
        args.change.clone().unwrap_or_else(|| format!("{:032x}", fastrand::u128(..)));
    let revision = exec::run(1, async {
        let api = HttpObjects::new(&args.objects.to_string(), API_TIMEOUT);
        let present = publish::present(&api).await?;
        let revision = publish::publish(&api, &present, &all, &change).await?;
        Ok::<_, AnyError>(revision)
    })?;
    println!("revision {revision} accepted as change {change}");
    Ok(())
}
