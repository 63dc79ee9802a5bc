//! Files as the system gives them: readings that are whole or none, files that replace others at once, and a
//! folder for records. Decides nothing.

use std::fs::{self, File, Metadata, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::os::unix::fs::{MetadataExt as _, OpenOptionsExt as _};
use std::path::{Path, PathBuf};

use rustix::fs::OFlags;
use rustix::io::Errno;

use crate::faults;
use crate::watch::judge::ReadError;
use crate::watch::state::Disk;
use crate::watch::{Read, Stamp};

/// Tries to read a file between two stamps that agree, one right after the other.
const TRIES: u32 = 3;

fn stamp(meta: &Metadata) -> Stamp {
    let nanos = |secs: i64, nanos: i64| i128::from(secs) * 1_000_000_000 + i128::from(nanos);
    Stamp {
        file: (meta.dev(), meta.ino()),
        size: meta.size(),
        written: nanos(meta.mtime(), meta.mtime_nsec()),
        changed: nanos(meta.ctime(), meta.ctime_nsec()),
    }
}

/// Why a file can't be read.
pub fn unread(error: &io::Error) -> ReadError {
    if Errno::from_io_error(error) == Some(Errno::LOOP) {
        return ReadError::Circle;
    }
    match error.kind() {
        io::ErrorKind::NotFound | io::ErrorKind::NotADirectory => ReadError::Missing,
        io::ErrorKind::PermissionDenied => ReadError::Denied,
        io::ErrorKind::IsADirectory => ReadError::Folder,
        _ => ReadError::Failed,
    }
}

fn plain(meta: &Metadata) -> Result<(), ReadError> {
    if meta.is_dir() {
        Err(ReadError::Folder)
    } else if !meta.is_file() {
        Err(ReadError::Special)
    } else {
        Ok(())
    }
}

/// The stamp of what a path leads to now, if it is a plain file.
pub fn look(path: &Path) -> Option<Stamp> {
    let meta = fs::metadata(path).ok()?;
    plain(&meta).ok()?;
    Some(stamp(&meta))
}

/// Reads a file of at most so many bytes. What was read between two stamps that differ is no reading, nor is what
/// the path no longer leads to once it was read.
pub fn read(path: &Path, most: u64) -> Read {
    let mut read = Err(ReadError::Changing);
    for _ in 0..TRIES {
        read = read_once(path, most);
        if !matches!(read, Err(ReadError::Changing)) {
            break;
        }
    }
    read
}

fn read_once(path: &Path, most: u64) -> Read {
    let failed = |e: io::Error| unread(&e);
    // A FIFO in its place must not hold the reader up, nor a device be opened at all.
    plain(&fs::metadata(path).map_err(failed)?)?;
    let mut options = OpenOptions::new();
    let file = options.read(true).custom_flags(OFlags::NONBLOCK.bits() as i32).open(path).map_err(failed)?;
    read_open(file, path, most)
}

fn read_open(mut file: File, path: &Path, most: u64) -> Read {
    let failed = |e: io::Error| unread(&e);
    let before = file.metadata().map_err(failed)?;
    plain(&before)?;
    if before.size() > most {
        return Err(ReadError::TooLong(most));
    }
    let mut bytes = Vec::with_capacity(before.size() as usize + 1);
    (&mut file).take(most + 1).read_to_end(&mut bytes).map_err(failed)?;
    if bytes.len() as u64 > most {
        return Err(ReadError::TooLong(most));
    }
    let stamp_before = stamp(&before);
    let after = file.metadata().map_err(failed)?;
    let there = fs::metadata(path).map_err(failed)?;
    if stamp(&after) != stamp_before || stamp(&there) != stamp_before || bytes.len() as u64 != before.size() {
        return Err(ReadError::Changing);
    }
    Ok((bytes, stamp_before))
}

/// Puts a new content in a file's place at once: whoever reads it sees the old one or the new one. Links are
/// followed, rights are kept.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let path = fs::canonicalize(path)?;
    let folder = path.parent().unwrap_or(Path::new("/"));
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let new = folder.join(format!(".{name}.{}.new", std::process::id()));
    let written = (|| {
        let rights = fs::metadata(&path)?.permissions();
        let mut file = File::create(&new)?;
        file.set_permissions(rights)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, &path)?;
        File::open(folder)?.sync_all()
    })();
    if written.is_err() {
        let _ = fs::remove_file(&new);
    }
    written
}

