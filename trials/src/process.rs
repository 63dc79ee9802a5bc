//! Processes of the program: started from this very executable, their log read line by line, ended and waited for.

use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::history::{History, Line};

/// One run of one process.
pub struct Process {
    child: Child,
    reader: Option<std::thread::JoinHandle<()>>,
    /// Which start it is, over the whole trial.
    pub run: usize,
    /// It is stopped.
    pub stopped: bool,
}

/// How a process is started.
pub struct Start<'a> {
    /// The program, with the word that makes it a broker.
    pub program: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// Its file.
    pub config: &'a Path,
    /// The folder of its faults.
    pub faults: &'a Path,
    /// A wrong way that it goes.
    pub mutant: Option<&'a str>,
    /// Which start it is.
    pub run: usize,
    /// What became of its folder.
    pub how: &'a str,
}

impl Process {
    /// Starts one.
    pub fn start(start: &Start<'_>, history: &History) -> std::io::Result<Process> {
        let mut command = Command::new(start.program);
        command.args(["broker", "serve", "--config"]).arg(start.config);
        command.env("AMBERSPINDLE_FAULTS", start.faults).env_remove("AMBERSPINDLE_MUTANT");
        if let Some(mutant) = start.mutant {
            command.env("AMBERSPINDLE_MUTANT", mutant);
        }
        Process::spawn(command, start.name, start.run, start.how, history)
    }

    /// Starts a command of the caller's; its log goes to the history.
    pub fn spawn(
        command: Command,
        name: &str,
        run: usize,
        how: &str,
        history: &History,
    ) -> std::io::Result<Process> {
        Process::spawn_with(command, Stdio::null(), name, run, how, history)
    }

    /// The same with a standard input, such as an inherited socket.
    pub fn spawn_with(
        mut command: Command,
        input: Stdio,
        name: &str,
        run: usize,
        how: &str,
        history: &History,
    ) -> std::io::Result<Process> {
        let mut child = command.stdin(input).stdout(Stdio::piped()).stderr(Stdio::inherit()).spawn()?;
        let out = child.stdout.take();
        let (history, who, how) = (history.clone(), name.to_owned(), how.to_owned());
        let reader = std::thread::spawn(move || {
            for text in out.into_iter().flat_map(|out| BufReader::new(out).lines()).map_while(Result::ok) {
                history.push(Line { who: who.clone(), run, how: how.clone(), text });
            }
        });
        Ok(Process { child, reader: Some(reader), run, stopped: false })
    }

    /// The system's number of it.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        if let (Some(pid), Ok(None)) = (Pid::from_raw(self.child.id() as i32), self.child.try_wait()) {
            let _ = kill_process(pid, signal);
        }
        self.stopped = match signal {
            Signal::STOP => true,
            Signal::CONT => false,
            _ => self.stopped,
        };
    }

    /// How it ended, once it has.
    pub fn status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    /// Whatever happens to the trial, the process is ended and waited for, and its log read to the end.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// A folder that goes with its value, unless it is to stay.
pub struct Scratch(pub PathBuf, pub bool);

impl Drop for Scratch {
    fn drop(&mut self) {
        if !self.1 {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
