//! A server connection: requests read within limits and time, answered in their order.

use crate::body::{BodyDecoder, LAST_CHUNK, Piece, write_chunk};
use crate::client::{fill, with_timeout};
use crate::head::{HeadParser, RequestHead, write_response};
use crate::{HttpError, Limits};
use futures_lite::{AsyncRead, AsyncWrite, AsyncWriteExt, Stream, StreamExt, future};
use serde_json::{Map, Value};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A whole request.
#[derive(Debug)]
pub struct Request {
    pub head: RequestHead,
    pub body: Vec<u8>,
}

/// Content of an answer.
pub enum Content {
    Complete(Vec<u8>),
    /// Pieces as they come, chunked; dropped when the peer leaves.
    Stream(Pin<Box<dyn Stream<Item = Vec<u8>>>>),
}

/// An answer.
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

    /// An error as RFC 9457 has it. `detail` is for people.
    pub fn problem(status: u16, detail: &str) -> Reply {
        Reply::problem_with(status, detail, Map::new())
    }

    /// The same with members of its own (section 3.2).
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
    /// Between two requests.
    Idle,
    /// With a request half read: these bytes of it had come.
    Truncated(Vec<u8>),
    /// While a request was being answered; its handler was dropped.
    PeerClosed,
    /// A request was turned down and the connection closed.
    Rejected(HttpError),
    /// The peer took no bytes, or the connection broke while an answer was written.
    WriteFailed,
}

/// What is asked about a connection while it is served.
pub trait ConnectionHooks {
    /// The head of a request has come, of so many bytes; the content may have so many at most. An error is the
    /// answer, and the connection is closed after it.
    fn on_request_head(&mut self, head: &RequestHead, size: usize) -> Result<usize, HttpError>;

    /// The request has come whole: it is owed an answer.
    fn on_request_complete(&mut self);

    /// A request has been answered, and none is under way.
    fn on_idle(&mut self);
}

/// Nobody is asked.
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

/// Serves a connection to its end. The handler's future is dropped when the peer closes before its answer.
pub async fn serve<S, H, F>(stream: S, limits: &Limits, handle: H) -> ConnectionEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
    H: FnMut(Request) -> F,
    F: Future<Output = Reply>,
{
    serve_with_hooks(stream, limits, &mut (), handle).await
}

/// The same at a hooks that each request's head has to pass.
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
        let request = match server.read(hooks).await {
            Ok(request) => request,
            Err(ConnectionEnd::Rejected(bad)) => {
                let reply = Reply::problem(bad.status, bad.detail);
                if server.write(reply, false).await.is_some() {
                    server.linger().await;
                }
                return ConnectionEnd::Rejected(bad);
            }
            Err(ended) => return ended,
        };
        hooks.on_request_complete();
        let keep_alive = request.head.keep_alive;
        let Some(reply) = server.answer(handle(request)).await else {
            return ConnectionEnd::PeerClosed;
        };
        match server.write(reply, keep_alive).await {
            Some(true) => hooks.on_idle(),
            Some(false) => return ConnectionEnd::Idle,
            None => return ConnectionEnd::WriteFailed,
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Server<'_, S> {
    async fn read(&mut self, hooks: &mut impl ConnectionHooks) -> Result<Request, ConnectionEnd> {
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
        let late = |buf: &mut Vec<u8>, what| {
            // A peer that sent nothing but part of a head is told; its bytes are dropped.
            buf.clear();
            ConnectionEnd::Rejected(HttpError::new(408, what))
        };
        let limits = self.limits;
        let head = with_timeout(limits.head_timeout, self.head()).await;
        let (head, size) =
            head.unwrap_or_else(|| Err(late(&mut self.buf, "the head took too long")))?;
        let most = hooks
            .on_request_head(&head, size)
            .map_err(ConnectionEnd::Rejected)?
            .min(limits.body);
        let own = Limits {
            body: most,
            ..limits.clone()
        };
        let mut body = BodyDecoder::new(head.framing, &own).map_err(ConnectionEnd::Rejected)?;
        if head.expects_continue() && self.buf.is_empty() {
            self.put(b"HTTP/1.1 100 Continue\r\n\r\n", limits.write_timeout)
                .await
                .ok_or(ConnectionEnd::WriteFailed)?;
        }
        let content = with_timeout(limits.body_timeout, self.content(&mut body)).await;
        let body =
            content.unwrap_or_else(|| Err(late(&mut self.buf, "the content took too long")))?;
        Ok(Request { head, body })
    }

    /// A head and its size in bytes.
    async fn head(&mut self) -> Result<(RequestHead, usize), ConnectionEnd> {
        let mut finder = HeadParser::default();
        loop {
            if let Some((head, used)) = finder
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

    async fn content(&mut self, body: &mut BodyDecoder) -> Result<Vec<u8>, ConnectionEnd> {
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

    /// Waits for the handler, or a piece, while it watches the peer. None: the peer has left.
    async fn answer<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let Server {
            stream,
            buf,
            limits,
        } = self;
        let gone = async {
            // What comes early is the next request, kept up to the limit; past it the peer has to wait.
            while buf.len() < limits.read_ahead {
                if !matches!(fill(stream, buf).await, Ok(n) if n > 0) {
                    return None;
                }
            }
            future::pending().await
        };
        future::or(async { Some(work.await) }, gone).await
    }

    /// Closing over unread bytes would reset the connection and could take the answer with it, so what a
    /// refused peer still sends is read and dropped, for a short time and up to a bound.
    async fn linger(&mut self) {
        let Server {
            stream,
            buf,
            limits,
        } = self;
        let mut left = limits.body;
        let drain = async {
            while left > 0 {
                buf.clear();
                match fill(stream, buf).await {
                    Ok(n) if n > 0 => left = left.saturating_sub(n),
                    _ => return,
                }
            }
        };
        with_timeout(Duration::from_millis(300), drain).await;
    }

    async fn put(&mut self, bytes: &[u8], within: Duration) -> Option<()> {
        with_timeout(within, self.stream.write_all(bytes))
            .await?
            .ok()
    }

    /// Writes an answer. Some(true): another request may follow; None: the peer takes nothing.
    async fn write(&mut self, reply: Reply, keep_alive: bool) -> Option<bool> {
        let Reply {
            status,
            fields,
            content,
        } = reply;
        let mut list: Vec<(&str, &str)> = fields.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let length = if let Content::Complete(bytes) = &content {
            bytes.len().to_string()
        } else {
            String::new()
        };
        match &content {
            // A 204 has no content and says nothing of its length (RFC 9110, section 8.6).
            Content::Complete(_) if status == 204 => {}
            Content::Complete(_) => list.push(("Content-Length", &length)),
            Content::Stream(_) => list.push(("Transfer-Encoding", "chunked")),
        }
        if !keep_alive {
            list.push(("Connection", "close"));
        }
        let mut out = Vec::with_capacity(512);
        write_response(&mut out, status, &list);
        let within = self.limits.write_timeout;
        match content {
            Content::Complete(bytes) => {
                out.extend_from_slice(&bytes);
                self.put(&out, within).await?;
            }
            Content::Stream(mut pieces) => {
                self.put(&out, within).await?;
                loop {
                    let next = self.answer(pieces.next()).await?;
                    out.clear();
                    match &next {
                        Some(piece) => write_chunk(&mut out, piece),
                        None => out.extend_from_slice(LAST_CHUNK),
                    }
                    self.put(&out, within).await?;
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
