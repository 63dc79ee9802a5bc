//! The broker state machine without I/O: requests, attempts, outcomes and the safety rules around the module.

use amberspindle::api::{Idempotency, *};
use std::collections::{BTreeMap, BTreeSet};

use amberspindle::broker::{Broker, DecisionModule, Effect, Input, SetUp};

const PAID_CLASS: usize = 0;
const CLIP_CLASS: usize = 1;

fn ms(x: u64) -> Micros {
    Micros(x * 1000)
}

struct Core {
    broker: Broker,
    now: Micros,
}

impl Core {
    /// Creates a broker with `servers` servers, one per cell, and a deadline of two seconds.
    fn new(servers: u32) -> Core {
        let mut s = Settings::new(vec![100.0, 200.0], vec![0.4, 1.0]);
        (s.cells, s.racks, s.link_unit_kb, s.rack_kb, s.max_attempts) = (3, 1, 1e5, 3e5, 4);
        (s.tick, s.max_retry_after) = (ms(10), ms(500));
        let class = |idempotency| Class::new(ms(1000), ms(2000), idempotency);
        s.classes = vec![class(Idempotency::Unsafe), class(Idempotency::Safe)];
        let mut core = Core { broker: Broker::new(s, 7), now: ms(1_000_000) };
        let entry = |n| ServerEntry::new(server(n), ServerState::Ready, n);
        core.handle(Input::Servers { kind: ListKind::Complete, servers: (0..servers).map(entry).collect() });
        core
    }

    fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.broker.handle(self.now, input, &mut out);
        let mut handled = 0;
        // Each withdrawal counts as written to its server at once.
        while handled < out.len() {
            if let Effect::Withdraw(id, server) = &out[handled] {
                let written = Input::Withdrawn { id: *id, server: server.clone() };
                self.broker.handle(self.now, written, &mut out);
            }
            handled += 1;
        }
        out
    }

    fn request(&mut self, id: u64, class: usize) -> Vec<Effect> {
        let mut request = Request::new(SessionId(id), Text::from("t"), self.now + ms(2000), 3, 1);
        request.class = class;
        self.handle(Input::Request(request, b"offer"[..].into()))
    }

    /// Advances the clock by `span` and handles the alarms that become due.
    fn advance(&mut self, span: Micros) -> Vec<Effect> {
        let (end, mut out) = (self.now + span, Vec::new());
        while let Some(at) = self.broker.next_alarm().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.handle(Input::Tick));
        }
        self.now = end;
        out
    }

    fn end_at_server(&mut self, id: u64, at: &ServerId, status: Status) -> Vec<Effect> {
        let (id, server, load) = (SessionId(id), at.clone(), Load::default());
        self.handle(Input::Ended { id, server, status, load })
    }

    fn establish(&mut self, id: u64, at: &ServerId) -> Vec<Effect> {
        let (id, server) = (SessionId(id), at.clone());
        self.handle(Input::Established { id, server, answer: b"answer"[..].into() })
    }
}

fn server(n: u32) -> ServerId {
    ServerId::new(&format!("s-{n}"))
}

fn sent(effects: &[Effect]) -> Vec<SetUp> {
    effects.iter().filter_map(|e| if let Effect::SetUp(s) = e { Some(s.clone()) } else { None }).collect()
}

fn answers(effects: &[Effect]) -> Vec<&Effect> {
    effects
        .iter()
        .filter(|e| matches!(e, Effect::Established(..) | Effect::Refused(..) | Effect::Failed(..)))
        .collect()
}

#[test]
fn sends_request_with_its_rung_and_answers_once() {
    let mut core = Core::new(3);
    let set_up = sent(&core.request(1, CLIP_CLASS)).remove(0);
    assert_eq!((set_up.attempt, &*set_up.offer, set_up.rung), (0, &b"offer"[..], Some(Rung(1))));
    let out = core.establish(1, &set_up.server);
    assert_eq!(answers(&out), [&Effect::Established(SessionId(1), b"answer"[..].into())]);
    assert!(answers(&core.advance(ms(5000))).is_empty());
    let out = core.end_at_server(1, &set_up.server, Status::Completed);
    assert_eq!(out, [Effect::Ended(SessionId(1), Status::Completed)]);
    assert!(!core.broker.has_session(SessionId(1)));
}

