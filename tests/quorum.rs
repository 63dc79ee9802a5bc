//! Processes of a quorum without sockets: machines, their journals in memory, and links that are instant. Trials of
//! real processes are in `trials`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amberspindle::api::Micros;
use amberspindle::config::Config;
use amberspindle::quorum::book::Change;
use amberspindle::quorum::council::ReplaceError;
use amberspindle::quorum::founding::Barred;
use amberspindle::quorum::frame::Frame;
use amberspindle::quorum::fronts::FleetPosition;
use amberspindle::quorum::journal;
use amberspindle::quorum::machine::Event;
use amberspindle::quorum::record::Done;
use amberspindle::quorum::{
    BootTime, Duty, Incarnation, Input, Machine, Name, Out, QuorumConfig, Voter, VoterId,
};
use amberspindle::rules::standing::{LocalRules, RateDecision, RulesFreshness};
use amberspindle::rules::version::{Proposal, ProposeError};

const VOTERS: u64 = 3;
const MEMBERS: u64 = 5;
/// Those that keep a folder and do not vote at first.
const SPARES: std::ops::RangeInclusive<u64> = 4..=5;

fn setup(n: u64) -> QuorumConfig {
    let voter = |n: u64| Voter { name: Name(format!("m{n}")), address: ([127, 0, 0, 1], n as u16).into() };
    QuorumConfig {
        cluster: "c".into(),
        name: Name(format!("m{n}")),
        listen: None,
        folder: None,
        voters: (1..=VOTERS).map(voter).collect(),
        spares: (SPARES).map(voter).collect(),
        lease: Micros(1_000_000),
        beat: Micros(200_000),
        election: Micros(100_000),
        drift: 0.05,
        stuck: Micros(60_000_000),
        gone: Micros(3_000_000),
        fresh: Micros(1_900_000),
        fronts: Some(Micros(1_000_000)),
        duties: vec![(Duty("idle".into()), 1), (Duty("record".into()), 1)],
        record: None,
    }
}

/// What travels: from whom, to whom, and on which side of a link.
enum Travels {
    Called(u64, u64, Frame),
    Answer(u64, u64, Frame),
    Wrote(u64, u64),
    Hang(u64, u64),
}

