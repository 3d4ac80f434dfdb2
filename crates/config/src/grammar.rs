//! The directives: their arguments by place and by key, with kinds and ranges.

use crate::fleet_grammar::FLEET;
use crate::front_ends_list::FRONT_ENDS_LIST;
use crate::sharding::SHARDING;
use crate::value::Kind;
use stagehoist_sharding::MAX_MEMBERS;

pub const MS: i64 = 1000;
pub const S: i64 = 1_000_000;
pub const H: i64 = 3600 * S;

/// An argument: by place where it comes before the keys, else named by its key.
pub struct Argument {
    pub key: &'static str,
    pub kind: Kind,
    pub required: bool,
}

/// How often a directive may stand in a configuration.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Occurrence {
    Once,
    /// Once for each value of its first argument.
    OncePerName,
    Any,
}

/// A directive.
pub struct Directive {
    pub name: &'static str,
    pub places: &'static [Argument],
    pub keys: &'static [Argument],
    pub often: Occurrence,
}

/// An argument that is required.
pub const fn must(key: &'static str, kind: Kind) -> Argument {
    Argument { key, kind, required: true }
}

/// An argument that may be left out.
pub const fn may(key: &'static str, kind: Kind) -> Argument {
    Argument { key, kind, required: false }
}

/// A directive that stands once at most and takes its arguments by place.
pub const fn one(name: &'static str, places: &'static [Argument]) -> Directive {
    Directive { name, places, keys: &[], often: Occurrence::Once }
}

const YES: &[Argument] = &[must("value", Kind::YesNo)];
const ANY_DURATION: &[Argument] = &[must("value", Kind::Duration(0, H))];
const SHARE: &[Argument] = &[must("value", Kind::Number(0.0, 1.0))];

