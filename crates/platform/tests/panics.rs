//! Panics are logged, and end only the task in which they occur.

use async_executor::LocalExecutor;
use shalewall_platform::panics::{Panicked, catch_panic, catch_task_panic, log_panics};
use std::cell::RefCell;
use std::panic::{set_hook, take_hook};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// An in-memory log.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl LogBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl std::io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_panic_is_logged_with_its_location() {
    let log_buffer = LogBuffer::default();
    let writer = log_buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(move || writer.clone())
        .finish();
    let previous_hook = take_hook();
    log_panics();
    let outcome = tracing::subscriber::with_default(subscriber, || {
        catch_panic(|| panic!("session {} not found", 7))
    });
    set_hook(previous_hook);
    assert_eq!(outcome, Err::<(), _>(Panicked));
    let log = log_buffer.text();
    assert!(
        log.contains("panics.rs:") && log.contains("session 7 not found"),
        "{log}"
    );
}

#[test]
fn a_panicking_task_does_not_affect_others() {
    let executor = LocalExecutor::new();
    let counter = Rc::new(RefCell::new(0));
    let shared = counter.clone();
    let panicking = executor.spawn(catch_task_panic(async move {
        let mut count = shared.borrow_mut();
        *count += 1;
        if *count == 1 {
            panic!("bug in one connection");
        }
    }));
    let shared = counter.clone();
    let other = executor.spawn(catch_task_panic(async move { *shared.borrow_mut() += 1 }));
    let both = async { (panicking.await, other.await) };
    let outcomes = async_io::block_on(executor.run(both));
    assert_eq!(outcomes, (Err(Panicked), Ok(())));
    assert_eq!(
        *counter.borrow(),
        2,
        "the shared state is no longer borrowed"
    );
    let timer_outcome = catch_panic(|| -> u32 { panic!("bug in a timer") });
    assert_eq!(timer_outcome, Err(Panicked));
}
