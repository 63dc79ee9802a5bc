//! Held requests, and the order in which they are sent.

use super::choice::RANDOM_SPREAD;
use super::rungs::{MAX_LIMIT, MIN_CHANGE_INTERVAL, TOP_RUNG_LIMIT};
use super::*;

/// The share of a class's objective for which a session may be held to wait for its group's turn; the rest is
/// for the set-up.
const MAX_HOLD_SHARE: f64 = 0.4;
/// The maximum number of held sessions that one request tries without success, though each might have found
/// room. After that all of them, including the new one, wait for the next check, as a new request may not
/// overtake held ones.
const MAX_FAILED_SEARCHES: usize = 256;
/// Far above rounding errors in a rate or a utilization, and far below any difference that matters.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Brain {
    /// Queues a new request and tries to place it, unless it must be refused at once.
    pub(super) fn handle_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.settings.classes.len() || self.state.sessions.contains_key(&id) {
            out.push(Action::Refuse { id, retry_after: Micros(0) });
            return;
        }
        let now = self.state.now;
        self.state.recent_requests.record(now, self.retry_window());
        self.count_title_request(&mut request);
        if let Some(tenant) = self.state.tenants.get_mut(request.tenant) {
            *tenant = (decayed(tenant.0, now - tenant.1) + 1.0, now);
        }
        let session = self.new_session(request, Phase::Held);
        // A viewer whose own top rung is below the floor of its class cannot be served.
        let cannot_be_served = session.request.top.0 < session.min_rung;
        let title = session.request.title.clone();
        self.state.sessions.insert(id, session);
        self.state.held.push_back(id, title, self.constraints(id));
        if cannot_be_served || !self.accepts_request(id) {
            return self.send_final_answer(id, out);
        }
        self.schedule_deadline(id, out);
        match self.state.held.len() {
            1 => self.try_to_place(id, out),
            _ => self.serve_first_of_titles(out),
        }
    }

    /// Gives room that became free since the last check to sessions that are already held, in order of
    /// arrival; otherwise new requests would overtake them until they have waited long enough to be sent
    /// anyway. Behind a session that finds no room, no other of its title finds any. Sessions that cannot
    /// find room, by what is known for their constraints, are skipped.
    fn serve_first_of_titles(&mut self, out: &mut Vec<Action>) {
        let (mut after, mut failed, mut cache) = (None, 0, None);
        while failed < MAX_FAILED_SEARCHES {
            let known = cache.get_or_insert_with(|| self.availability_after(after));
            // The session that has waited longest is first: if it has not waited long enough, no other has.
            let next = |(constraints, availability): (&Constraints, &Availability)| {
                let first = self.state.held.next_first(constraints, after);
                first.filter(|(_, id)| self.may_find_server(*id, *availability))
            };
            let Some((position, id)) = known.iter().filter_map(next).min() else { return };
            after = Some(position);
            self.try_to_place(id, out);
            if self.state.held.contains(id) {
                failed += 1;
            } else {
                cache = None;
            }
        }
    }

    /// Returns the availability for the constraints of all first sessions of titles after a position.
    fn availability_after(&self, after: Option<QueuePosition>) -> AvailabilityByConstraints {
        let first_of_titles = self.state.held.first_constraints();
        let first_of_titles =
            first_of_titles.filter(|constraints| self.state.held.next_first(constraints, after).is_some());
        first_of_titles.map(|constraints| (*constraints, self.availability(constraints))).collect()
    }

    /// Returns the best that sessions with these constraints can find, whatever their titles and ids.
    fn availability(&self, constraints: &Constraints) -> Availability {
        self.state.count_search();
        if constraints.is_key_window_over || constraints.is_retry && !self.has_retry_budget() {
            return Availability::default();
        }
        let recognises = |i: &usize| {
            constraints
                .possible_run_server
                .is_none_or(|server| self.recognises_repeat(constraints.class, server, *i))
        };
        let candidates: Vec<usize> =
            self.accepting_servers(constraints.home, constraints.copies).filter(recognises).collect();
        let live = self.settings.classes[constraints.class].live;
        let unshared_kb = self.settings.stream_kb(constraints.class, 1, constraints.min_rung);
        let min_kb = if live {
            unshared_kb * self.settings.shared_viewer_cost.clamp(0.0, 1.0) * (1.0 - ROUNDING_TOLERANCE)
        } else {
            unshared_kb
        };
        let trusted = || candidates.iter().copied().filter(|i| self.is_trusted(*i));
        // The random term can place a server before the best one only if it is this close.
        let best_rank = trusted().map(|i| self.rank(i, min_kb, 0.0)).fold(f64::MAX, f64::min);
        let is_near_best =
            |i: usize| live || self.rank(i, min_kb, 0.0) <= best_rank + RANDOM_SPREAD + ROUNDING_TOLERANCE;
        let has_room = !constraints.is_retry
            && trusted().any(|i| self.utilization_after(i, min_kb) <= MAX_LIMIT && is_near_best(i));
        Availability { has_server: !candidates.is_empty(), has_room }
    }

    /// Whether it is worth searching a server for a session.
    fn may_find_server(&self, id: SessionId, availability: Availability) -> bool {
        let s = &self.state.sessions[&id];
        self.has_time_for_attempt(s)
            && (availability.has_room
                || availability.has_server && (s.attempts > 0 || self.has_waited_enough(s)))
    }

    /// Whether a session has been held for its share of the objective.
    fn has_waited_enough(&self, s: &Session) -> bool {
        let slo = self.settings.classes[s.request.class].slo;
        self.state.now - s.arrived_at >= Micros::from_secs(slo.secs() * MAX_HOLD_SHARE)
    }

    /// Sends a session at once if its server has room, if it was held for its share of the objective, or if
    /// it was sent before. Others wait for their group's turn.
    pub(super) fn try_to_place(&mut self, id: SessionId, out: &mut Vec<Action>) {
        self.state.count_search();
        let Some(i) = self.choose_server(id) else { return };
        let s = &self.state.sessions[&id];
        let has_room =
            self.is_trusted(i) && self.utilization_after(i, self.added_kb(i, id, s.min_rung)) <= MAX_LIMIT;
        if has_room || s.attempts > 0 || self.has_waited_enough(s) {
            self.start_attempt(id, i, out);
        }
    }

    /// Checks all held sessions: first for room, then streams are assigned by the groups' shares.
    pub(super) fn serve_held(&mut self, out: &mut Vec<Action>) {
        let mut cache = AvailabilityByConstraints::new();
        for id in self.state.held.ids() {
            let constraints = self.constraints(id);
            self.state.held.update_constraints(id, constraints);
            let availability = *cache.entry(constraints).or_insert_with(|| self.availability(&constraints));
            if self.may_find_server(id, availability) {
                self.try_to_place(id, out);
                if !self.state.held.contains(id) {
                    cache.clear();
                }
            }
        }
        if self.state.held.len() == 0 {
            return;
        }
        if self.state.now - self.state.saturation_logged_at > MIN_CHANGE_INTERVAL {
            self.state.saturation_logged_at = self.state.now;
            out.push(Action::Log("links full: streams go by shares".to_owned()));
        }
        if self.state.held.ids().into_iter().any(|id| self.has_server(id, &mut cache)) {
            self.serve_groups(out);
        }
    }

    /// Whether any server accepts a session, with or without room.
    fn has_server(&self, id: SessionId, cache: &mut AvailabilityByConstraints) -> bool {
        let constraints = self.constraints(id);
        cache.entry(constraints).or_insert_with(|| self.availability(&constraints)).has_server
    }

    /// Sends held sessions within their groups' shares of streams, and beyond them one title for each server
    /// with room.
    fn serve_groups(&mut self, out: &mut Vec<Action>) {
        let mut cache = AvailabilityByConstraints::new();
        let ready =
            |i: &usize| self.state.servers[*i].entry.state == ServerState::Ready && self.is_trusted(*i);
        let ready = (0..self.state.servers.len()).filter(ready);
        let servers_with_room = ready.filter(|i| self.utilization_after(*i, 0.0) < TOP_RUNG_LIMIT).count();
        let mut spare_servers = servers_with_room;
        for group in self.title_groups(servers_with_room) {
            let mut streams_left = group.share - group.streams_in_use;
            // In order of arrival within the group; all held sessions of a title are sent together.
            let first_of_titles = group
                .held_titles
                .iter()
                .filter_map(|title| Some((self.state.held.first_position(title)?, title)));
            for (_, title) in first_of_titles.collect::<BTreeMap<QueuePosition, &Text>>() {
                if streams_left < 1.0 && spare_servers == 0 {
                    break;
                }
                for id in self.state.held.of_title(title) {
                    if self.has_server(id, &mut cache)
                        && let Some(i) = self.choose_server(id)
                    {
                        self.start_attempt(id, i, out);
                        cache.clear();
                    }
                }
                spare_servers -= usize::from(streams_left < 1.0);
                streams_left -= f64::from(u8::from(streams_left >= 1.0));
            }
        }
    }

    /// Sends a session to a server, unless it lacks a seat, retry budget or time.
    pub(super) fn start_attempt(&mut self, id: SessionId, i: usize, out: &mut Vec<Action>) {
        let s = &self.state.sessions[&id];
        if !self.has_free_seat(s.request.class, &s.request.title)
            || !self.allows_attempt(id)
            || !self.has_time_for_attempt(s)
        {
            return;
        }
        self.state.held.remove(id);
        let (min_rung, max_rung) = (self.state.sessions[&id].min_rung, self.state.sessions[&id].max_rung);
        let shared = (min_rung..=max_rung)
            .rev()
            .map(|r| (self.state.count_sharers(i, id, r), r))
            .filter(|(n, _)| *n > 0)
            .max();
        let rung = shared.map_or(max_rung, |(_, r)| r);
        let kb = self.added_kb(i, id, rung);
        let (timeout, now) = (self.attempt_timeout(id), self.state.now);
        let retry_window = self.retry_window();
        self.state.add_own_change(i, kb);
        self.state.servers[i].last_sent_at = Some(now);
        let Some(s) = self.state.sessions.get_mut(&id) else { return };
        (s.rung, s.server, s.phase, s.started_at) = (rung, i, Phase::Setup, now);
        s.tried_servers.push(i);
        if s.attempts > 0 {
            self.state.recent_retries.record(now, retry_window);
        }
        s.attempts += 1;
        self.state.place(id);
        self.take_seat(id);
        self.cut_rungs(self.state.servers[i].rack, Some((id, kb)), out);
        let rung = Rung(self.state.sessions[&id].rung);
        out.push(Action::Rate { id, rung });
        out.push(Action::Send { id, server: self.state.servers[i].entry.id.clone(), timeout });
    }

    /// Whether a title has a free seat. A session of the title and class takes a seat from its send to the
    /// end of the attempt.
    pub(super) fn has_free_seat(&self, class: usize, title: &Text) -> bool {
        self.settings.classes[class].seats.is_none_or(|seats| self.state.seats.taken(class, title) < seats)
    }
}
