//! Readers of bytes that others wrote: whatever comes, nothing panics, nothing grows past its bound, and pieces give
//! what the whole gives.

use amberspindle::edge::load;
use amberspindle::http::client::ResponseDecoder;
use amberspindle::http::server;
use amberspindle::http::uri;
use amberspindle::message::binary;
use amberspindle::records::{Source, WeightsFile};
use amberspindle::watch::seal::{self, Comment};
use amberspindle::watch::state;
use bolero::check;

/// Longest body in these targets.
const LARGEST: usize = 256;
const ROUNDS: usize = 20_000;

/// Splits at a place that the bytes themselves choose.
fn halves(bytes: &[u8]) -> (&[u8], &[u8]) {
    let at = bytes.first().map_or(0, |b| usize::from(*b) % (bytes.len() + 1));
    bytes.split_at(at)
}

/// What a decoder finds in pieces, up to its first error.
fn read<T, E>(
    pieces: &[&[u8]],
    mut next: impl FnMut(Option<&[u8]>) -> Result<Option<T>, E>,
) -> Vec<Result<T, E>> {
    let mut found = Vec::new();
    for piece in pieces {
        let mut fed = Some(*piece);
        loop {
            match next(fed.take()) {
                Ok(Some(whole)) => found.push(Ok(whole)),
                Ok(None) => break,
                Err(error) => {
                    found.push(Err(error));
                    return found;
                }
            }
        }
    }
    found
}

#[test]
fn requests() {
    check!().with_iterations(ROUNDS).for_each(|bytes: &[u8]| {
        let read = |pieces: &[&[u8]]| {
            let mut decoder = server::Decoder::default();
            read(pieces, |piece| {
                piece.into_iter().for_each(|piece| decoder.feed(piece));
                let request = decoder.next_request(LARGEST);
                assert!(!matches!(&request, Ok(Some(r)) if r.body.len() > LARGEST));
                request
            })
        };
        let (first, second) = halves(bytes);
        assert_eq!(read(&[bytes]), read(&[first, second]));
    });
}

#[test]
fn responses() {
    check!().with_iterations(ROUNDS).for_each(|bytes: &[u8]| {
        let read = |pieces: &[&[u8]]| {
            let mut decoder = ResponseDecoder::default();
            read(pieces, |piece| {
                piece.into_iter().for_each(|piece| decoder.feed(piece));
                let response = decoder.next_response(LARGEST);
                assert!(!matches!(&response, Ok(Some(r)) if r.body.len() > LARGEST || r.status < 200));
                response
            })
        };
        let (first, second) = halves(bytes);
        assert_eq!(read(&[bytes]), read(&[first, second]));
    });
}

#[test]
fn seals_and_state_records() {
    check!().with_iterations(ROUNDS).for_each(|bytes: &[u8]| {
        // What was not sealed does not open, what is sealed does, and one changed byte of it does not.
        assert!(seal::open(bytes, Comment::Hash).is_err());
        let mut sealed = seal::close_all([(bytes, Comment::Hash)]).remove(0);
        let text = seal::text(bytes, Comment::Hash);
        assert_eq!(seal::open(&sealed, Comment::Hash).map(|(text, _)| text), Ok(text.as_slice()));
        if let Some(first) = sealed.first_mut().filter(|_| !text.is_empty()) {
            *first ^= 1;
            assert!(seal::open(&sealed, Comment::Hash).is_err());
        }
        assert!(state::decode(bytes).is_err());
    });
}

#[test]
fn lists_and_reports() {
    check!().with_iterations(ROUNDS).for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        if let Err(findings) = WeightsFile::read(&Source::new("f", &text)) {
            assert!(!findings.0.is_empty(), "a refusal has a reason");
        }
        for form in ["TEXT ", "JSON "] {
            let load = load::parse_report(&format!("{form}{text}"));
            assert!(load.util.is_none_or(|u| (0.0..=1.0).contains(&u)));
        }
        let part = uri::encode(&text);
        assert!(part.is_ascii() && uri::decode(&part).as_deref() == Some(&*text));
    });
}

#[test]
fn binary_messages() {
    check!().with_iterations(ROUNDS).for_each(|bytes: &[u8]| {
        let mut decoder = binary::Decoder::default();
        decoder.feed(bytes);
        while let Ok(Some(packet)) = decoder.next_packet() {
            let _ = (packet.kind, packet.id, packet.cause());
        }
    });
}
