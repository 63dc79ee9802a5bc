//! All parsers, fed valid messages split at random positions and random garbage, from fixed seeds.

use amberspindle::api::{Micros, SessionId};
use amberspindle::board::BoardClient;
use amberspindle::http::{client, server, sse};
use amberspindle::message::line::Line;
use amberspindle::message::{Kind, MAX_MESSAGE_BYTES, Malformed, binary, line};
use amberspindle::platform::links::{ConnId, Links};
use amberspindle::platform::parse_load_report;
use amberspindle::platform::timings::Timings;
use amberspindle::platform::viewer::{ViewerDecoder, ViewerMessage};
use amberspindle::roster::SettingNames;
use amberspindle::whip::Route;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Checks a property on cases from a fixed seed; failing cases are not stored between runs.
fn check_cases<S: Strategy>(strategy: S, property: impl Fn(S::Value)) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner
        .run(&strategy, |value| {
            property(value);
            Ok(())
        })
        .unwrap();
}

/// Feeds bytes in pieces, split at the given positions (modulo the length).
fn feed_in_pieces(bytes: &[u8], cuts: &[usize], mut feed: impl FnMut(&[u8])) {
    let mut bounds: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    bounds.extend([0, bytes.len()]);
    bounds.sort_unstable();
    bounds.windows(2).for_each(|w| feed(&bytes[w[0]..w[1]]));
}

fn cut_points() -> impl Strategy<Value = Vec<usize>> {
    vec(any::<usize>(), 0..8)
}

fn garbage() -> impl Strategy<Value = Vec<u8>> {
    let words = [
        "HTTP/1.1 200 OK\r\n",
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "\r\n\r\n",
        "5\r\n",
        "data: {\"rev\":9,\"pool\":{\"all\":true,\"targets\":[{}]}}\n\n",
        "{\"type\":\"setup\",\"id\":",
        "\n",
        "\0\x0b\x01",
    ];
    let word = proptest::sample::select(words.to_vec()).prop_map(|w| w.as_bytes().to_vec());
    vec(prop_oneof![word, vec(any::<u8>(), 0..40)], 0..12).prop_map(|parts| parts.concat())
}

#[test]
fn decodes_binary_messages_split_at_any_byte() {
    let parameters = vec((any::<u8>(), vec(any::<u8>(), 0..300)), 0..5);
    check_cases((vec((any::<u64>(), parameters), 1..6), cut_points()), |(messages, cuts)| {
        let build = |(id, parameters): &(u64, Vec<(u8, Vec<u8>)>)| {
            let start = binary::Builder::new(Kind::Note, SessionId(*id));
            parameters.iter().fold(start, |b, (code, value)| b.with(*code, value)).finish().unwrap()
        };
        let bytes: Vec<u8> = messages.iter().flat_map(build).collect();
        let (mut decoder, mut read) = (binary::Decoder::default(), 0);
        feed_in_pieces(&bytes, &cuts, |piece| {
            decoder.feed(piece);
            while let Some(packet) = decoder.next_packet().unwrap() {
                let (id, parameters) = &messages[read];
                assert_eq!(packet.id.0, *id);
                for (code, _) in parameters {
                    let first = parameters.iter().find(|(c, _)| c == code).map(|(_, v)| v.as_slice());
                    assert_eq!(packet.value(*code), first);
                }
                read += 1;
            }
        });
        assert_eq!(read, messages.len());
    });
}

#[test]
fn decodes_json_lines_split_at_any_byte() {
    check_cases((vec((any::<u64>(), any::<u8>(), ".{0,40}"), 1..6), cut_points()), |(messages, cuts)| {
        let line = |(id, cause, text): &(u64, u8, String)| {
            Line::new(Kind::Release, SessionId(*id)).cause(*cause).field("wait", text).sdp(text)
        };
        let lines: Vec<Line> = messages.iter().map(line).collect();
        let bytes: Vec<u8> = lines.iter().flat_map(|l| l.encode().unwrap()).collect();
        let (mut decoder, mut read) = (line::Decoder::default(), Vec::new());
        feed_in_pieces(&bytes, &cuts, |piece| {
            decoder.feed(piece);
            read.extend(std::iter::from_fn(|| decoder.next_line().unwrap()));
        });
        assert_eq!(read, lines);
    });
}

