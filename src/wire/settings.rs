//! Reads an instance's settings.

use serde_json::Value;

use super::conf::JsonNode;
use crate::api::*;

/// Reads an instance's settings; the error names the invalid key.
pub fn settings(json: &Value) -> Result<Settings, String> {
    let root = JsonNode { value: json, path: String::new() };
    if !json.is_object() {
        return Err("Conf: not an object".into());
    }
    let family = root.required("FamilyInfo")?;
    let ladder = family.required("LadderKb")?;
    let worths = family.required("LadderWorth")?;
    let mut settings = Settings::new(ladder.numbers()?, worths.numbers()?);
    if settings.rung_kb.is_empty() {
        return ladder.error("empty");
    }
    if settings.rung_kb[0] <= 0.0 || settings.rung_kb.windows(2).any(|w| w[1] <= w[0]) {
        return ladder.error("not positive and rising");
    }
    if settings.rung_worth.len() != settings.rung_kb.len() {
        return worths.error("not as long as LadderKb");
    }
    settings.cells = family.required("Places")?.whole_number()?;
    settings.racks = family.required("Racks")?.whole_number()?;
    for (key, count) in [("Places", settings.cells), ("Racks", settings.racks)] {
        if count == 0 {
            return family.required(key)?.error("zero");
        }
    }
    settings.link_unit_kb = family.required("LinkUnitKb")?.number()?;
    settings.rack_kb = family.required("RackKb")?.number()?;
    for (key, kb) in [("LinkUnitKb", settings.link_unit_kb), ("RackKb", settings.rack_kb)] {
        if kb <= 0.0 {
            return family.required(key)?.error("not above zero");
        }
    }
    if let Some(places) = family.optional("PlacesByKind") {
        settings.kind_streams =
            places.items()?.iter().map(JsonNode::whole_number).collect::<Result<_, _>>()?;
    }
    settings.shared_viewer_cost = family.number_or("Join", 1.0)?;
    settings.shortfall_penalty = family.number_or("StallCost", 1.0)?;
    settings.switch_s = family.number_or("ChangeCostsS", 0.0)?;
    settings.note_delay = family.time_or_zero("See")?;
    settings.load_note_interval = family.time_or_zero("ReportsEvery")?;
    settings.link_limit = family.number_or("Guard", 0.0)?;
    settings.classes = read_classes(&root, &family, settings.rung_kb.len())?;
    read_fleet(&root, &mut settings)?;
    read_limits(&root, &mut settings)?;
    Ok(settings)
}

fn read_classes(root: &JsonNode<'_>, family: &JsonNode<'_>, rungs: usize) -> Result<Vec<Class>, String> {
    let list = root.required("RequestClasses")?;
    let items = list.items()?;
    if items.is_empty() {
        return list.error("empty");
    }
    let mut classes = Vec::new();
    for item in &items {
        let time = |key: &str| item.required(key)?.number().map(Micros::from_ms);
        let idempotency = match item.text_or("Effect", "read_like")? {
            "read_like" => Idempotency::Safe,
            "non_idempotent" => Idempotency::Unsafe,
            "idempotency_key" => Idempotency::Keyed {
                scope: match item.text_or("KeyScope", "all")? {
                    "all" => KeyScope::All,
                    "zone" | "same zone" => KeyScope::Zone,
                    "cell" | "same cell" => KeyScope::Cell,
                    _ => return item.required("KeyScope")?.error("not all, zone or cell"),
                },
                window: time("Window")?,
            },
            _ => {
                return item.required("Effect")?.error("not read_like, idempotency_key or non_idempotent");
            }
        };
        let deadline = item.required("Deadline")?;
        if deadline.number()? <= 0.0 {
            return deadline.error("not above zero");
        }
        let mut class = Class::new(time("Slo")?, time("Deadline")?, idempotency);
        class.worth = item.number_or("Importance", 1.0)?;
        class.top = Rung(rungs - 1);
        classes.push(class);
    }
    let per_class = |key: &str| -> Result<Option<Vec<JsonNode<'_>>>, String> {
        let Some(list) = family.optional(key) else {
            return Ok(None);
        };
        let values = list.items()?;
        if values.len() == items.len() {
            Ok(Some(values))
        } else {
            list.error("not one value for each class")
        }
    };
    for (class, value) in classes.iter_mut().zip(per_class("Live")?.into_iter().flatten()) {
        class.live = value.value.as_bool().map_or_else(|| value.error("not true or false"), Ok)?;
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassScale")?.into_iter().flatten()) {
        class.scale = value.number()?;
        if class.scale <= 0.0 {
            return value.error("not above zero");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassTop")?.into_iter().flatten()) {
        class.top = Rung((value.whole_number()? as usize).min(rungs - 1));
    }
    for (class, value) in classes.iter_mut().zip(per_class("FloorByClass")?.into_iter().flatten()) {
        class.floor = Rung(value.whole_number()? as usize);
        if class.floor > class.top {
            return value.error("above the class's top");
        }
    }
    for (class, value) in classes.iter_mut().zip(per_class("ClassSeats")?.into_iter().flatten()) {
        class.seats = Some(value.whole_number()?).filter(|n| *n > 0);
    }
    Ok(classes)
}