/// All processes, on one clock.
struct World {
    now: BootTime,
    machines: BTreeMap<u64, Machine>,
    journals: BTreeMap<u64, Vec<u8>>,
    /// Whom each dials, by the number that it has as a voter.
    dials: BTreeMap<(u64, u64), VoterId>,
    /// Those that reach nobody and are not reached.
    cut: BTreeSet<u64>,
    /// Links that are up, from a member to a voter.
    links: BTreeMap<(u64, u64), VoterId>,
    travels: VecDeque<Travels>,
    runs: u64,
    /// What each acts on.
    rules: BTreeMap<u64, LocalRules>,
    /// What the module of each was told last.
    fronts: BTreeMap<u64, FleetPosition>,
    events: Vec<(u64, Event)>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            now: BootTime(1_000_000),
            machines: BTreeMap::new(),
            journals: BTreeMap::new(),
            dials: BTreeMap::new(),
            cut: BTreeSet::new(),
            links: BTreeMap::new(),
            travels: VecDeque::new(),
            runs: 0,
            rules: BTreeMap::new(),
            fronts: BTreeMap::new(),
            events: Vec::new(),
        };
        (1..=MEMBERS).for_each(|n| world.start(n));
        world
    }

    /// Starts a process with whatever its journal holds.
    fn start(&mut self, n: u64) {
        self.runs += 1;
        let kept = self.journals.entry(n).or_default();
        let read = journal::read(kept).map_err(|e| Barred::Folder(e.to_string()));
        kept.truncate(read.as_ref().ok().and_then(|r| r.as_ref()).map_or(kept.len(), |r| r.good));
        let mut out = Vec::new();
        let machine = Machine::new(&setup(n), Incarnation(self.runs), Some(read), self.now, &mut out);
        self.machines.insert(n, machine);
        self.carry_out(n, out);
    }

    fn kill(&mut self, n: u64) {
        self.machines.remove(&n);
        self.dials.retain(|(from, _), _| *from != n);
        let down: Vec<_> = self.links.keys().filter(|(a, b)| *a == n || *b == n).copied().collect();
        for link in down {
            self.down(link);
        }
        self.travels.retain(|t| !matches!(t, Travels::Wrote(of, _) if *of == n));
    }

    fn cut(&mut self, n: u64) {
        self.cut.insert(n);
        let down: Vec<_> = self.links.keys().filter(|(a, b)| *a == n || *b == n).copied().collect();
        for link in down {
            self.down(link);
        }
    }

    /// Proposes a limit for all, at the leader.
    fn propose(&mut self, most_per_s: u32) -> Result<u64, ProposeError> {
        let leader = self.leader().unwrap();
        self.input(leader, Input::Accepted(99));
        let text = format!("[[limit]]\nmost_per_s = {most_per_s}\n");
        let asked = Frame::Propose(Box::new(Proposal { text, ..Proposal::default() }));
        let mut out = Vec::new();
        self.machines.get_mut(&leader).unwrap().handle(self.now, Input::Called(99, asked), &mut out);
        let done = out.iter().find_map(|o| match o {
            Out::Reply(99, Frame::Proposed(done)) => Some(done.clone()),
            _ => None,
        });
        self.carry_out(leader, out);
        self.input(leader, Input::Hung(99));
        done.unwrap()
    }

    /// What each is held to now.
    fn held(&self) -> BTreeMap<u64, (RulesFreshness, RateDecision)> {
        let of = |(n, s): (&u64, &LocalRules)| (*n, (s.sure(self.now), s.ruling(self.now, "", "")));
        self.rules.iter().map(of).collect()
    }

    fn down(&mut self, (from, to): (u64, u64)) {
        let Some(id) = self.links.remove(&(from, to)) else { return };
        self.travels.retain(|t| match t {
            Travels::Called(a, b, _) => (*a, *b) != (from, to),
            Travels::Answer(a, b, _) => (*a, *b) != (from, to),
            Travels::Hang(a, b) => (*a, *b) != (from, to),
            Travels::Wrote(..) => true,
        });
        self.input(from, Input::Down(id));
        self.input(to, Input::Hung(from));
    }

    fn input(&mut self, n: u64, input: Input) {
        let mut out = Vec::new();
        if let Some(machine) = self.machines.get_mut(&n) {
            machine.handle(self.now, input, &mut out);
        }
        self.carry_out(n, out);
    }

    fn carry_out(&mut self, n: u64, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Dial(id, address) => {
                    self.dials.insert((n, u64::from(address.port())), id);
                }
                Out::Leave(id) => {
                    let gone: Vec<_> = self
                        .dials
                        .iter()
                        .filter(|((f, _), i)| *f == n && **i == id)
                        .map(|(l, _)| *l)
                        .collect();
                    gone.iter().for_each(|link| {
                        self.dials.remove(link);
                    });
                    self.travels.extend(gone.into_iter().map(|(from, to)| Travels::Hang(from, to)));
                }
                Out::Send(id, frame) => {
                    let to = self.links.iter().find(|((from, _), i)| *from == n && **i == id);
                    if let Some(((_, to), _)) = to {
                        self.travels.push_back(Travels::Called(n, *to, frame));
                    }
                }
                Out::Reply(conn, frame) => self.travels.push_back(Travels::Answer(conn, n, frame)),
                // What was said before still arrives here too.
                Out::Redial(id, _) => {
                    let link = self.links.iter().find(|((from, _), i)| *from == n && **i == id);
                    let link = link.map(|((from, to), _)| Travels::Hang(*from, *to));
                    self.travels.extend(link);
                }
                // What was said before still arrives.
                Out::Close(conn, _) => self.travels.push_back(Travels::Hang(conn, n)),
                Out::Write(number, bytes) => {
                    self.journals.entry(n).or_default().extend(bytes);
                    self.travels.push_back(Travels::Wrote(n, number));
                }
                Out::Rewrite(number, bytes) => {
                    self.journals.insert(n, bytes);
                    self.travels.push_back(Travels::Wrote(n, number));
                }
                Out::Record(job) => self.input(n, Input::Recorded(job.epoch, Done::Written)),
                Out::FleetPosition(fronts) => {
                    self.fronts.insert(n, fronts);
                }
                Out::Rules(standing) => {
                    self.rules.insert(n, standing);
                }
                Out::Tell(event) => self.events.push((n, event)),
            }
        }
    }

    /// Lets time go by; links come up by themselves.
    fn pass(&mut self, span: u64) {
        let until = BootTime(self.now.0 + span);
        while self.now < until {
            self.now = BootTime(self.now.0 + 10_000);
            for ((from, to), id) in self.dials.clone() {
                let cut = self.cut.contains(&from) || self.cut.contains(&to);
                if !cut && self.machines.contains_key(&to) && !self.links.contains_key(&(from, to)) {
                    self.links.insert((from, to), id);
                    self.input(to, Input::Accepted(from));
                    self.input(from, Input::Up(id));
                }
            }
            for n in 1..=MEMBERS {
                if self.machines.get(&n).is_some_and(|m| m.next() <= self.now) {
                    self.input(n, Input::Tick);
                }
            }
            let mut steps = 0;
            while let Some(next) = self.travels.pop_front() {
                steps += 1;
                assert!(steps < 100_000, "it never comes to rest");
                match next {
                    Travels::Called(from, to, frame) => self.input(to, Input::Called(from, frame)),
                    Travels::Answer(to, from, frame) => {
                        if let Some(id) = self.links.get(&(to, from)).copied() {
                            self.input(to, Input::Answer(id, frame));
                        }
                    }
                    Travels::Wrote(n, number) => self.input(n, Input::Written(number)),
                    Travels::Hang(from, to) if self.links.contains_key(&(from, to)) => self.down((from, to)),
                    Travels::Hang(..) => {}
                }
            }
        }
    }

    /// Those that vote, as any that knows the last council says.
    fn votes(&self) -> impl Iterator<Item = u64> + use<> {
        let last = self.machines.values().map(|m| m.status(self.now)).max_by_key(|s| s.council);
        let number = |name: &Name| name.0.strip_prefix('m').and_then(|n| n.parse().ok());
        last.into_iter().flat_map(|s| s.voters).filter_map(move |v| number(&v.name))
    }

    /// The voter that leads, vouched for by a majority.
    fn leader(&self) -> Option<u64> {
        self.machines.iter().find(|(_, m)| m.status(self.now).confirmed).map(|(n, _)| *n)
    }

    /// Has a voter replaced by the command's frame.
    fn replace(&mut self, gone: u64, new: u64) {
        let leader = self.leader().unwrap();
        let council = self.machines[&leader].status(self.now).council;
        self.input(leader, Input::Accepted(99));
        let name = |n| Name(format!("m{n}"));
        let mut out = Vec::new();
        let asked = Frame::Replace(name(gone), name(new));
        self.machines.get_mut(&leader).unwrap().handle(self.now, Input::Called(99, asked), &mut out);
        let done = out.iter().find_map(|o| match o {
            Out::Reply(99, Frame::Replacing(done)) => Some(done.clone()),
            _ => None,
        });
        assert_eq!(done, Some(Ok(council + 1)));
        self.carry_out(leader, out);
        self.input(leader, Input::Hung(99));
    }

    /// Each epoch as every process knows it, and the holders of all duties.
    fn agreed(&self) -> usize {
        let mut known: BTreeMap<u64, (Duty, u64)> = BTreeMap::new();
        for (n, event) in &self.events {
            if let Event::Changed(_, Change::Granted(duty, lease)) = event {
                let grant = (duty.clone(), lease.holder.incarnation.0);
                let before = known.entry(lease.epoch.0).or_insert_with(|| grant.clone());
                assert_eq!(*before, grant, "epoch {} as m{n} knows it", lease.epoch.0);
            }
        }
        let quiet = |e: &&(u64, Event)| !matches!(e.1, Event::Acts(..));
        let told: Vec<_> = self.events.iter().filter(quiet).rev().take(12).collect();
        let books: Vec<_> =
            self.votes().filter_map(|n| Some(self.machines.get(&n)?.status(self.now))).collect();
        for book in &books {
            assert_eq!(
                (&book.duties.len(), book.version),
                (&2, books[0].version),
                "{}: {told:#?}",
                book.member
            );
            for (own, first) in book.duties.iter().zip(&books[0].duties) {
                assert_eq!((&own.holder, own.epoch), (&first.holder, first.epoch));
            }
        }
        known.len()
    }
}

