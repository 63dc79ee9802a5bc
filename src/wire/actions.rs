//! Prints actions as lines.

use std::fmt::Write as _;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;

use super::Instance;
use crate::api::*;

fn ms(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1000, time.0 % 1000)
}

/// Appends an instance's action as one line.
pub fn print(instance: Instance, action: &Action, out: &mut String) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Send { id, server, timeout } => {
            writeln!(
                out,
                "FORWARD Who={instance} Ticket={:016x} Server={server} Timeout={}",
                id.0,
                ms(*timeout)
            )
        }
        Action::Cancel { id, attempt } => {
            writeln!(out, "WITHDRAW Who={instance} Ticket={:016x} SendNo={attempt}", id.0)
        }
        Action::Refuse { id, retry_after } => {
            writeln!(out, "REJECT Who={instance} Ticket={:016x} CoolDown={}", id.0, ms(*retry_after))
        }
        Action::Fail(id) => writeln!(out, "ABORT Who={instance} Ticket={:016x}", id.0),
        Action::Move(id) => writeln!(out, "SHIFT Who={instance} Ticket={:016x}", id.0),
        Action::Rate { id, rung } => {
            writeln!(out, "CHOOSE_RATE Who={instance} Ticket={:016x} TierNo={}", id.0, rung.0)
        }
        Action::Timer { token, delay } => {
            writeln!(out, "TIMER Who={instance} Mark={token} SleepFor={}", ms(*delay))
        }
        Action::Probe(server) => writeln!(out, "SAMPLE Who={instance} Server={server}"),
        Action::Close(server) => writeln!(out, "FREE_LINKS Who={instance} Server={server}"),
        Action::Tell { to, data } => {
            let octets = if data.is_empty() { "-".to_owned() } else { BASE64.encode(data) };
            let whom = to.map_or(-1, i64::from);
            writeln!(out, "BROADCAST_TO Who={instance} Whom={whom} Octets={octets}")
        }
        Action::Watch(on) => writeln!(out, "STREAM_CHANGES Who={instance} On={}", u8::from(*on)),
        Action::Fetch => writeln!(out, "PULL Who={instance}"),
        Action::Log(text) => writeln!(out, "WRITE_LOG Who={instance} What={}", one_line(text)),
    };
}

/// Appends a line that reports the failure of an instance's module.
pub fn print_failure(instance: Instance, text: &str, out: &mut String) {
    let _ = writeln!(out, "INTERNAL_ERROR Who={instance} What={}", one_line(text));
}

/// Appends the end of a reply.
pub fn print_end(out: &mut String) {
    out.push_str("READY\n");
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
