use super::*;
use crate::api::ServerState;
use crate::roster::SettingNames;
use seal::Comment;
use std::path::Path;

const T: Micros = Micros(1_000_000_000_000);

fn ms(span: u64) -> Micros {
    T + Micros(span * 1000)
}

pub(super) fn bounds() -> Bounds {
    let names = |of: &[&str]| of.iter().map(|s| (*s).to_owned()).collect();
    let (classes, tenants) = (names(&["paid", "clip"]), names(&["home"]));
    Bounds {
        names: SettingNames {
            classes,
            tenants,
            zones: names(&["east", "west"]),
            kinds: names(&["std", "big"]),
            ..SettingNames::default()
        },
        cells: 3,
    }
}

fn watched(roles: &[Role]) -> Vec<WatchedFile> {
    let file = |role: &Role| {
        let name = if *role == Role::Script { "hook.rhai".into() } else { format!("{}.toml", role.name()) };
        WatchedFile { role: *role, path: PathBuf::from(&name), name }
    };
    roles.iter().map(file).collect()
}

fn setup(roles: &[Role], unsealed: bool) -> WatchConfig {
    let script = watched(&[Role::Script]).remove(0);
    WatchConfig {
        lists: watched(roles),
        script: Some((script, 10_000)),
        base: PathBuf::new(),
        unsealed,
        notify: true,
        poll: Micros(2_000_000),
        most: 1 << 20,
        plausible: ShrinkLimit { max_dropped_fraction: 0.5, hold: Micros(0) },
        state: None,
    }
}

pub(super) fn server(id: &str, port: u16, cell: u32) -> String {
    format!("[[server]]\nid = \"{id}\"\naddress = \"127.0.0.1:{port}\"\ncell = {cell}\n\n")
}

fn sealed(texts: &[&str]) -> Vec<Vec<u8>> {
    seal::close_all(texts.iter().map(|t| (t.as_bytes(), Comment::Hash)))
}

fn judge_all(files: &[WatchedFile], readings: Vec<Reading>) -> Result<Lists, Refusal> {
    judge::lists(files, &readings, &|_| false, &bounds())
}

// ---- What files make a list ----

/// The pure part of the writer that stops at every byte: over generated lists, with files that were cut, changed
/// in one byte, written over in place, appended to, or taken of two generations, nothing is ever taken but the old
/// whole set or the new one.
#[test]
fn nothing_but_a_whole_generation_is_ever_taken() {
    use proptest::prelude::*;
    let list = || proptest::collection::btree_map("[a-z]{1,8}", (1u16..500, 0u32..3, 1u32..90), 1..6);
    let text = |list: &std::collections::BTreeMap<String, (u16, u32, u32)>, revision: u32| {
        let (mut servers, mut weights) = (format!("revision = {revision}\n\n"), "[weights]\n".to_owned());
        for (i, (id, (port, cell, weight))) in list.iter().enumerate() {
            servers += &server(id, port * 7 + i as u16, *cell);
            weights += &format!("{id} = {weight}\n");
        }
        [servers, weights]
    };
    let config = ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    };
    proptest!(config, |(old in list(), new in list())| {
        let files = watched(&[Role::Servers, Role::Weights]);
        let make = |texts: &[String; 2]| sealed(&[&texts[0], &texts[1]]);
        let (old, new) = (make(&text(&old, 1)), make(&text(&new, 2)));
        let digest = |set: &[Vec<u8>]| judge_all(&files, set.iter().cloned().map(Ok).collect()).map(|l| l.digest);
        let (was, is) = (digest(&old), digest(&new));
        prop_assert!(was.is_ok() && is.is_ok(), "both are lists");
        let known = |set: &[Vec<u8>]| match digest(set) {
            Ok(digest) => set == old && Ok(digest) == was || set == new && Ok(digest) == is,
            Err(_) => set != old && set != new,
        };
        for file in 0..2 {
            // The other file is that of either generation.
            for other in [&old, &new] {
                let put = |bytes: Vec<u8>| {
                    let mut set = other.to_vec();
                    set[file] = bytes;
                    set
                };
                for cut in 0..=new[file].len() {
                    prop_assert!(known(&put(new[file][..cut].to_vec())), "cut at {cut}");
                    // Written over in place: the rest of the old one still stands behind it.
                    let rest = old[file].get(cut..).unwrap_or(&[]);
                    prop_assert!(known(&put([&new[file][..cut], rest].concat())), "written over to {cut}");
                    prop_assert!(known(&put([&old[file][..], &new[file][..cut]].concat())), "appended to {cut}");
                }
                for at in 0..new[file].len() {
                    let mut bytes = new[file].clone();
                    bytes[at] ^= 1 << (at % 8);
                    prop_assert!(known(&put(bytes)), "byte {at} changed");
                }
            }
        }
    });
}