#[test]
fn a_fresh_cluster_is_founded_and_all_duties_are_held() {
    let mut world = World::new();
    world.pass(5_000_000);
    assert_eq!(world.agreed(), 2);
}

/// The library hands a voter that comes back what it missed as a difference to its own decided entries, but asks for
/// those up to the new index, which it does not have yet. Seen as an epoch that was given out again.
#[test]
fn a_voter_that_comes_back_has_the_same_book_as_the_others() {
    let mut world = World::new();
    world.pass(5_000_000);
    for round in 0..6 {
        let n = 1 + round % VOTERS;
        world.kill(n);
        world.pass(4_000_000);
        world.start(n);
        world.pass(4_000_000);
        world.agreed();
    }
    assert!(world.agreed() > 4);
}

#[test]
fn all_killed_at_once_come_back_with_what_was_agreed_on() {
    let mut world = World::new();
    for order in [[1, 2, 3], [3, 1, 2], [2, 3, 1]] {
        world.pass(6_000_000);
        world.agreed();
        (1..=MEMBERS).for_each(|n| world.kill(n));
        order.into_iter().chain([4, 5]).for_each(|n| world.start(n));
    }
    world.pass(6_000_000);
    assert!(world.agreed() >= 6);
}

#[test]
fn a_voter_without_its_folder_or_with_an_older_copy_has_no_vote_and_the_others_go_on() {
    let mut world = World::new();
    world.pass(5_000_000);
    world.kill(2);
    let older = world.journals[&2].clone();
    world.start(2);
    world.kill(4);
    world.pass(6_000_000);
    for (journal, why) in [(Vec::new(), "another folder"), (older, "an older copy")] {
        world.kill(2);
        let good = std::mem::replace(world.journals.entry(2).or_default(), journal);
        world.events.clear();
        world.start(2);
        world.pass(4_000_000);
        let barred = world.events.iter().find_map(|(n, e)| match e {
            Event::Barred(why) if *n == 2 => Some(why.to_string()),
            _ => None,
        });
        assert!(barred.as_ref().is_some_and(|b| b.contains(why)), "{why}: {barred:?} {:#?}", world.events);
        assert!(!world.events.contains(&(2, Event::Votes)));
        world.kill(2);
        world.journals.insert(2, good);
    }
    world.start(2);
    world.pass(5_000_000);
    world.agreed();
}

