//! Compares the decision module's actions under seeded workloads with recorded digests. The digests come from
//! an earlier implementation, which kept held sessions in a plain list and walked it on every request and
//! every check. A digest depends on every action, its values and its position: a change of policy records new
//! ones, a change of bookkeeping must not alter them.

mod common;

use amberspindle::api::*;
use common::*;

const EVENT_COUNT: u32 = 800;
const PAID: usize = 2;
const KEYED: usize = 3;
const SEATED: usize = 4;

/// The load of one workload.
#[derive(Clone, Copy, Debug)]
struct Workload {
    seed: u64,
    /// The rate of links, in kB per second.
    link_kb: f64,
    /// The objective and the deadline of set-ups, in milliseconds.
    slo_ms: u64,
    deadline_ms: u64,
    titles: u64,
    /// The percentage of attempts that servers reject; as many fail in other ways.
    rejected_percent: u32,
}

const BASE_WORKLOAD: Workload =
    Workload { seed: 1, link_kb: 8000.0, slo_ms: 1000, deadline_ms: 4000, titles: 12, rejected_percent: 5 };

/// Each workload with the digest, the number of set-ups sent and the number of final answers of the earlier
/// implementation.
const WORKLOADS: [(Workload, (u64, usize, usize)); 8] = [
    (BASE_WORKLOAD, (57658542262104136, 282, 235)),
    (Workload { seed: 2, link_kb: 1500.0, ..BASE_WORKLOAD }, (16652373621012563433, 277, 186)),
    (
        Workload { seed: 3, link_kb: 1500.0, slo_ms: 20_000, deadline_ms: 60_000, ..BASE_WORKLOAD },
        (4846563511522333301, 305, 192),
    ),
    (Workload { seed: 4, rejected_percent: 40, ..BASE_WORKLOAD }, (14180959067370718903, 206, 295)),
    (
        Workload { seed: 5, rejected_percent: 40, deadline_ms: 30_000, ..BASE_WORKLOAD },
        (14692008711584674487, 419, 308),
    ),
    (
        Workload {
            seed: 6,
            link_kb: 3000.0,
            titles: 150,
            slo_ms: 5000,
            deadline_ms: 20_000,
            ..BASE_WORKLOAD
        },
        (17579688038940339649, 381, 231),
    ),
    (
        Workload {
            seed: 7,
            link_kb: 800.0,
            titles: 2,
            slo_ms: 10_000,
            deadline_ms: 15_000,
            rejected_percent: 20,
        },
        (5936240482154824353, 371, 312),
    ),
    (
        Workload {
            seed: 8,
            link_kb: 2500.0,
            titles: 40,
            slo_ms: 3000,
            deadline_ms: 30_000,
            rejected_percent: 15,
        },
        (18327710443940989518, 387, 226),
    ),
];

const SERVER_COUNT: u32 = 14;

fn workload_settings(workload: Workload) -> Settings {
    let mut s = settings();
    (s.link_unit_kb, s.rack_kb) = (workload.link_kb, workload.link_kb * 5.0);
    (s.cross_zone_price, s.handshake_price, s.link_limit) = (0.1, 0.04, 0.97);
    s.broker_count = 3;
    s.budget = Some(RetryBudget { floor: 3.0, ratio: 0.3, span: ms(5000) });
    let class = |idempotency| Class::new(ms(workload.slo_ms), ms(workload.deadline_ms), idempotency);
    let mut live = class(Idempotency::Safe);
    live.live = true;
    let keyed = Idempotency::Keyed { scope: KeyScope::Zone, window: ms(700) };
    let mut seated = class(Idempotency::Safe);
    (seated.seats, seated.floor) = (Some(3), Rung(1));
    s.classes = vec![live, class(Idempotency::Safe), class(Idempotency::Unsafe), class(keyed), seated];
    s
}

fn entry(n: u32, state: ServerState) -> ServerEntry {
    let mut entry = ServerEntry::new(server(n), state, n % 6);
    entry.zone = n % 3;
    entry
}

/// An open attempt or a playing session.
struct OpenAttempt {
    id: u64,
    server: ServerId,
    is_playing: bool,
}

