//! Square-root shares and groups of titles.

use super::*;

/// Half-life of popularity, seconds (the design's).
pub(super) const HALF_LIFE_S: f64 = 10.0;

impl Brain {
    /// Groups of titles, the most popular first, with each group's streams in use and its share of all.
    /// C_m = C·√(f_m·L_m)/Σ√(f_i·L_i); a group ends where expected batch sizes differ by more than one.
    pub(super) fn groups(&self, roomy: usize) -> Vec<(BTreeSet<Text>, f64, f64)> {
        let used = self.book.streams(|class| self.set.classes[class].live);
        let streams: usize = used.values().map(BTreeSet::len).sum();
        let viewers = self.book.sessions.len() as f64;
        let popular = |t: &Title| decayed(t.weight, self.book.now - t.at).max(1e-6);
        let known = self.book.titles.iter().map(|(name, t)| (name, popular(t), t.hint));
        let mut titles: Vec<(&Text, f64, f64)> = known.collect();
        let total: f64 = titles.iter().map(|t| t.1).sum();
        let roots: f64 = titles.iter().map(|t| (t.1 * t.2).sqrt()).sum();
        let channels = (streams + roomy) as f64;
        // Similar lengths: the same power of two.
        titles.sort_by(|a, b| {
            let by_length = a.2.log2().floor().total_cmp(&b.2.log2().floor());
            by_length.then(b.1.total_cmp(&a.1)).then(a.0.cmp(b.0))
        });
        let mut groups: Vec<(BTreeSet<Text>, f64, f64)> = Vec::new();
        let mut head: Option<(f64, f64)> = None;
        for (name, weight, length) in titles {
            let share = channels * (weight * length).sqrt() / roots.max(1e-9);
            // λ·L is the number of viewers at hand, so that B = f·λ·L/C_m.
            let batch = weight / total.max(1e-9) * viewers / share.max(1e-9);
            let in_use = used.get(name).map_or(0, BTreeSet::len) as f64;
            let octave = length.log2().floor();
            match groups.last_mut() {
                Some(group) if head.is_some_and(|(b, o)| o == octave && b - batch <= 1.0) => {
                    group.0.insert(name.clone());
                    group.1 += in_use;
                    group.2 += share;
                }
                _ => {
                    head = Some((batch, octave));
                    groups.push((BTreeSet::from([name.clone()]), in_use, share));
                }
            }
        }
        groups
    }

    /// Worth of a tenant's next request beside the usual: what runs beyond its share counts less.
    pub(super) fn share_worth(&self, tenant: usize) -> f64 {
        let quota = self.set.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some((weight, at))) = (quota, self.book.tenants.get(tenant)) else {
            return 1.0;
        };
        let rate = decayed(*weight, self.book.now - *at) * std::f64::consts::LN_2 / HALF_LIFE_S;
        let within = (quota / f64::from(self.set.broker_count.max(1)) / rate.max(1e-9)).min(1.0);
        within + (1.0 - within) * self.set.over_share_worth
    }
}
