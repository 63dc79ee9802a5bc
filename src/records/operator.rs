//! The operator's file.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::lists::{Wrong, reported, servers_agree, titles_agree};
use crate::quorum;

use super::{Address, Bounds, Findings, ServerRecord, SettingsRecord, Source, TitleRecord};

/// Fewest descriptors that the program can do with.
pub(crate) const FEWEST_SOCKETS: u64 = 32;
/// Least memory that it can do with, in MiB.
pub(crate) const LEAST_MEMORY_MB: f64 = 16.0;

/// The operator's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(context(Bounds))]
pub struct OperatorFile {
    /// The broker's name.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Seed of random numbers, up to 16 hex digits; left out: a new one at each start.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<String>,
    /// What the program may hold.
    #[garde(dive(&()))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsRecord>,
    /// The platform's own front; left out: it is off.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<PlatformRecord>,
    /// The second address, where staff call for figures and drains; left out: it is off.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub console: Option<Address>,
    /// The WHIP and WHEP front; left out: it is off.
    #[garde(dive(&()))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub whip: Option<WhipRecord>,
    /// The titles of the WHIP front.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub title: Vec<TitleRecord>,
    /// A fixed list of edge servers.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub server: Vec<ServerRecord>,
    /// A notice board that tells the list of servers.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub board: Option<Address>,
    /// A registry that tells the list of servers.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub eureka: Option<EurekaRecord>,
    /// Lists in files of their own, which are watched.
    #[garde(dive(&()))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watch: Option<WatchRecord>,
    /// A script that is asked about each request.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hook: Option<HookRecord>,
    /// Processes that agree on who holds which duty; left out: this one stands alone.
    #[garde(dive(&()))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quorum: Option<QuorumRecord>,
    /// What the module is told, in the words of the simulator's wire.
    #[garde(skip)]
    pub settings: SettingsRecord,
}

/// `[limits]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct LimitsRecord {
    /// File descriptors; 1,024 if left out.
    #[garde(inner(custom(|sockets: &u64, _: &()| {
        if *sockets >= FEWEST_SOCKETS { return Ok(()) }
        Err(garde::Error::new(format!("fewer than {FEWEST_SOCKETS}")))
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sockets: Option<u64>,
    /// Memory in MiB; 192 if left out.
    #[garde(inner(custom(|mb: &f64, _: &()| {
        if mb.is_finite() && *mb >= LEAST_MEMORY_MB { return Ok(()) }
        Err(garde::Error::new(format!("not a number of {LEAST_MEMORY_MB} or more")))
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
}

/// `[platform]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformRecord {
    /// Where viewers connect.
    pub listen: Address,
}

/// `[whip]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct WhipRecord {
    /// Where clients connect.
    #[garde(skip)]
    pub listen: Address,
    /// Pages of this origin may ask; left out: all.
    #[garde(inner(custom(|origin: &str, _: &()| {
        let bad = origin.is_empty() || origin.bytes().any(|b| b.is_ascii_control());
        if bad { Err(garde::Error::new("not an origin")) } else { Ok(()) }
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<String>,
    /// Milliseconds for which a paid session whose client was cut off waits to be claimed; 10,000 if left out.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reclaim_ms: Option<u64>,
    /// Milliseconds for which a booking that is spent is remembered; a day if left out.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spent_ms: Option<u64>,
    /// Bookings remembered at most; 100,000 if left out.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most_bookings: Option<u64>,
    /// ICE servers that every client is told of.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ice_server: Vec<IceRecord>,
}

/// An ICE server (RFC 9725, 4.6).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct IceRecord {
    /// Its URL: `stun:`, `stuns:`, `turn:` or `turns:`.
    #[garde(custom(|url: &String, _: &()| {
        let scheme = ["stun:", "stuns:", "turn:", "turns:"].iter().any(|s| url.starts_with(s));
        let plain = url.bytes().all(|b| b.is_ascii_graphic() && !b"<>\"".contains(&b));
        if scheme && plain { Ok(()) } else { Err(garde::Error::new("no URL of a STUN or TURN server")) }
    }))]
    pub url: String,
    /// The user's name, for TURN.
    #[garde(inner(custom(quotable)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub username: Option<String>,
    /// The password, for TURN.
    #[garde(inner(custom(quotable)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub credential: Option<String>,
}

