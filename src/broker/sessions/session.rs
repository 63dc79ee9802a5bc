//! One session: its request, its stage and what is known of its attempts.

use crate::api::{Micros, Request, Rung, ServerId, Status};
use crate::broker::{Description, History};

/// An attempt that is out at a server, or on its way there.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) struct Attempt {
    /// The server.
    pub server: ServerId,
    /// Its number, from 0.
    pub number: u32,
    /// When it was decided on.
    pub sent_at: Micros,
    /// When the core stops waiting for the answer.
    pub deadline: Micros,
}

/// Where a session stands, and by which attempt it came there.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) struct Placement {
    /// The server.
    pub server: ServerId,
    /// Number of the attempt that succeeded.
    pub attempt: u32,
}

/// How far a session has come.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::broker) enum Stage {
    /// Owed an answer, with no attempt out.
    Waiting,
    /// Owed an answer, with one attempt out.
    Attempting(Attempt),
    /// Owed an answer; an attempt was given up for this reason, and its end is not written yet.
    Withdrawing(Attempt, Status),
    /// Set up at a server.
    Established(Placement),
}

/// A session from its request to its end. Its stage and its offer change only through the table that holds it.
#[derive(Debug)]
pub(in crate::broker) struct Session {
    /// What the client asked for.
    pub request: Request,
    /// The rung in force, if it is known.
    pub rung: Option<Rung>,
    /// What is known of its attempts.
    pub history: History,
    /// Its last attempt had no answer in its time, or the request came after its deadline.
    pub timed_out: bool,
    pub(super) offer: Description,
    pub(super) stage: Stage,
}

impl Session {
    /// A request that came at `now` and waits for its first attempt.
    pub fn new(now: Micros, request: Request, offer: Description) -> Session {
        let timed_out = request.due <= now;
        Session { request, rung: None, history: History::default(), timed_out, offer, stage: Stage::Waiting }
    }

    /// A session that plays at a server already.
    pub fn established(request: Request, server: ServerId) -> Session {
        Session {
            request,
            rung: None,
            history: History { attempts: 1, may_have_run: true, attempt_in_flight: false },
            timed_out: false,
            offer: empty_description(),
            stage: Stage::Established(Placement { server, attempt: 0 }),
        }
    }

    /// How far it has come.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The client's description; empty once the session stands, as it is not sent again.
    pub fn offer(&self) -> &Description {
        &self.offer
    }

    /// Whether its request is still owed an answer.
    pub fn is_unanswered(&self) -> bool {
        !matches!(self.stage, Stage::Established(_))
    }

    /// The attempt that is out.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Attempting(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Where it stands.
    pub fn placement(&self) -> Option<&Placement> {
        match &self.stage {
            Stage::Established(placement) => Some(placement),
            _ => None,
        }
    }

    /// The server that an attempt is out at, or that the session stands at.
    pub fn server(&self) -> Option<&ServerId> {
        match &self.stage {
            Stage::Waiting | Stage::Withdrawing(..) => None,
            Stage::Attempting(attempt) => Some(&attempt.server),
            Stage::Established(placement) => Some(&placement.server),
        }
    }
}

/// The description of a session that is not set up any more.
pub(super) fn empty_description() -> Description {
    Description::from(&[][..])
}
