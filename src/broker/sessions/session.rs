//! A single session: its request, its stage and the history of its attempts.

use crate::api::{Micros, Request, Rung, ServerId, Status};
use crate::broker::{Description, History};

/// An attempt in flight: at a server, or on its way there.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) struct Attempt {
    /// The server.
    pub server: ServerId,
    /// The number of the attempt, from 0.
    pub number: u32,
    /// The time at which the module decided to send it.
    pub sent_at: Micros,
    /// The time at which the broker stops waiting for the answer.
    pub deadline: Micros,
}

/// The server at which a session is established, and the attempt that established it.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) struct Placement {
    /// The server.
    pub server: ServerId,
    /// The number of the attempt that succeeded.
    pub attempt: u32,
}

/// The stage of a session.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) enum Stage {
    /// Unanswered, with no attempt in flight.
    Waiting,
    /// Unanswered, with one attempt in flight.
    Attempting(Attempt),
    /// Unanswered; an attempt is being withdrawn for this reason, and its server has not been told yet.
    Withdrawing(Attempt, Status),
    /// Established at a server.
    Established(Placement),
}

/// A session from its request to its end. Its stage and offer change only through the session table.
#[derive(Debug)]
pub(in crate::broker) struct Session {
    /// The request of the client.
    pub request: Request,
    /// The current rung, if known.
    pub rung: Option<Rung>,
    /// When it was named as established, unless its server has confirmed that or it was set up by this broker.
    pub(super) unconfirmed_since: Option<Micros>,
    /// The history of its attempts.
    pub history: History,
    /// Whether the last attempt timed out, or the request arrived after its deadline.
    pub timed_out: bool,
    pub(super) offer: Description,
    pub(super) stage: Stage,
}

impl Session {
    /// Creates a session for a request that arrived at `now` and waits for its first attempt.
    pub fn new(now: Micros, request: Request, offer: Description) -> Session {
        let timed_out = request.due <= now;
        Session {
            request,
            rung: None,
            unconfirmed_since: None,
            history: History::default(),
            timed_out,
            offer,
            stage: Stage::Waiting,
        }
    }

    /// Creates a session that a client or another process names as established at a server.
    pub fn named(now: Micros, request: Request, server: ServerId) -> Session {
        Session {
            request,
            rung: None,
            unconfirmed_since: Some(now),
            history: History { attempts: 1, may_have_run: true, attempt_in_flight: false },
            timed_out: false,
            offer: empty_description(),
            stage: Stage::Established(Placement { server, attempt: 0 }),
        }
    }

    /// The stage of the session.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The client's session description; empty once the session is established, as it is not needed again.
    pub fn offer(&self) -> &Description {
        &self.offer
    }

    /// The memory for the texts and the description that the client sent, in bytes. The title counts twice, as the
    /// decision module keeps a copy.
    pub fn payload_bytes(&self) -> usize {
        payload_bytes(&self.request, self.offer.len())
    }

    /// Whether the request has no final answer yet.
    pub fn is_unanswered(&self) -> bool {
        !matches!(self.stage, Stage::Established(_))
    }

    /// The attempt in flight.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Attempting(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// The placement of an established session.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.stage {
            Stage::Established(placement) => Some(placement),
            _ => None,
        }
    }

    /// The server of the attempt in flight, or the one at which the session is established.
    pub fn server(&self) -> Option<&ServerId> {
        match &self.stage {
            Stage::Waiting | Stage::Withdrawing(..) => None,
            Stage::Attempting(attempt) => Some(&attempt.server),
            Stage::Established(placement) => Some(&placement.server),
        }
    }
}

/// Returns the memory for the texts of a request and its description, in bytes.
pub(in crate::broker) fn payload_bytes(request: &Request, offer_bytes: usize) -> usize {
    2 * request.title.len() + request.viewer.len() + offer_bytes
}

/// The stored description of a session that needs no further set-up.
pub(super) fn empty_description() -> Description {
    Description::from(&[][..])
}
