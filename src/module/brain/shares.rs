//! Square-root shares of streams, and groups of titles.

use super::*;

/// The half-life of popularity, in seconds; set by the design.
pub(super) const POPULARITY_HALF_LIFE_S: f64 = 10.0;
/// A title whose decayed number of requests is not above this no longer counts.
pub(super) const MIN_COUNTED_REQUESTS: f64 = 0.001;

/// Titles with similar durations and expected batch sizes.
#[derive(Debug, Default)]
pub(super) struct TitleGroup {
    /// Those of them with held sessions.
    pub(super) held_titles: Vec<Text>,
    /// The number of streams in use, of all of them.
    pub(super) streams_in_use: f64,
    /// Their share of all streams.
    pub(super) share: f64,
}

impl Brain {
    /// Returns groups of titles, the most popular first, with each group's held titles, streams in use and
    /// share of all streams. The share of a title is C_m = C·√(f_m·L_m)/Σ√(f_i·L_i); a group ends where
    /// expected batch sizes differ by more than one.
    pub(super) fn title_groups(&self, servers_with_room: usize) -> Vec<TitleGroup> {
        let viewers = self.state.sessions.len() as f64;
        let popularity = |t: &TitleUsage| decayed(t.recent_requests, self.state.now - t.updated_at).max(1e-6);
        let is_held = |title: &Text| self.state.held.first_position(title).is_some();
        let titles: Vec<(&Text, f64, &TitleUsage, usize)> = self
            .state
            .titles
            .by_popularity(self.state.now, is_held)
            .map(|(title, usage, streams)| (title, popularity(usage), usage, streams))
            .collect();
        let total: f64 = titles.iter().map(|(_, popularity, ..)| popularity).sum();
        let roots: f64 = titles.iter().map(|(_, f, usage, _)| (f * usage.duration_hint_s).sqrt()).sum();
        let channels = (self.state.stream_count + servers_with_room) as f64;
        let mut groups: Vec<TitleGroup> = Vec::new();
        let mut first_of_group: Option<(f64, i32)> = None;
        for (title, popularity, usage, streams) in titles {
            let share = channels * (popularity * usage.duration_hint_s).sqrt() / roots.max(1e-9);
            // λ·L is the number of current viewers, so that B = f·λ·L/C_m.
            let batch = popularity / total.max(1e-9) * viewers / share.max(1e-9);
            let octave = usage.duration_octave();
            if first_of_group.is_none_or(|(b, o)| o != octave || b - batch > 1.0) {
                first_of_group = Some((batch, octave));
                groups.push(TitleGroup::default());
            }
            if let Some(group) = groups.last_mut() {
                group.held_titles.extend(is_held(title).then(|| title.clone()));
                group.streams_in_use += streams as f64;
                group.share += share;
            }
        }
        groups
    }

    /// Returns the worth of a tenant's next request relative to the usual: requests beyond its quota count
    /// less.
    pub(super) fn tenant_worth_factor(&self, tenant: usize) -> f64 {
        let quota = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some((requests, at))) = (quota, self.state.tenants.get(tenant)) else {
            return 1.0;
        };
        let requests_per_s =
            decayed(*requests, self.state.now - *at) * std::f64::consts::LN_2 / POPULARITY_HALF_LIFE_S;
        let share_within =
            (quota / f64::from(self.settings.broker_count.max(1)) / requests_per_s.max(1e-9)).min(1.0);
        share_within + (1.0 - share_within) * self.settings.over_share_worth
    }
}
