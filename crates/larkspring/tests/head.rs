//! Validation of request heads: which are refused, and that no input causes a panic.

use larkspring::http::head::{parse_head, HeadError, RequestHead, MAX_HEAD};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_BODY: usize = 100;

#[test]
fn heads_are_parsed_or_refused() {
    struct Case {
        text: &'static str,
        head: Result<Option<usize>, HeadError>,
    }
    let case = |text, head| Case { text, head };
    let cases = [
        case("GET / HTTP/1.1\r\nhost: x\r\n", Ok(None)),
        case("GET / HTTP/1.1\r\nhost: x\r\n\r\n", Ok(Some(0))),
        case("GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n", Ok(Some(100))),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n",
            Err(HeadError::BodyTooLarge(MAX_BODY)),
        ),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999999\r\n\r\n",
            Err(HeadError::BodyTooLarge(MAX_BODY)),
        ),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\nContent-Length: 1\r\n\r\n",
            Err(HeadError::Malformed("more than one Content-Length")),
        ),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n",
            Err(HeadError::Malformed("the Content-Length is no number")),
        ),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n",
            Err(HeadError::LengthRequired),
        ),
        case(
            "GET / HTTP/1.1\r\n\r\n",
            Err(HeadError::Malformed("exactly one Host is needed")),
        ),
        case(
            "GET / HTTP/1.1\r\nhost: x\r\ncontent-type: \u{e9}\r\n\r\n",
            Err(HeadError::Malformed("the head has other bytes than ASCII")),
        ),
        case("GET / HTTP/1.0\r\nhost: x\r\n\r\n", Err(HeadError::Version)),
    ];
    for case in cases {
        let body =
            parse_head(case.text.as_bytes(), MAX_BODY).map(|h| h.map(|h| h.body_len));
        assert_eq!(body, case.head, "{}", case.text);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_parsed_or_refused(
        start in "(GET|POST|X) [ -~]{0,20} HTTP/1.[012]\r\n",
        lines in prop::collection::vec("[a-zA-Z-]{0,20}:[ -~\u{80}-\u{ff}]{0,30}\r\n", 0..8),
        rest in prop::collection::vec(any::<u8>(), 0..60),
    ) {
        let mut bytes = start.into_bytes();
        lines.iter().for_each(|line| bytes.extend_from_slice(line.as_bytes()));
        bytes.extend_from_slice(&rest);
        if let Ok(Some(RequestHead { len, body_len, .. })) = parse_head(&bytes, MAX_BODY) {
            prop_assert!(len <= bytes.len() && len <= MAX_HEAD && body_len <= MAX_BODY);
        }
    }
}
