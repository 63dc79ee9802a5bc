//! The line protocol: parsing, printing, and how the host program behaves.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use amberspindle::api::*;
use amberspindle::wire::{Batch, Incoming, Reader, print, settings};
use serde_json::{Value, json};

fn read_batch(text: &str) -> Result<Option<Batch>, String> {
    Reader::new(text.as_bytes()).batch().map_err(|e| e.to_string())
}

fn read_message(line: &str) -> Incoming {
    let batch = read_batch(&format!("BATCH Now=12.5\n{line}\nEOF_BATCH\n")).unwrap().unwrap();
    assert_eq!(batch.now, Micros(12_500));
    batch.events.into_iter().next().unwrap().1
}

fn settings_json() -> Value {
    json!({
        "Instances": 2, "SlotNo": 1, "Locality": 0, "Period": 10.0, "Unheard": {"Of": 1},
        "FamilyInfo": {"LadderKb": [100.0, 200.0], "LadderWorth": [0.4, 1.0], "Places": 3, "Racks": 1,
            "LinkUnitKb": 1000.0, "RackKb": 3000.0, "Live": [true], "ClassTop": [9], "FloorByClass": [0],
            "ClassSeats": [0], "ClassScale": [1.5]},
        "RequestClasses": [{"Slo": 800.0, "Deadline": 3000.0, "Effect": "non_idempotent", "Importance": 2.0}],
        "Limits": {"AttemptsCap": 4, "RetryAfter": true, "MaxRetryAfter": 500.0, "Keepalive": 30000.0},
        "Fees": {"Handshake": 0.04},
        "Rules": {"Cold": 12000.0, "RepeatRatio": 0.2, "ExtraFloor": 3.0, "BudgetSpan": 4000.0},
        "Report": {"Fields": ["x0", "x1"]}
    })
}

#[test]
fn reads_request_and_ignores_unknown_fields() {
    let line = "KNOCK Who=3 Later=9 Ticket=e1e65a535d3a91c4 Cls=1 Realm=2 Item=v-k Title=c:c0 Due=8652.25 \
                WorkHint=12.0 Base=4 CellsInRow=3 MaxRung=2 IsRetry=1 CameBack=1";
    let Incoming::Event(Event::Request(r)) = read_message(line) else { panic!("not a request") };
    assert_eq!((r.id, r.class, r.tenant), (SessionId(0xe1e6_5a53_5d3a_91c4), 1, 2));
    assert_eq!((r.due, r.duration_hint_s, r.home, r.copies), (Micros(8_652_250), Some(12.0), 4, 3));
    assert_eq!((r.top, r.retry, r.moved, r.is_returning), (Rung(2), true, false, true));
}

