//! Tests of `fingerprint`.

use super::*;

#[test]
fn a_torn_slot_loses_only_the_newest_fingerprint_and_a_term_never_decreases() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("guard");
    let mut guard = StoreFingerprint::open(&path).unwrap();
    assert_eq!(guard.fingerprint(), None);
    guard.set(Fingerprint { term: 3, last: (3, 10) }).unwrap();
    guard.set(Fingerprint { term: 2, last: (3, 11) }).unwrap();
    let newest = StoreFingerprint::open(&path).unwrap().fingerprint();
    assert_eq!(newest, Some(Fingerprint { term: 3, last: (3, 11) }));
    // The second fingerprint was written to the first slot.
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    assert_eq!(
        StoreFingerprint::open(&path).unwrap().fingerprint(),
        Some(Fingerprint { term: 3, last: (3, 10) })
    );
    bytes[SLOT + 20] ^= 1;
    std::fs::write(&path, &bytes).unwrap();
    assert_eq!(StoreFingerprint::open(&path).unwrap().fingerprint(), None);
}
