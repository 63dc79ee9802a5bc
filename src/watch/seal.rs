//! The closing mark of a watched file: its last line tells how many bytes stand before it, their digest, and the
//! digest of all files that were sealed together. A file that was cut, mixed with another or changed after it was
//! sealed does not match its mark, so it can be told from a whole one however it was written.

use std::fmt;

use crate::roster::Digest;

/// How the line begins, behind the sign of a comment.
const MARK: &str = "amberspindle-seal 1 ";

/// The sign that begins a comment in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comment {
    /// `#`, in TOML.
    Hash,
    /// `//`, in a script.
    Slashes,
}

impl Comment {
    /// The one that a file of this name has.
    pub fn of(name: &str) -> Comment {
        if name.ends_with(".rhai") { Comment::Slashes } else { Comment::Hash }
    }

    fn sign(self) -> &'static str {
        match self {
            Comment::Hash => "# ",
            Comment::Slashes => "// ",
        }
    }
}

/// Why a file's mark doesn't hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// The last line is no mark, or the file ends in the middle of it.
    None,
    /// The mark can't be read.
    Broken,
    /// More or fewer bytes stand before it than it tells.
    Length {
        /// What it tells.
        told: u64,
        /// What there is.
        found: u64,
    },
    /// The bytes before it are others.
    Digest,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SealError::None => f.write_str("not sealed, or not whole"),
            SealError::Broken => f.write_str("its seal can't be read"),
            SealError::Length { told, found } => {
                write!(f, "not whole: its seal stands for {told} bytes, there are {found}")
            }
            SealError::Digest => f.write_str("changed after it was sealed"),
        }
    }
}

impl std::error::Error for SealError {}

/// What a mark tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    /// Of the bytes before it.
    pub digest: Digest,
    /// Of all files that were sealed together.
    pub set: Digest,
}

/// The digest of a text.
pub fn digest(text: &[u8]) -> Digest {
    Digest(blake3::hash(text).into())
}

/// The digest of files that belong together, in whatever order they come.
pub fn set(of: impl IntoIterator<Item = Digest>) -> Digest {
    let mut all: Vec<Digest> = of.into_iter().collect();
    all.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    for one in all {
        hasher.update(&one.0);
    }
    Digest(hasher.finalize().into())
}

fn hex(digest: Digest) -> String {
    blake3::Hash::from_bytes(digest.0).to_hex().to_string()
}

fn unhex(text: &str) -> Option<Digest> {
    // Only the form that is written counts, so that a mark has one text.
    let digest = Digest(blake3::Hash::from_hex(text).ok()?.into());
    (hex(digest) == text).then_some(digest)
}

/// Splits a file into its text and its mark, if the mark holds.
pub fn open(bytes: &[u8], comment: Comment) -> Result<(&[u8], Seal), SealError> {
    let lines = bytes.strip_suffix(b"\n").ok_or(SealError::None)?;
    let start = lines.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    let (text, line) = (&bytes[..start], &lines[start..]);
    let line = std::str::from_utf8(line).map_err(|_| SealError::None)?;
    let told = line.strip_prefix(comment.sign()).and_then(|l| l.strip_prefix(MARK)).ok_or(SealError::None)?;
    let mut parts = told.split(' ');
    let mut part = |name: &str| parts.next()?.strip_prefix(name)?.strip_prefix('=');
    let bytes: u64 = part("bytes").and_then(|n| n.parse().ok()).ok_or(SealError::Broken)?;
    let set = part("set").and_then(unhex).ok_or(SealError::Broken)?;
    let own = part("blake3").and_then(unhex).ok_or(SealError::Broken)?;
    if parts.next().is_some() {
        return Err(SealError::Broken);
    }
    if bytes != text.len() as u64 {
        return Err(SealError::Length { told: bytes, found: text.len() as u64 });
    }
    if digest(text) != own {
        return Err(SealError::Digest);
    }
    Ok((text, Seal { digest: own, set }))
}

