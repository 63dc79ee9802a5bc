use super::*;

const SERVERS_VIEWERS: u64 = 40;
const CHANGES: usize = 4000;

fn random_viewer(random: &mut fastrand::Rng, id: u64) -> Viewer {
    let title = Text::from(format!("t{}", random.u8(0..3)));
    Viewer {
        id: SessionId(id),
        class: random.usize(0..2),
        rung: random.usize(0..3),
        min_rung: random.usize(0..2),
        max_rung: random.usize(2..4),
        // Whole numbers, so that sums do not depend on the order.
        worth: Worth(f64::from(random.u8(0..4))),
        shared_title: random.bool().then_some(title),
        is_active: random.u8(0..5) > 0,
        may_change: random.bool(),
    }
}

/// Guards against an index that drifts from the sessions as they come, change and go.
#[test]
fn index_equals_one_that_is_built_anew() {
    let mut random = fastrand::Rng::with_seed(1);
    let (mut streams, mut viewers) = (ServerStreams::default(), BTreeMap::new());
    for _ in 0..CHANGES {
        let id = random.u64(0..SERVERS_VIEWERS);
        if let Some(viewer) = viewers.remove(&id) {
            streams.remove(&viewer);
        } else {
            let viewer = random_viewer(&mut random, id);
            streams.add(&viewer);
            viewers.insert(id, viewer);
        }
        let mut anew = ServerStreams::default();
        viewers.values().for_each(|viewer| anew.add(viewer));
        assert_eq!(streams.groups, anew.groups);
        assert_eq!(streams.shared.keys().collect::<Vec<_>>(), anew.shared.keys().collect::<Vec<_>>());
    }
    assert_eq!(viewers.is_empty(), streams.shared.is_empty() && streams.groups.is_empty());
}

/// Each stream of a group is visited once, in the order of its worth, and the latest viewer first among equals.
#[test]
fn visits_each_stream_of_a_group_in_order() {
    let mut streams = ServerStreams::default();
    let worths = [2.0, 1.0, 1.0, 3.0, 2.0];
    let viewers = worths.iter().zip(1..).map(|(worth, id)| Viewer {
        id: SessionId(id),
        class: 0,
        rung: 1,
        min_rung: 0,
        max_rung: 3,
        worth: Worth(*worth),
        shared_title: None,
        is_active: true,
        may_change: true,
    });
    viewers.for_each(|viewer| streams.add(&viewer));
    let figures = *streams.groups().next().unwrap().0;
    let visit = |order| {
        let mut previous = None;
        let mut ids = Vec::new();
        while let Some(rank) = streams.next_in_group(&figures, order, previous) {
            ids.push(rank.1.0);
            previous = Some(rank);
        }
        ids
    };
    assert_eq!(visit(Order::LeastWorth), [3, 2, 5, 1, 4]);
    assert_eq!(visit(Order::MostWorth), [4, 5, 1, 3, 2]);
}
