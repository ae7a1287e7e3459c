//! Where streams began, as entries and agents keep it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::build_history::{BuildHistory, ServiceBuild};
use larkspring_core::fleet::endpoint_list::Endpoint;
use larkspring_core::fleet::stream_origins::{
    asked_keepers, keeper_set, keepers, told_keepers, Keeper, KeptOrigin, StreamOrigin,
    StreamOrigins, StreamStart, KEEPERS, MAX_KEEPER_SET, MAX_KEPT,
};
use larkspring_core::ids::{BuildId, HallId, ServiceId, StorePoint};

fn origin(build: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".into(), build: build.into() }
}

fn begun(build: &str) -> KeptOrigin {
    KeptOrigin::Begun(origin(build))
}

fn sent(build: &str) -> KeptOrigin {
    KeptOrigin::Sent(origin(build))
}

/// Guards against a stream that goes on where its request was sent and did not begin.
#[test]
fn what_processes_keep_of_a_stream_is_combined_in_any_order() {
    use KeptOrigin::{Ambiguous, SentToSeveral, Unknown};
    struct Case {
        name: &'static str,
        kept: Vec<KeptOrigin>,
        all: KeptOrigin,
        origin: Option<&'static str>,
    }
    let cases = [
        Case { name: "nothing", kept: vec![Unknown], all: Unknown, origin: None },
        Case {
            name: "sent there only",
            kept: vec![Unknown, sent("v1"), sent("v1")],
            all: sent("v1"),
            origin: Some("v1"),
        },
        Case {
            name: "sent to two",
            kept: vec![sent("v1"), sent("v2"), sent("v1")],
            all: SentToSeveral,
            origin: None,
        },
        Case {
            name: "sent to two, begun at the second",
            kept: vec![sent("v1"), sent("v2"), begun("v2"), SentToSeveral],
            all: begun("v2"),
            origin: Some("v2"),
        },
        Case {
            name: "begun at two",
            kept: vec![begun("v1"), sent("v1"), begun("v2"), begun("v1")],
            all: Ambiguous,
            origin: None,
        },
    ];
    for c in cases {
        let combine =
            |kept: &[KeptOrigin]| kept.iter().cloned().fold(Unknown, KeptOrigin::merge);
        let mut kept = c.kept;
        for _ in 0..kept.len() {
            kept.rotate_left(1);
            let reversed: Vec<_> = kept.iter().rev().cloned().collect();
            for order in [&kept, &reversed] {
                let all = combine(order);
                assert_eq!(all, c.all, "{}: {order:?}", c.name);
                let build = all.origin().map(|at| &*at.build);
                assert_eq!(build, c.origin, "{}: {order:?}", c.name);
            }
        }
    }
}

/// Guards against origins that leave with the agents of draining engines.
#[test]
fn agents_that_stay_are_told_before_those_that_leave() {
    const AGENTS: usize = 12;
    let halls: [HallId; 3] = ["a".into(), "b".into(), "c".into()];
    let names: Vec<_> = (0..AGENTS).map(|n| format!("10.0.0.{n}:7380")).collect();
    let agents = |leaving: &[usize]| -> Vec<Keeper<usize>> {
        let keeper = |n: usize| Keeper {
            hall: halls[n % 3].clone(),
            is_leaving: leaving.contains(&n),
            agent: n,
        };
        (0..AGENTS).map(keeper).collect()
    };
    for key in 0..100 {
        let all = agents(&[]);
        let named = || names.iter().map(|name| name.as_bytes());
        let before: Vec<_> = told_keepers(key, named().zip(&all));
        // All of the former keepers are about to leave.
        let leaving: Vec<_> = before.iter().map(|n| **n).collect();
        let then = agents(&leaving);
        let told = told_keepers(key, named().zip(&then));
        assert_eq!(told.len(), KEEPERS, "{key}");
        assert!(told.iter().all(|n| !leaving.contains(n)), "{key}");
        let asked = asked_keepers(key, named().zip(&then), |a, b| a == b);
        assert_eq!(asked.len(), 2 * KEEPERS, "{key}");
        assert!(before.iter().chain(&told).all(|n| asked.contains(n)), "{key}");
        // If all leave, those that leave are told.
        let last = agents(&(0..AGENTS).collect::<Vec<_>>());
        let told = told_keepers(key, named().zip(&last));
        assert_eq!(told, before, "{key}");
    }
}

