//! Uplinks of racks without reports: how a module handles servers that deliver less than requested although
//! their links have room.

mod common;

use amberspindle::api::*;
use common::*;

/// The number of sessions, all at servers of one rack.
const SESSION_COUNT: u64 = 9;

/// Returns a module with playing sessions in a rack whose uplink is not reported, and the server of each
/// session.
fn module_with_playing_sessions() -> (ModuleHarness, Vec<(u64, ServerId)>) {
    let mut settings = settings();
    (settings.uplink_reported, settings.racks, settings.rack_kb) = (false, 1, 24_000.0);
    let mut module = ModuleHarness::new(settings, 6);
    let placed = (1..=SESSION_COUNT).map(|id| (id, module.play(id, CLIP, &format!("title-{id}")))).collect();
    // The minimum time between two rung changes passes.
    module.pass(ms(11_000));
    (module, placed)
}

/// Reports for one second that all servers deliver only a share of the requested rate.
fn report_shortfall_for_one_second(
    module: &mut ModuleHarness,
    placed: &[(u64, ServerId)],
    share: f64,
) -> Vec<(SessionId, Rung)> {
    let mut changed = Vec::new();
    for (id, server) in placed {
        changed.extend(rates(&module.note(*id, server, Note::Delivered(share))));
    }
    changed.extend(rates(&module.pass(ms(1000))));
    changed
}

fn report_links(
    module: &mut ModuleHarness,
    placed: &[(u64, ServerId)],
    utilization: f64,
) -> Vec<(SessionId, Rung)> {
    placed.iter().flat_map(|(id, server)| rates(&module.note(*id, server, Note::Link(utilization)))).collect()
}

#[test]
fn cuts_rungs_on_short_uplink_although_links_report_room() {
    let (mut module, placed) = module_with_playing_sessions();
    report_links(&mut module, &placed, 0.75);
    let mut cut = Vec::new();
    for _ in 0..4 {
        cut.extend(report_shortfall_for_one_second(&mut module, &placed, 0.7));
    }
    assert!(!cut.is_empty(), "no session is cut in a rack that delivers 70%");
    module.pass(ms(10_000));
    // The links have room as before; the uplink has none.
    for _ in 0..4 {
        report_shortfall_for_one_second(&mut module, &placed, 0.9);
    }
    let raised = report_links(&mut module, &placed, 0.75);
    assert_eq!(raised, [], "raised although the uplink is short");
}

#[test]
fn raises_rungs_again_after_uplink_recovers() {
    let (mut module, placed) = module_with_playing_sessions();
    report_links(&mut module, &placed, 0.75);
    for _ in 0..6 {
        report_shortfall_for_one_second(&mut module, &placed, 0.5);
    }
    module.pass(ms(60_000));
    assert_ne!(report_links(&mut module, &placed, 0.2), [], "not raised after a minute without a shortfall");
}

#[test]
fn attributes_shortfall_to_full_link_instead_of_uplink() {
    let (mut module, placed) = module_with_playing_sessions();
    let (first, server) = placed[0].clone();
    report_links(&mut module, &placed, 0.3);
    module.note(first, &server, Note::Link(1.4));
    for _ in 0..4 {
        module.note(first, &server, Note::Delivered(0.7));
        module.pass(ms(1000));
    }
    let others: Vec<_> = placed.iter().filter(|(_, at)| *at != server).cloned().collect();
    module.pass(ms(10_000));
    assert_ne!(
        report_links(&mut module, &others, 0.3),
        [],
        "not raised at other servers of the rack, which have room"
    );
}

#[test]
fn keeps_rungs_at_rack_when_only_one_server_is_short() {
    let (mut module, placed) = module_with_playing_sessions();
    let (first, server) = placed[0].clone();
    let elsewhere: Vec<SessionId> =
        placed.iter().filter(|(_, at)| *at != server).map(|(id, _)| SessionId(*id)).collect();
    report_links(&mut module, &placed, 0.3);
    let mut changed = Vec::new();
    for _ in 0..10 {
        // A recent note shows each time that its link has room.
        module.note(first, &server, Note::Link(0.3));
        changed.extend(rates(&module.note(first, &server, Note::Delivered(0.6))));
        module.pass(ms(1000));
    }
    changed.retain(|(id, _)| elsewhere.contains(id));
    assert_eq!(changed, [], "cut at servers that deliver the full rate");
}
