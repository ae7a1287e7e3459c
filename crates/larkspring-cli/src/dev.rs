//! The command `dev`: runs a deployment in this process and prints an example request.

use larkspring::exec;
use larkspring_standin::engine::Faults;
use larkspring_standin::weights::Faults as WeightFaults;

use crate::args::DevArgs;
use crate::deployment::{Deployment, DeploymentSpec, DEV_KEY};
use crate::process::wait_for_stop;
use crate::AnyError;

/// Runs the deployment until a signal stops it.
pub fn run(args: &DevArgs) -> Result<(), AnyError> {
    let spec = DeploymentSpec {
        port: args.port,
        entries: args.entries,
        engines: args.engines,
        adapters: args.adapters,
        engine: Faults { slots: args.slots as usize, ..Faults::default() },
        weights: WeightFaults::default(),
        entry_settings: String::new(),
        agent_settings: String::new(),
        spans: args.spans,
    };
    exec::run(exec::DEPLOYMENT_THREADS, async {
        let deployment = Deployment::start(&spec).await?;
        print_addresses(&deployment);
        wait_for_stop().await;
        deployment.stop().await;
        Ok(())
    })
}

fn print_addresses(deployment: &Deployment) {
    for (name, served) in &deployment.standins {
        println!("stand-in {name}: http://{}", served.addr);
    }
    for entry in &deployment.entries {
        println!("entry: http://{}", entry.addr);
    }
    let addr = deployment.entries.first().map(|e| e.addr.to_string()).unwrap_or_default();
    println!("\nTry:\ncurl -N http://{addr}/v1/completions \\");
    println!("  -H 'authorization: Bearer {DEV_KEY}' \\");
    println!(
        "  -d '{{\"model\":\"tenant-0007@v1\",\"prompt\":\"hello\",\"stream\":true}}'"
    );
}
