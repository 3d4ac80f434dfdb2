//! Rule 2: no effect twice.

use super::{ms, Effect, Rule, RuleSet, Tally};
use crate::story::Story;

pub(super) fn no_effect_twice(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(2, "no effect twice");
    for (id, call) in &story.calls {
        let Some(class) = charter.class(&call.function) else { continue };
        let attempts: Vec<_> = call.attempts.iter().map(|i| &story.attempts[*i]).collect();
        for (n, attempt) in attempts.iter().enumerate() {
            let earlier = &attempts[..n];
            if !charter.second_copies {
                // Two front ends know nothing of each other; within one, no two at a time.
                let doubled = earlier
                    .iter()
                    .any(|e| e.front_end == attempt.front_end && e.ended.is_none_or(|t| t > attempt.asked));
                tally.check(!doubled, || {
                    format!("{id}: attempt {n} at {} ms while an earlier one was out", ms(attempt.asked))
                });
            }
            let proven = |e: &&&crate::story::Attempt| e.never && e.ended.is_some_and(|t| t <= attempt.asked);
            let perhaps: Vec<_> = earlier.iter().filter(|e| !proven(e)).collect();
            let kept = match &class.effect {
                Effect::Idempotent => true,
                Effect::NonIdempotent => perhaps.is_empty(),
                Effect::IdempotentWithKey { grouped, window } => perhaps.iter().all(|e| {
                    let same =
                        !grouped || charter.groups.get(&e.worker) == charter.groups.get(&attempt.worker);
                    same && attempt.asked - e.asked <= *window
                }),
            };
            tally.check(kept, || {
                format!(
                    "{id}: attempt {n} to {} at {} ms though one to {} may have run",
                    attempt.worker,
                    ms(attempt.asked),
                    perhaps.first().map_or("?", |p| p.worker.as_str())
                )
            });
        }
        let bound = match &class.effect {
            Effect::Idempotent => false,
            Effect::NonIdempotent => true,
            Effect::IdempotentWithKey { grouped, .. } => *grouped,
        };
        for reply in call.replies.iter().filter(|r| bound && r.outcome == "refused") {
            let perhaps = attempts
                .iter()
                .find(|a| a.asked <= reply.at && !(a.never && a.ended.is_some_and(|t| t <= reply.at)));
            tally.check(perhaps.is_none(), || {
                let worker = perhaps.map_or("?", |p| p.worker.as_str());
                format!("{id}: refused at {} ms though an attempt to {worker} may have run", ms(reply.at))
            });
        }
    }
    tally.0
}
