//! Versions of a model, as the protocol names them: each has copies of its own and needs what the model needs.

#[cfg(test)]
mod tests;

/// The name under which a version is held; the first is the model's own. None: no such version can be.
pub fn held(model: &str, version: &str) -> Option<String> {
    match version.parse::<u32>() {
        Ok(1) => Some(model.to_string()),
        Ok(n) if n > 1 => Some(format!("{model}@{n}")),
        _ => None,
    }
}

/// The same by the parameters of an order, `{"parameters": {"version": "2"}}`; the first where none is named.
pub fn ordered(model: &str, body: &[u8]) -> Option<String> {
    let told = serde_json::from_slice::<serde_json::Value>(body).ok();
    match told.as_ref().and_then(|t| t.get("parameters")?.get("version")) {
        Some(version) => held(model, version.as_str()?),
        None => Some(model.to_string()),
    }
}

/// The model that a held name is a version of.
pub fn model(held: &str) -> &str {
    match held.rsplit_once('@') {
        Some((model, version)) if version.parse::<u32>().is_ok_and(|n| n > 1) => model,
        _ => held,
    }
}
