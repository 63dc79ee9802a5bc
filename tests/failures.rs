//! Whether a failed request is reported as a passed deadline or as the failure of a server.

use amberspindle::api::{Idempotency, *};
use amberspindle::broker::{Broker, Effect, Failure, Input};

const REQUEST: SessionId = SessionId(1);
const DEADLINE: Micros = Micros(2_000_000);

/// A broker with one server and one request of a paid class, whose set-up is in flight.
struct Core {
    broker: Broker,
    now: Micros,
    due: Micros,
}

fn server() -> ServerId {
    ServerId::new("s-0")
}

impl Core {
    fn with_request(tick: Micros) -> Core {
        let mut settings = Settings::new(vec![100.0, 200.0], vec![0.4, 1.0]);
        (settings.cells, settings.racks, settings.link_unit_kb, settings.rack_kb) = (1, 1, 1e5, 3e5);
        (settings.tick, settings.max_attempts) = (tick, 4);
        settings.classes = vec![Class::new(Micros(1_000_000), DEADLINE, Idempotency::Unsafe)];
        let now = Micros(1_000_000_000);
        let mut core = Core { broker: Broker::new(settings, 7), now, due: now + DEADLINE };
        let listed = ServerEntry::new(server(), ServerState::Ready, 0);
        core.handle(Input::Servers { kind: ListKind::Complete, servers: vec![listed] });
        let request = Request::new(REQUEST, Text::from("t"), core.due, 1, 1);
        let effects = core.handle(Input::Request(request, b"offer"[..].into()));
        assert!(effects.iter().any(|effect| matches!(effect, Effect::SetUp(_))), "{effects:?}");
        core
    }

    fn handle(&mut self, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.broker.handle(self.now, input, &mut effects);
        effects
    }

    /// Advances the clock to `end` and handles the alarms that become due.
    fn advance_until(&mut self, end: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(at) = self.broker.next_alarm().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            effects.extend(self.handle(Input::Tick));
        }
        self.now = end;
        effects
    }
}

fn failures(effects: &[Effect]) -> Vec<Failure> {
    let failure = |effect: &Effect| if let Effect::Failed(_, why) = effect { Some(*why) } else { None };
    effects.iter().filter_map(failure).collect()
}

#[test]
fn reports_passed_deadline_when_set_up_has_no_answer_at_any_tick() {
    for tick_ms in [1, 10, 25, 50, 100, 200] {
        let mut core = Core::with_request(Micros(tick_ms * 1000));
        let effects = core.advance_until(core.due + Micros(100_000));
        let expected = Failure { deadline_passed: true, may_have_run: true };
        assert_eq!(failures(&effects), [expected], "ticks of {tick_ms} ms");
    }
}

#[test]
fn reports_server_failure_when_error_arrives_before_deadline() {
    let mut core = Core::with_request(Micros(1000));
    assert_eq!(failures(&core.advance_until(core.due - Micros(80_000))), []);
    let (id, server, load) = (REQUEST, server(), Load::default());
    let effects = core.handle(Input::Ended { id, server, status: Status::Errored, load });
    assert_eq!(failures(&effects), [Failure { deadline_passed: false, may_have_run: true }]);
}
