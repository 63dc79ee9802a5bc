//! The rules that the brokers agree on, at one of them: limits are looked at for each request, and barred servers get
//! nothing new, whatever lists say.

use std::collections::BTreeMap;

use super::{Node, named};
use crate::api::*;
use crate::broker::Input;
use crate::faults;
use crate::peers::BootTime;
use crate::platform::links::Command;
use crate::rules::gate::RateLimiter;
use crate::rules::standing::{LocalRules, RateDecision, RulesFreshness};

/// What a node knows of its rules.
#[derive(Default)]
pub(super) struct Ruled {
    standing: LocalRules,
    gate: RateLimiter,
    boot: BootTime,
    /// Barred servers, as the lists have them.
    barred: BTreeMap<ServerId, ServerEntry>,
}

impl Node {
    /// Whether there are rules to go by.
    pub fn has_rules(&self) -> bool {
        self.ruled.is_some()
    }

    /// The moment on the clock by which rules count, as it is now.
    pub fn set_boot(&mut self, boot: BootTime) {
        if let Some(ruled) = &mut self.ruled {
            ruled.boot = boot;
        }
    }

    /// What this broker acts on from now on.
    pub fn ruled(&mut self, now: Micros, standing: LocalRules, out: &mut Vec<Command>) {
        let ruled = self.ruled.get_or_insert_with(Ruled::default);
        let before = std::mem::replace(&mut ruled.standing, standing).versions();
        // Each answer to a beat comes by here; who is barred changes with the versions alone.
        if ruled.standing.versions() == before {
            return;
        }
        let listed = self.broker.listed_servers();
        let mut changes = Vec::new();
        for entry in listed {
            let bars = ruled.standing.bars(&entry.id.0);
            match (bars, ruled.barred.contains_key(&entry.id)) {
                (true, false) => {
                    ruled.barred.insert(entry.id.clone(), entry.clone());
                    changes.push(ServerEntry { state: entry.state.barred(), ..entry });
                }
                (false, true) => changes.extend(ruled.barred.remove(&entry.id)),
                _ => {}
            }
        }
        if !changes.is_empty() {
            self.tell(now, Input::Servers { kind: ListKind::Changes, servers: changes }, out);
        }
    }

    /// Entries of a list as the rules let them be.
    pub(super) fn allowed(&mut self, servers: Vec<ServerEntry>) -> Vec<ServerEntry> {
        let Some(ruled) = &mut self.ruled else { return servers };
        let mut allowed = Vec::with_capacity(servers.len());
        for entry in servers {
            if entry.state == ServerState::Gone || !ruled.standing.bars(&entry.id.0) {
                ruled.barred.remove(&entry.id);
                allowed.push(entry);
            } else {
                ruled.barred.insert(entry.id.clone(), entry.clone());
                allowed.push(ServerEntry { state: entry.state.barred(), ..entry });
            }
        }
        allowed
    }

    /// Whether a request is let through, or how long it is to wait.
    pub(super) fn let_through(&mut self, now: Micros, request: &Request) -> Result<(), Micros> {
        let Some(ruled) = &mut self.ruled else { return Ok(()) };
        let tenant = named(&self.names.tenants, request.tenant);
        let class = named(&self.names.classes, request.class);
        let ruling = ruled.standing.ruling(ruled.boot, tenant, class);
        if cfg!(feature = "trials") {
            // By the clock that all processes of a trial share.
            let at = (ruled.boot.0 as f64 / faults::injected_value("clock-rate").unwrap_or(1.0)) as u64;
            let held = |state: &str, version: u64| {
                let per_s = match ruling {
                    RateDecision::Free => "free".to_owned(),
                    RateDecision::Limit { per_s, .. } => per_s.to_string(),
                    RateDecision::Refuse(_) => "refuse".to_owned(),
                };
                format!("rules.held at={at} class={class} state={state} version={version} per_s={per_s}")
            };
            self.log.push(match ruled.standing.sure(ruled.boot) {
                RulesFreshness::None => held("none", 0),
                RulesFreshness::Fresh(version) => held("fresh", version),
                RulesFreshness::Between(version, _) => held("between", version),
                RulesFreshness::Unsure(version) => held("unsure", version),
            });
        }
        ruled.gate.ask(now, request.tenant, request.class, ruling)
    }
}
