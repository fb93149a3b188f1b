//! Where the stand-ins write what passed.

use shalewall_audit::{Record, Writer};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

enum To {
    Disabled,
    File(Writer),
    Memory(Vec<Record>),
}

/// A recording under way; clones write to the same one.
#[derive(Clone)]
pub struct Recorder(Rc<RefCell<To>>);

impl Recorder {
    pub fn file(path: &Path) -> std::io::Result<Recorder> {
        Ok(Recorder(Rc::new(RefCell::new(To::File(Writer::create(
            path,
        )?)))))
    }

    /// Keeps nothing, for stand-ins that run without an end.
    pub fn disabled() -> Recorder {
        Recorder(Rc::new(RefCell::new(To::Disabled)))
    }

    pub fn memory() -> Recorder {
        Recorder(Rc::new(RefCell::new(To::Memory(Vec::new()))))
    }

    pub fn note(&self, record: Record) {
        match &mut *self.0.borrow_mut() {
            // A recording with a hole proves nothing, so a write that fails ends the run.
            To::File(writer) => writer.write(&record).expect("the recording can be written"),
            To::Memory(records) => records.push(record),
            To::Disabled => {}
        }
    }

    pub fn flush(&self) -> std::io::Result<()> {
        match &mut *self.0.borrow_mut() {
            To::File(writer) => writer.flush(),
            To::Memory(_) | To::Disabled => Ok(()),
        }
    }

    /// What was recorded in memory, in order of time.
    pub fn records(&self) -> Vec<Record> {
        match &*self.0.borrow() {
            To::File(_) | To::Disabled => Vec::new(),
            To::Memory(records) => {
                let mut records = records.clone();
                records.sort_by_key(Record::time);
                records
            }
        }
    }
}