/// Every directive but those of a fleet and of its shards.
pub const DIRECTIVES: &[Directive] = &[
    // This process.
    one("front-ends", &[must("count", Kind::Count(1, 1024))]),
    one("fleet-front-ends", &[must("count", Kind::Count(1, 100_000))]),
    one("seed", &[must("number", Kind::Count(0, u64::MAX))]),
    one("batch-interval", &[must("value", Kind::Duration(0, S))]),
    one("held-most", &[must("calls", Kind::Count(1, 1_000_000))]),
    one("held-bytes-most", &[must("size", Kind::Size(1, 1 << 40))]),
    one("body-most", &[must("size", Kind::Size(1, 64 << 20))]),
    one("answer-margin", &[must("value", Kind::Duration(0, 10 * S))]),
    one("drain-most", &[must("value", Kind::Duration(MS, H))]),
    Directive {
        name: "listen",
        places: &[must("what", Kind::Word(&["metrics"])), must("address", Kind::Address)],
        keys: &[],
        often: Occurrence::OncePerName,
    },
    // The service.
    Directive {
        name: "class",
        places: &[must("name", Kind::Text)],
        keys: &[
            must("aim", Kind::Duration(MS, H)),
            must("give-up", Kind::Duration(MS, H)),
            may("effect", Kind::Word(&["safe", "keyed", "unsafe"])),
            may("group", Kind::Word(&["all", "zone", "cell"])),
            may("window", Kind::Duration(MS, H)),
            may("worth", Kind::Number(0.0, 1e6)),
            may("late-worth", Kind::Number(0.0, 1.0)),
            may("aim-stretch", Kind::Number(0.0, 1e3)),
        ],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "function",
        places: &[must("name", Kind::Text)],
        keys: &[
            must("class", Kind::Text),
            must("memory", Kind::Size(1, 1 << 50)),
            may("lanes", Kind::Count(1, 10_000)),
            may("load", Kind::Duration(0, H)),
            may("work", Kind::Duration(0, H)),
            may("generation", Kind::Count(1, u32::MAX as u64)),
            may("retire", Kind::Word(&["strict", "available"])),
            may("calls", Kind::Rate(0.0, 1e9)),
            may("spread", Kind::Count(1, 4_096)),
        ],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "tenant",
        places: &[must("name", Kind::Text)],
        keys: &[must("quota", Kind::Rate(0.0, 1e9)), may("functions", Kind::Text)],
        often: Occurrence::OncePerName,
    },
    one("over-share-worth", SHARE),
    one("worth-by", &[must("unit", Kind::Word(&["call", "work"]))]),
    // Callers over AMQP.
    Directive {
        name: "broker",
        places: &[must("url", Kind::Url("amqp"))],
        keys: &[],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "consume",
        places: &[must("queue", Kind::Text)],
        keys: &[
            may("prefetch", Kind::Count(1, 65_535)),
            may("declare", Kind::Word(&["no", "durable", "transient"])),
        ],
        often: Occurrence::OncePerName,
    },
    one("heartbeat", &[must("value", Kind::Duration(0, H))]),
    Directive {
        name: "reconnect",
        places: &[],
        keys: &[must("first", Kind::Duration(MS, H)), must("most", Kind::Duration(MS, H))],
        often: Occurrence::Once,
    },
    one("confirm-timeout", &[must("value", Kind::Duration(MS, H))]),
    one("replies", &[must("by", Kind::Word(&["confirm", "transaction"]))]),
    one("doubtful-reply", &[must("what", Kind::Word(&["withhold", "resend"]))]),
    Directive {
        name: "answer-memory",
        places: &[],
        keys: &[must("count", Kind::Count(1, 10_000_000)), must("keep", Kind::Duration(S, 24 * H))],
        often: Occurrence::Once,
    },
    // Workers.
    Directive {
        name: "worker-list",
        places: &[must("source", Kind::Word(&["consul", "file"])), must("where", Kind::Text)],
        keys: &[
            may("service", Kind::Text),
            may("wait", Kind::Duration(100 * MS, 10 * 60 * S)),
            may("poll", Kind::Duration(10 * MS, H)),
        ],
        often: Occurrence::Once,
    },
    one("workers-most", &[must("count", Kind::Count(1, MAX_MEMBERS as u64))]),
    one("list-subscribe", YES),
    one("list-ask-within", ANY_DURATION),
    one("list-initial-wait", ANY_DURATION),
    Directive {
        name: "worker-kind",
        places: &[must("name", Kind::Text)],
        keys: &[must("memory", Kind::Size(1, 1 << 50))],
        often: Occurrence::OncePerName,
    },
    Directive {
        name: "zone-names",
        places: &[must("names", Kind::Text)],
        keys: &[],
        often: Occurrence::Once,
    },
    one("zone", &[must("name", Kind::Text)]),
    one("drain-grace", ANY_DURATION),
    Directive {
        name: "cold-start",
        places: &[],
        keys: &[
            must("window", Kind::Duration(0, H)),
            must("multiple", Kind::Number(0.0, 1e3)),
            must("share", Kind::Number(0.0, 1.0)),
            must("warm-up", Kind::Duration(0, H)),
        ],
        often: Occurrence::Once,
    },
    one("attempts", &[must("most", Kind::Count(1, 100))]),
    one("second-copies", YES),
    one("cancel", YES),
    one("probe", YES),
    one("order-loads", YES),
    one("answers-tell-copy", YES),
    one("answers-tell-crowd", YES),
    one("connect-timeout", &[must("value", Kind::Duration(MS, 60 * S))]),
    Directive {
        name: "idle-connections",
        places: &[],
        keys: &[must("close", Kind::Duration(MS, H)), must("most", Kind::Count(0, 10_000))],
        often: Occurrence::Once,
    },
    one("retry-after-most", ANY_DURATION),
    one("idle-keep", ANY_DURATION),
    one("on-miss", &[must("what", Kind::Word(&["load", "miss"]))]),
    one("load-timeout", &[must("value", Kind::Duration(MS, H))]),
    Directive {
        name: "retry-budget",
        places: &[],
        keys: &[
            must("window", Kind::Duration(0, H)),
            must("free", Kind::Number(0.0, 1e6)),
            must("share", Kind::Number(0.0, 1e3)),
        ],
        often: Occurrence::Once,
    },
    Directive {
        name: "load-ration",
        places: &[],
        keys: &[
            must("window", Kind::Duration(MS, H)),
            must("free", Kind::Number(0.0, 1e6)),
            must("share", Kind::Number(0.0, 1e3)),
        ],
        often: Occurrence::Once,
    },
    Directive {
        name: "price",
        places: &[],
        keys: &[
            may("memory", Kind::Number(0.0, 1e3)),
            may("probe", Kind::Number(0.0, 1e3)),
            may("cross-zone", Kind::Number(0.0, 1e3)),
            may("fetch", Kind::Number(0.0, 1e3)),
        ],
        often: Occurrence::Once,
    },
    Directive {
        name: "reports",
        places: &[must("via", Kind::Word(&["never", "answers", "probe"]))],
        keys: &[may("fields", Kind::Text)],
        often: Occurrence::Once,
    },
];

/// The directive of that name.
pub fn directive(name: &str) -> Option<&'static Directive> {
    directives().find(|d| d.name == name)
}

/// All directives.
pub fn directives() -> impl Iterator<Item = &'static Directive> {
    DIRECTIVES.iter().chain(FLEET).chain(SHARDING).chain(FRONT_ENDS_LIST)
}