/// A folder of records.
#[derive(Clone, Debug)]
pub struct Folder(PathBuf);

impl Folder {
    /// Opens a folder, which is made if it is not there.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Ok(Folder(path.to_owned()))
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.0.join(name), bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.0.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        let name =
            |entry: io::Result<fs::DirEntry>| entry.map(|e| e.file_name().to_string_lossy().into_owned());
        fs::read_dir(&self.0)?.map(name).collect()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}

/// A file that only grows, in a folder that one process holds. What was added counts once it is synced.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    file: File,
    /// Held for as long as the journal is open.
    _lock: File,
    /// Bytes that a trial loses with the process unless they are synced.
    unsynced: Vec<u8>,
}

/// The journal's name in its folder.
const JOURNAL: &str = "journal";

impl Journal {
    /// Opens a folder's journal, which is made if it is not there, and reads it.
    pub fn open(folder: &Path) -> io::Result<(Journal, Vec<u8>)> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).append(true).open(folder.join("lock"))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| io::Error::new(io::ErrorKind::ResourceBusy, "another process has this folder"))?;
        let path = folder.join(JOURNAL);
        let fresh = !path.exists();
        let mut file = OpenOptions::new().create(true).read(true).append(true).open(&path)?;
        if fresh {
            File::open(folder)?.sync_all()?;
        }
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok((Journal { folder: folder.to_owned(), file, _lock: lock, unsynced: Vec::new() }, bytes))
    }

    /// Cuts a torn tail off.
    pub fn cut(&mut self, good: u64) -> io::Result<()> {
        self.file.set_len(good)?;
        self.file.sync_all()
    }

    /// Adds bytes.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if faults::injected("disk-full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if faults::injected("lose-unsynced") {
            self.unsynced.extend_from_slice(bytes);
            return Ok(());
        }
        self.file.write_all(bytes)
    }

    /// Waits until what was added would survive a crash. After an error nobody can say what would.
    pub fn sync(&mut self) -> io::Result<()> {
        if let Some(ms) = faults::injected_value("sync-ms") {
            std::thread::sleep(std::time::Duration::from_millis(ms as u64));
        }
        if faults::injected("sync-fails") {
            return Err(io::Error::other("sync failed"));
        }
        if !self.unsynced.is_empty() {
            self.file.write_all(&std::mem::take(&mut self.unsynced))?;
        }
        self.file.sync_data()
    }

    /// Puts a new content in place of all, at once.
    pub fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if faults::injected("disk-full") {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.unsynced.clear();
        let new = self.folder.join("journal.new");
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, self.folder.join(JOURNAL))?;
        File::open(&self.folder)?.sync_all()?;
        self.file = OpenOptions::new().append(true).open(self.folder.join(JOURNAL))?;
        Ok(())
    }
}

/// Lengths of the files in a folder, by name.
pub fn lengths(folder: &Path) -> io::Result<Vec<(String, u64)>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        found.push((entry.file_name().to_string_lossy().into_owned(), entry.metadata()?.len()));
    }
    Ok(found)
}

