//! The notice board without its socket: what counts as heard.

mod support;

use amberspindle::api::Micros;
use amberspindle::board::{BoardClient, BoardError};
use amberspindle::roster::{ListUpdate, SettingNames};
use serde_json::{Value, json};

/// An event that tells of one server.
fn event(number: u64, all: bool, state: &str) -> Value {
    let server =
        json!({"uid": format!("s-{number}"), "endpoint": "127.0.0.1:9", "pod_group": 0, "state": state});
    json!({"rev": number, "pool": {"rev": number, "all": all, "targets": [server]}})
}

/// A board that has heard the first event.
fn board() -> BoardClient {
    let known = json!({"rev": 1, "notices": [event(1, true, "in_service")]});
    let (board, news) = BoardClient::new(SettingNames::default(), &known);
    assert_eq!((news.len(), board.last_event()), (1, 1));
    board
}

/// Asks the board anew and lets it say so much.
fn hear(board: &mut BoardClient, body: &str) -> (Vec<String>, Result<(), BoardError>) {
    let asked = String::from_utf8(board.request(Micros(0), "h")).unwrap();
    assert!(asked.contains(&format!("Last-Event-ID: {}\r\n", board.last_event())));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n";
    let mut news = Vec::new();
    let read = board.receive(Micros(0), format!("{head}{body}").as_bytes(), &mut news);
    let named =
        |n: &ListUpdate| n.servers.iter().map(|s| s.entry.id.to_string()).collect::<Vec<_>>().join(",");
    (news.iter().map(named).collect(), read)
}

fn line(event: &Value) -> String {
    format!("id: {}\ndata: {event}\n\n", event["rev"])
}

/// Guards against an event that counts as heard before it could be read: its change was lost for good.
#[test]
fn a_broken_event_is_asked_for_again() {
    let mut board = board();
    let good = line(&event(2, false, "in_service"));
    for broken in [
        "id: 2\ndata: {\"rev\":2,\"pool\":{\"targets\":[\n\n".to_owned(),
        "id: 2\ndata: {\"rev\":2}\n\n".to_owned(),
        line(&event(2, false, "dancing")),
    ] {
        let (news, read) = hear(&mut board, &format!("{broken}{}", line(&event(3, false, "in_service"))));
        assert_eq!((news.len(), read, board.last_event()), (0, Err(BoardError::Unreadable), 1), "{broken}");
    }
    // One that breaks off in its middle says nothing, and what came before it counts.
    let cut = line(&event(3, false, "terminating"));
    let (news, read) = hear(&mut board, &format!("{good}{}", &cut[..cut.len() / 2]));
    assert_eq!((news, read, board.last_event()), (vec!["s-2".to_owned()], Ok(()), 2));
}

/// Guards against an event that is never heard as a later one came first, and against one that is heard twice.
#[test]
fn a_missing_event_is_asked_for_and_a_second_copy_is_no_news() {
    let mut board = board();
    let [two, three, whole] =
        [event(2, false, "in_service"), event(3, false, "in_service"), event(9, true, "in_service")];
    let (news, read) = hear(&mut board, &line(&three));
    assert_eq!((news.len(), read, board.last_event()), (0, Err(BoardError::Gap), 1));
    let body = [line(&two), line(&two), line(&three), line(&two)].concat();
    assert_eq!(hear(&mut board, &body), (vec!["s-2".to_owned(), "s-3".to_owned()], Ok(())));
    // A whole list makes up for what was missed.
    assert_eq!(hear(&mut board, &line(&whole)), (vec!["s-9".to_owned()], Ok(())));
    assert_eq!(board.last_event(), 9);
}

/// Guards against a list that stands still for good, where a board never says better.
#[test]
fn a_board_that_stays_broken_is_taken_at_its_word_in_the_end() {
    let mut board = board();
    let body = [line(&event(2, false, "dancing")), line(&event(5, false, "in_service"))].concat();
    let tries = (1..10).find(|_| hear(&mut board, &body).1.is_ok());
    assert!(tries.is_some_and(|n| n > 2), "{tries:?}");
    assert_eq!(board.last_event(), 5);
}

#[test]
fn a_new_configuration_never_winds_the_list_back_or_leaps_over_an_event() {
    let mut board = board();
    let [old, next, far] =
        [event(1, true, "terminated"), event(2, false, "in_service"), event(4, false, "in_service")];
    let known = |events: &[&Value]| json!({"rev": 4, "notices": events});
    assert!(board.apply_known(&known(&[&old])).is_empty());
    assert_eq!(board.apply_known(&known(&[&old, &next, &far])).len(), 1);
    assert_eq!(board.last_event(), 2);
}
