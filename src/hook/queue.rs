//! The requests that wait for the word of a script, and the calls that are on their way to it. Requests never wait
//! longer than [`MAX_WAIT`]: if the script has not answered by then, they go on as if there were none.

use std::collections::{BTreeMap, VecDeque};

use super::{Call, CallNumber, Decision, HookError, Reply, RequestFacts};
use crate::api::{Micros, Request, SessionId};
use crate::broker::Description;

/// How long a request waits for the script.
const MAX_WAIT: Micros = Micros(100_000);
/// A script that has not answered a call for this time is given up.
const MAX_SILENCE: Micros = Micros(2_000_000);
/// The most calls that may be on their way.
const MAX_CALLS: usize = 1024;
/// Approximate memory of one waiting request, without its texts and its description.
const ENTRY_BYTES: usize = 512;

/// A request that waits for the script.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The request.
    pub request: Request,
    /// Its description.
    pub offer: Description,
}

impl WaitingRequest {
    fn bytes(&self) -> usize {
        ENTRY_BYTES + 2 * self.request.title.len() + self.request.viewer.len() + self.offer.len()
    }
}

/// Whether the script is asked about a request.
#[derive(Debug)]
pub enum Admission {
    /// The request waits for the script.
    Waits,
    /// The request goes on without the script.
    GoesOn(WaitingRequest),
}

/// Counts of a queue, for the figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HookStats {
    /// Whether a script is in use.
    pub is_on: bool,
    /// The number of requests that wait for it.
    pub waiting: usize,
    /// The number of requests that went on without its word, as it was busy or late.
    pub skipped_requests: u64,
    /// The number of outcomes that it was not told of, as it was busy.
    pub dropped_outcomes: u64,
    /// The number of scripts that were given up after an error.
    pub failures: u64,
}

/// A call that has no reply yet, and when it was handed out.
#[derive(Debug)]
struct PendingCall {
    number: CallNumber,
    handed_out_at: Micros,
    /// The request that waits for it, unless it has gone on or was withdrawn.
    request: Option<SessionId>,
}

/// The queue of calls of one script.
#[derive(Debug, Default)]
pub struct HookQueue {
    is_on: bool,
    last_number: u64,
    /// The calls without a reply, the oldest first. The script answers them in order.
    pending: VecDeque<PendingCall>,
    waiting: BTreeMap<SessionId, WaitingRequest>,
    waiting_bytes: usize,
    max_waiting_bytes: usize,
    /// When the script answered last.
    answered_at: Micros,
    /// Whether a request has waited in vain since then.
    is_late: bool,
    /// Calls that the driver has not taken yet.
    calls: Vec<(CallNumber, Call)>,
    stats: HookStats,
}

impl HookQueue {
    /// Creates a queue without a script. Waiting requests may use `max_waiting_bytes`.
    pub fn new(max_waiting_bytes: usize) -> HookQueue {
        HookQueue { max_waiting_bytes, ..HookQueue::default() }
    }

    /// Puts a new script in use. The requests that wait for the old one are asked about again.
    pub fn script_loaded(&mut self, now: Micros) -> Vec<WaitingRequest> {
        let waiting = self.clear();
        (self.is_on, self.is_late, self.answered_at) = (true, false, now);
        waiting
    }

    /// Whether a script is in use.
    pub fn is_on(&self) -> bool {
        self.is_on
    }

