//! Eureka's registry API, against a stand-in written from its public description; and the script hook.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{Receiver, Sender, channel};

use amberspindle::api::{ListKind, Micros, ServerState};
use amberspindle::eureka::{Call, Eureka, EurekaConfig, Registration};
use amberspindle::roster::SettingNames;
use serde_json::{Value, json};
use support::*;

fn setup(register: bool) -> EurekaConfig {
    let address = "127.0.0.1:8761".parse().unwrap();
    let own =
        Registration { app: "BROKER".into(), id: "n1:80".into(), address: "127.0.0.1:80".parse().unwrap() };
    let (fetch, beat) = (Micros(5_000_000), Micros(30_000_000));
    let path = "/eureka".to_owned();
    EurekaConfig { address, path, servers: "BOX".into(), register: register.then_some(own), fetch, beat }
}

fn registry(register: bool) -> Eureka {
    let names = SettingNames { kinds: vec!["small".into(), "big".into()], ..SettingNames::default() };
    Eureka::new(setup(register), names)
}

fn instance(id: &str, status: &str, port: u16) -> Value {
    json!({"instanceId": id, "hostName": "h", "app": "BOX", "ipAddr": "127.0.0.1", "status": status,
        "port": {"$": port, "@enabled": "true"}, "leaseInfo": {"serviceUpTimestamp": 1000},
        "metadata": {"cell": "2", "kind": "big", "weight": "1.5", "zone": "1"}})
}

fn apps(hash: &str, instances: &[Value]) -> Vec<u8> {
    // A single application comes as an object from some registries.
    json!({"applications": {"versions__delta": "1", "apps__hashcode": hash,
        "application": {"name": "BOX", "instance": instances}}})
    .to_string()
    .into_bytes()
}

const T: Micros = Micros(1_000_000_000);

#[test]
fn a_full_fetch_tells_state_cell_kind_weight_and_start() {
    let mut eureka = registry(false);
    assert_eq!(eureka.next(T), Ok(Call::Full));
    let list = [
        instance("a", "UP", 1),
        instance("b", "OUT_OF_SERVICE", 2),
        instance("c", "DOWN", 3),
        instance("d", "STARTING", 4),
        json!({"instanceId": "e", "status": "UP"}),
    ];
    let news = eureka.replied(T, Call::Full, Some((200, &apps("", &list)))).unwrap();
    assert_eq!(news.kind, ListKind::Complete);
    let states: Vec<ServerState> = news.servers.iter().map(|s| s.entry.state).collect();
    let drains = ServerState::Draining;
    assert_eq!(states, [ServerState::Ready, drains, ServerState::Gone, drains]);
    let a = &news.servers[0];
    assert_eq!((a.entry.cell, a.entry.kind, a.entry.weight, a.entry.zone), (2, 1, 1.5, 1));
    assert_eq!((a.entry.up_since, a.address.port()), (Some(Micros(1_000_000)), 1));
    assert_eq!(eureka.next(T), Err(T + Micros(5_000_000)));
}

#[test]
fn deltas_change_the_list_and_a_wrong_count_leads_to_a_full_fetch() {
    let mut eureka = registry(false);
    eureka.replied(
        T,
        Call::Full,
        Some((200, &apps("UP_2_", &[instance("a", "UP", 1), instance("b", "UP", 2)]))),
    );
    let mut deleted = instance("b", "UP", 2);
    deleted["actionType"] = json!("DELETED");
    let later = T + Micros(5_000_000);
    assert_eq!(eureka.next(later), Ok(Call::Delta));
    let changes = [instance("a", "OUT_OF_SERVICE", 1), deleted, instance("c", "UP", 3)];
    let delta = apps("OUT_OF_SERVICE_1_UP_1_", &changes);
    let news = eureka.replied(later, Call::Delta, Some((200, &delta))).unwrap();
    let told: Vec<(&str, ServerState)> =
        news.servers.iter().map(|s| (&*s.entry.id.0, s.entry.state)).collect();
    assert_eq!(told, [("a", ServerState::Draining), ("b", ServerState::Gone), ("c", ServerState::Ready)]);
    // The same delta again changes nothing; then the registry counts one more than is known.
    let again = later + Micros(5_000_000);
    assert_eq!(eureka.replied(again, Call::Delta, Some((200, &delta))), None);
    assert_eq!(eureka.replied(again, Call::Delta, Some((200, &apps("UP_3_", &[])))), None);
    assert_eq!(eureka.next(again), Ok(Call::Full));
}

#[test]
fn an_unreachable_registry_leaves_the_list_as_it_is() {
    let mut eureka = registry(false);
    eureka.replied(T, Call::Full, Some((200, &apps("UP_1_", &[instance("a", "UP", 1)]))));
    assert_eq!(eureka.replied(T, Call::Delta, None), None);
    assert_eq!(eureka.next(T + Micros(1_000_000)), Ok(Call::Delta));
    assert_eq!(eureka.replied(T, Call::Delta, Some((404, b""))), None);
    assert_eq!(eureka.next(T + Micros(1_000_000)), Ok(Call::Full));
    for junk in [&b"{"[..], b"[]", b"{\"applications\": 1}", b"{\"applications\":{\"application\":[{}]}}"] {
        let news = eureka.replied(T, Call::Full, Some((200, junk)));
        assert!(news.is_none_or(|n| n.servers.is_empty()));
    }
}

