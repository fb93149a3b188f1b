//! A server connection: reads requests within limits and timeouts, and answers them in order.

use crate::body::{BodyDecoder, LAST_CHUNK, Piece, write_chunk};
use crate::client::{fill, with_timeout};
use crate::head::{HeadParser, RequestHead, write_response};
use crate::{HttpError, Limits};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, Stream, StreamExt, future};
use serde_json::{Map, Value};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A complete request.
#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

/// Content of a reply.
pub enum Content {
    Complete(Vec<u8>),
    /// Sent piece by piece with chunked coding; the stream is dropped when the peer closes the connection.
    Stream(Pin<Box<dyn Stream<Item = Vec<u8>>>>),
}

/// A response to send.
pub struct Reply {
    pub status: u16,
    pub fields: Vec<(&'static str, String)>,
    pub content: Content,
}

impl Reply {
    pub fn new(status: u16) -> Reply {
        Reply {
            status,
            fields: Vec::new(),
            content: Content::Complete(Vec::new()),
        }
    }

    pub fn json(status: u16, text: String) -> Reply {
        Reply::new(status)
            .with_field("Content-Type", "application/json")
            .content(text.into_bytes())
    }

    /// Creates a problem document (RFC 9457). `detail` is for people.
    pub fn problem(status: u16, detail: &str) -> Reply {
        Reply::problem_with(status, detail, Map::new())
    }

    /// Creates a problem document with extension members (RFC 9457, section 3.2).
    pub fn problem_with(status: u16, detail: &str, mut members: Map<String, Value>) -> Reply {
        members.insert("status".into(), status.into());
        members.insert("title".into(), crate::head::reason_phrase(status).into());
        members.insert("detail".into(), detail.into());
        let text = Value::Object(members).to_string();
        Reply::new(status)
            .with_field("Content-Type", "application/problem+json")
            .content(text.into_bytes())
    }

    pub fn with_field(mut self, name: &'static str, value: impl Into<String>) -> Reply {
        self.fields.push((name, value.into()));
        self
    }

    pub fn content(mut self, bytes: Vec<u8>) -> Reply {
        self.content = Content::Complete(bytes);
        self
    }

    pub fn stream(mut self, pieces: impl Stream<Item = Vec<u8>> + 'static) -> Reply {
        self.content = Content::Stream(Box::pin(pieces));
        self
    }
}

/// How a connection ended.
#[derive(Debug)]
pub enum ConnectionEnd {
    /// Between two requests: the last reply closed the connection, the peer did, or it was idle for too long.
    Idle,
    /// In the middle of a request; holds the bytes of the head or content received by then.
    Truncated(Vec<u8>),
    /// The peer closed the connection while a request was being answered; the handler was dropped.
    PeerClosed,
    /// A request was rejected and the connection closed.
    Rejected(HttpError),
    /// A write timed out or failed.
    WriteFailed,
}

/// Hooks of a connection that is being served.
pub trait ConnectionHooks {
    /// Called with a request's head and the head's size in bytes. Returns the maximum size of the content in bytes. An
    /// error is sent as the answer, and the connection is closed.
    fn on_request_head(&mut self, head: &RequestHead, size: usize) -> Result<usize, HttpError>;

    /// Called when the request is complete, before it is handled.
    fn on_request_complete(&mut self);

    /// Called when a request has been answered and no other one is in progress.
    fn on_idle(&mut self);
}

/// Accepts all requests.
impl ConnectionHooks for () {
    fn on_request_head(&mut self, _: &RequestHead, _: usize) -> Result<usize, HttpError> {
        Ok(usize::MAX)
    }

    fn on_request_complete(&mut self) {}

    fn on_idle(&mut self) {}
}

struct Server<'l, S> {
    stream: S,
    buf: Vec<u8>,
    limits: &'l Limits,
}

/// Serves a connection until it ends. The handler's future is dropped if the peer closes the connection before it
/// completes.
pub async fn serve<S, H, F>(stream: S, limits: &Limits, handle: H) -> ConnectionEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: FnMut(Request) -> F,
    F: Future<Output = Reply>,
{
    serve_with_hooks(stream, limits, &mut (), handle).await
}

