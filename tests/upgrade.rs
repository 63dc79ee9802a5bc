//! Two processes of one broker under load: a new version takes over from an old one on an inherited listening
//! socket, with faults between them.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::process::Stdio;

use amberspindle::api::SessionId;
use serde_json::{Value, json};
use support::versions::*;
use support::*;

#[test]
fn what_plays_passes_over_and_what_is_out_is_answered_by_the_old_process() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Answers));
    let old = platform.serving(&[&edge]);
    let mut first = plays(&platform, 1);
    edge.set_behaviour(EdgeBehaviour::Silent);
    let mut stream = platform.connect();
    send_set_up(&mut stream, 2, "paid", 50_000, "offer");
    let mut paid = BufReader::new(stream);
    edge.wait_for_set_up(2);
    let new = platform.serving(&[&edge]);
    old.wait_for_log("yields");
    assert_eq!(new.call("check\n"), "SUCCESS ready\n");
    assert_eq!(old.call("check\n"), "FAILURE another process serves\n");
    // The connection that nothing is set up on ends, and the set-up that is out is answered once, where it was asked.
    assert_eq!(hear(&mut first), Value::Null);
    edge.send_answer(SessionId(2));
    assert_eq!(hear(&mut paid)["type"], "answer");
    assert_eq!(hear(&mut paid), Value::Null);
    // Nobody waits there any more: it leaves, and cuts nothing.
    assert!(old.ended_well());
    edge.set_behaviour(EdgeBehaviour::Answers);
    let mut lines = plays(&platform, 3);
    edge.send_on_connection_of(SessionId(3), release(SessionId(1), 16));
    assert_eq!(hear(&mut lines)["id"], "0000000000000001", "its end is told by the new process");
    say(lines.get_mut(), &json!({"type": "release", "id": "0000000000000002", "fields": {}, "cause": 16}));
    edge.released(SessionId(2), 1);
    assert_eq!(edge.ran().len(), 3, "each ran once");
}

/// Guards against a broker that nobody serves, and a paid set-up that is made again, when a new version dies.
#[test]
fn the_old_process_serves_again_when_the_new_one_is_killed() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Silent));
    let old = platform.serving(&[&edge]);
    let mut stream = platform.connect();
    send_set_up(&mut stream, 1, "paid", 50_000, "offer");
    edge.wait_for_set_up(1);
    for n in 0..3 {
        let new = platform.serving(&[&edge]);
        old.wait_for_nth_log("yields", 0);
        drop(new.killed());
        old.wait_for_nth_log("serves again", n);
        assert_eq!(old.call("check\n"), "SUCCESS ready\n");
    }
    edge.send_answer(SessionId(1));
    assert_eq!(hear(&mut BufReader::new(stream))["type"], "answer");
    edge.set_behaviour(EdgeBehaviour::Answers);
    plays(&platform, 2);
    assert_eq!(edge.ran().len(), 2);
}

/// The old process is stopped through the hand-over: the new one serves beside it, and is given what stands once the
/// old one goes on.
#[test]
fn a_stopped_old_process_is_not_waited_for_and_yields_when_it_goes_on() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Answers));
    let old = platform.serving(&[&edge]);
    let first = plays(&platform, 1);
    old.signal("-STOP");
    let new = platform.serving(&[&edge]);
    assert_eq!(new.call("check\n"), "SUCCESS ready\n");
    old.signal("-CONT");
    old.wait_for_log("yields");
    assert!(old.ended_well());
    drop(first);
    let mut lines = plays(&platform, 2);
    edge.send_on_connection_of(SessionId(2), release(SessionId(1), 16));
    assert_eq!(hear(&mut lines)["id"], "0000000000000001");
}

#[test]
fn three_versions_in_a_row_lose_nothing() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Answers));
    let mut versions = vec![platform.serving(&[&edge])];
    for id in 1..=3 {
        plays(&platform, id);
        versions.push(platform.version(&[&edge]));
    }
    let last = versions.pop().unwrap();
    for old in versions {
        assert!(old.ended_well());
    }
    assert_eq!(last.call("check\n"), "SUCCESS ready\n");
    let mut lines = plays(&platform, 4);
    for id in 1..=3 {
        edge.send_on_connection_of(SessionId(4), release(SessionId(id), 16));
        assert_eq!(hear(&mut lines)["id"], format!("{id:016x}"));
    }
    assert_eq!(edge.ran().len(), 4);
}

#[test]
fn sigterm_at_the_old_process_with_a_paid_set_up_out_loses_neither() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Silent));
    let old = platform.serving(&[&edge]);
    let mut stream = platform.connect();
    send_set_up(&mut stream, 1, "paid", 50_000, "offer");
    edge.wait_for_set_up(1);
    let new = platform.serving(&[&edge]);
    old.wait_for_log("yields");
    old.terminate();
    old.wait_for_log("stopping");
    edge.send_answer(SessionId(1));
    let mut lines = BufReader::new(stream);
    assert_eq!(hear(&mut lines)["type"], "answer");
    assert!(old.ended_well());
    let mut stream = platform.connect();
    say(&mut stream, &json!({"type": "release", "id": "0000000000000001", "fields": {}, "cause": 16}));
    edge.released(SessionId(1), 1);
    assert_eq!(edge.ran().len(), 1);
    drop(new);
}

/// What a crashed process left behind, a stranger's file, and a stranger that talks nonsense keep nobody from serving.
#[test]
fn stale_files_and_strangers_at_the_meeting_point() {
    let (platform, edge) = (Platform::new(), Edge::start(EdgeBehaviour::Answers));
    let crashed = platform.serving(&[&edge]);
    drop(crashed.killed());
    let second = platform.serving(&[&edge]);
    let place = platform.meeting_point();
    let mut stranger = std::os::unix::net::UnixStream::connect(&place).unwrap();
    stranger.write_all(b"{\"say\":\"leave\"}\n{\"say\":\"left\",\"id\":1}\nnonsense\n").unwrap();
    stranger.write_all(b"{\"say\":\"take_over\",\"version\":1,\"started\":18000000000000000000}\n").unwrap();
    drop(stranger);
    second.wait_for_log("peer=\"new process\"");
    assert_eq!(second.call("check\n"), "SUCCESS ready\n");
    drop(second.killed());
    std::fs::remove_file(&place).unwrap();
    std::fs::write(&place, "not a socket").unwrap();
    let third = platform.serving(&[&edge]);
    assert_eq!(third.call("check\n"), "SUCCESS ready\n");
    plays(&platform, 1);
}

#[test]
fn a_descriptor_that_is_no_listening_socket_is_a_clear_error() {
    let platform = Platform::new();
    let connected = TcpStream::connect(platform.socket.local_addr().unwrap()).unwrap();
    let connected = Stdio::from(OwnedFd::from(connected));
    for (socket, number, told) in [
        (Stdio::null(), "0", "LB_SOCKET_FD: descriptor 0: not a socket"),
        (connected, "0", "LB_SOCKET_FD: descriptor 0: not a listening socket"),
        (Stdio::null(), "97", "LB_SOCKET_FD: descriptor 97: "),
        (Stdio::null(), "five", "LB_SOCKET_FD: not a descriptor's number"),
    ] {
        let files = tempdir::Dir::new();
        let mut command = platform.command(&[], &files, socket);
        let out = command.env("LB_SOCKET_FD", number).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        assert!(!out.status.success() && text.contains(told), "{told}: {text}");
    }
}