#[test]
fn retries_paid_set_up_after_saturation_and_fails_it_after_reset() {
    let mut core = Core::new(3);
    let first = sent(&core.request(1, PAID_CLASS)).remove(0);
    let out = core.end_at_server(1, &first.server, Status::Saturated);
    let second = sent(&out).remove(0);
    assert_eq!((second.attempt, second.server == first.server), (1, false));
    let out = core.end_at_server(1, &second.server, Status::Reset);
    assert!(sent(&out).is_empty());
    assert!(
        matches!(answers(&out)[..], [Effect::Failed(SessionId(1), why)] if why.may_have_run && !why.deadline_passed)
    );
}

#[test]
fn fails_paid_request_at_deadline_and_releases_late_answer_when_server_is_silent() {
    let mut core = Core::new(3);
    let first = sent(&core.request(1, PAID_CLASS)).remove(0);
    let out = core.advance(ms(2000));
    assert!(
        matches!(answers(&out)[..], [Effect::Failed(SessionId(1), why)] if why.may_have_run && why.deadline_passed)
    );
    assert!(out.contains(&Effect::Withdraw(SessionId(1), first.server.clone())));
    let late = core.establish(1, &first.server);
    assert_eq!(late, [Effect::Release(SessionId(1), first.server)]);
}

#[test]
fn attempts_never_overlap_and_end_by_deadline() {
    let mut core = Core::new(3);
    let mut out = core.request(1, CLIP_CLASS);
    let start = core.now;
    out.extend(core.advance(ms(3000)));
    let mut open = 0;
    for effect in &out {
        match effect {
            Effect::SetUp(s) => {
                open += 1;
                assert!(s.wait <= ms(2000));
            }
            Effect::Withdraw(..) => open -= 1,
            _ => {}
        }
        assert!((0..=1).contains(&open));
    }
    assert!(sent(&out).len() > 1 && sent(&out).len() <= 4);
    assert_eq!(answers(&out).len(), 1);
    assert!(core.now > start);
}

#[test]
fn refuses_request_once_when_no_server_is_listed() {
    let mut core = Core::new(0);
    let mut out = core.request(1, PAID_CLASS);
    out.extend(core.advance(ms(3000)));
    assert_eq!(answers(&out), [&Effect::Refused(SessionId(1), ms(500))], "with a retry delay");
}

#[test]
fn withdraws_attempt_without_answer_when_client_leaves() {
    let mut core = Core::new(3);
    let first = sent(&core.request(1, PAID_CLASS)).remove(0);
    let mut out = core.handle(Input::ClientLeft(SessionId(1)));
    assert_eq!(out, [Effect::Withdraw(SessionId(1), first.server.clone())]);
    out.extend(core.advance(ms(3000)));
    assert!(answers(&out).is_empty());
    assert_eq!(core.establish(1, &first.server), [Effect::Release(SessionId(1), first.server)]);
    // An established session is released at its server.
    let set_up = sent(&core.request(2, CLIP_CLASS)).remove(0);
    core.establish(2, &set_up.server);
    assert_eq!(core.handle(Input::ClientLeft(SessionId(2))), [Effect::Release(SessionId(2), set_up.server)]);
}

#[test]
fn ends_established_sessions_when_server_is_lost() {
    let mut core = Core::new(1);
    let (open, at) = (Request::new(SessionId(9), Text::from("t"), core.now, 3, 1), server(0));
    core.handle(Input::ExistingSession(open, at.clone()));
    assert!(core.broker.is_established_at(SessionId(9), &at));
    assert_eq!(
        core.handle(Input::ServerLost(at)),
        [Effect::Ended(SessionId(9), Status::Reset), Effect::Log("distrust s-0: connection broke".into()),]
    );
}

#[test]
fn releases_established_sessions_on_shutdown() {
    let mut core = Core::new(1);
    let set_up = sent(&core.request(1, PAID_CLASS)).remove(0);
    core.establish(1, &set_up.server);
    let out = core.handle(Input::Shutdown);
    assert!(out.contains(&Effect::Release(SessionId(1), set_up.server)));
    assert!(out.contains(&Effect::Ended(SessionId(1), Status::Reset)));
    assert_eq!((core.broker.established(), core.broker.unanswered()), (0, 0));
}

#[test]
fn sends_no_set_up_to_draining_server() {
    let mut core = Core::new(1);
    let draining = ServerEntry::new(server(0), ServerState::Draining, 0);
    core.handle(Input::Servers { kind: ListKind::Changes, servers: vec![draining] });
    let mut out = core.request(1, CLIP_CLASS);
    out.extend(core.advance(ms(3000)));
    assert!(sent(&out).is_empty());
    assert_eq!(answers(&out).len(), 1);
}

/// A module with random behaviour: it sends to any server, refuses and fails any request, forgets requests and panics.
struct Erratic(fastrand::Rng);