#[test]
fn a_lease_is_renewed_and_a_forgotten_broker_registers_anew() {
    let mut eureka = registry(true);
    assert_eq!(eureka.next(T), Ok(Call::Register));
    eureka.replied(T, Call::Register, None);
    assert!(!eureka.registered());
    let later = T + Micros(1_000_000);
    eureka.replied(later, Call::Full, Some((200, &apps("", &[]))));
    assert_eq!(eureka.next(later), Ok(Call::Register));
    eureka.replied(later, Call::Register, Some((204, b"")));
    assert!(eureka.registered());
    let beat = later + Micros(30_000_000);
    assert_eq!(eureka.next(beat), Ok(Call::Beat));
    eureka.replied(beat, Call::Beat, Some((404, b"")));
    assert_eq!(eureka.next(beat), Ok(Call::Register));
    let text = String::from_utf8(eureka.request(Call::Beat)).unwrap();
    assert!(text.starts_with("PUT /eureka/apps/BROKER/n1:80 HTTP/1.1\r\n"), "{text}");
}

/// A stand-in registry that names each call it gets and lists one application.
fn stand_in(list: Vec<u8>, calls: &Sender<String>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = calls.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let (mut start, mut line, mut length) = (String::new(), String::new(), 0);
            reader.read_line(&mut start).unwrap();
            while reader.read_line(&mut line).unwrap() > 2 {
                if let Some(n) = line.to_lowercase().strip_prefix("content-length: ") {
                    length = n.trim().parse().unwrap();
                }
                line.clear();
            }
            reader.read_exact(&mut vec![0; length]).unwrap();
            let (status, body) = if start.starts_with("GET") { (200, &list[..]) } else { (204, &b""[..]) };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), body].concat());
            let _ = calls.send(start.trim().to_owned());
        }
    });
    address
}

fn expect(calls: &Receiver<String>, start: &str) {
    while !calls
        .recv_timeout(TEST_TIMEOUT)
        .unwrap_or_else(|_| panic!("never called: {start}"))
        .starts_with(start)
    {}
}

#[test]
fn a_program_serves_from_the_registry_and_leaves_it_at_the_end() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let mut listed = instance("box-a", "UP", edge.address.port());
    listed["metadata"] = json!({"cell": "0", "weight": 4});
    listed["leaseInfo"] = json!({});
    let (sender, calls) = channel();
    let address = stand_in(apps("UP_1_", &[listed]), &sender);
    let text = format!(
        "[whip]\nlisten = \"127.0.0.1:0\"\n[[title]]\nname = \"guide\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n\
         [eureka]\nurl = \"http://{address}/eureka\"\nservers = \"BOX\"\nregister = \"BROKER\"\nfetch_ms = 200\n"
    );
    let program = Program::operator(&text, 60_000.0, &[], &["http"]);
    expect(&calls, "POST /eureka/apps/BROKER ");
    expect(&calls, "GET /eureka/apps/delta ");
    let offer = "v=0\r\nm=video 9\r\n";
    assert_eq!(ask(&program, "POST", "/whep/guide", Some(offer)).status, 201);
    program.terminate();
    expect(&calls, "DELETE /eureka/apps/BROKER/");
    edge.say(release(edge.wait_for_set_up(1), 16));
    assert!(program.ended_well());
}

#[test]
fn a_script_refuses_and_after_its_error_the_broker_goes_on_without_it() {
    let edge = Edge::start(EdgeBehaviour::Answers);
    let script = "fn on_request(r) { if r.title == \"shut\" { #{refuse: true, wait_ms: 2500} } }\n\
                  fn on_outcome(o) { if o.outcome == \"plays\" { throw \"enough\" } }";
    let mut text = format!(
        "[whip]\nlisten = \"127.0.0.1:0\"\n[hook]\nscript = \"hook.rhai\"\n\
         [[server]]\nid = \"a\"\naddress = \"{}\"\ncell = 0\n",
        edge.address
    );
    for name in ["shut", "open"] {
        text += &format!("[[title]]\nname = \"{name}\"\nclass = \"clip\"\nhome = 0\ncopies = 3\n");
    }
    let program = Program::operator(&text, 60_000.0, &[("hook.rhai", script)], &["http"]);
    let offer = Some("v=0\r\nm=video 9\r\n");
    let refused = ask(&program, "POST", "/whep/shut", offer);
    assert_eq!((refused.status, refused.header("retry-after")), (503, Some("3")));
    assert_eq!(ask(&program, "POST", "/whep/open", offer).status, 201);
    program.wait_for_log("hook off");
    assert_eq!(ask(&program, "POST", "/whep/shut", offer).status, 201);
}
