//! Tests of the load balancing of plain services: entries that see only their own answers,
//! in front of endpoints with slots and a bounded queue, in simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::iter::repeat_n;
use std::time::{Duration, Instant};

use fastrand::Rng;
use larkspring_core::fleet::choose::{
    choose_any, choose_plain, plain_cost, AdapterLocation, Distance, EndpointView,
};
use larkspring_core::fleet::quality::EndpointQuality;
use larkspring_core::fleet::response_time::ResponseTime;

const SLOTS: u32 = 6;
const QUEUE: usize = 24;
const ENDPOINTS: usize = 4;
const OBJECTIVE: Duration = Duration::from_millis(150);
const SECONDS: u64 = 24;
/// Mean time that an endpoint works on a call.
const WORK: Duration = Duration::from_millis(30);
const MAX_ATTEMPTS: u32 = 3;

/// The ways that are compared.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Own open requests times the highest mean response time.
    OwnRequests,
    LeastCost,
    TwoChoices,
    WeightedRandom,
}

const WAYS: [Way; 4] =
    [Way::OwnRequests, Way::LeastCost, Way::TwoChoices, Way::WeightedRandom];

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    entries_in_hall: [usize; 3],
    endpoint_halls: [usize; ENDPOINTS],
    per_sec: f64,
    /// Part of the answers that endpoint 0 loses.
    loses: f64,
    /// How much longer endpoint 0 takes in the seconds 6 to 12.
    slower: u32,
    /// Highest loss of the weighted random choice as part of that by own requests.
    max_loss: f64,
}

const EVEN: Case = Case {
    name: "even halls",
    entries_in_hall: [10, 10, 10],
    endpoint_halls: [0, 1, 2, 2],
    per_sec: 364.0,
    loses: 0.0,
    slower: 1,
    max_loss: 0.95,
};
const UNEVEN: Case =
    Case { name: "uneven halls", entries_in_hall: [16, 8, 6], max_loss: 0.9, ..EVEN };
const CASES: [Case; 7] = [
    EVEN,
    UNEVEN,
    Case { name: "one large hall", entries_in_hall: [20, 5, 5], ..UNEVEN },
    Case { name: "busy", per_sec: 440.0, max_loss: 0.95, ..UNEVEN },
    Case { name: "one loses 40%", loses: 0.4, max_loss: 0.8, ..UNEVEN },
    Case { name: "one slow", slower: 6, ..UNEVEN },
    Case { name: "one slow, even", slower: 6, max_loss: 0.9, ..EVEN },
];

#[derive(Debug, Default)]
struct Totals {
    requests: f64,
    late: f64,
    sheds: f64,
    errors: f64,
    remote: f64,
    /// Seconds in which the median response time is over 90 ms at one endpoint and below
    /// 60 ms at the others.
    split_seconds: usize,
    /// Requests sent to endpoint 0 in the seconds 3 to 6 and 13 to 16, before it is slow
    /// and from a second after its recovery.
    before: f64,
    recovered: f64,
}

impl Totals {
    /// Lost value in percent: a late answer is worth 0.3 of one in time, and a request to
    /// another hall costs a thirtieth of the value of its answer.
    fn loss(&self) -> f64 {
        let lost = 0.7 * self.late + self.errors + self.remote / 30.0;
        100.0 * lost / self.requests
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    entry: usize,
    arrived: Duration,
    sent: Duration,
    tried: [bool; ENDPOINTS],
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrived(Call),
    Served(usize, Call),
}

#[derive(Clone)]
struct Peer {
    quality: EndpointQuality,
    time: ResponseTime,
    open: Vec<Duration>,
}

struct Sim<'a> {
    case: &'a Case,
    way: Way,
    rng: Rng,
    start: Instant,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    halls: Vec<usize>,
    peers: Vec<[Peer; ENDPOINTS]>,
    running: [u32; ENDPOINTS],
    queues: [VecDeque<Call>; ENDPOINTS],
    /// Response times in ms by second and endpoint.
    times: Vec<[Vec<u128>; ENDPOINTS]>,
    totals: Totals,
}

