//! What is brought about under load, and when.

use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::board::target;
use super::crowd::Order;
use super::deployment::ZONES;
use super::servers::Manner;
use super::stage::Stage;

/// Parts of ten of the processes that are killed.
const KILLED_TENTHS: usize = 7;
/// Times from a kill to the new start, in milliseconds.
const AWAY_MS: std::ops::RangeInclusive<u64> = 500..=3_000;
/// So long after a kill the front notices.
const NOTICED: Duration = Duration::from_secs(1);
/// Parts of the load's time: one server leaves the list and another comes, the board goes down, processes are killed,
/// the board is back.
const LIST_CHANGES: f64 = 0.1;
const BOARD_DOWN: f64 = 0.2;
const KILL: f64 = 0.25;
const BOARD_BACK: f64 = 0.8;

/// Something that is to happen at a time.
enum Act {
    ListChanges,
    BoardDown(bool),
    Kill,
    Noticed(Vec<(usize, usize)>),
    Start(usize),
}

impl Stage {
    /// Brings about what is to happen under load, in the order of time; then lets the viewers end.
    pub(super) fn play(&mut self) -> io::Result<()> {
        self.begun = Instant::now();
        self.order(Order::Begin);
        let at = |part| self.load.mul_f64(part);
        let mut plan = vec![
            (at(LIST_CHANGES), Act::ListChanges),
            (at(BOARD_DOWN), Act::BoardDown(true)),
            (at(KILL), Act::Kill),
            (at(BOARD_BACK), Act::BoardDown(false)),
        ];
        loop {
            plan.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            let Some((at, act)) = plan.pop() else { break };
            std::thread::sleep(at.saturating_sub(self.begun.elapsed()));
            self.act(act, &mut plan)?;
        }
        std::thread::sleep(self.load.saturating_sub(self.begun.elapsed()));
        self.order(Order::End);
        Ok(())
    }

    fn act(&mut self, act: Act, plan: &mut Vec<(Duration, Act)>) -> io::Result<()> {
        match act {
            Act::ListChanges => self.change_list(),
            Act::BoardDown(down) => self.board.set_down(down),
            Act::Kill => {
                let mut all: Vec<usize> = (0..self.herd.addresses.len()).collect();
                self.rng.shuffle(&mut all);
                let victims = &all[..all.len() * KILLED_TENTHS / 10];
                let runs = victims.iter().map(|victim| (*victim, self.ledger.run_of(*victim))).collect();
                self.herd.kill(victims);
                self.killed = victims.len();
                let now = self.begun.elapsed();
                plan.push((now + NOTICED, Act::Noticed(runs)));
                for victim in victims {
                    plan.push((now + Duration::from_millis(self.rng.u64(AWAY_MS)), Act::Start(*victim)));
                }
            }
            Act::Noticed(runs) => {
                runs.into_iter().for_each(|(process, run)| self.order(Order::Remove(process, run)));
            }
            Act::Start(process) => {
                // Some know only the list that they began with.
                let last = if self.rng.bool() { self.board.last() } else { 1 };
                self.start(process, last)?;
            }
        }
        Ok(())
    }

    /// A good server leaves, and one that has just started comes.
    fn change_list(&self) {
        let zones = self.herd.deployment.zones as usize;
        let newest = self.servers.len() - 1;
        let leaving = self.servers.iter().position(|server| server.manner == Manner::Good).unwrap_or(0);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = |cell: usize, state, boot_ms| {
            let server = &self.servers[cell];
            target(&server.name, server.address, ZONES[cell % zones], cell % newest, state, boot_ms)
        };
        // The new one has the cell of the one behind the one that leaves: the latter's titles of one copy have none.
        let mut new = line(newest, "in_service", unix.as_millis() as u64);
        new["pod_group"] = ((leaving + 1) % newest).into();
        self.board.tell(false, &[line(leaving, "terminating", 0), new]);
    }
}
