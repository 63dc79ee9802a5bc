//! Watched titles of the WHIP front when the settings change at SIGHUP.

mod support;

use std::fs;
use std::process::Command;

use amberspindle::watch::seal::{self, Comment};
use amberspindle_conformance::media::{Does, Media};
use serde_json::{Value, json};
use support::*;

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\n";
const DEADLINE_MS: f64 = 5000.0;
const BOOKING: &str = "/whip/guide/bookings/b-1";

fn sealed_title(class: &str) -> Vec<u8> {
    let text = format!("[[title]]\nname = \"guide\"\nclass = \"{class}\"\nhome = 0\ncopies = 3\n");
    seal::close_all([(text.as_bytes(), Comment::Hash)]).remove(0)
}

struct Broker {
    program: Program,
    media: [Media; 3],
}

impl Broker {
    fn start() -> Broker {
        let media = [(); 3].map(|()| Media::start(Does::Breaks));
        let files = tempdir::Dir::new();
        fs::write(files.0.join("titles.toml"), sealed_title("clip")).unwrap();
        let path = files.0.join("operator.toml");
        fs::write(&path, operator(&media, &settings(DEADLINE_MS))).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").arg("--config").arg(path);
        Broker { program: Program::start(command, files, &["http"]), media }
    }

    /// Writes the operator's file with new settings, and has it read.
    fn reload(&self, settings: &Value) {
        let path = self.program.files.0.join("operator.toml");
        fs::write(path, operator(&self.media, settings)).unwrap();
        self.program.hang_up();
        self.program.wait_for_log("reloaded");
    }

    fn attempts(&self) -> usize {
        self.media.iter().map(Media::posts).sum()
    }
}

fn operator(media: &[Media], settings: &Value) -> String {
    let mut text = "[whip]\nlisten = \"127.0.0.1:0\"\n[watch]\ntitles = \"titles.toml\"\n\
         notify = false\npoll_ms = 50\n"
        .to_owned();
    for (cell, media) in media.iter().enumerate() {
        text += &format!("[[server]]\nid = \"m-{cell}\"\nurl = \"{}\"\ncell = {cell}\n", media.url());
    }
    format!("{text}\n{}", toml::to_string(&json!({"settings": settings})).unwrap())
}

/// Guards against a paid session that is set up twice: a watched title kept the class of before SIGHUP, so its requests
/// were still repeated at another server after an answer that broke off (review/7).
#[test]
fn watched_title_follows_its_class_to_a_stricter_one() {
    let broker = Broker::start();
    let mut stricter = settings(DEADLINE_MS);
    stricter["RequestClasses"][1]["Effect"] = json!("non_idempotent");
    broker.reload(&stricter);
    assert_eq!(ask(&broker.program, "POST", "/whip/guide", Some(OFFER)).status, 400, "it wants a booking");
    assert_eq!(ask(&broker.program, "POST", BOOKING, Some(OFFER)).status, 502);
    assert_eq!(broker.attempts(), 1, "the first attempt may have run");
}

/// The reverse: what became free again is not asked for a booking, and is tried at other servers.
#[test]
fn watched_title_follows_its_class_there_and_back() {
    let broker = Broker::start();
    let mut stricter = settings(DEADLINE_MS);
    stricter["RequestClasses"][1]["Effect"] = json!("non_idempotent");
    broker.reload(&stricter);
    broker.program.hang_up();
    broker.program.wait_for_nth_log("reloaded", 1);
    fs::write(broker.program.files.0.join("operator.toml"), operator(&broker.media, &settings(DEADLINE_MS)))
        .unwrap();
    broker.program.hang_up();
    broker.program.wait_for_nth_log("reloaded", 2);
    assert_eq!(ask(&broker.program, "POST", BOOKING, Some(OFFER)).status, 404, "it takes no booking");
    ask(&broker.program, "POST", "/whip/guide", Some(OFFER));
    assert!(broker.attempts() > 1, "a free set-up is tried again");
}

/// Guards against titles that are judged by the settings of the start: a class that SIGHUP brought was unknown to them,
/// and their file was turned down until the next start.
#[test]
fn watched_title_may_name_a_class_that_a_reload_brought() {
    let broker = Broker::start();
    let mut more = settings(DEADLINE_MS);
    let mut class = more["RequestClasses"][0].clone();
    class["Name"] = json!("tour");
    more["RequestClasses"].as_array_mut().unwrap().push(class);
    broker.reload(&more);
    let path = broker.program.files.0.join("titles.toml");
    let alone = starting();
    fs::write(path.with_extension("new"), sealed_title("tour")).unwrap();
    fs::rename(path.with_extension("new"), path).unwrap();
    drop(alone);
    broker.program.wait_for_nth_log("titles.taken", 1);
    assert_eq!(ask(&broker.program, "POST", "/whip/guide", Some(OFFER)).status, 400, "the new class is paid");
}
