//! Rules that all brokers act on: documents with versions, agreed on through the quorum, of which no two that
//! contradict each other are acted on for longer than a stated time.
//!
//! Nothing here has sockets, files or a clock. A [`document`] is typed TOML, checked whole; [`grade`] says by field
//! what differs between two and how far both may be acted on at once; [`version`] is what the log keeps;
//! [`force`] is the leader's side of bringing one into force, [`standing`] each process's own; [`gate`] counts what a
//! limit lets through. `docs/design/rules.md` has the argument.

pub mod document;
pub mod force;
pub mod gate;
pub mod grade;
pub mod standing;
pub mod version;
