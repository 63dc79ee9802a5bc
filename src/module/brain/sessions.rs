//! The sessions of the module: how they are added and removed, and what is counted for them. No decisions are
//! made here.

use super::shares::MIN_COUNTED_REQUESTS;
use super::*;

impl Brain {
    /// Returns a session for a request, with the rungs that its class and its viewer permit.
    pub(super) fn new_session(&mut self, request: Request, phase: Phase) -> Session {
        let class = &self.settings.classes[request.class];
        let last = self.settings.rung_kb.len().saturating_sub(1);
        let max_rung = request.top.0.min(class.top.0).min(last);
        let worth = class.worth * self.tenant_worth_factor(request.tenant);
        let min_rung = class.floor.0.min(last);
        let (arrived_at, started_at, shares_stream) = (self.state.now, self.state.now, class.live);
        Session {
            min_rung,
            max_rung: max_rung.max(min_rung),
            phase,
            arrived_at,
            started_at,
            worth,
            shares_stream,
            request,
            ..Session::default()
        }
    }

    /// Adds a session that was already playing when the broker started.
    pub(super) fn add_existing_session(&mut self, mut request: Request, server: &ServerId) {
        let (id, Some(&i)) = (request.id, self.state.server_indexes.get(server)) else { return };
        if request.class >= self.settings.classes.len() {
            return;
        }
        self.remove_from_server(id);
        self.remove_session(id);
        self.count_title_request(&mut request);
        let mut session = self.new_session(request, Phase::Playing);
        (session.server, session.attempts, session.rung) = (i, 1, session.min_rung);
        self.state.sessions.insert(id, session);
        self.state.place(id);
        self.take_seat(id);
    }

    /// Removes a session from its server and from the demand there.
    pub(super) fn remove_from_server(&mut self, id: SessionId) {
        if !self.state.is_placed(id) {
            return;
        }
        let (i, rung) = (self.state.sessions[&id].server, self.state.sessions[&id].rung);
        let kb = self.added_kb(i, id, rung);
        self.state.remove_placement(id);
        self.state.add_own_change(i, -kb);
    }

    /// Ends a request that has its final answer or whose viewer left; an open attempt stays until its
    /// outcome.
    pub(super) fn abandon(&mut self, id: SessionId) {
        match self.state.sessions.get(&id).map(|s| s.phase) {
            Some(Phase::Setup) => self.state.update_session(id, |s| s.phase = Phase::Answered),
            Some(Phase::Held) => self.remove_session(id),
            Some(Phase::Playing | Phase::Answered) | None => {}
        }
    }

    /// Removes all that is known of a session, except at its server.
    pub(super) fn remove_session(&mut self, id: SessionId) {
        self.state.held.remove(id);
        self.free_seat(id);
        let Some(s) = self.state.sessions.remove(&id) else { return };
        self.state.deadlines.remove(s.request.due, id);
        self.state.titles.remove_session(&s.request.title);
    }

    /// Counts a session that is no longer held against the seats of its title.
    pub(super) fn take_seat(&mut self, id: SessionId) {
        let Some(s) = self.state.sessions.get(&id) else { return };
        let (class, title) = (s.request.class, s.request.title.clone());
        self.state.seats.take(class, &title);
        self.update_blocked(class, &title);
    }

    /// Frees the seat of a session, unless it is held and has none.
    pub(super) fn free_seat(&mut self, id: SessionId) {
        let Some(s) = self.state.sessions.get(&id).filter(|s| s.phase != Phase::Held) else { return };
        let (class, title) = (s.request.class, s.request.title.clone());
        self.state.seats.free(class, &title);
        self.update_blocked(class, &title);
    }

    /// Tells the queue of held sessions whether a title has a free seat.
    pub(super) fn update_blocked(&mut self, class: usize, title: &Text) {
        let blocked = self.state.seats.taken(class, title) > 0 && !self.has_free_seat(class, title);
        self.state.held.set_blocked(class, title, blocked);
    }

    /// Counts the request of a new session for the popularity of its title.
    pub(super) fn count_title_request(&mut self, request: &mut Request) {
        let now = self.state.now;
        let usage = self.state.titles.usage(now, &request.title);
        let earlier_requests = usage.map_or(0.0, |t| decayed(t.recent_requests, now - t.updated_at));
        let earlier_hint_s = usage.map_or(1.0, |t| t.duration_hint_s);
        let recent_requests = earlier_requests + 1.0;
        let lifetime_s = POPULARITY_HALF_LIFE_S * (recent_requests / MIN_COUNTED_REQUESTS).log2();
        let usage = TitleUsage {
            recent_requests,
            updated_at: now,
            expires_at: now + Micros::from_secs(lifetime_s),
            duration_hint_s: request.duration_hint_s.unwrap_or(earlier_hint_s),
        };
        request.title = self.state.titles.add_session(&request.title, usage);
    }
}
