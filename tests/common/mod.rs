//! A test harness for the decision module: the module, a clock, and the actions it returned.
#![allow(dead_code)] // each test file uses its own part

use amberspindle::api::*;
use amberspindle::brain::Brain;

pub const RUNGS: [f64; 4] = [200.0, 400.0, 800.0, 1600.0];

pub fn ms(x: u64) -> Micros {
    Micros(x * 1000)
}

pub fn settings() -> Settings {
    let mut s = Settings::new(RUNGS.to_vec(), vec![0.25, 0.55, 0.8, 1.0]);
    s.cells = 6;
    s.racks = 2;
    s.link_unit_kb = 4000.0;
    s.rack_kb = 12000.0;
    s.kind_streams = vec![30];
    s.shared_viewer_cost = 0.3;
    s.shortfall_penalty = 7.0;
    s.switch_s = 0.5;
    s.note_delay = ms(600);
    s.load_note_interval = ms(3000);
    s.tick = ms(10);
    s.max_attempts = 4;
    s.uplink_reported = true;
    s.warm_up = ms(10_000);
    s.initial_capacity = 0.4;
    s.overload_factor = 2.0;
    s.overload_window = ms(2000);
    s.drain_grace = ms(1000);
    let mut live = Class::new(ms(1000), ms(4000), Idempotency::Safe);
    live.live = true;
    s.classes = vec![live, Class::new(ms(1000), ms(4000), Idempotency::Safe)];
    s
}

pub const LIVE: usize = 0;
pub const CLIP: usize = 1;

pub fn server(n: u32) -> ServerId {
    ServerId::new(&format!("10.0.0.{n}:80"))
}

pub struct ModuleHarness {
    pub brain: Brain,
    pub now: Micros,
    pub out: Vec<Action>,
    timers: Vec<Micros>,
}

impl ModuleHarness {
    /// Returns a harness whose module knows `servers` warm servers, one per cell.
    pub fn new(settings: Settings, servers: u32) -> ModuleHarness {
        let mut front = ModuleHarness::bare(settings, 1);
        front.list((0..servers).map(|n| ServerEntry::new(server(n), ServerState::Ready, n)).collect());
        front
    }

    pub fn bare(settings: Settings, seed: u64) -> ModuleHarness {
        ModuleHarness {
            brain: Brain::new(settings, seed),
            now: ms(1_000_000),
            out: Vec::new(),
            timers: Vec::new(),
        }
    }

    /// Passes an event to the module; returns the resulting actions.
    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { delay, .. } = action {
                self.timers.push(self.now + *delay);
            }
        }
        self.out.extend(out.iter().cloned());
        out
    }

    /// Advances the clock and runs the timers that expire; returns the resulting actions.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (end, from) = (self.now + span, self.out.len());
        while let Some(at) = self.timers.iter().copied().filter(|at| *at <= end).min() {
            self.timers.retain(|t| *t != at);
            self.now = at;
            self.tell(Event::Timer(0));
        }
        self.now = end;
        self.out[from..].to_vec()
    }

    pub fn list(&mut self, servers: Vec<ServerEntry>) -> Vec<Action> {
        self.tell(Event::ServerList { kind: ListKind::Complete, servers })
    }

    pub fn request(&self, id: u64, class: usize, title: &str) -> Request {
        let mut r = Request::new(SessionId(id), Text::from(title), self.now + ms(4000), 6, 3);
        r.class = class;
        r
    }

    pub fn ask(&mut self, id: u64, class: usize, title: &str) -> Vec<Action> {
        let request = self.request(id, class, title);
        self.tell(Event::Request(request))
    }

    /// Requests a session and lets the chosen server complete the set-up; returns the server.
    pub fn play(&mut self, id: u64, class: usize, title: &str) -> ServerId {
        let sent = sends(&self.ask(id, class, title));
        let (_, to) = sent.first().cloned().expect("sent at once");
        self.pass(ms(100));
        self.first(id, &to);
        to
    }

    pub fn first(&mut self, id: u64, to: &ServerId) -> Vec<Action> {
        self.tell(Event::SetUpDone { id: SessionId(id), attempt: 0, server: to.clone(), took: ms(100) })
    }

    pub fn note(&mut self, id: u64, at: &ServerId, note: Note) -> Vec<Action> {
        self.tell(Event::Note { id: SessionId(id), server: at.clone(), note })
    }

    pub fn outcome(&mut self, id: u64, at: &ServerId, status: Status, closed: bool) -> Vec<Action> {
        let (server, took, load) = (at.clone(), ms(100), Load::default());
        self.tell(Event::Outcome { id: SessionId(id), attempt: 0, server, status, took, closed, load })
    }
}

pub fn sends(actions: &[Action]) -> Vec<(SessionId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((*id, server.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn rates(actions: &[Action]) -> Vec<(SessionId, Rung)> {
    let rate = |a: &Action| match a {
        Action::Rate { id, rung } => Some((*id, *rung)),
        _ => None,
    };
    actions.iter().filter_map(rate).collect()
}

/// Returns the final answers given to a session.
pub fn answers(actions: &[Action], id: u64) -> Vec<Action> {
    let mine = |a: &&Action| match a {
        Action::Refuse { id: of, .. } | Action::Fail(of) => *of == SessionId(id),
        _ => false,
    };
    actions.iter().filter(mine).cloned().collect()
}
