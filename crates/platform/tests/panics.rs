//! Panics are logged, and end only what they happened in.

use async_executor::LocalExecutor;
use shalewall_platform::panics::{Panicked, catch_panic, catch_task_panic, log_panics};
use std::cell::RefCell;
use std::panic::{set_hook, take_hook};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// A log that is kept in memory.
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
fn a_panic_leaves_a_line_that_says_where() {
    let log_buffer = LogBuffer::default();
    let writer = log_buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(move || writer.clone())
        .finish();
    let previous_hook = take_hook();
    log_panics();
    let outcome = tracing::subscriber::with_default(subscriber, || {
        catch_panic(|| panic!("seat {} is gone", 7))
    });
    set_hook(previous_hook);
    assert_eq!(outcome, Err::<(), _>(Panicked));
    let log = log_buffer.text();
    assert!(
        log.contains("panics.rs:") && log.contains("seat 7 is gone"),
        "{log}"
    );
}

#[test]
fn a_task_that_panics_ends_alone() {
    let executor = LocalExecutor::new();
    let counter = Rc::new(RefCell::new(0));
    let shared = counter.clone();
    let panicking = executor.spawn(catch_task_panic(async move {
        let mut count = shared.borrow_mut();
        *count += 1;
        if *count == 1 {
            panic!("one connection's bug");
        }
    }));
    let shared = counter.clone();
    let sound = executor.spawn(catch_task_panic(async move { *shared.borrow_mut() += 1 }));
    let both = async { (panicking.await, sound.await) };
    let outcomes = async_io::block_on(executor.run(both));
    assert_eq!(outcomes, (Err(Panicked), Ok(())));
    assert_eq!(*counter.borrow(), 2, "what they share is free again");
    let timer_outcome = catch_panic(|| -> u32 { panic!("a timer's bug") });
    assert_eq!(timer_outcome, Err(Panicked));
}