/// Makes a file that must not be there yet, with its first bytes.
pub fn create_new(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
    file.write_all(bytes)?;
    Ok(file)
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Scratch(PathBuf);

    impl Scratch {
        fn new(name: &str) -> Scratch {
            let path = std::env::temp_dir().join(format!("amberspindle-disk-{name}-{}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            fs::create_dir_all(&path).unwrap();
            Scratch(path)
        }
    }

    impl Drop for Scratch {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn why(path: &Path) -> ReadError {
        read(path, 64).unwrap_err()
    }

    #[test]
    fn only_a_plain_file_of_a_bounded_size_is_read() {
        let dir = Scratch::new("kinds");
        let at = |name: &str| dir.0.join(name);
        fs::write(at("good"), "0123456789").unwrap();
        assert_eq!(read(&at("good"), 10).unwrap().0, b"0123456789");
        assert_eq!(read(&at("good"), 9).unwrap_err(), ReadError::TooLong(9));
        assert_eq!(why(&at("none")), ReadError::Missing);
        assert_eq!(why(&at("good/below")), ReadError::Missing);
        assert_eq!(why(&dir.0), ReadError::Folder);
        assert_eq!(why(Path::new("/dev/zero")), ReadError::Special);
        rustix::fs::mknodat(
            rustix::fs::CWD,
            at("fifo"),
            rustix::fs::FileType::Fifo,
            rustix::fs::Mode::from(0o600),
            0,
        )
        .unwrap();
        assert_eq!(why(&at("fifo")), ReadError::Special);
        std::os::unix::fs::symlink(at("b"), at("a")).unwrap();
        std::os::unix::fs::symlink(at("a"), at("b")).unwrap();
        assert_eq!(why(&at("a")), ReadError::Circle);
        assert_eq!(unread(&io::ErrorKind::PermissionDenied.into()), ReadError::Denied);
    }

    #[test]
    fn a_journal_has_one_owner_and_a_replaced_one_is_added_to() {
        let dir = Scratch::new("journal");
        let (mut journal, read) = Journal::open(&dir.0).unwrap();
        assert!(read.is_empty());
        assert!(Journal::open(&dir.0).is_err(), "another has it");
        journal.append(b"one").unwrap();
        journal.sync().unwrap();
        journal.replace(b"new").unwrap();
        journal.append(b"two+torn").unwrap();
        drop(journal);
        let (mut journal, read) = Journal::open(&dir.0).unwrap();
        assert_eq!(read, b"newtwo+torn");
        journal.cut(6).unwrap();
        journal.append(b"!").unwrap();
        drop(journal);
        assert_eq!(Journal::open(&dir.0).unwrap().1, b"newtwo!");
    }

    /// A FIFO that takes the file's place after it was looked at must not hold the reader up.
    #[test]
    fn an_open_fifo_is_turned_away_unread() {
        let dir = Scratch::new("fifo");
        let path = dir.0.join("f");
        let (kind, mode) = (rustix::fs::FileType::Fifo, rustix::fs::Mode::from(0o600));
        rustix::fs::mknodat(rustix::fs::CWD, &path, kind, mode, 0).unwrap();
        let flags = OFlags::NONBLOCK.bits() as i32;
        let file = OpenOptions::new().read(true).custom_flags(flags).open(&path).unwrap();
        assert_eq!(read_open(file, &path, 64).unwrap_err(), ReadError::Special);
    }

    /// Two writers take turns: what was read of one file while the path came to lead to another is no reading.
    #[test]
    fn a_file_that_another_replaced_while_it_was_read_is_no_reading() {
        let dir = Scratch::new("turns");
        let path = dir.0.join("f");
        fs::write(&path, "one").unwrap();
        let file = File::open(&path).unwrap();
        fs::write(dir.0.join("g"), "two").unwrap();
        fs::rename(dir.0.join("g"), &path).unwrap();
        assert_eq!(read_open(file, &path, 64).unwrap_err(), ReadError::Changing);
        assert_eq!(read(&path, 64).unwrap().0, b"two");
    }

    #[test]
    fn a_file_is_replaced_behind_its_link_and_keeps_its_rights() {
        use std::os::unix::fs::PermissionsExt as _;
        let dir = Scratch::new("replace");
        let (file, link) = (dir.0.join("file"), dir.0.join("link"));
        fs::write(&file, "old").unwrap();
        fs::set_permissions(&file, fs::Permissions::from_mode(0o640)).unwrap();
        std::os::unix::fs::symlink(&file, &link).unwrap();
        replace(&link, b"new").unwrap();
        assert!(fs::symlink_metadata(&link).unwrap().is_symlink());
        assert_eq!(fs::read(&file).unwrap(), b"new");
        assert_eq!(fs::metadata(&file).unwrap().permissions().mode() & 0o777, 0o640);
        assert_eq!(fs::read_dir(&dir.0).unwrap().count(), 2, "nothing is left beside it");
    }
}
