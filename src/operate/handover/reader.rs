//! The reading side of a hand-over's connection.

use super::Message;

/// The longest line: a session is some hundred bytes.
pub(super) const MAX_LINE_BYTES: usize = 64 * 1024;

/// The reading side. What can't be read ends it: nothing behind it counts.
#[derive(Debug, Default)]
pub struct MessageReader {
    line: Vec<u8>,
    is_broken: bool,
}

impl MessageReader {
    /// Takes bytes in; gives the messages that are whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Message> {
        let mut messages = Vec::new();
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.is_broken {
                break;
            }
            self.line.extend_from_slice(piece);
            if self.line.len() > MAX_LINE_BYTES {
                self.is_broken = true;
            } else if self.line.ends_with(b"\n") {
                match serde_json::from_slice(&self.line) {
                    Ok(message) => messages.push(message),
                    Err(_) => self.is_broken = true,
                }
                self.line.clear();
            }
        }
        messages
    }

    /// Whether what came can't be read.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }
}
