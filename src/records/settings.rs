//! What the module is told, in the words of the simulator's wire, as records: on the platform it comes as JSON
//! that may hold more; in an operator's file every key must be one of these. Values are checked where they are
//! read, in [`crate::wire::settings`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Declares a record whose keys are written as on the wire and may be left out.
macro_rules! record {
    ($(#[$doc:meta])* $name:ident { $($(#[$about:meta])* $field:ident: $type:ty,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
        #[serde(deny_unknown_fields, rename_all = "PascalCase")]
        pub struct $name {
            $($(#[$about])* #[serde(default, skip_serializing_if = "Option::is_none")] pub $field: Option<$type>,)*
        }
    };
}

record!(
    /// `[settings]`.
    SettingsRecord {
        /// Brokers that share the servers.
        instances: u32,
        /// Which of them this one is, from 0.
        slot_no: u32,
        /// The zone that it stands in, an index into `Azs`.
        locality: u32,
        /// Time between two turns of the module, in milliseconds.
        period: f64,
        /// Worth of what a tenant sends over its share.
        over_share_worth: f64,
        /// Names of the zones.
        azs: Vec<String>,
        /// Names of the kinds of servers.
        kinds: Vec<String>,
        /// How the list of servers comes: `pushed` or `on_request`.
        discovery: String,
        /// The tenants.
        tenants: Vec<TenantRecord>,
        /// The classes of sessions.
        request_classes: Vec<ClassRecord>,
        /// The ladder of rates, the cells and the links.
        family_info: FamilyRecord,
        /// Limits on attempts and connections.
        limits: LimitsRecord,
        /// The hard rules' figures.
        rules: RulesRecord,
        /// What servers report.
        report: ReportRecord,
        /// Prices.
        fees: FeesRecord,
    }
);

record!(
    /// A tenant.
    TenantRecord {
        /// Its name.
        name: String,
        /// Requests a second that are its share.
        quota_rps: f64,
    }
);

record!(
    /// A class of sessions.
    ClassRecord {
        /// Its name.
        name: String,
        /// Milliseconds within which a set-up is wanted.
        slo: f64,
        /// Milliseconds after which a viewer gives a try up.
        deadline: f64,
        /// What a repeat does: `read_like`, `idempotency_key` or `non_idempotent`.
        effect: String,
        /// The servers that recognise a repeat: `all`, `zone` or `cell`.
        key_scope: String,
        /// Milliseconds for which they do.
        window: f64,
        /// Worth of a second.
        importance: f64,
    }
);

record!(
    /// The ladder of rates, the cells and the links. Lists named by class have one value for each class.
    FamilyRecord {
        /// Number of cells.
        places: u32,
        /// Number of racks.
        racks: u32,
        /// Streams that a server of each kind runs at most.
        places_by_kind: Vec<u32>,
        /// Rates of the rungs, rising.
        ladder_kb: Vec<f64>,
        /// Worth of the rungs.
        ladder_worth: Vec<f64>,
        /// What the link of a server of weight 1 gives.
        link_unit_kb: f64,
        /// What a rack's uplink gives.
        rack_kb: f64,
        /// Part of the rate that one more viewer of a shared stream adds.
        join: f64,
        /// Which classes are live.
        live: Vec<bool>,
        /// Highest rung by class.
        class_top: Vec<u32>,
        /// Rates over those of the ladder, by class.
        class_scale: Vec<f64>,
        /// Lowest rung by class.
        floor_by_class: Vec<u32>,
        /// Sessions of one title by class; 0: no cap.
        class_seats: Vec<u32>,
        /// Part of the link above which servers turn set-ups away; 0: they don't.
        guard: f64,
        /// How late notes come, in milliseconds.
        see: f64,
        /// Time between notes on links, in milliseconds.
        reports_every: f64,
        /// Points lost for each point that is not delivered.
        stall_cost: f64,
        /// Seconds of worth that a change of rung costs.
        change_costs_s: f64,
    }
);

record!(
    /// Limits on attempts and connections.
    LimitsRecord {
        /// Attempts for one request at most.
        attempts_cap: u32,
        /// Milliseconds after which a connection that doesn't come up has failed.
        connect_timeout: f64,
        /// Milliseconds after which servers close idle connections.
        keepalive: f64,
        /// Whether refusals tell when to come back.
        retry_after: bool,
        /// Longest time that they may tell, in milliseconds.
        max_retry_after: f64,
    }
);

record!(
    /// The hard rules' figures.
    RulesRecord {
        /// Milliseconds after which nothing new goes to a server that drains.
        stop_sending_within: f64,
        /// Milliseconds until a server that has started is warm.
        cold: f64,
        /// The share of its places that it has from the start.
        cold_from: f64,
        /// Milliseconds of the window in which too much pushes a cold server over.
        fall: f64,
        /// So many times its present capacity does.
        fall_multiple: f64,
        /// Further attempts over first ones.
        repeat_ratio: f64,
        /// Further attempts that are always free.
        extra_floor: f64,
        /// Milliseconds over which they are counted.
        budget_span: f64,
    }
);

record!(
    /// What servers report.
    ReportRecord {
        /// The fields.
        fields: Vec<String>,
    }
);

record!(
    /// Prices, in points.
    FeesRecord {
        /// Of a move.
        moves: f64,
        /// Of a session in another zone.
        cross_zone: f64,
        /// Of a new connection.
        handshake: f64,
    }
);