#[test]
fn files_of_two_generations_are_no_list_in_either_order() {
    let files = watched(&[Role::Servers, Role::Weights]);
    let old = sealed(&[&server("a", 1, 0), "[weights]\na = 1\n"]);
    let new = sealed(&[&server("a", 1, 0), "[weights]\na = 2\n"]);
    assert!(judge_all(&files, vec![Ok(old[0].clone()), Ok(old[1].clone())]).is_ok());
    for (servers, weights) in [(&old[0], &new[1]), (&new[0], &old[1])] {
        let refusal = judge_all(&files, vec![Ok(servers.clone()), Ok(weights.clone())]).unwrap_err();
        assert!(refusal.unfinished);
        let told = refusal.findings[0].to_string();
        assert!(told.contains("seal them together: amberspindle seal servers.toml weights.toml"), "{told}");
    }
    // Each sealed alone is no set either.
    let alone = [sealed(&[&server("a", 1, 0)]).remove(0), sealed(&["[weights]\na = 1\n"]).remove(0)];
    assert!(judge_all(&files, alone.into_iter().map(Ok).collect()).unwrap_err().unfinished);
}

#[test]
fn weights_go_before_those_of_the_list_and_belong_to_servers_that_it_names() {
    let files = watched(&[Role::Servers, Role::Weights]);
    let list = format!("{}\nweight = 3\n", server("a", 1, 0).trim_end());
    let judge = |weights: &str| {
        let set = sealed(&[&list, weights]);
        judge_all(&files, set.into_iter().map(Ok).collect())
    };
    let weight = |lists: Lists| lists.servers.unwrap().servers[0].entry.weight;
    assert_eq!(weight(judge("[weights]\na = 2.5\n").unwrap()), 2.5);
    assert_eq!(weight(judge("[weights]\n").unwrap()), 3.0);
    let refusal = judge("[weights]\na = 1\nb = 1\n").unwrap_err();
    assert_eq!(
        refusal.findings[0].to_string(),
        "weights.toml:3: weights.b: servers.toml names no such server"
    );
    assert!(!refusal.unfinished);
}

