//! Frames that wait for a link: bounded, and what is repeated anyway makes room first, oldest first.

use std::collections::VecDeque;

use super::frame::{self, Frame};

/// Bytes that may wait on one link.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What waits on one link.
#[derive(Debug, Default)]
pub struct Queue {
    frames: VecDeque<(Vec<u8>, bool)>,
    bytes: usize,
    dropped: u64,
}

impl Queue {
    /// A frame is to leave. False if the link must end: what can't be dropped no longer fits.
    pub fn push(&mut self, frame: &Frame) -> bool {
        let Some(bytes) = frame::encode(frame) else { return true };
        self.bytes += bytes.len();
        self.frames.push_back((bytes, frame::repeated(frame)));
        while self.bytes > MOST_BYTES {
            let Some(oldest) = self.frames.iter().position(|(_, repeated)| *repeated) else { return false };
            if let Some((bytes, _)) = self.frames.remove(oldest) {
                self.bytes -= bytes.len();
                self.dropped += 1;
            }
        }
        true
    }

    /// The next to be written.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let (bytes, _) = self.frames.pop_front()?;
        self.bytes -= bytes.len();
        Some(bytes)
    }

    /// Frames that were dropped to make room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_repeated_anyway_makes_room_oldest_first() {
        let mut queue = Queue::default();
        assert!(queue.push(&Frame::Show));
        let written = frame::encode(&Frame::Written(1 << 40)).unwrap().len();
        let most = MOST_BYTES / written;
        for n in 0..most as u64 + 10 {
            assert!(queue.push(&Frame::Written((1 << 40) + n)));
        }
        assert!(queue.dropped() >= 10);
        assert_eq!(queue.pop(), frame::encode(&Frame::Show), "what is said once stays");
        let next = queue.pop().unwrap();
        assert_eq!(next, frame::encode(&Frame::Written((1 << 40) + queue.dropped())).unwrap());
    }

    #[test]
    fn a_link_that_can_hold_no_more_of_what_is_said_once_ends() {
        let mut queue = Queue::default();
        let long = Frame::HandOn(crate::quorum::Duty("x".repeat(1024 * 1024)));
        assert!((0..3).all(|_| queue.push(&long)));
        assert!(!queue.push(&long));
    }
}
