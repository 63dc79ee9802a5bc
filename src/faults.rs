//! Faults that the trials bring about inside a process: a disk that is full, fails to sync or is slow, bytes that
//! are lost with what was not synced, a clock that runs too fast, a stop at one exact place. Without the feature
//! `trials` there are none: each call here is then empty.
//!
//! A trial names a folder by `AMBERSPINDLE_FAULTS`; a file in it is a fault that is there, from the moment that the
//! file is.

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

    /// Whether a fault is there.
    pub fn injected(name: &str) -> bool {
        folder().is_some_and(|folder| folder.join(name).exists())
    }

    /// The figure that a fault's file holds.
    pub fn injected_value(name: &str) -> Option<f64> {
        read_fault(name)?.trim().parse().ok()
    }

    /// Stops this process here, if the trial says so, until it is continued.
    pub fn stop_at(place: &str) {
        if read_fault("stop-at").is_some_and(|wanted| wanted.trim() == place)
            && let Some(folder) = folder()
            && std::fs::remove_file(folder.join("stop-at")).is_ok()
        {
            let _ = std::fs::write(folder.join("stopped-at"), place);
            let _ = rustix::process::kill_process(rustix::process::getpid(), rustix::process::Signal::STOP);
            // The signal may reach another thread first: this one goes no further until the stop was seen.
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
    /// Whether a fault is there: never.
    #[inline(always)]
    pub fn injected(_: &str) -> bool {
        false
    }

    /// The figure that a fault's file holds: none.
    #[inline(always)]
    pub fn injected_value(_: &str) -> Option<f64> {
        None
    }

    /// Stops this process here, if the trial says so: never.
    #[inline(always)]
    pub fn stop_at(_: &str) {}
}

pub use injected::{injected, injected_value, stop_at};