/// Each bad file with the message that it must give.
#[test]
fn bad_files_are_refused_with_the_line_and_the_field() {
    let a = server("a", 1, 0);
    let b = |more: &str| format!("{a}[[server]]\nid = \"b\"\naddress = \"127.0.0.1:2\"\ncell = 1\n{more}\n");
    let with = |id: &str, address: &str, cell: &str| {
        format!("{a}[[server]]\nid = {id}\naddress = {address}\ncell = {cell}\n")
    };
    let (id, at) = ("\"b\"", "\"127.0.0.1:2\"");
    let above = "is not above 0 and at most 1000000";
    let servers: Vec<(String, String)> = vec![
        (with("\"a\"", at, "0"), "7: server[1].id: a is there twice, first as server[0]".into()),
        (with("\"a\"", at, "2"), "7: server[1].id: a is there twice, first as server[0], in cells 0 and 2".into()),
        (with(id, "\"127.0.0.1:1\"", "1"), "8: server[1].address: 127.0.0.1:1 is the address of a too".into()),
        (b("weight = -2.0"), format!("10: server[1].weight: -2 {above}")),
        (b("weight = 0"), format!("10: server[1].weight: 0 {above}")),
        (b("weight = inf"), format!("10: server[1].weight: inf {above}")),
        (b("weight = nan"), format!("10: server[1].weight: NaN {above}")),
        (b("weight = 1e7"), format!("10: server[1].weight: 10000000 {above}")),
        (b("weight = \"2\""), "10: server[1].weight: invalid type: string \"2\", expected f64".into()),
        (b("kind = \"huge\""), "10: server[1].kind: no such kind: huge; the settings name std, big".into()),
        (b("zone = \"north\""), "10: server[1].zone: no such zone: north; the settings name east, west".into()),
        (b("state = \"up\""), "10: server[1].state: unknown variant `up`, expected one of `ready`, `draining`, `gone`".into()),
        (b("wieght = 2"), "10: server[1].wieght: no such key; known here: `id`, `address`, `url`, `end`, `events`, `cell`, `kind`, `zone`, `weight`, `state`, `started_ms`".into()),
        (b("started_ms = -1"), "10: server[1].started_ms: invalid value: integer `-1`, expected u64".into()),
        (with(id, at, "99999"), "9: server[1].cell: 99999 is beyond the last cell, 2 (settings.FamilyInfo.Places = 3)".into()),
        (with(id, at, "-1"), "9: server[1].cell: invalid value: integer `-1`, expected u32".into()),
        (with(id, "\"box:80\"", "1"), "8: server[1].address: not an address of the form IP:PORT".into()),
        (with(id, "\"127.0.0.1:0\"", "1"), "8: server[1].address: port 0".into()),
        (with("\"\"", at, "1"), "7: server[1].id: empty".into()),
        (with("\"b c\"", at, "1"), "7: server[1].id: holds a space or a control character".into()),
        (with(&format!("\"{}\"", "x".repeat(300)), at, "1"), "7: server[1].id: longer than 255 bytes".into()),
        (with("7", at, "1"), "7: server[1].id: invalid type: integer `7`, expected a string".into()),
        (format!("{a}[[server]]\nid = \"b\"\ncell = 1\n"), "6: server[1].address: required, or a url".into()),
        (format!("{a}[[servr]]\nid = \"b\"\n"), "6: servr: no such key; known here: `revision` or `server`".into()),
        (format!("revision = -1\n{a}"), "1: revision: invalid value: integer `-1`, expected u64".into()),
        (format!("{a}[[server]\n"), "6: not TOML: ".into()),
        (format!("{a}a = 1\na = 2\n"), "7: not TOML: duplicate key".into()),
    ];
    let files = watched(&[Role::Servers]);
    for (text, told) in &servers {
        let refusal = judge_all(&files, vec![Ok(sealed(&[text]).remove(0))]).unwrap_err();
        assert!(!refusal.unfinished, "{text}");
        let found = refusal.findings[0].to_string();
        assert!(found.starts_with(&format!("servers.toml:{told}")), "{found}\n not {told}");
    }
    let title = |more: &str| format!("[[title]]\nname = \"t\"\n{more}\n");
    let titles: Vec<(String, &str)> = vec![
        (
            title("class = \"gold\"\nhome = 0\ncopies = 1"),
            "3: title[0].class: no such class: gold; the settings name paid, clip",
        ),
        (title("class = \"clip\"\nhome = 3\ncopies = 1"), "4: title[0].home: 3 is beyond the last cell, 2"),
        (title("class = \"clip\"\nhome = 0\ncopies = 0"), "5: title[0].copies: 0 is not between 1 and 3"),
        (
            title("class = \"clip\"\nhome = 0\ncopies = 1\ntenant = \"x\""),
            "6: title[0].tenant: no such tenant: x; the settings name home",
        ),
        (
            title("class = \"clip\"\nhome = 0\ncopies = 1").repeat(2),
            "7: title[1].name: t is there twice, first as title[0]",
        ),
        ("# none\n".into(), " title: none, but the WHIP front needs one"),
    ];
    let files = watched(&[Role::Titles]);
    for (text, told) in &titles {
        let refusal = judge_all(&files, vec![Ok(sealed(&[text]).remove(0))]).unwrap_err();
        let found = refusal.findings[0].to_string();
        assert!(found.starts_with(&format!("titles.toml:{told}")), "{found}\n not {told}");
    }
    let files = watched(&[Role::Servers]);
    let unread = [
        (Err(ReadError::Missing), "not there"),
        (Err(ReadError::Folder), "a folder, not a file"),
        (Err(ReadError::Special), "no plain file"),
        (Err(ReadError::Denied), "no right to read it"),
        (Err(ReadError::Circle), "its links go in a circle"),
        (Err(ReadError::TooLong(2048)), "longer than 2 KiB (watch.most_kb)"),
        (Ok(b"# \xff\n".to_vec()), "not UTF-8"),
        (
            Ok(a.clone().into_bytes()),
            "not sealed, or not whole; once it is whole: amberspindle seal servers.toml",
        ),
    ];
    for (reading, told) in unread {
        let found = judge_all(&files, vec![reading]).unwrap_err().findings[0].to_string();
        assert!(found.starts_with("servers.toml:") && found.contains(told), "{found}");
    }
}

