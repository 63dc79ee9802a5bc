//! Sessions that are held, and who goes first.

use super::choice::LUCK;
use super::rungs::{CEILING, CHANGE_EVERY, MARK};
use super::*;

/// Part of a class's aim that a session may be held for its group's turn; the rest is for the set-up.
const HOLD_PART: f64 = 0.4;
/// Held sessions that a request tries in vain at most, though each might have found room; then all, also the
/// newcomer, wait for the next look, as it may not overtake them.
const VAIN_MOST: usize = 256;
/// Far above what rounding changes in a rate or a fullness, and far below what matters.
const ROUNDING: f64 = 1e-9;

impl Brain {
    pub(super) fn request(&mut self, req: Request, out: &mut Vec<Action>) {
        let id = req.id;
        if req.class >= self.set.classes.len() || self.book.sessions.contains_key(&id) {
            out.push(Action::Refuse { id, retry_after: Micros(0) });
            return;
        }
        let now = self.book.now;
        self.book.taken.push_back(now);
        self.popular(&req);
        if let Some(sent) = self.book.tenants.get_mut(req.tenant) {
            *sent = (decayed(sent.0, now - sent.1) + 1.0, now);
        }
        let session = self.session(req, Phase::Held);
        // A viewer whose class floor is above its own top cannot be served.
        let unable = session.req.top.0 < session.lo;
        let title = session.req.title.clone();
        self.book.sessions.insert(id, session);
        self.book.waiting.push_back(id, title, self.constraints(id));
        if unable || !self.takes_on(id) {
            return self.answer(id, out);
        }
        self.expect_deadline(id, out);
        match self.book.waiting.len() {
            1 => self.serve_one(id, out),
            _ => self.serve_heads(out),
        }
    }

    /// Room that has come since the last look goes to those that are held already, in arrival order, or
    /// newcomers would overtake them until their patience ends. Behind one that finds none, none of its
    /// title does. Those that cannot find any, by what all with their constraints see, are passed over.
    fn serve_heads(&mut self, out: &mut Vec<Action>) {
        let (mut behind, mut vain, mut outlooks) = (None, 0, None);
        while vain < VAIN_MOST {
            let seen = outlooks.get_or_insert_with(|| self.outlooks_behind(behind));
            // Who has waited longest goes first: where its patience has not ended, no other's has.
            let head = |(of, outlook): (&Constraints, &Outlook)| {
                let head = self.book.waiting.next_head(of, behind);
                head.filter(|(_, id)| self.hopeful(*id, *outlook))
            };
            let Some((turn, id)) = seen.iter().filter_map(head).min() else { return };
            behind = Some(turn);
            self.serve_one(id, out);
            if self.book.waiting.contains(id) {
                vain += 1;
            } else {
                outlooks = None;
            }
        }
    }

    fn outlooks_behind(&self, behind: Option<Turn>) -> Outlooks {
        let heads = self.book.waiting.head_constraints();
        let heads = heads.filter(|of| self.book.waiting.next_head(of, behind).is_some());
        heads.map(|of| (*of, self.outlook(of))).collect()
    }

    /// What sessions with these constraints find at best, whatever their titles and ids.
    fn outlook(&self, of: &Constraints) -> Outlook {
        self.book.searched();
        if of.expired || of.retry && !self.budget_left() {
            return Outlook::default();
        }
        let in_scope = |i: &usize| of.ran.is_none_or(|ran| self.in_scope(of.class, ran, *i));
        let found: Vec<usize> = self.taking(of.home, of.copies).filter(in_scope).collect();
        let live = self.set.classes[of.class].live;
        let alone = self.set.stream_kb(of.class, 1, of.lowest);
        let least =
            if live { alone * self.set.shared_viewer_cost.clamp(0.0, 1.0) * (1.0 - ROUNDING) } else { alone };
        let trusted = || found.iter().copied().filter(|i| self.trusted(*i));
        // Luck brings a server before the best one only from so near.
        let best = trusted().map(|i| self.rank(i, least, 0.0)).fold(f64::MAX, f64::min);
        let near = |i: usize| live || self.rank(i, least, 0.0) <= best + LUCK + ROUNDING;
        let room = !of.retry && trusted().any(|i| self.full_after(i, least) <= CEILING && near(i));
        Outlook { any: !found.is_empty(), room }
    }

    fn hopeful(&self, id: SessionId, outlook: Outlook) -> bool {
        let s = &self.book.sessions[&id];
        self.has_time(s) && (outlook.room || outlook.any && (s.attempts > 0 || self.impatient(s)))
    }

    fn impatient(&self, s: &Session) -> bool {
        let aim = self.set.classes[s.req.class].slo;
        self.book.now - s.arrived >= Micros::from_secs(aim.secs() * HOLD_PART)
    }

