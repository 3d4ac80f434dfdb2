//! The directives of a process that is part of a fleet.

use crate::grammar::{may, must, one, Directive, Occurrence, H, MS, S};
use crate::value::Kind;

const NUMBER: Kind = Kind::Count(1, u64::MAX);

/// Taken together with those of [`crate::grammar::DIRECTIVES`].
pub const FLEET: &[Directive] = &[
    one("member", &[must("name", Kind::Text)]),
    Directive {
        name: "keeper",
        places: &[must("number", NUMBER), must("address", Kind::Address)],
        keys: &[],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "keep",
        places: &[must("number", NUMBER)],
        keys: &[must("listen", Kind::Address), must("store", Kind::Text)],
        often: Occurrence::Once,
    },
    one("fleet-folder", &[must("folder", Kind::Text)]),
    one("view-lease", &[must("value", Kind::Duration(100 * MS, 60 * S))]),
    one("drift", &[must("share", Kind::Number(0.0, 0.2))]),
    one("remember", &[must("value", Kind::Duration(S, 1000 * H))]),
    one("asking-most", &[must("value", Kind::Duration(0, 60 * S))]),
    one("retirements", &[must("file", Kind::Text)]),
    Directive {
        name: "pool",
        places: &[must("name", Kind::Text)],
        keys: &[must("functions", Kind::Text), must("lanes", Kind::Text)],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "reserve",
        places: &[must("tenant", Kind::Text)],
        keys: &[must("pool", Kind::Text), must("lanes", Kind::Count(1, 1_000_000))],
        often: Occurrence::Any,
    },
    one("pools-edition", &[must("number", NUMBER)]),
    Directive {
        name: "marks",
        places: &[must("folder", Kind::Text)],
        keys: &[may("keep", Kind::Duration(S, 1000 * H)), may("most", Kind::Count(1000, 100_000_000))],
        often: Occurrence::Once,
    },
    Directive {
        name: "recover",
        places: &[],
        keys: &[
            may("waking", Kind::Duration(0, 60 * S)),
            may("asking", Kind::Duration(0, 60 * S)),
            may("reserved", Kind::Duration(S, H)),
            may("share", Kind::Number(0.01, 1.0)),
            may("new", Kind::Duration(S, H)),
        ],
        often: Occurrence::Once,
    },
];
