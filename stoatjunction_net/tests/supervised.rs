//! Tasks that panic are started again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use stoatjunction_net::supervised::supervise;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
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

/// Guards against a server that takes no further connection once a fault has ended its task.
#[tokio::test(flavor = "current_thread")]
async fn a_listener_outlives_a_panic_of_the_task_that_accepts() {
    let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
    let addr = listener.local_addr().unwrap();
    let starts = Rc::new(Cell::new(0));

    let task = supervise("server", move || {
        let (listener, starts) = (listener.clone(), starts.clone());
        async move {
            starts.set(starts.get() + 1);
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(starts.get() > 1, "this task fails once");
            stream.write_all(b"served").await.unwrap();
        }
    });
    let answers = async {
        let mut answers = Vec::new();
        for _ in 0..2 {
            let mut answer = String::new();
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let _may_be_reset = stream.read_to_string(&mut answer).await;
            answers.push(answer);
        }
        answers
    };
    let (answers, ()) = LocalSet::new()
        .run_until(async { tokio::join!(answers, task) })
        .await;

    assert_eq!(answers, ["", "served"]);
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
