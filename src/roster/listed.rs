//! What a list of servers is made of, whatever source tells it.

use std::net::SocketAddr;

use crate::api::{ListKind, ServerEntry, Text};

/// Names that the settings give to what the core counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Classes, in the order of [`crate::api::Settings::classes`].
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of servers.
    pub kinds: Vec<String>,
}

impl Names {
    /// The index of a name, if it is one.
    pub fn index(list: &[String], name: &str) -> Option<usize> {
        list.iter().position(|n| n == name)
    }
}

/// A line of the list with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// What the module is told.
    pub entry: ServerEntry,
    /// Where it listens.
    pub address: SocketAddr,
    /// The path of set-ups, if it speaks WHIP or WHEP; none: it speaks the platform's messages.
    pub path: Option<Text>,
}

impl Listed {
    /// A server that speaks the platform's messages.
    pub fn new(entry: ServerEntry, address: SocketAddr) -> Listed {
        Listed { entry, address, path: None }
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// All of it, or what has changed.
    pub kind: ListKind,
    /// The lines.
    pub servers: Vec<Listed>,
}
