//! Decoding of the messages on a hand-over connection.

use super::Message;

/// The maximum length of a line; a session takes some hundred bytes.
pub(super) const MAX_LINE_BYTES: usize = 64 * 1024;

/// Decodes messages, one JSON object a line. After a line that can't be decoded it ignores all further input.
#[derive(Debug, Default)]
pub struct MessageReader {
    line: Vec<u8>,
    is_broken: bool,
}

impl MessageReader {
    /// Takes in bytes and returns the messages that are complete.
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

    /// Whether the input contained a line that can't be decoded.
    pub fn is_broken(&self) -> bool {
        self.is_broken
    }
}
