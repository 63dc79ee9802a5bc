//! Set-ups at media servers that are withdrawn at the last check before their bytes leave.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

use amberspindle_conformance::media::{Does, Media};
use support::*;

const BOOKINGS: usize = 12;
const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

fn offer(booking: usize) -> String {
    format!("v=0\r\no=- {booking} 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n")
}

/// Guards against a paid session that is set up twice: the set-up was withdrawn, as its browser had dropped the
/// connection, and its booking was free again, but its bytes still left in the same turn (review/6).
#[test]
fn withdrawn_set_up_of_a_dropped_browser_is_not_written() {
    let media = [Media::start(Does::Answers), Media::start(Does::Answers), Media::start(Does::Answers)];
    let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n\
         [[title]]\nname = \"walk\"\nclass = \"paid\"\nhome = 0\ncopies = 3\n"
        .to_owned();
    for (cell, media) in media.iter().enumerate() {
        text += &format!("[[server]]\nid = \"m-{cell}\"\nurl = \"{}\"\ncell = {cell}\n", media.url());
    }
    let program = Program::operator(&text, UNREACHED_DEADLINE_MS, &[], &["http"]);
    for booking in 0..BOOKINGS {
        let path = format!("/whip/walk/bookings/b-{booking}");
        let mut browser = program.connect("http");
        browser.write_all(&http("POST", &path, Some(&offer(booking)))).unwrap();
        drop(browser);
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(ask(&program, "POST", &path, Some(&offer(booking))).status, 201);
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for media in &media {
        for (_, offer) in media.seen.0.lock().unwrap().posts.iter() {
            *runs.entry(offer.clone()).or_default() += 1;
        }
    }
    assert_eq!(runs, (0..BOOKINGS).map(|booking| (offer(booking), 1)).collect());
}
