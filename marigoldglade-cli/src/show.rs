//! Prints JSON values to standard output, as a table or as JSON.

use serde_json::Value;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Prints a list of objects, or one object, with these columns; with all if `columns` is empty.
pub(crate) fn print(output: Output, value: &Value, columns: &[&str]) {
    if output == Output::Json {
        println!("{value:#}");
        return;
    }
    let items = match value {
        Value::Array(items) => items.as_slice(),
        one => std::slice::from_ref(one),
    };
    let columns = if columns.is_empty() {
        all_columns(items)
    } else {
        columns.iter().map(|c| (*c).to_owned()).collect()
    };
    let mut lines = vec![columns.iter().map(|c| c.to_uppercase()).collect()];
    for item in items {
        lines.push(columns.iter().map(|c| cell(&item[c.as_str()])).collect());
    }
    print_lines(&lines);
}

/// Returns the keys of all objects in the order in which they first appear.
fn all_columns(items: &[Value]) -> Vec<String> {
    let mut columns: Vec<String> = Vec::new();
    for item in items.iter().filter_map(Value::as_object) {
        for key in item
            .keys()
            .filter(|k| !columns.contains(k))
            .cloned()
            .collect::<Vec<_>>()
        {
            columns.push(key);
        }
    }
    columns
}

/// Formats a value as a table cell; an empty value is `-`.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) if text.is_empty() => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) if fields.is_empty() => "-".to_owned(),
        Value::Object(fields) => fields
            .iter()
            .map(|(k, v)| format!("{k}={}", cell(v)))
            .collect::<Vec<_>>()
            .join(","),
        other => other.to_string(),
    }
}

/// Prints lines of cells in aligned columns.
fn print_lines(lines: &[Vec<String>]) {
    let count = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| {
        lines
            .iter()
            .map(|l| l[i].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    for line in lines {
        let padded: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        println!("{}", padded.join("  ").trim_end());
    }
}
