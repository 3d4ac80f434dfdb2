//! Tests of `functions`.

use super::*;

#[test]
fn unused_names_expire_and_an_id_belongs_to_one_name() {
    let mut names = Names::new(NameLimits::new(100, 1000));
    let (a, b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    assert!(
        names.on_call(1, &a, true, 0) && names.on_call(1, &a, true, 10) && !names.on_call(1, &b, true, 10)
    );
    (2..101).for_each(|id| assert!(names.on_call(id, &b, true, 10)));
    assert!(!names.on_call(200, &b, true, 20), "the cache is full of names in use");
    assert!(names.on_call(200, &b, true, 2000), "unused names were removed");
    assert_eq!((names.len(), names.name(1), names.name(200)), (1, None, Some(b)));
}

#[test]
fn clients_that_were_never_served_leave_room_for_the_names_of_others() {
    let mut names = Names::new(NameLimits::new(100, 1000));
    let name: Rc<str> = "f".into();
    let added = (0..200).filter(|id| names.on_call(*id, &name, false, 0)).count();
    assert_eq!(added, 75);
    assert!(names.on_call(3, &name, false, 0), "a cached name is called again");
    let added = (200..300).filter(|id| names.on_call(*id, &name, true, 0)).count();
    assert_eq!((added, names.len()), (25, 100));
}

#[test]
fn a_million_functions_leave_no_memory_behind() {
    let mut names = Names::new(NameLimits::new(50_000, 30_000_000));
    let name: Rc<str> = "f".into();
    for id in 0..1_000_000u64 {
        assert!(names.on_call(id, &name, true, id as Micros * 1000));
        names.purge(id as Micros * 1000);
    }
    assert!(names.len() < 33_000, "{}", names.len());
    names.purge(2_000_000_000);
    assert_eq!((names.len(), names.names.capacity() <= 1024), (0, true));
}
