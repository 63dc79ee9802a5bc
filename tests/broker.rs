//! The core without a wire: requests, attempts, outcomes and the rules round the module.

use amberspindle::api::{Effect as Repeat, *};
use amberspindle::broker::{Broker, Effect, Input, SetUp};

const PAID: usize = 0;
const CLIP: usize = 1;

fn ms(x: u64) -> Micros {
    Micros(x * 1000)
}

struct Core {
    broker: Broker,
    now: Micros,
}

impl Core {
    /// A core before so many servers, one a cell, and a deadline of two seconds.
    fn new(servers: u32) -> Core {
        let mut s = Settings::new(vec![100.0, 200.0], vec![0.4, 1.0]);
        (s.cells, s.racks, s.link_unit_kb, s.rack_kb, s.max_attempts) = (3, 1, 1e5, 3e5, 4);
        (s.tick, s.max_retry_after) = (ms(10), ms(500));
        let class = |effect| Class::new(ms(1000), ms(2000), effect);
        s.classes = vec![class(Repeat::Unsafe), class(Repeat::Safe)];
        let mut core = Core { broker: Broker::new(s, 7), now: ms(1_000_000) };
        let entry = |n| ServerEntry::new(server(n), ServerState::Ready, n);
        core.tell(Input::Servers { kind: ListKind::Complete, servers: (0..servers).map(entry).collect() });
        core
    }

    fn tell(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.broker.handle(self.now, input, &mut out);
        out
    }

    fn ask(&mut self, id: u64, class: usize) -> Vec<Effect> {
        let mut request = Request::new(SessionId(id), Text::from("t"), self.now + ms(2000), 3, 1);
        request.class = class;
        self.tell(Input::Request(request, b"offer"[..].into()))
    }

    /// Lets time pass, alarms going off.
    fn pass(&mut self, span: Micros) -> Vec<Effect> {
        let (end, mut out) = (self.now + span, Vec::new());
        while let Some(at) = self.broker.next_alarm().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.tell(Input::Tick));
        }
        self.now = end;
        out
    }

    fn over(&mut self, id: u64, at: &ServerId, status: Status) -> Vec<Effect> {
        let (id, server, load) = (SessionId(id), at.clone(), Load::default());
        self.tell(Input::Over { id, server, status, load })
    }

    fn stands(&mut self, id: u64, at: &ServerId) -> Vec<Effect> {
        let (id, server) = (SessionId(id), at.clone());
        self.tell(Input::Stands { id, server, answer: b"answer"[..].into() })
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
        .filter(|e| matches!(e, Effect::Plays(..) | Effect::Refused(..) | Effect::Failed(..)))
        .collect()
}

#[test]
fn a_request_is_sent_with_its_rung_and_answered_once() {
    let mut core = Core::new(3);
    let set_up = sent(&core.ask(1, CLIP)).remove(0);
    assert_eq!((set_up.attempt, &*set_up.offer, set_up.rung), (0, &b"offer"[..], Some(Rung(1))));
    let out = core.stands(1, &set_up.server);
    assert_eq!(answers(&out), [&Effect::Plays(SessionId(1), b"answer"[..].into())]);
    assert!(answers(&core.pass(ms(5000))).is_empty());
    let out = core.over(1, &set_up.server, Status::Completed);
    assert_eq!(out, [Effect::Ended(SessionId(1), Status::Completed)]);
    assert!(!core.broker.knows(SessionId(1)));
}

#[test]
fn a_paid_set_up_is_resent_after_proof_and_fails_without() {
    let mut core = Core::new(3);
    let first = sent(&core.ask(1, PAID)).remove(0);
    let out = core.over(1, &first.server, Status::Saturated);
    let second = sent(&out).remove(0);
    assert_eq!((second.attempt, second.server == first.server), (1, false));
    let out = core.over(1, &second.server, Status::Reset);
    assert!(sent(&out).is_empty());
    assert!(
        matches!(answers(&out)[..], [Effect::Failed(SessionId(1), why)] if why.may_have_run && !why.deadline)
    );
}

#[test]
fn a_silent_server_costs_a_paid_request_its_deadline_and_a_late_answer_is_released() {
    let mut core = Core::new(3);
    let first = sent(&core.ask(1, PAID)).remove(0);
    let out = core.pass(ms(2000));
    assert!(
        matches!(answers(&out)[..], [Effect::Failed(SessionId(1), why)] if why.may_have_run && why.deadline)
    );
    assert!(out.contains(&Effect::GiveUp(SessionId(1), first.server.clone())));
    let late = core.stands(1, &first.server);
    assert_eq!(late, [Effect::Cut(SessionId(1), first.server)]);
}

#[test]
fn attempts_never_overlap_and_end_by_the_deadline() {
    let mut core = Core::new(3);
    let mut out = core.ask(1, CLIP);
    let start = core.now;
    out.extend(core.pass(ms(3000)));
    let mut open = 0;
    for effect in &out {
        match effect {
            Effect::SetUp(s) => {
                open += 1;
                assert!(s.wait <= ms(2000));
            }
            Effect::GiveUp(..) => open -= 1,
            _ => {}
        }
        assert!((0..=1).contains(&open));
    }
    assert!(sent(&out).len() > 1 && sent(&out).len() <= 4);
    assert_eq!(answers(&out).len(), 1);
    assert!(core.now > start);
}

#[test]
fn with_no_server_each_request_still_gets_its_one_answer() {
    let mut core = Core::new(0);
    let mut out = core.ask(1, PAID);
    out.extend(core.pass(ms(3000)));
    assert_eq!(answers(&out), [&Effect::Refused(SessionId(1), ms(500))], "and told when to come back");
}

#[test]
fn a_client_that_leaves_gives_the_attempt_up_and_is_owed_nothing() {
    let mut core = Core::new(3);
    let first = sent(&core.ask(1, PAID)).remove(0);
    let mut out = core.tell(Input::Left(SessionId(1)));
    assert_eq!(out, [Effect::GiveUp(SessionId(1), first.server.clone())]);
    out.extend(core.pass(ms(3000)));
    assert!(answers(&out).is_empty());
    assert_eq!(core.stands(1, &first.server), [Effect::Cut(SessionId(1), first.server)]);
    // And one that plays is cut at its server.
    let set_up = sent(&core.ask(2, CLIP)).remove(0);
    core.stands(2, &set_up.server);
    assert_eq!(core.tell(Input::Left(SessionId(2))), [Effect::Cut(SessionId(2), set_up.server)]);
}

#[test]
fn what_stood_at_a_lost_server_is_over() {
    let mut core = Core::new(1);
    let (open, at) = (Request::new(SessionId(9), Text::from("t"), core.now, 3, 1), server(0));
    core.tell(Input::Open(open, at.clone()));
    assert!(core.broker.stands(SessionId(9), &at));
    assert_eq!(
        core.tell(Input::Lost(at)),
        [Effect::Ended(SessionId(9), Status::Reset), Effect::Log("distrust s-0: connection broke".into()),]
    );
}

#[test]
fn nothing_new_goes_to_a_draining_server() {
    let mut core = Core::new(1);
    let drains = ServerEntry::new(server(0), ServerState::Draining, 0);
    core.tell(Input::Servers { kind: ListKind::Changes, servers: vec![drains] });
    let mut out = core.ask(1, CLIP);
    out.extend(core.pass(ms(3000)));
    assert!(sent(&out).is_empty());
    assert_eq!(answers(&out).len(), 1);
}
