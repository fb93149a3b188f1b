//! The server with malformed, truncated and pipelined requests: each rejection has its status and closes the
//! connection. Also the classification of connect errors.

use async_io::{Async, block_on};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use shalewall_http::Limits;
use shalewall_http::server::{ConnectionEnd, Reply, serve};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn limits() -> Limits {
    Limits {
        target: 100,
        head: 1000,
        fields: 10,
        body: 200,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Sends bytes to a server. Returns its response and how the connection ended.
fn exchange(bytes: &[u8], close: bool) -> (String, ConnectionEnd) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let limits = limits();
    block_on(async {
        // Connects before the accept, because the listener blocks.
        let mut stream = Async::<TcpStream>::connect(address).await.unwrap();
        let accepted = Async::new(listener.accept().unwrap().0).unwrap();
        let server = async {
            let echo = |r: shalewall_http::server::Request| async move {
                Reply::new(200).content(format!("{} {}", r.head.target, r.body.len()).into_bytes())
            };
            serve(accepted, &limits, echo).await
        };
        let client = async {
            let _ = stream.write_all(bytes).await;
            if close {
                stream
                    .get_ref()
                    .shutdown(std::net::Shutdown::Write)
                    .unwrap();
            }
            let mut response = Vec::new();
            let _ = stream.read_to_end(&mut response).await;
            String::from_utf8_lossy(&response).into_owned()
        };
        let (connection_end, response) = future::zip(server, client).await;
        (response, connection_end)
    })
}

#[test]
fn malformed_requests_get_their_status() {
    let long = "x".repeat(2000);
    let fields: String = (0..11).map(|i| format!("A{i}: b\r\n")).collect();
    let table: Vec<(&str, String, u16)> = vec![
        (
            "both framings",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                .into(),
            400,
        ),
        (
            "differing lengths",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n".into(),
            400,
        ),
        (
            "length list",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\n".into(),
            400,
        ),
        (
            "signed length",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\n".into(),
            400,
        ),
        (
            "folded field",
            "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n".into(),
            400,
        ),
        ("bare LF", "GET / HTTP/1.1\nHost: a\n\n".into(), 400),
        (
            "bare LF in fields",
            "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n".into(),
            400,
        ),
        (
            "bare CR",
            "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n".into(),
            400,
        ),
        (
            "space before colon",
            "GET / HTTP/1.1\r\nHost : a\r\n\r\n".into(),
            400,
        ),
        ("no colon", "GET / HTTP/1.1\r\nHost a\r\n\r\n".into(), 400),
        (
            "NUL in value",
            "GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n".into(),
            400,
        ),
        (
            "NUL in target",
            "GET /\0 HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            400,
        ),
        ("no host", "GET / HTTP/1.1\r\n\r\n".into(), 400),
        (
            "two hosts",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".into(),
            400,
        ),
        (
            "two spaces",
            "GET  / HTTP/1.1\r\nHost: a\r\n\r\n".into(),
            400,
        ),
        (
            "head too large",
            format!("GET / HTTP/1.1\r\nHost: a\r\nX: {long}\r\n\r\n"),
            431,
        ),
        (
            "head without end",
            format!("GET / HTTP/1.1\r\nHost: a\r\nX: {long}"),
            431,
        ),
        (
            "too many fields",
            format!("GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n"),
            431,
        ),
        (
            "target too long",
            format!("GET /{long} HTTP/1.1\r\nHost: a\r\n\r\n"),
            414,
        ),
        ("start line without end", long.clone(), 414),
        (
            "HTTP/2 preface",
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(),
            505,
        ),
        ("HTTP/0.9", "GET /\r\n\r\n".into(), 400),
        (
            "body over the limit",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 201\r\n\r\n".into(),
            413,
        ),
        (
            "chunk over the limit",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n".into(),
            413,
        ),
        (
            "chunk size overflow",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000001\r\n"
                .into(),
            413,
        ),
        (
            "chunk size malformed",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n".into(),
            400,
        ),
        (
            "chunk past its size",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n".into(),
            400,
        ),
        (
            "unknown coding",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".into(),
            501,
        ),
        (
            "coding in 1.0",
            "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            400,
        ),
        ("slow head", "GET / HTTP/1.1\r\nHost".into(), 408),
        (
            "slow content",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc".into(),
            408,
        ),
    ];
    for (name, bytes, status) in table {
        let (response, connection_end) = exchange(bytes.as_bytes(), false);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{name}: {response}"
        );
        assert!(
            response.contains("Connection: close") && response.contains("problem+json"),
            "{name}: {response}"
        );
        assert_eq!(
            response.matches("HTTP/1.1").count(),
            1,
            "{name}: only one response"
        );
        assert!(
            matches!(connection_end, ConnectionEnd::Rejected(bad) if bad.status == status),
            "{name}: {connection_end:?}"
        );
    }
}

#[test]
fn requests_in_one_write_are_answered_in_order() {
    let bytes = b"\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nhost: a\r\n\
        Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n\
        GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let (response, connection_end) = exchange(bytes, false);
    let places: Vec<_> = ["/a 0", "/b 5", "/c 0"]
        .iter()
        .map(|p| response.find(p).expect(p))
        .collect();
    assert!(places.is_sorted(), "{response}");
    assert!(matches!(connection_end, ConnectionEnd::Idle));
}

#[test]
fn request_truncated_at_any_byte_is_not_handled() {
    let request = b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde";
    for at in 1..request.len() {
        let (response, connection_end) = exchange(&request[..at], true);
        assert!(response.is_empty(), "truncated at {at}: {response}");
        assert!(
            matches!(connection_end, ConnectionEnd::Truncated(_)),
            "truncated at {at}: {connection_end:?}"
        );
    }
}

#[test]
fn handler_is_dropped_when_the_peer_disconnects() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let limits = limits();
    let connection_end = block_on(async {
        let mut client = Async::<TcpStream>::connect(address).await.unwrap();
        client
            .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        drop(client);
        let stream = Async::new(listener.accept().unwrap().0).unwrap();
        serve(stream, &limits, |_| future::pending()).await
    });
    assert!(matches!(connection_end, ConnectionEnd::PeerClosed));
}

/// Only a refused connection proves that no process listens on the address.
#[test]
fn connect_errors_are_classified() {
    use shalewall_http::client::ConnectErrorKind;
    let of = |errno: rustix::io::Errno| {
        ConnectErrorKind::of(&std::io::Error::from_raw_os_error(errno.raw_os_error()))
    };
    use rustix::io::Errno;
    assert_eq!(of(Errno::CONNREFUSED), ConnectErrorKind::Refused);
    for errno in [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::AGAIN,
    ] {
        assert_eq!(of(errno), ConnectErrorKind::LocalShortage, "{errno}");
    }
    for errno in [
        Errno::NETUNREACH,
        Errno::HOSTUNREACH,
        Errno::TIMEDOUT,
        Errno::CONNRESET,
        Errno::ACCESS,
    ] {
        assert_eq!(of(errno), ConnectErrorKind::Unknown, "{errno}");
    }
    assert_eq!(
        ConnectErrorKind::of(&std::io::Error::other("x")),
        ConnectErrorKind::Unknown
    );
}
