//! Logs as they are found: cut at any byte, in both forms, among other lines, of many brokers.

use std::io::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output};

use amberspindle_fleetlog::read;

const TEXT: &str = "\
0.000 n7 listens on 127.10.0.10:3868 for viewer\n\
0.654 session.asked at_us=1000000 id=00000000000000aa class=live tenant=acme title=\"a b\" left_ms=1078 again=false\n\
0.654 session.sent at_us=1000100 id=00000000000000aa attempt=0 server=s-1 zone=0 rung=2 top=5 held_ms=0 heard_ms=-1 up_ms=-1\n\
0.654 link.dial at_us=1000100 server=s-1 why=set-up\n\
0.655 session.turned at_us=1001100 id=00000000000000aa server=s-1 how=full took_ms=1\n\
session.sent at_us=1001200 id=00000000000000aa attempt=1 server=s-2 zone=0 rung=1 top=5 held_ms=1 heard_ms=12 up_ms=3000\n\
session.plays at_us=1030000 id=00000000000000aa server=s-2 attempts=2 took_ms=30\n";
const JSON: &str = "\
{\"timestamp\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"event\":\"session.asked\",\"at_us\":2000000,\"id\":\"00000000000000bb\",\
\"class\":\"clip\",\"tenant\":\"acme\",\"title\":\"t\",\"left_ms\":900,\"again\":true}\n\
{\"timestamp\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"event\":\"session.refused\",\"at_us\":2100000,\"id\":\"00000000000000bb\",\
\"reason\":\"unsent\",\"attempts\":0,\"took_ms\":100,\"wait_ms\":500}\n\
{\"timestamp\":\"2026-01-01T00:00:00Z\",\"level\":\"INFO\",\"event\":\"trace.dropped\",\"at_us\":2200000,\"lines\":3,\"sessions\":2}\n";

fn folder(name: &str, files: &[(&str, &[u8])]) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fleetlog-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for (file, bytes) in files {
        std::fs::File::create(folder.join(file)).unwrap().write_all(bytes).unwrap();
    }
    folder
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_amberspindle-fleetlog")).args(arguments).output().unwrap()
}

fn said(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

#[test]
fn a_log_cut_at_any_byte_gives_just_the_records_whose_lines_are_whole() {
    for (log, other) in [(TEXT, 1), (JSON, 0)] {
        for cut in 0..=log.len() {
            let bytes = &log.as_bytes()[..cut];
            let whole = bytes.iter().filter(|b| **b == b'\n').count() as u64;
            let mut records = 0;
            let met = read::records(bytes, |_| records += 1).unwrap();
            assert_eq!(records, whole.saturating_sub(other), "cut at {cut}");
            assert_eq!(
                (met.unreadable, met.cut),
                (0, u64::from(!bytes.is_empty() && !bytes.ends_with(b"\n")))
            );
        }
    }
}

#[test]
fn lines_without_end_and_bytes_that_are_no_text_are_passed_over() {
    let mut log = vec![b'x'; 300_000];
    log.extend_from_slice(b"\n\xff\xfe at_us \xff\n");
    log.extend_from_slice(TEXT.as_bytes());
    let mut records = 0;
    let met = read::records(log.as_slice(), |_| records += 1).unwrap();
    assert_eq!((records, met.other, met.unreadable, met.cut), (6, 2, 1, 0));
}

#[test]
fn one_session_is_followed_through_all_brokers() {
    let more = b"session.over at_us=9000000 id=00000000000000aa how=completed\n";
    let folder =
        folder("follow", &[("n7.log", TEXT.as_bytes()), ("n8.log", more), ("n9.log", JSON.as_bytes())]);
    let (out, _) = said(&run(&["follow", "00000000000000AA", folder.to_str().unwrap()]));
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 6, "{out}");
    assert!(
        lines[0].contains("n7") && lines[0].contains("session.asked") && lines[0].contains("title=\"a b\"")
    );
    assert!(lines[5].contains("8.000") && lines[5].contains("n8") && lines[5].contains("how=completed"));
    let (_, problem) = said(&run(&["follow", "aa", folder.to_str().unwrap()]));
    assert!(problem.contains("ID: \"aa\" is no session id"), "{problem}");
    let nowhere = run(&["follow", "00000000000000cc", folder.to_str().unwrap()]);
    assert!(!nowhere.status.success() && said(&nowhere).1.contains("no broker tells of it"));
}

#[test]
fn each_table_comes_in_each_form() {
    let folder = folder("tables", &[("n7.log", TEXT.as_bytes()), ("n9.log", JSON.as_bytes())]);
    let folder = folder.to_str().unwrap();
    for by in ["second", "server", "zone", "title", "class", "tenant"] {
        for format in ["text", "csv", "json"] {
            let output = run(&["by", by, "--format", format, folder]);
            assert!(output.status.success() && !output.stdout.is_empty(), "{by} as {format}");
        }
    }
    let (out, problem) = said(&run(&["by", "server", "--format", "json", folder]));
    let rows: serde_json::Value = serde_json::from_str(&out).unwrap();
    let row = |name: &str| rows.as_array().unwrap().iter().find(|r| r["server"] == name).unwrap().clone();
    assert_eq!((&row("s-1")["full"], &row("s-1")["dial_set_up"]), (&1.into(), &1.into()));
    assert_eq!((&row("s-2")["plays"], &row("s-2")["cold"]), (&1.into(), &1.into()));
    assert!(problem.contains("left 2 sessions and 3 lines out"), "{problem}");
    let (out, _) = said(&run(&["by", "class", "--format", "csv", folder]));
    assert!(out.lines().any(|line| line.starts_with("clip,1,1,")), "{out}");
    let (out, _) = said(&run(&["summary", folder]));
    assert!(out.lines().any(|line| line.split_whitespace().eq(["refused_unsent", "1"])), "{out}");
}

#[test]
fn the_page_stands_alone() {
    let folder = folder("page", &[("n7.log", TEXT.as_bytes())]);
    let page = folder.join("fleet.page");
    let output = run(&["html", "--out", page.to_str().unwrap(), folder.join("n7.log").to_str().unwrap()]);
    assert!(output.status.success(), "{:?}", said(&output));
    let html = std::fs::read_to_string(page).unwrap();
    assert!(html.matches("<svg").count() == 5 && html.ends_with("</html>\n"));
    assert!(!html.contains("<script") && !html.contains("src="));
}

#[test]
fn what_has_no_records_says_how_to_get_some() {
    let folder = folder("none", &[("n1.log", b"n1 listens\n")]);
    let output = run(&["summary", folder.to_str().unwrap()]);
    assert!(!output.status.success() && said(&output).1.contains("serve --trace"));
    let output = run(&["summary", "/nowhere/at/all"]);
    assert!(!output.status.success() && said(&output).1.contains("/nowhere/at/all: "));
}
