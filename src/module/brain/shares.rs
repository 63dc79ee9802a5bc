//! Square-root shares of streams, and groups of titles.

use super::*;

/// The half-life of popularity, in seconds; set by the design.
pub(super) const POPULARITY_HALF_LIFE_S: f64 = 10.0;
/// A title whose decayed number of requests is not above this no longer counts.
pub(super) const MIN_COUNTED_REQUESTS: f64 = 0.001;

impl Brain {
    /// Returns groups of titles, the most popular first, with each group's streams in use and its share of
    /// all streams. The share of a title is C_m = C·√(f_m·L_m)/Σ√(f_i·L_i); a group ends where expected batch
    /// sizes differ by more than one.
    pub(super) fn title_groups(&self, servers_with_room: usize) -> Vec<(BTreeSet<Text>, f64, f64)> {
        let viewers = self.state.sessions.len() as f64;
        let popularity = |t: &TitleUsage| decayed(t.recent_requests, self.state.now - t.updated_at).max(1e-6);
        let is_held = |title: &Text| self.state.held.first_position(title).is_some();
        let current = self.state.titles.iter(self.state.now, is_held);
        let rated = current.map(|(name, t)| (name, popularity(t), t.duration_hint_s));
        let mut titles: Vec<(&Text, f64, f64)> = rated.collect();
        let total: f64 = titles.iter().map(|t| t.1).sum();
        let roots: f64 = titles.iter().map(|t| (t.1 * t.2).sqrt()).sum();
        let channels = (self.state.stream_count + servers_with_room) as f64;
        // Durations within the same power of two count as similar.
        titles.sort_by(|a, b| {
            let by_duration = a.2.log2().floor().total_cmp(&b.2.log2().floor());
            by_duration.then(b.1.total_cmp(&a.1)).then(a.0.cmp(b.0))
        });
        let mut groups: Vec<(BTreeSet<Text>, f64, f64)> = Vec::new();
        let mut first_of_group: Option<(f64, f64)> = None;
        for (name, popularity, duration_s) in titles {
            let share = channels * (popularity * duration_s).sqrt() / roots.max(1e-9);
            // λ·L is the number of current viewers, so that B = f·λ·L/C_m.
            let batch = popularity / total.max(1e-9) * viewers / share.max(1e-9);
            let in_use = self.state.streams_of_title(name) as f64;
            let octave = duration_s.log2().floor();
            match groups.last_mut() {
                Some(group) if first_of_group.is_some_and(|(b, o)| o == octave && b - batch <= 1.0) => {
                    group.0.insert(name.clone());
                    group.1 += in_use;
                    group.2 += share;
                }
                _ => {
                    first_of_group = Some((batch, octave));
                    groups.push((BTreeSet::from([name.clone()]), in_use, share));
                }
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
