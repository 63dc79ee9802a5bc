//! The conformance suite against this broker, before media servers and before the platform's edge servers; and that
//! it can fail.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};

use amberspindle_conformance::cases::{CASES, Endpoint};
use amberspindle_conformance::media::{Does, Media};
use amberspindle_conformance::report::{Format, Report};
use support::*;

fn endpoint(program: &Program) -> Endpoint {
    Endpoint { address: program.fronts["http"], path: "/whep/guide".into() }
}

fn gateway(media: &Media) -> Program {
    let text = format!(
        "[whip]\nlisten = \"127.0.0.1:0\"\n[[whip.ice_server]]\nurl = \"stun:stun.example.net\"\n\
         [[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n\
         [[server]]\nid = \"m\"\nurl = \"{}\"\ncell = 0\n",
        media.url()
    );
    Program::operator(&text, 60_000.0, &[], &["http"])
}

#[test]
fn every_case_passes_before_a_media_server() {
    let media = Media::start(Does::Answers);
    let program = gateway(&media);
    let report = Report::run(&endpoint(&program), "");
    assert_eq!(
        (report.count("passed"), report.cases.len()),
        (CASES.len(), CASES.len()),
        "{}",
        report.write(Format::Text)
    );
    // Whatever the cases made is ended.
    media.all_ended();
}

/// The platform's edge servers take no fragments: the broker says so, and the rest holds.
#[test]
fn no_case_fails_before_the_platforms_edge_servers() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::whip(&[&edge], 60_000.0, "");
    let report = Report::run(&endpoint(&program), "");
    assert_eq!(report.count("failed"), 0, "{}", report.write(Format::Text));
    let skipped: Vec<&str> = report.cases.iter().filter(|c| c.outcome == "skipped").map(|c| c.name).collect();
    assert_eq!(skipped, ["ice-servers-are-well-formed", "patch-of-candidates", "patch-restarts-ice"]);
}

/// A stand-in that gives the same answer to whatever it is asked.
fn always(answer: &'static str) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut bytes = [0; 65536];
                while let Ok(n) = stream.read(&mut bytes) {
                    if n == 0 || stream.write_all(answer.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    });
    Endpoint { address, path: "/whep/guide".into() }
}

/// The suite can fail, in each case.
#[test]
fn every_case_fails_before_a_stand_in_that_is_wrong() {
    let wrong = always("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let report = Report::run(&wrong, "");
    let fine: Vec<&str> = report.cases.iter().filter(|c| c.outcome != "failed").map(|c| c.name).collect();
    assert!(fine.is_empty(), "{fine:?}");
    // One that makes sessions and is wrong in all else fails what it should.
    let half = always("HTTP/1.1 201 Created\r\nLocation: /s/1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(Report::run(&half, "").count("passed"), 0);
}

#[test]
fn reports_come_in_three_forms() {
    let report = Report::run(&always("HTTP/1.1 405 x\r\nAllow: POST\r\nContent-Length: 0\r\n\r\n"), "get-is");
    assert_eq!(report.count("passed"), 1);
    assert!(report.write(Format::Text).ends_with("1 passed, 0 failed, 0 skipped"));
    let json: serde_json::Value = serde_json::from_str(&report.write(Format::Json)).unwrap();
    assert_eq!(json["cases"][0]["outcome"], "passed");
    assert!(report.write(Format::Junit).contains("<testcase name=\"get-is-not-allowed\""));
}
