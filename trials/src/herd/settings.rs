//! The files that the platform hands a broker: a deployment as the settings' JSON, and the configuration round it.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::deployment::{Class, Deployment, LADDER_KB, ZONES};

/// The highest rung that a viewer may ask for.
pub const TOP_RUNG: u32 = LADDER_KB.len() as u32 - 1;

/// Where one broker stands in the herd.
pub struct Place<'a> {
    /// Its name.
    pub name: &'a str,
    /// Which of the brokers it is, from 0.
    pub index: usize,
    /// How many there are.
    pub brokers: usize,
    /// How many edge servers there are, one to a cell.
    pub cells: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the notice board listens.
    pub board: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// What `LB_CONFIG` holds, with the list of servers as it is known at the start.
pub fn configuration(deployment: &Deployment, place: &Place<'_>, known: &Value) -> Value {
    json!({
        "name": place.name,
        "listen": place.listen.to_string(),
        "seed": format!("{:016x}", place.seed),
        "limits": {"cores": 1.0, "memory_mb": deployment.memory_mb, "sockets": deployment.sockets},
        "board": place.board.to_string(),
        "known": known,
        "settings": settings(deployment, place),
    })
}

fn settings(deployment: &Deployment, place: &Place<'_>) -> Value {
    let zones = deployment.zones as usize;
    let tenants: Vec<Value> =
        (0..deployment.tenants).map(|n| json!({"Name": tenant(n), "QuotaRps": 50.0})).collect();
    let classes: Vec<Value> = deployment.classes.iter().map(class).collect();
    json!({
        "Instances": place.brokers, "SlotNo": place.index, "Locality": place.index % zones,
        "Period": deployment.tick_ms, "Kinds": ["std"], "Azs": ZONES[..zones],
        "Discovery": "pushed", "Tenants": tenants, "RequestClasses": classes,
        "FamilyInfo": family(deployment, place.cells),
        "Limits": {
            "AttemptsCap": deployment.attempts, "ConnectTimeout": deployment.connect_timeout_ms,
            "Keepalive": deployment.idle_s * 1_000, "RetryAfter": true,
            "MaxRetryAfter": deployment.max_retry_after_ms,
        },
        "Rules": rules(deployment),
        "Report": {"Fields": []},
    })
}

fn class(class: &Class) -> Value {
    let effect = if class.paid { "non_idempotent" } else { "read_like" };
    json!({"Name": class.name, "Slo": class.aim_ms, "Deadline": class.deadline_ms, "Effect": effect,
        "Importance": class.worth})
}

fn family(deployment: &Deployment, cells: usize) -> Value {
    let classes = &deployment.classes;
    let floors: Vec<u32> = classes.iter().map(|class| class.floor).collect();
    let seats: Vec<u32> = classes.iter().map(|class| class.seats).collect();
    let tops: Vec<u32> = classes.iter().map(|_| TOP_RUNG).collect();
    json!({
        "Places": cells, "Racks": 2, "LadderKb": LADDER_KB, "LadderWorth": [0.3, 0.6, 1.0],
        "LinkUnitKb": deployment.link_unit_kb, "RackKb": deployment.link_unit_kb * cells as f64 * 2.0,
        "Join": 0.25, "ClassTop": tops, "FloorByClass": floors, "ClassSeats": seats,
    })
}

fn rules(deployment: &Deployment) -> Value {
    let mut rules = json!({
        "StopSendingWithin": deployment.drain_grace_ms, "Cold": deployment.warm_up_ms,
        "ColdFrom": deployment.cold_from, "Fall": deployment.fall_ms, "FallMultiple": deployment.fall_multiple,
    });
    if let Some(ratio) = deployment.repeat_ratio {
        rules["RepeatRatio"] = json!(ratio);
        rules["ExtraFloor"] = json!(10);
        rules["BudgetSpan"] = json!(10_000);
    }
    rules
}

/// The name of a tenant.
pub fn tenant(number: u32) -> String {
    format!("tenant-{number}")
}
