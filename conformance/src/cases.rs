//! The cases: each has a name, the words of the standard that it holds an endpoint to, and a run that says what it
//! saw. The table in `docs/whip-whep.md` names them.

use std::io;
use std::net::SocketAddr;

use crate::wire::{Answer, Wire, request};

/// An endpoint: where sessions are set up.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The path of set-ups.
    pub path: String,
}

impl Endpoint {
    /// Reads a URL of the form `http://IP:PORT/PATH`.
    pub fn parse(url: &str) -> Option<Endpoint> {
        let rest = url.strip_prefix("http://")?;
        let (address, path) = rest.split_at(rest.find('/')?);
        Some(Endpoint { address: address.parse().ok()?, path: path.to_owned() })
    }
}

/// How a case came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As the standard has it.
    Passed,
    /// Otherwise; what was seen.
    Failed(String),
    /// The endpoint does not offer what the case is about, as it may.
    Skipped(String),
}

/// One case.
#[derive(Clone, Copy)]
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// The words that it holds an endpoint to.
    pub source: &'static str,
    run: fn(&Endpoint) -> Run,
}

impl Case {
    /// Runs it.
    pub fn run(&self, endpoint: &Endpoint) -> Outcome {
        match (self.run)(endpoint) {
            Ok(()) => Outcome::Passed,
            Err(Stop::Failed(seen)) => Outcome::Failed(seen),
            Err(Stop::Skipped(why)) => Outcome::Skipped(why),
        }
    }
}

enum Stop {
    Failed(String),
    Skipped(String),
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Stop {
        Stop::Failed(error.to_string())
    }
}

type Run = Result<(), Stop>;

fn must(holds: bool, seen: impl FnOnce() -> String) -> Run {
    if holds { Ok(()) } else { Err(Stop::Failed(seen())) }
}

fn status(answer: &Answer, wanted: &[u16]) -> Run {
    must(wanted.contains(&answer.status), || format!("status {}, not {wanted:?}", answer.status))
}

const OFFER: &str = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=ice-ufrag:cf\r\na=ice-pwd:conformanceconformance\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\nc=IN IP4 0.0.0.0\r\na=recvonly\r\n";
const CANDIDATE: &str = "a=ice-ufrag:cf\r\na=ice-pwd:conformanceconformance\r\nm=video 9 UDP/TLS/RTP/SAVPF 96\r\na=mid:0\r\na=candidate:1 1 UDP 2130706431 192.0.2.1 9 typ host\r\na=end-of-candidates\r\n";
const RESTART: &str = "a=ice-ufrag:new\r\na=ice-pwd:conformanceconformance2\r\n";
const SDP: (&str, &str) = ("Content-Type", "application/sdp");
const FRAGMENT: (&str, &str) = ("Content-Type", "application/trickle-ice-sdpfrag");

/// One exchange on a connection of its own.
fn once(
    e: &Endpoint,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Answer, Stop> {
    let mut wire = Wire::open(e.address)?;
    wire.send(request(method, target, headers, body))?;
    Ok(wire.read(method == "HEAD")?)
}

fn post(e: &Endpoint) -> Result<Answer, Stop> {
    let made = once(e, "POST", &e.path, &[SDP], OFFER)?;
    status(&made, &[201])?;
    Ok(made)
}

/// The path of the session that an answer made.
fn place(made: &Answer) -> Result<String, Stop> {
    let Some(location) = made.header("location") else { return Err(Stop::Failed("no Location".into())) };
    Ok(match location.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]).to_owned(),
        None => location.to_owned(),
    })
}

/// A session, its path and its entity tag; it is ended behind the case.
fn with_session(e: &Endpoint, run: impl FnOnce(&Answer, &str) -> Run) -> Run {
    let made = post(e)?;
    let place = place(&made)?;
    let ran = run(&made, &place);
    let ended = once(e, "DELETE", &place, &[], "")?;
    ran?;
    status(&ended, &[200, 204, 404])
}

/// A fragment for a session; skipped where the endpoint takes none, as it may say by 405 or 501.
fn fragment(
    e: &Endpoint,
    place: &str,
    tag: Option<&str>,
    kind: (&str, &str),
    body: &str,
) -> Result<Answer, Stop> {
    let mut headers = vec![kind];
    headers.extend(tag.map(|tag| ("If-Match", tag)));
    let answer = once(e, "PATCH", place, &headers, body)?;
    if matches!(answer.status, 405 | 501) {
        return Err(Stop::Skipped(format!("fragments are answered {}", answer.status)));
    }
    Ok(answer)
}

