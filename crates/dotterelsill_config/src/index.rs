//! Index of the text's keys and values with their positions.

mod build;

use std::borrow::Cow;

use saphyr_parser::Marker;

use crate::place::{
    Place,
    Step, //
};

/// A position in the text; line and column (in characters) are counted from 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// Line.
    pub(crate) line: usize,
    /// Column in characters.
    pub(crate) column: usize,
}

impl Position {
    /// Returns the position, or the end of the text when it lies behind it. The
    /// parser reports an end of the text without a line break as a new line.
    fn within(self, text: &str) -> Self {
        let mut rest = text;
        let mut line = 1;
        while let Some(end) = rest.find(['\n', '\r']) {
            let length = if rest[end..].starts_with("\r\n") {
                2
            } else {
                1
            };
            rest = &rest[end + length..];
            line += 1;
        }
        if self.line <= line {
            return self;
        }
        let column = rest.chars().count() + 1;
        Self { line, column }
    }
}

impl From<&Marker> for Position {
    /// Returns a parser's mark, which counts columns from 0, as a position.
    fn from(mark: &Marker) -> Self {
        Self {
            line: mark.line(),
            column: mark.col() + 1,
        }
    }
}

/// The number of a node in the index.
pub(crate) type NodeId = usize;

/// What a node holds.
#[derive(Debug)]
pub(crate) enum Content<'t> {
    /// Keys and their values.
    Mapping(Vec<Entry<'t>>),
    /// A single value, and whether it was written without quotes.
    Scalar(Cow<'t, str>, bool),
    /// Items.
    Sequence(Vec<NodeId>),
}

/// A key of a mapping.
#[derive(Clone, Debug)]
pub(crate) struct Entry<'t> {
    /// Key.
    pub(crate) key: Cow<'t, str>,
    /// Position of the key.
    pub(crate) position: Position,
    /// Value.
    pub(crate) value: NodeId,
}

/// A node of the text.
#[derive(Debug)]
struct Node<'t> {
    /// Position of the value.
    position: Position,
    /// What the node holds.
    content: Content<'t>,
}

/// All nodes of the text. An alias is the node that it stands for.
#[derive(Debug, Default)]
pub(crate) struct Index<'t> {
    /// Nodes in the order of the text.
    nodes: Vec<Node<'t>>,
    /// The document's node.
    root: Option<NodeId>,
}

impl<'t> Index<'t> {
    /// Returns the document's node, or nothing when the text holds no value.
    pub(crate) fn root(&self) -> Option<NodeId> {
        self.root
    }

    /// Returns what a node holds.
    pub(crate) fn content(&self, node: NodeId) -> &Content<'t> {
        &self.nodes[node].content
    }

    /// Returns the keys of a mapping; a node of another kind has none.
    pub(crate) fn entries(&self, node: NodeId) -> &[Entry<'t>] {
        match self.content(node) {
            Content::Mapping(entries) => entries,
            Content::Scalar(..) | Content::Sequence(_) => &[],
        }
    }

    /// Returns whether the text holds a place.
    pub(crate) fn has(&self, place: &Place<'_>) -> bool {
        self.follow(place).1
    }

    /// Returns the position of a place, or that of the innermost part of it
    /// that the text holds.
    pub(crate) fn position(&self, place: &Place<'_>) -> Position {
        self.follow(place).0
    }

    /// Returns the position of the innermost part of a place that the text
    /// holds, and whether that is the whole place.
    fn follow(&self, place: &Place<'_>) -> (Position, bool) {
        let Some(mut node) = self.root else {
            return (Position { line: 1, column: 1 }, false);
        };
        let mut position = self.nodes[node].position;
        for step in place.steps() {
            let Some((at, next)) = self.step(node, *step) else {
                return (position, false);
            };
            position = at;
            node = next;
        }
        (position, true)
    }

    /// Returns the position and the node of one step.
    fn step(&self, node: NodeId, step: Step<'_>) -> Option<(Position, NodeId)> {
        match (self.content(node), step) {
            (Content::Mapping(entries), Step::Key(key)) => {
                let entry = entries.iter().find(|entry| entry.key == key)?;
                Some((entry.position, entry.value))
            }
            (Content::Sequence(items), Step::Item(item)) => {
                let node = *items.get(item)?;
                Some((self.nodes[node].position, node))
            }
            _ => None,
        }
    }
}
