//! The decision module's actions over seeded days, as a plain list of held sessions gave them that each request and each
//! look walked from end to end (run on the sources that had it). A digest changes with any action, its figures and its
//! place: a change of policy sets them anew, one of bookkeeping must not.

mod common;

use amberspindle::api::*;
use common::*;

const EVENTS: u32 = 800;
const PAID: usize = 2;
const KEYED: usize = 3;
const SEATED: usize = 4;

/// What one day makes hard.
#[derive(Clone, Copy, Debug)]
struct Day {
    seed: u64,
    /// Links' size in kB/s.
    link_kb: f64,
    /// Milliseconds that a class wants a set-up within, and that its viewers wait.
    aim: u64,
    deadline: u64,
    titles: u64,
    /// In a hundred attempts, those that are turned away; as many fail in other ways.
    turned_away: u32,
}

const DAY: Day = Day { seed: 1, link_kb: 8000.0, aim: 1000, deadline: 4000, titles: 12, turned_away: 5 };

/// Each day and the digest, the set-ups sent and the final answers that the plain list gave.
const DAYS: [(Day, (u64, usize, usize)); 8] = [
    (DAY, (57658542262104136, 282, 235)),
    (Day { seed: 2, link_kb: 1500.0, ..DAY }, (16652373621012563433, 277, 186)),
    (Day { seed: 3, link_kb: 1500.0, aim: 20_000, deadline: 60_000, ..DAY }, (4846563511522333301, 305, 192)),
    (Day { seed: 4, turned_away: 40, ..DAY }, (14180959067370718903, 206, 295)),
    (Day { seed: 5, turned_away: 40, deadline: 30_000, ..DAY }, (14692008711584674487, 419, 308)),
    (
        Day { seed: 6, link_kb: 3000.0, titles: 150, aim: 5000, deadline: 20_000, ..DAY },
        (17579688038940339649, 381, 231),
    ),
    (
        Day { seed: 7, link_kb: 800.0, titles: 2, aim: 10_000, deadline: 15_000, turned_away: 20 },
        (5936240482154824353, 371, 312),
    ),
    (
        Day { seed: 8, link_kb: 2500.0, titles: 40, aim: 3000, deadline: 30_000, turned_away: 15 },
        (18327710443940989518, 387, 226),
    ),
];

const SERVERS: u32 = 14;

