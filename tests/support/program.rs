//! The program as a process.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Edge, TEST_TIMEOUT, known, settings};

/// Held while a process is started, and while a file is written whose closing matters: a process that another
/// test starts meanwhile has the file open too until its own program runs, and closes it only then. A file that
/// was renamed in between seems to be written to again (seen in one run of eight of the tests of watched files).
pub fn starting() -> MutexGuard<'static, ()> {
    static STARTING: Mutex<()> = Mutex::new(());
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The program, ended with the test.
pub struct Program {
    child: Child,
    pub fronts: BTreeMap<String, SocketAddr>,
    /// Its log, line by line.
    pub log: Arc<(Mutex<Vec<String>>, Condvar)>,
    pub files: tempdir::Dir,
}

pub mod tempdir {
    //! A folder that goes with its value.
    use std::path::PathBuf;
    use std::sync::atomic::{AtomicU32, Ordering};

    static NEXT: AtomicU32 = AtomicU32::new(0);

    pub struct Dir(pub PathBuf);

    impl Dir {
        pub fn new() -> Dir {
            let name =
                format!("amberspindle-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
            let path = std::env::temp_dir().join(name);
            std::fs::create_dir_all(&path).unwrap();
            Dir(path)
        }

        pub fn write(&self, name: &str, text: &str) -> PathBuf {
            let path = self.0.join(name);
            std::fs::write(&path, text).unwrap();
            path
        }
    }

    impl Drop for Dir {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

impl Program {
    /// Starts it with the platform's configuration and waits until its fronts listen.
    pub fn platform(edges: &[&Edge], deadline: f64) -> Program {
        Program::platform_with_options(edges, deadline, &[])
    }

    /// The same with options of `serve`.
    pub fn platform_with_options(edges: &[&Edge], deadline: f64, options: &[&str]) -> Program {
        let files = tempdir::Dir::new();
        let command = Program::command(&files, &config(edges, deadline), options);
        Program::start(command, files, &["viewer"])
    }

    /// The same with more in the configuration.
    pub fn platform_with_config(edges: &[&Edge], deadline: f64, more: &Value, fronts: &[&str]) -> Program {
        let mut config = config(edges, deadline);
        for (key, value) in more.as_object().unwrap() {
            config[key] = value.clone();
        }
        let files = tempdir::Dir::new();
        let command = Program::command(&files, &config, &[]);
        Program::start(command, files, fronts)
    }

    /// How the platform starts it.
    pub fn command(files: &tempdir::Dir, config: &Value, options: &[&str]) -> Command {
        let path = files.write("config.json", &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").args(options).env("LB_CONFIG", path);
        for name in ["LB_LISTEN", "LB_NAME", "LB_CONSOLE", "LB_SOCKET_FD"] {
            command.env_remove(name);
        }
        command
    }

    /// Starts it with an operator's file: the text, and the settings that are put in.
    pub fn operator(text: &str, deadline: f64, extra: &[(&str, &str)], fronts: &[&str]) -> Program {
        Program::operator_of(text, &settings(deadline), extra, fronts)
    }

    /// The same with settings of the caller's.
    pub fn operator_of(text: &str, settings: &Value, extra: &[(&str, &str)], fronts: &[&str]) -> Program {
        let settings = toml::to_string(&json!({"settings": settings})).unwrap();
        let files = tempdir::Dir::new();
        for (name, text) in extra {
            files.write(name, text);
        }
        let path = files.write("operator.toml", &format!("{text}\n{settings}"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_amberspindle"));
        command.arg("serve").arg("--config").arg(path);
        Program::start(command, files, fronts)
    }

    /// Starts it with the WHIP front before these servers, and titles `walk` (paid) and `guide`.
    pub fn whip(edges: &[&Edge], deadline: f64, more: &str) -> Program {
        let mut text = format!("[whip]\nlisten = \"127.0.0.1:0\"\n{more}\n");
        for (name, class) in [("walk", "paid"), ("guide", "clip")] {
            text += &format!("[[title]]\nname = \"{name}\"\nclass = \"{class}\"\nhome = 0\ncopies = 3\n");
        }
        for (cell, edge) in edges.iter().enumerate() {
            let address = edge.address;
            text += &format!("[[server]]\nid = \"s-{cell}\"\naddress = \"{address}\"\ncell = {cell}\n");
        }
        Program::operator(&text, deadline, &[], &["http"])
    }

    pub fn start(mut command: Command, files: tempdir::Dir, fronts: &[&str]) -> Program {
        let mut child = {
            let _alone = starting();
            command.stdout(Stdio::piped()).spawn().unwrap()
        };
        let log = Arc::new((Mutex::new(Vec::new()), Condvar::new()));
        let (lines, writer) = (BufReader::new(child.stdout.take().unwrap()).lines(), log.clone());
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                writer.0.lock().unwrap().push(line);
                writer.1.notify_all();
            }
        });
        let mut program = Program { child, fronts: BTreeMap::new(), log, files };
        for front in fronts {
            let line = program.wait_for_log(&format!(" for {front}"));
            let address = line.split(" listens on ").nth(1).unwrap().split(' ').next().unwrap();
            program.fronts.insert((*front).to_owned(), address.parse().unwrap());
        }
        program
    }

    /// Waits for a line of the log that holds a text.
    pub fn wait_for_log(&self, text: &str) -> String {
        let mut lines = self.log.0.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().find(|l| l.contains(text)) {
                return line.clone();
            }
            let (next, late) = self.log.1.wait_timeout(lines, TEST_TIMEOUT).unwrap();
            assert!(!late.timed_out(), "never logged: {text}\n{}", next.join("\n"));
            lines = next;
        }
    }

    /// Waits for the `n`th line, from 0, that begins with a text.
    pub fn wait_for_nth_log(&self, start: &str, n: usize) -> String {
        let mut lines = self.log.0.lock().unwrap();
        loop {
            if let Some(line) = lines.iter().filter(|l| l.starts_with(start)).nth(n) {
                return line.clone();
            }
            let (next, late) = self.log.1.wait_timeout(lines, TEST_TIMEOUT).unwrap();
            assert!(!late.timed_out(), "never logged so often: {start}");
            lines = next;
        }
    }

    pub fn connect(&self, front: &str) -> TcpStream {
        let stream = TcpStream::connect(self.fronts[front]).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// One call at the second address, and all that it was answered.
    pub fn call(&self, line: &str) -> String {
        let mut stream = self.connect("console");
        stream.write_all(line.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _alone = starting();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    /// Ends it at once, as a crash does; its files stay.
    pub fn killed(mut self) -> tempdir::Dir {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let empty = tempdir::Dir(std::path::PathBuf::new());
        std::mem::replace(&mut self.files, empty)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for its end; gives whether it ended well.
    pub fn ended_well(mut self) -> bool {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            // One that plays may linger for 30 s.
            assert!(begun.elapsed() < TEST_TIMEOUT * 3, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform's configuration.
pub fn config(edges: &[&Edge], deadline: f64) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "known": known(edges), "settings": settings(deadline)})
}
