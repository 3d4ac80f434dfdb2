//! Rule 6: retired stays retired.

use super::{ms, Rule, RuleSet, Tally, TRANSIT};
use crate::capture::Micros;
use crate::story::Story;

/// After a retirement counts at a front end, nothing of the function leaves it: no answer `served`, no call and no order to
/// load to a worker. An order to unload may.
pub(super) fn retired_stays(story: &Story, charter: &RuleSet) -> Rule {
    let mut tally = Tally::new(6, "retired stays retired");
    for retired in &charter.retired {
        let function = &retired.function;
        let kept = |front_end: u32, at: Micros| {
            retired
                .counts_from(front_end)
                .is_none_or(|from| at <= from || at - from <= TRANSIT + charter.seen(from, at))
        };
        let told = |front_end: u32| retired.counts_from(front_end).map_or(0.0, ms);
        for (id, call) in story.calls.iter().filter(|(_, c)| c.function == *function) {
            for reply in call.replies.iter().filter(|r| r.outcome == "served") {
                tally.check(kept(reply.front_end, reply.at), || {
                    let (f, at, from) = (reply.front_end, ms(reply.at), told(reply.front_end));
                    format!("{id}: front end {f} answered served at {at} ms; {function} retired there from {from} ms")
                });
            }
        }
        // By the call's own word as well as by the request's: a call under another name would be run for the retired one.
        let asked = |a: &&crate::story::Attempt| {
            let called = story.calls.get(&a.correlation).is_some_and(|c| c.function == *function);
            a.function == *function || called
        };
        let attempts = story.attempts.iter().filter(asked).map(|a| (a.front_end, &a.worker, a.asked, "call"));
        let loads = story.loads.iter().filter(|l| l.function == *function);
        let loads = loads.map(|l| (l.front_end, &l.worker, l.at, "load"));
        for (front_end, worker, at, what) in attempts.chain(loads) {
            tally.check(kept(front_end, at), || {
                let (at, from) = (ms(at), told(front_end));
                format!("front end {front_end}: {what} to {worker} at {at} ms; {function} retired there from {from} ms")
            });
        }
    }
    tally.0
}
