//! Exhaustive breadth-first search over the reachable states of a model.

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

/// Maximum number of states of a search, so that a model that has grown too large
/// fails early.
const MAX_STATES: usize = 400_000;

/// Size of a search and the violation that it found, if any.
pub(crate) struct SearchResult<L> {
    /// Number of distinct states.
    pub(crate) states: usize,
    /// Number of steps from the start to the last new state.
    pub(crate) depth: usize,
    /// Violated invariant and the shortest sequence of steps that leads to it.
    pub(crate) violation: Option<(&'static str, Vec<L>)>,
}

struct Node<S, L> {
    state: Rc<S>,
    depth: usize,
    parent: Option<(usize, L)>,
}

/// Visits all reachable states and stops at the first one that violates an
/// invariant.
pub(crate) fn search<S, L>(
    start: S,
    successors: impl Fn(&S) -> Vec<(L, S)>,
    violation: impl Fn(&S) -> Option<&'static str>,
) -> SearchResult<L>
where
    S: Eq + Hash,
    L: Clone + Debug,
{
    let start = Rc::new(start);
    let mut seen = HashSet::<_, BuildHasherDefault<MultiplicativeHasher>>::default();
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
            let violated = violation(&state);
            let parent = Some((next, label));
            nodes.push(Node {
                state,
                depth,
                parent,
            });
            if let Some(violated) = violated {
                let path = path_to(&nodes, nodes.len() - 1);
                return search_result(&nodes, Some((violated, path)));
            }
        }
        next += 1;
        assert!(nodes.len() < MAX_STATES, "the model has too many states");
    }
    search_result(&nodes, None)
}

fn search_result<S, L>(
    nodes: &[Node<S, L>],
    violation: Option<(&'static str, Vec<L>)>,
) -> SearchResult<L> {
    SearchResult {
        states: nodes.len(),
        depth: nodes.last().map_or(0, |node| node.depth),
        violation,
    }
}

fn path_to<S, L: Clone>(nodes: &[Node<S, L>], mut index: usize) -> Vec<L> {
    let mut path = Vec::new();
    while let Some((parent, label)) = &nodes[index].parent {
        path.push(label.clone());
        index = *parent;
    }
    path.reverse();
    path
}

/// Prints the size of a search and asserts which invariant it found violated, if
/// any.
pub(crate) fn assert_result<L: Debug>(
    name: &str,
    result: &SearchResult<L>,
    min_states: usize,
    expected: Option<&str>,
) {
    println!("{name}: {} states, depth {}", result.states, result.depth);
    if let Some((violated, path)) = &result.violation {
        println!("  {violated}, after:");
        path.iter().for_each(|label| println!("    {label:?}"));
    }
    assert_eq!(
        result.violation.as_ref().map(|(violated, _)| *violated),
        expected
    );
    assert!(
        result.states >= min_states,
        "the search explored too little"
    );
}

/// Multiplicative hasher. With the default hasher, the searches take 1.5 times as
/// long in a debug build.
#[derive(Default)]
struct MultiplicativeHasher(u64);

impl MultiplicativeHasher {
    fn add_word(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(0x517c_c1b7_2722_0a95);
    }
}

impl Hasher for MultiplicativeHasher {
    fn finish(&self) -> u64 {
        self.0.rotate_left(26)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.add_word(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, word: u32) {
        self.add_word(u64::from(word));
    }

    fn write_u64(&mut self, word: u64) {
        self.add_word(word);
    }
}