#[test]
fn one_that_is_gone_leaves_its_address_to_another() {
    let text = format!("{}\nstate = \"gone\"\n{}", server("a", 1, 0).trim_end(), server("b", 1, 0));
    let lists = judge_all(&watched(&[Role::Servers]), vec![Ok(sealed(&[&text]).remove(0))]).unwrap();
    let states: Vec<ServerState> = lists.servers.unwrap().servers.iter().map(|l| l.entry.state).collect();
    assert_eq!(states, [ServerState::Gone, ServerState::Ready]);
}

// ---- When files are read, and what is told ----

/// A watch over files in memory.
struct World {
    watch: Watch,
    now: Micros,
    files: Vec<Option<(Vec<u8>, u64)>>,
    script: (Vec<u8>, u64),
    writes: u64,
    reads: usize,
    looks: usize,
    told: Vec<WatchEvent>,
}

impl World {
    fn new(roles: &[Role], unsealed: bool) -> World {
        let script = b"fn on_request(r) { }\n".as_slice();
        let script = seal::close_all([(script, Comment::Slashes)]).remove(0);
        World {
            watch: Watch::new(setup(roles, unsealed), bounds(), T),
            now: T,
            files: vec![None; roles.len()],
            script: (script, 0),
            writes: 0,
            reads: 0,
            looks: 0,
            told: Vec::new(),
        }
    }

    fn put(&mut self, file: usize, bytes: &[u8]) {
        self.writes += 1;
        self.files[file] = Some((bytes.to_vec(), self.writes));
    }

    fn stamp(&self, file: usize, of: &(Vec<u8>, u64)) -> Stamp {
        // Written long before it is looked at, so that the stamp hides nothing.
        let at = 1_000_000_000 + i128::from(of.1);
        Stamp { file: (1, file as u64), size: of.0.len() as u64, written: at, changed: at }
    }

    fn all(&self, set: SetId) -> Vec<Read> {
        match set {
            SetId::Script => vec![Ok((self.script.0.clone(), self.stamp(9, &self.script)))],
            SetId::Lists => {
                let one = |(i, f): (usize, &Option<(Vec<u8>, u64)>)| match f {
                    None => Err(ReadError::Missing),
                    Some(file) => Ok((file.0.clone(), self.stamp(i, file))),
                };
                self.files.iter().enumerate().map(one).collect()
            }
        }
    }

