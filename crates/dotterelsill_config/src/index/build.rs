//! Builds the index from the parser's events, within limits.

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
    place::shown,
    rules::structure, //
};

/// How large a complete node is when its aliases are replaced.
#[derive(Clone, Copy, Debug, Default)]
struct Size {
    /// Bytes of all values.
    bytes: usize,
    /// Levels of lists and mappings.
    height: usize,
    /// Number of values.
    nodes: usize,
}

/// A list or mapping that is not complete.
struct Frame<'t> {
    /// Node of the list or mapping.
    node: NodeId,
    /// Key that waits for its value.
    key: Option<(Cow<'t, str>, Position)>,
    /// Size of what is complete.
    size: Size,
}

/// State of the build.
struct Builder<'t> {
    /// Node of each anchor.
    anchors: HashMap<usize, NodeId>,
    /// Lists and mappings that are not complete, from the outermost.
    frames: Vec<Frame<'t>>,
    /// The index so far.
    index: Index<'t>,
    /// Size of each complete node.
    sizes: Vec<Option<Size>>,
    /// Findings that leave the index usable.
    findings: Vec<Finding>,
}

impl<'t> Index<'t> {
    /// Returns the index of a text and the findings that leave it usable.
    ///
    /// # Errors
    ///
    /// Returns the findings when the rest of the text cannot be read after the
    /// last of them.
    pub(crate) fn build(text: &'t str) -> Result<(Self, Vec<Finding>), Vec<Finding>> {
        let mut builder = Builder {
            anchors: HashMap::new(),
            frames: Vec::new(),
            index: Index::default(),
            sizes: Vec::new(),
            findings: Vec::new(),
        };
        match builder.read_all(text) {
            Ok(()) => Ok((builder.index, builder.findings)),
            Err(last) => {
                builder.findings.push(last);
                Err(builder.findings)
            }
        }
    }
}

impl<'t> Builder<'t> {
    /// Adds all events of a text.
    fn read_all(&mut self, text: &'t str) -> Result<(), Finding> {
        let mut parser = Parser::new_from_str(text);
        while let Some(result) = parser.next_event() {
            let (event, span) = result.map_err(|error| {
                let at = Position::from(error.marker()).within(text);
                structure::syntax(at, error.info())
            })?;
            self.on_event(event, Position::from(&span.start))?;
        }
        Ok(())
    }

    /// Adds one event to the index.
    fn on_event(&mut self, event: Event<'t>, at: Position) -> Result<(), Finding> {
        match event {
            Event::Scalar(value, style, anchor, _) => self.scalar(value, style, anchor, at),
            Event::SequenceStart(anchor, _) => self.start(Content::Sequence(vec![]), anchor, at),
            Event::MappingStart(anchor, _) => self.start(Content::Mapping(vec![]), anchor, at),
            Event::SequenceEnd | Event::MappingEnd => self.end(at),
            Event::Alias(anchor) => self.alias(anchor, at),
            Event::DocumentStart(_) if self.index.root.is_some() => {
                Err(structure::second_document(at))
            }
            _ => Ok(()),
        }
    }

    /// Adds a single value, or keeps it as the key of the next value.
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

    /// Keeps the key of the next value.
    fn key(&mut self, key: Cow<'t, str>, at: Position) -> Result<(), Finding> {
        let place = self.path();
        let Some(frame) = self.frames.last_mut() else {
            return Ok(());
        };
        frame.size.bytes += key.len();
        let entries = self.index.entries(frame.node);
        if entries.len() >= MAX_KEYS {
            return Err(structure::too_many_keys(at, &place));
        }
        if let Some(first) = entries.iter().find(|entry| entry.key == key) {
            let finding = structure::duplicate_key(at, &place, &key, first.position);
            self.findings.push(finding);
        }
        frame.key = Some((key, at));
        Ok(())
    }

    /// Starts a list or mapping.
    fn start(&mut self, content: Content<'t>, anchor: usize, at: Position) -> Result<(), Finding> {
        if self.expects_key() {
            return Err(structure::key_kind(at, &self.path()));
        }
        if self.frames.len() >= MAX_DEPTH {
            return Err(structure::too_deep(at, &self.path()));
        }
        let node = self.add(content, anchor, at);
        self.frames.push(Frame {
            node,
            key: None,
            size: Size::default(),
        });
        Ok(())
    }

    /// Ends the innermost list or mapping.
    fn end(&mut self, at: Position) -> Result<(), Finding> {
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

    /// Puts the node of an anchor in the place of an alias.
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

    /// Adds a node that is not complete.
    fn add(&mut self, content: Content<'t>, anchor: usize, position: Position) -> NodeId {
        let node = self.index.nodes.len();
        self.index.nodes.push(Node { position, content });
        self.sizes.push(None);
        if anchor != 0 {
            self.anchors.insert(anchor, node);
        }
        node
    }

    /// Puts a complete node into the innermost list or mapping.
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

    /// Adds a node to the content of the innermost list or mapping. The second
    /// value of a key is left out.
    fn attach(&mut self, value: NodeId) {
        let Some(frame) = self.frames.last_mut() else {
            return;
        };
        let key = frame.key.take();
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

    /// Returns whether the next value is a key.
    fn expects_key(&self) -> bool {
        self.frames.last().is_some_and(|frame| {
            let mapping = matches!(self.index.content(frame.node), Content::Mapping(_));
            mapping && frame.key.is_none()
        })
    }

    /// Returns the path of the value that is read now.
    fn path(&self) -> String {
        let mut path = String::new();
        for frame in &self.frames {
            match (self.index.content(frame.node), &frame.key) {
                (Content::Sequence(items), _) => path.push_str(&format!("[{}]", items.len())),
                (_, Some((key, _))) if path.is_empty() => path.push_str(&shown(key)),
                (_, Some((key, _))) => path.push_str(&format!(".{}", shown(key))),
                _ => {}
            }
        }
        path
    }
}
