//! Edits of a section's text that preserve comments and order.

use displaydoc::Display;
use jsonc_parser::cst::{CstArray, CstInputValue, CstNode, CstObject, CstRootNode};
use serde_json::Value;

use crate::edit_path::PathSegment;
use crate::reader::PARSE_OPTIONS;
use crate::{Assignment, EditPath, EditPathError, Section, TopUp};

/// Edits the text of one section and preserves its comments, order and layout.
///
/// ```
/// use toucan_config::{EditPath, Section, SectionEditor};
///
/// let text = "{\n  // The first customer.\n  \"organisations\": {}\n}\n";
/// let editor = SectionEditor::parse(Section::Finance, text)?;
/// let path = EditPath::parse("finance.organisations.guild.bridge_ms").expect("a path");
/// editor.set(&path, &serde_json::json!(60000))?;
/// assert!(editor.text().contains("// The first customer."));
/// assert!(editor.text().contains("60000"));
/// # Ok::<(), toucan_config::EditError>(())
/// ```
pub struct SectionEditor {
    section: Section,
    root: CstRootNode,
}

/// Error when editing a section's text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EditError {
    /// the text does not parse: {0}
    Parse(String),
    /// {0}: {1}
    Path(String, EditPathError),
    /// {0}: the path belongs to another section
    OtherSection(String),
    /// {0}: there is no such value
    NotFound(String),
    /// {0}: a value on the path is neither an object nor a list
    NotContainer(String),
    /// {0}: the index is past the end of the list
    PastEnd(String),
}

impl std::error::Error for EditError {}

/// Object or list that holds the value of a path.
enum Parent {
    Object(CstObject),
    Array(CstArray),
}

impl SectionEditor {
    /// Parses a text for editing.
    pub fn parse(section: Section, text: &str) -> Result<Self, EditError> {
        let root = CstRootNode::parse(text, &PARSE_OPTIONS)
            .map_err(|error| EditError::Parse(error.to_string()))?;
        Ok(Self { section, root })
    }

    /// Sets a value.
    ///
    /// Missing objects on the path are created. An index equal to a list's length appends.
    pub fn set(&self, path: &EditPath, value: &Value) -> Result<(), EditError> {
        let (parent, last) = self.parent_of(path, true)?;
        let input = cst_value(value);
        match (parent, last) {
            (Parent::Object(object), PathSegment::Name(name)) => {
                match object.get(name) {
                    Some(property) => property.set_value(input),
                    None => drop(object.append(name, input)),
                }
                Ok(())
            }
            (Parent::Array(array), PathSegment::Index(index)) => {
                set_element(&array, *index, input, path)
            }
            _ => Err(EditError::NotContainer(path.to_string())),
        }
    }

    /// Removes a value and its comma.
    pub fn remove(&self, path: &EditPath) -> Result<(), EditError> {
        let (parent, last) = self.parent_of(path, false)?;
        match (parent, last) {
            (Parent::Object(object), PathSegment::Name(name)) => {
                let property = object.get(name);
                property.ok_or_else(|| not_found(path))?.remove();
            }
            (Parent::Array(array), PathSegment::Index(index)) => {
                let element = array.elements().into_iter().nth(*index);
                element.ok_or_else(|| not_found(path))?.remove();
            }
            _ => return Err(EditError::NotContainer(path.to_string())),
        }
        Ok(())
    }

    /// Applies an assignment: sets or removes the value at its path.
    pub fn assign(&self, assignment: &Assignment) -> Result<(), EditError> {
        let path = EditPath::parse(&assignment.path)
            .map_err(|error| EditError::Path(assignment.path.clone(), error))?;
        if assignment.value.is_null() {
            self.remove(&path)
        } else {
            self.set(&path, &assignment.value)
        }
    }