/// A file's text without its mark, as it is sealed anew: lines that are marks are left out, and the last line is
/// ended.
pub fn text(bytes: &[u8], comment: Comment) -> Vec<u8> {
    let mark = format!("{}{MARK}bytes=", comment.sign());
    let lines = bytes.split_inclusive(|b| *b == b'\n').filter(|line| !line.starts_with(mark.as_bytes()));
    let mut text: Vec<u8> = lines.flatten().copied().collect();
    if text.last().is_some_and(|b| *b != b'\n') {
        text.push(b'\n');
    }
    text
}

/// Ends a text with its mark.
pub fn close(text: &[u8], set: Digest, comment: Comment) -> Vec<u8> {
    let mut sealed = text.to_vec();
    let (bytes, own) = (text.len(), digest(text));
    let line = format!("{}{MARK}bytes={bytes} set={} blake3={}\n", comment.sign(), hex(set), hex(own));
    sealed.extend_from_slice(line.as_bytes());
    sealed
}

/// Seals texts that belong together.
pub fn close_all<'a>(files: impl IntoIterator<Item = (&'a [u8], Comment)>) -> Vec<Vec<u8>> {
    let texts: Vec<(Vec<u8>, Comment)> = files.into_iter().map(|(b, c)| (text(b, c), c)).collect();
    let set = set(texts.iter().map(|(text, _)| digest(text)));
    texts.iter().map(|(text, comment)| close(text, set, *comment)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sealed(text: &str) -> Vec<u8> {
        close_all([(text.as_bytes(), Comment::Hash)]).remove(0)
    }

    fn seal(file: &[u8]) -> Seal {
        open(file, Comment::Hash).unwrap().1
    }

    #[test]
    fn a_sealed_text_opens_to_itself_and_sealing_it_again_changes_nothing() {
        for text in ["", "a = 1\n", "# amberspindle-seal is a word\nb = 2\n"] {
            let file = sealed(text);
            let (inner, seal) = open(&file, Comment::Hash).unwrap();
            assert_eq!(inner, text.as_bytes());
            assert_eq!(seal.digest, digest(text.as_bytes()));
            assert_eq!(seal.set, set([seal.digest]));
            assert_eq!(sealed(std::str::from_utf8(&file).unwrap()), file);
        }
        assert_eq!(open(&sealed("a = 1"), Comment::Hash).unwrap().0, b"a = 1\n", "the last line is ended");
    }

    #[test]
    fn every_prefix_and_every_changed_byte_is_refused() {
        let file = sealed("[[server]]\nid = \"a\"\n\n[[server]]\nid = \"b\"\n");
        for cut in 0..file.len() {
            assert!(open(&file[..cut], Comment::Hash).is_err(), "cut at {cut}");
        }
        for at in 0..file.len() {
            for flip in [1u8, 0x20, 0x80] {
                let mut other = file.clone();
                other[at] ^= flip;
                // A digit of the set's digest is found out where the set is put together.
                let whole = seal(&file).set;
                let same = open(&other, Comment::Hash).is_ok_and(|(_, seal)| seal.set == whole);
                assert!(!same, "byte {at} changed by {flip}");
            }
        }
    }

    #[test]
    fn what_was_appended_to_a_sealed_file_makes_it_another() {
        let (old, new) = (sealed("a = 1\n"), sealed("b = 2\n"));
        let both = [old.clone(), new].concat();
        let told = "b = 2\n".len() as u64;
        let found = (old.len() + "b = 2\n".len()) as u64;
        assert_eq!(open(&both, Comment::Hash), Err(SealError::Length { told, found }));
        assert_eq!(text(&both, Comment::Hash), b"a = 1\nb = 2\n");
    }

    #[test]
    fn a_script_is_sealed_by_its_own_kind_of_comment() {
        let file = close_all([(b"fn on_request(r) { }".as_slice(), Comment::of("hook.rhai"))]).remove(0);
        assert!(file.starts_with(b"fn on_request(r) { }\n// amberspindle-seal 1 bytes=21 set="));
        assert!(open(&file, Comment::Slashes).is_ok());
        assert_eq!(open(&file, Comment::Hash), Err(SealError::None));
    }
}
