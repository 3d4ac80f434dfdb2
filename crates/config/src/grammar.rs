//! The directives: their positional and named arguments, with kinds and ranges.

use crate::fleet_grammar::FLEET;
use crate::front_ends_list::FRONT_ENDS_LIST;
use crate::sharding::SHARDING;
use crate::value::Kind;
use stagehoist_sharding::MAX_MEMBERS;

pub const MS: i64 = 1000;
pub const S: i64 = 1_000_000;
pub const H: i64 = 3600 * S;

/// An argument. Positional arguments precede the keys; all others are named by their key.
pub struct Argument {
    pub key: &'static str,
    pub kind: Kind,
    pub required: bool,
}

/// How often a directive may occur in a configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Occurrence {
    Once,
    /// Once for each value of its first argument.
    OncePerName,
    Any,
}

/// The syntax of a directive.
pub struct Directive {
    pub name: &'static str,
    pub positional: &'static [Argument],
    pub keys: &'static [Argument],
    pub occurrence: Occurrence,
}

/// Creates a required argument.
pub const fn required_arg(key: &'static str, kind: Kind) -> Argument {
    Argument { key, kind, required: true }
}

/// Creates an optional argument.
pub const fn optional_arg(key: &'static str, kind: Kind) -> Argument {
    Argument { key, kind, required: false }
}

/// Creates a directive that occurs at most once and has only positional arguments.
pub const fn positional_once(name: &'static str, positional: &'static [Argument]) -> Directive {
    Directive { name, positional, keys: &[], occurrence: Occurrence::Once }
}

const YES_NO: &[Argument] = &[required_arg("value", Kind::YesNo)];
const ANY_DURATION: &[Argument] = &[required_arg("value", Kind::Duration(0, H))];
const SHARE: &[Argument] = &[required_arg("value", Kind::Number(0.0, 1.0))];

