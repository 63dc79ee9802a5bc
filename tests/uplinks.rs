//! Uplinks of racks that no report tells of: what a front makes of servers that deliver short though their links have room.

mod common;

use amberspindle::api::*;
use common::*;

/// Sessions of the front, all at servers of one rack.
const SESSIONS: u64 = 9;

/// A front whose rack's uplink is told by nobody, with sessions that play there; where the first of them plays.
fn playing() -> (ModuleHarness, Vec<(u64, ServerId)>) {
    let mut settings = settings();
    (settings.uplink_reported, settings.racks, settings.rack_kb) = (false, 1, 24_000.0);
    let mut front = ModuleHarness::new(settings, 6);
    let placed = (1..=SESSIONS).map(|id| (id, front.play(id, CLIP, &format!("title-{id}")))).collect();
    // The least time between two changes of a rung passes.
    front.pass(ms(11_000));
    (front, placed)
}

/// One second in which all servers tell that they deliver only a share of what is asked.
fn second_of_shortage(
    front: &mut ModuleHarness,
    placed: &[(u64, ServerId)],
    share: f64,
) -> Vec<(SessionId, Rung)> {
    let mut changed = Vec::new();
    for (id, server) in placed {
        changed.extend(rates(&front.note(*id, server, Note::Delivered(share))));
    }
    changed.extend(rates(&front.pass(ms(1000))));
    changed
}

fn links_told(front: &mut ModuleHarness, placed: &[(u64, ServerId)], full: f64) -> Vec<(SessionId, Rung)> {
    placed.iter().flat_map(|(id, server)| rates(&front.note(*id, server, Note::Link(full)))).collect()
}

#[test]
fn a_short_uplink_has_sessions_cut_and_link_notes_do_not_raise_them_again() {
    let (mut front, placed) = playing();
    links_told(&mut front, &placed, 0.75);
    let mut cut = Vec::new();
    for _ in 0..4 {
        cut.extend(second_of_shortage(&mut front, &placed, 0.7));
    }
    assert!(!cut.is_empty(), "a rack that delivers 70% asks for less");
    front.pass(ms(10_000));
    // The links have room, as before: it is the uplink that has none.
    for _ in 0..4 {
        second_of_shortage(&mut front, &placed, 0.9);
    }
    let raised = links_told(&mut front, &placed, 0.75);
    assert_eq!(raised, [], "raised into an uplink that is short");
}

#[test]
fn an_uplink_that_is_short_no_more_is_used_again() {
    let (mut front, placed) = playing();
    links_told(&mut front, &placed, 0.75);
    for _ in 0..6 {
        second_of_shortage(&mut front, &placed, 0.5);
    }
    front.pass(ms(60_000));
    assert_ne!(links_told(&mut front, &placed, 0.2), [], "a minute without a shortfall");
}

#[test]
fn a_shortfall_that_the_link_explains_says_nothing_of_the_uplink() {
    let (mut front, placed) = playing();
    let (first, server) = placed[0].clone();
    links_told(&mut front, &placed, 0.3);
    front.note(first, &server, Note::Link(1.4));
    for _ in 0..4 {
        front.note(first, &server, Note::Delivered(0.7));
        front.pass(ms(1000));
    }
    let others: Vec<_> = placed.iter().filter(|(_, at)| *at != server).cloned().collect();
    front.pass(ms(10_000));
    assert_ne!(links_told(&mut front, &others, 0.3), [], "the rack's other servers have room");
}

#[test]
fn a_server_that_is_short_alone_costs_the_rest_of_its_rack_nothing() {
    let (mut front, placed) = playing();
    let (first, server) = placed[0].clone();
    let elsewhere: Vec<SessionId> =
        placed.iter().filter(|(_, at)| *at != server).map(|(id, _)| SessionId(*id)).collect();
    links_told(&mut front, &placed, 0.3);
    let mut changed = Vec::new();
    for _ in 0..10 {
        // Its link has room by a fresh note each time.
        front.note(first, &server, Note::Link(0.3));
        changed.extend(rates(&front.note(first, &server, Note::Delivered(0.6))));
        front.pass(ms(1000));
    }
    changed.retain(|(id, _)| elsewhere.contains(id));
    assert_eq!(changed, [], "sessions at servers that deliver all are cut");
}
