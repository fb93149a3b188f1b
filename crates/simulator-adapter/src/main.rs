//! Hosts directors on the simulator's wire: standard input to standard output.

use shalewall_simulator_adapter::{Fault, Link};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), Fault> {
    let mut link = Link::default();
    let mut out = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut raw = Vec::new();
    let mut reply = String::new();
    loop {
        raw.clear();
        let read = input
            .read_until(b'\n', &mut raw)
            .map_err(|e| link.fault("input", &e.to_string()))?;
        if read == 0 {
            return link.end();
        }
        let line = std::str::from_utf8(&raw).map_err(|_| link.bad_text())?;
        if link.line(line.trim_end_matches(['\n', '\r']), &mut reply)? {
            let sent = out.write_all(reply.as_bytes()).and_then(|()| out.flush());
            sent.map_err(|e| link.fault("output", &e.to_string()))?;
            reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("shalewall-benchlink: {fault}");
            ExitCode::FAILURE
        }
    }
}
