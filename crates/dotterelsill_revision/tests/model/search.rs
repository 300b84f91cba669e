//! Exhaustive breadth-first search over the states of a model.

use std::{
    collections::HashSet,
    fmt::Debug,
    hash::{
        BuildHasherDefault,
        Hash,
        Hasher, //
    },
    rc::Rc, //
};

/// Bound on the states of a search, so that a model that grew fails at once.
const MAX_STATES: usize = 400_000;

/// Result of a search.
pub(crate) struct Found<L> {
    /// Number of different states.
    pub(crate) states: usize,
    /// Number of steps to the last new state.
    pub(crate) depth: usize,
    /// Violated invariant and the shortest sequence of steps to it.
    pub(crate) violation: Option<(&'static str, Vec<L>)>,
}

struct Node<S, L> {
    state: Rc<S>,
    depth: usize,
    parent: Option<(usize, L)>,
}

/// Visits all states, up to the first one that violates an invariant.
pub(crate) fn search<S, L>(
    start: S,
    successors: impl Fn(&S) -> Vec<(L, S)>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> Found<L>
where
    S: Eq + Hash,
    L: Clone + Debug,
{
    let start = Rc::new(start);
    let mut seen = HashSet::<_, BuildHasherDefault<QuickHasher>>::default();
    seen.insert(start.clone());
    let mut nodes = vec![Node {
        state: start,
        depth: 0,
        parent: None,
    }];
    let mut next = 0;
    while next < nodes.len() {
        let depth = nodes[next].depth + 1;
        for (label, state) in successors(&nodes[next].state.clone()) {
            let state = Rc::new(state);
            if !seen.insert(state.clone()) {
                continue;
            }
            let broken = violation(&state);
            let parent = Some((next, label));
            nodes.push(Node {
                state,
                depth,
                parent,
            });
            if let Some(broken) = broken {
                let path = path_to(&nodes, nodes.len() - 1);
                return found(&nodes, Some((broken, path)));
            }
        }
        next += 1;
        assert!(nodes.len() < MAX_STATES, "the model has too many states");
    }
    found(&nodes, None)
}

fn found<S, L>(nodes: &[Node<S, L>], violation: Option<(&'static str, Vec<L>)>) -> Found<L> {
    Found {
        states: nodes.len(),
        depth: nodes.last().map_or(0, |node| node.depth),
        violation,
    }
}

fn path_to<S, L: Clone>(nodes: &[Node<S, L>], mut at: usize) -> Vec<L> {
    let mut path = Vec::new();
    while let Some((parent, label)) = &nodes[at].parent {
        path.push(label.clone());
        at = *parent;
    }
    path.reverse();
    path
}

/// Prints the size of a search and asserts its verdict.
pub(crate) fn check<L: Debug>(
    name: &str,
    found: &Found<L>,
    min_states: usize,
    expected: Option<&str>,
) {
    println!("{name}: {} states, depth {}", found.states, found.depth);
    if let Some((broken, path)) = &found.violation {
        println!("  {broken}, after:");
        path.iter().for_each(|label| println!("    {label:?}"));
    }
    assert_eq!(
        found.violation.as_ref().map(|(broken, _)| *broken),
        expected
    );
    assert!(found.states >= min_states, "the search explored too little");
}

/// Multiplicative hasher. With the default one, the searches take half as long
/// again in a debug build.
#[derive(Default)]
struct QuickHasher(u64);

impl QuickHasher {
    fn add(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(0x517c_c1b7_2722_0a95);
    }
}

impl Hasher for QuickHasher {
    fn finish(&self) -> u64 {
        self.0.rotate_left(26)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.add(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, word: u32) {
        self.add(u64::from(word));
    }

    fn write_u64(&mut self, word: u64) {
        self.add(word);
    }
}