/// Seen with real processes: a voter's acceptance reached the others, how far its journal was did so only at its next
/// look, and a copy from before that voted.
#[test]
fn an_older_copy_has_no_vote_however_soon_the_voter_died() {
    let mut found = 0;
    for step in 0..40 {
        let mut world = World::new();
        world.pass(5_000_000 + step * 10_000);
        let leader = world.leader().unwrap();
        let voter = (1..=VOTERS).find(|n| *n != leader).unwrap();
        let older = world.journals[&voter].clone();
        world.input(leader, Input::Drain);
        world.pass(10_000);
        world.kill(voter);
        if world.journals.insert(voter, older.clone()).unwrap().len() > older.len() {
            found += 1;
            world.events.clear();
            world.start(voter);
            world.pass(2_000_000);
            assert!(!world.events.contains(&(voter, Event::Votes)), "step {step}");
        }
    }
    assert!(found > 5, "{found}");
}

#[test]
fn a_duty_that_is_given_back_is_held_by_another_without_waiting_for_its_next_beat() {
    let mut world = World::new();
    world.pass(5_000_000);
    let idle = |world: &World| {
        let took = |(n, e): &(u64, Event)| match e {
            Event::Took(duty, epoch) if duty.0 == "idle" => Some((*n, epoch.0)),
            _ => None,
        };
        world.events.iter().filter_map(took).max_by_key(|(_, epoch)| *epoch).unwrap()
    };
    for _ in 0..20 {
        let (holder, epoch) = idle(&world);
        world.input(holder, Input::Drain);
        // Far less than a beat: links are instant here.
        world.pass(20_000);
        assert!(idle(&world).1 > epoch);
        world.kill(holder);
        world.start(holder);
        world.pass(2_730_000);
    }
    world.agreed();
}