fn day_settings(day: Day) -> Settings {
    let mut s = settings();
    (s.link_unit_kb, s.rack_kb) = (day.link_kb, day.link_kb * 5.0);
    (s.cross_zone_price, s.handshake_price, s.link_limit) = (0.1, 0.04, 0.97);
    s.broker_count = 3;
    s.budget = Some(RetryBudget { floor: 3.0, ratio: 0.3, span: ms(5000) });
    let class = |effect| Class::new(ms(day.aim), ms(day.deadline), effect);
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

/// An attempt that is out, or a session that plays.
struct Out {
    id: u64,
    to: ServerId,
    plays: bool,
}

/// Plays a day; gives a digest of its actions, the set-ups sent and the final answers.
fn play(day: Day) -> (u64, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(day.seed);
    let mut front = ModuleHarness::bare(day_settings(day), day.seed);
    front.list((0..SERVERS).map(|n| entry(n, ServerState::Ready)).collect());
    let mut outs: Vec<Out> = Vec::new();
    let mut seen = 0;
    for n in 0..EVENTS {
        front.pass(Micros(rng.u64(0..30_000)));
        match rng.u32(0..100) {
            0..45 => ask(&mut front, &mut rng, day, u64::from(n)),
            45..80 if !outs.is_empty() => {
                let k = rng.usize(0..outs.len());
                end(&mut front, &mut rng, day, &mut outs, k);
            }
            80..92 => tell_fullness(&mut front, &mut rng),
            92..96 => {
                front.tell(Event::ViewerLeft(SessionId(rng.u64(0..=u64::from(n)))));
            }
            96..98 => change_list(&mut front, &mut rng),
            98 if rng.u32(0..10) == 0 => new_settings(&mut front, &mut rng, day),
            _ => {}
        }
        let sent = sends(&front.out[seen..]);
        outs.extend(sent.into_iter().map(|(id, to)| Out { id: id.0, to, plays: false }));
        seen = front.out.len();
    }
    front.pass(ms(2 * day.deadline));
    let finals = |a: &&Action| matches!(a, Action::Refuse { .. } | Action::Fail(_));
    (digest(&front.out), sends(&front.out).len(), front.out.iter().filter(finals).count())
}

fn ask(front: &mut ModuleHarness, rng: &mut fastrand::Rng, day: Day, id: u64) {
    let class = [LIVE, CLIP, PAID, KEYED, SEATED][rng.usize(0..5)];
    // Low numbers are the popular titles.
    let title = rng.u64(0..day.titles).min(rng.u64(0..day.titles));
    let mut request = front.request(id, class, &format!("t{title}"));
    request.due = front.now + ms(day.deadline);
    (request.home, request.copies) = ((title % 6) as u32, 1 + (title % 3) as u32);
    request.top = Rung(rng.usize(0..4));
    front.tell(Event::Request(request));
}

fn end(front: &mut ModuleHarness, rng: &mut fastrand::Rng, day: Day, outs: &mut Vec<Out>, k: usize) {
    let (id, to) = (outs[k].id, outs[k].to.clone());
    if outs[k].plays {
        outs.swap_remove(k);
        front.outcome(id, &to, Status::Completed, true);
        return;
    }
    let dice = rng.u32(0..100);
    if dice >= 2 * day.turned_away {
        outs[k].plays = true;
        front.first(id, &to);
        return;
    }
    outs.swap_remove(k);
    let other = [Status::Errored, Status::TimedOut, Status::Reset, Status::ConnectFailed, Status::Cancelled];
    let status = if dice < day.turned_away { Status::Saturated } else { other[rng.usize(0..other.len())] };
    front.outcome(id, &to, status, rng.u32(0..10) == 0);
}

fn tell_fullness(front: &mut ModuleHarness, rng: &mut fastrand::Rng) {
    let (to, full) = (server(rng.u32(0..SERVERS)), rng.f64() * 1.4);
    let note = match rng.u32(0..10) {
        0 => Note::Uplink(full),
        1 => Note::Delivered(full.min(1.0)),
        _ => Note::Link(full),
    };
    front.note(rng.u64(0..u64::from(EVENTS)), &to, note);
}

fn change_list(front: &mut ModuleHarness, rng: &mut fastrand::Rng) {
    let states = [ServerState::Ready, ServerState::Ready, ServerState::Draining, ServerState::Gone];
    let mut entry = entry(rng.u32(0..SERVERS), states[rng.usize(0..states.len())]);
    entry.up_since = rng.bool().then_some(front.now);
    front.tell(Event::ServerList { kind: ListKind::Changes, servers: vec![entry] });
}

fn new_settings(front: &mut ModuleHarness, rng: &mut fastrand::Rng, day: Day) {
    let mut s = day_settings(day);
    s.classes[SEATED].seats = [None, Some(1), Some(6)][rng.usize(0..3)];
    s.classes[CLIP].floor = Rung(rng.usize(0..2));
    s.classes[KEYED].idempotency =
        Idempotency::Keyed { scope: KeyScope::Cell, window: ms(rng.u64(200..3000)) };
    front.tell(Event::Settings(Box::new(s)));
}

/// FNV-1a over the actions as they print.
fn digest(actions: &[Action]) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let bytes = actions.iter().flat_map(|action| format!("{action:?}\n").into_bytes());
    bytes.fold(0xcbf2_9ce4_8422_2325, step)
}

#[test]
fn the_same_events_lead_to_the_same_actions_as_with_a_plain_list() {
    let played: Vec<(u64, usize, usize)> = DAYS.iter().map(|(day, _)| play(*day)).collect();
    let wanted: Vec<(u64, usize, usize)> = DAYS.iter().map(|(_, wanted)| *wanted).collect();
    assert_eq!(played, wanted);
}
