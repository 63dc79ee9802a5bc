//! Sessions that are held, and who goes first.

use super::choice::RANDOM_SPREAD;
use super::rungs::{MAX_LIMIT, MIN_CHANGE_INTERVAL, TOP_RUNG_LIMIT};
use super::*;

/// Part of a class's aim that a session may be held for its group's turn; the rest is for the set-up.
const MAX_HOLD_SHARE: f64 = 0.4;
/// Held sessions that a request tries in vain at most, though each might have found room; then all, also the
/// newcomer, wait for the next look, as it may not overtake them.
const MAX_FAILED_SEARCHES: usize = 256;
/// Far above what rounding changes in a rate or a fullness, and far below what matters.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Brain {
    pub(super) fn handle_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if request.class >= self.settings.classes.len() || self.state.sessions.contains_key(&id) {
            out.push(Action::Refuse { id, retry_after: Micros(0) });
            return;
        }
        let now = self.state.now;
        self.state.recent_requests.push_back(now);
        self.count_title_request(&request);
        if let Some(tenant) = self.state.tenants.get_mut(request.tenant) {
            *tenant = (decayed(tenant.0, now - tenant.1) + 1.0, now);
        }
        let session = self.new_session(request, Phase::Held);
        // A viewer whose class floor is above its own top cannot be served.
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

    /// Room that has come since the last look goes to those that are held already, in arrival order, or
    /// newcomers would overtake them until their patience ends. Behind one that finds none, none of its
    /// title does. Those that cannot find any, by what all with their constraints see, are passed over.
    fn serve_first_of_titles(&mut self, out: &mut Vec<Action>) {
        let (mut after, mut failed, mut cache) = (None, 0, None);
        while failed < MAX_FAILED_SEARCHES {
            let known = cache.get_or_insert_with(|| self.availability_after(after));
            // Who has waited longest goes first: where its patience has not ended, no other's has.
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

    fn availability_after(&self, after: Option<QueuePosition>) -> AvailabilityByConstraints {
        let first_of_titles = self.state.held.first_constraints();
        let first_of_titles =
            first_of_titles.filter(|constraints| self.state.held.next_first(constraints, after).is_some());
        first_of_titles.map(|constraints| (*constraints, self.availability(constraints))).collect()
    }

    /// What sessions with these constraints find at best, whatever their titles and ids.
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
        // Luck brings a server before the best one only from so near.
        let best_rank = trusted().map(|i| self.rank(i, min_kb, 0.0)).fold(f64::MAX, f64::min);
        let is_near_best =
            |i: usize| live || self.rank(i, min_kb, 0.0) <= best_rank + RANDOM_SPREAD + ROUNDING_TOLERANCE;
        let has_room = !constraints.is_retry
            && trusted().any(|i| self.utilization_after(i, min_kb) <= MAX_LIMIT && is_near_best(i));
        Availability { has_server: !candidates.is_empty(), has_room }
    }

    fn may_find_server(&self, id: SessionId, availability: Availability) -> bool {
        let s = &self.state.sessions[&id];
        self.has_time_for_attempt(s)
            && (availability.has_room
                || availability.has_server && (s.attempts > 0 || self.has_waited_enough(s)))
    }

    fn has_waited_enough(&self, s: &Session) -> bool {
        let slo = self.settings.classes[s.request.class].slo;
        self.state.now - s.arrived_at >= Micros::from_secs(slo.secs() * MAX_HOLD_SHARE)
    }

    /// A session whose holder shows room starts at once; so does one that was held for its part of the aim or
    /// sent before. Others wait for their group's turn.
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

    /// Looks at all held sessions: first for room, then streams go by the groups' shares.
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

    fn has_server(&self, id: SessionId, cache: &mut AvailabilityByConstraints) -> bool {
        let constraints = self.constraints(id);
        cache.entry(constraints).or_insert_with(|| self.availability(&constraints)).has_server
    }

    fn serve_groups(&mut self, out: &mut Vec<Action>) {
        let mut cache = AvailabilityByConstraints::new();
        let ready =
            |i: &usize| self.state.servers[*i].entry.state == ServerState::Ready && self.is_trusted(*i);
        let ready = (0..self.state.servers.len()).filter(ready);
        let servers_with_room = ready.filter(|i| self.utilization_after(*i, 0.0) < TOP_RUNG_LIMIT).count();
        let mut spare_servers = servers_with_room;
        for (titles, in_use, share) in self.title_groups(servers_with_room) {
            let mut streams_left = share - in_use;
            // Arrival order within the group; all of a title's held sessions go at once.
            let first_of_titles =
                titles.iter().filter_map(|title| Some((self.state.held.first_position(title)?, title)));
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

    pub(super) fn start_attempt(&mut self, id: SessionId, i: usize, out: &mut Vec<Action>) {
        let s = &self.state.sessions[&id];
        if !self.has_free_seat(s.request.class, &s.request.title)
            || !self.allows_attempt(id)
            || !self.has_time_for_attempt(s)
        {
            return;
        }
        self.state.held.remove(id);
        let live = self.settings.classes[self.state.sessions[&id].request.class].live;
        let (min_rung, max_rung) = (self.state.sessions[&id].min_rung, self.state.sessions[&id].max_rung);
        let shared = (min_rung..=max_rung)
            .rev()
            .map(|r| (self.count_sharers(i, id, r), r))
            .filter(|(n, _)| live && *n > 0)
            .max();
        let rung = shared.map_or(max_rung, |(_, r)| r);
        let kb = self.added_kb(i, id, rung);
        let (timeout, now) = (self.attempt_timeout(id), self.state.now);
        self.state.add_own_change(i, kb);
        self.state.servers[i].sessions.insert(id);
        self.state.servers[i].last_sent_at = Some(now);
        let Some(s) = self.state.sessions.get_mut(&id) else { return };
        (s.rung, s.server, s.phase, s.started_at) = (rung, i, Phase::Setup, now);
        s.tried_servers.push(i);
        if s.attempts > 0 {
            self.state.recent_retries.push_back(now);
        }
        s.attempts += 1;
        self.take_seat(id);
        self.cut_rungs(self.state.servers[i].rack, Some((id, kb)), out);
        let rung = Rung(self.state.sessions[&id].rung);
        out.push(Action::Rate { id, rung });
        out.push(Action::Send { id, server: self.state.servers[i].entry.id.clone(), timeout });
    }

    /// Seats: sessions of one title and class, from the send to the end of the attempt.
    pub(super) fn has_free_seat(&self, class: usize, title: &Text) -> bool {
        self.settings.classes[class].seats.is_none_or(|seats| self.state.seats.taken(class, title) < seats)
    }
}
