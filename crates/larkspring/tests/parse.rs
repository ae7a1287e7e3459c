//! Parsing of external text and bytes: any input gives a value or an error; errors in
//! settings and declarations name a line.

use larkspring::operate::declare;
use larkspring::settings;
use larkspring::telemetry::TraceParent;
use larkspring_core::declared::Part;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(20261202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Generates lines that mostly resemble settings or declarations.
fn yaml() -> impl Strategy<Value = String> {
    let key = prop::sample::select(vec![
        "hall",
        "vm",
        "entry",
        "agent",
        "platform",
        "listen",
        "objects",
        "slots",
        "adapters",
        "callers",
        "name",
        "versions",
        "base",
        "key_sha256",
        "load_rate",
        "x",
    ]);
    let value = prop_oneof![
        Just(String::new()),
        Just("127.0.0.1:1".to_owned()),
        Just("[".to_owned()),
        Just("{ name: a }".to_owned()),
        "-?[0-9]{1,22}",
        "\\PC{0,12}",
    ];
    let indent = prop::sample::select(vec!["", "  ", "- ", "  - ", "    "]);
    let line = (indent, key, value).prop_map(|(i, k, v)| format!("{i}{k}: {v}\n"));
    prop::collection::vec(line, 0..12).prop_map(|lines| lines.concat())
}

/// Whether the first line of an error begins with the file and a line number.
fn names_a_line(error: &str) -> bool {
    let first = error.lines().next().unwrap_or_default();
    first.strip_prefix("file:").is_some_and(|rest| rest.starts_with(char::is_numeric))
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn settings_are_parsed_or_refused(text in yaml()) {
        if let Err(e) = settings::parse("file", &text) {
            prop_assert!(names_a_line(&e.to_string()), "{e}");
        }
    }

    #[test]
    fn declarations_are_parsed_or_refused(text in yaml()) {
        if let Err(e) = declare::parse(&[("file".into(), text)]) {
            prop_assert!(names_a_line(&e.to_string()), "{e}");
        }
    }

    #[test]
    fn trace_header_is_kept_or_replaced(header in "\\PC{0,60}") {
        let next = TraceParent::next(Some(&header));
        prop_assert_eq!((next.trace.len(), next.span.len()), (32, 16));
        prop_assert!(next.to_string().is_ascii());
    }

    #[test]
    fn relayed_chunk_is_parsed_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(part) = Part::from_message("hash", bytes.into()) {
            prop_assert_eq!(part.hash, "hash");
        }
    }
}
