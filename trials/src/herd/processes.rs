//! The brokers of a herd: started as the platform starts them, killed, and started again under their names and
//! addresses.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use rustix::process::Signal;
use serde_json::Value;

use super::deployment::Deployment;
use super::ledger::Ledger;
use super::settings::{Place, configuration};
use crate::history::History;
use crate::process::Process;

/// How the program is run.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program; none: this executable, whose brokers can have mutants.
    pub path: Option<PathBuf>,
    /// A wrong way that the brokers go.
    pub mutant: Option<String>,
    /// Lines a second that tell of requests in the log; 0: none.
    pub trace: u32,
}

impl Program {
    /// The command that starts it, but for its file; `own` is this executable.
    pub fn command(&self, own: &Path) -> Command {
        let mut command = match &self.path {
            Some(path) => Command::new(path),
            None => {
                let mut command = Command::new(own);
                command.arg("broker");
                command
            }
        };
        command.arg("serve").env_remove("AMBERSPINDLE_MUTANT");
        for name in ["LB_LISTEN", "LB_NAME", "LB_CONSOLE", "LB_SOCKET_FD"] {
            command.env_remove(name);
        }
        if self.trace > 0 {
            command.arg("--trace").arg(self.trace.to_string());
        }
        if let Some(mutant) = &self.mutant {
            command.env("AMBERSPINDLE_MUTANT", mutant);
        }
        command
    }
}

/// What all brokers of a herd have in common.
pub struct Herd {
    /// How the program is run.
    pub program: Program,
    /// This executable.
    pub own: PathBuf,
    /// The deployment.
    pub deployment: Deployment,
    /// Where each broker listens.
    pub addresses: Vec<SocketAddr>,
    /// Where the notice board listens.
    pub board: SocketAddr,
    /// Cells of servers.
    pub cells: usize,
    /// The folder of their files.
    pub folder: PathBuf,
    /// Their logs.
    pub history: History,
    /// When they ran.
    pub ledger: Ledger,
    /// How often each was started.
    pub starts: Vec<usize>,
    /// The processes that run.
    pub running: Vec<Option<Process>>,
}

impl Herd {
    /// The name of a broker.
    pub fn name(process: usize) -> String {
        format!("p-{process}")
    }

    /// Starts one with what it is told to know of the servers.
    pub fn start(&mut self, process: usize, known: &Value, seed: u64) -> io::Result<()> {
        let name = Herd::name(process);
        let place = Place {
            name: &name,
            index: process,
            brokers: self.addresses.len(),
            cells: self.cells,
            listen: self.addresses[process],
            board: self.board,
            seed,
        };
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, configuration(&self.deployment, &place, known).to_string())?;
        let mut command = self.program.command(&self.own);
        command.env("LB_CONFIG", path);
        let run = self.starts[process];
        self.starts[process] += 1;
        let started = Process::spawn(command, &name, run, "start", &self.history)?;
        self.ledger.started(process, started.pid());
        self.running[process] = Some(started);
        Ok(())
    }

    /// Kills some at once, and waits for their ends.
    pub fn kill(&mut self, victims: &[usize]) {
        for victim in victims {
            self.ledger.killing(*victim);
            if let Some(process) = &mut self.running[*victim] {
                process.signal(Signal::KILL);
            }
        }
        for victim in victims {
            self.running[*victim] = None;
        }
    }

    /// Those that ended though nobody ended them.
    pub fn crashed(&mut self) -> Vec<String> {
        let ended = |(process, running): (usize, &mut Option<Process>)| {
            let ended = running.as_mut().is_some_and(Process::ended);
            ended.then(|| format!("{} ended by itself", Herd::name(process)))
        };
        self.running.iter_mut().enumerate().filter_map(ended).collect()
    }
}
