//! Which session is at which server, and the streams that follow from it. Whatever changes a figure of a session that is
//! at a server goes through here, so that the index of streams is always up to date. Bookkeeping only, no decisions.

use super::api::{Micros, SessionId};
use super::state::{ModuleState, Phase, Session};
use super::streams::{Viewer, Worth};

/// Returns what a session contributes to its stream.
fn viewer(id: SessionId, session: &Session) -> Viewer {
    Viewer {
        id,
        class: session.request.class,
        rung: session.rung,
        min_rung: session.min_rung,
        max_rung: session.max_rung,
        worth: Worth(session.worth),
        shared_title: session.shares_stream.then(|| session.request.title.clone()),
        is_active: session.phase != Phase::Answered,
        may_change: session.phase == Phase::Playing && session.rung_changed_at.is_none(),
    }
}

impl ModuleState {
    /// Whether a session is at the server that it names.
    pub(crate) fn is_placed(&self, id: SessionId) -> bool {
        let server = self.sessions.get(&id).and_then(|session| self.servers.get(session.server));
        server.is_some_and(|server| server.sessions.contains(&id))
    }

    /// Adds a session to the server that it names.
    pub(crate) fn place(&mut self, id: SessionId) {
        if self.is_placed(id) {
            return;
        }
        if let Some(i) = self.sessions.get(&id).map(|session| session.server) {
            self.servers[i].sessions.insert(id);
            self.index_stream(id);
        }
    }

    /// Removes a session from its server.
    pub(crate) fn remove_placement(&mut self, id: SessionId) {
        if !self.is_placed(id) {
            return;
        }
        self.unindex_stream(id);
        if let Some(i) = self.sessions.get(&id).map(|session| session.server) {
            self.servers[i].sessions.remove(&id);
        }
    }

    /// Changes a session, whether it is at a server or not, but neither its id nor its server.
    pub(crate) fn update_session(&mut self, id: SessionId, change: impl FnOnce(&mut Session)) {
        let is_placed = self.is_placed(id);
        if is_placed {
            self.unindex_stream(id);
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            change(session);
        }
        if is_placed {
            self.index_stream(id);
        }
    }

    /// Lets sessions whose last change of rung is at least `interval` ago change again.
    pub(crate) fn settle_rungs(&mut self, interval: Micros) {
        while let Some(&(changed_at, id)) = self.settling.first() {
            if changed_at + interval > self.now {
                return;
            }
            self.settling.pop_first();
            self.update_session(id, |session| session.rung_changed_at = None);
        }
    }

    /// Updates whether the viewers of each class share streams.
    pub(crate) fn update_sharing(&mut self, is_shared: impl Fn(usize) -> bool) {
        let changed = |(id, session): (&SessionId, &Session)| {
            (is_shared(session.request.class) != session.shares_stream).then_some(*id)
        };
        let changed: Vec<SessionId> = self.sessions.iter().filter_map(changed).collect();
        for id in changed {
            self.update_session(id, |session| session.shares_stream = !session.shares_stream);
        }
    }

    /// Returns the number of other viewers that share a stream of this session's class and title at a server and rung.
    pub(crate) fn count_sharers(&self, i: usize, id: SessionId, rung: usize) -> usize {
        let Some(session) = self.sessions.get(&id).filter(|session| session.shares_stream) else { return 0 };
        let request = &session.request;
        let viewers = self.servers[i]
            .streams
            .shared(request.class, rung, &request.title)
            .map_or(0, |stream| stream.viewers());
        let is_one_of_them = session.rung == rung && session.server == i && self.is_placed(id);
        viewers - usize::from(is_one_of_them)
    }

    /// Returns the active viewers of the stream of a session that is at a server.
    pub(crate) fn stream_viewers(&self, id: SessionId) -> Vec<SessionId> {
        let Some(session) = self.sessions.get(&id) else { return Vec::new() };
        if !session.shares_stream {
            return vec![id];
        }
        let request = &session.request;
        let streams = &self.servers[session.server].streams;
        let stream = streams.shared(request.class, session.rung, &request.title);
        stream.map(|stream| stream.active().iter().copied().collect()).unwrap_or_default()
    }

    fn index_stream(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (viewer, i, title) = (viewer(id, session), session.server, session.request.title.clone());
        if let Some(changed_at) = session.rung_changed_at {
            self.settling.insert((changed_at, id));
        }
        let starts_stream = viewer.is_active && self.active_others(i, &viewer) == 0;
        self.servers[i].streams.add(&viewer);
        if starts_stream {
            self.stream_count += 1;
            self.titles.add_stream(&title);
        }
    }

    fn unindex_stream(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let (viewer, i, title) = (viewer(id, session), session.server, session.request.title.clone());
        if let Some(changed_at) = session.rung_changed_at {
            self.settling.remove(&(changed_at, id));
        }
        self.servers[i].streams.remove(&viewer);
        if viewer.is_active && self.active_others(i, &viewer) == 0 {
            self.stream_count -= 1;
            self.titles.remove_stream(&title);
        }
    }

    /// Returns the number of active viewers of the stream that a viewer shares, without those that share none.
    fn active_others(&self, i: usize, viewer: &Viewer) -> usize {
        let Some(title) = &viewer.shared_title else { return 0 };
        let stream = self.servers[i].streams.shared(viewer.class, viewer.rung, title);
        stream.map_or(0, |stream| stream.active().len())
    }
}
