//! What a request, an outcome and a look cost the decision module while other sessions are held.
//! `cargo bench --bench held [-- FILTER]`; sizes are numbers of held sessions.

use std::cell::RefCell;

use amberspindle::api::*;
use amberspindle::brain::Brain;
use divan::Bencher;

/// Numbers of sessions held beforehand.
const SIZES: [u64; 3] = [10, 1_000, 100_000];
/// Cells whose servers take nothing; one more cell has room.
const CLOSED_CELLS: u32 = 8;
const SERVERS_PER_CELL: u32 = 4;
const NOW: Micros = Micros(1_000_000_000);
/// Nothing is held for its part of this, and nothing is due.
const LONG: Micros = Micros(1_000_000_000_000);

fn main() {
    divan::main();
}

/// Why sessions are held.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Held {
    /// The links of all holders are full.
    Full,
    /// All holders turned a set-up away a moment ago.
    Packed,
}

/// What the held sessions want to watch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Titles {
    One,
    Many,
}

struct Front {
    brain: Brain,
    out: Vec<Action>,
    next: u64,
    titles: Titles,
}

fn settings() -> Settings {
    let mut settings = Settings::new(vec![200.0, 400.0, 800.0], vec![0.3, 0.6, 1.0]);
    (settings.cells, settings.racks) = (CLOSED_CELLS + 1, CLOSED_CELLS + 1);
    (settings.link_unit_kb, settings.rack_kb) = (1e6, 1e7);
    settings.kind_streams = vec![1_000_000];
    settings.max_attempts = 4;
    settings.uplink_reported = true;
    settings.classes = vec![Class::new(LONG, LONG, Idempotency::Safe)];
    settings
}

fn server(n: u32) -> ServerId {
    ServerId::new(&format!("box-{n:03}"))
}

impl Front {
    /// A front with so many sessions held.
    fn new(held: Held, titles: Titles, size: u64) -> RefCell<Front> {
        let brain = Brain::new(settings(), 1);
        let mut front = Front { brain, out: Vec::new(), next: 0, titles };
        let servers = (0..(CLOSED_CELLS + 1) * SERVERS_PER_CELL)
            .map(|n| ServerEntry::new(server(n), ServerState::Ready, n / SERVERS_PER_CELL))
            .collect();
        front.tell(Event::ServerList { kind: ListKind::Complete, servers });
        (0..CLOSED_CELLS * SERVERS_PER_CELL).for_each(|n| front.close(held, n));
        (0..size).for_each(|_| {
            front.ask_in_vain();
        });
        RefCell::new(front)
    }

    fn tell(&mut self, event: Event) -> usize {
        self.out.clear();
        self.brain.handle(NOW, event, &mut self.out);
        self.out.iter().filter(|action| matches!(action, Action::Send { .. })).count()
    }

    fn close(&mut self, held: Held, n: u32) {
        let (id, server) = (SessionId(u64::MAX), server(n));
        match held {
            Held::Full => self.tell(Event::Note { id, server, note: Note::Link(3.0) }),
            Held::Packed => self.outcome(id, server, Status::Saturated, true),
        };
    }

    fn outcome(&mut self, id: SessionId, server: ServerId, status: Status, closed: bool) -> usize {
        let (attempt, took, load) = (0, Micros(1000), Load::default());
        self.tell(Event::Outcome { id, attempt, server, status, took, closed, load })
    }

    fn request(&mut self, title: &str, home: u32) -> SessionId {
        let id = SessionId(self.next);
        self.next += 1;
        let mut request = Request::new(id, Text::from(title), NOW + LONG, 1, 2);
        request.home = home;
        self.tell(Event::Request(request));
        id
    }

    /// A request that is held.
    fn ask_in_vain(&mut self) -> SessionId {
        let n = if self.titles == Titles::One { 0 } else { self.next };
        self.request(&format!("title-{n}"), (n % u64::from(CLOSED_CELLS)) as u32)
    }

    /// A request that is sent at once; gives the server.
    fn ask(&mut self) -> (SessionId, ServerId) {
        let id = self.request("roomy", CLOSED_CELLS);
        (id, self.sent_to())
    }

    fn sent_to(&self) -> ServerId {
        let to = self.out.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        });
        to.expect("sent at once")
    }
}

/// A request that is held too, and its viewer's leaving.
fn held_request(bencher: Bencher, held: Held, titles: Titles, size: u64) {
    let front = Front::new(held, titles, size);
    bencher.bench_local(|| {
        let mut front = front.borrow_mut();
        let id = front.ask_in_vain();
        front.tell(Event::ViewerLeft(id))
    });
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn held_request_links_full_one_title(bencher: Bencher, size: u64) {
    held_request(bencher, Held::Full, Titles::One, size);
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn held_request_links_full_many_titles(bencher: Bencher, size: u64) {
    held_request(bencher, Held::Full, Titles::Many, size);
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn held_request_packed_one_title(bencher: Bencher, size: u64) {
    held_request(bencher, Held::Packed, Titles::One, size);
}

#[divan::bench(args = SIZES, sample_count = 20)]
fn held_request_packed_many_titles(bencher: Bencher, size: u64) {
    held_request(bencher, Held::Packed, Titles::Many, size);
}

/// A request that is sent at once past the held ones, and the end of its session.
#[divan::bench(args = SIZES, sample_count = 20)]
fn sent_request_many_titles(bencher: Bencher, size: u64) {
    let front = Front::new(Held::Full, Titles::Many, size);
    bencher.bench_local(|| {
        let mut front = front.borrow_mut();
        let (id, to) = front.ask();
        front.outcome(id, to, Status::Completed, true)
    });
}

/// The outcome of an attempt whose session is sent elsewhere; the request before is not counted.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 8)]
fn outcome_and_next_attempt(bencher: Bencher, size: u64) {
    let front = Front::new(Held::Full, Titles::Many, size);
    let sent_again = RefCell::new(Vec::<(SessionId, ServerId)>::new());
    let ask = || {
        let mut front = front.borrow_mut();
        for (id, to) in sent_again.take() {
            front.outcome(id, to, Status::Completed, true);
        }
        front.ask()
    };
    bencher.with_inputs(ask).bench_local_values(|(id, to)| {
        let mut front = front.borrow_mut();
        assert_eq!(front.outcome(id, to, Status::Cancelled, false), 1);
        sent_again.borrow_mut().push((id, front.sent_to()));
    });
}

/// A look that finds no server for any held session.
#[divan::bench(args = SIZES, sample_count = 5, sample_size = 1)]
fn look_packed_one_title(bencher: Bencher, size: u64) {
    let front = Front::new(Held::Packed, Titles::One, size);
    bencher.bench_local(|| front.borrow_mut().tell(Event::Timer(0)));
}

/// The same, each session with a title of its own.
#[divan::bench(args = SIZES, sample_count = 5, sample_size = 1)]
fn look_packed_many_titles(bencher: Bencher, size: u64) {
    let front = Front::new(Held::Packed, Titles::Many, size);
    bencher.bench_local(|| front.borrow_mut().tell(Event::Timer(0)));
}
