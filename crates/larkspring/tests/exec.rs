//! The executor of a process.

use larkspring::exec;

#[test]
fn panicking_task_does_not_stop_the_others() {
    let seen = exec::run(2, async {
        exec::spawn(async { panic!("a fault of the program") }).detach();
        exec::spawn(async { 7 }).await
    });
    assert_eq!(seen, 7);
}
