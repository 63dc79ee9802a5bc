//! What a list costs: reading and checking its file, taking it with one weight changed, and keeping generations;
//! each against the plain way, a `BTreeMap` that is built anew. `cargo bench --bench roster`

use std::collections::BTreeMap;

use amberspindle::api::{Micros, ServerEntry, ServerId, ServerState};
use amberspindle::records::Bounds;
use amberspindle::roster::{
    Candidate, Digest, Generation, ListUpdate, ListedServer, OfferOutcome, Roster, SettingNames, ShrinkLimit,
};
use amberspindle::watch::judge::{self, Role, WatchedFile};
use amberspindle::watch::seal::{self, Comment};
use divan::{AllocProfiler, Bencher};

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

const SIZES: [usize; 3] = [100, 10_000, 100_000];

fn main() {
    divan::main();
}

fn bounds() -> Bounds {
    let names = SettingNames { kinds: vec!["std".into()], ..SettingNames::default() };
    Bounds { names, cells: 64 }
}

fn address(n: usize) -> std::net::SocketAddr {
    ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 9000).into()
}

fn listed(n: usize, weight: f64) -> ListedServer {
    let mut entry =
        ServerEntry::new(ServerId::new(&format!("box-{n:06}")), ServerState::Ready, (n % 64) as u32);
    entry.weight = weight;
    ListedServer::new(entry, address(n))
}

/// A list in which one server's weight is told apart from the others'.
fn candidate(size: usize, generation: u8) -> Candidate {
    let weight = |n: usize| if n == size / 2 { f64::from(generation) } else { 1.0 };
    let servers = (0..size).map(|n| listed(n, weight(n))).collect();
    Candidate { digest: Digest([generation; 32]), revision: None, servers }
}

fn roster(size: usize) -> Roster {
    let mut roster = Roster::new(ShrinkLimit { max_dropped_fraction: 0.5, hold: Micros(0) });
    roster.offer(Micros(0), candidate(size, 1));
    roster
}

/// The file, from bytes to checked lines.
#[divan::bench(args = SIZES, sample_count = 20)]
fn read_and_check(bencher: Bencher, size: usize) {
    let line = |n: usize| {
        let (id, address) = (format!("box-{n:06}"), address(n));
        format!(
            "[[server]]\nid = \"{id}\"\naddress = \"{address}\"\ncell = {}\nkind = \"std\"\nweight = 1.0\n\n",
            n % 64
        )
    };
    let text: String = (0..size).map(line).collect();
    let file = seal::close_all([(text.as_bytes(), Comment::Hash)]).remove(0);
    let (name, path) = ("servers.toml".to_owned(), "servers.toml".into());
    let files = [WatchedFile { role: Role::Servers, name, path }];
    let readings = [Ok(file)];
    bencher.bench_local(|| judge::lists(&files, &readings, &|_| false, &bounds()).unwrap());
}

/// The next generation, with one weight changed.
#[divan::bench(args = SIZES, sample_count = 20)]
fn take_roster(bencher: Bencher, size: usize) {
    let roster = roster(size);
    let next = candidate(size, 2);
    bencher.with_inputs(|| (roster.clone(), next.clone())).bench_local_values(|(mut roster, next)| {
        let OfferOutcome::Taken(taken) = roster.offer(Micros(1), next) else { panic!("not taken") };
        assert_eq!(taken.update.servers.len(), 1);
        (roster, taken)
    });
}

/// The same the plain way: a map built anew and held against the old one.
#[divan::bench(args = SIZES, sample_count = 20)]
fn take_plain(bencher: Bencher, size: usize) {
    let map = |c: Candidate| -> BTreeMap<ServerId, ListedServer> {
        c.servers.into_iter().map(|l| (l.entry.id.clone(), l)).collect()
    };
    let old = map(candidate(size, 1));
    let next = candidate(size, 2);
    bencher.with_inputs(|| next.clone()).bench_local_values(|next| {
        let new = map(next);
        let changed: Vec<ListedServer> =
            new.iter().filter(|(id, l)| old.get(*id) != Some(*l)).map(|(_, l)| l.clone()).collect();
        assert_eq!(changed.len() + old.keys().filter(|id| !new.contains_key(*id)).count(), 1);
        (new, changed)
    });
}

/// One line of news from a registry or the board.
#[divan::bench(args = SIZES)]
fn hear_one_line(bencher: Bencher, size: usize) {
    use amberspindle::api::ListKind;
    use amberspindle::roster::Source;
    let roster = roster(size);
    bencher.with_inputs(|| roster.clone()).bench_local_values(|mut roster| {
        let news = ListUpdate { kind: ListKind::Changes, servers: vec![listed(size / 2, 7.0)] };
        let verdict = roster.apply_update(Micros(1), Source::Registry, news);
        assert!(matches!(verdict, OfferOutcome::Taken(_)));
        roster
    });
}

/// Servers in the generations that are kept.
const KEPT: usize = 10_000;

fn changed(generation: usize) -> ListUpdate {
    use amberspindle::api::ListKind;
    ListUpdate {
        kind: ListKind::Changes,
        servers: vec![listed(generation * 37 % KEPT, 7.0 + generation as f64)],
    }
}

/// Bytes that the first generation holds: see the column `max alloc`.
#[divan::bench(sample_count = 10, sample_size = 1)]
fn bytes_of_the_first_generation(bencher: Bencher) {
    let lines = candidate(KEPT, 1).servers;
    bencher.with_inputs(|| ()).bench_local_values(|()| {
        let map: imbl::OrdMap<ServerId, ListedServer> =
            lines.iter().map(|l| (l.entry.id.clone(), l.clone())).collect();
        map
    });
}

/// Bytes that nine more generations hold beside it, each with one weight changed.
#[divan::bench(sample_count = 10, sample_size = 1)]
fn bytes_of_nine_more(bencher: Bencher) {
    let first = roster(KEPT);
    bencher.with_inputs(|| first.clone()).bench_local_values(|mut roster| {
        let kept: Vec<Generation> = (2..=10)
            .map(|n| {
                roster.apply_update(Micros(1), amberspindle::roster::Source::Registry, changed(n));
                roster.current().clone()
            })
            .collect();
        assert_eq!(kept.last().map(|g| g.number), Some(10));
        (roster, kept)
    });
}

/// The same nine in plain maps.
#[divan::bench(sample_count = 10, sample_size = 1)]
fn bytes_of_nine_more_plain(bencher: Bencher) {
    let first: BTreeMap<ServerId, ListedServer> =
        candidate(KEPT, 1).servers.into_iter().map(|l| (l.entry.id.clone(), l)).collect();
    bencher.with_inputs(|| ()).bench_local_values(|()| {
        let mut kept = vec![first.clone()];
        for n in 2..10 {
            let mut next = kept[kept.len() - 1].clone();
            next.extend(changed(n).servers.into_iter().map(|l| (l.entry.id.clone(), l)));
            kept.push(next);
        }
        kept
    });
}
