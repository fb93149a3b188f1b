//! A client connection with one request at a time. Its errors tell whether the request may have been executed.

use crate::body::{BodyDecoder, Piece};
use crate::head::{HeadParser, ResponseHead, write_request};
use crate::{Limits, sse};
use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;

/// Why a call has no complete answer.
#[derive(Debug)]
pub enum CallError {
    /// No connection was established, so nothing of the request was sent.
    NotConnected(ConnectErrorKind, String),
    /// The stream accepted no byte of the request, so it was not executed.
    NotExecuted(String),
    /// The stream accepted at least one byte, so the request may have been executed.
    MaybeExecuted(String),
}

/// What a failed connection attempt tells about the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectErrorKind {
    /// No process listens on the address. Only this proves that the peer's process has ended.
    Refused,
    /// The local machine lacks a resource (descriptors, ports, memory), which says nothing about the peer.
    LocalShortage,
    /// Any other error, such as a missing route, which says nothing about the peer.
    Unknown,
}

impl ConnectErrorKind {
    /// Classifies the error of a connection attempt.
    pub fn of(error: &std::io::Error) -> ConnectErrorKind {
        let local_shortages = [
            Errno::MFILE,
            Errno::NFILE,
            Errno::ADDRNOTAVAIL,
            Errno::NOBUFS,
            Errno::NOMEM,
            Errno::AGAIN,
        ];
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::CONNREFUSED) => ConnectErrorKind::Refused,
            Some(errno) if local_shortages.contains(&errno) => ConnectErrorKind::LocalShortage,
            _ => ConnectErrorKind::Unknown,
        }
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (CallError::NotConnected(_, why)
        | CallError::NotExecuted(why)
        | CallError::MaybeExecuted(why)) = self;
        write!(f, "{why}")
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub host: &'a str,
    /// Additional header fields, such as `Authorization`.
    pub fields: &'a [(&'a str, &'a str)],
    /// Content and its media type.
    pub content: Option<(&'a str, &'a [u8])>,
}

impl<'a> Call<'a> {
    /// Creates a call without additional fields or content.
    pub fn new(method: &'a str, target: &'a str, host: &'a str) -> Call<'a> {
        Call {
            method,
            target,
            host,
            fields: &[],
            content: None,
        }
    }

    pub fn fields(self, fields: &'a [(&'a str, &'a str)]) -> Call<'a> {
        Call { fields, ..self }
    }

    pub fn json(self, content: &'a [u8]) -> Call<'a> {
        Call {
            content: Some(("application/json", content)),
            ..self
        }
    }

    fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        let length = self
            .content
            .map_or(String::new(), |(_, data)| data.len().to_string());
        let content = self
            .content
            .map(|(kind, _)| [("Content-Type", kind), ("Content-Length", length.as_str())]);
        let fields = std::iter::once(("Host", self.host)).chain(self.fields.iter().copied());
        let fields: Vec<_> = fields.chain(content.into_iter().flatten()).collect();
        write_request(&mut out, self.method, self.target, &fields);
        out.extend_from_slice(self.content.map_or(&[], |(_, data)| data));
        out
    }
}

/// A connection that carries sequential calls.
pub struct Connection<S> {
    stream: S,
    buf: Vec<u8>,
    limits: Limits,
    must_close: bool,
}

/// Runs a future with a timeout. Returns `None` if it does not complete in time.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(timeout).await;
        None
    })
    .await
}

/// Maximum number of bytes per read.
const READ_BYTES: usize = 4 * 1024;

/// Reads more bytes into a buffer. Returns 0 if the peer has closed the connection.
pub(crate) async fn fill<S: AsyncRead + Unpin>(
    stream: &mut S,
    buf: &mut Vec<u8>,
) -> io::Result<usize> {
    // Reads directly into the buffer: a local array would be part of every future that waits for bytes, and would be
    // moved with it.
    let filled = buf.len();
    let mut guard = TruncateOnDrop { buf, filled };
    guard.buf.resize(filled + READ_BYTES, 0);
    let n = stream.read(&mut guard.buf[filled..]).await?;
    guard.filled += n;
    Ok(n)
}

/// Truncates the buffer to the bytes that were read, also when the read is cancelled.
struct TruncateOnDrop<'b> {
    buf: &'b mut Vec<u8>,
    filled: usize,
}

