//! The platform's front: viewers' JSON lines on one side, edge servers' binary messages on the other, as state
//! machines of bytes. They decide nothing and know no socket.

pub mod links;
pub mod timings;
pub mod viewer;

use crate::api::{Class, Load, Settings};

/// Reads a load report such as `x0:12;x1:40;queue:3`; what is not known or not a number is skipped.
pub fn parse_load_report(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split([';', ',']).filter_map(|pair| pair.split_once(':')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite()) else { continue };
        let slot = match name.trim() {
            "rif" | "inflight" => &mut load.inflight,
            "q" | "queue" => &mut load.queue,
            "busy" | "util" => &mut load.util,
            "lat_ms" | "latency_ms" => &mut load.latency_ms,
            "rate" | "qps" => &mut load.rate,
            "fail_rate" | "eps" => &mut load.fail_rate,
            "x0" => &mut load.link,
            "x1" => &mut load.uplink,
            _ => continue,
        };
        *slot = Some(value);
    }
    load
}

/// The longest time that a viewer of any class waits for an answer.
pub fn longest_deadline(settings: &Settings) -> crate::api::Micros {
    settings.classes.iter().map(|c: &Class| c.deadline).max().unwrap_or_default()
}
