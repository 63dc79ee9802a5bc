//! The reading side of a hand-over's connection.

use super::Message;

/// The longest line: a session is some hundred bytes.
pub(super) const LONGEST: usize = 64 * 1024;

/// The reading side. What can't be read ends it: nothing behind it counts.
#[derive(Debug, Default)]
pub struct Reader {
    read: Vec<u8>,
    broken: bool,
}

impl Reader {
    /// Takes bytes in; gives the messages that are whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Message> {
        let mut messages = Vec::new();
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.broken {
                break;
            }
            self.read.extend_from_slice(piece);
            if self.read.len() > LONGEST {
                self.broken = true;
            } else if self.read.ends_with(b"\n") {
                match serde_json::from_slice(&self.read) {
                    Ok(message) => messages.push(message),
                    Err(_) => self.broken = true,
                }
                self.read.clear();
            }
        }
        messages
    }

    /// Whether what came can't be read.
    pub fn broken(&self) -> bool {
        self.broken
    }
}
