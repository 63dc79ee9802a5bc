//! What a list of servers is made of, whatever source tells it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::api::{ListKind, ServerEntry, Text};

/// Names that the settings give to what the core counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingNames {
    /// Classes, in the order of [`crate::api::Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
    /// Numbers of classes that are kept for requests under way alone.
    pub retired_classes: BTreeSet<usize>,
    /// The same of tenants.
    pub retired_tenants: BTreeSet<usize>,
    /// Classes went or changed just now: requests that name one that went may still be on their way.
    pub recently_changed: bool,
}

impl SettingNames {
    /// The index of a name, if it is one.
    pub fn index(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }

    /// The class that requests of this name get.
    pub fn class(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.classes, &self.retired_classes, self.recently_changed, name)
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.tenants, &self.retired_tenants, self.recently_changed, name)
    }

    fn current(
        list: &[String],
        retired: &BTreeSet<usize>,
        recently_changed: bool,
        name: &str,
    ) -> Option<usize> {
        let named = || list.iter().enumerate().filter(|(_, n)| *n == name).map(|(i, _)| i);
        let retired = |i: &usize| retired.contains(i);
        named().find(|i| !retired(i)).or_else(|| named().next().filter(|_| recently_changed))
    }
}

/// A line of the list with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// What the module is told.
    pub entry: ServerEntry,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its paths, if it speaks WHIP or WHEP; none: it speaks the platform's messages.
    pub paths: Option<Paths>,
}

/// Paths of a server that speaks WHIP or WHEP, with `{title}`, `{rung}`, `{class}` and `{session}` in them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Paths {
    /// Where set-ups are posted.
    pub set_up: Text,
    /// Where a session can be ended whose answer was lost, if the server knows sessions by the broker's names.
    pub end: Option<Text>,
    /// Where the server tells of its load and of sessions that it ended, as server-sent events.
    pub events: Option<Text>,
}

impl ListedServer {
    /// A server that speaks the platform's messages.
    pub fn new(entry: ServerEntry, address: SocketAddr) -> ListedServer {
        ListedServer { entry, address, paths: None }
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// All of it, or what has changed.
    pub kind: ListKind,
    /// The lines.
    pub servers: Vec<ListedServer>,
}
