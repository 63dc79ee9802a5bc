//! The popularity of titles. Titles without a session are kept in bounded memory, as clients may name any
//! number of titles of any length. Bookkeeping only, no decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::api::{Micros, Text, TitleStats};

/// Approximate memory of one title in all indexes, without its text.
const ENTRY_BYTES: usize = 256;

/// The popularity of a title and the estimated duration of its sessions.
#[derive(Clone, Debug)]
pub(crate) struct TitleUsage {
    /// The number of requests, decayed with the half-life of popularity.
    pub(crate) recent_requests: f64,
    pub(crate) updated_at: Micros,
    /// When the decayed number is too small to count.
    pub(crate) expires_at: Micros,
    pub(crate) duration_hint_s: f64,
}

#[derive(Debug)]
struct Entry {
    usage: TitleUsage,
    /// The number of sessions with this title.
    sessions: usize,
    /// The number of streams of this title in use.
    streams: usize,
}

/// The power of two of an estimated duration, and then the popularity, the highest first: popularity decays at one rate for
/// all, so a title that expires later is more popular at any time.
type PopularityRank = (i32, Reverse<Micros>, Text);

fn rank(title: &Text, usage: &TitleUsage) -> PopularityRank {
    (usage.duration_octave(), Reverse(usage.expires_at), title.clone())
}

impl TitleUsage {
    /// Returns the power of two at or below the estimated duration; durations with the same one count as similar.
    pub(crate) fn duration_octave(&self) -> i32 {
        self.duration_hint_s.log2().floor() as i32
    }
}

/// The titles of all sessions, and the most popular of the others that were requested recently.
#[derive(Debug, Default)]
pub(crate) struct TitleTable {
    entries: BTreeMap<Text, Entry>,
    /// All titles, those of similar durations together and the most popular of them first.
    by_popularity: BTreeSet<PopularityRank>,
    /// The titles without a session. Popularity decays at one rate for all, so the first to expire is always
    /// the least popular.
    idle: BTreeSet<(Micros, Text)>,
    idle_bytes: usize,
    max_idle_bytes: usize,
    evicted: u64,
}

fn entry_bytes(title: &Text) -> usize {
    ENTRY_BYTES + title.len()
}

impl TitleTable {
    /// Creates an empty table that keeps titles without a session in at most `max_idle_bytes` of memory.
    pub(crate) fn new(max_idle_bytes: usize) -> TitleTable {
        TitleTable { max_idle_bytes, ..TitleTable::default() }
    }

    /// Changes the limit on the memory for titles without a session.
    pub(crate) fn set_max_idle_bytes(&mut self, max_idle_bytes: usize) {
        self.max_idle_bytes = max_idle_bytes;
        self.evict_over_limit();
    }

    /// Returns the usage of a title, unless it has expired.
    pub(crate) fn usage(&self, now: Micros, title: &Text) -> Option<&TitleUsage> {
        self.entries.get(title).map(|entry| &entry.usage).filter(|usage| usage.expires_at > now)
    }

    /// Returns the usage and the streams in use of all titles that have not expired, and of those that `is_held` returns
    /// true for: titles of similar durations together, and the most popular of them first.
    pub(crate) fn by_popularity(
        &self,
        now: Micros,
        is_held: impl Fn(&Text) -> bool,
    ) -> impl Iterator<Item = (&Text, &TitleUsage, usize)> {
        let entries = self.by_popularity.iter().filter_map(|(.., title)| {
            let entry = self.entries.get(title)?;
            Some((title, &entry.usage, entry.streams))
        });
        entries.filter(move |(title, usage, _)| usage.expires_at > now || is_held(title))
    }

    /// Counts a stream of a title that begins.
    pub(crate) fn add_stream(&mut self, title: &Text) {
        if let Some(entry) = self.entries.get_mut(title) {
            entry.streams += 1;
        }
    }

    /// Counts a stream of a title that ends.
    pub(crate) fn remove_stream(&mut self, title: &Text) {
        if let Some(entry) = self.entries.get_mut(title) {
            entry.streams = entry.streams.saturating_sub(1);
        }
    }

    /// Adds a session, with the usage of its title from now on. Returns the text that all sessions of the
    /// title share.
    pub(crate) fn add_session(&mut self, title: &Text, usage: TitleUsage) -> Text {
        if let Some((shared, entry)) = self.entries.get_key_value(title) {
            let shared = shared.clone();
            if entry.sessions == 0 {
                self.unindex_idle(&shared, entry.usage.expires_at);
            }
            self.by_popularity.insert(rank(&shared, &usage));
            if let Some(entry) = self.entries.get_mut(&shared) {
                let before = rank(&shared, &std::mem::replace(&mut entry.usage, usage));
                entry.sessions += 1;
                if before != rank(&shared, &entry.usage) {
                    self.by_popularity.remove(&before);
                }
            }
            return shared;
        }
        self.by_popularity.insert(rank(title, &usage));
        self.entries.insert(title.clone(), Entry { usage, sessions: 1, streams: 0 });
        title.clone()
    }

    /// Removes a session. The title of the last one stays as long as it is popular enough.
    pub(crate) fn remove_session(&mut self, title: &Text) {
        let Some(entry) = self.entries.get_mut(title) else { return };
        entry.sessions = entry.sessions.saturating_sub(1);
        if entry.sessions > 0 {
            return;
        }
        self.idle.insert((entry.usage.expires_at, title.clone()));
        self.idle_bytes += entry_bytes(title);
        self.evict_over_limit();
    }

    /// Removes the titles without a session that have expired.
    pub(crate) fn remove_expired(&mut self, now: Micros) {
        while self.idle.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_first_idle();
        }
    }

    /// Returns the number of titles.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns what the table holds and what it had to drop.
    pub(crate) fn stats(&self) -> TitleStats {
        TitleStats { titles: self.entries.len(), idle_bytes: self.idle_bytes, evicted: self.evicted }
    }

    fn evict_over_limit(&mut self) {
        while self.idle_bytes > self.max_idle_bytes {
            self.remove_first_idle();
            self.evicted += 1;
        }
    }

    fn remove_first_idle(&mut self) {
        let Some((expires_at, title)) = self.idle.first().cloned() else { return };
        self.unindex_idle(&title, expires_at);
        if let Some(entry) = self.entries.remove(&title) {
            self.by_popularity.remove(&rank(&title, &entry.usage));
        }
    }

    fn unindex_idle(&mut self, title: &Text, expires_at: Micros) {
        if self.idle.remove(&(expires_at, title.clone())) {
            self.idle_bytes -= entry_bytes(title);
        }
    }
}

#[cfg(test)]
mod tests;
