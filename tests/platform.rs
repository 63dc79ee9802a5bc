//! The platform's front over sockets, and the command line.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;

use amberspindle::api::SessionId;
use amberspindle::message::binary::{Builder, code};
use amberspindle::message::{Kind, cause};
use amberspindle::trace::Record;
use serde_json::{Value, json};
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;

struct Viewer {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Viewer {
    fn new(program: &Program) -> Viewer {
        let stream = program.connect("viewer");
        Viewer { lines: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    fn say(&mut self, value: Value) {
        self.stream.write_all(format!("{value}\n").as_bytes()).unwrap();
    }

    fn set_up(&mut self, id: &str, class: &str, more: &str) {
        let extras = format!("home:0;copies:3;top:1;viewer:00000000b4d65521{more}");
        self.say(json!({"type": "setup", "id": id, "sdp": "offer", "later": 1, "fields":
            {"class": class, "left": 50000, "tenant": "home", "key": "7f3a", "extras": extras, "new": "x"}}));
    }

    /// The next line, or none at the end of the connection.
    fn hear(&mut self) -> Option<Value> {
        let mut line = String::new();
        let n = self.lines.read_line(&mut line).unwrap();
        (n > 0).then(|| serde_json::from_str(&line).unwrap())
    }
}

fn id(text: &str) -> SessionId {
    SessionId(u64::from_str_radix(text, 16).unwrap())
}

const A: &str = "9b1f03aa5c7e2d41";
const B: &str = "9b1f03aa5c7e2d42";

#[test]
fn each_step_of_a_request_is_told_where_that_is_asked_for() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let told = |program: &Program| -> Vec<&'static str> {
        let log = program.log.0.lock().unwrap();
        log.iter().filter_map(|line| Record::read(line)).map(|r| r.event.name()).collect()
    };
    let program = Program::platform_with_options(&[&edge], UNREACHED_DEADLINE_MS, &["--trace", "100"]);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "paid", "");
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    viewer.say(json!({"type": "release", "id": A, "fields": {}, "cause": 34}));
    program.wait_for_log("session.released");
    let steps = [
        "session.asked",
        "session.sent",
        "link.dial",
        "session.plays",
        "reply.queued",
        "reply.written",
        "session.over",
        "session.released",
    ];
    assert_eq!(told(&program), steps);

    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "paid", "");
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    assert!(
        !program
            .log
            .0
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains("session.") || line.contains("reply."))
    );
}

#[test]
fn a_session_stands_plays_and_ends() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    viewer.say(json!({"type": "ping", "id": B, "fields": {}, "cause": 0}));
    assert_eq!(viewer.hear().unwrap(), json!({"type": "pong", "id": B, "fields": {}, "cause": 1}));
    viewer.set_up(A, "paid", "");
    let answer = json!({"type": "answer", "id": A, "fields": {}, "sdp": edge_answer(id(A), "offer")});
    assert_eq!(viewer.hear().unwrap(), answer);
    edge.say(release(id(A), cause::NORMAL));
    assert_eq!(viewer.hear().unwrap(), json!({"type": "release", "id": A, "fields": {}, "cause": 16}));
    // One that its viewer ends, on another connection, is cut at the server.
    viewer.set_up(B, "clip", ";again:1");
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    Viewer::new(&program).say(json!({"type": "release", "id": B, "fields": {}, "cause": 16}));
    edge.released(id(B), 1);
}

#[test]
fn a_session_handed_over_is_attended_and_its_end_passed_on() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "clip", ";at:s-0");
    // The broker opens a connection for the server's news; a set-up shows that it is up.
    viewer.set_up(B, "clip", "");
    assert_eq!(viewer.hear().unwrap()["id"], B);
    let tier = Builder::new(Kind::Note, id(A)).with(code::NOTE, b"tier").with(code::FIGURE, b"1");
    edge.say(tier);
    edge.say(release(id(A), cause::RESET));
    assert_eq!(viewer.hear().unwrap(), json!({"type": "release", "id": A, "fields": {}, "cause": 41}));
}

#[test]
fn refusals_and_failures_have_their_causes() {
    let edge = Edge::start(EdgeBehaviour::Fails);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "paid", "");
    assert_eq!(viewer.hear().unwrap()["cause"], 47, "it may have run");
    let nowhere = Program::platform(&[], 300.0);
    let mut viewer = Viewer::new(&nowhere);
    viewer.say(json!({"type": "setup", "id": A, "sdp": "offer", "fields":
        {"class": "paid", "left": "300", "key": "k", "extras": "home:0;copies:3;top:1"}}));
    assert_eq!(viewer.hear().unwrap()["cause"], 42, "nothing ran");
}

