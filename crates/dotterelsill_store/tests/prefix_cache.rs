//! Random histories of a store with instances that list, watch and ask each other.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use dotterelsill_store::{
    Comparison,
    Event,
    Item,
    PrefixCache,
    WatchResult, //
};
use proptest::prelude::*;

const INSTANCES: usize = 3;
const KEYS: usize = 3;

/// Calls of one instance of which an answer is chosen.
const CALLS: usize = 3;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(usize),
    Remove(usize),
    /// An instance asks for a list, which is answered by a later step.
    List(usize),
    Watch(usize),
    /// An instance asks a peer for its summary.
    Ask(usize, usize),
    /// One of the calls of an instance is answered; answers overtake each other.
    Answer(usize, usize),
}

/// An answer on its way, fixed when the store or the peer gave it.
#[derive(Clone, Debug)]
enum Reply {
    List(Vec<Item>, u64, Duration),
    Watch(u64, WatchResult, Duration),
    Peer(PrefixCache, Option<Duration>),
}

#[derive(Default)]
struct World {
    now: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Event)>,
    /// State of the store at each instant.
    states: Vec<BTreeMap<String, Item>>,
    instances: Vec<PrefixCache>,
    replies: Vec<Vec<Reply>>,
}

impl World {
    fn new() -> Self {
        Self {
            instances: vec![PrefixCache::default(); INSTANCES],
            replies: vec![Vec::new(); INSTANCES],
            states: vec![BTreeMap::new()],
            revision: 1,
            ..Self::default()
        }
    }

    fn at(&self) -> Duration {
        Duration::from_secs(self.now)
    }

    fn take(&mut self, step: Step) {
        self.now += 1;
        match step {
            Step::Write(key) => {
                self.revision += 1;
                let item = Item {
                    key: format!("k{key}"),
                    value: Vec::new(),
                    revision: self.revision,
                };
                self.items.insert(item.key.clone(), item.clone());
                self.history.push((self.revision, Event::Written(item)));
            }
            Step::Remove(key) => {
                let key = format!("k{key}");
                if self.items.remove(&key).is_some() {
                    self.revision += 1;
                    self.history.push((self.revision, Event::Removed { key }));
                }
            }
            Step::List(instance) => {
                let items = self.items.values().cloned().collect();
                let reply = Reply::List(items, self.revision, self.at());
                self.replies[instance].push(reply);
            }
            Step::Watch(instance) => {
                let after = self.instances[instance].revision();
                let events = self
                    .history
                    .iter()
                    .filter(|(revision, _)| *revision > after);
                let watched = WatchResult {
                    events: events.map(|(_, event)| event.clone()).collect(),
                    revision: self.revision,
                };
                let reply = Reply::Watch(after, watched, self.at());
                self.replies[instance].push(reply);
            }
            Step::Ask(instance, peer) => {
                let known = self.instances[peer].clone();
                let current_at = known.age(self.at()).map(|age| self.at() - age);
                self.replies[instance].push(Reply::Peer(known, current_at));
            }
            Step::Answer(instance, call) => self.answer(instance, call),
        }
        self.states.push(self.items.clone());
    }

    fn answer(&mut self, instance: usize, call: usize) {
        if call >= self.replies[instance].len() {
            return;
        }
        let followed = &mut self.instances[instance];
        match self.replies[instance].remove(call) {
            Reply::List(items, revision, sent_at) => {
                followed.on_list(items, revision, sent_at);
            }
            Reply::Watch(after, watched, current_at) => {
                followed.on_watch(after, watched, current_at);
            }
            Reply::Peer(known, current_at) => {
                let summary = known.summary();
                match followed.compare(&summary) {
                    Comparison::Same => {
                        if let Some(current_at) = current_at {
                            followed.on_same_summary(&summary, current_at);
                        }
                    }
                    Comparison::PeerIsNewer => {
                        followed.on_peer_items(known.items().cloned().collect(), known.revision());
                    }
                    Comparison::Unclear | Comparison::Older => {}
                }
            }
        }
    }

    /// Checks that what an instance knows was in the store at the instant at which it
    /// takes it to have been current, or later.
    fn check(&self, instance: usize) {
        let followed = &self.instances[instance];
        let Some(age) = followed.age(self.at()) else {
            return;
        };
        let known: BTreeMap<String, Item> = followed
            .items()
            .map(|item| (item.key.clone(), item.clone()))
            .collect();
        let current_at = self.now - age.as_secs();
        let states = &self.states[current_at as usize..];
        assert!(
            states.contains(&known),
            "instance {instance} takes {known:?} for current since {current_at}"
        );
    }
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        2 => (0..KEYS).prop_map(Step::Write),
        1 => (0..KEYS).prop_map(Step::Remove),
        1 => instance.clone().prop_map(Step::List),
        2 => instance.clone().prop_map(Step::Watch),
        3 => (instance.clone(), instance.clone()).prop_map(|(one, other)| Step::Ask(one, other)),
        6 => (instance, 0..CALLS).prop_map(|(one, call)| Step::Answer(one, call)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]

    /// Guards against items that are taken for current though a change is missing,
    /// and against items that go back to an older revision.
    #[test]
    fn known_items_were_current(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in steps {
            let before: Vec<u64> = world.instances.iter().map(PrefixCache::revision).collect();
            world.take(step);
            for (instance, revision) in before.into_iter().enumerate() {
                world.check(instance);
                prop_assert!(world.instances[instance].revision() >= revision);
            }
        }
    }
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: Vec::new(),
        revision,
    }
}

fn listed(items: &[Item], revision: u64) -> PrefixCache {
    let mut followed = PrefixCache::default();
    followed.on_list(items.to_vec(), revision, Duration::ZERO);
    followed
}

/// Guards against an entry that comes back from a peer that has not seen its removal.
#[test]
fn removed_item_does_not_come_back_from_a_peer() {
    let behind = listed(&[item("a", 5), item("b", 12)], 15);
    let mut ahead = listed(&[item("a", 5)], 20);
    assert_eq!(ahead.compare(&behind.summary()), Comparison::Older);
    assert_eq!(behind.compare(&ahead.summary()), Comparison::Unclear);
    assert!(!ahead.on_peer_items(behind.items().cloned().collect(), behind.revision()));
    assert_eq!(ahead.items().count(), 1);
}

/// Guards against a change that a watch has passed over and that is not looked for
/// though a peer knows it.
#[test]
fn missed_change_shows_at_a_peer() {
    let mut deaf = listed(&[item("a", 5)], 10);
    let passed = WatchResult {
        events: Vec::new(),
        revision: 20,
    };
    deaf.on_watch(10, passed, Duration::ZERO);
    let peer = listed(&[item("a", 12)], 15);
    assert_eq!(deaf.compare(&peer.summary()), Comparison::Unclear);
    assert_eq!(peer.compare(&deaf.summary()), Comparison::Unclear);
}

/// Guards against items of several pages that are taken for those of one revision:
/// a change on the first page may be missing.
#[test]
fn items_of_several_revisions_prove_nothing() {
    let mixed = listed(&[item("a", 5), item("b", 12)], 10);
    let whole = listed(&[item("a", 11), item("b", 12)], 12);
    assert_eq!(mixed.compare(&whole.summary()), Comparison::Unclear);
    assert_eq!(whole.compare(&mixed.summary()), Comparison::Older);
}
