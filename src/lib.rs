//! A playback broker: it sets up viewers' sessions at streaming servers.
//!
//! [`brain`] makes every decision: it takes [`api::Event`]s and returns [`api::Action`]s. [`broker`], the core,
//! enforces the rules around it and is independent of protocols. The front ends [`platform`] and [`whip`] speak the
//! protocols, and [`node`] joins them with the core. Only [`net`] opens sockets. [`wire`] translates the simulator's
//! line protocol.
//!
//! ```
//! use amberspindle::api::{Action, Event, ListKind, Micros, Request, ServerEntry, ServerState, Settings};
//! use amberspindle::brain::Brain;
//! # use amberspindle::api::{Class, Idempotency, ServerId, SessionId, Text};
//! let mut settings = Settings::new(vec![200.0, 400.0, 800.0], vec![0.3, 0.6, 1.0]);
//! settings.cells = 3;
//! settings.racks = 1;
//! settings.link_unit_kb = 4000.0;
//! settings.rack_kb = 12000.0;
//! settings.classes.push(Class::new(Micros::from_ms(800.0), Micros::from_ms(3000.0), Idempotency::Safe));
//! let mut brain = Brain::new(settings, 7);
//!
//! let mut actions = Vec::new();
//! let now = Micros(1_000_000);
//! let list = vec![ServerEntry::new(ServerId::new("10.0.0.1:80"), ServerState::Ready, 0)];
//! brain.handle(now, Event::ServerList { kind: ListKind::Complete, servers: list }, &mut actions);
//! let request = Request::new(SessionId(1), Text::from("title"), now + Micros::from_ms(3000.0), 3, 2);
//! brain.handle(now, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod board;
pub mod broker;
pub mod cli;
pub mod config;
pub mod disk;
pub mod edge;
pub mod eureka;
pub mod faults;
pub mod hook;
pub mod http;
pub mod log;
pub mod memory;
pub mod message;
pub mod module;
pub mod mutant;
pub mod net;
pub mod node;
pub mod operate;
pub mod peers;
pub mod platform;
pub mod quorum;
pub mod records;
pub mod roster;
pub mod rules;
pub mod trace;
pub mod watch;
pub mod whip;
pub mod wire;

pub use module::{api, brain};
