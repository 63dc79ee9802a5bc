//! What a request costs while others are held, counted in searches for a server.

mod common;

use amberspindle::api::*;
use common::*;

const SEATED: usize = 2;

/// Why no held session finds a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    LinksFull,
    Packed,
    NoSeat,
}

/// Long deadlines, and one class with a seat a title.
fn long() -> Settings {
    let mut s = settings();
    let mut seated = Class::new(ms(600_000), ms(600_000), Idempotency::Safe);
    seated.seats = Some(1);
    for class in &mut s.classes {
        (class.slo, class.deadline) = (ms(600_000), ms(600_000));
    }
    s.classes.push(seated);
    (s.link_unit_kb, s.rack_kb) = (1e7, 1e8);
    s
}

fn ask(front: &mut ModuleHarness, id: u64, class: usize, title: &str, home: u32) -> Vec<Action> {
    let mut request = front.request(id, class, title);
    request.due = front.now + ms(600_000);
    (request.home, request.copies) = (home, 2);
    front.tell(Event::Request(request))
}

/// A front with so many sessions held; cells 4 and 5 have room.
fn front(held: Held, titles: u64, size: u64) -> ModuleHarness {
    let mut front = ModuleHarness::new(long(), 6);
    let class = if held == Held::NoSeat { SEATED } else { CLIP };
    let seats = if held == Held::NoSeat { titles } else { 0 };
    for id in 0..seats {
        assert_eq!(sends(&ask(&mut front, id, class, &format!("t{id}"), (id % 3) as u32)).len(), 1);
    }
    for n in 0..4 {
        match held {
            Held::LinksFull => front.note(u64::MAX, &server(n), Note::Link(3.0)),
            Held::Packed => front.outcome(u64::MAX, &server(n), Status::Saturated, true),
            Held::NoSeat => Vec::new(),
        };
    }
    for id in seats..seats + size {
        let title = id % titles;
        let out = ask(&mut front, id, class, &format!("t{title}"), (title % 3) as u32);
        assert!(sends(&out).is_empty(), "{held:?}");
    }
    front
}

/// Searches that one request made which is held too, and one that is sent at once.
fn searches(held: Held, titles: u64, size: u64) -> [u64; 2] {
    let mut front = front(held, titles, size);
    let before = front.brain.search_count();
    let class = if held == Held::NoSeat { SEATED } else { CLIP };
    assert!(sends(&ask(&mut front, 1_000_000, class, "t0", 0)).is_empty());
    let between = front.brain.search_count();
    assert_eq!(sends(&ask(&mut front, 1_000_001, CLIP, "roomy", 4)).len(), 1);
    [between - before, front.brain.search_count() - between]
}

#[test]
fn a_requests_work_does_not_grow_with_the_number_held() {
    for held in [Held::LinksFull, Held::Packed, Held::NoSeat] {
        for many in [false, true] {
            let titles = |size: u64| if many { size } else { 3 };
            let (few, lots) = (searches(held, titles(12), 12), searches(held, titles(400), 400));
            assert_eq!(few, lots, "{held:?}, many titles: {many}");
            assert!(lots.iter().all(|n| *n <= 10), "{held:?}: {lots:?} searches");
        }
    }
}

#[test]
fn a_look_searches_once_for_all_that_can_find_nothing() {
    let mut front = front(Held::Packed, 3000, 3000);
    let before = front.brain.search_count();
    front.tell(Event::Timer(0));
    assert!(front.brain.search_count() - before <= 10);
}

/// Of many that could find room by their constraints, but do not, a request tries a bounded number; the newcomer
/// waits for the look then, and does not overtake them.
#[test]
fn a_request_tries_a_bounded_number_in_vain() {
    let mut settings = long();
    // A stream that runs at a server between its limits for streams and for newcomers draws its title there.
    settings.classes[LIVE].floor = Rung(3);
    (settings.link_unit_kb, settings.rack_kb) = (1e9, 1e11);
    let mut front = ModuleHarness::new(settings, 1);
    let drawn = 300;
    for id in 0..drawn {
        assert_eq!(sends(&ask(&mut front, id, LIVE, &format!("t{id}"), 0)).len(), 1);
    }
    front.note(u64::MAX, &server(0), Note::Link(0.98));
    for id in 0..drawn {
        assert!(sends(&ask(&mut front, 10_000 + id, LIVE, &format!("t{id}"), 0)).is_empty());
    }
    front.list((0..2).map(|n| ServerEntry::new(server(n), ServerState::Ready, 0)).collect());
    let before = front.brain.search_count();
    assert!(sends(&ask(&mut front, 20_000, LIVE, "new", 0)).is_empty(), "it overtook");
    let searches = front.brain.search_count() - before;
    assert!((200..=260).contains(&searches), "{searches} searches for one request");
    front.pass(ms(100));
    assert_eq!(
        front.out.iter().filter(|a| matches!(a, Action::Send { id, .. } if id.0 == 20_000)).count(),
        1
    );
}