    /// Lets time pass up to a moment; gives what was told.
    fn until(&mut self, at: Micros) -> Vec<WatchEvent> {
        let mut told = Vec::new();
        loop {
            while let Some(act) = self.watch.due(self.now, &mut told) {
                match act {
                    Act::Read(set) => {
                        self.reads += usize::from(set == SetId::Lists);
                        let reads = self.all(set);
                        self.watch.read(self.now, self.now, set, reads, &mut told);
                    }
                    Act::Look(set) => {
                        self.looks += usize::from(set == SetId::Lists);
                        let stamps: Vec<_> =
                            self.all(set).iter().map(|r| r.as_ref().ok().map(|(_, s)| *s)).collect();
                        self.watch.looked(self.now, set, &stamps);
                    }
                }
            }
            let next = self.watch.next_due();
            if next > at {
                break;
            }
            self.now = self.now.max(next);
        }
        self.now = at;
        self.told.extend(told.iter().cloned());
        told
    }

    fn touch(&mut self, role: Role, touch: Touch) {
        self.watch.touched(self.now, Some(role), touch);
    }
}

fn lists(told: &[WatchEvent]) -> Vec<usize> {
    let count = |t: &WatchEvent| match t {
        WatchEvent::Lists(lists, _) => Some(lists.servers.as_ref().map_or(0, |s| s.servers.len())),
        _ => None,
    };
    told.iter().filter_map(count).collect()
}

fn refused(told: &[WatchEvent]) -> Vec<String> {
    let text = |t: &WatchEvent| match t {
        WatchEvent::Refused { finding, .. } => Some(finding.to_string()),
        _ => None,
    };
    told.iter().filter_map(text).collect()
}

#[test]
fn a_burst_of_touches_costs_one_reading_and_comes_through_at_once() {
    let mut world = World::new(&[Role::Servers], false);
    world.put(0, &sealed(&[&server("a", 1, 0)])[0]);
    let first = world.until(T);
    assert_eq!(lists(&first), [1]);
    assert!(first.iter().any(|t| matches!(t, WatchEvent::Script(..))));
    world.until(ms(500));
    world.put(0, &sealed(&[&[server("a", 1, 0), server("b", 2, 1)].concat()])[0]);
    for _ in 0..50 {
        world.touch(Role::Servers, Touch::Other);
    }
    let reads = world.reads;
    assert_eq!(lists(&world.until(ms(520))), [2]);
    assert_eq!(world.reads, reads + 1);
}

#[test]
fn a_change_that_the_system_does_not_tell_of_is_seen_at_the_next_look() {
    let mut world = World::new(&[Role::Servers], false);
    world.put(0, &sealed(&[&server("a", 1, 0)])[0]);
    world.until(ms(1900));
    let (reads, looks) = (world.reads, world.looks);
    world.put(0, &sealed(&[&server("a", 1, 2)])[0]);
    assert_eq!(lists(&world.until(ms(2100))), [1]);
    world.until(ms(60_000));
    assert_eq!(world.reads, reads + 1, "nothing is read that has not changed");
    assert!(world.looks - looks <= 31, "{} looks", world.looks - looks);
}

/// A file that flaps each 10 ms is read ten times a second at most and logs a line a second for its cause.
#[test]
fn a_file_that_flaps_is_read_and_told_of_within_bounds() {
    let mut world = World::new(&[Role::Servers], false);
    let good = sealed(&[&server("a", 1, 0)]).remove(0);
    world.put(0, &good);
    world.until(ms(1000));
    let reads = world.reads;
    let mut told = Vec::new();
    for i in 0..1000u64 {
        let text = match i % 3 {
            0 => good[..good.len() / 2].to_vec(),
            1 => sealed(&[&server("a", 1, 7)]).remove(0),
            _ => format!("{}\n", "x".repeat(i as usize)).into_bytes(),
        };
        world.put(0, &text);
        world.touch(Role::Servers, Touch::Other);
        told.extend(world.until(ms(1000 + i * 10)));
    }
    assert!(world.reads - reads <= 101, "{} reads", world.reads - reads);
    assert!(world.reads - reads >= 50, "{} reads", world.reads - reads);
    let mut by_cause: BTreeMap<String, usize> = BTreeMap::new();
    for line in refused(&told) {
        let field = if line.contains("server[0].cell") { "cell" } else { "file" };
        *by_cause.entry(field.into()).or_default() += 1;
    }
    assert!(by_cause.values().all(|n| *n <= 11), "{by_cause:?}");
    assert!(lists(&told).is_empty());
    world.put(0, &good);
    world.touch(Role::Servers, Touch::Other);
    assert_eq!(lists(&world.until(ms(11_200))), [1], "and the next good one is taken");
}

