//! Tests of `paths`.

use super::*;

#[test]
fn a_later_generation_is_a_version_and_only_in_a_fleet() {
    assert_eq!(model("free times", true), "/v2/models/free%20times");
    assert_eq!(model("free@2", true), "/v2/models/free/versions/2");
    assert_eq!(model("free@2", false), "/v2/models/free%402");
    assert_eq!(repository("free@3", true), ("/v2/repository/models/free".into(), Some(3)));
}
