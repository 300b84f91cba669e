//! Index of the YAML nodes of a configuration text, with their positions.

mod build;

use std::borrow::Cow;

use saphyr_parser::Marker;

use crate::place::{
    KeyPath,
    PathSegment, //
};

/// Position in the text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// Line number, counted from 1.
    pub(crate) line: usize,
    /// Column number in characters, counted from 1.
    pub(crate) column: usize,
}

impl Position {
    /// Returns the position, or the end of the text if the position is beyond it.
    ///
    /// The parser reports the end of a text without a trailing line break as a
    /// position on an additional line.
    fn clamp_to(self, text: &str) -> Self {
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
    /// Converts a parser marker, whose columns are counted from 0.
    fn from(marker: &Marker) -> Self {
        Self {
            line: marker.line(),
            column: marker.col() + 1,
        }
    }
}

/// Identifier of a node: its position in [`Index::nodes`].
pub(crate) type NodeId = usize;

/// Content of a node.
#[derive(Debug)]
pub(crate) enum Content<'t> {
    /// Keys and their values, in the order of the text.
    Mapping(Vec<Entry<'t>>),
    /// A scalar, and whether it was written as a plain (unquoted) scalar.
    Scalar(Cow<'t, str>, bool),
    /// List items.
    Sequence(Vec<NodeId>),
}

/// A key of a mapping with its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry<'t> {
    /// Key, without quotes and escapes.
    pub(crate) key: Cow<'t, str>,
    /// Position of the key.
    pub(crate) position: Position,
    /// Node of the value.
    pub(crate) value: NodeId,
}

/// A YAML node.
#[derive(Debug)]
struct Node<'t> {
    /// Position of the value.
    position: Position,
    /// Content.
    content: Content<'t>,
}

/// All nodes of a text. An alias refers to the node of its anchor.
#[derive(Debug, Default)]
pub(crate) struct Index<'t> {
    /// Nodes in the order of the text.
    nodes: Vec<Node<'t>>,
    /// Root node of the document.
    root: Option<NodeId>,
}

impl<'t> Index<'t> {
    /// Returns the root node, or `None` if the document is empty.
    pub(crate) fn root(&self) -> Option<NodeId> {
        self.root
    }

    /// Returns the content of a node.
    pub(crate) fn content(&self, node: NodeId) -> &Content<'t> {
        &self.nodes[node].content
    }

    /// Returns the entries of a mapping, and none for other nodes.
    pub(crate) fn entries(&self, node: NodeId) -> &[Entry<'t>] {
        match self.content(node) {
            Content::Mapping(entries) => entries,
            Content::Scalar(..) | Content::Sequence(_) => &[],
        }
    }

    /// Returns whether the text contains a path.
    pub(crate) fn contains(&self, path: &KeyPath<'_>) -> bool {
        self.resolve(path).1
    }

    /// Returns the position of a path, or that of its longest prefix that the text
    /// contains.
    pub(crate) fn position(&self, path: &KeyPath<'_>) -> Position {
        self.resolve(path).0
    }

    /// Returns the position of the longest prefix of a path that the text contains,
    /// and whether that is the whole path.
    fn resolve(&self, path: &KeyPath<'_>) -> (Position, bool) {
        let Some(mut node) = self.root else {
            return (Position { line: 1, column: 1 }, false);
        };
        let mut position = self.nodes[node].position;
        for segment in path.segments() {
            let Some((at, next)) = self.child(node, *segment) else {
                return (position, false);
            };
            position = at;
            node = next;
        }
        (position, true)
    }

    /// Returns the position and the node of a child.
    fn child(&self, node: NodeId, segment: PathSegment<'_>) -> Option<(Position, NodeId)> {
        match (self.content(node), segment) {
            (Content::Mapping(entries), PathSegment::Key(key)) => {
                let entry = entries.iter().find(|entry| entry.key == key)?;
                Some((entry.position, entry.value))
            }
            (Content::Sequence(items), PathSegment::Item(item)) => {
                let node = *items.get(item)?;
                Some((self.nodes[node].position, node))
            }
            _ => None,
        }
    }
}
