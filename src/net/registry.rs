//! Calls to the Eureka registry, each on its own connection.

use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use tracing::warn;

use super::outbox::Notify;
use super::reading::{error_code, with_timeout};
use super::{Handle, files, to_duration};
use crate::eureka::{self, Call, Eureka};
use crate::http::client;
use crate::roster::Source;

/// The time after which a call to the registry counts as failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends one call to the registry on a new connection, and passes the reply on.
async fn send_call(shared: &Handle, registry: &mut Eureka, call: Call) {
    let address = registry.address();
    let work = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.write_all(&registry.request(call)).await?;
        let (mut reader, mut body, mut buffer) = (client::Reader::default(), Vec::new(), vec![0; 16 * 1024]);
        loop {
            let n = stream.read(&mut buffer).await?;
            let fed = reader.feed(&buffer[..n], &mut body);
            fed.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            match reader.status() {
                Some(status) if reader.is_complete(n == 0) => return Ok((status, body)),
                _ if n == 0 || body.len() > eureka::LONGEST => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                _ => {}
            }
        }
    };
    let reply = with_timeout(CALL_TIMEOUT, work).await;
    if let Err(error) = &reply {
        warn!(event = "end", peer = %format_args!("eureka:{address}"), reason = error_code(error), call = ?call);
    }
    let reply = reply.as_ref().ok().map(|(status, body)| (*status, body.as_slice()));
    if let Some(update) = registry.replied(shared.now(), call, reply) {
        files::offer(shared, Source::Registry, update);
    }
}

/// Registers with the registry and fetches its server list until told to stop, then deregisters.
pub(super) async fn run_registry(shared: Handle, mut registry: Eureka, stop: Rc<Notify>) {
    loop {
        match registry.next(shared.now()) {
            Ok(due) => send_call(&shared, &mut registry, due).await,
            Err(at) => {
                let wait = async {
                    Timer::after(to_duration(at - shared.now())).await;
                    false
                };
                let stopped = async {
                    stop.notified().await;
                    true
                };
                if future::or(stopped, wait).await {
                    break;
                }
            }
        }
    }
    if registry.registered() {
        send_call(&shared, &mut registry, Call::Deregister).await;
    }
}
