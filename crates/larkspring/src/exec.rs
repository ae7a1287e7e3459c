//! The executor that all tasks of a process run on.

use std::future::{pending, Future};
use std::thread;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::{Executor, Task, Timer};

static EXECUTOR: Executor<'static> = Executor::new();
/// Number of threads of a command that runs a whole deployment.
pub const DEPLOYMENT_THREADS: u32 = 4;

/// Starts a task; dropping the handle cancels the task.
pub fn spawn<T: Send + 'static>(f: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(f)
}

/// Runs `work` for at most `limit`; `None` if it did not end by then.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    async { Some(work.await) }.or(timeout).await
}

/// Runs `main` to completion on `threads` threads, at least one.
pub fn run<T>(threads: u32, main: impl Future<Output = T>) -> T {
    for _ in 1..threads {
        thread::spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())));
    }
    smol::block_on(EXECUTOR.run(main))
}

/// Runs hyper's tasks on the executor.
#[derive(Debug, Clone, Copy)]
pub struct HyperExecutor;

impl<F> hyper::rt::Executor<F> for HyperExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, f: F) {
        spawn(f).detach();
    }
}
