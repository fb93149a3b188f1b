//! Recorder for the events that emulated nodes, endpoint list and viewers see on their sockets.

use shalewall_audit::{Record, Writer};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

enum Target {
    Disabled,
    File(Writer),
    Memory(Vec<Record>),
}

/// Writes a recording; clones write to the same one.
#[derive(Clone)]
pub struct Recorder(Rc<RefCell<Target>>);

impl Recorder {
    /// Writes records to a file.
    pub fn file(path: &Path) -> std::io::Result<Recorder> {
        Ok(Recorder(Rc::new(RefCell::new(Target::File(
            Writer::create(path)?,
        )))))
    }

    /// Discards all records, for an emulation that runs without an end.
    pub fn disabled() -> Recorder {
        Recorder(Rc::new(RefCell::new(Target::Disabled)))
    }

    /// Keeps records in memory.
    pub fn memory() -> Recorder {
        Recorder(Rc::new(RefCell::new(Target::Memory(Vec::new()))))
    }

    /// Adds a record. Panics if it cannot be written.
    pub fn record(&self, record: Record) {
        match &mut *self.0.borrow_mut() {
            // An incomplete recording proves nothing, so a failed write ends the run.
            Target::File(writer) => writer.write(&record).expect("cannot write the recording"),
            Target::Memory(records) => records.push(record),
            Target::Disabled => {}
        }
    }

    /// Writes buffered records to the file.
    pub fn flush(&self) -> std::io::Result<()> {
        match &mut *self.0.borrow_mut() {
            Target::File(writer) => writer.flush(),
            Target::Memory(_) | Target::Disabled => Ok(()),
        }
    }

    /// Records in memory, in order of time.
    pub fn records(&self) -> Vec<Record> {
        match &*self.0.borrow() {
            Target::File(_) | Target::Disabled => Vec::new(),
            Target::Memory(records) => {
                let mut records = records.clone();
                records.sort_by_key(Record::time);
                records
            }
        }
    }
}