impl Drop for TruncateOnDrop<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.filled);
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    pub fn new(stream: S, limits: Limits) -> Connection<S> {
        Connection {
            stream,
            buf: Vec::new(),
            limits,
            must_close: false,
        }
    }

    /// Whether the connection may carry another call.
    pub fn reusable(&self) -> bool {
        !self.must_close
    }

    /// Whether the peer has closed the connection or sent unsolicited bytes. Such a connection must not carry a
    /// set-up that is not idempotent, because whether the peer has read the request could not be determined.
    pub async fn is_closed_by_peer(&mut self) -> bool {
        let mut byte = [0];
        !self.buf.is_empty()
            || future::poll_once(self.stream.read(&mut byte))
                .await
                .is_some()
    }

    /// Sends a request and waits for the response head.
    async fn send_request(&mut self, call: &Call<'_>) -> Result<ResponseHead, CallError> {
        self.must_close = true; // until the response is complete
        let bytes = call.encode();
        let mut written = 0;
        let mut write_error = None;
        while written < bytes.len() {
            match self.stream.write(&bytes[written..]).await {
                Ok(n) if n > 0 => written += n,
                result if written == 0 => {
                    return Err(CallError::NotExecuted(format!(
                        "write failed before the first byte: {result:?}"
                    )));
                }
                result => {
                    // The peer may have answered early and closed the connection, so its answer is still read.
                    write_error = Some(format!("write failed after {written} bytes: {result:?}"));
                    break;
                }
            }
        }
        let maybe_executed = |what: String| CallError::MaybeExecuted(what);
        let mut parser = HeadParser::default();
        loop {
            match parser.parse_response(&self.buf, &self.limits, call.method == "HEAD") {
                Err(error) => return Err(maybe_executed(format!("malformed response: {error}"))),
                Ok(Some((head, used))) => {
                    self.buf.drain(..used);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    parser = HeadParser::default();
                    continue;
                }
                Ok(None) => {}
            }
            match fill(&mut self.stream, &mut self.buf).await {
                Ok(0) => {
                    return Err(maybe_executed(
                        write_error.unwrap_or("connection closed before the response".into()),
                    ));
                }
                Ok(_) => {}
                Err(e) => {
                    return Err(maybe_executed(
                        write_error
                            .unwrap_or(format!("connection failed before the response: {e}")),
                    ));
                }
            }
        }
    }

    /// Sends a request and reads its complete response, without a timeout. Dropping the future cancels the call.
    pub async fn call(&mut self, call: &Call<'_>) -> Result<Response, CallError> {
        let head = self.send_request(call).await?;
        let incomplete = |what: String| {
            CallError::MaybeExecuted(format!(
                "response with status {} is incomplete: {what}",
                head.status
            ))
        };
        let mut body =
            BodyDecoder::new(head.framing, &self.limits).map_err(|b| incomplete(b.to_string()))?;
        let mut content = Vec::new();
        loop {
            match body
                .next(&self.buf)
                .map_err(|b| incomplete(b.to_string()))?
            {
                Piece::Data(used, data) => {
                    content.extend_from_slice(data);
                    self.buf.drain(..used);
                }
                Piece::End(used) => {
                    self.buf.drain(..used);
                    self.must_close = !head.keep_alive;
                    return Ok(Response {
                        head,
                        body: content,
                    });
                }
                Piece::NeedMore => match fill(&mut self.stream, &mut self.buf).await {
                    Ok(0) if body.is_complete_at_close() => {
                        return Ok(Response {
                            head,
                            body: content,
                        });
                    }
                    Ok(0) => return Err(incomplete("connection closed".into())),
                    Ok(_) => {}
                    Err(e) => return Err(incomplete(e.to_string())),
                },
            }
        }
    }

    /// Sends a request for content without an end. Consumes the connection.
    pub async fn stream(
        mut self,
        call: &Call<'_>,
    ) -> Result<(ResponseHead, BodyStream<S>), CallError> {
        let head = self.send_request(call).await?;
        let body = BodyDecoder::unbounded(head.framing);
        Ok((
            head,
            BodyStream {
                stream: self.stream,
                buf: self.buf,
                body,
            },
        ))
    }
}

/// A response body that is read piece by piece.
pub struct BodyStream<S> {
    stream: S,
    buf: Vec<u8>,
    body: BodyDecoder,
}

impl<S: AsyncRead + Unpin> BodyStream<S> {
    /// The next bytes. Returns `None` if the content has ended or the connection broke.
    pub async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            match self.body.next(&self.buf).ok()? {
                Piece::Data(used, data) => {
                    let data = data.to_vec();
                    self.buf.drain(..used);
                    if !data.is_empty() {
                        return Some(data);
                    }
                }
                Piece::End(_) => return None,
                Piece::NeedMore => {
                    if fill(&mut self.stream, &mut self.buf).await.ok()? == 0 {
                        return None;
                    }
                }
            }
        }
    }
}

/// Server-sent events from a response body.
pub struct EventStream<S> {
    body: BodyStream<S>,
    decoder: sse::Decoder,
    ready: Vec<sse::Event>,
}

impl<S: AsyncRead + Unpin> EventStream<S> {
    /// `most` is the maximum size of one event in bytes.
    pub fn new(body: BodyStream<S>, max_event_bytes: usize) -> EventStream<S> {
        EventStream {
            body,
            decoder: sse::Decoder::new(max_event_bytes),
            ready: Vec::new(),
        }
    }

    /// The next events in order. Returns `None` if the stream has ended or broke, or if no byte arrived for
    /// `idle_timeout`. A keep-alive returns an empty list.
    pub async fn next(&mut self, idle_timeout: Duration) -> Option<Vec<sse::Event>> {
        let bytes = with_timeout(idle_timeout, self.body.next()).await??;
        self.decoder.feed(&bytes, &mut self.ready).ok()?;
        Some(std::mem::take(&mut self.ready))
    }
}
