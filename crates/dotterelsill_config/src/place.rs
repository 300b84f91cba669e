//! Paths to keys and list items in the configuration text.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

/// One segment of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PathSegment<'a> {
    /// Index of a list item, counted from 0.
    Item(usize),
    /// Key of a mapping.
    Key(&'a str),
}

/// Path to a key or list item, such as `teams[2].share_percent`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct KeyPath<'a> {
    /// Segments from the root.
    segments: Vec<PathSegment<'a>>,
}

impl<'a> KeyPath<'a> {
    /// Returns the path of an item of a top-level list.
    pub(crate) fn list_item(list: &'a str, item: usize) -> Self {
        Self::default().key(list).item(item)
    }

    /// Returns the path extended by a key.
    pub(crate) fn key(&self, key: &'a str) -> Self {
        self.with(PathSegment::Key(key))
    }

    /// Returns the path extended by a list item.
    pub(crate) fn item(&self, item: usize) -> Self {
        self.with(PathSegment::Item(item))
    }

    /// Returns the segments from the root.
    pub(crate) fn segments(&self) -> &[PathSegment<'a>] {
        &self.segments
    }

    /// Returns the path with its last segment replaced by `key`.
    pub(crate) fn sibling(&self, key: &'a str) -> Self {
        let parent = self.segments.split_last().map_or(&[][..], |(_, rest)| rest);
        let mut segments = parent.to_vec();
        segments.push(PathSegment::Key(key));
        Self { segments }
    }

    /// Returns the path extended by a segment.
    fn with(&self, segment: PathSegment<'a>) -> Self {
        let mut segments = self.segments.clone();
        segments.push(segment);
        Self { segments }
    }
}

impl Display for KeyPath<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for (i, segment) in self.segments.iter().enumerate() {
            match segment {
                PathSegment::Item(item) => write!(f, "[{item}]")?,
                PathSegment::Key(key) if i == 0 => f.write_str(&for_display(key))?,
                PathSegment::Key(key) => write!(f, ".{}", for_display(key))?,
            }
        }
        Ok(())
    }
}

/// Returns text of the configuration for use in a message: escaped, so that it
/// stays on one line, and truncated to 64 characters.
pub(crate) fn for_display(text: &str) -> String {
    let mut displayed: String = text.chars().take(64).flat_map(char::escape_debug).collect();
    if text.chars().nth(64).is_some() {
        displayed.push_str("...");
    }
    displayed
}
