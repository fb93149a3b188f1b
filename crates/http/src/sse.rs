//! Server-sent events, the event stream format of the HTML standard.

use crate::HttpError;

/// One event: its type, and its data lines joined by line feeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub kind: String,
    pub data: String,
}

/// Decodes a stream of bytes into events, with a limit on an event's size.
#[derive(Debug)]
pub struct Decoder {
    line: Vec<u8>,
    event: Event,
    max_event_bytes: usize,
}

impl Decoder {
    /// `most` is the maximum size of one event in bytes.
    pub fn new(max_event_bytes: usize) -> Decoder {
        Decoder {
            line: Vec::new(),
            event: Event::default(),
            max_event_bytes,
        }
    }

    /// Decodes more bytes and appends the completed events to `out`.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<Event>) -> Result<(), HttpError> {
        for part in bytes.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + self.event.data.len() + part.len() > self.max_event_bytes {
                return Err(HttpError::new(413, "event over the limit"));
            }
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                let text = std::str::from_utf8(&line)
                    .map_err(|_| HttpError::new(400, "event is not UTF-8"))?;
                self.process_line(text.trim_end_matches(['\n', '\r']), out);
            }
        }
        Ok(())
    }

    fn process_line(&mut self, line: &str, out: &mut Vec<Event>) {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if !event.data.is_empty() || !event.kind.is_empty() {
                out.push(event);
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "event" => self.event.kind = value.to_string(),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {} // comments and unknown fields
        }
    }
}

/// Writes one event. Each line of the data becomes a data line.
pub fn write_event(out: &mut Vec<u8>, kind: &str, data: &str) {
    out.extend_from_slice(format!("event: {kind}\n").as_bytes());
    for line in data.lines() {
        out.extend_from_slice(format!("data: {line}\n").as_bytes());
    }
    out.push(b'\n');
}

/// A comment line, sent as a keep-alive on a stream without events.
pub const KEEP_ALIVE: &[u8] = b": beat\n\n";
