//! A client connection: one request at a time, and a failure that says whether the request can have run.

use crate::body::{BodyDecoder, Piece};
use crate::head::{HeadParser, ResponseHead, write_request};
use crate::{Limits, sse};
use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, future};
use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;

/// Why a call has no whole answer.
#[derive(Debug)]
pub enum CallError {
    /// There is no connection, so nothing of it left.
    NotConnected(ConnectErrorKind, String),
    /// No byte of the request was taken by the stream: it never ran.
    NotExecuted(String),
    /// At least one byte was: it may have run, whatever else is known.
    MaybeExecuted(String),
}

/// What a connection that could not be made says of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectErrorKind {
    /// Nobody listens there: the only proof that a process is gone.
    Refused,
    /// This machine is short of something of its own: descriptors, ports, memory. It says nothing of the other side.
    LocalShortage,
    /// Anything else, as a route that is away: no proof of anything.
    Unknown,
}

impl ConnectErrorKind {
    pub fn of(error: &std::io::Error) -> ConnectErrorKind {
        let own = [
            Errno::MFILE,
            Errno::NFILE,
            Errno::ADDRNOTAVAIL,
            Errno::NOBUFS,
            Errno::NOMEM,
            Errno::AGAIN,
        ];
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(Errno::CONNREFUSED) => ConnectErrorKind::Refused,
            Some(errno) if own.contains(&errno) => ConnectErrorKind::LocalShortage,
            _ => ConnectErrorKind::Unknown,
        }
    }
}

/// A whole answer.
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

/// What is sent.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub host: &'a str,
    /// Further fields: `Authorization`, say.
    pub fields: &'a [(&'a str, &'a str)],
    /// Content and its media type.
    pub content: Option<(&'a str, &'a [u8])>,
}

impl<'a> Call<'a> {
    /// A call without further fields or content.
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

    fn bytes(&self) -> Vec<u8> {
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

/// A connection that carries calls one after the other.
pub struct Connection<S> {
    stream: S,
    buf: Vec<u8>,
    limits: Limits,
    spent: bool,
}

/// Gives up on a future after `within`.
pub async fn with_timeout<T>(within: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(within).await;
        None
    })
    .await
}

/// So much is read at once.
const READ: usize = 4 * 1024;

/// Reads more into a buffer. 0: the peer has closed.
pub(crate) async fn fill<S: AsyncRead + Unpin>(
    stream: &mut S,
    buf: &mut Vec<u8>,
) -> io::Result<usize> {
    // Into the buffer's own end: an array here would be a part of every future that waits for bytes, and be
    // moved with it.
    let before = buf.len();
    let mut filling = Filling { buf, before };
    filling.buf.resize(before + READ, 0);
    let n = stream.read(&mut filling.buf[before..]).await?;
    filling.before += n;
    Ok(n)
}

/// Cuts a buffer back to what was read, also when the read is given up.
struct Filling<'b> {
    buf: &'b mut Vec<u8>,
    before: usize,
}

impl Drop for Filling<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.before);
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    pub fn new(stream: S, limits: Limits) -> Connection<S> {
        Connection {
            stream,
            buf: Vec::new(),
            limits,
            spent: false,
        }
    }

    /// Another call may follow on it.
    pub fn reusable(&self) -> bool {
        !self.spent
    }

    /// The peer has closed it, or has sent what nobody asked for. Such a connection may not carry a paid
    /// set-up: whether the request was read could not be told any more.
    pub async fn is_closed_by_peer(&mut self) -> bool {
        let mut byte = [0];
        !self.buf.is_empty()
            || future::poll_once(self.stream.read(&mut byte))
                .await
                .is_some()
    }

    /// Sends a request and waits for the head of its answer.
    async fn start(&mut self, call: &Call<'_>) -> Result<ResponseHead, CallError> {
        self.spent = true; // until the answer is whole
        let bytes = call.bytes();
        let mut at = 0;
        let mut broke = None;
        while at < bytes.len() {
            match self.stream.write(&bytes[at..]).await {
                Ok(n) if n > 0 => at += n,
                result if at == 0 => {
                    return Err(CallError::NotExecuted(format!(
                        "nothing written: {result:?}"
                    )));
                }
                result => {
                    // The peer may have answered early and closed: its answer stands.
                    broke = Some(format!("broke after {at} bytes: {result:?}"));
                    break;
                }
            }
        }
        let failed = |what: String| CallError::MaybeExecuted(what);
        let mut finder = HeadParser::default();
        loop {
            match finder.parse_response(&self.buf, &self.limits, call.method == "HEAD") {
                Err(bad) => return Err(failed(format!("the answer is malformed: {bad}"))),
                Ok(Some((head, used))) => {
                    self.buf.drain(..used);
                    if head.status >= 200 {
                        return Ok(head);
                    }
                    finder = HeadParser::default();
                    continue;
                }
                Ok(None) => {}
            }
            match fill(&mut self.stream, &mut self.buf).await {
                Ok(0) => return Err(failed(broke.unwrap_or("closed before the answer".into()))),
                Ok(_) => {}
                Err(e) => {
                    return Err(failed(
                        broke.unwrap_or(format!("broke before the answer: {e}")),
                    ));
                }
            }
        }
    }

    /// Sends a request and takes its whole answer. Waits as long as the caller does: drop it to give up.
    pub async fn call(&mut self, call: &Call<'_>) -> Result<Response, CallError> {
        let head = self.start(call).await?;
        let cut =
            |what: String| CallError::MaybeExecuted(format!("{} cut short: {what}", head.status));
        let mut body =
            BodyDecoder::new(head.framing, &self.limits).map_err(|b| cut(b.to_string()))?;
        let mut content = Vec::new();
        loop {
            match body.next(&self.buf).map_err(|b| cut(b.to_string()))? {
                Piece::Data(used, data) => {
                    content.extend_from_slice(data);
                    self.buf.drain(..used);
                }
                Piece::End(used) => {
                    self.buf.drain(..used);
                    self.spent = !head.keep_alive;
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
                    Ok(0) => return Err(cut("closed".into())),
                    Ok(_) => {}
                    Err(e) => return Err(cut(e.to_string())),
                },
            }
        }
    }

    /// Asks for content without an end and hands over the connection for it.
    pub async fn stream(
        mut self,
        call: &Call<'_>,
    ) -> Result<(ResponseHead, BodyStream<S>), CallError> {
        let head = self.start(call).await?;
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

/// Content that arrives for as long as the peer sends it.
pub struct BodyStream<S> {
    stream: S,
    buf: Vec<u8>,
    body: BodyDecoder,
}

impl<S: AsyncRead + Unpin> BodyStream<S> {
    /// The next bytes; none when the content has ended or broke.
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

/// Server-sent events over an endless answer.
pub struct EventStream<S> {
    incoming: BodyStream<S>,
    reader: sse::Decoder,
    ready: Vec<sse::Event>,
}

impl<S: AsyncRead + Unpin> EventStream<S> {
    /// `most`: bytes that one event may hold.
    pub fn new(incoming: BodyStream<S>, most: usize) -> EventStream<S> {
        EventStream {
            incoming,
            reader: sse::Decoder::new(most),
            ready: Vec::new(),
        }
    }

    /// The next events, in order; none when the stream has ended, broke, or was silent for so long. Beats
    /// count as a sign of life and give an empty list.
    pub async fn next(&mut self, silence: Duration) -> Option<Vec<sse::Event>> {
        let bytes = with_timeout(silence, self.incoming.next()).await??;
        self.reader.feed(&bytes, &mut self.ready).ok()?;
        Some(std::mem::take(&mut self.ready))
    }
}