fn quotable(text: &str, _: &()) -> garde::Result {
    let good = text.bytes().all(|b| (b.is_ascii_graphic() || b == b' ') && b != b'"' && b != b'\\');
    if good { Ok(()) } else { Err(garde::Error::new("holds what can't stand in a header")) }
}

impl IceRecord {
    /// As the value of a `Link` header.
    pub fn link(&self) -> String {
        let mut link = format!("<{}>; rel=\"ice-server\"", self.url);
        for (name, value) in [("username", &self.username), ("credential", &self.credential)] {
            if let Some(value) = value {
                link += &format!("; {name}=\"{value}\"");
            }
        }
        if self.credential.is_some() {
            link += "; credential-type=\"password\"";
        }
        link
    }
}

/// `[eureka]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EurekaRecord {
    /// Where the registry is: `http://IP:PORT/PATH`.
    pub url: String,
    /// The application of the edge servers.
    pub servers: String,
    /// The application that this broker registers as; left out: it doesn't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub register: Option<String>,
    /// Where its clients connect; left out: where its first front listens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<Address>,
    /// Milliseconds between fetches; 5,000 if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fetch_ms: Option<u64>,
    /// Milliseconds between heartbeats; 30,000 if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heartbeat_ms: Option<u64>,
}

/// `[hook]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HookRecord {
    /// The script's file, from the folder of the operator's file.
    pub script: String,
    /// Operations that one call may do; 100,000 if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operations: Option<u64>,
}

fn span(ms: u64, least: u64, most: u64) -> garde::Result {
    if (least..=most).contains(&ms) {
        return Ok(());
    }
    Err(garde::Error::new(format!("{ms} is not between {least} and {most} milliseconds")))
}

/// `[watch]`. Paths start from the folder of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct WatchRecord {
    /// The list of servers.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<String>,
    /// Weights that go before those in the list of servers.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<String>,
    /// The titles of the WHIP front, in place of those in the operator's file.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub titles: Option<String>,
    /// A folder that keeps the last good lists over restarts; left out: nothing is kept.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Files without a seal are taken too, if a rename brought them while the broker ran.
    #[garde(skip)]
    #[serde(default)]
    pub unsealed: bool,
    /// Whether the system is asked to tell of changes; `false`: the files are only looked at.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub notify: Option<bool>,
    /// Milliseconds between looks at the files; 2,000 if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 50, 3_600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub poll_ms: Option<u64>,
    /// A list that drops more than this part of the servers at once is held back; 0.5 if left out.
    #[garde(inner(custom(|part: &f64, _: &()| {
        if (0.0..=1.0).contains(part) { return Ok(()) }
        Err(garde::Error::new(format!("{part} is not between 0 and 1")))
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most_dropped: Option<f64>,
    /// Milliseconds for which such a list must stand unchanged before it is taken; 60,000 if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 0, 86_400_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<u64>,
    /// Longest file that is read, in KiB; 16,384 if left out.
    #[garde(inner(custom(|kb: &u64, _: &()| {
        if (1..=1_048_576).contains(kb) { return Ok(()) }
        Err(garde::Error::new(format!("{kb} is not between 1 and 1048576 KiB")))
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most_kb: Option<u64>,
}

