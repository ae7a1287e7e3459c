//! Boundaries of events in a stream.

use larkspring_core::event_stream::{event_ids, EventScanner, IdNotRising, IdOrder};
use proptest::prelude::*;

struct Case {
    name: &'static str,
    text: &'static str,
    /// Number of bytes up to the last boundary.
    boundary: Option<usize>,
    is_inside: bool,
}

#[test]
fn boundaries_are_found_with_any_line_end() {
    let cases = [
        Case { name: "nothing", text: "", boundary: None, is_inside: false },
        Case {
            name: "a whole event",
            text: "id: 1\ndata: x\n\n",
            boundary: Some(15),
            is_inside: false,
        },
        Case {
            name: "an event without its blank line",
            text: "id: 1\ndata: x\n",
            boundary: None,
            is_inside: true,
        },
        Case { name: "a part of a line", text: "da", boundary: None, is_inside: true },
        Case {
            name: "carriage returns and line feeds",
            text: "id: 1\r\ndata: x\r\n\r\nid",
            boundary: Some(18),
            is_inside: true,
        },
        Case {
            name: "carriage returns",
            text: "id: 1\rdata: x\r\rid: 2\r",
            boundary: Some(15),
            is_inside: true,
        },
        Case {
            name: "a comment after an event",
            text: "data: x\n\n: working\n",
            boundary: Some(19),
            is_inside: false,
        },
        Case {
            name: "a comment inside an event",
            text: "data: x\n: working\n",
            boundary: None,
            is_inside: true,
        },
        Case {
            name: "a part of a comment",
            text: "data: x\n\n: wor",
            boundary: Some(9),
            is_inside: true,
        },
    ];
    for c in cases {
        let mut scanner = EventScanner::default();
        assert_eq!(scanner.scan(c.text.as_bytes()), c.boundary, "{}", c.name);
        assert_eq!(scanner.is_inside_event(), c.is_inside, "{}", c.name);
    }
}

/// Guards against an event that is passed on without its last line feed, which may come
/// with the next part and would be lost if the stream is resumed before.
#[test]
fn a_split_line_end_is_one_line_end() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(b"data: x\r\n\r"), None);
    assert!(!scanner.is_inside_event());
    assert_eq!(scanner.scan(b"\ndata: y\r\n"), Some(1));
    assert!(scanner.is_inside_event());
}

/// Guards against events that wait for the next one, where no line feed follows.
#[test]
fn a_lone_carriage_return_ends_an_event_at_once() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(b"data: x\r\r"), Some(9));
    assert_eq!(scanner.scan(b"data: y\r"), None);
    assert_eq!(scanner.scan(b"\r"), Some(1));
}

/// Guards against an event that is never passed on, where line ends differ.
#[test]
fn an_event_with_other_line_ends_ends_with_the_next_byte() {
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.scan(b"data: x\r\n\r"), None);
    assert_eq!(scanner.scan(b"data: y"), Some(0));
    assert!(scanner.is_inside_event());
}

proptest! {
    /// The boundaries do not depend on the parts in which a stream arrives.
    #[test]
    fn parts_do_not_move_boundaries(text in "[:di\r\n]{0,40}", size in 1usize..8) {
        let mut whole = EventScanner::default();
        let expected = whole.scan(text.as_bytes());
        let mut parts = EventScanner::default();
        let mut boundary = None;
        for (n, part) in text.as_bytes().chunks(size).enumerate() {
            boundary = parts.scan(part).map(|len| n * size + len).or(boundary);
        }
        prop_assert_eq!(boundary, expected);
        prop_assert_eq!(parts.is_inside_event(), whole.is_inside_event());
    }
}

/// Guards against events of a resumed stream that come twice or go back.
#[test]
fn ids_have_to_rise() {
    struct Case {
        name: &'static str,
        after: Option<&'static str>,
        parts: &'static [&'static str],
        error: Option<IdNotRising>,
    }
    let error = |last, next| Some(IdNotRising { last, next });
    let cases = [
        Case { name: "nothing", after: None, parts: &[""], error: None },
        Case {
            name: "rising",
            after: None,
            parts: &["id: 0\ndata: x\n\nid: 1\n\n", "id:7\r\n\r\n"],
            error: None,
        },
        Case { name: "resumed", after: Some("4"), parts: &["id: 5\n\n"], error: None },
        Case {
            name: "started over",
            after: Some("4"),
            parts: &["id: 0\n\n"],
            error: error(4, 0),
        },
        Case {
            name: "last event repeated",
            after: Some("4"),
            parts: &["id: 4\n\n"],
            error: error(4, 4),
        },
        Case {
            name: "back within one part",
            after: None,
            parts: &["id: 1\n\nid: 3\n\nid: 2\n\n"],
            error: error(3, 2),
        },
        Case {
            name: "back in a later part",
            after: None,
            parts: &["id: 10\n\n", "data: x\n\n", "id: 9\n\n"],
            error: error(10, 9),
        },
        Case {
            name: "no numbers",
            after: Some("b"),
            parts: &["id: b\n\nid: a\n\n"],
            error: None,
        },
        Case {
            name: "no ids",
            after: Some("4"),
            parts: &["data: id: 1\n\n: id: 1\n\n"],
            error: None,
        },
    ];
    for c in cases {
        let mut order = IdOrder::resuming_after(c.after);
        let results = c.parts.iter().map(|part| order.check(part.as_bytes()));
        let error = results.filter_map(Result::err).next();
        assert_eq!(error, c.error, "{}", c.name);
    }
}

/// Guards against a position that moves although the events were not passed on.
#[test]
fn events_out_of_order_leave_the_position() {
    let mut order = IdOrder::resuming_after(Some("3"));
    assert!(order.check(b"id: 4\n\nid: 2\n\n").is_err());
    assert_eq!(order.check(b"id: 4\n\n"), Ok(()));
    assert_eq!(event_ids(b"id: 4\ndata: x\n\nid:5\r\r").collect::<Vec<_>>(), ["4", "5"]);
}
