//! Tests of `fields`.

use super::*;

#[test]
fn lists_are_parsed_and_malformed_ones_are_rejected() {
    assert_eq!(parse(b"a=1,b=x=y,c=").unwrap(), [("a", "1"), ("b", "x=y"), ("c", "")]);
    assert!(parse(b"").unwrap().is_empty() && parse(b"-").unwrap().is_empty());
    for bad in [&b"a"[..], b"a=1,", b"=1", b"a=1,a=2", b"a=1 ,b=2", b"a=\xff", b"a=\n"] {
        assert_eq!(parse(bad), Err(FieldsError), "{bad:?}");
    }
    let many: Vec<String> = (0..33).map(|i| format!("f{i}=0")).collect();
    assert!(parse(many.join(",").as_bytes()).is_err());
}

#[test]
fn numbers_ids_and_pairs_are_parsed() {
    assert_eq!((number("8.2"), number("1e3"), number("-1")), (Some(8.2), Some(1000.0), Some(-1.0)));
    assert!(["", "nan", "inf", "1e999", "0x10", "1 "].iter().all(|t| number(t).is_none()));
    assert_eq!(hex16(b"9b1f03aa5c7e2d41"), Some(0x9b1f_03aa_5c7e_2d41));
    assert!([&b"9b1f"[..], b"9B1F03AA5C7E2D41", b"+b1f03aa5c7e2d41"].iter().all(|t| hex16(t).is_none()));
    let got: Vec<_> = pairs("memory_mb:512;lanes:2;x:y").collect();
    assert_eq!(got, [Some(("memory_mb", 512.0)), Some(("lanes", 2.0)), None]);
}