#[test]
fn a_stream_is_bound_by_its_first_events() {
    struct Case {
        name: &'static str,
        first: Option<&'static str>,
        next: Option<&'static str>,
        allowed: bool,
    }
    let cases = [
        Case { name: "the same", first: Some("v1"), next: Some("v1"), allowed: true },
        Case { name: "another", first: Some("v1"), next: Some("v2"), allowed: false },
        Case { name: "an unknown one", first: Some("v1"), next: None, allowed: false },
        Case { name: "from unknown", first: None, next: Some("v1"), allowed: false },
        Case { name: "two unknown ones", first: None, next: None, allowed: false },
    ];
    let service: ServiceId = "llm".into();
    for c in cases {
        let build = |name: Option<&str>| name.map(BuildId::from);
        let mut start = StreamStart::default();
        assert!(start.allows(build(c.next).as_ref()), "{}: before any event", c.name);
        start.begin(&service, build(c.first).as_ref());
        start.begin(&service, Some(&"v3".into()));
        assert_eq!(start.allows(build(c.next).as_ref()), c.allowed, "{}", c.name);
    }
}

#[test]
fn origins_are_kept_for_their_time_and_never_guessed() {
    let now = Instant::now();
    let secs = Duration::from_secs;
    let told = [
        (1, "v1", 10),
        (2, "v1", 10),
        (2, "v2", 10),
        (3, "v1", 1000),
        (4, "v2", 10),
        (4, "v2", 20),
    ];
    let cases = [
        ("never told", 0, 9, KeptOrigin::Unknown),
        ("told", 9, 1, begun("v1")),
        ("over", 10, 1, KeptOrigin::Unknown),
        ("told twice, differently", 9, 2, KeptOrigin::Ambiguous),
        ("told again, for longer", 19, 4, begun("v2")),
        ("a time over the limit", MAX_KEPT.as_secs() - 1, 3, begun("v1")),
        ("the limit", MAX_KEPT.as_secs(), 3, KeptOrigin::Unknown),
    ];
    for (name, after, key, expected) in cases {
        let mut origins = StreamOrigins::default();
        for (key, build, kept) in told {
            origins.record(now, key, begun(build), now + secs(kept));
        }
        assert_eq!(origins.get(now + secs(after), key), expected, "{name}");
    }
}

#[test]
fn keepers_are_in_several_halls_and_the_same_for_all() {
    let halls: [HallId; 3] = ["a".into(), "b".into(), "c".into()];
    let names: Vec<_> = (0..30).map(|n| format!("10.{}.0.{n}:7380", n % 3)).collect();
    let numbered = names.iter().enumerate();
    let agents: Vec<_> =
        numbered.map(|(n, name)| (name.as_bytes(), &halls[n % 3], n)).collect();
    for key in 0..200 {
        let found = keepers(key, agents.iter().copied());
        let reversed = keepers(key, agents.iter().rev().copied());
        assert_eq!(found, reversed, "{key}");
        let mut of: Vec<_> = found.iter().map(|n| n % 3).collect();
        of.sort_unstable();
        assert_eq!(of, [0, 1, 2], "{key}");
        // An agent that joins or leaves moves no other keeper.
        let without = agents.iter().copied().filter(|(_, _, n)| *n != found[0]);
        let rest = keepers(key, without);
        assert!(found[1..].iter().all(|n| rest.contains(n)), "{key}");
    }
    let one_hall = agents.iter().copied().filter(|(_, hall, _)| ***hall == *"a");
    assert_eq!(keepers(7, one_hall).len(), KEEPERS);
    assert!(keepers(7, agents[..2].iter().copied()).len() == 2);
}