/// All three that founded the cluster are replaced, one of them dead, while duties are held; one comes back with its
/// folder and hears that it votes no more; one that lost its folder takes its own place under a new number.
#[test]
fn voters_are_replaced_one_by_one_and_the_log_goes_on() {
    let mut world = World::new();
    world.pass(5_000_000);
    let before = world.agreed();
    world.kill(2);
    world.pass(3_000_000);
    world.replace(2, 4);
    world.pass(5_000_000);
    assert_eq!(world.votes().collect::<Vec<_>>(), [1, 4, 3]);
    world.agreed();
    world.start(2);
    world.pass(5_000_000);
    assert!(world.events.contains(&(2, Event::Barred(Barred::Replaced))), "{:#?}", world.events);
    for (gone, new) in [(1, 5), (3, 2)] {
        world.replace(gone, new);
        world.pass(5_000_000);
        world.agreed();
    }
    assert_eq!(world.votes().collect::<Vec<_>>(), [5, 4, 2]);
    world.kill(4);
    world.journals.remove(&4);
    world.start(4);
    world.pass(5_000_000);
    assert!(world.events.contains(&(4, Event::Barred(Barred::OtherFolder))));
    world.replace(4, 4);
    world.pass(5_000_000);
    assert!(world.agreed() >= before);
    // All of them come back with what is on disk: the last council, and the log since.
    (1..=MEMBERS).for_each(|n| world.kill(n));
    (1..=MEMBERS).for_each(|n| world.start(n));
    world.pass(8_000_000);
    assert!(world.agreed() > before, "duties are held again");
    assert_eq!(world.machines[&5].status(world.now).council, 5);
    let epochs: Vec<u64> = world
        .events
        .iter()
        .filter_map(|(n, e)| match e {
            Event::Changed(_, Change::Granted(_, lease)) if *n == 5 => Some(lease.epoch.0),
            _ => None,
        })
        .collect();
    assert!(epochs.windows(2).all(|w| w[0] <= w[1]), "{epochs:?}");
}

