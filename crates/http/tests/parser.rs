//! Property tests of the parser, compared with httparse and with this crate's writer.

use proptest::prelude::*;
use shalewall_http::body::{BodyDecoder, Framing, LAST_CHUNK, Piece, write_chunk};
use shalewall_http::head::{HeadParser, write_request, write_response};
use shalewall_http::{Limits, sse};

/// Method, target and fields.
type HttparseRequest = (String, String, Vec<(String, Vec<u8>)>);

/// Parses a request with httparse, an independent parser. Returns `None` if it is incomplete or rejected.
fn parse_with_httparse(bytes: &[u8]) -> Option<HttparseRequest> {
    let mut space = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut space);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {
            let fields = request
                .headers
                .iter()
                .map(|h| (h.name.to_string(), h.value.to_vec()))
                .collect();
            Some((
                request.method?.to_string(),
                request.path?.to_string(),
                fields,
            ))
        }
        _ => None,
    }
}

fn decode_body(
    mut body: BodyDecoder,
    mut bytes: &[u8],
) -> Result<Option<Vec<u8>>, shalewall_http::HttpError> {
    let mut content = Vec::new();
    loop {
        match body.next(bytes)? {
            Piece::NeedMore => return Ok(None),
            Piece::End(_) => return Ok(Some(content)),
            Piece::Data(used, data) => {
                content.extend_from_slice(data);
                bytes = &bytes[used..];
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn written_requests_are_parsed(
        method in "[A-Z]{1,8}", target in "/[a-z0-9/?=&%.-]{0,60}",
        fields in prop::collection::vec(("X-[A-Za-z0-9]{1,12}", "[ -~]{0,40}"), 0..20),
    ) {
        let mut out = Vec::new();
        let mut list = vec![("Host", "a")];
        list.extend(fields.iter().map(|(n, v)| (n.as_str(), v.as_str())));
        write_request(&mut out, &method, &target, &list);
        let (head, used) = HeadParser::default().parse_request(&out, &Limits::default()).unwrap().unwrap();
        prop_assert_eq!(used, out.len());
        prop_assert_eq!((&head.method, &head.target), (&method, &target));
        prop_assert_eq!(head.fields.len(), list.len());
        let expected = parse_with_httparse(&out).unwrap();
        prop_assert_eq!(&expected.0, &method);
        for (name, value) in &expected.2 {
            let value = value.trim_ascii();
            prop_assert!(head.fields.all(name).any(|v| v == value), "{} {:?}", name, value);
        }
        // Incremental parsing completes only with the last byte.
        let mut parser = HeadParser::default();
        for at in 0..out.len() {
            prop_assert!(parser.parse_request(&out[..at], &Limits::default()).unwrap().is_none());
        }
        prop_assert!(parser.parse_request(&out, &Limits::default()).unwrap().is_some());
    }

    #[test]
    fn accepted_requests_are_accepted_by_httparse(
        bytes in prop::collection::vec(prop::sample::select(
            &b"GET / HTTP/1.1\r\n: Hosta,chunked0\0\t\x7f\x80"[..]), 0..80),
    ) {
        let mut message = b"GET / HTTP/1.1\r\nHost: a\r\n".to_vec();
        message.extend_from_slice(&bytes);
        message.extend_from_slice(b"\r\n\r\n");
        if let Ok(Some((head, used))) = HeadParser::default().parse_request(&message, &Limits::default()) {
            let expected = parse_with_httparse(&message);
            prop_assert!(expected.is_some(), "accepted by this parser only: {:?}", String::from_utf8_lossy(&message));
            let expected = expected.unwrap();
            prop_assert_eq!(expected.2.len(), head.fields.len());
            prop_assert!(used <= message.len());
        }
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let limits = Limits { head: 200, ..Limits::default() };
        let _ = HeadParser::default().parse_request(&bytes, &limits);
        let _ = HeadParser::default().parse_response(&bytes, &limits, false);
        let _ = decode_body(BodyDecoder::new(Framing::Chunked, &limits).unwrap(), &bytes);
        let _ = sse::Decoder::new(100).feed(&bytes, &mut Vec::new());
    }

    #[test]
    fn chunks_round_trip(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..8)) {
        let mut out = Vec::new();
        parts.iter().for_each(|p| write_chunk(&mut out, p));
        out.extend_from_slice(LAST_CHUNK);
        let limits = Limits::default();
        let content = decode_body(BodyDecoder::new(Framing::Chunked, &limits).unwrap(), &out).unwrap();
        prop_assert_eq!(content, Some(parts.concat()));
        for at in 0..out.len() {
            prop_assert_eq!(decode_body(BodyDecoder::new(Framing::Chunked, &limits).unwrap(), &out[..at]).unwrap(), None);
        }
    }

    #[test]
    fn events_round_trip_in_any_split(
        events in prop::collection::vec(("[a-z]{1,8}", "[ -9;-~]{1,40}"), 1..6), size in 1..20usize,
    ) {
        let mut out = Vec::new();
        for (kind, data) in &events {
            sse::write_event(&mut out, kind, data);
            out.extend_from_slice(sse::KEEP_ALIVE);
        }
        let (mut decoder, mut decoded) = (sse::Decoder::new(1000), Vec::new());
        out.chunks(size).for_each(|part| decoder.feed(part, &mut decoded).unwrap());
        let decoded: Vec<_> = decoded.into_iter().map(|e| (e.kind, e.data)).collect();
        prop_assert_eq!(decoded, events);
    }
}

#[test]
fn response_framing_depends_on_status_and_fields() {
    let read = |text: &str, bodiless| {
        HeadParser::default().parse_response(text.as_bytes(), &Limits::default(), bodiless)
    };
    let head = |text: &str| read(text, false).unwrap().unwrap().0;
    assert_eq!(
        head("HTTP/1.1 204 No Content\r\n\r\n").framing,
        Framing::Length(0)
    );
    assert_eq!(head("HTTP/1.1 200 OK\r\n\r\n").framing, Framing::UntilClose);
    assert!(!head("HTTP/1.1 200 OK\r\n\r\n").keep_alive);
    assert!(head("HTTP/1.1 200\r\nContent-Length: 4\r\n\r\n").keep_alive);
    assert!(!head("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: Close\r\n\r\n").keep_alive);
    for bad in [
        "HTTP/1.1 20 OK\r\n\r\n",
        "HTTP/2 200 OK\r\n\r\n",
        "HTTP/1.1 999999 OK\r\n\r\n",
        "x\r\n\r\n",
    ] {
        assert!(read(bad, false).is_err(), "{bad}");
    }
    let mut out = Vec::new();
    write_response(&mut out, 200, &[("X", "a\r\nInjected: b")]);
    let (head, _) = read(std::str::from_utf8(&out).unwrap(), false)
        .unwrap()
        .unwrap();
    assert_eq!(
        head.fields.len(),
        1,
        "a line end in a value must not inject a field"
    );
}