impl DecisionModule for Erratic {
    fn decide(&mut self, _: Micros, event: Event, out: &mut Vec<Action>) {
        let ids: Vec<SessionId> = match &event {
            Event::Request(request) => vec![request.id],
            Event::Outcome { id, .. } | Event::SetUpDone { id, .. } => vec![*id],
            _ => vec![SessionId(self.0.u64(..40))],
        };
        for id in ids {
            for _ in 0..self.0.usize(..4) {
                let timeout = ms(self.0.u64(..3000));
                out.push(match self.0.u32(..9) {
                    0..=3 => Action::Send { id, server: server(self.0.u32(..4)), timeout },
                    4 => Action::Refuse { id, retry_after: ms(1) },
                    5 => Action::Fail(id),
                    6 => Action::Cancel { id, attempt: self.0.u32(..3) },
                    7 => Action::Move(id),
                    _ => Action::Rate { id, rung: Rung(0) },
                });
            }
        }
        assert!(self.0.u32(..50) > 0, "a fault of the module");
    }
}

/// Whatever the module does, the broker keeps the safety rules: one answer per request, one attempt in flight, a paid
/// session is neither sent again nor refused once it may have run, and nothing is sent to a draining server.
#[test]
fn safety_rules_hold_with_erratic_module() {
    let mut rng = fastrand::Rng::with_seed(0xbad);
    let module = |seed| -> Box<dyn DecisionModule> { Box::new(Erratic(fastrand::Rng::with_seed(seed))) };
    let broker = Broker::with_module(vec![Idempotency::Unsafe, Idempotency::Safe], 4, 1, Box::new(module));
    let mut core = Core { broker, now: ms(1_000_000) };
    let list = (0..4).map(|n| {
        let state = if n == 3 { ServerState::Draining } else { ServerState::Ready };
        ServerEntry::new(server(n), state, n)
    });
    core.handle(Input::Servers { kind: ListKind::Complete, servers: list.collect() });
    let (mut asked, mut answered, mut left) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    let (mut out, mut ran, mut sent_to) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::<u64, u32>::new());
    let mut panics = 0;
    for n in 0..4000_u64 {
        let id = n / 10;
        let mut effects = match rng.u32(..10) {
            0 => {
                left.insert(id);
                out.remove(&id);
                core.handle(Input::ClientLeft(SessionId(id)))
            }
            1..=4 => match out.get(&id).cloned() {
                None => Vec::new(),
                Some(at) => {
                    out.remove(&id);
                    let ends = [Status::Saturated, Status::Errored, Status::Reset, Status::ConnectFailed];
                    match rng.usize(..6) {
                        i @ 0..4 => {
                            // Recorded first, as the broker's next effects must already take it into account.
                            if !ends[i].never_ran() {
                                ran.insert(id);
                            }
                            core.end_at_server(id, &at, ends[i])
                        }
                        _ => {
                            ran.insert(id);
                            core.establish(id, &at)
                        }
                    }
                }
            },
            5 => core.advance(ms(rng.u64(..500))),
            _ if n % 10 < 5 && asked.insert(id) => {
                core.request(id, if id % 2 == 0 { PAID_CLASS } else { CLIP_CLASS })
            }
            _ => Vec::new(),
        };
        if n == 3999 {
            effects.extend(core.advance(ms(10_000)));
        }
        for effect in effects {
            match effect {
                Effect::SetUp(s) => {
                    let paid = s.id.0 % 2 == 0;
                    assert!(!(paid && ran.contains(&s.id.0)), "a paid set-up is sent again");
                    assert!(!answered.contains(&s.id.0), "sent after its answer");
                    assert!(out.insert(s.id.0, s.server.clone()).is_none(), "two attempts in flight");
                    assert_ne!(s.server, server(3), "sent to a draining server");
                    let sends = sent_to.entry(s.id.0).or_default();
                    *sends += 1;
                    assert!(*sends <= 4);
                }
                Effect::Withdraw(id, at) => {
                    assert!(out.remove(&id.0).is_none_or(|there| there == at));
                    ran.insert(id.0);
                }
                Effect::Refused(id, _) => {
                    let clean = !ran.contains(&id.0) && !out.contains_key(&id.0);
                    assert!(id.0 % 2 == 1 || clean, "a paid session that may have run is refused");
                    assert!(answered.insert(id.0), "two answers");
                }
                Effect::Established(id, _) | Effect::Failed(id, _) => {
                    assert!(answered.insert(id.0), "two answers")
                }
                Effect::Log(_) => panics += 1,
                _ => {}
            }
        }
    }
    let unanswered: Vec<&u64> =
        asked.iter().filter(|id| !answered.contains(id) && !left.contains(id)).collect();
    assert!(unanswered.is_empty(), "no answer: {unanswered:?}");
    assert!(panics > 10 && answered.len() > 200, "{panics} {}", answered.len());
}