#[test]
fn a_connection_that_makes_no_sense_ends_with_its_code_and_the_process_goes_on() {
    let program = Program::platform(&[], UNREACHED_DEADLINE_MS);
    for (bytes, reason) in [
        (&b"hello\n"[..], "bad-json"),
        (b"{\"type\":\"dance\",\"id\":\"9b1f03aa5c7e2d41\"}\n", "unknown-type"),
        (b"{\"type\":\"ping\",\"id\":\"9b\"}\n", "bad-id"),
        (b"{\"type\":\"setup\",\"id\":\"9b1f03aa5c7e2d41\",\"fields\":[]}\n", "bad-field"),
        (&[b'x'; 17_000], "too-large"),
    ] {
        let mut stream = program.connect("viewer");
        let _ = stream.write_all(bytes);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.is_empty());
        program.wait_for_log(&format!("reason={reason}"));
    }
    let mut viewer = Viewer::new(&program);
    viewer.say(json!({"type": "ping", "id": B, "fields": {}}));
    assert_eq!(viewer.hear().unwrap()["type"], "pong");
}

/// Guards against a close that resets the connection and with it what was written before: unread input does.
#[test]
fn an_answer_survives_the_close_that_follows_it() {
    let program = Program::platform(&[], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    let mut sender = viewer.stream.try_clone().unwrap();
    let ping = json!({"type": "ping", "id": B, "fields": {}}).to_string();
    sender.write_all(&[ping.as_bytes(), b"\n", &vec![b'x'; 256 * 1024]].concat()).unwrap();
    sender.shutdown(Shutdown::Write).unwrap();
    assert_eq!(viewer.hear().unwrap()["type"], "pong");
    assert!(viewer.hear().is_none(), "ended, not reset");
}

#[test]
fn what_was_taken_is_answered_after_sigterm() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let program = Program::platform(&[&edge], UNREACHED_DEADLINE_MS);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "paid", "");
    edge.wait_for_set_up(1);
    let mut late = Viewer::new(&program);
    program.terminate();
    program.wait_for_log("stopping");
    // Requests keep coming for a while, and tests tell clients to go elsewhere.
    late.say(json!({"type": "ping", "id": B, "fields": {}}));
    assert_eq!(late.hear().unwrap()["cause"], 0);
    edge.send_answer(id(A));
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    edge.say(release(id(A), cause::NORMAL));
    assert_eq!(viewer.hear().unwrap()["type"], "release");
    assert!(program.ended_well());
}

/// A stand-in notice board.
struct Board(TcpListener);

impl Board {
    fn new() -> Board {
        Board(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// A configuration that names it, with the events of the start.
    fn config(&self, known: &Value) -> String {
        let board = self.0.local_addr().unwrap().to_string();
        json!({"name": "n1", "listen": "127.0.0.1:0", "board": board, "known": known, "settings": settings(UNREACHED_DEADLINE_MS)})
            .to_string()
    }

    fn start(&self, known: &Value) -> Program {
        let files = tempdir::Dir::new();
        let path = files.write("board.json", &self.config(known));
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").env("LB_CONFIG", path).env_remove("LB_LISTEN").env_remove("LB_NAME");
        Program::start(command, files, &["viewer"])
    }

    /// The next time it is asked: the connection, and the number of the last event that was heard.
    fn asked(&self) -> (TcpStream, u64) {
        let (stream, _) = self.0.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let lines = BufReader::new(stream.try_clone().unwrap()).lines();
        let head: Vec<String> = lines.map_while(Result::ok).take_while(|l| !l.is_empty()).collect();
        assert!(head[0].starts_with("GET /board/poll "), "{head:?}");
        let last = head.iter().find_map(|l| l.strip_prefix("Last-Event-ID: ")).unwrap();
        (stream, last.parse().unwrap())
    }

    fn answer(stream: &mut TcpStream, body: &str) {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n{body}")
            .unwrap();
    }
}

/// A board that breaks off is asked anew, from the last event that was heard.
#[test]
fn the_board_is_followed_and_asked_anew_after_a_break() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let board = Board::new();
    let program = board.start(&json!({"rev": 4, "notices": []}));
    let (mut first, last) = board.asked();
    assert_eq!(last, 4);
    let mut event = known(&[&edge])["notices"][0].clone();
    event["rev"] = json!(5);
    Board::answer(&mut first, &format!("id: 5\ndata: {event}\n\n"));
    drop(first);
    assert_eq!(board.asked().1, 5);
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "clip", "");
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
}

