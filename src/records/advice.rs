//! What of a deployment's settings is left out or contradicts itself though a broker could run with it: told by `check`,
//! never a reason to refuse a file.

use super::{OperatorFile, SettingsRecord, Source};

/// What of the 8 s, within which clients must hear of the end of sessions at a vanished server, is left for its notes and
/// for the connection that is tried then: the rest is for timers and the client's line.
const NOTES_WITHIN_MS: f64 = 7500.0;
/// How much later than due a server's notes may come.
const NOTES_SPARE_MS: f64 = 500.0;

/// A remark on a field, by its path below `settings`.
type Remark = (String, String);

fn remark(field: &str, text: impl Into<String>) -> Remark {
    (format!("settings.{field}"), text.into())
}

/// Remarks on an operator's file, one a line, each with its file and line.
pub fn advice(name: &str, text: &str) -> Vec<String> {
    let source = Source::new(name, text);
    let Ok(file) = source.read::<OperatorFile>() else { return Vec::new() };
    let remarks = [left_out(&file.settings), contradictions(&file.settings)].concat();
    source.findings(remarks).iter().map(ToString::to_string).collect()
}

/// What is left out, and what the broker does then.
fn left_out(settings: &SettingsRecord) -> Vec<Remark> {
    let rules = settings.rules.clone().unwrap_or_default();
    let family = settings.family_info.clone().unwrap_or_default();
    let limits = settings.limits.clone().unwrap_or_default();
    let fields = settings.report.clone().unwrap_or_default().fields.unwrap_or_default();
    let has = |field: &str| fields.iter().any(|known| known == field);
    let zero = |value: Option<f64>| value.unwrap_or(0.0) == 0.0;
    let mut remarks = Vec::new();
    if zero(rules.cold) || zero(rules.fall) {
        let text = "Cold or Fall is left out: servers that have just started get as much as others";
        remarks.push(remark("Rules", text));
    }
    if zero(family.reports_every) {
        let text = "ReportsEvery is left out: servers are taken to write no notes on their links";
        remarks.push(remark("FamilyInfo", text));
    }
    if !has("x1") {
        let text = "no field x1: what uplinks give is estimated from what servers deliver";
        remarks.push(remark("Report", text));
    }
    if limits.retry_after == Some(true) && zero(limits.max_retry_after) {
        remarks.push(remark("Limits", "RetryAfter without MaxRetryAfter: refusals name no time"));
    }
    if zero(limits.keepalive) {
        let text = "Keepalive is left out: servers are taken to keep idle connections for good";
        remarks.push(remark("Limits", text));
    }
    remarks
}

/// What can't be meant as it stands.
fn contradictions(settings: &SettingsRecord) -> Vec<Remark> {
    let mut remarks = Vec::new();
    for (n, class) in settings.request_classes.iter().flatten().enumerate() {
        if class.slo.zip(class.deadline).is_some_and(|(aim, deadline)| aim > deadline) {
            let text = "wanted later than its viewers wait (Deadline)";
            remarks.push(remark(&format!("RequestClasses[{n}].Slo"), text));
        }
    }
    if settings.slot_no.zip(settings.instances).is_some_and(|(slot, count)| slot >= count) {
        remarks
            .push(remark("SlotNo", "not below Instances: this broker takes another's turns at cold servers"));
    }
    let zones = settings.azs.iter().flatten().count();
    if zones > 0 && settings.locality.is_some_and(|zone| zone as usize >= zones) {
        remarks.push(remark("Locality", "no zone of Azs has this number"));
    }
    if settings
        .rules
        .as_ref()
        .and_then(|rules| rules.cold_from)
        .is_some_and(|part| !(0.0..=1.0).contains(&part))
    {
        remarks.push(remark("Rules.ColdFrom", "not between 0 and 1"));
    }
    let family = settings.family_info.clone().unwrap_or_default();
    if family.guard.is_some_and(|part| part < 0.0) {
        remarks.push(remark("FamilyInfo.Guard", "below 0: counts as 0, servers turn nothing away"));
    }
    let connect = settings.limits.as_ref().and_then(|limits| limits.connect_timeout).unwrap_or(0.0);
    let notes = family.reports_every.unwrap_or(0.0) + family.see.unwrap_or(0.0);
    if notes > 0.0 && notes + NOTES_SPARE_MS + connect > NOTES_WITHIN_MS {
        let text = "with See and ConnectTimeout longer than 7 s: a server is tried for silence before its notes are overdue";
        remarks.push(remark("FamilyInfo.ReportsEvery", text));
    }
    remarks
}
