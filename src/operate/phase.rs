//! The phases of a broker's service: whether tests pass, and which of its clients' connections it lets go.

use crate::api::Micros;

/// The front asks every 0.1 s and keeps sending new connections for 0.2 s after a no (the operators' page on
/// operating days); before this is over a connection that is let go would only come again here.
const STILL_SENT: Micros = Micros(400_000);
/// A connection that nothing is set up on is let go when it has been quiet for so long: clients ask again on open
/// connections as a rule right behind an answer, and what crosses the end must be sent again.
const QUIET: Micros = Micros(150_000);
/// The same once another process serves: whoever comes again is served there at once, so that the sooner the better.
const QUIET_YIELDED: Micros = Micros(20_000);
/// A broker that drains takes requests on open connections for so long: 4 s after the call it may hold none that brought a
/// request in the last 2 s (the same page), and clients need a moment to close too.
const DRAIN_TAKES: Micros = Micros(1_800_000);
/// A connection that never said anything has so long: its first request may be under way.
const FIRST_WORD: Micros = Micros(1_000_000);
/// A process that has no list says no for so long at most: nine in ten are to be ready within 10 s of their start.
const LIST_AWAITED: Micros = Micros(8_000_000);

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
    Unlisted,
}

impl Unready {
    /// One word for staff.
    pub fn word(self) -> &'static str {
        match self {
            Unready::Draining => "draining",
            Unready::Ending => "ending",
            Unready::Starting => "starting",
            Unready::Yielded => "another process serves",
            Unready::Unlisted => "no list of servers yet",
        }
    }
}

/// Which phase a broker is in. Draining and ending are told apart, as a drain can be taken back: an end in the
/// middle of a drain stays an end when the drain is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    draining: Option<Micros>,
    ending: bool,
    closed: bool,
    starting: bool,
    yielded: bool,
    /// No list has come, and until then one is waited for.
    unlisted: Option<Micros>,
}

impl Phase {
    /// Staff drain the broker; false if it drained already.
    pub fn drain(&mut self, now: Micros) -> bool {
        let new = self.draining.is_none();
        self.draining.get_or_insert(now);
        new
    }

    /// Staff take the drain back; false if there was none.
    pub fn undrain(&mut self) -> bool {
        self.draining.take().is_some()
    }

    /// The process was told to end.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// All that was taken is answered: what still comes is turned away at once, until no connection is left.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether the process turns away what comes, as it ends.
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Whether a request that comes now is turned away: the process ends, or it has drained for long enough.
    pub fn turns_away(&self, now: Micros) -> bool {
        self.closed || self.draining.is_some_and(|at| now >= at + DRAIN_TAKES)
    }

    /// A process without any list can serve nobody: it is not ready until one has come, or until its source has been
    /// out of reach for so long that requests are better refused here than kept away from all processes.
    pub fn awaits_list(&mut self, now: Micros) {
        self.unlisted = Some(now + LIST_AWAITED);
    }

    /// A list has come.
    pub fn listed(&mut self) {
        self.unlisted = None;
    }

    fn unlisted(&self, now: Micros) -> bool {
        self.unlisted.is_some_and(|until| now < until)
    }

    /// It asks the process before it whether it may serve.
    pub fn start(&mut self) {
        self.starting = true;
    }

    /// It may.
    pub fn serve(&mut self) {
        self.starting = false;
    }

    /// Another process serves in its place from now on.
    pub fn yields(&mut self) {
        self.yielded = true;
    }

    /// That process is gone.
    pub fn resumes(&mut self) {
        self.yielded = false;
    }

    /// Whether sessions are passed to another process.
    pub fn yielded(&self) -> bool {
        self.yielded
    }

    /// Whether tests of the broker pass here. Where another process serves in its place the broker as a whole goes on.
    pub fn passes(&self, now: Micros) -> bool {
        self.draining.is_none() && (!self.ending || self.yielded) && !self.unlisted(now)
    }

    /// Why it is not ready to serve, if it is not.
    pub fn unready(&self, now: Micros) -> Option<Unready> {
        let reasons = [
            (self.ending, Unready::Ending),
            (self.yielded, Unready::Yielded),
            (self.draining.is_some(), Unready::Draining),
            (self.starting, Unready::Starting),
            (self.unlisted(now), Unready::Unlisted),
        ];
        reasons.into_iter().find_map(|(holds, why)| holds.then_some(why))
    }

    /// From when on clients' connections are let go, if they are.
    pub fn lets_go_from(&self) -> Option<Micros> {
        if self.yielded { Some(Micros(0)) } else { self.draining.map(|at| at + STILL_SENT) }
    }

    /// Whether a connection that nothing is set up on is let go: one that was last used then (accepted, asked, or
    /// answered), and whether it ever said anything.
    pub fn lets_go(&self, now: Micros, used: Micros, spoke: bool) -> bool {
        let quiet = match (spoke, self.yielded) {
            // Nothing is taken any more: clients that ask without a pause are let go too.
            _ if self.turns_away(now) => Micros(0),
            (false, _) => FIRST_WORD,
            (true, true) => QUIET_YIELDED,
            (true, false) => QUIET,
        };
        self.lets_go_from().is_some_and(|from| now >= from) && now - used >= quiet
    }
}

#[cfg(test)]
mod tests;
