//! Tests of `session_file`.

use super::*;

#[test]
fn stored_memory_is_read_again_and_a_damaged_file_is_quarantined() {
    let folder = tempfile::tempdir().unwrap();
    let mut session_file = SessionFile::open(Some(folder.path()), "A/1").unwrap();
    session_file.change(|m| m.incarnation = 7).unwrap();
    assert_eq!(SessionFile::open(Some(folder.path()), "A/1").unwrap().memory.incarnation, 7);
    assert_eq!(SessionFile::open(Some(folder.path()), "a/1").unwrap().memory.incarnation, 0);
    let path = folder.path().join(file_name("A/1"));
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[9] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    assert_eq!(SessionFile::open(Some(folder.path()), "A/1").unwrap().memory, SessionMemory::default());
    assert!(path.with_extension("damaged-1").exists());
}
