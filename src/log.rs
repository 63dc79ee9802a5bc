//! Structured logs on standard output: an event, its fields, and a time. As text a line reads `event field=value`
//! or, where the event has words of its own, those words; as JSON a line is one object with `event` and fields.

use std::fmt;
use std::io;

use clap::ValueEnum;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Words and `field=value`.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The text of a line.
#[derive(Default)]
struct LineVisitor {
    event: String,
    message: String,
    fields: String,
}

impl Visit for LineVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        // Writing to a text can't fail.
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
            // What holds a space is quoted, so that a line can be taken apart.
            name if value.contains(|c: char| c == ' ' || c == '"' || c.is_control()) => {
                self.fields += &format!(" {name}={value:?}")
            }
            name => self.fields += &format!(" {name}={value}"),
        }
    }
}

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

/// The log in a form, written to a place.
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

/// Starts the log. A log that can't be written must not end the broker: what fails is dropped.
pub fn start(format: Format) {
    // A second start, as in tests, leaves the first in place.
    let _ = tracing::dispatcher::set_global_default(dispatch(format, io::stdout));
}

/// A place in memory, for tests of what lines look like.
#[cfg(test)]
#[derive(Clone, Default)]
pub(crate) struct MemoryLog(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

#[cfg(test)]
impl MemoryLog {
    /// What was written.
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

/// Does something with the log going to a place in memory.
#[cfg(test)]
pub(crate) fn with_output_to(format: Format, sink: MemoryLog, act: impl FnOnce()) {
    tracing::dispatcher::with_default(&dispatch(format, move || sink.clone()), act);
}
