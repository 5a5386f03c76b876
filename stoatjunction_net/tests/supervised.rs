//! Tasks that panic are started again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use stoatjunction_net::supervised::supervise;
use tokio::task::LocalSet;

/// Guards against a task whose panic ends what it does for as long as the process runs.
#[tokio::test(flavor = "current_thread")]
async fn a_task_that_panics_is_started_again() {
    let starts = Rc::new(Cell::new(0));
    let state = Rc::new(RefCell::new(0));

    let task = {
        let (starts, state) = (starts.clone(), state.clone());
        supervise("counter", move || {
            let (starts, state) = (starts.clone(), state.clone());
            async move {
                starts.set(starts.get() + 1);
                let mut state = state.borrow_mut();
                *state += 1;
                assert!(*state >= 3, "this task fails twice");
            }
        })
    };
    LocalSet::new().run_until(task).await;

    assert_eq!(starts.get(), 3);
    assert_eq!(*state.borrow(), 3);
}

/// Guards against a task that has ended and is run again.
#[tokio::test(flavor = "current_thread")]
async fn a_task_that_ends_is_not_started_again() {
    let starts = Rc::new(Cell::new(0));

    let task = {
        let starts = starts.clone();
        supervise("counter", move || {
            starts.set(starts.get() + 1);
            async {}
        })
    };
    LocalSet::new().run_until(task).await;

    assert_eq!(starts.get(), 1);
}
