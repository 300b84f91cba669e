//! Builds the index from parser events, within the limits on nesting and size.

use std::{
    borrow::Cow,
    collections::HashMap, //
};

use saphyr_parser::{
    Event,
    Parser,
    ScalarStyle, //
};

use super::{
    Content,
    Entry,
    Index,
    Node,
    NodeId,
    Position, //
};
use crate::{
    finding::Finding,
    limits::{
        MAX_DEPTH,
        MAX_EXPANDED_BYTES,
        MAX_KEYS,
        MAX_NODES, //
    },
    place::for_display,
    rules::structure, //
};

/// Size of a complete node after alias expansion.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    /// Total size of all keys and values, in bytes.
    bytes: usize,
    /// Nesting levels of lists and mappings.
    height: usize,
    /// Number of nodes.
    nodes: usize,
}

/// A list or mapping whose end has not been parsed yet.
struct Frame<'t> {
    /// Node of the list or mapping.
    node: NodeId,
    /// Last key, while its value is not complete.
    pending_key: Option<(Cow<'t, str>, Position)>,
    /// Total size of the complete children.
    size: Size,
}

/// Index under construction.
struct Builder<'t> {
    /// Nodes by anchor identifier.
    anchors: HashMap<usize, NodeId>,
    /// Open lists and mappings, from the outermost to the innermost.
    frames: Vec<Frame<'t>>,
    /// The index so far.
    index: Index<'t>,
    /// Sizes by node; `None` while a node is not complete.
    sizes: Vec<Option<Size>>,
    /// Errors after which parsing can continue.
    findings: Vec<Finding>,
}

impl<'t> Index<'t> {
    /// Parses a text and returns its index, with the errors after which parsing
    /// could continue.
    ///
    /// # Errors
    ///
    /// Returns the findings if the last of them makes it impossible to parse the
    /// rest of the text.
    pub(crate) fn build(text: &'t str) -> Result<(Self, Vec<Finding>), Vec<Finding>> {
        let mut builder = Builder {
            anchors: HashMap::new(),
            frames: Vec::new(),
            index: Index::default(),
            sizes: Vec::new(),
            findings: Vec::new(),
        };
        match builder.parse(text) {
            Ok(()) => Ok((builder.index, builder.findings)),
            Err(fatal) => {
                builder.findings.push(fatal);
                Err(builder.findings)
            }
        }
    }
}

impl<'t> Builder<'t> {
    /// Parses a text and adds all its events.
    fn parse(&mut self, text: &'t str) -> Result<(), Finding> {
        let mut parser = Parser::new_from_str(text);
        while let Some(result) = parser.next_event() {
            let (event, span) = result.map_err(|error| {
                let at = Position::from(error.marker()).clamp_to(text);
                structure::syntax(at, error.info())
            })?;
            self.on_event(event, Position::from(&span.start))?;
        }
        Ok(())
    }

    /// Adds a parser event to the index.
    fn on_event(&mut self, event: Event<'t>, at: Position) -> Result<(), Finding> {
        match event {
            Event::Scalar(value, style, anchor, _) => self.scalar(value, style, anchor, at),
            Event::SequenceStart(anchor, _) => self.open(Content::Sequence(vec![]), anchor, at),
            Event::MappingStart(anchor, _) => self.open(Content::Mapping(vec![]), anchor, at),
            Event::SequenceEnd | Event::MappingEnd => self.close(at),
            Event::Alias(anchor) => self.alias(anchor, at),
            Event::DocumentStart(_) if self.index.root.is_some() => {
                Err(structure::second_document(at))
            }
            _ => Ok(()),
        }
    }

    /// Adds a scalar, or stores it as the key of the next value.
    fn scalar(
        &mut self,
        value: Cow<'t, str>,
        style: ScalarStyle,
        anchor: usize,
        at: Position,
    ) -> Result<(), Finding> {
        if self.expects_key() && anchor == 0 {
            return self.key(value, at);
        }
        let size = Size {
            bytes: value.len(),
            height: 0,
            nodes: 1,
        };
        let node = self.add(
            Content::Scalar(value, style == ScalarStyle::Plain),
            anchor,
            at,
        );
        self.complete(node, size, at)
    }

