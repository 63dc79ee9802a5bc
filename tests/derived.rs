//! Bounds that follow from the settings and the limits: sessions by the thousand on one connection, deadlines longer than
//! any pause of a client, a herd that waits to be accepted when the program ends.

mod support;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use amberspindle::api::SessionId;
use rustix::net::{AddressFamily, SocketType, connect, socket, sockopt};
use serde_json::{Value, json};
use support::crossing::*;
use support::*;

const UNREACHED_DEADLINE_MS: f64 = 60_000.0;
/// Sessions on one connection: their ends take more bytes than one connection could keep waiting before.
const MANY: u64 = 5_000;

/// Names sessions 1 to [`MANY`] that play at `s-0`.
fn name_sessions(client: &mut TcpStream) {
    let fields = json!({"class": "clip", "left": 0, "key": "k", "extras": "home:0;copies:1;top:1;at:s-0"});
    let mut lines = String::new();
    for id in 1..=MANY {
        lines += &format!("{}\n", json!({"type": "setup", "id": format!("{id:016x}"), "fields": fields}));
    }
    client.write_all(lines.as_bytes()).unwrap();
}

/// Two servers in two cells, and a board that can take one away.
fn started(first: &Edge, second: &Edge) -> (Program, NoticeBoard) {
    let board = NoticeBoard::start();
    let both = [("s-0", first.address, 0, "in_service"), ("s-1", second.address, 1, "in_service")];
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "known": known_from_event(&event(1, true, &both)),
        "board": board.address.to_string()});
    let program = Program::platform_with_config(&[], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    board.wait_for_request(1);
    (program, board)
}

/// Takes the first server off the list. A board that says nothing for a while is asked anew, and what it says in between
/// reaches nobody: it says so until it is heard.
fn end_first(program: &Program, board: &NoticeBoard, first: &Edge) {
    let heard = || program.log.0.lock().unwrap().iter().any(|line| line.contains("generation=2"));
    while !heard() {
        board.tell(&event(2, false, &[("s-0", first.address, 0, "terminated")]));
        pass(50);
    }
}

/// Hears the ends of all the sessions that were named, and whatever else comes before the last of them.
fn hear_ends(client: &mut TcpStream) {
    let mut over = BTreeSet::new();
    while over.len() < MANY as usize {
        let heard = line(client).expect("the connection stays");
        assert_eq!(heard["type"], "release", "{heard}");
        assert!(over.insert(heard["id"].to_string()), "one end each");
    }
}

/// Seen to fail before: what was queued for the connection in one step passed 128 KiB, which was taken for a client that
/// does not read; it was cut, and the request that waited there was lost.
#[test]
fn the_end_of_thousands_of_sessions_costs_no_request_on_their_connection() {
    let (first, second) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Silent));
    let (program, board) = started(&first, &second);
    let mut client = program.connect("viewer");
    name_sessions(&mut client);
    send_set_up_for_cell(&mut client, MANY + 1, 1, "waits");
    assert_eq!(second.wait_for_set_up(1), SessionId(MANY + 1));
    end_first(&program, &board, &first);
    hear_ends(&mut client);
    second.send_answer(SessionId(MANY + 1));
    assert_eq!(final_answer(&mut client, MANY + 1).unwrap()["type"], "answer");
}

/// Seen to fail before: 4,096 releases were kept whatever the memory, and the connection that they went out on was cut.
#[test]
fn the_ends_of_thousands_of_sessions_wait_for_the_next_connection() {
    let (first, second) = (Edge::start(EdgeBehaviour::Answers), Edge::start(EdgeBehaviour::Answers));
    let (program, board) = started(&first, &second);
    let mut client = program.connect("viewer");
    name_sessions(&mut client);
    client.write_all(ping().as_bytes()).unwrap();
    assert_eq!(line(&mut client).unwrap()["type"], "pong", "all were read");
    drop(client);
    program.wait_for_log("peer=viewer");
    end_first(&program, &board, &first);
    let mut next = program.connect("viewer");
    send_set_up_for_cell(&mut next, MANY + 1, 1, "next");
    hear_ends(&mut next);
    assert_eq!(final_answer(&mut next, MANY + 1).unwrap()["type"], "answer");
}

