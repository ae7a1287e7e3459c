//! The executor of a process.

use larkspring::exec;

#[test]
fn task_that_panics_ends_alone() {
    let seen = exec::run(2, async {
        exec::spawn(async { panic!("a fault of the program") }).detach();
        exec::spawn(async { 7 }).await
    });
    assert_eq!(seen, 7);
}
