//! Random histories of a store whose items instances read by lists and watches and
//! from each other.

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

/// Number of oldest pending calls of an instance among which a step picks one to
/// complete.
const CALLS: usize = 3;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(usize),
    Remove(usize),
    /// An instance requests a list; a later step delivers the response.
    List(usize),
    /// An instance starts a watch; a later step delivers the response.
    Watch(usize),
    /// An instance requests the summary of a peer; a later step delivers it.
    Ask(usize, usize),
    /// One of the pending responses of an instance is delivered, in any order.
    Answer(usize, usize),
}

/// A response in flight, with the content it had when the store or the peer sent it.
#[derive(Clone, Debug)]
enum Reply {
    List(Vec<Item>, u64, Duration),
    Watch(u64, WatchResult, Duration),
    Peer(PrefixCache, Option<Duration>),
}

/// The store, its history and the instances.
#[derive(Default)]
struct World {
    now: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, Event)>,
    /// Items of the store after each step.
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

    fn time(&self) -> Duration {
        Duration::from_secs(self.now)
    }

    fn apply(&mut self, step: Step) {
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
                let reply = Reply::List(items, self.revision, self.time());
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
                let reply = Reply::Watch(after, watched, self.time());
                self.replies[instance].push(reply);
            }
            Step::Ask(instance, peer) => {
                let known = self.instances[peer].clone();
                let current_at = known.age(self.time()).map(|age| self.time() - age);
                self.replies[instance].push(Reply::Peer(known, current_at));
            }
            Step::Answer(instance, call) => self.deliver(instance, call),
        }
        self.states.push(self.items.clone());
    }

    fn deliver(&mut self, instance: usize, call: usize) {
        if call >= self.replies[instance].len() {
            return;
        }
        let cache = &mut self.instances[instance];
        match self.replies[instance].remove(call) {
            Reply::List(items, revision, sent_at) => {
                cache.on_list(items, revision, sent_at);
            }
            Reply::Watch(after, watched, current_at) => {
                cache.on_watch(after, watched, current_at);
            }
            Reply::Peer(known, current_at) => {
                let summary = known.summary();
                match cache.compare(&summary) {
                    Comparison::Same => {
                        if let Some(current_at) = current_at {
                            cache.on_same_summary(&summary, current_at);
                        }
                    }
                    Comparison::PeerIsNewer => {
                        cache.on_peer_items(known.items().cloned().collect(), known.revision());
                    }
                    Comparison::Unclear | Comparison::Older => {}
                }
            }
        }
    }

    /// Checks that the items of an instance were those of the store at the time from
    /// which the instance takes them to be current, or later.
    fn check(&self, instance: usize) {
        let cache = &self.instances[instance];
        let Some(age) = cache.age(self.time()) else {
            return;
        };
        let known: BTreeMap<String, Item> = cache
            .items()
            .map(|item| (item.key.clone(), item.clone()))
            .collect();
        let current_at = self.now - age.as_secs();
        let states = &self.states[current_at as usize..];
        assert!(
            states.contains(&known),
            "instance {instance} takes {known:?} to be current since {current_at}"
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

    /// Guards against items that count as current although a change is missing, and
    /// against a cache that goes back to an older revision.
    #[test]
    fn known_items_were_current(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in steps {
            let before: Vec<u64> = world.instances.iter().map(PrefixCache::revision).collect();
            world.apply(step);
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
    let mut cache = PrefixCache::default();
    cache.on_list(items.to_vec(), revision, Duration::ZERO);
    cache
}

/// Guards against a removed item that is restored from a peer that has not seen the
/// removal.
#[test]
fn removed_item_does_not_come_back_from_a_peer() {
    let behind = listed(&[item("a", 5), item("b", 12)], 15);
    let mut ahead = listed(&[item("a", 5)], 20);
    assert_eq!(ahead.compare(&behind.summary()), Comparison::Older);
    assert_eq!(behind.compare(&ahead.summary()), Comparison::Unclear);
    assert!(!ahead.on_peer_items(behind.items().cloned().collect(), behind.revision()));
    assert_eq!(ahead.items().count(), 1);
}

/// Guards against a change that stays missing after a watch has skipped it, although a
/// peer has it.
#[test]
fn missed_change_shows_at_a_peer() {
    let mut incomplete = listed(&[item("a", 5)], 10);
    let skipped = WatchResult {
        events: Vec::new(),
        revision: 20,
    };
    incomplete.on_watch(10, skipped, Duration::ZERO);
    let peer = listed(&[item("a", 12)], 15);
    assert_eq!(incomplete.compare(&peer.summary()), Comparison::Unclear);
    assert_eq!(peer.compare(&incomplete.summary()), Comparison::Unclear);
}

/// Guards against a list whose pages come from several revisions and that is taken for
/// the items of one revision: a change on the first page may be missing.
#[test]
fn items_of_several_revisions_prove_nothing() {
    let mixed = listed(&[item("a", 5), item("b", 12)], 10);
    let whole = listed(&[item("a", 11), item("b", 12)], 12);
    assert_eq!(mixed.compare(&whole.summary()), Comparison::Unclear);
    assert_eq!(whole.compare(&mixed.summary()), Comparison::Older);
}