/// A slow disk, or a list that takes long to check, leaves most of the time to others.
#[test]
fn slow_readings_are_made_less_often() {
    let mut watch = Watch::new(setup(&[Role::Servers], false), bounds(), T);
    let mut told = Vec::new();
    while let Some(act) = watch.due(T, &mut told) {
        if let Act::Read(set) = act {
            watch.read(T, ms(700), set, vec![Err(ReadError::Missing)], &mut told);
        }
    }
    watch.touched(ms(800), Some(Role::Servers), Touch::Other);
    assert_eq!(watch.sets[0].read_at, Some(ms(700 + 4 * 700)));
}

#[test]
fn a_writer_gets_a_second_before_its_unfinished_file_is_told_of() {
    let mut world = World::new(&[Role::Servers], false);
    let good = sealed(&[&server("a", 1, 0)]).remove(0);
    world.put(0, &good);
    world.until(ms(500));
    world.put(0, &good[..40]);
    world.touch(Role::Servers, Touch::Other);
    let told = world.until(ms(1400));
    assert!(told.contains(&WatchEvent::Withdrawn) && refused(&told).is_empty(), "{told:?}");
    // It goes on in time: nothing was said.
    world.put(0, &good);
    world.touch(Role::Servers, Touch::Other);
    assert_eq!(lists(&world.until(ms(1450))), [1]);
    // It stops for good: it is said once.
    world.put(0, &good[..40]);
    world.touch(Role::Servers, Touch::Other);
    let told = world.until(ms(60_000));
    assert_eq!(refused(&told).len(), 1, "{told:?}");
    assert!(refused(&told)[0].contains("not sealed, or not whole"));
    // A file that vanishes likewise, and the operator's signal asks for the word once more.
    world.files[0] = None;
    world.touch(Role::Servers, Touch::Other);
    assert_eq!(refused(&world.until(ms(70_000))), ["servers.toml: not there"]);
    for i in 0..5 {
        world.watch.asked(world.now);
        assert_eq!(refused(&world.until(ms(80_000 + i))), ["servers.toml: not there"], "at once, each time");
    }
}

#[test]
fn what_is_wrong_is_told_at_once_and_once() {
    let mut world = World::new(&[Role::Servers], false);
    world.put(0, &sealed(&[&server("a", 1, 9)])[0]);
    let told = world.until(ms(10));
    assert_eq!(refused(&told).len(), 1);
    for i in 1..20 {
        world.touch(Role::Servers, Touch::Other);
        assert!(refused(&world.until(ms(10 + 2000 * i))).is_empty());
    }
    world.put(0, &sealed(&[&[server("a", 1, 9), server("a", 1, 9)].concat()])[0]);
    world.touch(Role::Servers, Touch::Other);
    assert_eq!(refused(&world.until(ms(50_000))).len(), 3, "what is new is told");
}

#[test]
fn without_a_seal_only_a_rename_that_nothing_followed_proves_a_file() {
    let mut world = World::new(&[Role::Servers], true);
    let text = |n: u16| server("a", n, 0).into_bytes();
    // What was there at the start has no proof.
    world.put(0, &text(1));
    assert!(lists(&world.until(ms(1500))).is_empty());
    assert!(refused(&world.told)[0].contains("amberspindle seal servers.toml"), "{:?}", world.told);
    // A rename has.
    world.put(0, &text(2));
    world.touch(Role::Servers, Touch::Renamed);
    assert_eq!(lists(&world.until(ms(1600))), [1]);
    // Written in place: none, also where a look finds it.
    world.put(0, &text(3));
    world.touch(Role::Servers, Touch::Other);
    assert!(lists(&world.until(ms(3000))).is_empty());
    // A rename, and a writer that goes on in the new file before the reading has settled.
    world.put(0, &text(4));
    world.touch(Role::Servers, Touch::Renamed);
    world.until(ms(3020));
    world.touch(Role::Servers, Touch::Other);
    assert!(lists(&world.until(ms(5000))).is_empty());
    // A seal needs no rename.
    world.put(0, &sealed(&[&server("a", 5, 0)])[0]);
    world.touch(Role::Servers, Touch::Other);
    assert_eq!(lists(&world.until(ms(5200))), [1]);
}

