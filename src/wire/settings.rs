//! An instance's settings.

use serde_json::Value;

use super::conf::Conf;
use crate::api::*;

/// Reads an instance's settings; the error names the key that cannot work.
pub fn settings(conf: &Value) -> Result<Settings, String> {
    let root = Conf { value: conf, path: String::new() };
    if !conf.is_object() {
        return Err("Conf: not an object".into());
    }
    let family = root.need("FamilyInfo")?;
    let ladder = family.need("LadderKb")?;
    let worths = family.need("LadderWorth")?;
    let mut s = Settings::new(ladder.numbers()?, worths.numbers()?);
    if s.rung_kb.is_empty() {
        return ladder.bad("empty");
    }
    if s.rung_kb[0] <= 0.0 || s.rung_kb.windows(2).any(|w| w[1] <= w[0]) {
        return ladder.bad("not positive and rising");
    }
    if s.rung_worth.len() != s.rung_kb.len() {
        return worths.bad("not as long as LadderKb");
    }
    s.cells = family.need("Places")?.whole()?;
    s.racks = family.need("Racks")?.whole()?;
    for (key, count) in [("Places", s.cells), ("Racks", s.racks)] {
        if count == 0 {
            return family.need(key)?.bad("zero");
        }
    }
    s.link_unit_kb = family.need("LinkUnitKb")?.number()?;
    s.rack_kb = family.need("RackKb")?.number()?;
    for (key, kb) in [("LinkUnitKb", s.link_unit_kb), ("RackKb", s.rack_kb)] {
        if kb <= 0.0 {
            return family.need(key)?.bad("not above zero");
        }
    }
    if let Some(places) = family.find("PlacesByKind") {
        s.kind_streams = places.items()?.iter().map(Conf::whole).collect::<Result<_, _>>()?;
    }
    s.shared_viewer_cost = family.number_or("Join", 1.0)?;
    s.shortfall_penalty = family.number_or("StallCost", 1.0)?;
    s.switch_s = family.number_or("ChangeCostsS", 0.0)?;
    s.note_delay = family.time_or_zero("See")?;
    s.load_note_interval = family.time_or_zero("ReportsEvery")?;
    s.link_limit = family.number_or("Guard", 0.0)?;
    s.classes = classes(&root, &family, s.rung_kb.len())?;
    fronts(&root, &mut s)?;
    limits(&root, &mut s)?;
    Ok(s)
}