/// Runs a workload; returns a digest of its actions, the number of set-ups sent and the number of final
/// answers.
fn run_workload(workload: Workload) -> (u64, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(workload.seed);
    let mut module = ModuleHarness::bare(workload_settings(workload), workload.seed);
    module.list((0..SERVER_COUNT).map(|n| entry(n, ServerState::Ready)).collect());
    let mut attempts: Vec<OpenAttempt> = Vec::new();
    let mut handled = 0;
    for n in 0..EVENT_COUNT {
        module.pass(Micros(rng.u64(0..30_000)));
        match rng.u32(0..100) {
            0..45 => ask(&mut module, &mut rng, workload, u64::from(n)),
            45..80 if !attempts.is_empty() => {
                let k = rng.usize(0..attempts.len());
                end_attempt(&mut module, &mut rng, workload, &mut attempts, k);
            }
            80..92 => report_utilization(&mut module, &mut rng),
            92..96 => {
                module.tell(Event::ViewerLeft(SessionId(rng.u64(0..=u64::from(n)))));
            }
            96..98 => change_list(&mut module, &mut rng),
            98 if rng.u32(0..10) == 0 => new_settings(&mut module, &mut rng, workload),
            _ => {}
        }
        let sent = sends(&module.out[handled..]);
        attempts.extend(sent.into_iter().map(|(id, server)| OpenAttempt {
            id: id.0,
            server,
            is_playing: false,
        }));
        handled = module.out.len();
    }
    module.pass(ms(2 * workload.deadline_ms));
    let is_final = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail(_));
    (digest(&module.out), sends(&module.out).len(), module.out.iter().filter(is_final).count())
}

fn ask(module: &mut ModuleHarness, rng: &mut fastrand::Rng, workload: Workload, id: u64) {
    let class = [LIVE, CLIP, PAID, KEYED, SEATED][rng.usize(0..5)];
    // Low numbers are the popular titles.
    let title = rng.u64(0..workload.titles).min(rng.u64(0..workload.titles));
    let mut request = module.request(id, class, &format!("t{title}"));
    request.due = module.now + ms(workload.deadline_ms);
    (request.home, request.copies) = ((title % 6) as u32, 1 + (title % 3) as u32);
    request.top = Rung(rng.usize(0..4));
    module.tell(Event::Request(request));
}

fn end_attempt(
    module: &mut ModuleHarness,
    rng: &mut fastrand::Rng,
    workload: Workload,
    attempts: &mut Vec<OpenAttempt>,
    k: usize,
) {
    let (id, server) = (attempts[k].id, attempts[k].server.clone());
    if attempts[k].is_playing {
        attempts.swap_remove(k);
        module.outcome(id, &server, Status::Completed, true);
        return;
    }
    let roll = rng.u32(0..100);
    if roll >= 2 * workload.rejected_percent {
        attempts[k].is_playing = true;
        module.first(id, &server);
        return;
    }
    attempts.swap_remove(k);
    let other_failures =
        [Status::Errored, Status::TimedOut, Status::Reset, Status::ConnectFailed, Status::Cancelled];
    let status = if roll < workload.rejected_percent {
        Status::Saturated
    } else {
        other_failures[rng.usize(0..other_failures.len())]
    };
    module.outcome(id, &server, status, rng.u32(0..10) == 0);
}

fn report_utilization(module: &mut ModuleHarness, rng: &mut fastrand::Rng) {
    let (server, utilization) = (server(rng.u32(0..SERVER_COUNT)), rng.f64() * 1.4);
    let note = match rng.u32(0..10) {
        0 => Note::Uplink(utilization),
        1 => Note::Delivered(utilization.min(1.0)),
        _ => Note::Link(utilization),
    };
    module.note(rng.u64(0..u64::from(EVENT_COUNT)), &server, note);
}

fn change_list(module: &mut ModuleHarness, rng: &mut fastrand::Rng) {
    let states = [ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Gone];
    let mut entry = entry(rng.u32(0..SERVER_COUNT), states[rng.usize(0..states.len())]);
    entry.up_since = rng.bool().then_some(module.now);
    module.tell(Event::ServerList { kind: ListKind::Changes, servers: vec![entry] });
}

fn new_settings(module: &mut ModuleHarness, rng: &mut fastrand::Rng, workload: Workload) {
    let mut s = workload_settings(workload);
    s.classes[SEATED].seats = [None, Some(1), Some(6)][rng.usize(0..3)];
    s.classes[CLIP].floor = Rung(rng.usize(0..2));
    s.classes[KEYED].idempotency =
        Idempotency::Keyed { scope: KeyScope::Cell, window: ms(rng.u64(200..3000)) };
    module.tell(Event::Settings(Box::new(s)));
}

/// Returns the FNV-1a hash of the actions' debug output.
fn digest(actions: &[Action]) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let bytes = actions.iter().flat_map(|action| format!("{action:?}\n").into_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, step)
}

#[test]
fn actions_match_digests_of_reference_implementation() {
    let actual: Vec<(u64, usize, usize)> =
        WORKLOADS.iter().map(|(workload, _)| run_workload(*workload)).collect();
    let expected: Vec<(u64, usize, usize)> = WORKLOADS.iter().map(|(_, expected)| *expected).collect();
    assert_eq!(actual, expected);
}
