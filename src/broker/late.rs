//! Attempts that were given up: a late answer to one of them must not play on.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Micros, ServerId, SessionId};

/// A late answer is released if it comes within this.
const LATE_ANSWER_WINDOW: Micros = Micros(30_000_000);
/// No more are remembered: clients may ask and withdraw by the thousand.
const MAX_WITHDRAWN_ATTEMPTS: usize = 4096;

type Attempt = (SessionId, ServerId);

/// What is remembered of them, the oldest first.
#[derive(Debug, Default)]
pub struct WithdrawnAttempts {
    expires_at: BTreeMap<Attempt, Micros>,
    by_expiry: VecDeque<(Micros, Attempt)>,
}

impl WithdrawnAttempts {
    /// An attempt is given up.
    pub fn insert(&mut self, now: Micros, id: SessionId, server: &ServerId) {
        let (expires_at, attempt) = (now + LATE_ANSWER_WINDOW, (id, server.clone()));
        self.expires_at.insert(attempt.clone(), expires_at);
        self.by_expiry.push_back((expires_at, attempt));
        while self.by_expiry.front().is_some_and(|(expires_at, _)| *expires_at <= now)
            || self.by_expiry.len() > MAX_WITHDRAWN_ATTEMPTS
        {
            let Some((expires_at, attempt)) = self.by_expiry.pop_front() else { return };
            if self.expires_at.get(&attempt) == Some(&expires_at) {
                self.expires_at.remove(&attempt);
            }
        }
    }

    /// Whether an attempt of a session was given up lately.
    pub fn has_session(&self, now: Micros, id: SessionId) -> bool {
        let of_session = self.expires_at.range((id, ServerId::default())..);
        of_session.take_while(|((of, _), _)| *of == id).any(|(_, expires_at)| now < *expires_at)
    }

    /// An answer has come that nobody waits for; gives whether it is to such an attempt. It is forgotten.
    pub fn take_late_answer(&mut self, now: Micros, id: SessionId, server: &ServerId) -> bool {
        self.expires_at.remove(&(id, server.clone())).is_some_and(|expires_at| now < expires_at)
    }

    /// Attempts that are remembered.
    pub fn tracked_entries(&self) -> usize {
        self.by_expiry.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with every set-up that is withdrawn.
    #[test]
    fn keeps_newest_attempts_until_expiry_and_matches_each_once() {
        let (mut withdrawn, server) = (WithdrawnAttempts::default(), ServerId::new("s"));
        for n in 0..10_000 {
            withdrawn.insert(Micros(n), SessionId(n), &server);
        }
        assert_eq!(withdrawn.tracked_entries(), MAX_WITHDRAWN_ATTEMPTS);
        let now = Micros(10_000);
        assert!(
            !withdrawn.take_late_answer(now, SessionId(1), &server)
                && !withdrawn.take_late_answer(now, SessionId(10_000), &server)
        );
        assert!(withdrawn.take_late_answer(now, SessionId(9_999), &server));
        assert!(!withdrawn.take_late_answer(now, SessionId(9_999), &server));
        assert!(!withdrawn.take_late_answer(now + LATE_ANSWER_WINDOW, SessionId(9_998), &server));
        withdrawn.insert(now + LATE_ANSWER_WINDOW, SessionId(1), &server);
        assert_eq!(withdrawn.tracked_entries(), 1);
    }
}