/// Guards against an entry that connects to each agent of a large fleet, since the agents
/// that keep origins are different for each stream.
#[test]
fn few_agents_of_a_large_fleet_keep_origins() {
    let names: Vec<_> =
        (0..2000).map(|n| format!("10.0.{}.{}:7380", n / 200, n % 200)).collect();
    let agents = || names.iter().enumerate().map(|(n, name)| (name.as_bytes(), n));
    let set = keeper_set(agents().chain(agents()));
    assert_eq!(set.len(), MAX_KEEPER_SET);
    assert_eq!(set, keeper_set(agents().collect::<Vec<_>>().into_iter().rev()));
    let without = keeper_set(agents().filter(|(_, n)| *n != set[0]));
    let same = set.iter().filter(|n| without.contains(n)).count();
    assert_eq!(same, MAX_KEEPER_SET - 1, "an agent that leaves moves others");
}

/// Agents restart, messages are lost and ids repeat, in random order: what the replies
/// say of a stream is where it began, or that it is not known.
#[test]
fn random_losses_never_name_another_origin() {
    const AGENTS: usize = 9;
    let halls: [HallId; 3] = ["a".into(), "b".into(), "c".into()];
    let (mut found, mut asked) = (0, 0);
    for seed in 0..300 {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut agents: Vec<_> = (0..AGENTS).map(|_| StreamOrigins::default()).collect();
        let mut names: Vec<_> = (0..AGENTS).map(|n| format!("agent-{n}-0")).collect();
        let mut began: HashMap<u64, Vec<StreamOrigin>> = HashMap::new();
        for step in 0..300 {
            now += Duration::from_millis(rng.u64(0..200));
            let key = rng.u64(0..60);
            let listed: Vec<_> = (0..AGENTS)
                .map(|n| (names[n].clone(), halls[n % 3].clone(), n))
                .collect();
            let ranked = || {
                keepers(key, listed.iter().map(|(id, hall, n)| (id.as_bytes(), hall, *n)))
            };
            match rng.u32(0..10) {
                0 => agents[rng.usize(0..AGENTS)] = StreamOrigins::default(),
                1 => {
                    let n = rng.usize(0..AGENTS);
                    (agents[n], names[n]) =
                        (StreamOrigins::default(), format!("agent-{n}-{step}"));
                }
                2..=5 => {
                    let at = origin(["v1", "v2", "v3"][rng.usize(0..3)]);
                    began.entry(key).or_default().push(at.clone());
                    let kept = match rng.bool() {
                        true => KeptOrigin::Sent(at),
                        false => KeptOrigin::Begun(at),
                    };
                    for n in ranked() {
                        if rng.u32(0..4) > 0 {
                            let until = now + Duration::from_secs(24);
                            agents[n].record(now, key, kept.clone(), until);
                        }
                    }
                }
                _ => {
                    let replies = ranked().into_iter().filter(|_| rng.u32(0..4) > 0);
                    let replies: Vec<_> = replies.collect();
                    let kept =
                        replies.into_iter().fold(KeptOrigin::Unknown, |kept, n| {
                            kept.merge(agents[n].get(now, key))
                        });
                    asked += 1;
                    if let Some(at) = kept.origin() {
                        found += 1;
                        assert!(began[&key].contains(at), "seed {seed}, step {step}");
                    }
                }
            }
        }
    }
    assert!(found > 0 && found < asked, "{found} of {asked}");
}

