//! The command `standin`: one stand-in in a process of its own.

use std::future::pending;
use std::sync::Arc;

use larkspring::exec;
use larkspring_standin::engine::{Engine, Faults};
use larkspring_standin::objects::Objects;
use larkspring_standin::service::Service;
use larkspring_standin::vms::Vms;
use larkspring_standin::web::{start_standin, RunningStandin};
use larkspring_standin::weights::Weights;

use crate::args::{StandinArgs, StandinKind};
use crate::AnyError;

/// Number of threads of a stand-in.
const THREADS: u32 = 2;

/// Prints the address of a stand-in and runs it until the process is killed.
pub fn run(args: &StandinArgs) -> Result<(), AnyError> {
    exec::run(THREADS, async {
        let served = serve(args).await?;
        println!("{}", served.addr);
        pending::<()>().await;
        Ok(())
    })
}

async fn serve(args: &StandinArgs) -> std::io::Result<RunningStandin> {
    let addr = args.listen;
    match args.kind {
        StandinKind::Engine => {
            let engine = Engine::new(args.weights.clone(), Faults::default());
            start_standin(addr, engine).await
        }
        StandinKind::Service => start_standin(addr, Arc::new(Service::default())).await,
        StandinKind::Objects => start_standin(addr, Arc::new(Objects::default())).await,
        StandinKind::Vms => start_standin(addr, Arc::new(Vms::default())).await,
        StandinKind::Weights => start_standin(addr, Arc::new(Weights::default())).await,
    }
}
