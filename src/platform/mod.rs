//! The platform's front: JSON lines of viewers on one side, binary messages of edge servers on the other.
//! State machines over bytes, which make no decisions and use no sockets.

pub mod links;
pub mod timings;
pub mod viewer;

use crate::api::{Class, Load, Settings};

/// Parses a load report such as `x0:12;x1:40;queue:3`. Unknown names and invalid numbers are ignored.
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

/// Returns the longest deadline of any class.
pub fn longest_deadline(settings: &Settings) -> crate::api::Micros {
    settings.classes.iter().map(|c: &Class| c.deadline).max().unwrap_or_default()
}
