//! Finds the line and column of a field in a YAML text.

use std::fmt;

use serde::de::{self, Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A step from a node to one of its children.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The field of a mapping, by name.
    Field(String),
    /// The item of a sequence, by its index from zero.
    Item(usize),
}

/// The path from the document's root to a field, displayed as `classes[2].urgency`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Path {
    /// The steps from the root.
    pub steps: Vec<Step>,
}

impl Path {
    /// Returns the path to an item of a sequence at the root.
    #[must_use]
    pub fn item(field: &str, index: usize) -> Self {
        let field = Step::Field(field.to_owned());
        Self {
            steps: vec![field, Step::Item(index)],
        }
    }

    /// Returns the path to a field of this node.
    #[must_use]
    pub fn field(&self, field: &str) -> Self {
        let mut path = self.clone();
        path.steps.push(Step::Field(field.to_owned()));
        path
    }

    /// Returns the path to an item of a sequence in a field of this node.
    #[must_use]
    pub fn field_item(&self, field: &str, index: usize) -> Self {
        let mut path = self.field(field);
        path.steps.push(Step::Item(index));
        path
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.steps.iter().enumerate() {
            match step {
                Step::Field(field) if i == 0 => f.write_str(field)?,
                Step::Field(field) => write!(f, ".{field}")?,
                Step::Item(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

/// A line and column, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line number, from 1.
    pub line: u64,
    /// The column, in characters.
    pub column: u64,
}

/// Returns the position of `path` in `text`, or that of its nearest ancestor that exists; line and
/// column 1 if the text can't be parsed.
#[must_use]
pub fn locate(text: &str, path: &Path) -> Position {
    let Ok(root) = serde_saphyr::from_str::<Spanned<Node>>(text) else {
        return Position { line: 1, column: 1 };
    };
    let mut found = &root;
    for step in &path.steps {
        let child = match (&found.value, step) {
            (Node::Map(fields), Step::Field(name)) => fields.iter().find(|(k, _)| k == name),
            (Node::Seq(items), Step::Item(index)) => {
                let Some(child) = items.get(*index) else {
                    break;
                };
                found = child;
                continue;
            }
            _ => None,
        };
        let Some((_, child)) = child else {
            break;
        };
        found = child;
    }
    Position {
        line: found.referenced.line(),
        column: found.referenced.column(),
    }
}

/// A YAML tree without the values of its scalars.
enum Node {
    Map(Vec<(String, Spanned<Node>)>),
    Seq(Vec<Spanned<Node>>),
    Scalar,
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

macro_rules! visit_scalars {
    ($($name:ident: $type:ty),*) => {
        $(fn $name<E: de::Error>(self, _: $type) -> Result<Node, E> {
            Ok(Node::Scalar)
        })*
    };
}

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any YAML node")
    }

    visit_scalars!(
        visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_i128: i128, visit_u128: u128,
        visit_f64: f64, visit_str: &str, visit_bytes: &[u8]
    );

    fn visit_unit<E: de::Error>(self) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_none<E: de::Error>(self) -> Result<Node, E> {
        Ok(Node::Scalar)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_newtype_struct<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        IgnoredAny::deserialize(deserializer).map(|_| Node::Scalar)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::Seq(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Node::Map(fields))
    }
}
