//! The stand-in servers of a run and its notice board, on a thread of their own.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use fastrand::Rng;

use super::address;
use super::board::Board;
use super::deployment::Deployment;
use super::ledger::Ledger;
use super::servers::{BAD_IN, Manner, Server};

/// What runs on the servers' thread.
pub(super) struct StandIns {
    /// The servers with their sockets.
    pub(super) servers: Vec<(Server, TcpListener)>,
    /// The notice board.
    pub(super) board: Board,
    /// Its socket.
    pub(super) board_socket: TcpListener,
    /// What servers see.
    pub(super) ledger: Ledger,
    /// Seed of the servers' choices.
    pub(super) seed: u64,
}

impl StandIns {
    /// Runs them until the end is told.
    pub(super) fn run(self, ended: &Receiver<()>) {
        let executor = Rc::new(LocalExecutor::new());
        let mut rng = Rng::with_seed(self.seed);
        self.board.start(&executor, self.board_socket);
        for (server, listener) in self.servers {
            let name = server.name.clone();
            if let Err(error) = server.start(&executor, listener, &self.ledger, rng.u64(..)) {
                eprintln!("{name}: {error}");
            }
        }
        // An error tells of the end, too.
        let _ = async_io::block_on(executor.run(ended.recv()));
    }
}

/// So many servers and one more, which is not on the first list; one in eight is bad, each in another way.
pub(super) fn draw_servers(
    count: usize,
    deployment: &Deployment,
    rng: &mut Rng,
) -> io::Result<(Vec<Server>, Vec<TcpListener>)> {
    let first = rng.usize(..Manner::BAD.len());
    let mut servers = Vec::new();
    let mut listeners = Vec::new();
    for number in 0..=count {
        let listener = address::listen()?;
        let bad = number < count && number % BAD_IN == BAD_IN / 2;
        let manner =
            if bad { Manner::BAD[(first + number / BAD_IN) % Manner::BAD.len()] } else { Manner::Good };
        servers.push(Server {
            name: format!("s-{number:04}"),
            address: listener.local_addr()?,
            manner,
            idle: Duration::from_secs(deployment.idle_s.into()),
        });
        listeners.push(listener);
    }
    Ok((servers, listeners))
}

/// The servers in a few words.
pub(super) fn described(servers: &[Server]) -> String {
    let bad = servers.iter().filter(|server| server.manner != Manner::Good);
    let bad: Vec<String> = bad.map(|server| format!("{:?}", server.manner).to_lowercase()).collect();
    format!("{} servers, bad: {}", servers.len(), bad.join(", "))
}