    /// Adds a top-up to its budget unless the budget has one with this id.
    ///
    /// Returns whether it was added.
    pub fn add_top_up(&self, top_up: &TopUp) -> Result<bool, EditError> {
        let budget_path = EditPath::of_entry(self.section, "budgets", top_up.budget.as_str());
        let (parent, _) = self.parent_of(&budget_path, false)?;
        let Parent::Object(budgets) = parent else {
            return Err(not_found(&budget_path));
        };
        let budget = budgets
            .object_value(top_up.budget.as_str())
            .ok_or_else(|| not_found(&budget_path))?;
        let top_ups = budget
            .array_value_or_create("top_ups")
            .ok_or_else(|| EditError::NotContainer(budget_path.to_string()))?;
        let is_known = top_ups
            .elements()
            .iter()
            .filter_map(CstNode::to_serde_value)
            .any(|entry| entry.get("id").and_then(Value::as_str) == Some(&top_up.id));
        if is_known {
            return Ok(false);
        }
        top_ups.append(CstInputValue::Object(vec![
            ("id".to_owned(), CstInputValue::String(top_up.id.clone())),
            (
                "tokens".to_owned(),
                CstInputValue::Number(top_up.tokens.to_string()),
            ),
        ]));
        Ok(true)
    }

    /// Returns the edited text.
    #[must_use]
    pub fn text(&self) -> String {
        self.root.to_string()
    }

    /// Returns the value at a path, without comments.
    #[must_use]
    pub fn value(&self, path: &EditPath) -> Option<Value> {
        let (parent, last) = self.parent_of(path, false).ok()?;
        match (parent, last) {
            (Parent::Object(object), PathSegment::Name(name)) => {
                object.get(name)?.value()?.to_serde_value()
            }
            (Parent::Array(array), PathSegment::Index(index)) => {
                array.elements().into_iter().nth(*index)?.to_serde_value()
            }
            _ => None,
        }
    }

    fn parent_of<'p>(
        &self,
        path: &'p EditPath,
        create_missing: bool,
    ) -> Result<(Parent, &'p PathSegment), EditError> {
        if path.section() != self.section {
            return Err(EditError::OtherSection(path.to_string()));
        }
        let Some((last, ancestors)) = path.segments().split_last() else {
            return Err(not_found(path));
        };
        let root = match self.root.object_value() {
            Some(root) => root,
            None if create_missing => self
                .root
                .object_value_or_create()
                .ok_or_else(|| EditError::NotContainer(path.to_string()))?,
            None => return Err(not_found(path)),
        };
        let mut parent = Parent::Object(root);
        for segment in ancestors {
            parent = child_container(&parent, segment, path, create_missing)?;
        }
        Ok((parent, last))
    }
}

impl std::fmt::Debug for SectionEditor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SectionEditor")
            .field("section", &self.section)
            .finish_non_exhaustive()
    }
}

fn child_container(
    parent: &Parent,
    segment: &PathSegment,
    path: &EditPath,
    create_missing: bool,
) -> Result<Parent, EditError> {
    let node = match (parent, segment) {
        (Parent::Object(object), PathSegment::Name(name)) => {
            match object.get(name).and_then(|property| property.value()) {
                Some(node) => node,
                None if create_missing => {
                    let made = object.append(name, CstInputValue::Object(Vec::new()));
                    made.value().ok_or_else(|| not_found(path))?
                }
                None => return Err(not_found(path)),
            }
        }
        (Parent::Array(array), PathSegment::Index(index)) => {
            let element = array.elements().into_iter().nth(*index);
            element.ok_or_else(|| not_found(path))?
        }
        _ => return Err(EditError::NotContainer(path.to_string())),
    };
    if let Some(object) = node.as_object() {
        return Ok(Parent::Object(object));
    }
    node.as_array()
        .map(Parent::Array)
        .ok_or_else(|| EditError::NotContainer(path.to_string()))
}

fn set_element(
    array: &CstArray,
    index: usize,
    input: CstInputValue,
    path: &EditPath,
) -> Result<(), EditError> {
    let length = array.elements().len();
    if index > length {
        return Err(EditError::PastEnd(path.to_string()));
    }
    if index < length
        && let Some(old) = array.elements().into_iter().nth(index)
    {
        old.remove();
    }
    array.insert(index, input);
    Ok(())
}

fn not_found(path: &EditPath) -> EditError {
    EditError::NotFound(path.to_string())
}

fn cst_value(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(flag) => CstInputValue::Bool(*flag),
        Value::Number(number) => CstInputValue::Number(number.to_string()),
        Value::String(text) => CstInputValue::String(text.clone()),
        Value::Array(values) => CstInputValue::Array(values.iter().map(cst_value).collect()),
        Value::Object(fields) => CstInputValue::Object(
            fields
                .iter()
                .map(|(name, value)| (name.clone(), cst_value(value)))
                .collect(),
        ),
    }
}
