//! Reads YAML, with errors that name the line, column and field.

use serde::de::DeserializeOwned;

use crate::error::{Error, Kind, Result};

/// Reads a value; `file` names the text in errors.
///
/// # Errors
///
/// [`Kind::BadInput`] as `file:line:column: field: what was expected`.
pub fn read<T: DeserializeOwned>(file: &str, text: &str) -> Result<T> {
    let mut path = String::new();
    let read = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_path_to_error::deserialize(deserializer).map_err(|e| {
            path = e.path().to_string();
            e.into_inner()
        })
    });
    read.map_err(|e| {
        let (line, column) = e.location().map_or((1, 1), |l| (l.line(), l.column()));
        let detail = strip_location(&e.without_snippet().to_string());
        // A path of one dot is the whole document.
        let field = match path.as_str() {
            "" | "." => String::new(),
            path => format!("{path}: "),
        };
        Error::new(
            Kind::BadInput,
            format!("{file}:{line}:{column}: {field}{detail}"),
        )
    })
}

/// Reads a value as [`read`] does; a blank text gives the default value.
///
/// # Errors
///
/// As [`read`].
pub fn read_or_default<T: DeserializeOwned + Default>(file: &str, text: &str) -> Result<T> {
    if text.trim().is_empty() {
        return Ok(T::default());
    }
    read(file, text)
}

/// Removes the location that the YAML library appends to its messages.
fn strip_location(message: &str) -> String {
    let end = message.find(" at line ").unwrap_or(message.len());
    message[..end].to_owned()
}