/// Like [`serve`], with hooks that can reject a request by its head.
pub async fn serve_with_hooks<S, H, F>(
    stream: S,
    limits: &Limits,
    hooks: &mut impl ConnectionHooks,
    mut handle: H,
) -> ConnectionEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: FnMut(Request) -> F,
    F: Future<Output = Reply>,
{
    let mut server = Server {
        stream,
        buf: Vec::new(),
        limits,
    };
    loop {
        let request = match server.read_request(hooks).await {
            Ok(request) => request,
            Err(ConnectionEnd::Rejected(error)) => {
                let reply = Reply::problem(error.status, error.detail);
                if server.write_reply(reply, false).await.is_some() {
                    server.linger().await;
                }
                return ConnectionEnd::Rejected(error);
            }
            Err(end) => return end,
        };
        hooks.on_request_complete();
        let keep_alive = request.head.keep_alive;
        let Some(reply) = server.while_connected(handle(request)).await else {
            return ConnectionEnd::PeerClosed;
        };
        match server.write_reply(reply, keep_alive).await {
            Some(true) => hooks.on_idle(),
            Some(false) => return ConnectionEnd::Idle,
            None => return ConnectionEnd::WriteFailed,
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Server<'_, S> {
    async fn read_request(
        &mut self,
        hooks: &mut impl ConnectionHooks,
    ) -> Result<Request, ConnectionEnd> {
        if self.buf.is_empty() {
            let first = with_timeout(
                self.limits.idle_timeout,
                fill(&mut self.stream, &mut self.buf),
            )
            .await;
            if !matches!(first, Some(Ok(n)) if n > 0) {
                return Err(ConnectionEnd::Idle);
            }
        }
        let timed_out = |buf: &mut Vec<u8>, what| {
            // The peer gets an answer; the bytes of its incomplete request are dropped.
            buf.clear();
            ConnectionEnd::Rejected(HttpError::new(408, what))
        };
        let limits = self.limits;
        let head = with_timeout(limits.head_timeout, self.read_head()).await;
        let (head, size) =
            head.unwrap_or_else(|| Err(timed_out(&mut self.buf, "the head took too long")))?;
        let max_body_bytes = hooks
            .on_request_head(&head, size)
            .map_err(ConnectionEnd::Rejected)?
            .min(limits.body);
        let request_limits = Limits {
            body: max_body_bytes,
            ..limits.clone()
        };
        let mut body =
            BodyDecoder::new(head.framing, &request_limits).map_err(ConnectionEnd::Rejected)?;
        if head.expects_continue() && self.buf.is_empty() {
            self.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", limits.write_timeout)
                .await
                .ok_or(ConnectionEnd::WriteFailed)?;
        }
        let content = with_timeout(limits.body_timeout, self.read_content(&mut body)).await;
        let body = content
            .unwrap_or_else(|| Err(timed_out(&mut self.buf, "the content took too long")))?;
        Ok(Request { head, body })
    }

    /// Reads a head. Returns it with its size in bytes.
    async fn read_head(&mut self) -> Result<(RequestHead, usize), ConnectionEnd> {
        let mut parser = HeadParser::default();
        loop {
            if let Some((head, used)) = parser
                .parse_request(&self.buf, self.limits)
                .map_err(ConnectionEnd::Rejected)?
            {
                self.buf.drain(..used);
                return Ok((head, used));
            }
            if !matches!(fill(&mut self.stream, &mut self.buf).await, Ok(n) if n > 0) {
                return Err(ConnectionEnd::Truncated(std::mem::take(&mut self.buf)));
            }
        }
    }

    async fn read_content(&mut self, body: &mut BodyDecoder) -> Result<Vec<u8>, ConnectionEnd> {
        let mut content = Vec::new();
        loop {
            match body.next(&self.buf).map_err(ConnectionEnd::Rejected)? {
                Piece::Data(used, data) => {
                    content.extend_from_slice(data);
                    self.buf.drain(..used);
                }
                Piece::End(used) => {
                    self.buf.drain(..used);
                    return Ok(content);
                }
                Piece::NeedMore => {
                    if !matches!(fill(&mut self.stream, &mut self.buf).await, Ok(n) if n > 0) {
                        return Err(ConnectionEnd::Truncated(content));
                    }
                }
            }
        }
    }

    /// Runs `work` (the handler, or the next piece) while watching the peer. Returns `None` if the peer closed the
    /// connection.
    async fn while_connected<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let Server {
            stream,
            buf,
            limits,
        } = self;
        let peer_closed = async {
            // Early bytes belong to the next request. They are buffered up to the limit; beyond it nothing is read.
            while buf.len() < limits.read_ahead {
                if !matches!(fill(stream, buf).await, Ok(n) if n > 0) {
                    return None;
                }
            }
            future::pending().await
        };
        future::or(async { Some(work.await) }, peer_closed).await
    }

    /// Reads and drops what a rejected peer still sends, for a limited time and size. Closing a socket with unread
    /// bytes would reset the connection, and the peer could lose the answer.
    async fn linger(&mut self) {
        let Server {
            stream,
            buf,
            limits,
        } = self;
        let mut remaining = limits.body;
        let drain = async {
            while remaining > 0 {
                buf.clear();
                match fill(stream, buf).await {
                    Ok(n) if n > 0 => remaining = remaining.saturating_sub(n),
                    _ => return,
                }
            }
        };
        with_timeout(Duration::from_millis(300), drain).await;
    }

    async fn write_all(&mut self, bytes: &[u8], timeout: Duration) -> Option<()> {
        with_timeout(timeout, self.stream.write_all(bytes))
            .await?
            .ok()
    }

    /// Writes a reply. Returns whether another request may follow, or `None` if a write timed out or failed.
    async fn write_reply(&mut self, reply: Reply, keep_alive: bool) -> Option<bool> {
        let Reply {
            status,
            fields,
            content,
        } = reply;
        let mut header_fields: Vec<(&str, &str)> =
            fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let length = if let Content::Complete(bytes) = &content {
            bytes.len().to_string()
        } else {
            String::new()
        };
        match &content {
            // A 204 has no content and no Content-Length (RFC 9110, section 8.6).
            Content::Complete(_) if status == 204 => {}
            Content::Complete(_) => header_fields.push(("Content-Length", &length)),
            Content::Stream(_) => header_fields.push(("Transfer-Encoding", "chunked")),
        }
        if !keep_alive {
            header_fields.push(("Connection", "close"));
        }
        let mut out = Vec::with_capacity(512);
        write_response(&mut out, status, &header_fields);
        let timeout = self.limits.write_timeout;
        match content {
            Content::Complete(bytes) => {
                out.extend_from_slice(&bytes);
                self.write_all(&out, timeout).await?;
            }
            Content::Stream(mut pieces) => {
                self.write_all(&out, timeout).await?;
                loop {
                    let next = self.while_connected(pieces.next()).await?;
                    out.clear();
                    match &next {
                        Some(piece) => write_chunk(&mut out, piece),
                        None => out.extend_from_slice(LAST_CHUNK),
                    }
                    self.write_all(&out, timeout).await?;
                    if next.is_none() {
                        break;
                    }
                }
            }
        }
        if !keep_alive {
            let _ = self.stream.close().await;
        }
        Some(keep_alive)
    }
}