fn tag(made: &Answer) -> Result<String, Stop> {
    made.header("etag").map(str::to_owned).ok_or_else(|| Stop::Failed("no ETag".into()))
}

fn not_allowed(e: &Endpoint, method: &str) -> Run {
    let answer = once(e, method, &e.path, &[], "")?;
    status(&answer, &[405])?;
    must(answer.lists("allow", "POST"), || format!("Allow: {:?}", answer.header("allow")))
}

fn raw(e: &Endpoint, bytes: &[u8], wanted: &[u16]) -> Run {
    let mut wire = Wire::open(e.address)?;
    wire.send(bytes)?;
    status(&wire.read(false)?, wanted)
}

/// All cases.
pub const CASES: &[Case] = &[
    Case {
        name: "post-makes-a-session",
        source: "RFC 9725, 4.2: 201 with the answer, its type and the session's URL in Location",
        run: |e| {
            with_session(e, |made, place| {
                must(made.header("content-type").is_some_and(|t| t.starts_with("application/sdp")), || {
                    format!("Content-Type: {:?}", made.header("content-type"))
                })?;
                must(made.text().starts_with("v=0"), || "the body is no description".into())?;
                must(place.starts_with('/'), || format!("Location: {place}"))
            })
        },
    },
    Case {
        name: "sessions-have-urls-of-their-own",
        source: "RFC 9725, 4.2: the URL identifies the session",
        run: |e| {
            with_session(e, |_, first| {
                with_session(e, |_, second| must(first != second, || first.to_owned()))
            })
        },
    },
    Case {
        name: "post-has-an-entity-tag",
        source: "RFC 9725, 4.3.1: ETag with the ICE session where fragments are taken",
        run: |e| with_session(e, |made, _| tag(made).map(|_| ())),
    },
    Case {
        name: "post-of-another-type",
        source: "RFC 9110, 15.5.16: 415",
        run: |e| status(&once(e, "POST", &e.path, &[("Content-Type", "text/plain")], OFFER)?, &[415]),
    },
    Case {
        name: "post-without-a-type",
        source: "RFC 9110, 15.5.16: 415",
        run: |e| status(&once(e, "POST", &e.path, &[], OFFER)?, &[415, 400]),
    },
    Case {
        name: "post-of-no-description",
        source: "RFC 9725, 4.2: a malformed offer is refused by 4xx",
        run: |e| status(&once(e, "POST", &e.path, &[SDP], "hello")?, &[400, 422]),
    },
    Case {
        name: "post-too-long",
        source: "RFC 9110, 15.5.14: 413",
        run: |e| {
            let long = format!("{OFFER}{}", "a=x:y\r\n".repeat(20_000));
            let mut wire = Wire::open(e.address)?;
            // It may be turned away before all is written.
            let _ = wire.send(request("POST", &e.path, &[SDP], &long));
            status(&wire.read(false)?, &[413])
        },
    },
    Case {
        name: "get-is-not-allowed",
        source: "RFC 9110, 15.5.6: 405 with Allow",
        run: |e| not_allowed(e, "GET"),
    },
    Case {
        name: "put-is-not-allowed",
        source: "RFC 9110, 15.5.6: 405 with Allow",
        run: |e| not_allowed(e, "PUT"),
    },
    Case {
        name: "head-has-no-body",
        source: "RFC 9110, 9.3.2: no content in the answer to HEAD",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            wire.send(request("HEAD", &e.path, &[], ""))?;
            status(&wire.read(true)?, &[405])?;
            // What follows must be the next answer.
            wire.send(request("PUT", &e.path, &[], ""))?;
            status(&wire.read(false)?, &[405])
        },
    },
    Case {
        name: "options-tells-what-may-be-posted",
        source: "RFC 9725, 4.2: Accept-Post with application/sdp",
        run: |e| {
            let answer = once(e, "OPTIONS", &e.path, &[], "")?;
            status(&answer, &[200, 204])?;
            must(answer.lists("accept-post", "application/sdp"), || {
                format!("Accept-Post: {:?}", answer.header("accept-post"))
            })
        },
    },
    Case {
        name: "preflight-lets-post-pass",
        source: "Fetch, 3.2.2: the answer to a preflight allows origin, method and headers",
        run: |e| {
            let ask = [
                ("Origin", "http://page.example"),
                ("Access-Control-Request-Method", "POST"),
                ("Access-Control-Request-Headers", "content-type, if-match"),
            ];
            let answer = once(e, "OPTIONS", &e.path, &ask, "")?;
            status(&answer, &[200, 204])?;
            let origin = answer.header("access-control-allow-origin");
            must(matches!(origin, Some("*" | "http://page.example")), || format!("origin {origin:?}"))?;
            must(answer.lists("access-control-allow-methods", "POST"), || "POST is not allowed".into())?;
            must(answer.lists("access-control-allow-headers", "content-type"), || "no Content-Type".into())?;
            must(answer.lists("access-control-allow-headers", "if-match"), || "no If-Match".into())
        },
    },
    Case {
        name: "pages-may-read-the-headers",
        source: "Fetch, 3.2.3: Access-Control-Expose-Headers names Location, ETag and Link",
        run: |e| {
            with_session(e, |made, _| {
                for name in ["Location", "ETag", "Link"] {
                    must(made.lists("access-control-expose-headers", name), || {
                        format!("{name} is not exposed")
                    })?;
                }
                Ok(())
            })
        },
    },
    Case {
        name: "ice-servers-are-well-formed",
        source: "RFC 9725, 4.6: Link with rel=ice-server and a STUN or TURN URL",
        run: |e| {
            with_session(e, |made, _| {
                let mut links = made.all("link").filter(|l| l.contains("ice-server")).peekable();
                if links.peek().is_none() {
                    return Err(Stop::Skipped("no ICE servers are told".into()));
                }
                let good = |l: &str| {
                    ["<stun:", "<stuns:", "<turn:", "<turns:"].iter().any(|s| l.trim().starts_with(s))
                };
                links.try_for_each(|l| must(good(l), || format!("Link: {l}")))
            })
        },
    },
    Case {
        name: "delete-ends-a-session-once",
        source: "RFC 9725, 4.2: DELETE ends it; RFC 9110, 15.5.5: then it is not there",
        run: |e| {
            let place = place(&post(e)?)?;
            status(&once(e, "DELETE", &place, &[], "")?, &[200, 204])?;
            status(&once(e, "DELETE", &place, &[], "")?, &[404, 410])
        },
    },
    Case {
        name: "delete-under-a-stale-condition",
        source: "RFC 9110, 13.1.1: 412 where If-Match does not hold",
        run: |e| {
            with_session(e, |_, place| {
                status(&once(e, "DELETE", place, &[("If-Match", "\"stale\"")], "")?, &[412])
            })
        },
    },
    Case {
        name: "patch-of-no-session",
        source: "RFC 9110, 15.5.5: 404",
        run: |e| {
            let place = place(&post(e)?)?;
            status(&once(e, "DELETE", &place, &[], "")?, &[200, 204])?;
            status(&fragment(e, &place, Some("*"), FRAGMENT, CANDIDATE)?, &[404, 410])
        },
    },
    Case {
        name: "patch-without-a-condition",
        source: "RFC 9725, 4.3.1: 428",
        run: |e| with_session(e, |_, place| status(&fragment(e, place, None, FRAGMENT, CANDIDATE)?, &[428])),
    },
    Case {
        name: "patch-under-a-stale-condition",
        source: "RFC 9725, 4.3.1: 412",
        run: |e| {
            with_session(e, |_, place| {
                status(&fragment(e, place, Some("\"stale\""), FRAGMENT, CANDIDATE)?, &[412])
            })
        },
    },
    Case {
        name: "patch-of-another-type",
        source: "RFC 9110, 15.5.16: 415",
        run: |e| {
            with_session(e, |_, place| {
                let kind = ("Content-Type", "text/plain");
                status(&fragment(e, place, Some("*"), kind, CANDIDATE)?, &[415])
            })
        },
    },
    Case {
        name: "patch-of-candidates",
        source: "RFC 9725, 4.3.2: 204",
        run: |e| {
            with_session(e, |made, place| {
                status(&fragment(e, place, Some(&tag(made)?), FRAGMENT, CANDIDATE)?, &[204])
            })
        },
    },
    Case {
        name: "patch-restarts-ice",
        source: "RFC 9725, 4.3.3: 200 with a fragment and a new ETag; the old one is stale",
        run: |e| {
            with_session(e, |made, place| {
                let restart = fragment(e, place, Some("*"), FRAGMENT, RESTART)?;
                status(&restart, &[200])?;
                let (old, new) = (tag(made)?, tag(&restart)?);
                must(old != new, || "the same ETag".into())?;
                must(restart.text().contains("a=ice-ufrag:"), || "no fragment".into())?;
                status(&fragment(e, place, Some(&old), FRAGMENT, CANDIDATE)?, &[412])
            })
        },
    },
    Case {
        name: "nothing-of-that-name",
        source: "RFC 9110, 15.5.5: 404",
        run: |e| status(&once(e, "POST", "/whep/conformance-none", &[SDP], OFFER)?, &[404]),
    },
    Case {
        name: "problems-have-a-body",
        source: "RFC 9457, 3: application/problem+json with the status",
        run: |e| {
            let answer = once(e, "POST", "/whep/conformance-none", &[SDP], OFFER)?;
            let kind = answer.header("content-type").unwrap_or_default().to_owned();
            must(kind == "application/problem+json", || format!("Content-Type: {kind}"))?;
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            must(body["status"] == answer.status && body["type"].is_string(), || answer.text())
        },
    },
    Case {
        name: "a-client-that-waits-to-continue",
        source: "RFC 9110, 10.1.1: 100 before the body",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            let all = request("POST", &e.path, &[SDP, ("Expect", "100-continue")], OFFER);
            let (head, body) = all.split_at(all.len() - OFFER.len());
            wire.send(head)?;
            status(&wire.read(false)?, &[100])?;
            wire.send(body)?;
            let made = wire.read(false)?;
            status(&made, &[201])?;
            status(&once(e, "DELETE", &place(&made)?, &[], "")?, &[200, 204])
        },
    },
    Case {
        name: "a-body-in-chunks",
        source: "RFC 9112, 7.1",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            let (first, rest) = OFFER.split_at(20);
            wire.send(format!(
                "POST {} HTTP/1.1\r\nHost: x\r\nContent-Type: application/sdp\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x};a=b\r\n{rest}\r\n0\r\n\r\n",
                e.path, first.len(), rest.len()
            ))?;
            let made = wire.read(false)?;
            status(&made, &[201])?;
            status(&once(e, "DELETE", &place(&made)?, &[], "")?, &[200, 204])
        },
    },
    Case {
        name: "requests-in-a-row",
        source: "RFC 9112, 9.3.2: pipelined requests are answered in order",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            let mut bytes = request("POST", &e.path, &[SDP], OFFER);
            bytes.extend(request("OPTIONS", &e.path, &[], ""));
            bytes.extend(request("GET", &e.path, &[], ""));
            wire.send(bytes)?;
            let made = wire.read(false)?;
            status(&made, &[201])?;
            status(&wire.read(false)?, &[200, 204])?;
            status(&wire.read(false)?, &[405])?;
            status(&once(e, "DELETE", &place(&made)?, &[], "")?, &[200, 204])
        },
    },
    Case {
        name: "an-absolute-target",
        source: "RFC 9112, 3.2.2: the absolute form is accepted",
        run: |e| {
            let target = format!("http://{}{}", e.address, e.path);
            let answer = once(e, "OPTIONS", &target, &[], "")?;
            status(&answer, &[200, 204])?;
            must(answer.header("accept-post").is_some(), || "another resource".into())
        },
    },
    Case {
        name: "no-host",
        source: "RFC 9112, 3.2: 400",
        run: |e| raw(e, format!("OPTIONS {} HTTP/1.1\r\n\r\n", e.path).as_bytes(), &[400]),
    },
    Case {
        name: "two-hosts",
        source: "RFC 9112, 3.2: 400",
        run: |e| {
            raw(e, format!("OPTIONS {} HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", e.path).as_bytes(), &[400])
        },
    },
    Case {
        name: "a-length-and-chunks",
        source: "RFC 9112, 6.3: refused, or two readers could disagree",
        run: |e| {
            let head = "Host: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked";
            raw(e, format!("POST {} HTTP/1.1\r\n{head}\r\n\r\n0\r\n\r\n", e.path).as_bytes(), &[400])
        },
    },
    Case { name: "no-http", source: "RFC 9112, 2.2: 400", run: |e| raw(e, b"hello\r\n\r\n", &[400]) },
    Case {
        name: "connection-close",
        source: "RFC 9112, 9.6: the connection ends behind the answer",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            wire.send(request("OPTIONS", &e.path, &[("Connection", "close")], ""))?;
            let answer = wire.read(false)?;
            must(answer.lists("connection", "close"), || "no Connection: close".into())?;
            must(wire.closed()?, || "it stays open".into())
        },
    },
    Case {
        name: "connection-kept",
        source: "RFC 9112, 9.3: the connection stays for the next request",
        run: |e| {
            let mut wire = Wire::open(e.address)?;
            for _ in 0..3 {
                wire.send(request("GET", &e.path, &[], ""))?;
                status(&wire.read(false)?, &[405])?;
            }
            Ok(())
        },
    },
];
