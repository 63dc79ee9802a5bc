//! Fault injection for the trials: a disk that is full, fails to sync or is slow, loss of unsynced bytes, a clock
//! that runs too fast, and a stop at an exact place in the code. Without the feature `trials` the functions do
//! nothing.
//!
//! The environment variable `AMBERSPINDLE_FAULTS` names a folder. A fault is active while a file of its name exists
//! there.

#[cfg(feature = "trials")]
mod injected {
    use std::path::PathBuf;
    use std::sync::OnceLock;

    fn folder() -> Option<&'static PathBuf> {
        static FOLDER: OnceLock<Option<PathBuf>> = OnceLock::new();
        FOLDER.get_or_init(|| std::env::var_os("AMBERSPINDLE_FAULTS").map(PathBuf::from)).as_ref()
    }

    fn read_fault(name: &str) -> Option<String> {
        std::fs::read_to_string(folder()?.join(name)).ok()
    }

    /// Whether a fault is active.
    pub fn injected(name: &str) -> bool {
        folder().is_some_and(|folder| folder.join(name).exists())
    }

    /// Returns the number in the file of a fault.
    pub fn injected_value(name: &str) -> Option<f64> {
        read_fault(name)?.trim().parse().ok()
    }

    /// Stops this process until it gets SIGCONT, if the file `stop-at` names this place.
    pub fn stop_at(place: &str) {
        if read_fault("stop-at").is_some_and(|wanted| wanted.trim() == place)
            && let Some(folder) = folder()
            && std::fs::remove_file(folder.join("stop-at")).is_ok()
        {
            let _ = std::fs::write(folder.join("stopped-at"), place);
            let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::STOP);
            // The signal may reach another thread first: this one waits until a gap in its sleep shows the stop.
            let mut last_wake = std::time::Instant::now();
            while last_wake.elapsed() < std::time::Duration::from_millis(200) {
                last_wake = std::time::Instant::now();
                std::thread::sleep(std::time::Duration::from_millis(5));
            }
        }
    }
}

#[cfg(not(feature = "trials"))]
mod injected {
    /// Whether a fault is active: never.
    #[inline(always)]
    pub fn injected(_: &str) -> bool {
        false
    }

    /// Returns the number in the file of a fault: none.
    #[inline(always)]
    pub fn injected_value(_: &str) -> Option<f64> {
        None
    }

    /// Stops this process at a place: never.
    #[inline(always)]
    pub fn stop_at(_: &str) {}
}

pub use injected::{injected, injected_value, stop_at};
