//! Flattens settings into lines.

use serde_json::Value;

/// Returns settings as `path=value` lines. A list of plain values is joined by commas; a list of objects becomes its
/// length and one entry per index.
pub fn flatten(settings: &Value) -> String {
    let mut out = String::new();
    write_lines(&mut out, &mut String::new(), settings);
    out
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n', '\r'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn write_lines(out: &mut String, path: &mut String, value: &Value) {
    let before = path.len();
    let write_member = |out: &mut String, path: &mut String, key: &str, value: &Value| {
        if before > 0 {
            path.push('.');
        }
        path.push_str(key);
        write_lines(out, path, value);
        path.truncate(before);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| write_member(out, path, key, value)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            write_member(out, path, "count", &Value::from(items.len()));
            for (n, item) in items.iter().enumerate() {
                write_member(out, path, &n.to_string(), item);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(format_value).collect();
            out.push_str(&format!("{path}={}\n", items.join(",")));
        }
        other => out.push_str(&format!("{path}={}\n", format_value(other))),
    }
}
