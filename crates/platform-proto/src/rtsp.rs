//! Messages to and from media nodes: RTSP 1.0 as the platform uses it. Heads are read by the same parser as HTTP's.

use crate::{DecodeError, HexId, MAX_MESSAGE_BYTES, trim};
use shalewall::{LoadReport, Notification};
use shalewall_http::Limits;
use shalewall_http::head::{Fields, Finder, fields};

/// `CSeq` of a set-up and its answers, of a release, of a test.
pub const SETUP: u64 = 1;
pub const TEARDOWN: u64 = 2;
pub const OPTIONS: u64 = 3;

/// A first line is so long at most.
const START_LINE: usize = 512;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    Request(String),
    Status(u16),
}

/// One message of a node.
#[derive(Clone, Debug)]
pub struct Message {
    pub start: Start,
    pub cseq: Option<u64>,
    pub session: Option<HexId>,
    pub fields: Fields,
    /// Only a description has to be text.
    pub body: Vec<u8>,
}

impl Message {
    /// A session's description, as a node made it for that session.
    pub fn description(self) -> Result<String, DecodeError> {
        let odd = DecodeError("a description is not text");
        String::from_utf8(self.body)
            .ok()
            .filter(|text| !text.is_empty())
            .ok_or(odd)
    }

    /// The cause in `Reason: cause=N`.
    pub fn cause(&self) -> Option<i64> {
        self.fields
            .get("reason")?
            .split([';', ','])
            .find_map(|p| p.trim().strip_prefix("cause="))?
            .parse()
            .ok()
    }

    /// The report in `P-Report`; a value that is no number leaves its figure out.
    pub fn load(&self) -> LoadReport {
        let mut load = LoadReport::default();
        for pair in self.fields.get("p-report").unwrap_or_default().split(';') {
            if let Some((name, value)) = pair.split_once(':') {
                let _ = shalewall_director_config::apply_load_value(
                    &mut load,
                    name.trim(),
                    value.trim(),
                );
            }
        }
        for figure in [
            &mut load.streams,
            &mut load.link_utilization,
            &mut load.uplink_utilization,
        ] {
            *figure = figure.filter(|x| x.is_finite() && *x >= 0.0);
        }
        load
    }

    /// What an `ANNOUNCE` tells.
    pub fn note(&self) -> Option<Notification> {
        let value: f64 = self.fields.get("x-value")?.trim().parse().ok()?;
        if !value.is_finite() || value < 0.0 {
            return None;
        }
        match self.fields.get("p-reason")? {
            "got" => Some(Notification::DeliveredFraction(value)),
            "level" => Some(Notification::CurrentRung(value as usize)),
            "port" => Some(Notification::LinkUtilization(value)),
            "spine" => Some(Notification::UplinkUtilization(value)),
            _ => None,
        }
    }
}

/// Reads messages from bytes as they come.
#[derive(Debug, Default)]
pub struct RtspDecoder {
    buf: Vec<u8>,
    finder: Finder,
    /// A head that has been read, how long it is, and its content's length.
    head: Option<(Message, usize, usize)>,
}

impl RtspDecoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Part of a message has come and the rest has not.
    pub fn partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// The next whole message.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        if self.head.is_none() {
            self.plausible()?;
            let limits = Limits {
                head: MAX_MESSAGE_BYTES,
                ..Limits::default()
            };
            let found = self
                .finder
                .find(&self.buf, &limits)
                .map_err(|_| DecodeError("a head is too long"))?;
            let Some(end) = found else { return Ok(None) };
            self.finder = Finder::default();
            let (message, length) = head(&self.buf[..end], &limits)?;
            if end + length > MAX_MESSAGE_BYTES {
                return Err(DecodeError("a message is too long"));
            }
            self.head = Some((message, end, length));
        }
        let Some((mut message, end, length)) = self.head.take() else {
            return Ok(None);
        };
        if self.buf.len() < end + length {
            self.head = Some((message, end, length));
            return Ok(None);
        }
        message.body = self.buf[end..end + length].to_vec();
        self.buf.drain(..end + length);
        trim(&mut self.buf);
        // Where a length did not fit, what follows can't begin a message, and what came before is not to be
        // trusted either.
        self.plausible()?;
        Ok(Some(message))
    }

    /// Whether what has come can begin a message: noise is told before the end of a head that never comes.
    fn plausible(&self) -> Result<(), DecodeError> {
        let odd = Err(DecodeError("not the first line of a message"));
        let line = self.buf.split(|b| *b == b'\n').next().unwrap_or_default();
        if line.len() > START_LINE || line.iter().any(|b| !matches!(b, b' '..=b'~' | b'\r')) {
            return odd;
        }
        let word = line
            .split(|b| matches!(b, b' ' | b'/'))
            .next()
            .unwrap_or_default();
        let fits = word.len() <= 24 && word.iter().all(|b| b.is_ascii_uppercase() || *b == b'_');
        // Nor does one begin with an empty line: it is what a length one too small leaves of a description.
        if !fits || (word.is_empty() && !self.buf.is_empty()) {
            odd
        } else {
            Ok(())
        }
    }
}

