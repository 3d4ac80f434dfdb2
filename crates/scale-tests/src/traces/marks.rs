//! Intents of attempts in the real store.

use crate::error::ScaleError;
use crate::front_end::hash;
use stagehoist_intent_log::{Batch, Intent, IntentStore, Opener, Options};

/// Intents in one commit: what 122 calls a second bring while one runs is less; fewer commits make the same file.
const BATCH: u64 = 4096;

/// Bytes of the file once so many intents are kept.
pub fn on_disk(kept: u64) -> Result<f64, ScaleError> {
    let failed = |what: String| ScaleError::Measure { row: "marks-disk", what };
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("marks.redb");
    let file = path.clone();
    let opener: Opener = Box::new(move || Ok(redb::Database::create(&file)?));
    let mut store = IntentStore::open(opener, Options { max_intents: u64::MAX, ..Options::default() }, 0)
        .map_err(|e| failed(e.to_string()))?;
    store.begin(1, None, 0).map_err(|e| failed(e.to_string()))?;
    let mut number = 0;
    while number < kept {
        let until = (number + BATCH).min(kept);
        let marks = (number..until)
            .map(|n| Intent { identity: u128::from(hash(n)) << 64 | u128::from(n), number: n });
        let batch = Batch { intents: marks.collect(), ended: Vec::new() };
        store.commit(&batch, 1_000 * until as i64).map_err(|e| failed(e.to_string()))?;
        number = until;
    }
    Ok(std::fs::metadata(&path)?.len() as f64)
}
