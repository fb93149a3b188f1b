//! Files of a recording: `*.jsonl` files of a directory with one JSON record per line, and the rules in `rules.json`.

use crate::record::Record;
use crate::rules::Rules;
use std::fs::{DirEntry, File};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

const RECORDING_EXTENSION: &str = "jsonl";
const RULES_FILE: &str = "rules.json";

/// Writes records to a file, one per line.
pub struct Writer(BufWriter<File>);

impl Writer {
    /// Creates the file, or truncates an existing one.
    pub fn create(path: &Path) -> io::Result<Writer> {
        Ok(Writer(BufWriter::new(File::create(path)?)))
    }

    /// Appends a record.
    pub fn write(&mut self, record: &Record) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, record)?;
        self.0.write_all(b"\n")
    }

    /// Writes buffered records to the file.
    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Reads all recordings of a directory, in order of time. A line that cannot be parsed is an error that names file and
/// line, because an incomplete recording proves nothing.
pub fn read(dir: &Path) -> io::Result<Vec<Record>> {
    let mut records = Vec::new();
    for path in recording_paths(dir)? {
        read_file(&path, &mut records)?;
    }
    records.sort_by_key(Record::time);
    Ok(records)
}

/// Reads the rules that a day wrote to the directory of its recordings.
pub fn read_rules(dir: &Path) -> io::Result<Rules> {
    let path = dir.join(RULES_FILE);
    let text = std::fs::read_to_string(&path)?;
    serde_json::from_str(&text).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
}

fn recording_paths(dir: &Path) -> io::Result<Vec<PathBuf>> {
    let entries: Vec<DirEntry> = std::fs::read_dir(dir)?.collect::<Result<_, _>>()?;
    let mut paths: Vec<PathBuf> = entries.iter().map(DirEntry::path).collect();
    paths.retain(|path| path.extension().is_some_and(|e| e == RECORDING_EXTENSION));
    paths.sort();
    Ok(paths)
}

fn read_file(path: &Path, records: &mut Vec<Record>) -> io::Result<()> {
    let lines = BufReader::new(File::open(path)?).lines();
    for (index, line) in lines.enumerate() {
        let record = serde_json::from_str(&line?).map_err(|e| {
            let number = index + 1;
            io::Error::other(format!("{}:{number}: {e}", path.display()))
        })?;
        records.push(record);
    }
    Ok(())
}
