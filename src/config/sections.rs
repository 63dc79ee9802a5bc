//! The sections of an operator's file: the WHIP front, the registry, watched files and the quorum.

use std::path::Path;

use super::{Config, Read, Whip, wrong};
use crate::api::Micros;
use crate::eureka;
use crate::quorum;
use crate::records::{
    EurekaRecord, HookRecord, OperatorFile, QuorumRecord, TitleRecord, VoterRecord, WatchRecord, WhipRecord,
};
use crate::roster::{SettingNames, ShrinkLimit};
use crate::watch;
use crate::watch::judge::{Role, WatchedFile};
use crate::whip::{self, Title};

/// Operations that one call of a script may do.
pub(super) const OPERATIONS: u64 = 100_000;

/// A title as the WHIP front takes it.
pub fn title(record: &TitleRecord, names: &SettingNames) -> Option<(String, Title)> {
    let tenant = match &record.tenant {
        Some(tenant) => names.defined_tenant(tenant)?,
        None => 0,
    };
    let class = names.defined_class(&record.class)?;
    Some((record.name.clone(), Title { home: record.home, copies: record.copies, class, tenant }))
}

fn ms(told: Option<u64>, or: u64) -> Micros {
    Micros(told.unwrap_or(or).saturating_mul(1000))
}

/// Returns the WHIP front.
pub(super) fn whip(record: &WhipRecord, file: &OperatorFile, names: &SettingNames) -> Whip {
    let setup = whip::WhipConfig {
        titles: file.title.iter().filter_map(|title| self::title(title, names)).collect(),
        origin: record.origin.clone().unwrap_or_else(|| "*".to_owned()),
        reclaim: ms(record.reclaim_ms, 10_000),
        spent: ms(record.spent_ms, 24 * 3_600_000),
        most_bookings: record.most_bookings.unwrap_or(100_000) as usize,
        ice: record.ice_server.iter().map(|server| server.link()).collect(),
    };
    Whip { listen: record.listen.0, setup }
}

/// Returns how the broker takes part in a registry.
pub(super) fn read_eureka(record: &EurekaRecord, config: &Config) -> Read<eureka::EurekaConfig> {
    let form = "not of the form http://IP:PORT/PATH";
    let Some(rest) = record.url.strip_prefix("http://") else { return wrong("eureka.url", form) };
    let (address, path) = rest.split_once('/').unwrap_or((rest, ""));
    let address = address.parse().or_else(|_| wrong("eureka.url", form))?;
    let path = path.trim_end_matches('/');
    let path = if path.is_empty() { String::new() } else { format!("/{path}") };
    let plain = |field: &str, text: &str| -> Read<String> {
        let good = |b: u8| b.is_ascii_alphanumeric() || b"-._:~".contains(&b);
        let good = !text.is_empty() && text.bytes().all(good);
        if good { Ok(text.to_owned()) } else { wrong(field, "letters, digits and -._:~ only") }
    };
    let register = match &record.register {
        None => None,
        Some(app) => {
            let whip = config.whip.as_ref().map(|w| w.listen);
            let Some(address) = record.advertise.map(|a| a.0).or(config.listen).or(whip) else {
                return wrong("eureka.advertise", "required");
            };
            let id = plain("eureka.register", &format!("{}:{}", config.name, address.port()))?;
            Some(eureka::Registration { app: plain("eureka.register", app)?, id, address })
        }
    };
    let period = |told: Option<u64>, or: u64| ms(Some(told.unwrap_or(or).max(100)), or);
    let (fetch, beat) = (period(record.fetch_ms, 5_000), period(record.heartbeat_ms, 30_000));
    Ok(eureka::EurekaConfig { address, path, servers: record.servers.clone(), register, fetch, beat })
}

/// What is watched; paths start from the folder of the operator's file.
pub(super) fn watched(
    record: &WatchRecord,
    hook: Option<&HookRecord>,
    base: &Path,
) -> Read<watch::WatchConfig> {
    let file = |role: Role, name: &String| WatchedFile { role, name: name.clone(), path: base.join(name) };
    let lists: Vec<WatchedFile> =
        [(Role::Servers, &record.servers), (Role::Weights, &record.weights), (Role::Titles, &record.titles)]
            .into_iter()
            .filter_map(|(role, name)| name.as_ref().map(|name| file(role, name)))
            .collect();
    for (i, one) in lists.iter().enumerate() {
        if let Some(other) = lists[..i].iter().find(|other| other.path == one.path) {
            let field = format!("watch.{}", one.role.name());
            return wrong(&field, format!("{} is watch.{} too", one.name, other.role.name()));
        }
    }
    if record.unsealed && lists.len() > 1 {
        let reason = "only where one list is watched: without seals nothing ties several files together";
        return wrong("watch.unsealed", reason);
    }
    let script = hook.map(|h| (file(Role::Script, &h.script), h.operations.unwrap_or(OPERATIONS)));
    Ok(watch::WatchConfig {
        lists,
        script,
        base: base.to_owned(),
        unsealed: record.unsealed,
        notify: record.notify.unwrap_or(true),
        poll: ms(record.poll_ms, 2_000),
        most: record.most_kb.unwrap_or(16 * 1024) * 1024,
        plausible: ShrinkLimit {
            max_dropped_fraction: record.most_dropped.unwrap_or(0.5),
            hold: ms(record.hold_ms, 60_000),
        },
        state: record.state.as_ref().map(|dir| base.join(dir)),
    })
}

/// How long a process may go by its rules by its own clock, so that no clock within `drift` of the true one makes
/// that longer than this span, nor the leader's count of it, which is longer by the same part.
fn fresh(skew: Micros, drift: f64) -> Micros {
    Micros((skew.0 as f64 / (1.0 + drift).powi(2)).floor() as u64)
}

/// What the file says of the quorum; paths start from its folder.
pub(super) fn read_quorum(record: &QuorumRecord, name: &str, base: &Path) -> quorum::QuorumConfig {
    let lease = record.lease_ms.unwrap_or(2_000);
    let name = quorum::Name(name.to_owned());
    let voter = |v: &VoterRecord| quorum::Voter { name: quorum::Name(v.name.clone()), address: v.address.0 };
    let of = |spare| record.voter.iter().filter(move |v| v.spare == spare);
    let voters: Vec<quorum::Voter> = of(false).map(voter).collect();
    let spares: Vec<quorum::Voter> = of(true).map(voter).collect();
    let own = voters.iter().chain(&spares).find(|v| v.name == name).map(|v| v.address);
    quorum::QuorumConfig {
        cluster: record.cluster.clone(),
        listen: own.map(|own| record.listen.map_or(own, |a| a.0)),
        folder: record.folder.as_ref().map(|dir| base.join(dir)),
        lease: ms(Some(lease), lease),
        beat: ms(record.beat_ms, (lease / 5).max(20)),
        election: ms(record.election_ms, 150),
        drift: record.drift.unwrap_or(0.01),
        stuck: ms(record.stuck_ms, lease * 10),
        gone: ms(record.gone_ms, lease * 3),
        fresh: fresh(ms(None, record.skew()), record.drift.unwrap_or(0.01)),
        fronts: record.fronts.then(|| ms(record.settle_ms, 10_000)),
        duties: record.duty.iter().map(|d| (quorum::Duty(d.name.clone()), d.weight.unwrap_or(1))).collect(),
        record: record.record.as_ref().map(|dir| base.join(dir)),
        name,
        voters,
        spares,
    }
}
