//! Parsing and writing of message heads.
//!
//! The parser is strict where lenient parsers could disagree about message boundaries (RFC 9112, section 11): lines
//! end with CRLF, and folding, a space before a colon and conflicting framings are rejected. Each rejection has a
//! status.

use crate::{HttpError, Limits, body::Framing};
use std::ops::Range;

/// Header fields of one message, stored as the received bytes.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    block: Vec<u8>,
    spans: Vec<(Range<usize>, Range<usize>)>,
}

impl Fields {
    /// All values of a field in order. Names are compared case-insensitively.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |(n, _): &&(Range<usize>, Range<usize>)| {
            self.block[n.clone()].eq_ignore_ascii_case(name.as_bytes())
        };
        self.spans
            .iter()
            .filter(has_name)
            .map(|(_, v)| &self.block[v.clone()])
    }

    /// The first value of a field. Returns `None` if it is missing or not UTF-8.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name)
            .next()
            .and_then(|v| std::str::from_utf8(v).ok())
    }

    /// Whether a comma-separated field contains a token.
    fn contains_token<'a>(&'a self, name: &'a str, token: &'a str) -> bool {
        let matches_token = |part: &[u8]| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes());
        self.all(name)
            .any(|v| v.split(|b| *b == b',').any(matches_token))
    }

    pub fn len(&self) -> usize {
        self.spans.len()
    }

    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as received, not decoded.
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    /// Whether the connection may carry another request after this one.
    pub keep_alive: bool,
}

impl RequestHead {
    /// The target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter as received, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }

    /// Whether the sender waits for `100 Continue` before it sends the content.
    pub fn expects_continue(&self) -> bool {
        self.fields.contains_token("expect", "100-continue")
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// Finds the end of a head in a growing buffer and parses the head. The search resumes where it stopped, so a peer
/// that sends single bytes costs no more than one that sends the head at once.
#[derive(Clone, Debug, Default)]
pub struct HeadParser {
    searched: usize,
}

impl HeadParser {
    /// Returns the length of the head including its empty line, or `None` if more bytes are needed.
    pub fn find_end(&mut self, buf: &[u8], limits: &Limits) -> Result<Option<usize>, HttpError> {
        let from = self.searched.saturating_sub(3);
        let end = buf[from..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|i| from + i + 4);
        self.searched = buf.len();
        if end.unwrap_or(buf.len()) > limits.head {
            return Err(HttpError::new(431, "header block too large"));
        }
        Ok(end)
    }

    /// Parses a request head. Returns it with the number of consumed bytes, or `None` if more bytes are needed.
    pub fn parse_request(
        &mut self,
        buf: &[u8],
        limits: &Limits,
    ) -> Result<Option<(RequestHead, usize)>, HttpError> {
        // One empty line before a request is ignored (RFC 9112, section 2.2).
        let skip = if buf.starts_with(b"\r\n") { 2 } else { 0 };
        let rest = &buf[skip..];
        // The start line is checked before the rest of the head arrives. A line ending in a bare LF is rejected, so
        // it never counts as a line end.
        if !rest.iter().take(limits.target + 32).any(|b| *b == b'\n') {
            if rest.len() >= limits.target + 32 {
                return Err(HttpError::new(414, "request target too long"));
            }
            return self.find_end(rest, limits).map(|_| None);
        }
        let line = rest.split(|b| *b == b'\n').next().unwrap_or_default();
        let line = line
            .strip_suffix(b"\r")
            .ok_or(HttpError::new(400, "a line ends without CR"))?;
        let (method, target) = parse_request_line(line, limits)?;
        let Some(end) = self.find_end(rest, limits)? else {
            return Ok(None);
        };
        let is_http_1_0 = line.ends_with(b"1.0");
        let fields = parse_fields(&rest[line.len() + 2..end], limits)?;
        let framing = parse_framing(&fields, is_http_1_0)?.unwrap_or(Framing::Length(0));
        if !is_http_1_0 && fields.all("host").count() != 1 {
            return Err(HttpError::new(400, "one Host is needed"));
        }
        let keep_alive = !fields.contains_token("connection", "close")
            && (!is_http_1_0 || fields.contains_token("connection", "keep-alive"));
        Ok(Some((
            RequestHead {
                method,
                target,
                fields,
                framing,
                keep_alive,
            },
            skip + end,
        )))
    }

    /// Parses a response head. Returns it with the number of consumed bytes, or `None` if more bytes are needed.
    /// `bodiless` is set if the request was a HEAD.
    pub fn parse_response(
        &mut self,
        buf: &[u8],
        limits: &Limits,
        bodiless: bool,
    ) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        let Some(end) = self.find_end(buf, limits)? else {
            return Ok(None);
        };
        let line = buf[..end].split(|b| *b == b'\n').next().unwrap_or_default();
        let error = HttpError::new(502, "status line is malformed");
        let line = line.strip_suffix(b"\r").ok_or(error)?;
        let is_http_1_0 = line.starts_with(b"HTTP/1.0 ");
        if !(is_http_1_0 || line.starts_with(b"HTTP/1.1 ")) || line.len() < 12 {
            return Err(error);
        }
        let digits = &line[9..12];
        if !digits.iter().all(u8::is_ascii_digit) || !matches!(line.get(12), None | Some(b' ')) {
            return Err(error);
        }
        let status = digits.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
        if !(100..600).contains(&status) || line[12..].iter().any(|b| is_control(*b)) {
            return Err(error);
        }
        let fields = parse_fields(&buf[line.len() + 2..end], limits)?;
        let framing = match parse_framing(&fields, is_http_1_0)? {
            _ if bodiless || status < 200 || status == 204 || status == 304 => Framing::Length(0),
            Some(f) => f,
            None => Framing::UntilClose,
        };
        let keep_alive = !is_http_1_0
            && framing != Framing::UntilClose
            && !fields.contains_token("connection", "close");
        Ok(Some((
            ResponseHead {
                status,
                fields,
                framing,
                keep_alive,
            },
            end,
        )))
    }
}

fn is_token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// Whether a byte is a control character other than the tab, which a field value must not contain.
fn is_control(b: u8) -> bool {
    (b < 0x20 && b != b'\t') || b == 0x7f
}

fn parse_request_line(line: &[u8], limits: &Limits) -> Result<(String, String), HttpError> {
    let error = HttpError::new(400, "request line is malformed");
    let mut parts = line.split(|b| *b == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(error);
    };
    if method.is_empty()
        || method.len() > 24
        || !method.iter().all(|b| is_token_byte(*b))
        || target.is_empty()
    {
        return Err(error);
    }
    if target.len() > limits.target {
        return Err(HttpError::new(414, "request target too long"));
    }
    if !target.iter().all(u8::is_ascii_graphic) {
        return Err(error);
    }
    match version {
        b"HTTP/1.1" | b"HTTP/1.0" => {}
        v if v.starts_with(b"HTTP/") => {
            return Err(HttpError::new(505, "only version 1.1 is spoken here"));
        }
        _ => return Err(error),
    }
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ok((text(method), text(target)))
}

/// Parses the header fields of a head, from after its start line to its empty line. RTSP uses the same syntax
/// (RFC 7826, section 5.2).
pub fn parse_fields(block: &[u8], limits: &Limits) -> Result<Fields, HttpError> {
    let mut found = Fields {
        block: block.to_vec(),
        spans: Vec::new(),
    };
    let mut at = 0;
    while at < block.len() {
        let len = block[at..]
            .iter()
            .position(|b| *b == b'\n')
            .unwrap_or(block.len() - at);
        let line = &block[at..at + len];
        let Some(line) = line.strip_suffix(b"\r") else {
            return Err(HttpError::new(400, "a line ends without CR"));
        };
        if line.is_empty() {
            break;
        }
        if found.spans.len() == limits.fields {
            return Err(HttpError::new(431, "too many header fields"));
        }
        if line[0] == b' ' || line[0] == b'\t' {
            return Err(HttpError::new(400, "a header field is folded"));
        }
        let colon = line
            .iter()
            .position(|b| *b == b':')
            .ok_or(HttpError::new(400, "a header field has no colon"))?;
        if colon == 0 || !line[..colon].iter().all(|b| is_token_byte(*b)) {
            return Err(HttpError::new(400, "a header field's name is malformed"));
        }
        let value = &line[colon + 1..];
        if value.iter().any(|b| is_control(*b)) {
            return Err(HttpError::new(
                400,
                "a header field's value holds a control character",
            ));
        }
        let blank = |b: &u8| *b == b' ' || *b == b'\t';
        let lead = value.iter().take_while(|b| blank(b)).count();
        let tail = value[lead..].iter().rev().take_while(|b| blank(b)).count();
        let start = at + colon + 1;
        found
            .spans
            .push((at..at + colon, start + lead..start + value.len() - tail));
        at += len + 1;
    }
    Ok(found)
}

/// How the content is delimited (RFC 9112, section 6.3). Conflicting framings are rejected, since they allow request
/// smuggling.
fn parse_framing(fields: &Fields, is_http_1_0: bool) -> Result<Option<Framing>, HttpError> {
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(HttpError::new(400, "more than one Content-Length"));
    }
    let mut codings = fields.all("transfer-encoding");
    let coding = codings.next();
    match (length, coding) {
        (Some(_), Some(_)) => Err(HttpError::new(
            400,
            "both Content-Length and Transfer-Encoding",
        )),
        (None, Some(_)) if is_http_1_0 => Err(HttpError::new(400, "Transfer-Encoding in HTTP/1.0")),
        (None, Some(c)) if c.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(HttpError::new(501, "transfer coding is not known")),
        (Some(digits), None) => {
            if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_digit) {
                return Err(HttpError::new(400, "Content-Length is not a length"));
            }
            let length = digits
                .iter()
                .fold(0, |n: u64, d| n * 10 + u64::from(d - b'0'));
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// The reason phrase of a status; empty for an unknown status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        428 => "Precondition Required",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        // Control characters are dropped: a line end inside a value would allow header injection.
        out.extend(value.bytes().filter(|b| !is_control(*b)));
        out.extend_from_slice(b"\r\n");
    }
}

/// Writes the head of a request including its empty line.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, fields: &[(&str, &str)]) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend(target.bytes().filter(u8::is_ascii_graphic));
    out.extend_from_slice(b" HTTP/1.1\r\n");
    write_fields(out, fields);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response including its empty line.
pub fn write_response(out: &mut Vec<u8>, status: u16, fields: &[(&str, &str)]) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.to_string().as_bytes());
    out.push(b' ');
    out.extend_from_slice(reason_phrase(status).as_bytes());
    out.extend_from_slice(b"\r\n");
    write_fields(out, fields);
    out.extend_from_slice(b"\r\n");
}