    /// Stores the key of the next value.
    fn key(&mut self, key: Cow<'t, str>, at: Position) -> Result<(), Finding> {
        let path = self.path();
        let Some(frame) = self.frames.last_mut() else {
            return Ok(());
        };
        frame.size.bytes += key.len();
        let entries = self.index.entries(frame.node);
        if entries.len() >= MAX_KEYS {
            return Err(structure::too_many_keys(at, &path));
        }
        if let Some(first) = entries.iter().find(|entry| entry.key == key) {
            let finding = structure::duplicate_key(at, &path, &key, first.position);
            self.findings.push(finding);
        }
        frame.pending_key = Some((key, at));
        Ok(())
    }

    /// Opens a list or mapping.
    fn open(&mut self, content: Content<'t>, anchor: usize, at: Position) -> Result<(), Finding> {
        if self.expects_key() {
            return Err(structure::key_kind(at, &self.path()));
        }
        if self.frames.len() >= MAX_DEPTH {
            return Err(structure::too_deep(at, &self.path()));
        }
        let node = self.add(content, anchor, at);
        self.frames.push(Frame {
            node,
            pending_key: None,
            size: Size::default(),
        });
        Ok(())
    }

    /// Closes the innermost list or mapping.
    fn close(&mut self, at: Position) -> Result<(), Finding> {
        let Some(frame) = self.frames.pop() else {
            return Ok(());
        };
        let size = Size {
            bytes: frame.size.bytes,
            height: frame.size.height + 1,
            nodes: frame.size.nodes + 1,
        };
        self.complete(frame.node, size, at)
    }

    /// Adds the node of an anchor in place of an alias.
    fn alias(&mut self, anchor: usize, at: Position) -> Result<(), Finding> {
        if self.expects_key() {
            return Err(structure::key_kind(at, &self.path()));
        }
        let node = self.anchors.get(&anchor).copied();
        let Some((node, size)) = node.and_then(|n| Some((n, self.sizes[n]?))) else {
            return Err(structure::alias_of_itself(at, &self.path()));
        };
        if self.frames.len() + size.height > MAX_DEPTH {
            return Err(structure::too_deep(at, &self.path()));
        }
        self.complete(node, size, at)
    }

    /// Adds a node without attaching it to its parent.
    fn add(&mut self, content: Content<'t>, anchor: usize, position: Position) -> NodeId {
        let node = self.index.nodes.len();
        self.index.nodes.push(Node { position, content });
        self.sizes.push(None);
        if anchor != 0 {
            self.anchors.insert(anchor, node);
        }
        node
    }

    /// Records the size of a complete node and adds it to the innermost list or
    /// mapping, or makes it the root.
    fn complete(&mut self, node: NodeId, size: Size, at: Position) -> Result<(), Finding> {
        self.sizes[node] = Some(size);
        if self.expects_key() {
            return Err(structure::key_kind(at, &self.path()));
        }
        let Some(frame) = self.frames.last_mut() else {
            self.index.root = Some(node);
            return Ok(());
        };
        frame.size.bytes += size.bytes;
        frame.size.nodes += size.nodes;
        frame.size.height = frame.size.height.max(size.height);
        if frame.size.nodes > MAX_NODES || frame.size.bytes > MAX_EXPANDED_BYTES {
            return Err(structure::too_large(at, &self.path()));
        }
        self.attach(node);
        Ok(())
    }

    /// Adds a node to the content of the innermost list or mapping. The value of a
    /// duplicate key is dropped.
    fn attach(&mut self, value: NodeId) {
        let Some(frame) = self.frames.last_mut() else {
            return;
        };
        let key = frame.pending_key.take();
        match &mut self.index.nodes[frame.node].content {
            Content::Sequence(items) => items.push(value),
            Content::Mapping(entries) => entries.extend(
                key.filter(|(key, _)| entries.iter().all(|entry| entry.key != *key))
                    .map(|(key, position)| Entry {
                        key,
                        position,
                        value,
                    }),
            ),
            Content::Scalar(..) => {}
        }
    }

    /// Returns whether the next node is a key.
    fn expects_key(&self) -> bool {
        self.frames.last().is_some_and(|frame| {
            let is_mapping = matches!(self.index.content(frame.node), Content::Mapping(_));
            is_mapping && frame.pending_key.is_none()
        })
    }

    /// Returns the path of the node that is being parsed.
    fn path(&self) -> String {
        let mut path = String::new();
        for frame in &self.frames {
            match (self.index.content(frame.node), &frame.pending_key) {
                (Content::Sequence(items), _) => path.push_str(&format!("[{}]", items.len())),
                (_, Some((key, _))) if path.is_empty() => path.push_str(&for_display(key)),
                (_, Some((key, _))) => path.push_str(&format!(".{}", for_display(key))),
                _ => {}
            }
        }
        path
    }
}