#[test]
fn decodes_http_messages_split_at_any_byte() {
    check_cases((vec((vec(any::<u8>(), 0..200), any::<bool>()), 1..4), cut_points()), |(bodies, cuts)| {
        let mut bytes = Vec::new();
        for (body, chunked) in &bodies {
            if *chunked {
                bytes.extend(b"POST /whip/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
                for chunk in body.chunks(7) {
                    bytes.extend(format!("{:x};x=y\r\n", chunk.len()).bytes().chain(chunk.iter().copied()));
                    bytes.extend(b"\r\n");
                }
                bytes.extend(b"0\r\n\r\n");
            } else {
                bytes.extend(client::encode_request("POST", "h", "/whip/a", &[], Some(("a/b", body))));
            }
        }
        let (mut decoder, mut read) = (server::Decoder::default(), Vec::new());
        feed_in_pieces(&bytes, &cuts, |piece| {
            decoder.feed(piece);
            read.extend(std::iter::from_fn(|| decoder.next_request(200).unwrap()).map(|r| r.body));
        });
        assert!(read.iter().eq(bodies.iter().map(|(body, _)| body)), "{read:?}");

        let body = &bodies[0].0;
        let response = server::Response { status: 200, headers: vec![], body: body.clone() };
        let (mut reader, mut got) = (client::Reader::default(), Vec::new());
        feed_in_pieces(&response.encode(true).concat(), &cuts, |piece| reader.feed(piece, &mut got).unwrap());
        assert_eq!((reader.status(), reader.is_complete(false), &got), (Some(200), true, body));
    });
}

#[test]
fn decodes_server_sent_events_split_at_any_byte() {
    check_cases((vec((any::<u32>(), "[a-z{}:\" ]{1,30}"), 1..6), cut_points()), |(events, cuts)| {
        let text = |(id, data): &(u32, String)| format!(": alive\r\nid: {id}\ndata: {data}\nother\n\n");
        let bytes: Vec<u8> = events.iter().flat_map(|e| text(e).into_bytes()).collect();
        let (mut decoder, mut read) = (sse::Decoder::default(), Vec::new());
        feed_in_pieces(&bytes, &cuts, |piece| decoder.feed(piece, &mut read).unwrap());
        let read: Vec<(String, String)> = read.into_iter().map(|e| (e.id.unwrap(), e.data)).collect();
        let sent: Vec<(String, String)> =
            events.into_iter().map(|(id, data)| (id.to_string(), data)).collect();
        assert_eq!(read, sent);
    });
}

/// For any input, a parser returns a message or an error; it neither panics nor exceeds its size limit.
#[test]
fn garbage_yields_errors_or_incomplete_messages() {
    let settings = amberspindle::api::Settings::new(vec![1.0], vec![1.0]);
    check_cases((garbage(), cut_points()), |(bytes, cuts)| {
        let (mut packets, mut viewer, mut requests) =
            (binary::Decoder::default(), ViewerDecoder::default(), server::Decoder::default());
        let (mut reader, mut events) = (client::Reader::default(), sse::Decoder::default());
        let (mut board, _) = BoardClient::new(SettingNames::default(), &serde_json::Value::Null);
        board.request(Micros(0), "h");
        let mut links = Links::new(Timings::new(&settings, Micros(1), Micros(1)));
        feed_in_pieces(&bytes, &cuts, |piece| {
            packets.feed(piece);
            while let Ok(Some(packet)) = packets.next_packet() {
                assert!(packet.cause().is_none() || packet.value(binary::code::CAUSE).is_some());
            }
            viewer.feed(piece);
            while let Ok(Some(message)) = viewer.next_message(Micros(5), &SettingNames::default(), &settings)
            {
                assert!(!matches!(message, ViewerMessage::SetUp(..)), "no class is known");
            }
            requests.feed(piece);
            while let Ok(Some(request)) = requests.next_request(100) {
                assert!(request.body.len() <= 100);
                let _ = Route::parse(&request.target);
            }
            let mut body = Vec::new();
            let _ = reader.feed(piece, &mut body);
            let _ = events.feed(piece, &mut Vec::new());
            let _ = board.receive(Micros(0), piece, &mut Vec::new());
            let messages = links.bytes(Micros(5), ConnId(1), piece, &mut Vec::new()).1;
            assert!(messages.is_empty(), "an unknown connection says nothing");
        });
        let text = String::from_utf8_lossy(&bytes);
        let _ = parse_load_report(&text);
        if let Some(route) = Route::parse(&text) {
            assert!(text.starts_with('/'), "{route:?}");
        }
    });
}

#[test]
fn rejects_messages_over_size_limit() {
    let mut lines = line::Decoder::default();
    lines.feed(&vec![b' '; MAX_MESSAGE_BYTES]);
    assert_eq!(lines.next_line(), Err(Malformed::TooLarge));
    let mut packets = binary::Decoder::default();
    packets.feed(&[0xff, 0xff]);
    assert_eq!(packets.next_packet().map(|_| ()), Err(Malformed::TooLarge));
    let huge = vec![0; MAX_MESSAGE_BYTES];
    assert!(binary::Builder::new(Kind::Answer, SessionId(1)).with(18, &huge).finish().is_err());
    let text = "x".repeat(MAX_MESSAGE_BYTES);
    assert!(Line::new(Kind::Answer, SessionId(1)).sdp(&text).encode().is_err());
}