fn head(bytes: &[u8], limits: &Limits) -> Result<(Message, usize), DecodeError> {
    let odd = DecodeError("not the first line of a message");
    let line = bytes.split(|b| *b == b'\n').next().unwrap_or_default();
    let text = line
        .strip_suffix(b"\r")
        .and_then(|l| std::str::from_utf8(l).ok())
        .ok_or(odd)?;
    let mut words = text.splitn(3, ' ');
    let (first, second, third) = (words.next(), words.next(), words.next());
    let start = match (first, second, third) {
        (Some("RTSP/1.0"), Some(status), _) => {
            let status: u16 = status.parse().map_err(|_| odd)?;
            if !(100..600).contains(&status) {
                return Err(odd);
            }
            Start::Status(status)
        }
        (Some(method), Some(_), Some("RTSP/1.0")) => Start::Request(method.to_string()),
        _ => return Err(odd),
    };
    let fields = fields(&bytes[line.len() + 1..], limits)
        .map_err(|_| DecodeError("a field is malformed"))?;
    let one = |name: &'static str| {
        let mut all = fields.all(name);
        let first = all.next();
        if all.next().is_some() {
            Err(DecodeError("a field comes twice"))
        } else {
            Ok(first)
        }
    };
    let number = |value: Option<&[u8]>| -> Result<Option<u64>, DecodeError> {
        let Some(value) = value else { return Ok(None) };
        let digits = std::str::from_utf8(value)
            .ok()
            .filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        digits
            .and_then(|v| v.parse().ok())
            .map(Some)
            .ok_or(DecodeError("a field is not a whole number"))
    };
    let length = number(one("content-length")?)?.ok_or(DecodeError("Content-Length is missing"))?;
    let cseq = number(one("cseq")?)?;
    let session = match one("session")? {
        None => None,
        Some(id) => {
            let id = std::str::from_utf8(id).ok().and_then(HexId::parse);
            Some(id.ok_or(DecodeError("Session is not an id"))?)
        }
    };
    let length = usize::try_from(length)
        .unwrap_or(usize::MAX / 2)
        .min(usize::MAX / 2);
    Ok((
        Message {
            start,
            cseq,
            session,
            fields,
            body: Vec::new(),
        },
        length,
    ))
}

/// Writes a request without content.
fn request(method: &str, path: &str, cseq: u64, session: HexId, more: &str) -> Vec<u8> {
    format!(
        "{method} rtsp://media/{path} RTSP/1.0\r\nCSeq: {cseq}\r\nSession: {session}\r\n{more}Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// A set-up. `class` is one of the settings' names; `left`: how long the director will wait, in milliseconds.
pub struct SetUp<'a> {
    pub session: HexId,
    pub title: HexId,
    pub class: &'a str,
    pub left: i64,
    pub rung: usize,
    pub description: &'a str,
}

impl SetUp<'_> {
    pub fn write(&self) -> Vec<u8> {
        let SetUp {
            session,
            title,
            class,
            left,
            rung,
            description,
        } = self;
        format!(
            "SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: {SETUP}\r\nSession: {session}\r\nP-Kind: {class}\r\n\
             P-Time-Left: {left}\r\nX-Rung: {rung}\r\nContent-Length: {}\r\n\r\n{description}",
            description.len()
        )
        .into_bytes()
    }
}

/// The set-up is given up.
pub fn give_up(session: HexId) -> Vec<u8> {
    request("TEARDOWN", &session.to_string(), TEARDOWN, session, "")
}

/// A session that stands is released.
pub fn release(session: HexId, cause: i64) -> Vec<u8> {
    request(
        "TEARDOWN",
        &session.to_string(),
        TEARDOWN,
        session,
        &format!("Reason: cause={cause}\r\n"),
    )
}

/// A new rung for a session that stands.
pub fn rung(session: HexId, rung: usize) -> Vec<u8> {
    request(
        "SET_PARAMETER",
        &session.to_string(),
        4,
        session,
        &format!("X-Rung: {rung}\r\n"),
    )
}

/// Asks for a load report, which is a test as well.
pub fn probe(id: HexId) -> Vec<u8> {
    request("OPTIONS", "load", OPTIONS, id, "")
}

/// A release was heard.
pub fn heard(session: HexId) -> Vec<u8> {
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: {TEARDOWN}\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
