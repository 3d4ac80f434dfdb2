//! Settings as lines.

use serde_json::Value;

/// Settings as `path=value` lines: a list of plain values joined by commas, a list of objects under its length and its items'
/// places.
pub fn flatten(settings: &Value) -> String {
    let mut out = String::new();
    put(&mut out, &mut String::new(), settings);
    out
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n', '\r'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn put(out: &mut String, path: &mut String, value: &Value) {
    let before = path.len();
    let each = |out: &mut String, path: &mut String, key: &str, value: &Value| {
        if before > 0 {
            path.push('.');
        }
        path.push_str(key);
        put(out, path, value);
        path.truncate(before);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| each(out, path, key, value)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            each(out, path, "count", &Value::from(items.len()));
            for (n, item) in items.iter().enumerate() {
                each(out, path, &n.to_string(), item);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            out.push_str(&format!("{path}={}\n", items.join(",")));
        }
        other => out.push_str(&format!("{path}={}\n", plain(other))),
    }
}
