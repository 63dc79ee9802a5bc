//! Reader for the load reports of media servers: the header `endpoint-load-metrics` in the two text formats that ORCA
//! (Open Request Cost Aggregation) defines, `TEXT name=value,…` and `JSON {…}`.

use serde_json::Value;

use crate::api::Load;

/// The name of the header that carries a load report.
pub const HEADER: &str = "endpoint-load-metrics";

/// Parses a load report. Unknown metrics and values that are not finite, non-negative numbers are skipped.
pub fn parse_report(text: &str) -> Load {
    let mut load = Load::default();
    if let Some(pairs) = text.strip_prefix("TEXT ") {
        for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
            set_metric(&mut load, name.trim(), value.trim().parse().ok());
        }
    } else if let Some(json) = text.strip_prefix("JSON ") {
        let value: Value = serde_json::from_str(json).unwrap_or_default();
        for (name, value) in value.as_object().into_iter().flatten() {
            match value {
                Value::Object(inner) => {
                    inner.iter().for_each(|(n, v)| set_metric(&mut load, &format!("{name}.{n}"), v.as_f64()));
                }
                value => set_metric(&mut load, name, value.as_f64()),
            }
        }
    }
    load
}

fn set_metric(load: &mut Load, name: &str, value: Option<f64>) {
    let Some(value) = value.filter(|v| v.is_finite() && *v >= 0.0) else { return };
    match name {
        // The utilization by the server's own measure. The decision module expects at most 1.
        "application_utilization" => load.util = Some(value.min(1.0)),
        "rps_fractional" => load.rate = Some(value),
        "eps" => load.fail_rate = Some(value),
        "named_metrics.inflight" => load.inflight = Some(value),
        "named_metrics.queue" => load.queue = Some(value),
        "named_metrics.link" => load.link = Some(value),
        "named_metrics.uplink" => load.uplink = Some(value),
        _ => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_and_json_formats_give_the_same_load() {
        let text =
            "TEXT application_utilization=0.7,eps=0.5,rps_fractional=12,named_metrics.link=1.2,x=3,cpu=no";
        let json = r#"JSON {"application_utilization":0.7,"eps":0.5,"rps_fractional":12,"named_metrics":{"link":1.2}}"#;
        let load = parse_report(text);
        assert_eq!(load, parse_report(json));
        assert_eq!(
            (load.util, load.fail_rate, load.rate, load.link),
            (Some(0.7), Some(0.5), Some(12.0), Some(1.2))
        );
        assert_eq!(load.uplink, None);
    }

    #[test]
    fn skips_unreadable_metrics_and_caps_utilization_at_one() {
        for text in ["", "BIN abc", "TEXT eps=-1", "TEXT eps=inf,=,a", "JSON {", "JSON [1]", "text eps=1"] {
            assert_eq!(parse_report(text), Load::default(), "{text}");
        }
        assert_eq!(parse_report("TEXT application_utilization=7").util, Some(1.0));
    }
}
