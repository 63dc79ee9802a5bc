//! Classifies the outcome of a set-up at a WHIP or WHEP server by what it proves. A paid session must not be set up
//! twice, so it may be retried or refused only if it is certain that nothing ran. The functions have no side effects;
//! `docs/whip-whep.md` has the table of outcomes.

use crate::api::Status;

/// The outcome of a POST.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection was established, or it ended before a byte of the request was written.
    Unsent,
    /// After some of the request was written and before a whole answer came, the connection ended or the answer turned
    /// out to be unreadable.
    Broken,
    /// A whole answer came.
    Answer {
        /// The HTTP status code.
        code: u16,
        /// Whether it has a `Retry-After` header.
        retry_after: bool,
        /// Whether it has a session description of the right type and names the resource by which to end the session.
        complete: bool,
    },
}

/// What the outcome means to the broker core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The session is established.
    Established,
    /// The attempt ended with this status; [`Status::never_ran`] tells whether it is certain that nothing ran.
    Ended(Status),
}

/// Classifies an outcome. An outcome that is not listed here does not prove that nothing ran.
pub fn classify(outcome: Outcome) -> Proof {
    let (code, retry_after, complete) = match outcome {
        Outcome::Unsent => return Proof::Ended(Status::ConnectFailed),
        Outcome::Broken => return Proof::Ended(Status::Reset),
        Outcome::Answer { code, retry_after, complete } => (code, retry_after, complete),
    };
    Proof::Ended(match code {
        201 if complete => return Proof::Established,
        // RFC 9725, 4.1 and 4.5: a server that can't accept the session answers 503 with Retry-After. 429 (RFC 6585)
        // means the same.
        429 => Status::Saturated,
        503 if retry_after => Status::Saturated,
        // The request would have to go to another resource; this one did nothing (RFC 9110, 15.4). Redirects are not
        // followed, because the decision module chooses the server of a session.
        300..=308 => Status::Moot,
        // A resource of that name exists already; it may be this very session.
        409 => Status::Errored,
        // RFC 9110, 15.5: the server did not carry out the request.
        400..=499 => Status::Moot,
        // The server does not support the method or the HTTP version (RFC 9110, 15.6.2 and 15.6.6).
        501 | 505 => Status::Moot,
        // 500, 502, 503 without Retry-After, 504: a server behind this one may have begun the session. A success
        // without a session proves nothing either.
        _ => Status::Errored,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answered(code: u16, retry_after: bool, complete: bool) -> Proof {
        classify(Outcome::Answer { code, retry_after, complete })
    }

    /// Guards against setting up a paid session twice: checks every status code, and a code that is not listed must
    /// not prove that nothing ran.
    #[test]
    fn only_listed_status_codes_prove_that_nothing_ran() {
        for code in 100..=999u16 {
            for retry_after in [false, true] {
                let proved = match answered(code, retry_after, false) {
                    Proof::Established => panic!("{code} without a session counts as established"),
                    Proof::Ended(status) => status.never_ran(),
                };
                let listed = match code {
                    409 => false,
                    300..=308 | 400..=499 | 501 | 505 => true,
                    503 => retry_after,
                    _ => false,
                };
                assert_eq!(proved, listed, "{code}, Retry-After {retry_after}");
            }
        }
        assert_eq!(classify(Outcome::Unsent), Proof::Ended(Status::ConnectFailed));
        assert_eq!(classify(Outcome::Broken), Proof::Ended(Status::Reset));
    }

    #[test]
    fn only_a_complete_201_establishes_a_session() {
        assert_eq!(answered(201, false, true), Proof::Established);
        assert_eq!(answered(201, false, false), Proof::Ended(Status::Errored));
        assert_eq!(answered(200, false, true), Proof::Ended(Status::Errored));
    }

    #[test]
    fn distinguishes_a_saturated_server_from_one_that_can_not_serve_the_request() {
        assert_eq!(answered(503, true, false), Proof::Ended(Status::Saturated));
        assert_eq!(answered(429, false, false), Proof::Ended(Status::Saturated));
        assert_eq!(answered(404, false, false), Proof::Ended(Status::Moot));
    }
}