fn classes(root: &Conf<'_>, family: &Conf<'_>, rungs: usize) -> Result<Vec<Class>, String> {
    let list = root.need("RequestClasses")?;
    let items = list.items()?;
    if items.is_empty() {
        return list.bad("empty");
    }
    let mut classes = Vec::new();
    for item in &items {
        let time = |key: &str| item.need(key)?.number().map(Micros::from_ms);
        let effect = match item.text_or("Effect", "read_like") {
            "read_like" => Idempotency::Safe,
            "non_idempotent" => Idempotency::Unsafe,
            "idempotency_key" => Idempotency::Keyed {
                scope: match item.text_or("KeyScope", "all") {
                    "all" => KeyScope::All,
                    "zone" | "same zone" => KeyScope::Zone,
                    "cell" | "same cell" => KeyScope::Cell,
                    _ => return item.need("KeyScope")?.bad("not all, zone or cell"),
                },
                window: time("Window")?,
            },
            _ => {
                return item.need("Effect")?.bad("not read_like, idempotency_key or non_idempotent");
            }
        };
        let deadline = item.need("Deadline")?;
        if deadline.number()? <= 0.0 {
            return deadline.bad("not above zero");
        }
        let mut class = Class::new(time("Slo")?, time("Deadline")?, effect);
        class.worth = item.number_or("Importance", 1.0)?;
        class.top = Rung(rungs - 1);
        classes.push(class);
    }
    let per_class = |key: &str| -> Result<Option<Vec<Conf<'_>>>, String> {
        let Some(list) = family.find(key) else {
            return Ok(None);
        };
        let values = list.items()?;
        if values.len() == items.len() { Ok(Some(values)) } else { list.bad("not one value for each class") }
    };
    for (class, value) in classes.iter_mut().zip(per_class("Live")?.into_iter().flatten()) {
        class.live = value.value.as_bool().map_or_else(|| value.bad("not true or false"), Ok)?;
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassScale")?.into_iter().flatten()) {
        class.scale = value.number()?;
        if class.scale <= 0.0 {
            return value.bad("not above zero");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassTop")?.into_iter().flatten()) {
        class.top = Rung((value.whole()? as usize).min(rungs - 1));
    }
    for (class, value) in classes.iter_mut().zip(per_class("FloorByClass")?.into_iter().flatten()) {
        class.floor = Rung(value.whole()? as usize);
        if class.floor > class.top {
            return value.bad("above the class's top");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassSeats")?.into_iter().flatten()) {
        class.seats = Some(value.whole()?).filter(|n| *n > 0);
    }
    Ok(classes)
}

fn fronts(root: &Conf<'_>, s: &mut Settings) -> Result<(), String> {
    let instances = root.need("Instances")?;
    s.broker_count = instances.whole()?;
    if s.broker_count == 0 {
        return instances.bad("zero");
    }
    s.broker_index = root.find("SlotNo").map_or(Ok(0), |c| c.whole())?;
    s.zone = root.find("Locality").map_or(Ok(0), |c| c.whole())?;
    s.tick = root.time_or_zero("Period")?;
    s.over_share_worth = root.number_or("OverShareWorth", 1.0)?;
    if let Some(tenants) = root.find("Tenants") {
        for tenant in tenants.items()? {
            let quota_per_s = tenant.find("QuotaRps").map(|c| c.number()).transpose()?;
            s.tenants.push(Tenant { quota_per_s });
        }
    }
    s.discovery = match root.text_or("Discovery", "pushed") {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::OnRequest,
        _ => return root.need("Discovery")?.bad("not pushed or on_request"),
    };
    if let Some(fields) = root.find("Report").and_then(|r| r.find("Fields")) {
        s.uplink_reported = fields.items()?.iter().any(|f| f.value.as_str() == Some("x1"));
    }
    if let Some(fees) = root.find("Fees") {
        s.move_price = fees.number_or("Moves", 0.0)?;
        s.cross_zone_price = fees.number_or("CrossZone", 0.0)?;
        s.handshake_price = fees.number_or("Handshake", 0.0)?;
    }
    Ok(())
}

fn limits(root: &Conf<'_>, s: &mut Settings) -> Result<(), String> {
    let limits = root.need("Limits")?;
    let cap = limits.need("AttemptsCap")?;
    s.max_attempts = cap.whole()?;
    if s.max_attempts == 0 {
        return cap.bad("not above zero");
    }
    s.idle = limits.time_or_zero("Keepalive")?;
    if limits.find("RetryAfter").and_then(|c| c.value.as_bool()) == Some(true) {
        s.max_retry_after = limits.time_or_zero("MaxRetryAfter")?;
    }
    let rules = root.need("Rules")?;
    s.drain_grace = rules.time_or_zero("StopSendingWithin")?;
    s.warm_up = rules.time_or_zero("Cold")?;
    s.initial_capacity = rules.number_or("ColdFrom", 1.0)?;
    s.overload_factor = rules.number_or("FallMultiple", 1.0)?;
    s.overload_window = rules.time_or_zero("Fall")?;
    if let Some(ratio) = rules.find("RepeatRatio") {
        s.budget = Some(RetryBudget {
            floor: rules.number_or("ExtraFloor", 0.0)?,
            ratio: ratio.number()?,
            span: Micros::from_ms(rules.need("BudgetSpan")?.number()?),
        });
    }
    Ok(())
}