/// Guards against an entry that takes the versions it has seen since its start for all
/// that can have begun a stream.
#[test]
fn a_service_has_one_software_version_only_if_no_other_can_have_begun_a_stream() {
    struct Case {
        name: &'static str,
        /// Versions of the endpoints, and the second in which they were seen.
        seen: &'static [(u64, &'static [Option<&'static str>])],
        /// The seconds in which the list was not fresh.
        stale: &'static [u64],
        recorded: &'static [&'static str],
        present: &'static [Option<&'static str>],
        only: Option<&'static str>,
    }
    const V1: Option<&str> = Some("v1");
    const V2: Option<&str> = Some("v2");
    const COMMON: Case = Case {
        name: "none",
        seen: &[],
        stale: &[],
        recorded: &[],
        present: &[],
        only: None,
    };
    let cases = [
        COMMON,
        Case {
            name: "one",
            seen: &[(0, &[V1, V1])],
            recorded: &["v1"],
            present: &[V1],
            only: V1,
            ..COMMON
        },
        Case {
            name: "one that is not recorded",
            seen: &[(0, &[V1])],
            present: &[V1],
            ..COMMON
        },
        Case {
            name: "two",
            seen: &[(0, &[V1, V2])],
            recorded: &["v1", "v2"],
            present: &[V1, V2],
            ..COMMON
        },
        Case {
            name: "an unknown one beside it",
            seen: &[(0, &[V1, None])],
            recorded: &["v1"],
            present: &[V1, None],
            ..COMMON
        },
        Case {
            name: "another one of late",
            seen: &[(0, &[V1]), (15, &[V1, V2])],
            recorded: &["v1", "v2"],
            present: &[V2],
            ..COMMON
        },
        Case {
            name: "another one long ago",
            seen: &[(0, &[V1]), (5, &[V1, V2]), (20, &[V2])],
            recorded: &["v1", "v2"],
            present: &[V2],
            only: V2,
            ..COMMON
        },
        Case {
            name: "another one that left before the start",
            seen: &[(19, &[V2])],
            recorded: &["v1", "v2"],
            present: &[V2],
            ..COMMON
        },
        Case {
            name: "only one was recorded before the start",
            seen: &[(19, &[V2])],
            recorded: &["v2"],
            present: &[V2],
            only: V2,
            ..COMMON
        },
        Case {
            name: "another one that may have come and gone unseen",
            seen: &[(0, &[V2])],
            stale: &[15],
            recorded: &["v1", "v2"],
            present: &[V2],
            ..COMMON
        },
        Case {
            name: "another one that may have come and gone unseen long ago",
            seen: &[(0, &[V2])],
            stale: &[5],
            recorded: &["v1", "v2"],
            present: &[V2],
            only: V2,
        },
    ];
    let (start, window) = (Instant::now(), Duration::from_secs(10));
    for c in cases {
        let mut history = BuildHistory::default();
        let first = c.seen.first().map_or(0, |(at, _)| *at);
        for second in first..=20 {
            let at = start + Duration::from_secs(second);
            history.observe(at, !c.stale.contains(&second));
            for (_, builds) in c.seen.iter().filter(|(seen_at, _)| *seen_at == second) {
                let listed: Vec<_> = builds.iter().map(|b| endpoint(*b)).collect();
                history.record(at, listed.iter());
            }
        }
        let now = start + Duration::from_secs(20);
        let present: Vec<_> = c.present.iter().map(|b| b.map(BuildId::from)).collect();
        let present: Vec<_> = present.iter().map(Option::as_ref).collect();
        let recorded = c.recorded.iter().map(|build| origin(build));
        let recorded: Vec<ServiceBuild> = recorded.collect();
        let only = history.only(now, &"llm".into(), window, &present, &recorded);
        assert_eq!(only.as_deref(), c.only, "{}", c.name);
    }
}

