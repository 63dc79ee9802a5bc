//! Withdrawn attempts. If one of them is answered late, the session that it set up has to be released.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Micros, ServerId, SessionId};

/// How long after the withdrawal a late answer is recognized and released.
const LATE_ANSWER_WINDOW: Micros = Micros(30_000_000);
/// Bounds the memory for withdrawn attempts, as clients may request and withdraw by the thousand.
const MAX_WITHDRAWN_ATTEMPTS: usize = 4096;

type Attempt = (SessionId, ServerId);

/// The recently withdrawn attempts, in the order of their expiry.
#[derive(Debug, Default)]
pub struct WithdrawnAttempts {
    expires_at: BTreeMap<Attempt, Micros>,
    by_expiry: VecDeque<(Micros, Attempt)>,
}

impl WithdrawnAttempts {
    /// Records a withdrawn attempt and drops those that have expired or exceed the limit.
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

    /// Whether an attempt of the session was withdrawn recently.
    pub fn has_session(&self, now: Micros, id: SessionId) -> bool {
        let of_session = self.expires_at.range((id, ServerId::default())..);
        of_session.take_while(|((of, _), _)| *of == id).any(|(_, expires_at)| now < *expires_at)
    }

    /// Removes the attempt that an unexpected answer belongs to, and returns whether it was withdrawn recently.
    pub fn take_late_answer(&mut self, now: Micros, id: SessionId, server: &ServerId) -> bool {
        self.expires_at.remove(&(id, server.clone())).is_some_and(|expires_at| now < expires_at)
    }

    /// The number of tracked attempts.
    pub fn tracked_entries(&self) -> usize {
        self.by_expiry.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against unbounded memory growth when clients withdraw many set-ups.
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