#[test]
fn resolves_numbered_server_lists_in_order_of_events() {
    let text = "BATCH Now=1\nPOOL RosterId=0 NodesList=1\nSERVER RackZone=0 Server=a:1 Condition=healthy SlotNo=2\n\
                ENDPOINTS Who=1 SeqNo=1 RosterId=0 Mode=C\nPOOL RosterId=0 NodesList=1\n\
                SERVER RackZone=1 Server=b:1 Condition=cordoned Size=1.5 UpSince=6.5\n\
                ENDPOINTS Who=1 SeqNo=2 RosterId=0 Mode=D\nENDPOINTS Who=1 SeqNo=2 RosterId=0 Mode=X\nEOF_BATCH\n";
    let events = read_batch(text).unwrap().unwrap().events;
    let lists: Vec<(ListKind, Vec<ServerEntry>)> = events
        .into_iter()
        .map(|(_, e)| match e {
            Incoming::Event(Event::ServerList { kind, servers }) => (kind, servers),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(lists[0].0, ListKind::Stale);
    assert_eq!((lists[0].1[0].id.clone(), lists[0].1[0].cell), (ServerId::new("a:1"), 2));
    assert_eq!((lists[1].1[0].state, lists[1].1[0].up_since), (ServerState::Draining, Some(Micros(6500))));
    assert_eq!(lists[2], (ListKind::Failed, Vec::new()));
}

#[test]
fn reads_outcomes_and_notes() {
    let line = "RESPONSE Who=3 Ticket=000000000000000a SendNo=2 Server=a:1 Ending=refused_conn TimeTaken=18.5 \
                Ended=1 Load=x0:0.4,rif:7,odd:1";
    let Incoming::Event(Event::Outcome { id, attempt, status, closed, load, .. }) = read_message(line) else {
        panic!("not an outcome")
    };
    assert_eq!((id, attempt, status, closed), (SessionId(10), 2, Status::ConnectFailed, true));
    assert_eq!((load.link, load.inflight, load.uplink), (Some(0.4), Some(7.0), None));
    for (kind, note) in
        [(1, Note::Delivered(2.0)), (2, Note::Rung(Rung(2))), (3, Note::Link(2.0)), (4, Note::Uplink(2.0))]
    {
        let line = format!("CHANGE Who=3 Ticket=000000000000000a SendNo=0 Server=a:1 Kind={kind} X=2");
        let Incoming::Event(Event::Note { note: read, .. }) = read_message(&line) else {
            panic!("not a note")
        };
        assert_eq!(read, note);
    }
    assert_eq!(
        read_message("WHISPER Who=1 From=2 Octets=aGk="),
        Incoming::Event(Event::Peer { from: 2, data: b"hi".to_vec() })
    );
    assert_eq!(read_message("RETIRE Who=1"), Incoming::Retire);
}

#[test]
fn prints_every_action() {
    let id = SessionId(10);
    let to = ServerId::new("a:1");
    for (action, line) in [
        (
            Action::Send { id, server: to.clone(), timeout: Micros(80_250) },
            "FORWARD Who=3 Ticket=000000000000000a Server=a:1 Timeout=80.250",
        ),
        (Action::Cancel { id, attempt: 1 }, "WITHDRAW Who=3 Ticket=000000000000000a SendNo=1"),
        (
            Action::Refuse { id, retry_after: Micros(0) },
            "REJECT Who=3 Ticket=000000000000000a CoolDown=0.000",
        ),
        (Action::Fail(id), "ABORT Who=3 Ticket=000000000000000a"),
        (Action::Move(id), "SHIFT Who=3 Ticket=000000000000000a"),
        (Action::Rate { id, rung: Rung(2) }, "CHOOSE_RATE Who=3 Ticket=000000000000000a TierNo=2"),
        (Action::Timer { token: 7, delay: Micros(1500) }, "TIMER Who=3 Mark=7 SleepFor=1.500"),
        (Action::Probe(to.clone()), "SAMPLE Who=3 Server=a:1"),
        (Action::Close(to), "FREE_LINKS Who=3 Server=a:1"),
        (Action::Tell { to: None, data: b"hi 7".to_vec() }, "BROADCAST_TO Who=3 Whom=-1 Octets=aGkgNw=="),
        (Action::Tell { to: Some(1), data: Vec::new() }, "BROADCAST_TO Who=3 Whom=1 Octets=-"),
        (Action::Watch(true), "STREAM_CHANGES Who=3 On=1"),
        (Action::Fetch, "PULL Who=3"),
        (Action::Log("two\nlines".into()), "WRITE_LOG Who=3 What=two lines"),
    ] {
        let mut out = String::new();
        print(3, &action, &mut out);
        assert_eq!(out, format!("{line}\n"));
    }
}

#[test]
fn reports_line_of_malformed_input() {
    for (text, message) in [
        ("HELLO\n", "line 1: expected BATCH"),
        ("BATCH\n", "line 1: expected a field Now"),
        ("BATCH Now=x\n", "line 1: expected a number in Now"),
        ("BATCH Now=1\nKNOCK Who=1\nEOF_BATCH\n", "line 2: expected a field Ticket"),
        ("BATCH Now=1\nCLIENT_GONE Who=1 Ticket=xyz\n", "line 2: expected 16 hex digits in Ticket"),
        ("BATCH Now=1\nNONSENSE Who=1\n", "line 2: expected the name of an event"),
        (
            "BATCH Now=1\nENDPOINTS Who=1 Mode=F RosterId=4\n",
            "line 2: expected the number of an earlier POOL in RosterId",
        ),
        ("BATCH Now=1\nPOOL RosterId=0 NodesList=2\nEOF_BATCH\n", "line 3: expected SERVER"),
        ("BATCH Now=1\nRETIRE Who=1\n", "line 3: expected an event or EOF_BATCH, not the end of input"),
    ] {
        assert_eq!(read_batch(text).unwrap_err(), message);
    }
    assert_eq!(read_batch("").unwrap(), None);
}

#[test]
fn reads_settings_and_ignores_unknown_keys() {
    let s = settings(&settings_json()).unwrap();
    assert_eq!((s.broker_count, s.broker_index, s.max_attempts), (2, 1, 4));
    assert_eq!(s.classes[0].idempotency, Idempotency::Unsafe);
    assert_eq!((s.classes[0].top, s.classes[0].seats, s.classes[0].scale), (Rung(1), None, 1.5));
    assert_eq!(s.budget, Some(RetryBudget { floor: 3.0, ratio: 0.2, span: Micros(4_000_000) }));
    assert!(s.uplink_reported);
    assert_eq!((s.handshake_price, s.idle), (0.04, Micros(30_000_000)));
}

#[test]
fn names_key_of_invalid_settings() {
    type Corrupt = fn(&mut Value);
    let cases: [(Corrupt, &str); 6] = [
        (|c| c["FamilyInfo"]["LadderKb"] = json!([]), "FamilyInfo.LadderKb: empty"),
        (
            |c| c["FamilyInfo"]["LadderWorth"] = json!([1.0]),
            "FamilyInfo.LadderWorth: not as long as LadderKb",
        ),
        (|c| c["FamilyInfo"]["Live"] = json!([true, false]), "FamilyInfo.Live: not one value for each class"),
        (|c| c["FamilyInfo"]["Places"] = Value::Null, "FamilyInfo.Places: required"),
        (|c| c["Instances"] = json!(0), "Instances: zero"),
        (|c| c["RequestClasses"][0]["Slo"] = json!("soon"), "RequestClasses[0].Slo: not a number"),
    ];
    for (corrupt, message) in cases {
        let mut json_settings = settings_json();
        corrupt(&mut json_settings);
        assert_eq!(settings(&json_settings).unwrap_err(), message);
    }
}

fn run_wirehost(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_amberspindle-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn wirehost_serves_until_end_of_input() {
    let (good, mut bad) = (settings_json(), settings_json());
    bad["FamilyInfo"]["LadderKb"] = json!([]);
    let input = format!(
        "BATCH Now=1000\nATTACH Who=0 Salt=5 Conf={good}\nATTACH Who=1 Salt=5 Conf={bad}\n\
         POOL RosterId=0 NodesList=1\nSERVER RackZone=0 Server=a:1 Condition=healthy SlotNo=0\n\
         ENDPOINTS Who=0 SeqNo=1 RosterId=0 Mode=C\n\
         KNOCK Who=0 Ticket=000000000000000a Cls=0 Title=t Due=4000 Base=0 CellsInRow=3 MaxRung=1\nEOF_BATCH\n"
    );
    let run = run_wirehost(&input);
    let out = String::from_utf8(run.stdout).unwrap();
    assert!(run.status.success());
    assert!(out.contains("FORWARD Who=0 Ticket=000000000000000a Server=a:1"), "{out}");
    assert!(out.contains("INTERNAL_ERROR Who=1 What=FamilyInfo.LadderKb: empty\n"), "{out}");
    assert!(out.ends_with("READY\n"));
}

#[test]
fn wirehost_fails_with_one_line_on_malformed_input() {
    let run = run_wirehost("BATCH Now=1\nKNOCK Who=0 Ticket=zz\n");
    assert!(!run.status.success());
    assert_eq!(String::from_utf8(run.stderr).unwrap(), "line 2: expected 16 hex digits in Ticket\n");
    assert!(run.stdout.is_empty());
}