/// A client that has room for a few kilobytes of what it has not read.
fn narrow_client(at: SocketAddr) -> TcpStream {
    let client = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&client, 4096).unwrap();
    connect(&client, &at).unwrap();
    let client = TcpStream::from(client);
    client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    client
}

/// Seen to fail before: a client that took nothing for 2 s was let go whatever the deadlines, and what it waited for was
/// lost with the connection.
#[test]
fn a_client_that_stands_still_for_less_than_its_deadline_has_its_answer() {
    const PINGS: usize = 60_000;
    let edge = Edge::start(EdgeBehaviour::Answers);
    let more = json!({"settings": settings_with_spare_uplink(10_000.0)});
    let program = Program::platform_with_config(&[&edge], 10_000.0, &more, &["viewer"]);
    let mut client = narrow_client(program.fronts["viewer"]);
    client.write_all(ping().repeat(PINGS).as_bytes()).unwrap();
    send_set_up(&mut client, 1, "clip", 10_000, "waits");
    edge.wait_for_set_up(1);
    pass(3_500);
    assert_eq!(final_answer(&mut client, 1).expect("the connection stays")["type"], "answer");
}

/// Seen to fail before: 64 were taken beyond what there was room for, and the others were reset.
#[test]
fn a_herd_that_waits_to_be_accepted_at_the_end_is_answered_as_room_comes() {
    let edge = Edge::start(EdgeBehaviour::Silent);
    let limits = json!({"sockets": 64, "memory_mb": 192});
    let more = json!({"console": "127.0.0.1:0", "settings": settings_with_spare_uplink(UNREACHED_DEADLINE_MS), "limits": limits});
    let program =
        Program::platform_with_config(&[&edge], UNREACHED_DEADLINE_MS, &more, &["viewer", "console"]);
    let come = |ids: std::ops::RangeInclusive<u64>| -> Vec<(u64, TcpStream)> {
        let ask = |id| {
            let mut client = program.connect("viewer");
            send_set_up(&mut client, id, "clip", 50_000, "waits");
            (id, client)
        };
        ids.map(ask).collect()
    };
    // All the room for clients is taken by those that wait for their answers.
    let early = come(1..=32);
    edge.wait_for_set_up(32);
    program.terminate();
    program.wait_for_log("stopping");
    let herd = program.while_stopped(|| {
        let herd = come(33..=132);
        // The time for which connections keep coming is over.
        pass(900);
        herd
    });
    edge.set_behaviour(EdgeBehaviour::Answers);
    (1..=32).for_each(|id| edge.send_answer(SessionId(id)));
    let clients = early.into_iter().chain(herd);
    let heard = clients.filter_map(|(id, mut client)| final_answer(&mut client, id)).count();
    assert_eq!(heard, 132, "so many were answered");
}

/// Seen to fail before: the name of a class that went was forgotten after 2 s, while who had asked under it still waited.
#[test]
fn the_name_of_a_class_that_went_is_known_for_as_long_as_its_viewers_wait() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let class =
        |name: &str| json!({"Name": name, "Slo": 3_000.0, "Deadline": 10_000.0, "Effect": "read_like"});
    let mut settings = settings_with_spare_uplink(10_000.0);
    settings["RequestClasses"] = json!([class("clip"), class("trailer")]);
    let mut written: Value = config(&[&edge], 10_000.0);
    written["settings"] = settings;
    let files = tempdir::Dir::new();
    let command = Program::command(&files, &written, &[]);
    let program = Program::start(command, files, &["viewer"]);
    written["settings"]["RequestClasses"] = json!([class("clip")]);
    program.files.write("config.json", &written.to_string());
    program.hang_up();
    program.wait_for_log("reloaded");
    pass(3_000);
    let mut client = program.connect("viewer");
    send_set_up(&mut client, 1, "trailer", 7_000, "late");
    assert_eq!(final_answer(&mut client, 1).unwrap()["type"], "answer");
}