    /// Whether a request waits for the script.
    pub fn contains(&self, id: SessionId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Whether any waiting request belongs to a class.
    pub fn uses_class(&self, class: usize) -> bool {
        self.waiting.values().any(|waiting| waiting.request.class == class)
    }

    /// Whether any waiting request belongs to a tenant.
    pub fn uses_tenant(&self, tenant: usize) -> bool {
        self.waiting.values().any(|waiting| waiting.request.tenant == tenant)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the counts.
    pub fn stats(&self) -> HookStats {
        HookStats { is_on: self.is_on, waiting: self.waiting.len(), ..self.stats }
    }

    /// Asks the script about a request, unless it is busy.
    pub fn ask(&mut self, now: Micros, waiting: WaitingRequest, facts: RequestFacts) -> Admission {
        if !self.is_on {
            return Admission::GoesOn(waiting);
        }
        let has_room = self.waiting_bytes + waiting.bytes() <= self.max_waiting_bytes;
        if self.is_late || !has_room || self.pending.len() >= MAX_CALLS {
            self.stats.skipped_requests += 1;
            return Admission::GoesOn(waiting);
        }
        let id = waiting.request.id;
        self.waiting_bytes += waiting.bytes();
        self.waiting.insert(id, waiting);
        self.hand_out(now, Call::Request(facts), Some(id));
        Admission::Waits
    }

    /// Tells the script of an outcome, unless it is busy.
    pub fn report_outcome(&mut self, now: Micros, id: SessionId, outcome: &'static str) {
        if !self.is_on {
            return;
        }
        if self.is_late || self.pending.len() >= MAX_CALLS {
            self.stats.dropped_outcomes += 1;
            return;
        }
        self.hand_out(now, Call::Outcome(id, outcome), None);
    }

    /// Removes a request that its client has withdrawn. Returns whether it was waiting.
    pub fn withdraw(&mut self, id: SessionId) -> bool {
        if self.take_waiting(id).is_none() {
            return false;
        }
        let of_request = self.pending.iter_mut().filter(|call| call.request == Some(id));
        of_request.for_each(|call| call.request = None);
        true
    }

    /// Handles a reply. Returns the request that waited for it, with the decision.
    pub fn replied(
        &mut self,
        now: Micros,
        number: CallNumber,
        reply: Reply,
    ) -> Result<Option<(WaitingRequest, Decision)>, HookError> {
        // Replies of a script that was replaced are of no use any more.
        if self.pending.front().is_none_or(|call| call.number != number) {
            return Ok(None);
        }
        let decision = reply?;
        (self.answered_at, self.is_late) = (now, false);
        let request = self.pending.pop_front().and_then(|call| call.request);
        let waiting = request.and_then(|id| self.take_waiting(id));
        Ok(waiting.zip(decision))
    }

    /// Stops using the script after an error, and returns the requests that wait for it.
    pub fn turn_off(&mut self) -> Vec<WaitingRequest> {
        self.stats.failures += 1;
        self.is_on = false;
        self.clear()
    }

    /// Returns the requests that have waited for too long. An error says that the script does not answer any more.
    pub fn expire(&mut self, now: Micros) -> Result<Vec<WaitingRequest>, HookError> {
        let Some(oldest) = self.pending.front() else { return Ok(Vec::new()) };
        if now >= oldest.handed_out_at.max(self.answered_at) + MAX_SILENCE {
            return Err(HookError("does not answer".to_owned()));
        }
        let overdue = self.pending.iter_mut().take_while(|call| now >= call.handed_out_at + MAX_WAIT);
        let ids: Vec<SessionId> = overdue.filter_map(|call| call.request.take()).collect();
        self.is_late |= !ids.is_empty();
        self.stats.skipped_requests += ids.len() as u64;
        Ok(ids.into_iter().filter_map(|id| self.take_waiting(id)).collect())
    }

    /// Returns all waiting requests, which go on without the script.
    pub fn release_all(&mut self) -> Vec<WaitingRequest> {
        self.stats.skipped_requests += self.waiting.len() as u64;
        self.pending.iter_mut().for_each(|call| call.request = None);
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// The time at which [`HookQueue::expire`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        let oldest = self.pending.front()?;
        let silent_at = oldest.handed_out_at.max(self.answered_at) + MAX_SILENCE;
        let waiting = self.pending.iter().find(|call| call.request.is_some());
        Some(waiting.map_or(silent_at, |call| silent_at.min(call.handed_out_at + MAX_WAIT)))
    }

    /// Returns the calls that were not taken yet.
    pub fn take_calls(&mut self) -> Vec<(CallNumber, Call)> {
        std::mem::take(&mut self.calls)
    }

    fn hand_out(&mut self, now: Micros, call: Call, request: Option<SessionId>) {
        self.last_number += 1;
        let number = CallNumber(self.last_number);
        self.pending.push_back(PendingCall { number, handed_out_at: now, request });
        self.calls.push((number, call));
    }

    fn take_waiting(&mut self, id: SessionId) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&id)?;
        self.waiting_bytes -= waiting.bytes();
        Some(waiting)
    }

    fn clear(&mut self) -> Vec<WaitingRequest> {
        self.pending.clear();
        self.calls.clear();
        self.waiting_bytes = 0;
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}

#[cfg(test)]
mod tests;
