use proptest::prelude::*;

use super::*;
use crate::api::{Micros, Request, Rung, ServerEntry, ServerId, ServerState, SessionId, Status, Text};
use crate::log;

/// Returns the log line of an event in a format.
fn log_line(format: log::Format, event: &Event) -> String {
    let sink = log::MemoryLog::default();
    log::with_output_to(format, sink.clone(), || event.write(1_700_000_000_123_456));
    sink.text()
}

fn sample_events(text: &str, n: u64) -> Vec<Event> {
    let (w, id) = (text.to_owned(), format!("{n:016x}"));
    vec![
        Event::Asked {
            id: id.clone(),
            class: w.clone(),
            tenant: w.clone(),
            title: w.clone(),
            left_ms: n,
            again: true,
        },
        Event::Sent {
            id: id.clone(),
            attempt: n,
            server: w.clone(),
            zone: 2,
            rung: 3,
            top: 5,
            held_ms: n,
            heard_ms: -1,
            up_ms: 7,
        },
        Event::Turned { id: id.clone(), server: w.clone(), how: w.clone(), took_ms: n },
        Event::Plays { id: id.clone(), server: w.clone(), attempts: 1, took_ms: n },
        Event::Refused { id: id.clone(), reason: w.clone(), attempts: 4, took_ms: n, wait_ms: 500 },
        Event::Failed { id: id.clone(), reason: w.clone(), attempts: 4, took_ms: n },
        Event::Opened { id: id.clone(), title: w.clone(), server: w.clone() },
        Event::Released { id: id.clone(), server: w.clone() },
        Event::Withdrawn { id: id.clone(), server: w.clone() },
        Event::ReplyQueued { id: id.clone(), conn: n },
        Event::ReplyWritten { id: id.clone(), conn: n },
        Event::ReplyDropped { id: id.clone() },
        Event::Rung { id: id.clone(), server: w.clone(), from: 2, rung: 1 },
        Event::Over { id, how: w.clone() },
        Event::Dial { server: w.clone(), why: w.clone() },
        Event::Told { server: w.clone(), what: w, mille: n },
        Event::Dropped { lines: n, sessions: n },
    ]
}

#[test]
fn parses_each_event_from_both_formats_with_any_prefix() {
    for event in sample_events("s-1f\"a b\n\u{7f}\\x=", 77) {
        for format in [log::Format::Text, log::Format::Json] {
            let line = log_line(format, &event);
            let content = line.strip_suffix('\n').unwrap_or(&line);
            assert!(!content.contains('\n'), "{content}");
            let read = Record::read(content);
            assert_eq!(read.as_ref().map(|r| &r.event), Some(&event), "{content}");
            assert_eq!(read.map(|r| r.at_us), Some(1_700_000_000_123_456));
            assert_eq!(Record::read(&format!("12.345 {content}")).map(|r| r.event), Some(event.clone()));
        }
    }
    assert_eq!(sample_events("", 0).len(), Event::NAMES.len());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::with_cases(200) })]

    #[test]
    fn parses_any_text_in_events_and_accepts_any_line(text in ".{0,12}", n in any::<u64>(), noise in ".{0,80}") {
        for event in sample_events(&text, n) {
            for format in [log::Format::Text, log::Format::Json] {
                let line = log_line(format, &event);
                prop_assert_eq!(Record::read(line.trim_end_matches('\n')).map(|r| r.event), Some(event.clone()), "{}", line);
                let cut = line.char_indices().map(|(i, _)| i).nth(n as usize % line.chars().count()).unwrap_or(0);
                let _ = Record::read(&line[..cut]);
            }
        }
        prop_assert_eq!(Record::read(&noise).is_some(), false);
    }
}

fn request(n: u64) -> Request {
    Request::new(SessionId(n), Text::from("t"), Micros(9_000_000), 1, 4)
}

#[test]
fn traces_a_session_from_its_request_to_its_end() {
    let (mut tracer, at) = (Tracer::new(100), |ms: u64| Micros(1_000_000 + ms * 1000));
    let mut entry = ServerEntry::new(ServerId::new("s"), ServerState::Ready, 0);
    entry.up_since = Some(at(0));
    tracer.update_servers(&[entry]);
    tracer.server_heard(at(2), &ServerId::new("s"));
    tracer.request_received(at(5), &request(1), ("live", Rung(9)), "acme");
    tracer.set_up_sent(at(6), SessionId(1), &ServerId::new("s"), Some(Rung(2)));
    tracer.attempt_ended(at(9), SessionId(1), Status::Saturated);
    tracer.set_up_sent(at(9), SessionId(1), &ServerId::new("other"), None);
    tracer.session_established(at(40), SessionId(1));
    // The rung of the set-up is not traced as a change.
    tracer.rung_changed(at(41), SessionId(1), Rung(1));
    tracer.session_ended(at(90), SessionId(1), Some(Status::Completed));
    let (id, s) = (format!("{:016x}", 1), "s".to_owned());
    let events: Vec<Event> = tracer.take_events().into_iter().map(|(_, e)| e).collect();
    let other = "other".to_owned();
    assert_eq!(
        events[1],
        Event::Sent {
            id: id.clone(),
            attempt: 0,
            server: s.clone(),
            zone: 0,
            rung: 2,
            top: 4,
            held_ms: 1,
            heard_ms: 4,
            up_ms: 6
        }
    );
    assert_eq!(events[2], Event::Turned { id: id.clone(), server: s, how: "full".into(), took_ms: 3 });
    assert_eq!(
        events[3],
        Event::Sent {
            id: id.clone(),
            attempt: 1,
            server: other.clone(),
            zone: 0,
            rung: 0,
            top: 4,
            held_ms: 4,
            heard_ms: -1,
            up_ms: -1
        }
    );
    assert_eq!(events[4], Event::Plays { id: id.clone(), server: other.clone(), attempts: 2, took_ms: 35 });
    assert_eq!(events[5], Event::Rung { id: id.clone(), server: other, from: 0, rung: 1 });
    assert_eq!(events[6], Event::Over { id, how: "completed".into() });
    assert_eq!(tracer.tracked_entries(), 1, "only the server is tracked");
}

#[test]
fn traces_a_crowd_within_its_budget_and_counts_what_is_left_out() {
    let mut tracer = Tracer::new(50);
    let mut events = Vec::new();
    for n in 0..10_000u64 {
        let now = Micros(1_000_000 + n * 1000);
        tracer.request_received(now, &request(n), ("c", Rung(9)), "t");
        tracer.set_up_sent(now, SessionId(n), &ServerId::new("s"), Some(Rung(0)));
        tracer.session_established(now, SessionId(n));
        tracer.session_ended(now, SessionId(n), None);
        events.extend(tracer.take_events());
    }
    // Ten seconds: the budget, the initial bucket, and a line a second on what was left out.
    assert!((400..=620).contains(&events.len()), "{}", events.len());
    let lines = |name: &str| events.iter().filter(|(_, e)| e.name() == name).count();
    assert_eq!(lines("session.asked"), lines("session.over"), "sessions are traced completely");
    let left_out: u64 =
        events.iter().map(|(_, e)| if let Event::Dropped { sessions, .. } = e { *sessions } else { 0 }).sum();
    assert!(left_out + lines("session.asked") as u64 >= 9_000, "{left_out}");
    assert_eq!(tracer.tracked_entries(), 0);
}