impl<'a> Sim<'a> {
    fn new(case: &'a Case, way: Way, seed: u64, totals: Totals) -> Self {
        let start = Instant::now();
        let halls = case.entries_in_hall.iter().enumerate();
        let halls: Vec<_> = halls.flat_map(|(hall, n)| repeat_n(hall, *n)).collect();
        let peer = Peer {
            quality: EndpointQuality::new(start),
            time: ResponseTime::default(),
            open: vec![],
        };
        Self {
            case,
            way,
            rng: Rng::with_seed(seed),
            start,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            peers: halls.iter().map(|_| [(); ENDPOINTS].map(|_| peer.clone())).collect(),
            halls,
            running: [0; ENDPOINTS],
            queues: Default::default(),
            times: vec![Default::default(); SECONDS as usize],
            totals,
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, self.events.len(), event)));
    }

    /// Adds clumps of 1 to 31 calls to entries of uneven load; a third of the time has
    /// twice the load of the rest.
    fn add_arrivals(&mut self) {
        let weights: Vec<_> =
            self.halls.iter().map(|_| 0.09 + 0.41 * self.rng.f64()).collect();
        let mut at = Duration::ZERO;
        while at.as_secs() < SECONDS {
            let load = if at.as_secs().is_multiple_of(3) { 1.6 } else { 0.7 };
            let gap = -(1.0 - self.rng.f64()).ln() * 16.0 / (self.case.per_sec * load);
            at += Duration::from_secs_f64(gap);
            for n in 0..self.rng.u32(1..=31) {
                let entry = weighted(&weights, self.rng.f64());
                let arrived = at + Duration::from_millis(3) * n;
                let tried = [false; ENDPOINTS];
                let call = Call { entry, arrived, sent: arrived, tried };
                self.push(arrived, Event::Arrived(call));
                self.totals.requests += 1.0;
            }
        }
    }

    fn run(mut self) -> Totals {
        self.add_arrivals();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrived(call) => self.send(call),
                Event::Served(at, call) => self.finish(at, call),
            }
        }
        let is_split = |times: &mut [Vec<u128>; ENDPOINTS]| {
            let mut medians = times.each_mut().map(|t| {
                t.sort_unstable();
                t.get(t.len() / 2).copied().unwrap_or_default()
            });
            medians.sort_unstable();
            medians[ENDPOINTS - 1] > 90 && medians[ENDPOINTS - 2] < 60
        };
        let split = self.times.iter_mut().map(is_split).filter(|split| *split).count();
        self.totals.split_seconds += split;
        self.totals
    }

    fn view(&self, entry: usize, at: usize) -> EndpointView {
        let peer = &self.peers[entry][at];
        let now = self.start + self.now;
        EndpointView {
            distance: match self.halls[entry] == self.case.endpoint_halls[at] {
                true => Distance::SameHall,
                false => Distance::SameRegion,
            },
            adapter_location: AdapterLocation::Resident,
            running: peer.open.len() as u32,
            max_concurrent: SLOTS,
            free_adapter_slots: 0,
            loads_ahead: 0,
            can_load: false,
            loading_base: false,
            uncached_prompt_tokens: 0,
            prefill_backlog_tokens: 0,
            failure_cost: match self.way {
                Way::OwnRequests => peer.quality.cost(now),
                _ => peer.quality.retried_cost(now),
            },
            stream_loss: Default::default(),
            avoided: false,
            connection_cost: Duration::ZERO,
            is_rate_limited: false,
        }
    }

    fn choose(&mut self, call: &Call) -> usize {
        let untried: Vec<_> = (0..ENDPOINTS).filter(|at| !call.tried[*at]).collect();
        let peers = &self.peers[call.entry];
        let views: Vec<_> = untried.iter().map(|at| self.view(call.entry, *at)).collect();
        let expected = |at: &usize| {
            let oldest = peers[*at].open.iter().min().map(|sent| self.now - *sent);
            peers[*at].time.expected(self.start + self.now, oldest)
        };
        let times: Vec<_> = untried.iter().map(expected).collect();
        let assumed = |time: Duration| if time.is_zero() { WORK } else { time };
        let mut by_cost: Vec<_> = (0..untried.len()).collect();
        if self.way == Way::TwoChoices {
            self.rng.shuffle(&mut by_cost);
            by_cost.truncate(2);
        }
        let cost = |i: &usize| plain_cost(&views[*i], assumed(times[*i]));
        by_cost.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        let mean = peers.iter().map(|p| p.quality.mean_response_time()).max();
        let mean = mean.filter(|t| !t.is_zero()).unwrap_or(WORK);
        let chosen = match self.way {
            Way::OwnRequests => choose_any(&views, mean).unwrap(),
            Way::LeastCost | Way::TwoChoices => by_cost[0],
            Way::WeightedRandom => choose_plain(&views, &times, self.rng.f64()).unwrap(),
        };
        untried[chosen]
    }

    fn send(&mut self, mut call: Call) {
        let at = self.choose(&call);
        (call.sent, call.tried[at]) = (self.now, true);
        match (at, self.now.as_secs()) {
            (0, 3..6) => self.totals.before += 1.0,
            (0, 13..16) => self.totals.recovered += 1.0,
            _ => {}
        }
        let is_remote = self.halls[call.entry] != self.case.endpoint_halls[at];
        self.totals.remote += f64::from(u8::from(is_remote));
        if self.running[at] == SLOTS && self.queues[at].len() == QUEUE {
            self.totals.sheds += 1.0;
            return self.fail(at, call);
        }
        self.peers[call.entry][at].open.push(call.sent);
        self.queues[at].push_back(call);
        self.serve(at);
    }

    fn serve(&mut self, at: usize) {
        if self.running[at] == SLOTS {
            return;
        }
        let Some(call) = self.queues[at].pop_front() else { return };
        self.running[at] += 1;
        let is_slow = at == 0 && (6..12).contains(&self.now.as_secs());
        let slower = if is_slow { self.case.slower } else { 1 };
        let took = WORK.mul_f64(0.8 + 0.4 * self.rng.f64()) * slower;
        self.push(self.now + took, Event::Served(at, call));
    }

    fn finish(&mut self, at: usize, call: Call) {
        self.running[at] -= 1;
        self.serve(at);
        let peer = &mut self.peers[call.entry][at];
        let index = peer.open.iter().position(|sent| *sent == call.sent).unwrap();
        peer.open.swap_remove(index);
        if at == 0 && self.rng.f64() < self.case.loses {
            return self.fail(at, call);
        }
        let (now, took) = (self.start + self.now, self.now - call.sent);
        peer.quality.record_success(now, took);
        peer.time.record(now, took);
        if self.now - call.arrived > OBJECTIVE {
            self.totals.late += 1.0;
        }
        if let Some(second) = self.times.get_mut(self.now.as_secs() as usize) {
            second[at].push(took.as_millis());
        }
    }

    fn fail(&mut self, at: usize, call: Call) {
        let now = self.start + self.now;
        self.peers[call.entry][at].quality.record_failure(now);
        match call.tried.iter().filter(|tried| **tried).count() as u32 {
            MAX_ATTEMPTS => self.totals.errors += 1.0,
            _ => self.push(self.now + Duration::from_millis(2), Event::Arrived(call)),
        }
    }
}

