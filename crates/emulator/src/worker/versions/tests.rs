//! Tests of `versions`.

use super::*;

#[test]
fn each_version_is_held_by_a_name_of_its_own() {
    assert_eq!(held("f", "1").as_deref(), Some("f"));
    assert_eq!(held("f", "2").as_deref(), Some("f@2"));
    assert_eq!((held("f", "0"), held("f", "two")), (None, None));
    assert_eq!((model("f@2"), model("f"), model("f@x")), ("f", "f", "f@x"));
    assert_eq!(ordered("f", b"{\"parameters\":{\"copies\":2}}").as_deref(), Some("f"));
    assert_eq!(ordered("f", b"{\"parameters\":{\"version\":\"3\"}}").as_deref(), Some("f@3"));
    assert_eq!(ordered("f", b"{\"parameters\":{\"version\":3}}"), None);
}