/// `[quorum]`. Paths start from the folder of the operator's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct QuorumRecord {
    /// The cluster's name; processes of others are turned away.
    #[garde(custom(word))]
    pub cluster: String,
    /// Where a voter listens; left out: at its address among the voters.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub listen: Option<Address>,
    /// The folder in which a voter keeps its vote and its log; nothing else may be in it.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub folder: Option<String>,
    /// The voters, the same in all files and in the same order: 3, 5 or 7; and spares, which may replace them.
    #[garde(dive, custom(|voters: &Vec<VoterRecord>, _: &()| {
        let found = voters.iter().filter(|voter| !voter.spare).count();
        if matches!(found, 3 | 5 | 7) { return Ok(()) }
        Err(garde::Error::new(format!("{found} voters, but 3, 5 or 7 are needed")))
    }))]
    #[serde(default)]
    pub voter: Vec<VoterRecord>,
    /// Milliseconds that a lease lasts; 2,000 if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 200, 600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
    /// Milliseconds between a member's beats, each of which renews its leases; a fifth of a lease if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 20, 60_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub beat_ms: Option<u64>,
    /// Milliseconds between a voter's looks at the leader; 150 if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 20, 60_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub election_ms: Option<u64>,
    /// The part by which clocks may run too fast or too slow; 0.01 if left out.
    #[garde(inner(custom(|part: &f64, _: &()| {
        if (0.0..=0.5).contains(part) { return Ok(()) }
        Err(garde::Error::new(format!("{part} is not between 0 and 0.5")))
    })))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drift: Option<f64>,
    /// Milliseconds without progress after which a holder loses its duty; ten leases if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 200, 3_600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stuck_ms: Option<u64>,
    /// Milliseconds of silence after which a member is no longer counted; three leases if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 200, 3_600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone_ms: Option<u64>,
    /// Milliseconds for which two processes may act on versions of the rules that contradict each other; if left out
    /// 2,000, or what the beats need. See `docs/rules.md`.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 100, 3_600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub skew_ms: Option<u64>,
    /// The module is told as many fronts as there are members, and its place among them, in place of `Instances` and
    /// `SlotNo` of the settings.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub fronts: bool,
    /// Milliseconds for which a front that went counts still; 10,000 if left out.
    #[garde(inner(custom(|ms: &u64, _: &()| span(*ms, 0, 3_600_000))))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub settle_ms: Option<u64>,
    /// Duties that this process takes.
    #[garde(dive)]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub duty: Vec<DutyRecord>,
    /// The folder that the fleet's record is written to; all that take the duty `record` must reach the same.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<String>,
}

/// `[[quorum.voter]]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct VoterRecord {
    /// The name of its process.
    #[garde(custom(word))]
    pub name: String,
    /// Where the others reach it.
    #[garde(skip)]
    pub address: Address,
    /// It does not vote at first, but may replace a voter.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spare: bool,
}

/// `[[quorum.duty]]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct DutyRecord {
    /// Which.
    #[garde(custom(|name: &String, _: &()| {
        if quorum::DUTIES.contains(&name.as_str()) { return Ok(()) }
        Err(garde::Error::new(format!("no such duty; known: {}", quorum::DUTIES.join(", "))))
    }))]
    pub name: String,
    /// How much of it this process takes, beside others; 1 if left out.
    #[garde(inner(range(min = 1, max = 1000)))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
}

fn word(text: &str, _: &()) -> garde::Result {
    let good = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
    if (1..=64).contains(&text.len()) && text.bytes().all(good) {
        return Ok(());
    }
    Err(garde::Error::new("not 1 to 64 letters, digits and -._"))
}

impl QuorumRecord {
    /// The shortest time for which rules can be renewed: an answer must come before the freshness of the one before is
    /// over, also when one is lost.
    fn least_skew_ms(&self) -> u64 {
        let beat = self.beat_ms.unwrap_or((self.lease_ms.unwrap_or(2_000) / 5).max(20));
        ((beat * 3) as f64 * (1.0 + self.drift.unwrap_or(0.01)).powi(2)).ceil() as u64
    }

    /// How long two processes may act on rules that contradict each other.
    pub fn skew(&self) -> u64 {
        self.skew_ms.unwrap_or(self.least_skew_ms().max(2_000))
    }

