use super::*;

#[test]
fn ids_are_remembered_for_their_retention() {
    let mut ids = RecentIds::default();
    ids.insert(1, 0);
    ids.insert(2, RETENTION / 2);
    ids.insert(1, RETENTION / 2);
    assert!(ids.contains(1) && ids.contains(2) && !ids.contains(3));
    ids.purge(RETENTION);
    assert!(!ids.contains(1) && ids.contains(2));
    ids.purge(2 * RETENTION);
    assert!(!ids.contains(2) && ids.ended.is_empty());
}

#[test]
fn the_oldest_ids_are_forgotten_when_there_is_no_room() {
    let mut ids = RecentIds::default();
    (0..MAX_IDS as u64 + 10).for_each(|id| ids.insert(id, 0));
    assert_eq!((ids.ids.len(), ids.ended.len()), (MAX_IDS, MAX_IDS));
    assert!(!ids.contains(9) && ids.contains(10));
}
