//! The thread of a soak that runs its servers, its notice board and its clients.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use fastrand::Rng;
use futures_lite::future;

use super::book::SharedBook;
use super::client::{Client, Crowd};
use super::plan::{Plan, ServerFault};
use super::server::Server;
use crate::herd::board::Board;
use crate::herd::crowd::watch_stalls;

/// Past the end of the load answers are waited for so long.
const PATIENCE: Duration = Duration::from_secs(15);

/// What the thread is told.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// A server behaves in a way, or well.
    Server(usize, Option<ServerFault>),
    /// Clients ask so many times as often.
    Crowd(u32),
    /// No further request is wanted.
    End,
}

/// What runs there.
pub struct Rig {
    /// The plan.
    pub plan: Plan,
    /// Sockets of the servers.
    pub servers: Vec<TcpListener>,
    /// The notice board and its socket.
    pub board: (Board, TcpListener),
    /// Where brokers listen, and whether the front sends clients there.
    pub fronts: Vec<(SocketAddr, Arc<AtomicBool>)>,
    /// What is seen.
    pub book: SharedBook,
}

impl Rig {
    /// Runs until the end is told and each client has its answers.
    pub fn run(self, orders: &Receiver<Order>) {
        let executor = Rc::new(LocalExecutor::new());
        let mut rng = Rng::with_seed(self.plan.seed ^ 0xC11E);
        self.board.0.start(&executor, self.board.1);
        let mut servers = Vec::new();
        for (number, listener) in self.servers.into_iter().enumerate() {
            let (fault, book, executor) = (Cell::default(), self.book.clone(), executor.clone());
            let released = RefCell::default();
            let server = Rc::new(Server { number, fault, released, book, executor });
            if let Err(error) = server.start(listener, rng.u64(..)) {
                eprintln!("server {number}: {error}");
            }
            servers.push(server);
        }
        let crowd = Rc::new(Crowd {
            cells: self.plan.servers,
            fronts: self.fronts,
            pause: self.plan.pause,
            times: Cell::new(1),
            gives_up_percent: self.plan.gives_up_percent,
            book: self.book.clone(),
            ending: Cell::new(false),
            deployment: self.plan.deployment.clone(),
        });
        let book = self.book;
        let note = move |due, fired| book.lock().stalls.push((due, fired));
        executor.spawn(watch_stalls(note)).detach();
        let brokers = crowd.fronts.len();
        let clients: Vec<_> = (0..self.plan.clients)
            .map(|n| executor.spawn(Client::new(crowd.clone(), n % brokers, rng.fork()).live()))
            .collect();
        let obey = async {
            while let Ok(order) = orders.recv().await {
                match order {
                    Order::Server(number, fault) => servers[number].fault.set(fault),
                    Order::Crowd(times) => crowd.times.set(times),
                    Order::End => break,
                }
            }
            crowd.ending.set(true);
            let late = async {
                Timer::after(PATIENCE).await;
            };
            let all = async {
                for client in clients {
                    client.await;
                }
            };
            future::or(all, late).await;
        };
        async_io::block_on(executor.run(obey));
    }
}
