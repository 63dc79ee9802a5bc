use super::*;
use crate::api::Settings;

/// Guards against sessions that are never ended at a machine that vanished: where servers send no notes, only
/// the silence reveals it.
#[test]
fn silent_server_is_lost_when_servers_write_no_notes() {
    let (second, start) = (Micros(1_000_000), Micros(1_000_000_000));
    let settings = Settings::new(vec![1.0], vec![1.0]);
    let mut links = Links::new(Timings::new(&settings, Micros(0), Micros(250_000)));
    let (server, mut out) = (ServerId::new("s"), Vec::new());
    links.listed(&server, ([127, 0, 0, 1], 1).into(), ServerState::Ready, &mut out);
    links.ensure_connected(start, &server, &mut out);
    let Some(Command::Dial(conn, _)) = out.first() else { panic!("{out:?}") };
    links.opened(start, *conn, &mut Vec::new());
    let silent = |links: &Links, now| links.silent_servers(now, [server.clone()].into_iter());
    assert!(silent(&links, start + second).is_empty());
    let late = start + Micros(7 * second.0);
    assert_eq!(silent(&links, late), std::slice::from_ref(&server));
    out.clear();
    assert!(links.check_server(late, &server, &mut out));
    let Some(Command::Dial(tried, _)) = out.first() else { panic!("{out:?}") };
    let lost = links.closed(late + Micros(250_000), *tried, &ConnectionEnd::NoAnswer).unwrap();
    assert_eq!(lost.server_status, ServerStatus::Lost);
}
