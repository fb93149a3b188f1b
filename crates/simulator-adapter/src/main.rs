//! `shalewall-benchlink` runs directors on the simulator's protocol, from standard input to standard output.
//!
//! It exits with code 0 at the end of the input. On a malformed line it prints an error to standard error and exits
//! with code 1.

use shalewall_simulator_adapter::{SimulatorAdapter, WireError};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), WireError> {
    let mut adapter = SimulatorAdapter::default();
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut raw_line = Vec::new();
    let mut reply = String::new();
    loop {
        raw_line.clear();
        let length = input
            .read_until(b'\n', &mut raw_line)
            .map_err(|error| adapter.error("input", error))?;
        if length == 0 {
            return adapter.finish();
        }
        let line = std::str::from_utf8(&raw_line).map_err(|_| adapter.reject_line())?;
        if adapter.read_line(line.trim_end_matches(['\n', '\r']), &mut reply)? {
            let written = output.write_all(reply.as_bytes());
            let flushed = written.and_then(|()| output.flush());
            flushed.map_err(|error| adapter.error("output", error))?;
            reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shalewall-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