    /// A session whose holder shows room starts at once; so does one that was held for its part of the aim or
    /// sent before. Others wait for their group's turn.
    pub(super) fn serve_one(&mut self, id: SessionId, out: &mut Vec<Action>) {
        self.book.searched();
        let Some(i) = self.holder(id) else { return };
        let s = &self.book.sessions[&id];
        let roomy = self.trusted(i) && self.full_after(i, self.adds(i, id, s.lo)) <= CEILING;
        if roomy || s.attempts > 0 || self.impatient(s) {
            self.start(id, i, out);
        }
    }

    /// Looks at all held sessions: first for room, then streams go by the groups' shares.
    pub(super) fn serve(&mut self, out: &mut Vec<Action>) {
        let mut outlooks = Outlooks::new();
        for id in self.book.waiting.ids() {
            let of = self.constraints(id);
            self.book.waiting.refile(id, of);
            let outlook = *outlooks.entry(of).or_insert_with(|| self.outlook(&of));
            if self.hopeful(id, outlook) {
                self.serve_one(id, out);
                if !self.book.waiting.contains(id) {
                    outlooks.clear();
                }
            }
        }
        if self.book.waiting.len() == 0 {
            return;
        }
        if self.book.now - self.book.full_logged > CHANGE_EVERY {
            self.book.full_logged = self.book.now;
            out.push(Action::Log("links full: streams go by shares".to_owned()));
        }
        if self.book.waiting.ids().into_iter().any(|id| self.any_server(id, &mut outlooks)) {
            self.serve_groups(out);
        }
    }

    fn any_server(&self, id: SessionId, outlooks: &mut Outlooks) -> bool {
        let of = self.constraints(id);
        outlooks.entry(of).or_insert_with(|| self.outlook(&of)).any
    }

    fn serve_groups(&mut self, out: &mut Vec<Action>) {
        let mut outlooks = Outlooks::new();
        let ready = |i: &usize| self.book.servers[*i].entry.state == ServerState::Ready && self.trusted(*i);
        let ready = (0..self.book.servers.len()).filter(ready);
        let roomy = ready.filter(|i| self.full_after(*i, 0.0) < MARK).count();
        let mut spare = roomy;
        for (titles, used, share) in self.groups(roomy) {
            let mut room = share - used;
            // Arrival order within the group; all of a title's held sessions go at once.
            let heads = titles.iter().filter_map(|title| Some((self.book.waiting.first_turn(title)?, title)));
            for (_, title) in heads.collect::<BTreeMap<Turn, &Text>>() {
                if room < 1.0 && spare == 0 {
                    break;
                }
                for id in self.book.waiting.of_title(title) {
                    if self.any_server(id, &mut outlooks)
                        && let Some(i) = self.holder(id)
                    {
                        self.start(id, i, out);
                        outlooks.clear();
                    }
                }
                spare -= usize::from(room < 1.0);
                room -= f64::from(u8::from(room >= 1.0));
            }
        }
    }

    pub(super) fn start(&mut self, id: SessionId, i: usize, out: &mut Vec<Action>) {
        let s = &self.book.sessions[&id];
        if !self.seat_free(s.req.class, &s.req.title) || !self.budget_allows(id) || !self.has_time(s) {
            return;
        }
        self.book.waiting.remove(id);
        let live = self.set.classes[self.book.sessions[&id].req.class].live;
        let (lo, hi) = (self.book.sessions[&id].lo, self.book.sessions[&id].hi);
        let join = (lo..=hi).rev().map(|r| (self.sharers(i, id, r), r)).filter(|(n, _)| live && *n > 0).max();
        let rung = join.map_or(hi, |(_, r)| r);
        let kb = self.adds(i, id, rung);
        let (timeout, now) = (self.timeout(id), self.book.now);
        self.book.shift(i, kb);
        self.book.servers[i].own.insert(id);
        self.book.servers[i].sent_at = Some(now);
        let Some(s) = self.book.sessions.get_mut(&id) else { return };
        (s.rung, s.server, s.phase, s.started) = (rung, i, Phase::Setup, now);
        s.tried.push(i);
        if s.attempts > 0 {
            self.book.extra.push_back(now);
        }
        s.attempts += 1;
        self.sit(id);
        self.settle(self.book.servers[i].rack, Some((id, kb)), out);
        let rung = Rung(self.book.sessions[&id].rung);
        out.push(Action::Rate { id, rung });
        out.push(Action::Send { id, server: self.book.servers[i].entry.id.clone(), timeout });
    }

    /// Seats: sessions of one title and class, from the send to the end of the attempt.
    pub(super) fn seat_free(&self, class: usize, title: &Text) -> bool {
        self.set.classes[class].seats.is_none_or(|seats| self.book.seats.taken(class, title) < seats)
    }
}
