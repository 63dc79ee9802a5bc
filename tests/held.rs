//! The cost of a request while others are held, counted in searches for a server.

mod common;

use amberspindle::api::*;
use common::*;

const SEATED: usize = 2;

/// Why no held session finds a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldReason {
    LinksFull,
    Saturated,
    NoSeat,
}

/// Returns settings with long deadlines and one class with one seat per title.
fn long_deadline_settings() -> Settings {
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

fn ask(module: &mut ModuleHarness, id: u64, class: usize, title: &str, home: u32) -> Vec<Action> {
    let mut request = module.request(id, class, title);
    request.due = module.now + ms(600_000);
    (request.home, request.copies) = (home, 2);
    module.tell(Event::Request(request))
}

/// Returns a module with `count` held sessions; cells 4 and 5 have room.
fn module_with_held(reason: HoldReason, titles: u64, count: u64) -> ModuleHarness {
    let mut module = ModuleHarness::new(long_deadline_settings(), 6);
    let class = if reason == HoldReason::NoSeat { SEATED } else { CLIP };
    let seats = if reason == HoldReason::NoSeat { titles } else { 0 };
    for id in 0..seats {
        assert_eq!(sends(&ask(&mut module, id, class, &format!("t{id}"), (id % 3) as u32)).len(), 1);
    }
    for n in 0..4 {
        match reason {
            HoldReason::LinksFull => module.note(u64::MAX, &server(n), Note::Link(3.0)),
            HoldReason::Saturated => module.outcome(u64::MAX, &server(n), Status::Saturated, true),
            HoldReason::NoSeat => Vec::new(),
        };
    }
    for id in seats..seats + count {
        let title = id % titles;
        let out = ask(&mut module, id, class, &format!("t{title}"), (title % 3) as u32);
        assert!(sends(&out).is_empty(), "{reason:?}");
    }
    module
}

/// Returns the searches for a request that is held too, and for one that is sent at once.
fn searches_of_requests(reason: HoldReason, titles: u64, count: u64) -> [u64; 2] {
    let mut module = module_with_held(reason, titles, count);
    let before = module.brain.search_count();
    let class = if reason == HoldReason::NoSeat { SEATED } else { CLIP };
    assert!(sends(&ask(&mut module, 1_000_000, class, "t0", 0)).is_empty());
    let between = module.brain.search_count();
    assert_eq!(sends(&ask(&mut module, 1_000_001, CLIP, "roomy", 4)).len(), 1);
    [between - before, module.brain.search_count() - between]
}

#[test]
fn request_cost_does_not_grow_with_number_of_held_sessions() {
    for reason in [HoldReason::LinksFull, HoldReason::Saturated, HoldReason::NoSeat] {
        for has_many_titles in [false, true] {
            let titles = |count: u64| if has_many_titles { count } else { 3 };
            let (few, many) = (
                searches_of_requests(reason, titles(12), 12),
                searches_of_requests(reason, titles(400), 400),
            );
            assert_eq!(few, many, "{reason:?}, many titles: {has_many_titles}");
            assert!(many.iter().all(|n| *n <= 10), "{reason:?}: {many:?} searches");
        }
    }
}

#[test]
fn periodic_check_searches_once_when_no_server_accepts_set_ups() {
    let mut module = module_with_held(HoldReason::Saturated, 3000, 3000);
    let before = module.brain.search_count();
    module.tell(Event::Timer(0));
    assert!(module.brain.search_count() - before <= 10);
}

/// Guards against a request that tries all of many held sessions which could find room by their constraints
/// but do not. It tries a bounded number; the new request then waits for the periodic check and does not
/// overtake them.
#[test]
fn request_makes_bounded_number_of_failed_searches() {
    let mut settings = long_deadline_settings();
    // A server whose utilization lies between the limits for streams and for new sessions attracts further
    // viewers of the streams that run there.
    settings.classes[LIVE].floor = Rung(3);
    (settings.link_unit_kb, settings.rack_kb) = (1e9, 1e11);
    let mut module = ModuleHarness::new(settings, 1);
    let session_count = 300;
    for id in 0..session_count {
        assert_eq!(sends(&ask(&mut module, id, LIVE, &format!("t{id}"), 0)).len(), 1);
    }
    module.note(u64::MAX, &server(0), Note::Link(0.98));
    for id in 0..session_count {
        assert!(sends(&ask(&mut module, 10_000 + id, LIVE, &format!("t{id}"), 0)).is_empty());
    }
    module.list((0..2).map(|n| ServerEntry::new(server(n), ServerState::Ready, 0)).collect());
    let before = module.brain.search_count();
    assert!(
        sends(&ask(&mut module, 20_000, LIVE, "new", 0)).is_empty(),
        "sent before sessions that were held earlier"
    );
    let searches = module.brain.search_count() - before;
    assert!((200..=260).contains(&searches), "{searches} searches for one request");
    module.pass(ms(100));
    assert_eq!(
        module.out.iter().filter(|a| matches!(a, Action::Send { id, .. } if id.0 == 20_000)).count(),
        1
    );
}
