//! A panic is told with its place, and ends only what it happened in: one connection, or one look at the list.

use futures_lite::FutureExt;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind, set_hook};
use tracing::error;

/// From now on a panic leaves a line in the log: where, and what it said.
pub(crate) fn tell() {
    set_hook(Box::new(|info: &PanicHookInfo| {
        let place = info.location().map(ToString::to_string).unwrap_or_default();
        let said = info.payload();
        let said = said
            .downcast_ref::<&str>()
            .copied()
            .or(said.downcast_ref::<String>().map(String::as_str));
        error!(place, said = said.unwrap_or("nothing"), "panicked");
    }));
}

/// None where it panicked. Whoever works on shared state by it leaves that as it was at the panic: the door takes
/// each event off its queues before it looks at it, so the same one is not met again.
pub(crate) fn caught<T>(work: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(work)).ok()
}

/// The same for a task.
pub(crate) async fn alone<T>(task: impl Future<Output = T>) -> Option<T> {
    AssertUnwindSafe(task).catch_unwind().await.ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_executor::LocalExecutor;
    use std::cell::RefCell;
    use std::panic::take_hook;
    use std::rc::Rc;
    use std::sync::{Arc, Mutex};

    #[derive(Clone, Default)]
    struct Lines(Arc<Mutex<Vec<u8>>>);

    impl std::io::Write for Lines {
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
        let lines = Lines::default();
        let own = lines.clone();
        let log = tracing_subscriber::fmt()
            .json()
            .with_writer(move || own.clone())
            .finish();
        let before = take_hook();
        tell();
        tracing::subscriber::with_default(log, || caught(|| panic!("seat {} is gone", 7)));
        set_hook(before);
        let said = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
        assert!(
            said.contains("guard.rs:") && said.contains("seat 7 is gone"),
            "{said}"
        );
    }

    #[test]
    fn a_task_that_panics_ends_alone() {
        let (ex, shared) = (LocalExecutor::new(), Rc::new(RefCell::new(0)));
        let own = shared.clone();
        let wrong = ex.spawn(alone(async move {
            let mut held = own.borrow_mut();
            *held += 1;
            if *held == 1 {
                panic!("one connection's bug");
            }
        }));
        let own = shared.clone();
        let sound = ex.spawn(alone(async move { *own.borrow_mut() += 1 }));
        let (wrong, sound) = async_io::block_on(ex.run(async { (wrong.await, sound.await) }));
        assert_eq!((wrong, sound), (None, Some(())));
        assert_eq!(*shared.borrow(), 2, "what they share is free again");
        assert_eq!(caught(|| -> u32 { panic!("a timer's bug") }), None);
    }
}