/// All directives except those of fleets and shards.
pub const DIRECTIVES: &[Directive] = &[
    // This process.
    positional_once("front-ends", &[required_arg("count", Kind::Count(1, 1024))]),
    positional_once("fleet-front-ends", &[required_arg("count", Kind::Count(1, 100_000))]),
    positional_once("seed", &[required_arg("number", Kind::Count(0, u64::MAX))]),
    positional_once("batch-interval", &[required_arg("value", Kind::Duration(0, S))]),
    positional_once("held-most", &[required_arg("calls", Kind::Count(1, 1_000_000))]),
    positional_once("held-bytes-most", &[required_arg("size", Kind::Size(1, 1 << 40))]),
    positional_once("body-most", &[required_arg("size", Kind::Size(1, 64 << 20))]),
    positional_once("answer-margin", &[required_arg("value", Kind::Duration(0, 10 * S))]),
    positional_once("drain-most", &[required_arg("value", Kind::Duration(MS, H))]),
    Directive {
        name: "listen",
        positional: &[required_arg("what", Kind::Word(&["metrics"])), required_arg("address", Kind::Address)],
        keys: &[],
        occurrence: Occurrence::OncePerName,
    },
    // The service.
    Directive {
        name: "class",
        positional: &[required_arg("name", Kind::Text)],
        keys: &[
            required_arg("aim", Kind::Duration(MS, H)),
            required_arg("give-up", Kind::Duration(MS, H)),
            optional_arg("effect", Kind::Word(&["safe", "keyed", "unsafe"])),
            optional_arg("group", Kind::Word(&["all", "zone", "cell"])),
            optional_arg("window", Kind::Duration(MS, H)),
            optional_arg("worth", Kind::Number(0.0, 1e6)),
            optional_arg("late-worth", Kind::Number(0.0, 1.0)),
            optional_arg("aim-stretch", Kind::Number(0.0, 1e3)),
        ],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "function",
        positional: &[required_arg("name", Kind::Text)],
        keys: &[
            required_arg("class", Kind::Text),
            required_arg("memory", Kind::Size(1, 1 << 50)),
            optional_arg("lanes", Kind::Count(1, 10_000)),
            optional_arg("load", Kind::Duration(0, H)),
            optional_arg("work", Kind::Duration(0, H)),
            optional_arg("generation", Kind::Count(1, u32::MAX as u64)),
            optional_arg("retire", Kind::Word(&["strict", "available"])),
            optional_arg("calls", Kind::Rate(0.0, 1e9)),
            optional_arg("spread", Kind::Count(1, 4_096)),
        ],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "tenant",
        positional: &[required_arg("name", Kind::Text)],
        keys: &[required_arg("quota", Kind::Rate(0.0, 1e9)), optional_arg("functions", Kind::Text)],
        occurrence: Occurrence::OncePerName,
    },
    positional_once("over-share-worth", SHARE),
    positional_once("worth-by", &[required_arg("unit", Kind::Word(&["call", "work"]))]),
    // Calls over AMQP.
    Directive {
        name: "broker",
        positional: &[required_arg("url", Kind::Url("amqp"))],
        keys: &[],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "consume",
        positional: &[required_arg("queue", Kind::Text)],
        keys: &[
            optional_arg("prefetch", Kind::Count(1, 65_535)),
            optional_arg("declare", Kind::Word(&["no", "durable", "transient"])),
        ],
        occurrence: Occurrence::OncePerName,
    },
    positional_once("heartbeat", &[required_arg("value", Kind::Duration(0, H))]),
    Directive {
        name: "reconnect",
        positional: &[],
        keys: &[required_arg("first", Kind::Duration(MS, H)), required_arg("most", Kind::Duration(MS, H))],
        occurrence: Occurrence::Once,
    },
    positional_once("confirm-timeout", &[required_arg("value", Kind::Duration(MS, H))]),
    positional_once("replies", &[required_arg("by", Kind::Word(&["confirm", "transaction"]))]),
    positional_once("doubtful-reply", &[required_arg("what", Kind::Word(&["withhold", "resend"]))]),
    Directive {
        name: "answer-memory",
        positional: &[],
        keys: &[
            required_arg("count", Kind::Count(1, 10_000_000)),
            required_arg("keep", Kind::Duration(S, 24 * H)),
        ],
        occurrence: Occurrence::Once,
    },
    // Workers.
    Directive {
        name: "worker-list",
        positional: &[
            required_arg("source", Kind::Word(&["consul", "file"])),
            required_arg("where", Kind::Text),
        ],
        keys: &[
            optional_arg("service", Kind::Text),
            optional_arg("wait", Kind::Duration(100 * MS, 10 * 60 * S)),
            optional_arg("poll", Kind::Duration(10 * MS, H)),
        ],
        occurrence: Occurrence::Once,
    },
    positional_once("workers-most", &[required_arg("count", Kind::Count(1, MAX_MEMBERS as u64))]),
    positional_once("list-subscribe", YES_NO),
    positional_once("list-ask-within", ANY_DURATION),
    positional_once("list-initial-wait", ANY_DURATION),
    Directive {
        name: "worker-kind",
        positional: &[required_arg("name", Kind::Text)],
        keys: &[required_arg("memory", Kind::Size(1, 1 << 50))],
        occurrence: Occurrence::OncePerName,
    },
    Directive {
        name: "zone-names",
        positional: &[required_arg("names", Kind::Text)],
        keys: &[],
        occurrence: Occurrence::Once,
    },
    positional_once("zone", &[required_arg("name", Kind::Text)]),
    positional_once("drain-grace", ANY_DURATION),
    Directive {
        name: "cold-start",
        positional: &[],
        keys: &[
            required_arg("window", Kind::Duration(0, H)),
            required_arg("multiple", Kind::Number(0.0, 1e3)),
            required_arg("share", Kind::Number(0.0, 1.0)),
            required_arg("warm-up", Kind::Duration(0, H)),
        ],
        occurrence: Occurrence::Once,
    },
    positional_once("attempts", &[required_arg("most", Kind::Count(1, 100))]),
    positional_once("second-copies", YES_NO),
    positional_once("cancel", YES_NO),
    positional_once("probe", YES_NO),
    positional_once("order-loads", YES_NO),
    positional_once("answers-tell-copy", YES_NO),
    positional_once("answers-tell-crowd", YES_NO),
    positional_once("connect-timeout", &[required_arg("value", Kind::Duration(MS, 60 * S))]),
    Directive {
        name: "idle-connections",
        positional: &[],
        keys: &[required_arg("close", Kind::Duration(MS, H)), required_arg("most", Kind::Count(0, 10_000))],
        occurrence: Occurrence::Once,
    },
    positional_once("retry-after-most", ANY_DURATION),
    positional_once("idle-keep", ANY_DURATION),
    positional_once("on-miss", &[required_arg("what", Kind::Word(&["load", "miss"]))]),
    positional_once("load-timeout", &[required_arg("value", Kind::Duration(MS, H))]),
    Directive {
        name: "retry-budget",
        positional: &[],
        keys: &[
            required_arg("window", Kind::Duration(0, H)),
            required_arg("free", Kind::Number(0.0, 1e6)),
            required_arg("share", Kind::Number(0.0, 1e3)),
        ],
        occurrence: Occurrence::Once,
    },
    Directive {
        name: "load-ration",
        positional: &[],
        keys: &[
            required_arg("window", Kind::Duration(MS, H)),
            required_arg("free", Kind::Number(0.0, 1e6)),
            required_arg("share", Kind::Number(0.0, 1e3)),
        ],
        occurrence: Occurrence::Once,
    },
    Directive {
        name: "price",
        positional: &[],
        keys: &[
            optional_arg("memory", Kind::Number(0.0, 1e3)),
            optional_arg("probe", Kind::Number(0.0, 1e3)),
            optional_arg("cross-zone", Kind::Number(0.0, 1e3)),
            optional_arg("fetch", Kind::Number(0.0, 1e3)),
        ],
        occurrence: Occurrence::Once,
    },
    Directive {
        name: "reports",
        positional: &[required_arg("via", Kind::Word(&["never", "answers", "probe"]))],
        keys: &[optional_arg("fields", Kind::Text)],
        occurrence: Occurrence::Once,
    },
];

/// Returns the directive with this name.
pub fn directive(name: &str) -> Option<&'static Directive> {
    directives().find(|d| d.name == name)
}

/// Returns all directives.
pub fn directives() -> impl Iterator<Item = &'static Directive> {
    DIRECTIVES.iter().chain(FLEET).chain(SHARDING).chain(FRONT_ENDS_LIST)
}
