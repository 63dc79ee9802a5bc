//! The entries of the server list, common to all its sources.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::api::{ListKind, ServerEntry, Text};

/// The configured names of classes, tenants, zones and server kinds, which the broker refers to by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingNames {
    /// The names of the classes, in the order of [`crate::api::Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the server kinds.
    pub kinds: Vec<String>,
    /// Indices of removed classes that are kept only for requests in progress.
    pub retired_classes: BTreeSet<usize>,
    /// Indices of removed tenants that are kept only for requests in progress.
    pub retired_tenants: BTreeSet<usize>,
    /// Whether classes were removed or changed a moment ago; requests that name a removed one may still arrive.
    pub recently_changed: bool,
}

impl SettingNames {
    /// Returns the index of a name in a list.
    pub fn index(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }

    /// Returns the index of the class for requests that name it.
    pub fn class(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.classes, &self.retired_classes, self.recently_changed, name)
    }

    /// Returns the index of the tenant for requests that name it.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.tenants, &self.retired_tenants, self.recently_changed, name)
    }

    /// Returns the index of the class that the settings in force define under a name.
    pub fn defined_class(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.classes, &self.retired_classes, false, name)
    }

    /// Returns the index of the tenant that the settings in force define under a name.
    pub fn defined_tenant(&self, name: &str) -> Option<usize> {
        SettingNames::current(&self.tenants, &self.retired_tenants, false, name)
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

/// A server of the list with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The part of the entry that the decision module uses.
    pub entry: ServerEntry,
    /// The address at which the server listens.
    pub address: SocketAddr,
    /// The paths of a WHIP or WHEP server; `None` for a server that speaks the platform protocol.
    pub paths: Option<Paths>,
}

/// The path templates of a WHIP or WHEP server, with the placeholders `{title}`, `{rung}`, `{class}` and `{session}`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Paths {
    /// The path to which set-ups are posted.
    pub set_up: Text,
    /// The path at which a session can be ended whose answer was lost, if the server identifies sessions by the broker's
    /// ids.
    pub end: Option<Text>,
    /// The path of the server-sent events with which the server reports its load and the sessions that it ended.
    pub events: Option<Text>,
}

impl ListedServer {
    /// Creates an entry for a server that speaks the platform protocol.
    pub fn new(entry: ServerEntry, address: SocketAddr) -> ListedServer {
        ListedServer { entry, address, paths: None }
    }
}

/// An update of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Whether this is the complete list or a set of changes.
    pub kind: ListKind,
    /// The servers.
    pub servers: Vec<ListedServer>,
}