#[test]
fn a_content_that_was_in_use_before_a_restart_needs_no_rename() {
    let mut world = World::new(&[Role::Servers], true);
    let text = server("a", 1, 0);
    world.watch.proved(SetId::Lists, seal::set([seal::digest(text.as_bytes())]));
    world.put(0, text.as_bytes());
    assert_eq!(lists(&world.until(ms(10))), [1]);
    world.put(0, server("a", 2, 0).as_bytes());
    world.touch(Role::Servers, Touch::Other);
    assert!(lists(&world.until(ms(1000))).is_empty());
}

#[test]
fn a_script_is_told_when_it_is_new_and_good() {
    let mut world = World::new(&[], false);
    let scripts = |told: &[WatchEvent]| told.iter().filter(|t| matches!(t, WatchEvent::Script(..))).count();
    assert_eq!(scripts(&world.until(ms(10))), 1);
    world.watch.asked(world.now);
    let told = world.until(ms(1000));
    assert_eq!(scripts(&told), 0, "the same again is nothing");
    assert!(told.iter().any(|t| matches!(t, WatchEvent::SameScript(_))), "but who asks is told");
    let bad = seal::close_all([(b"fn on_request(".as_slice(), Comment::Slashes)]).remove(0);
    world.script = (bad, 1);
    world.touch(Role::Script, Touch::Other);
    let told = world.until(ms(2000));
    assert!(refused(&told)[0].starts_with("hook.rhai: can't be read"), "{told:?}");
    assert!(!told.contains(&WatchEvent::Withdrawn), "the lists have nothing to do with it");
}

#[test]
fn sealing_refuses_what_is_no_toml_and_keeps_the_rest_as_it_was() {
    let names = ["servers.toml".to_owned(), "hook.rhai".to_owned()];
    let texts = [b"# mine\na = 1".to_vec(), b"fn on_request(r) { }".to_vec()];
    let files = check::seal(&names, &texts).unwrap();
    assert!(files[0].starts_with(b"# mine\na = 1\n# amberspindle-seal 1 "));
    assert!(files[1].starts_with(b"fn on_request(r) { }\n// amberspindle-seal 1 "));
    let cut = check::seal(&names, &[b"[[server]\n".to_vec(), texts[1].clone()]).unwrap_err();
    assert!(cut.to_string().starts_with("servers.toml:1: not TOML"), "{cut}");
}

#[test]
fn checking_tells_all_that_is_wrong_with_the_files() {
    let mut setup = setup(&[Role::Servers, Role::Titles], false);
    let read = |good: bool| {
        move |path: &Path, _: u64| -> Read {
            let titles = "[[title]]\nname = \"t\"\nclass = \"clip\"\nhome = 0\ncopies = 1\n";
            let list = server("a", 1, if good { 0 } else { 9 });
            let mut set = sealed(&[&list, titles]);
            let bytes = match path.to_str().unwrap() {
                "servers.toml" => set.remove(0),
                "titles.toml" => set.remove(1),
                _ => return Err(ReadError::Missing),
            };
            let stamp = Stamp { file: (0, 0), size: 0, written: 0, changed: 0 };
            Ok((bytes, stamp))
        }
    };
    let found = check::check(&setup, &bounds(), &read(false)).unwrap_err();
    let lines: Vec<String> = found.0.iter().map(Finding::to_string).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("servers.toml:4: server[0].cell:") && lines[1] == "hook.rhai: not there");
    setup.script = None;
    let words = check::check(&setup, &bounds(), &read(true)).unwrap();
    assert!(words.starts_with(", 1 servers, 1 titles, digest "), "{words}");
}