fn read_fleet(root: &JsonNode<'_>, settings: &mut Settings) -> Result<(), String> {
    let instances = root.required("Instances")?;
    settings.broker_count = instances.whole_number()?;
    if settings.broker_count == 0 {
        return instances.error("zero");
    }
    settings.broker_index = root.optional("SlotNo").map_or(Ok(0), |c| c.whole_number())?;
    settings.zone = root.optional("Locality").map_or(Ok(0), |c| c.whole_number())?;
    settings.tick = root.time_or_zero("Period")?;
    settings.over_share_worth = root.number_or("OverShareWorth", 1.0)?;
    if let Some(tenants) = root.optional("Tenants") {
        for tenant in tenants.items()? {
            let quota_per_s = tenant.optional("QuotaRps").map(|c| c.number()).transpose()?;
            settings.tenants.push(Tenant { quota_per_s });
        }
    }
    settings.discovery = match root.text_or("Discovery", "pushed")? {
        "pushed" => Discovery::Pushed,
        "on_request" => Discovery::OnRequest,
        _ => return root.required("Discovery")?.error("not pushed or on_request"),
    };
    if let Some(fields) = root.optional("Report").and_then(|r| r.optional("Fields")) {
        settings.uplink_reported = fields.items()?.iter().any(|f| f.value.as_str() == Some("x1"));
    }
    if let Some(fees) = root.optional("Fees") {
        settings.move_price = fees.number_or("Moves", 0.0)?;
        settings.cross_zone_price = fees.number_or("CrossZone", 0.0)?;
        settings.handshake_price = fees.number_or("Handshake", 0.0)?;
    }
    Ok(())
}

fn read_limits(root: &JsonNode<'_>, settings: &mut Settings) -> Result<(), String> {
    let limits = root.required("Limits")?;
    let max_attempts = limits.required("AttemptsCap")?;
    settings.max_attempts = max_attempts.whole_number()?;
    if settings.max_attempts == 0 {
        return max_attempts.error("not above zero");
    }
    settings.idle = limits.time_or_zero("Keepalive")?;
    if limits.flag_or("RetryAfter", false)? {
        settings.max_retry_after = limits.time_or_zero("MaxRetryAfter")?;
    }
    let rules = root.required("Rules")?;
    settings.drain_grace = rules.time_or_zero("StopSendingWithin")?;
    settings.warm_up = rules.time_or_zero("Cold")?;
    settings.initial_capacity = rules.number_or("ColdFrom", 1.0)?;
    settings.overload_factor = rules.number_or("FallMultiple", 1.0)?;
    settings.overload_window = rules.time_or_zero("Fall")?;
    if let Some(ratio) = rules.optional("RepeatRatio") {
        settings.budget = Some(RetryBudget {
            floor: rules.number_or("ExtraFloor", 0.0)?,
            ratio: ratio.number()?,
            span: Micros::from_ms(rules.required("BudgetSpan")?.number()?),
        });
    }
    Ok(())
}
