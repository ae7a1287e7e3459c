//! The executor that all tasks of a process run on.

use std::future::{pending, Future};
use std::thread;

use smol::{Executor, Task};

static EXECUTOR: Executor<'static> = Executor::new();
/// Most threads that a process takes by default.
const DEFAULT_MAX_THREADS: usize = 4;

/// Starts a task; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(f: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(f)
}

/// Runs `main` to its end with `threads` threads; 0 takes one for each core, at most 4.
pub fn run<T>(threads: u32, main: impl Future<Output = T>) -> T {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let threads = match threads {
        0 => cores.min(DEFAULT_MAX_THREADS),
        n => n as usize,
    };
    for _ in 1..threads {
        thread::spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())));
    }
    smol::block_on(EXECUTOR.run(main))
}

/// Hands the tasks of hyper to the executor.
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
