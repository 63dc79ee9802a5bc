//! Attempts that were given up: a late answer to one of them must not play on.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Micros, ServerId, SessionId};

/// A late answer is released if it comes within this.
const KEPT: Micros = Micros(30_000_000);
/// No more are remembered: clients may ask and withdraw by the thousand.
const MOST: usize = 4096;

type Attempt = (SessionId, ServerId);

/// What is remembered of them, the oldest first.
#[derive(Debug, Default)]
pub struct Late {
    until: BTreeMap<Attempt, Micros>,
    order: VecDeque<(Micros, Attempt)>,
}

impl Late {
    /// An attempt is given up.
    pub fn expect(&mut self, now: Micros, id: SessionId, server: &ServerId) {
        let (until, attempt) = (now + KEPT, (id, server.clone()));
        self.until.insert(attempt.clone(), until);
        self.order.push_back((until, attempt));
        while self.order.front().is_some_and(|(until, _)| *until <= now) || self.order.len() > MOST {
            let Some((until, attempt)) = self.order.pop_front() else { return };
            if self.until.get(&attempt) == Some(&until) {
                self.until.remove(&attempt);
            }
        }
    }

    /// Whether an attempt of a session was given up lately.
    pub fn knows(&self, now: Micros, id: SessionId) -> bool {
        let of_session = self.until.range((id, ServerId::default())..);
        of_session.take_while(|((of, _), _)| *of == id).any(|(_, until)| now < *until)
    }

    /// An answer has come that nobody waits for; gives whether it is to such an attempt. It is forgotten.
    pub fn came(&mut self, now: Micros, id: SessionId, server: &ServerId) -> bool {
        self.until.remove(&(id, server.clone())).is_some_and(|until| now < until)
    }

    /// Attempts that are remembered.
    pub fn tracked_entries(&self) -> usize {
        self.order.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against memory that grows with every set-up that is withdrawn.
    #[test]
    fn the_newest_are_remembered_for_a_while_and_answer_once() {
        let (mut late, server) = (Late::default(), ServerId::new("s"));
        for n in 0..10_000 {
            late.expect(Micros(n), SessionId(n), &server);
        }
        assert_eq!(late.tracked_entries(), MOST);
        let now = Micros(10_000);
        assert!(!late.came(now, SessionId(1), &server) && !late.came(now, SessionId(10_000), &server));
        assert!(late.came(now, SessionId(9_999), &server));
        assert!(!late.came(now, SessionId(9_999), &server));
        assert!(!late.came(now + KEPT, SessionId(9_998), &server));
        late.expect(now + KEPT, SessionId(1), &server);
        assert_eq!(late.tracked_entries(), 1);
    }
}