/// Guards against a record that grows with each release, and one that loses a version of
/// which callers may have streams.
#[test]
fn a_software_version_is_past_once_no_caller_can_have_a_stream_of_it() {
    let (start, mut history) = (Instant::now(), BuildHistory::default());
    let at = |secs| start + Duration::from_secs(secs);
    let kept = MAX_KEPT.as_secs();
    history.observe(at(0), true);
    assert!(history.record(at(0), [endpoint(Some("v1"))].iter()), "v1 is new");
    assert!(history.record(at(10), [endpoint(Some("v2"))].iter()), "v2 is new");
    assert!(!history.record(at(20), [endpoint(Some("v2"))].iter()), "nothing is new");
    for (name, now, build, is_past) in [
        ("left of late", kept - 1, "v1", false),
        ("left long ago", kept + 1, "v1", true),
        ("still there", kept + 1, "v2", false),
        ("left before the start, of late", kept - 1, "v0", false),
        ("left before the start, long ago", kept + 1, "v0", true),
    ] {
        history.record(at(now), [endpoint(Some("v2"))].iter());
        assert_eq!(history.is_past(at(now), &origin(build)), is_past, "{name}");
    }
    history.observe(at(kept + 2), false);
    assert!(!history.is_past(at(kept + 2), &origin("v1")), "the list is not fresh");
}

/// The next run at an address may have other software, so nothing goes on there before
/// the platform lists it.
#[test]
fn the_software_of_a_run_that_is_not_listed_is_not_known() {
    assert_eq!(endpoint(Some("v1")).next_run("next".into()).build, None);
}

fn endpoint(build: Option<&str>) -> Endpoint {
    Endpoint {
        id: "run".into(),
        service: "llm".into(),
        addr: "10.1.0.1:8000".parse().unwrap(),
        hall: "a".into(),
        slots: 1,
        leaving: false,
        listed_since: StorePoint::default(),
        start: None,
        holds: Vec::new(),
        runs_models: true,
        build: build.map(Into::into),
        cold_left: Duration::ZERO,
    }
}

/// Streams of a second at the size designed for, and the time for which each is kept.
const STREAMS_PER_SEC: u64 = 26_000;
const KEPT: Duration = Duration::from_secs(24);
const AGENTS: usize = 2_000;

/// Guards against agents that get many more origins than others, or keep so many that the
/// oldest give way before their time.
#[test]
fn origins_of_a_large_fleet_are_spread_over_few_agents() {
    let halls: Vec<HallId> = ["a", "b", "c"].map(HallId::from).to_vec();
    let names: Vec<_> =
        (0..AGENTS).map(|n| format!("10.{}.{}.1:7380", n % 3, n)).collect();
    let set = keeper_set(names.iter().enumerate().map(|(n, name)| (name.as_bytes(), n)));
    assert_eq!(set.len(), MAX_KEEPER_SET);
    let mut rng = Rng::with_seed(1);
    let start = Instant::now();
    let mut told = HashMap::<usize, u64>::new();
    let mut kept = StreamOrigins::default();
    let mut most_kept = 0;
    for n in 0..STREAMS_PER_SEC * KEPT.as_secs() {
        let now =
            start + KEPT.mul_f64(n as f64 / (STREAMS_PER_SEC * KEPT.as_secs()) as f64);
        let key = rng.u64(..);
        let agents = set.iter().map(|n| (names[*n].as_bytes(), &halls[n % 3], *n));
        let chosen = keepers(key, agents);
        assert_eq!(chosen.len(), KEEPERS);
        if chosen.contains(&set[0]) {
            kept.record(now, key, sent("v1"), now + KEPT);
            most_kept = most_kept.max(kept.len());
        }
        chosen.into_iter().for_each(|agent| *told.entry(agent).or_default() += 1);
    }
    let all: u64 = told.values().sum();
    let mean = all as f64 / MAX_KEEPER_SET as f64;
    let most = *told.values().max().unwrap() as f64;
    println!(
        "{} a second at the mean agent, {} at the busiest, {most_kept} kept at one",
        mean / KEPT.as_secs_f64(),
        most / KEPT.as_secs_f64(),
    );
    assert!(most < 2.0 * mean, "{most} at the busiest of {mean}");
    assert_eq!(most_kept as u64, told[&set[0]], "all are kept for their time");
}
