//! Messages as media nodes speak them: read off a stream, and written.

/// One message: its first line, its fields with names in lower case, its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn tag(&self) -> Option<u64> {
        u64::from_str_radix(self.field("session")?, 16).ok()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    /// The same again, with every length right.
    pub fn write(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.first);
        for (name, value) in self.fields.iter().filter(|(n, _)| n != "content-length") {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("content-length: {}\r\n\r\n", self.body.len());
        [text.as_bytes(), &self.body].concat()
    }
}

/// Takes the first whole message off a buffer. None: it has not come whole yet.
pub fn take(buf: &mut Vec<u8>) -> Option<Message> {
    let head = buf.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buf[..head]).to_string();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_string();
    let split = |l: &str| {
        l.split_once(':')
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_string()))
    };
    let fields: Vec<_> = lines.filter_map(split).collect();
    let message = Message {
        first,
        fields,
        body: Vec::new(),
    };
    let length = message
        .field("content-length")
        .and_then(|l| l.parse::<usize>().ok())
        .unwrap_or(0);
    let end = head + 4 + length;
    if buf.len() < end {
        return None;
    }
    let body = buf[head + 4..end].to_vec();
    buf.drain(..end);
    Some(Message { body, ..message })
}

/// An answer to a set-up.
pub fn answer(tag: u64, status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 {status} -\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into()
}

/// The release of a session that has stood.
pub fn release(tag: u64, cause: i64) -> Vec<u8> {
    let first = "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n";
    format!("{first}Session: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: 0\r\n\r\n")
        .into()
}

/// A note on a session: how full the node's link is.
pub fn note(tag: u64, value: f64) -> Vec<u8> {
    let first = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\n";
    format!(
        "{first}Session: {tag:016x}\r\nP-Reason: port\r\nX-Value: {value:.3}\r\nContent-Length: 0\r\n\r\n"
    )
    .into()
}