fn weighted(weights: &[f64], pick: f64) -> usize {
    let mut point = pick * weights.iter().sum::<f64>();
    let passed = |w: &f64| {
        point -= w;
        point < 0.0
    };
    weights.iter().position(passed).unwrap_or(0)
}

/// Guards against entries that crowd an endpoint, or leave one in step and overload the
/// others, as they did while they knew only their own open requests.
#[test]
fn entries_spread_the_load_over_endpoints() {
    let mut losses = [0.0; WAYS.len()];
    for case in CASES {
        let totals = WAYS.map(|way| {
            let run = |sum, seed| Sim::new(&case, way, seed, sum).run();
            (0..12).fold(Totals::default(), run)
        });
        for ((way, sum), loss) in WAYS.iter().zip(&totals).zip(&mut losses) {
            *loss += sum.loss();
            let [late, sheds, errors, remote] =
                [sum.late, sum.sheds, sum.errors, sum.remote]
                    .map(|n| 100.0 * n / sum.requests);
            println!(
                "{:15} {:15} late {late:.2}% sheds {sheds:.2}% errors {errors:.2}% other \
                 hall {remote:.1}% split {} s, loss {:.2}",
                case.name,
                format!("{way:?}"),
                sum.split_seconds,
                sum.loss(),
            );
        }
        let [before, .., kept] = &totals;
        assert!(kept.loss() < case.max_loss * before.loss(), "{}: loss", case.name);
        assert!(kept.late < before.late, "{}: late answers", case.name);
        // Where no endpoint is in need, the ways shed equally but for chance.
        assert!(kept.sheds < 1.05 * before.sheds, "{}: sheds", case.name);
        let back = kept.recovered / kept.before;
        assert!(back > 0.8, "{}: {back} of the requests are back", case.name);
    }
    println!("loss over all cases, {WAYS:?}: {losses:.2?}");
    let [others @ .., kept] = losses;
    assert!(others.iter().all(|other| kept < *other), "{losses:?}");
}