/// Guards against a paid set-up that runs twice because its client repeats the request after a connection reset.
#[test]
fn fails_paid_request_repeated_under_its_id_after_it_may_have_run() {
    let mut core = Core::new(3);
    let first = sent(&core.request(1, PAID_CLASS)).remove(0);
    assert_eq!(core.handle(Input::ClientLeft(SessionId(1))), [Effect::Withdraw(SessionId(1), first.server)]);
    let mut out = core.request(1, PAID_CLASS);
    out.extend(core.advance(ms(3000)));
    assert!(sent(&out).is_empty(), "it was set up again");
    assert!(matches!(answers(&out)[..], [Effect::Failed(SessionId(1), why)] if why.may_have_run));
    // A request of a repeatable class is set up again, and so is one that never ran.
    sent(&core.request(2, CLIP_CLASS));
    core.handle(Input::ClientLeft(SessionId(2)));
    assert_eq!(sent(&core.request(2, CLIP_CLASS)).len(), 1);
    core.handle(Input::ClientLeft(SessionId(2)));
    let mut none = Core::new(0);
    none.request(3, PAID_CLASS);
    none.handle(Input::ClientLeft(SessionId(3)));
    let mut again = none.request(3, PAID_CLASS);
    again.extend(none.advance(ms(3000)));
    assert!(matches!(answers(&again)[..], [Effect::Refused(SessionId(3), _)]));
}

/// Guards against releases in reply to duplicate answers and answers with unknown ids, as faulty servers send them: a
/// release ends the session with that id wherever it is established.
#[test]
fn releases_late_answers_only_to_withdrawn_attempts() {
    let mut core = Core::new(3);
    let set_up = sent(&core.request(1, CLIP_CLASS)).remove(0);
    assert!(core.establish(99, &set_up.server).is_empty(), "an unknown id");
    core.establish(1, &set_up.server);
    assert!(core.establish(1, &set_up.server).is_empty(), "a duplicate answer");
    core.end_at_server(1, &set_up.server, Status::Completed);
    assert!(core.establish(1, &set_up.server).is_empty(), "a late duplicate answer");
    // The answer to a withdrawn attempt is released once, and only for a limited time.
    for id in [2, 3] {
        let set_up = sent(&core.request(id, PAID_CLASS)).remove(0);
        core.handle(Input::ClientLeft(SessionId(id)));
        core.advance(ms(29_000 + 2000 * (id - 2)));
        let late = core.establish(id, &set_up.server);
        assert_eq!(late.len(), usize::from(id == 2), "{late:?}");
        assert!(core.establish(id, &set_up.server).is_empty());
    }
}

/// Guards against a flood of requests, or of sessions reported as established, that exhausts the memory. Requests
/// beyond the limit were never sent, so paid ones may be refused too; memory that is freed is used again.
#[test]
fn refuses_requests_beyond_memory_limit() {
    let mut core = Core::new(3);
    // Ten sessions, each with a title of one byte that counts twice, and three descriptions of five bytes.
    core.broker = core.broker.with_memory_limit(10 * (1024 + 2) + 3 * 5, ms(400));
    let entry = |n| ServerEntry::new(server(n), ServerState::Ready, n);
    core.handle(Input::Servers { kind: ListKind::Complete, servers: (0..3).map(entry).collect() });
    let refused = |id| Effect::Refused(SessionId(id), ms(400));
    let to: Vec<SetUp> = (0..3).flat_map(|id| sent(&core.request(id, PAID_CLASS))).collect();
    assert_eq!(to.len(), 3);
    let open = |id: u64| {
        let request = Request::new(SessionId(id), Text::from("t"), Micros(0), 3, 1);
        Input::ExistingSession(request, server(0))
    };
    for id in 10..17 {
        assert!(answers(&core.handle(open(id))).is_empty());
    }
    assert_eq!(core.handle(open(17)), [Effect::Ended(SessionId(17), Status::Reset)]);
    assert_eq!(core.request(3, PAID_CLASS), [refused(3)]);
    core.handle(Input::ClientLeft(SessionId(16)));
    core.establish(0, &to[0].server);
    assert_eq!(
        sent(&core.request(4, PAID_CLASS)).len(),
        1,
        "an established session no longer needs its description"
    );
    assert_eq!(core.request(5, CLIP_CLASS), [refused(5)]);
}
