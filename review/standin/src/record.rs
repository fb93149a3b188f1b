//! The record of a run: what was sent, answered and run, with the time in milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// The system's Unix clock in microseconds.
pub fn now_us() -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_micros() as i64)
}

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_us: i64,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            file,
            started_us: now_us(),
        })
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_us(), text);
    }

    pub fn line_at(&self, time_us: i64, text: &str) {
        let millis = (time_us - self.started_us) as f64 / 1000.0;
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{millis:10.3} {text}");
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
