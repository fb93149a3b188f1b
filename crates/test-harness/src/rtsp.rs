//! Parsing and encoding of the RTSP messages of media nodes.

/// An RTSP message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Request or status line.
    pub start_line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of the first header with a name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Tag of the session, from the `session` header.
    pub fn tag(&self) -> Option<u64> {
        u64::from_str_radix(self.header("session")?, 16).ok()
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or("")
    }

    /// Encodes the message with a matching content length.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start_line);
        for (name, value) in self.headers.iter().filter(|(n, _)| n != "content-length") {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("content-length: {}\r\n\r\n", self.body.len());
        [text.as_bytes(), &self.body].concat()
    }
}

/// Removes the first message from a buffer. Returns `None` if it is incomplete.
pub fn parse_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let head_length = buffer.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buffer[..head_length]).to_string();
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or("").to_string();
    let parse_header = |l: &str| {
        l.split_once(':')
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
    };
    let headers: Vec<_> = lines.filter_map(parse_header).collect();
    let message = Message {
        start_line,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|l| l.parse::<usize>().ok())
        .unwrap_or(0);
    let end = head_length + 4 + length;
    if buffer.len() < end {
        return None;
    }
    let body = buffer[head_length + 4..end].to_vec();
    buffer.drain(..end);
    Some(Message { body, ..message })
}

/// A positive response to a set-up with a content length that may not be that of its body.
pub fn response_of_length(tag: u64, body: &str, length: i64) -> Vec<u8> {
    format!(
        "RTSP/1.0 200 -\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into()
}

/// A response to a set-up.
pub fn response(tag: u64, status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 {status} -\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into()
}

/// A notification that a session has ended.
pub fn release(tag: u64, cause: i64) -> Vec<u8> {
    let head = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n";
    format!("{head}Session: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: 0\r\n\r\n")
        .into()
}

/// A load report with the utilization of the node's link, sent on a session.
pub fn load_report(tag: u64, utilization: f64) -> Vec<u8> {
    let head = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\n";
    format!(
        "{head}Session: {tag:016x}\r\nP-Reason: port\r\nX-Value: {utilization:.3}\r\nContent-Length: 0\r\n\r\n"
    )
    .into()
}