/// The module hears of as many fronts as there are members, each in its place, and keeps the last word without a quorum.
#[test]
fn fronts_are_counted_by_the_agreed_view_and_stay_while_there_is_no_quorum() {
    let mut world = World::new();
    world.pass(6_000_000);
    let all = |world: &World| world.fronts.values().map(|f| (f.count, f.place)).collect::<Vec<_>>();
    assert_eq!(all(&world), [(5, 0), (5, 1), (5, 2), (5, 3), (5, 4)]);
    world.kill(2);
    world.pass(3_500_000);
    assert_eq!(world.fronts[&1].count, 5, "it may come back");
    world.pass(2_500_000);
    assert_eq!((world.fronts[&1].count, world.fronts[&5].place), (4, 3));
    world.kill(1);
    world.kill(3);
    world.pass(20_000_000);
    assert_eq!(world.fronts[&5].count, 4, "nobody can agree on anything else");
}

fn per_s(held: &BTreeMap<u64, (RulesFreshness, RateDecision)>) -> Vec<u32> {
    let of = |(_, ruling): &(RulesFreshness, RateDecision)| match ruling {
        RateDecision::Limit { per_s, .. } => *per_s,
        RateDecision::Free => u32::MAX,
        RateDecision::Refuse(_) => 0,
    };
    held.values().map(of).collect()
}

/// A limit is made tighter and looser while one process is cut off and the leader dies: nobody lets more through than
/// another that is sure does for longer than the time set, and the cut off one lets nothing through once it can't know.
#[test]
fn rules_come_into_force_everywhere_and_nobody_cut_off_goes_on_with_old_ones() {
    let mut world = World::new();
    world.pass(5_000_000);
    assert_eq!(world.propose(50), Ok(1));
    assert_eq!(world.propose(60), Err(ProposeError::Underway(1)));
    world.pass(3_000_000);
    assert_eq!(per_s(&world.held()), [50; 5]);
    assert_eq!(world.propose(50), Err(ProposeError::Same(1)));
    world.cut(5);
    assert_eq!(world.propose(20), Ok(2));
    let mut tighter = None;
    let mut overlap = 0;
    while world.held()[&5].0 != RulesFreshness::Unsure(1) {
        world.pass(10_000);
        let held = per_s(&world.held());
        if held[0] == 20 {
            let since = *tighter.get_or_insert(world.now);
            overlap = world.now.since(since).0;
        }
        let force = world.leader().map_or(0, |n| world.rules[&n].says().0);
        assert!(force < 2 || held[4] != 50, "in force while one goes by the old");
    }
    assert!(overlap > 0 && overlap <= 2_000_000, "{overlap}");
    assert_eq!(per_s(&world.held())[4], 0, "strictest, and no least is known");
    // The leader dies between announcement and force.
    world.pass(500_000);
    assert_eq!(world.propose(40), Ok(3));
    let leader = world.leader().unwrap();
    world.pass(10_000);
    world.kill(leader);
    world.rules.remove(&leader);
    world.pass(6_000_000);
    let held = per_s(&world.held());
    assert!(held[..3].iter().all(|p| *p == 40) && held[3] == 0, "{held:?}");
    world.cut.clear();
    world.start(leader);
    world.pass(4_000_000);
    assert_eq!(per_s(&world.held()), [40; 5]);
}

#[test]
fn what_keeps_a_voter_from_being_replaced_is_said() {
    let mut world = World::new();
    world.pass(5_000_000);
    let leader = world.leader().unwrap();
    world.kill(5);
    world.pass(3_000_000);
    world.input(leader, Input::Accepted(99));
    let name = |n: &str| Name(n.into());
    for (gone, new, why) in [
        ("m9", "m4", ReplaceError::NoVoter(name("m9"))),
        ("m1", "m3", ReplaceError::Votes(name("m3"))),
        ("m1", "m5", ReplaceError::NoOffer(name("m5"))),
        ("m1", "m1", ReplaceError::NoOffer(name("m1"))),
    ] {
        let mut out = Vec::new();
        let asked = Frame::Replace(name(gone), name(new));
        world.machines.get_mut(&leader).unwrap().handle(world.now, Input::Called(99, asked), &mut out);
        let said = out.iter().any(|o| matches!(o, Out::Reply(99, Frame::Replacing(Err(e))) if *e == why));
        assert!(said, "{why}: {out:?}");
    }
}

