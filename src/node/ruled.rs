//! The rules that the brokers agree on, as one broker applies them: rate limits are checked for each request,
//! and barred servers get no new sessions, whatever the server lists say.

use std::collections::BTreeMap;

use super::{Node, name_at};
use crate::api::*;
use crate::broker::Input;
use crate::faults;
use crate::peers::BootTime;
use crate::platform::links::Command;
use crate::rules::gate::RateLimiter;
use crate::rules::standing::{LocalRules, RateDecision, RulesFreshness};

/// The rules as this node applies them.
#[derive(Default)]
pub(super) struct NodeRules {
    /// The rules in force at this process.
    local: LocalRules,
    /// Counts requests against the rate limits.
    limiter: RateLimiter,
    /// The current time of the clock on which rules are valid.
    boot_time: BootTime,
    /// Barred servers, as they are in the server list.
    barred: BTreeMap<ServerId, ServerEntry>,
}

impl Node {
    /// Whether there are rules.
    pub fn has_rules(&self) -> bool {
        self.rules.is_some()
    }

    /// Sets the current time of the clock on which rules are valid.
    pub fn set_boot_time(&mut self, boot_time: BootTime) {
        if let Some(rules) = &mut self.rules {
            rules.boot_time = boot_time;
        }
    }

    /// Replaces the rules that this broker applies.
    pub fn set_rules(&mut self, now: Micros, local: LocalRules, out: &mut Vec<Command>) {
        let rules = self.rules.get_or_insert_with(NodeRules::default);
        let before = std::mem::replace(&mut rules.local, local).versions();
        // Every heartbeat reply leads here, but the set of barred servers changes only with the rule
        // versions.
        if rules.local.versions() == before {
            return;
        }
        let listed = self.broker.listed_servers();
        let mut changes = Vec::new();
        for entry in listed {
            let is_barred = rules.local.bars(&entry.id.0);
            match (is_barred, rules.barred.contains_key(&entry.id)) {
                (true, false) => {
                    rules.barred.insert(entry.id.clone(), entry.clone());
                    changes.push(ServerEntry { state: entry.state.barred(), ..entry });
                }
                (false, true) => changes.extend(rules.barred.remove(&entry.id)),
                _ => {}
            }
        }
        if !changes.is_empty() {
            self.handle_input(now, Input::Servers { kind: ListKind::Changes, servers: changes }, out);
        }
    }

    /// Applies the rules to the entries of a server list.
    pub(super) fn apply_barred(&mut self, servers: Vec<ServerEntry>) -> Vec<ServerEntry> {
        let Some(rules) = &mut self.rules else { return servers };
        let mut allowed = Vec::with_capacity(servers.len());
        for entry in servers {
            if entry.state == ServerState::Gone || !rules.local.bars(&entry.id.0) {
                rules.barred.remove(&entry.id);
                allowed.push(entry);
            } else {
                rules.barred.insert(entry.id.clone(), entry.clone());
                allowed.push(ServerEntry { state: entry.state.barred(), ..entry });
            }
        }
        allowed
    }

    /// Checks the rate limit for a request. Returns the time to wait if it is refused.
    pub(super) fn check_rate_limit(&mut self, now: Micros, request: &Request) -> Result<(), Micros> {
        let Some(rules) = &mut self.rules else { return Ok(()) };
        let tenant = name_at(&self.names.tenants, request.tenant);
        let class = name_at(&self.names.classes, request.class);
        let decision = rules.local.ruling(rules.boot_time, tenant, class);
        if cfg!(feature = "trials") {
            // Uses the clock that all processes of a trial share.
            let at = (rules.boot_time.0 as f64 / faults::injected_value("clock-rate").unwrap_or(1.0)) as u64;
            let log_line = |state: &str, version: u64| {
                let per_s = match decision {
                    RateDecision::Free => "free".to_owned(),
                    RateDecision::Limit { per_s, .. } => per_s.to_string(),
                    RateDecision::Refuse(_) => "refuse".to_owned(),
                };
                format!("rules.held at={at} class={class} state={state} version={version} per_s={per_s}")
            };
            self.log.push(match rules.local.sure(rules.boot_time) {
                RulesFreshness::None => log_line("none", 0),
                RulesFreshness::Fresh(version) => log_line("fresh", version),
                RulesFreshness::Between(version, _) => log_line("between", version),
                RulesFreshness::Unsure(version) => log_line("unsure", version),
            });
        }
        rules.limiter.ask(now, request.tenant, request.class, decision)
    }
}
