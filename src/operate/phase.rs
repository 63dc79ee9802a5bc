//! The phases of a broker's service: whether tests pass, and which of its clients' connections it lets go.

use crate::api::Micros;

/// The front asks every 0.1 s and keeps sending new connections for 0.2 s after a no (the operators' page on
/// operating days); before this is over a connection that is let go would only come again here.
const REROUTE_TIME: Micros = Micros(400_000);
/// A connection that nothing is set up on is let go when it has been quiet for so long: clients ask again on open
/// connections as a rule right behind an answer, and what crosses the end must be sent again.
const MIN_IDLE: Micros = Micros(150_000);
/// The same once another process serves: whoever comes again is served there at once, so that the sooner the better.
const MIN_IDLE_AFTER_YIELD: Micros = Micros(20_000);
/// A broker that drains takes requests on open connections for so long: 4 s after the call it may hold none that brought a
/// request in the last 2 s (the same page), and clients need a moment to close too.
const DRAIN_ACCEPT_TIME: Micros = Micros(1_800_000);
/// A connection that never said anything has so long: its first request may be under way.
const FIRST_REQUEST_TIMEOUT: Micros = Micros(1_000_000);
/// A process that has no list says no for so long at most: nine in ten are to be ready within 10 s of their start.
const SERVER_LIST_TIMEOUT: Micros = Micros(8_000_000);

/// Why a broker answers tests with no.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unready {
    /// It drains.
    Draining,
    /// It ends.
    Ending,
    /// It starts, and another process still serves.
    Starting,
    /// Another process serves in its place.
    Yielded,
    /// No list of servers has come yet.
    NoServerList,
}

impl Unready {
    /// One word for staff.
    pub fn text(self) -> &'static str {
        match self {
            Unready::Draining => "draining",
            Unready::Ending => "ending",
            Unready::Starting => "starting",
            Unready::Yielded => "another process serves",
            Unready::NoServerList => "no list of servers yet",
        }
    }
}

/// Which phase a broker is in. Draining and ending are told apart, as a drain can be taken back: an end in the
/// middle of a drain stays an end when the drain is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    draining_since: Option<Micros>,
    is_ending: bool,
    is_refusing: bool,
    is_starting: bool,
    has_yielded: bool,
    /// No list has come, and until then one is waited for.
    server_list_deadline: Option<Micros>,
}

impl Phase {
    /// Staff drain the broker; false if it drained already.
    pub fn drain(&mut self, now: Micros) -> bool {
        let new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        new
    }

    /// Staff take the drain back; false if there was none.
    pub fn undrain(&mut self) -> bool {
        self.draining_since.take().is_some()
    }

    /// The process was told to end.
    pub fn begin_shutdown(&mut self) {
        self.is_ending = true;
    }

    /// All that was taken is answered: what still comes is turned away at once, until no connection is left.
    pub fn start_refusing(&mut self) {
        self.is_refusing = true;
    }

    /// Whether the process turns away what comes, as it ends.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// Whether a request that comes now is turned away: the process ends, or it has drained for long enough.
    pub fn rejects_requests(&self, now: Micros) -> bool {
        self.is_refusing || self.draining_since.is_some_and(|at| now >= at + DRAIN_ACCEPT_TIME)
    }

    /// A process without any list can serve nobody: it is not ready until one has come, or until its source has been
    /// out of reach for so long that requests are better refused here than kept away from all processes.
    pub fn await_server_list(&mut self, now: Micros) {
        self.server_list_deadline = Some(now + SERVER_LIST_TIMEOUT);
    }

    /// A list has come.
    pub fn server_list_received(&mut self) {
        self.server_list_deadline = None;
    }

    fn awaits_server_list(&self, now: Micros) -> bool {
        self.server_list_deadline.is_some_and(|until| now < until)
    }

    /// It asks the process before it whether it may serve.
    pub fn await_predecessor(&mut self) {
        self.is_starting = true;
    }

    /// It may.
    pub fn start_serving(&mut self) {
        self.is_starting = false;
    }

    /// Another process serves in its place from now on.
    pub fn yield_to_successor(&mut self) {
        self.has_yielded = true;
    }

    /// That process is gone.
    pub fn resume_serving(&mut self) {
        self.has_yielded = false;
    }

    /// Whether sessions are passed to another process.
    pub fn has_yielded(&self) -> bool {
        self.has_yielded
    }

    /// Whether tests of the broker pass here. Where another process serves in its place the broker as a whole goes on.
    pub fn passes_health_check(&self, now: Micros) -> bool {
        self.draining_since.is_none()
            && (!self.is_ending || self.has_yielded)
            && !self.awaits_server_list(now)
    }

    /// Why it is not ready to serve, if it is not.
    pub fn unready_reason(&self, now: Micros) -> Option<Unready> {
        let reasons = [
            (self.is_ending, Unready::Ending),
            (self.has_yielded, Unready::Yielded),
            (self.draining_since.is_some(), Unready::Draining),
            (self.is_starting, Unready::Starting),
            (self.awaits_server_list(now), Unready::NoServerList),
        ];
        reasons.into_iter().find_map(|(holds, why)| holds.then_some(why))
    }

    /// From when on clients' connections are let go, if they are.
    pub fn closes_connections_from(&self) -> Option<Micros> {
        if self.has_yielded { Some(Micros(0)) } else { self.draining_since.map(|at| at + REROUTE_TIME) }
    }

    /// Whether a connection that nothing is set up on is let go: one that was last used then (accepted, asked, or
    /// answered), and whether it ever said anything.
    pub fn closes_connection(&self, now: Micros, last_used: Micros, has_sent: bool) -> bool {
        let min_idle = match (has_sent, self.has_yielded) {
            // Nothing is taken any more: clients that ask without a pause are let go too.
            _ if self.rejects_requests(now) => Micros(0),
            (false, _) => FIRST_REQUEST_TIMEOUT,
            (true, true) => MIN_IDLE_AFTER_YIELD,
            (true, false) => MIN_IDLE,
        };
        self.closes_connections_from().is_some_and(|from| now >= from) && now - last_used >= min_idle
    }
}

#[cfg(test)]
mod tests;