    /// What no field shows alone.
    fn agree(&self, name: Option<&str>, wrong: &mut Vec<Wrong>) {
        let mut push = |field: String, why: &str| wrong.push((field, why.to_owned()));
        for (i, voter) in self.voter.iter().enumerate() {
            let before = &self.voter[..i];
            if before.iter().any(|other| other.name == voter.name) {
                push(format!("quorum.voter[{i}].name"), "a voter of this name is there already");
            }
            if before.iter().any(|other| other.address == voter.address) {
                push(format!("quorum.voter[{i}].address"), "another voter has this address");
            }
        }
        let Some(name) = name else {
            return push("name".into(), "required where there is a [quorum]");
        };
        if word(name, &()).is_err() {
            push("name".into(), "not 1 to 64 letters, digits and -._, as [quorum] needs");
        }
        let votes = self.voter.iter().any(|voter| voter.name == name);
        match (votes, &self.folder, &self.listen) {
            (true, None, _) => {
                push("quorum.folder".into(), "required for a voter or spare: its vote must survive it")
            }
            (false, Some(_), _) => {
                push("quorum.folder".into(), "only for voters and spares, and this process is none")
            }
            (false, _, Some(_)) => {
                push("quorum.listen".into(), "only for voters and spares, and this process is none")
            }
            _ => {}
        }
        if self.settle_ms.is_some() && !self.fronts {
            push("quorum.settle_ms".into(), "needs fronts = true");
        }
        let lease = self.lease_ms.unwrap_or(2_000);
        let least = self.least_skew_ms();
        if self.skew_ms.is_some_and(|skew| skew < least) {
            let why = format!("shorter than rules can be renewed: {least} would do, or a shorter beat_ms");
            push("quorum.skew_ms".into(), &why);
        }
        if self.beat_ms.is_some_and(|beat| beat * 2 > lease) {
            push("quorum.beat_ms".into(), "more than half a lease: one lost beat would lose the lease");
        }
        if self.drift.is_some_and(|drift| lease as f64 * (1.0 - drift) < 100.0) {
            push("quorum.drift".into(), "leaves the holder less than 100 ms of a lease");
        }
        let records = self.duty.iter().position(|duty| duty.name == quorum::RECORD);
        match (records, &self.record) {
            (Some(_), None) => push("quorum.record".into(), "required by the duty record"),
            (None, Some(_)) => push("quorum.record".into(), "needs the duty record"),
            _ => {}
        }
        for (i, duty) in self.duty.iter().enumerate() {
            if self.duty[..i].iter().any(|other| other.name == duty.name) {
                push(format!("quorum.duty[{i}].name"), "this duty is there already");
            }
        }
    }
}

impl OperatorFile {
    /// Checks the values against what the settings allow.
    pub fn check(&self, source: &Source<'_>, bounds: &Bounds) -> Result<(), Findings> {
        let mut wrong: Vec<Wrong> = self.validate_with(bounds).map_or_else(reported, |()| Vec::new());
        servers_agree(&self.server, &mut wrong);
        titles_agree(&self.title, &mut wrong);
        if self.platform.is_none() && self.whip.is_none() {
            wrong.push(("platform.listen".into(), "required where there is no [whip]".into()));
        }
        let watch = self.watch.as_ref();
        if self.whip.is_some() && self.title.is_empty() && watch.is_none_or(|w| w.titles.is_none()) {
            wrong.push(("title".into(), "none, but the WHIP front needs one".into()));
        }
        if let Some(watch) = watch {
            if watch.weights.is_some() && watch.servers.is_none() {
                wrong.push(("watch.weights".into(), "needs watch.servers: weights go with a list".into()));
            }
            if watch.titles.is_some() && self.whip.is_none() {
                wrong.push(("watch.titles".into(), "needs [whip]: no other front has titles".into()));
            }
            if watch.servers.is_none() && watch.titles.is_none() && self.hook.is_none() {
                wrong.push(("watch.servers".into(), "required where nothing else is watched".into()));
            }
            if watch.unsealed && watch.notify == Some(false) {
                let reason = "needs watch.notify: a look at a file can't tell whether a rename brought it";
                wrong.push(("watch.unsealed".into(), reason.into()));
            }
        }
        if let Some(quorum) = &self.quorum {
            quorum.agree(self.name.as_deref(), &mut wrong);
        }
        if wrong.is_empty() { Ok(()) } else { Err(Findings(source.findings(wrong))) }
    }
}
