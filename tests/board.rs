//! The client of the notice board without its socket: which events count as applied.

mod support;

use amberspindle::api::Micros;
use amberspindle::board::{BoardClient, BoardError};
use amberspindle::roster::{ListUpdate, SettingNames};
use serde_json::{Value, json};

/// Returns an event with one server.
fn event(number: u64, all: bool, state: &str) -> Value {
    let server =
        json!({"uid": format!("s-{number}"), "endpoint": "127.0.0.1:9", "pod_group": 0, "state": state});
    json!({"rev": number, "pool": {"rev": number, "all": all, "targets": [server]}})
}

/// Returns a client that has applied the first event.
fn board() -> BoardClient {
    let known = json!({"rev": 1, "notices": [event(1, true, "in_service")]});
    let (board, updates) = BoardClient::new(SettingNames::default(), &known);
    assert_eq!((updates.len(), board.last_event()), (1, 1));
    board
}

/// Reconnects and receives a response with this body.
fn receive(board: &mut BoardClient, body: &str) -> (Vec<String>, Result<(), BoardError>) {
    let request = String::from_utf8(board.request(Micros(0), "h")).unwrap();
    assert!(request.contains(&format!("Last-Event-ID: {}\r\n", board.last_event())));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n";
    let mut updates = Vec::new();
    let read = board.receive(Micros(0), format!("{head}{body}").as_bytes(), &mut updates);
    let ids = |n: &ListUpdate| n.servers.iter().map(|s| s.entry.id.to_string()).collect::<Vec<_>>().join(",");
    (updates.iter().map(ids).collect(), read)
}

fn line(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["rev"])
}

/// Guards against an event that counts as applied before it could be read, so that its change is lost for good.
#[test]
fn requests_a_malformed_event_again() {
    let mut board = board();
    let good = line(&event(2, false, "in_service"));
    for malformed in [
        "id: 2\ndata: {\"rev\":2,\"pool\":{\"targets\":[\n\n".to_owned(),
        "id: 2\ndata: {\"rev\":2}\n\n".to_owned(),
        line(&event(2, false, "dancing")),
    ] {
        let (updates, read) =
            receive(&mut board, &format!("{malformed}{}", line(&event(3, false, "in_service"))));
        assert_eq!(
            (updates.len(), read, board.last_event()),
            (0, Err(BoardError::Unreadable), 1),
            "{malformed}"
        );
    }
    // An event that is cut off is ignored, and those before it are applied.
    let cut = line(&event(3, false, "terminating"));
    let (updates, read) = receive(&mut board, &format!("{good}{}", &cut[..cut.len() / 2]));
    assert_eq!((updates, read, board.last_event()), (vec!["s-2".to_owned()], Ok(()), 2));
}

/// Guards against an event that is lost because a later one arrived first, and against one that is applied twice.
#[test]
fn requests_a_missing_event_and_ignores_a_duplicate() {
    let mut board = board();
    let [two, three, complete] =
        [event(2, false, "in_service"), event(3, false, "in_service"), event(9, true, "in_service")];
    let (updates, read) = receive(&mut board, &line(&three));
    assert_eq!((updates.len(), read, board.last_event()), (0, Err(BoardError::Gap), 1));
    let body = [line(&two), line(&two), line(&three), line(&two)].concat();
    assert_eq!(receive(&mut board, &body), (vec!["s-2".to_owned(), "s-3".to_owned()], Ok(())));
    // A complete list replaces the missed events.
    assert_eq!(receive(&mut board, &line(&complete)), (vec!["s-9".to_owned()], Ok(())));
    assert_eq!(board.last_event(), 9);
}

/// Guards against a list that is never updated again because a board keeps sending a malformed event.
#[test]
fn skips_a_malformed_event_after_repeated_requests() {
    let mut board = board();
    let body = [line(&event(2, false, "dancing")), line(&event(5, false, "in_service"))].concat();
    let tries = (1..10).find(|_| receive(&mut board, &body).1.is_ok());
    assert!(tries.is_some_and(|n| n > 2), "{tries:?}");
    assert_eq!(board.last_event(), 5);
}

#[test]
fn new_configuration_neither_reverts_the_list_nor_skips_an_event() {
    let mut board = board();
    let [old, next, far] =
        [event(1, true, "terminated"), event(2, false, "in_service"), event(4, false, "in_service")];
    let known = |events: &[&Value]| json!({"rev": 4, "notices": events});
    assert!(board.apply_known(&known(&[&old])).is_empty());
    assert_eq!(board.apply_known(&known(&[&old, &next, &far])).len(), 1);
    assert_eq!(board.last_event(), 2);
}
