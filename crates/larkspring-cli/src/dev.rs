//! The command `dev`: runs a deployment in this process and prints an example request.

use larkspring::exec;
use larkspring_standin::engine::Faults;
use larkspring_standin::weights::Faults as WeightFaults;

use crate::args::DevArgs;
use crate::deployment::{Deployment, Shape, DEV_KEY};
use crate::process::stop_requested;
use crate::AnyError;

/// Runs the deployment until a signal stops it.
pub fn run(args: &DevArgs) -> Result<(), AnyError> {
    let shape = Shape {
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
        let dev = Deployment::start(&shape).await?;
        print(&dev);
        stop_requested().await;
        dev.stop().await;
        Ok(())
    })
}

fn print(dev: &Deployment) {
    for (name, served) in &dev.standins {
        println!("stand-in {name}: http://{}", served.addr);
    }
    for entry in &dev.entries {
        println!("entry: http://{}", entry.addr);
    }
    let addr = dev.entries.first().map(|e| e.addr.to_string()).unwrap_or_default();
    println!("\nTry:\ncurl -N http://{addr}/v1/completions \\");
    println!("  -H 'authorization: Bearer {DEV_KEY}' \\");
    println!(
        "  -d '{{\"model\":\"tenant-0007@v1\",\"prompt\":\"hello\",\"stream\":true}}'"
    );
}
