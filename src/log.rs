//! Structured logs on standard output. A text line reads `event field=value` or, if the event has a message, that
//! message alone; a JSON line is one object with a time, `event` and the fields.

use std::fmt;
use std::io;

use clap::ValueEnum;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Text with `field=value`.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Collects the parts of a text line.
#[derive(Default)]
struct LineVisitor {
    event: String,
    message: String,
    fields: String,
}

impl Visit for LineVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        // Writing to a String can't fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            "event" => write!(self.event, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => self.message += value,
            "event" => self.event += value,
            // Values with spaces, quotes or control characters are quoted, so that a line can be parsed.
            name if value.contains(|c: char| c == ' ' || c == '"' || c.is_control()) => {
                self.fields += &format!(" {name}={value:?}")
            }
            name => self.fields += &format!(" {name}={value}"),
        }
    }
}

/// Formats events as text lines.
struct TextFormat;

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = LineVisitor::default();
        event.record(&mut line);
        if line.message.is_empty() {
            writeln!(writer, "{}{}", line.event, line.fields)
        } else {
            writeln!(writer, "{}", line.message)
        }
    }
}

/// Returns a log with this format and output.
fn dispatch<W>(format: Format, output: W) -> tracing::Dispatch
where
    W: for<'a> tracing_subscriber::fmt::MakeWriter<'a> + Send + Sync + 'static,
{
    let layer = tracing_subscriber::fmt().with_writer(output).with_ansi(false).log_internal_errors(false);
    match format {
        Format::Text => layer.event_format(TextFormat).finish().into(),
        Format::Json => {
            layer.json().flatten_event(true).with_target(false).with_current_span(false).finish().into()
        }
    }
}

/// Starts the log. Lines that can't be written are dropped, as a failing log must not end the broker.
pub fn start(format: Format) {
    // A second start, as in tests, has no effect.
    let _ = tracing::dispatcher::set_global_default(dispatch(format, io::stdout));
}

/// A log output in memory, for tests of the format.
#[cfg(test)]
#[derive(Clone, Default)]
pub(crate) struct MemoryLog(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

#[cfg(test)]
impl MemoryLog {
    /// Returns the text that was written.
    pub(crate) fn text(&self) -> String {
        let bytes = self.0.lock().map(|bytes| bytes.clone()).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

#[cfg(test)]
impl io::Write for MemoryLog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Ok(mut all) = self.0.lock() {
            all.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs a function with the log written to memory.
#[cfg(test)]
pub(crate) fn with_output_to(format: Format, sink: MemoryLog, act: impl FnOnce()) {
    tracing::dispatcher::with_default(&dispatch(format, move || sink.clone()), act);
}
