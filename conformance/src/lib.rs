//! A conformance suite for WHIP (RFC 9725) and WHEP endpoints: named cases that drive any endpoint over sockets
//! ([`cases`]), reports of what they found ([`report`]), and a stand-in media server that can be told to misbehave
//! ([`media`]). It knows nothing of the broker's code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cases;
pub mod media;
pub mod report;
pub mod wire;
