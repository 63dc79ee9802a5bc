//! The service phases of a broker process: whether health checks pass, and which client connections it closes while
//! it drains, hands over or shuts down.

use crate::api::Micros;

/// The load balancer checks health every 0.1 s and keeps sending new connections for 0.2 s after a failed check
/// (the operators' page on operating days). A client whose connection was closed earlier would only be sent back
/// to this process.
const REROUTE_TIME: Micros = Micros(400_000);
/// A connection without a session is closed after it has been idle for this long. Clients usually reuse an open
/// connection right after an answer, and a request that crosses the close must be sent again.
const MIN_IDLE: Micros = Micros(150_000);
/// The idle time once another process serves. It is shorter, as a client that reconnects is served there at once.
const MIN_IDLE_AFTER_YIELD: Micros = Micros(20_000);
/// The time for which a draining broker accepts requests on open connections. 4 s after the call it may hold no
/// connection that carried a request in the last 2 s (the same page), and clients need a moment to close their side.
const DRAIN_ACCEPT_TIME: Micros = Micros(1_800_000);
/// A connection that has carried no request is closed only after this time, as its first request may be on its way.
const FIRST_REQUEST_TIMEOUT: Micros = Micros(1_000_000);
/// The longest time for which a process without a server list reports that it is not ready. Nine in ten processes
/// must be ready within 10 s of their start.
const SERVER_LIST_TIMEOUT: Micros = Micros(8_000_000);

/// The reason why a broker is not ready to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unready {
    /// The broker drains.
    Draining,
    /// The process shuts down.
    Ending,
    /// The process starts while its predecessor still serves.
    Starting,
    /// Another process serves in place of this one.
    Yielded,
    /// No server list has arrived yet.
    NoServerList,
}

impl Unready {
    /// Returns the reason as the console prints it.
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

/// The service phase of a broker process. Draining and shutdown are separate, as a drain can be revoked: a
/// shutdown that begins during a drain goes on when the drain ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    draining_since: Option<Micros>,
    is_ending: bool,
    is_refusing: bool,
    is_starting: bool,
    has_yielded: bool,
    /// The time until which the process waits for its first server list; `None` if it does not wait for one.
    server_list_deadline: Option<Micros>,
}

impl Phase {
    /// Starts a drain. Returns false if the broker drains already.
    pub fn drain(&mut self, now: Micros) -> bool {
        let new = self.draining_since.is_none();
        self.draining_since.get_or_insert(now);
        new
    }

    /// Ends the drain. Returns false if there is none.
    pub fn undrain(&mut self) -> bool {
        self.draining_since.take().is_some()
    }

    /// Starts the shutdown of the process.
    pub fn begin_shutdown(&mut self) {
        self.is_ending = true;
    }

    /// Refuses all further requests until no connection is left. Called during shutdown, once the accepted
    /// requests have their answers.
    pub fn start_refusing(&mut self) {
        self.is_refusing = true;
    }

    /// Whether the process refuses all requests because it shuts down.
    pub fn is_refusing(&self) -> bool {
        self.is_refusing
    }

    /// Whether a request that arrives now is refused: in shutdown, or after `DRAIN_ACCEPT_TIME` of a drain.
    pub fn rejects_requests(&self, now: Micros) -> bool {
        self.is_refusing || self.draining_since.is_some_and(|at| now >= at + DRAIN_ACCEPT_TIME)
    }

    /// Reports the process as not ready until its first server list arrives, as it can serve no request without
    /// one. The wait is bounded: when the source stays unreachable, refusing requests here is better than having
    /// no ready process.
    pub fn await_server_list(&mut self, now: Micros) {
        self.server_list_deadline = Some(now + SERVER_LIST_TIMEOUT);
    }

    /// Ends the wait for a server list.
    pub fn server_list_received(&mut self) {
        self.server_list_deadline = None;
    }

    fn awaits_server_list(&self, now: Micros) -> bool {
        self.server_list_deadline.is_some_and(|until| now < until)
    }

    /// Reports the process as not ready until its predecessor has yielded.
    pub fn await_predecessor(&mut self) {
        self.is_starting = true;
    }

    /// Ends the wait for the predecessor.
    pub fn start_serving(&mut self) {
        self.is_starting = false;
    }

    /// Records that another process serves in place of this one.
    pub fn yield_to_successor(&mut self) {
        self.has_yielded = true;
    }

    /// Records that this process serves again, because its successor is gone.
    pub fn resume_serving(&mut self) {
        self.has_yielded = false;
    }

    /// Whether another process serves, so that sessions are handed over to it.
    pub fn has_yielded(&self) -> bool {
        self.has_yielded
    }

    /// Whether health checks pass. During shutdown they go on passing if a successor serves, as the broker as a whole
    /// does.
    pub fn passes_health_check(&self, now: Micros) -> bool {
        self.draining_since.is_none()
            && (!self.is_ending || self.has_yielded)
            && !self.awaits_server_list(now)
    }

    /// Returns the reason why the process is not ready to serve, if there is one.
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

    /// Returns the time from which client connections are closed, if they are to be closed.
    pub fn closes_connections_from(&self) -> Option<Micros> {
        if self.has_yielded { Some(Micros(0)) } else { self.draining_since.map(|at| at + REROUTE_TIME) }
    }

    /// Whether a connection without a session is to be closed. `last_used` is when it was accepted or last carried a
    /// request or an answer; `has_sent` is whether the client has ever sent anything.
    pub fn closes_connection(&self, now: Micros, last_used: Micros, has_sent: bool) -> bool {
        let min_idle = match (has_sent, self.has_yielded) {
            // No request is accepted any more, so connections of clients that send without a pause are closed too.
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
