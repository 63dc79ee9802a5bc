//! What the outcome of a set-up at a WHIP or WHEP server proves. A paid session is set up once: it may be tried
//! again, or refused, only where it is certain that nothing ran. Pure; the table is in `docs/whip-whep.md`.

use crate::api::Status;

/// How a POST came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection came up, or it ended before a byte of the request was written.
    Unsent,
    /// The connection ended, or what came can't be read, after some of the request was written and before a whole
    /// answer.
    Broken,
    /// A whole answer.
    Answer {
        /// Its status.
        code: u16,
        /// It tells when to come again.
        retry_after: bool,
        /// It has a description of the right type and a resource to end the session by.
        complete: bool,
    },
}

/// What the outcome means to the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The session stands.
    Established,
    /// It ended so; [`Status::never_ran`] tells whether that is proved.
    Ended(Status),
}

/// Reads an outcome. What is not known to prove that nothing ran does not.
pub fn classify(outcome: Outcome) -> Proof {
    let (code, retry_after, complete) = match outcome {
        Outcome::Unsent => return Proof::Ended(Status::ConnectFailed),
        Outcome::Broken => return Proof::Ended(Status::Reset),
        Outcome::Answer { code, retry_after, complete } => (code, retry_after, complete),
    };
    Proof::Ended(match code {
        201 if complete => return Proof::Established,
        // RFC 9725, 4.1 and 4.5: a server that can't take the session says so, and when to come again. 429 is
        // RFC 6585's word for the same.
        429 => Status::Saturated,
        503 if retry_after => Status::Saturated,
        // Another resource would have to be asked; this one did nothing (RFC 9110, 15.4). Redirects are not
        // followed: where a session goes is the module's decision.
        300..=308 => Status::Moot,
        // Something of that name is there already: perhaps this very session.
        409 => Status::Errored,
        // RFC 9110, 15.5: the request as it stands was not carried out.
        400..=499 => Status::Moot,
        // Not known to this server at all (RFC 9110, 15.6.2 and 15.6.6).
        501 | 505 => Status::Moot,
        // 500, 502, 503 without a word on coming again, 504: somewhere behind it may have begun. Nor does a
        // success prove anything that has no session to it.
        _ => Status::Errored,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn answered(code: u16, retry_after: bool, complete: bool) -> Proof {
        classify(Outcome::Answer { code, retry_after, complete })
    }

    /// Guards against a paid session that is set up twice: every code is looked at, and what is not on the list of
    /// proofs proves nothing.
    #[test]
    fn only_what_is_listed_proves_that_nothing_ran() {
        for code in 100..=999u16 {
            for retry_after in [false, true] {
                let proved = match answered(code, retry_after, false) {
                    Proof::Established => panic!("{code} without a session stands"),
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
    fn only_a_whole_201_stands() {
        assert_eq!(answered(201, false, true), Proof::Established);
        assert_eq!(answered(201, false, false), Proof::Ended(Status::Errored));
        assert_eq!(answered(200, false, true), Proof::Ended(Status::Errored));
    }

    #[test]
    fn a_full_server_is_told_from_one_that_can_not_serve_this() {
        assert_eq!(answered(503, true, false), Proof::Ended(Status::Saturated));
        assert_eq!(answered(429, false, false), Proof::Ended(Status::Saturated));
        assert_eq!(answered(404, false, false), Proof::Ended(Status::Moot));
    }
}
