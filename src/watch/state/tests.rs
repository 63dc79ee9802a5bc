use super::*;

/// A file's content, and whether it is synced.
type Content = (Vec<u8>, bool);

/// A disk that fails at one step, or loses power there. What was not synced may then be there in part; a rename
/// that was not synced may have happened or not.
#[derive(Clone, Default)]
struct Faulty {
    files: BTreeMap<String, Content>,
    /// Renames since the folder was synced, to be undone or not: what stood under both names before.
    undo: Vec<(String, String, Option<Content>)>,
    step: u32,
    fails_at: Option<u32>,
    /// Bytes of a file that was being written when it failed.
    torn: usize,
}

impl Faulty {
    fn step(&mut self) -> io::Result<()> {
        self.step += 1;
        if self.fails_at == Some(self.step) { Err(io::ErrorKind::Other.into()) } else { Ok(()) }
    }

    /// What a start after a loss of power finds, with what was not synced cut, and renames kept or undone.
    fn after_crash(mut self, keep_renames: bool) -> Faulty {
        if !keep_renames {
            for (from, to, before) in std::mem::take(&mut self.undo).into_iter().rev() {
                if let Some(moved) = self.files.remove(&to) {
                    self.files.insert(from, moved);
                }
                self.files.extend(before.map(|file| (to, file)));
            }
        }
        let torn = self.torn;
        for (bytes, synced) in self.files.values_mut().filter(|(_, synced)| !synced) {
            bytes.truncate(torn);
            *synced = true;
        }
        Faulty { files: self.files, ..Faulty::default() }
    }
}

impl Disk for Faulty {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.step()?;
        Ok(self.files.get(name).map(|(bytes, _)| bytes.clone()))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let failed = self.step();
        let part = if failed.is_err() { &bytes[..self.torn.min(bytes.len())] } else { bytes };
        self.files.insert(name.to_owned(), (part.to_vec(), false));
        failed
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?.1 = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        let before = self.files.insert(to.to_owned(), file);
        self.undo.push((from.to_owned(), to.to_owned(), before));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.undo.clear();
        Ok(())
    }

    fn names(&mut self) -> io::Result<Vec<String>> {
        self.step()?;
        Ok(self.files.keys().cloned().collect())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.remove(name).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }
}

fn kept(generation: u64) -> SavedLists {
    let texts = BTreeMap::from([("servers".to_owned(), format!("# {generation}\n").repeat(20))]);
    SavedLists { generation, taken: 1000 * generation, texts, started: BTreeMap::from([("a".to_owned(), 5)]) }
}

#[test]
fn a_record_is_read_as_it_was_written_and_no_other_way() {
    let bytes = encode(&kept(3));
    assert_eq!(decode(&bytes), Ok(kept(3)));
    for cut in 0..bytes.len() {
        assert!(decode(&bytes[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..bytes.len() {
        let mut other = bytes.clone();
        other[at] ^= 1;
        assert!(decode(&other).is_err(), "byte {at}");
    }
    let later = String::from_utf8(bytes).unwrap().replacen("state 1 ", "state 2 ", 1);
    assert_eq!(decode(later.as_bytes()), Err(StateError::Version(2)));
}

/// A kill at every step of the write, with each part of the new file and each fate of the rename.
#[test]
fn a_crash_at_any_step_leaves_the_old_record_or_the_new_one() {
    let store = Store::new("n1", 7);
    let mut disk = Faulty::default();
    store.save(&mut disk, &kept(1)).unwrap();
    let whole = encode(&kept(2)).len();
    let steps = {
        let mut disk = disk.clone();
        disk.step = 0;
        store.save(&mut disk, &kept(2)).unwrap();
        disk.step
    };
    let (mut old, mut new) = (0, 0);
    for fails_at in 1..=steps + 1 {
        for torn in [0, 1, whole / 2, whole - 1, whole] {
            for keep_renames in [false, true] {
                let mut disk = Faulty { step: 0, fails_at: Some(fails_at), torn, ..disk.clone() };
                let saved = store.save(&mut disk, &kept(2));
                assert_eq!(saved.is_ok(), fails_at > steps);
                let mut disk = disk.after_crash(keep_renames);
                store.tidy(&mut disk).unwrap();
                match store.load(&mut disk).unwrap() {
                    Some(found) if found == kept(1) => old += 1,
                    Some(found) if found == kept(2) => new += 1,
                    other => panic!("step {fails_at}, torn {torn}, renames {keep_renames}: {other:?}"),
                }
                if saved.is_ok() {
                    assert_eq!(store.load(&mut disk).unwrap(), Some(kept(2)), "what was saved is kept");
                }
            }
        }
    }
    assert!(old > 0 && new > 0);
}

/// That the test above can fail: without the sync a crash leaves a torn file under the record's name.
#[test]
fn the_crash_test_finds_a_writer_that_does_not_sync() {
    let store = Store::new("n1", 7);
    let mut disk = Faulty { torn: 10, ..Faulty::default() };
    disk.write("n1.7.new", &encode(&kept(2))).unwrap();
    disk.rename("n1.7.new", "n1.state").unwrap();
    let mut disk = disk.after_crash(true);
    assert_eq!(store.load(&mut disk), Err(StateError::Foreign));
}

#[test]
fn a_damaged_record_is_set_aside_and_one_of_a_later_program_left_alone() {
    let store = Store::new("show room/1", 7);
    assert_eq!(store.file(), "show_room_1.state");
    let mut disk = Faulty::default();
    store.save(&mut disk, &kept(1)).unwrap();
    disk.files.get_mut("show_room_1.state").unwrap().0[80] ^= 4;
    assert_eq!(store.load(&mut disk), Err(StateError::Damaged));
    assert_eq!(store.load(&mut disk), Ok(None));
    assert!(disk.files.contains_key("show_room_1.damaged"));
    let later = String::from_utf8(encode(&kept(1))).unwrap().replacen("state 1 ", "state 9 ", 1);
    disk.files.insert("show_room_1.state".into(), (later.into_bytes(), true));
    assert_eq!(store.load(&mut disk), Err(StateError::Version(9)));
    assert!(disk.files.contains_key("show_room_1.state"));
}

#[test]
fn what_other_writers_left_is_removed_and_nothing_else() {
    let store = Store::new("n1", 7);
    let mut disk = Faulty::default();
    for name in ["n1.3.new", "n1.7.new", "n1.state", "n2.3.new", "n1.notes.new", "servers.toml"] {
        disk.files.insert(name.into(), (Vec::new(), true));
    }
    store.tidy(&mut disk).unwrap();
    let left: Vec<&str> = disk.files.keys().map(String::as_str).collect();
    assert_eq!(left, ["n1.7.new", "n1.notes.new", "n1.state", "n2.3.new", "servers.toml"]);
}
