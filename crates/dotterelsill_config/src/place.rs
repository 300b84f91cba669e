//! Paths of keys in the operators' text.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

/// One step of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step<'a> {
    /// An item of a list, counted from 0.
    Item(usize),
    /// A key of a mapping.
    Key(&'a str),
}

/// A path of a key, such as `teams[2].share_percent`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Place<'a> {
    /// Steps from the root.
    steps: Vec<Step<'a>>,
}

impl<'a> Place<'a> {
    /// Returns the path of an item of a list at the root.
    pub(crate) fn item_of(list: &'a str, item: usize) -> Self {
        Self::default().key(list).item(item)
    }

    /// Returns the path with a key added.
    pub(crate) fn key(&self, key: &'a str) -> Self {
        self.with(Step::Key(key))
    }

    /// Returns the path with an item added.
    pub(crate) fn item(&self, item: usize) -> Self {
        self.with(Step::Item(item))
    }

    /// Returns the steps from the root.
    pub(crate) fn steps(&self) -> &[Step<'a>] {
        &self.steps
    }

    /// Returns the path with its last key replaced by another one.
    pub(crate) fn sibling(&self, key: &'a str) -> Self {
        let parent = self.steps.split_last().map_or(&[][..], |(_, rest)| rest);
        let mut steps = parent.to_vec();
        steps.push(Step::Key(key));
        Self { steps }
    }

    /// Returns the path with a step added.
    fn with(&self, step: Step<'a>) -> Self {
        let mut steps = self.steps.clone();
        steps.push(step);
        Self { steps }
    }
}

impl Display for Place<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        for (i, step) in self.steps.iter().enumerate() {
            match step {
                Step::Item(item) => write!(f, "[{item}]")?,
                Step::Key(key) if i == 0 => f.write_str(&shown(key))?,
                Step::Key(key) => write!(f, ".{}", shown(key))?,
            }
        }
        Ok(())
    }
}

/// Returns text of the operators as it appears in messages: on one line and
/// cut to 64 characters.
pub(crate) fn shown(text: &str) -> String {
    let mut cut: String = text.chars().take(64).flat_map(char::escape_debug).collect();
    if text.chars().nth(64).is_some() {
        cut.push_str("...");
    }
    cut
}
