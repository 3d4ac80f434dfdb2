use super::*;

const TEXT: &str = include_str!("../../tests/config.json");

fn pause(look: Look) -> u64 {
    match look {
        Look::Again(pause) => pause.as_millis() as u64,
        other => panic!("{other:?}"),
    }
}

#[test]
fn half_a_file_or_none_is_looked_at_again_soon_until_it_can_be_read() {
    let mut reload = Reload::new(Told::parse(TEXT).unwrap());
    let missing = || std::io::Error::from(std::io::ErrorKind::NotFound);
    let half = |n: usize| match n {
        0 => Err(ConfigError::Read { path: "c".into(), error: missing() }),
        n => Told::parse(&TEXT[..TEXT.len() * n / 10]),
    };
    let pauses: Vec<_> = (0..10).map(|n| pause(reload.looked(half(n)))).collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1000, 1000, 1000, 1000, 1000]);
    reload.signalled();
    assert_eq!(pause(reload.looked(half(5))), 50);
    let whole = Told::parse(&TEXT.replace("127.0.0.1:1\"", "127.0.0.1:2\""));
    let bus = "127.0.0.1:2".parse().unwrap();
    assert_eq!(reload.looked(whole), Look::Read { bus, not_taken: Vec::new() });
}

/// No part of a file reads as a whole one, wherever it was cut.
#[test]
fn a_file_cut_anywhere_is_never_taken_for_a_whole_one() {
    let end = TEXT.trim_end().len();
    assert!((0..end).filter(|n| TEXT.is_char_boundary(*n)).all(|n| Told::parse(&TEXT[..n]).is_err()));
}

#[test]
fn what_changed_beyond_the_address_of_the_bus_is_named_and_not_taken_over() {
    for (from, to, named) in [
        ("\"name\":\"look\"", "\"name\":\"watch\"", &["settings.classes.0.name"][..]),
        ("\"acme\"", "\"other\"", &["settings.parties.0.name"]),
        ("[\"west\",\"east\"]", "[\"east\",\"west\"]", &["settings.areas"]),
        ("\"sockets\":256", "\"sockets\":512", &["limits"]),
        ("\"cancel\":true,", "", &["settings.limits.cancel"]),
        ("\"name\":\"n0\"", "\"name\":\"n1\"", &["name"]),
        // Of the events so far the bus tells, and a seed is new each time.
        ("8c1f30d27a5be964", "8c1f30d27a5be965", &[]),
        ("\"health\":\"gone\"", "\"health\":\"gone\",\"share\":7", &[]),
    ] {
        assert!(TEXT.contains(from), "{from}");
        let mut reload = Reload::new(Told::parse(TEXT).unwrap());
        let Look::Read { not_taken, .. } = reload.looked(Told::parse(&TEXT.replace(from, to))) else {
            panic!("{to} can't be read")
        };
        assert_eq!(not_taken, named, "{to}");
    }
}

#[test]
fn what_is_no_file_is_not_waited_for() {
    // A folder stands for all that is no plain file: opening a pipe would hold up the loop until someone writes.
    let folder = std::env::temp_dir();
    assert!(matches!(Told::read_plain(&folder.to_string_lossy()), Err(ConfigError::Read { .. })));
}