/// The five brokers of `deploy/quorum`.
fn deployed(n: u32) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/quorum");
    std::fs::read_to_string(format!("{folder}/broker-{n}.toml")).unwrap()
}

fn findings(text: &str) -> Vec<String> {
    let read = Config::operator_text("f.toml", text, std::path::Path::new("/d"));
    read.map_or_else(
        |found| found.0.iter().map(|f| format!("{}: {}", f.field, f.reason)).collect(),
        |_| Vec::new(),
    )
}

#[test]
fn the_deployed_files_can_work_and_name_the_same_voters() {
    let read =
        |n| Config::operator_text("f", &deployed(n), std::path::Path::new("/d")).unwrap().quorum.unwrap();
    let first = read(1);
    for n in 1..=5 {
        let quorum = read(n);
        assert_eq!((&quorum.voters, quorum.founds()), (&first.voters, n <= 3));
        assert_eq!(quorum.listen.is_some(), n <= 4, "broker 4 is a spare");
    }
    assert_eq!(first.folder.unwrap(), std::path::Path::new("/d/state/broker-1"));
}

/// Seen with leases of 4 s: a file that said nothing of rules was refused for the time that it left out.
#[test]
fn a_file_that_says_nothing_of_rules_works_with_any_lease() {
    for more in ["lease_ms = 60000", "lease_ms = 2000\nbeat_ms = 900", "lease_ms = 2000"] {
        assert!(findings(&deployed(1).replacen("lease_ms = 2000", more, 1)).is_empty(), "{more}");
    }
}

#[test]
fn what_cannot_work_is_told_by_its_field() {
    for (from, to, finding) in [
        (
            "folder = \"state/broker-1\"",
            "",
            "quorum.folder: required for a voter or spare: its vote must survive it",
        ),
        (
            "name = \"broker-1\"\n\n[whip]",
            "name = \"x\"\n\n[whip]",
            "quorum.folder: only for voters and spares, and this process is none",
        ),
        (
            "name = \"broker-2\"",
            "name = \"broker-1\"",
            "quorum.voter[1].name: a voter of this name is there already",
        ),
        ("127.0.0.1:7102", "127.0.0.1:7101", "quorum.voter[1].address: another voter has this address"),
        (
            "lease_ms = 2000",
            "lease_ms = 2000\nbeat_ms = 1500",
            "quorum.beat_ms: more than half a lease: one lost beat would lose the lease",
        ),
        ("drift = 0.01", "drift = 0.7", "quorum.drift: 0.7 is not between 0 and 0.5"),
        (
            "lease_ms = 2000",
            "lease_ms = 2000\nskew_ms = 1000",
            "quorum.skew_ms: shorter than rules can be renewed: 1225 would do, or a shorter beat_ms",
        ),
        ("name = \"idle\"", "name = \"idel\"", "quorum.duty[1].name: no such duty; known: record, idle"),
        ("name = \"idle\"", "name = \"record\"", "quorum.duty[1].name: this duty is there already"),
        ("record = \"state/record\"", "", "quorum.record: required by the duty record"),
        ("cluster = \"corrib\"", "cluster = \"a b\"", "quorum.cluster: not 1 to 64 letters, digits and -._"),
    ] {
        let text = deployed(1);
        assert!(text.contains(from), "{from}");
        let found = findings(&text.replacen(from, to, 1));
        assert!(found.iter().any(|f| f == finding), "{finding}: {found:?}");
    }
    let four = deployed(1).replacen(
        "[[quorum.duty]]",
        "[[quorum.voter]]\nname = \"v\"\naddress = \"127.0.0.1:9\"\n[[quorum.duty]]",
        1,
    );
    assert_eq!(findings(&four), ["quorum.voter: 4 voters, but 3, 5 or 7 are needed"]);
}