/// Guards against SIGHUP ending the broker, against a bad file taking the place of a good one, against a list
/// that is wound back, and against a reload that touches what waits or plays or that is lost in another one.
#[test]
fn a_new_configuration_is_taken_in_while_all_goes_on() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let (board, next) = (Board::new(), Board::new());
    let program = board.start(&known(&[&edge]));
    let _first = board.asked();
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "paid", "");
    edge.wait_for_set_up(1);
    program.files.write("board.json", "{");
    program.hang_up();
    program.wait_for_log("reload refused problem=LB_CONFIG");
    // The new file tells the list anew under the old number, without the server: that is no news.
    let mut wound = known(&[]);
    wound["notices"][0]["rev"] = json!(1);
    program.files.write("board.json", &next.config(&wound));
    program.hang_up();
    let (_second, last) = next.asked();
    assert_eq!(last, 1, "asked at once, from where the list stands");
    program.wait_for_log("reason=moved last=1");
    edge.send_answer(id(A));
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    // A set-up after it, and a reload while the program stops.
    viewer.set_up(B, "clip", "");
    edge.wait_for_set_up(2);
    program.terminate();
    program.wait_for_log("stopping");
    program.files.write("board.json", &board.config(&wound));
    program.hang_up();
    assert_eq!(board.asked().1, 1);
    edge.send_answer(id(B));
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    edge.say(release(id(A), cause::NORMAL));
    edge.say(release(id(B), cause::NORMAL));
    assert!(program.ended_well());
}

/// A fixed list in an operator's file is taken as a whole when it has changed.
#[test]
fn a_fixed_list_is_taken_in_anew() {
    let (old, new) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers));
    let text = |edge: &Edge| {
        let settings = toml::to_string(&json!({"settings": settings(UNREACHED_DEADLINE_MS)})).unwrap();
        let address = edge.address;
        format!(
            "[platform]\nlisten = \"127.0.0.1:0\"\n[[server]]\nid = \"s-{}\"\naddress = \"{address}\"\ncell = 0\n{settings}",
            address.port()
        )
    };
    let files = tempdir::Dir::new();
    let path = files.write("operator.toml", &text(&old));
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.arg("serve").arg("--config").arg(path);
    let program = Program::start(command, files, &["viewer"]);
    program.files.write("operator.toml", &text(&new));
    program.hang_up();
    program.wait_for_log("reloaded");
    let mut viewer = Viewer::new(&program);
    viewer.set_up(A, "clip", "");
    assert_eq!(viewer.hear().unwrap()["type"], "answer");
    assert_eq!((old.set_ups().len(), new.set_ups().len()), (0, 1));
}

fn run(arguments: &[&str], config: Option<&str>) -> (bool, String) {
    let files = tempdir::Dir::new();
    let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
    command.args(arguments).env_remove("LB_CONFIG").env_remove("LB_LISTEN").env_remove("LB_NAME");
    if let Some(text) = config {
        command.env("LB_CONFIG", files.write("config.json", text));
    }
    let output = command.output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn the_command_line_names_what_it_can_not_do() {
    assert!(run(&["version"], None).1.starts_with("amberspindle "));
    assert!(run(&["help"], None).1.contains("Usage:"));
    let (fine, text) = run(&["dance"], None);
    assert!(!fine && text.contains("dance"));
    let (fine, text) = run(&["check", "--confg", "x"], None);
    assert!(!fine && text.contains("--confg"));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.toml");
    assert!(run(&["check", "--config", example], None).0);
}

#[test]
fn a_bad_configuration_ends_with_one_line_that_names_the_field() {
    let whole = json!({"name": "n", "listen": "127.0.0.1:0", "settings": settings(UNREACHED_DEADLINE_MS)});
    let with = |path: &str, value: Value| {
        let mut config = whole.clone();
        *config.pointer_mut(path).unwrap() = value;
        config.to_string()
    };
    let cases = [
        (None, "LB_CONFIG"),
        (Some("{".to_owned()), "LB_CONFIG"),
        (Some(with("/listen", json!("here"))), "listen"),
        (Some(with("/settings", json!(null))), "settings"),
        (Some(with("/settings/Instances", json!(0))), "settings.Instances"),
        (Some(with("/settings/FamilyInfo/LadderKb", json!([]))), "settings.FamilyInfo.LadderKb"),
    ];
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = json!(taken.local_addr().unwrap().to_string());
    let (fine, text) = run(&["serve"], Some(&with("/listen", address)));
    assert!(!fine && text.contains("listen:") && text.lines().count() == 1, "{text}");
    for (config, field) in cases {
        for command in ["check", "serve"] {
            let (fine, text) = run(&[command], config.as_deref());
            assert!(!fine);
            assert_eq!(text.lines().count(), 1, "{text}");
            assert!(text.contains(&format!("{field}:")), "{text}");
        }
    }
}
