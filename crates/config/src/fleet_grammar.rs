//! Directives of a process that is part of a fleet.

use crate::grammar::{optional_arg, positional_once, required_arg, Directive, Occurrence, H, MS, S};
use crate::value::Kind;

const NUMBER: Kind = Kind::Count(1, u64::MAX);

/// Fleet directives; used together with [`crate::grammar::DIRECTIVES`].
pub const FLEET: &[Directive] = &[
    positional_once("member", &[required_arg("name", Kind::Text)]),
    Directive {
        name: "keeper",
        positional: &[required_arg("number", NUMBER), required_arg("address", Kind::Address)],
        keys: &[],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "keep",
        positional: &[required_arg("number", NUMBER)],
        keys: &[required_arg("listen", Kind::Address), required_arg("store", Kind::Text)],
        occurrence: Occurrence::Once,
    },
    positional_once("fleet-folder", &[required_arg("folder", Kind::Text)]),
    positional_once("view-lease", &[required_arg("value", Kind::Duration(100 * MS, 60 * S))]),
    positional_once("drift", &[required_arg("share", Kind::Number(0.0, 0.2))]),
    positional_once("remember", &[required_arg("value", Kind::Duration(S, 1000 * H))]),
    positional_once("asking-most", &[required_arg("value", Kind::Duration(0, 60 * S))]),
    positional_once("retirements", &[required_arg("file", Kind::Text)]),
    Directive {
        name: "pool",
        positional: &[required_arg("name", Kind::Text)],
        keys: &[required_arg("functions", Kind::Text), required_arg("lanes", Kind::Text)],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "reserve",
        positional: &[required_arg("tenant", Kind::Text)],
        keys: &[required_arg("pool", Kind::Text), required_arg("lanes", Kind::Count(1, 1_000_000))],
        occurrence: Occurrence::Any,
    },
    positional_once("pools-edition", &[required_arg("number", NUMBER)]),
    Directive {
        name: "marks",
        positional: &[required_arg("folder", Kind::Text)],
        keys: &[
            optional_arg("keep", Kind::Duration(S, 1000 * H)),
            optional_arg("most", Kind::Count(1000, 100_000_000)),
        ],
        occurrence: Occurrence::Once,
    },
    Directive {
        name: "recover",
        positional: &[],
        keys: &[
            optional_arg("waking", Kind::Duration(0, 60 * S)),
            optional_arg("asking", Kind::Duration(0, 60 * S)),
            optional_arg("reserved", Kind::Duration(S, H)),
            optional_arg("share", Kind::Number(0.01, 1.0)),
            optional_arg("new", Kind::Duration(S, H)),
        ],
        occurrence: Occurrence::Once,
    },
];
