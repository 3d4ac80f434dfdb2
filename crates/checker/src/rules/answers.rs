//! Rule 1: one final answer in time.

use super::{ms, Rule, RuleSet, Tally, Verdict, WAKE};
use crate::capture::Micros;
use crate::story::Story;

pub(super) fn one_answer(story: &Story, charter: &RuleSet, verdict: &mut Verdict) -> Rule {
    let mut tally = Tally::new(1, "one final answer in time");
    for (id, call) in story.calls.iter().filter(|(_, c)| !c.function.is_empty()) {
        let give_up = charter.class(&call.function).map_or(Micros::MAX / 4, |c| c.give_up);
        let patience = call.patience.unwrap_or(give_up).min(give_up);
        let by = call.published.saturating_add(patience).saturating_add(charter.answer_grace);
        verdict.sent += 1;
        match call.answers.first().map(|a| a.1.as_str()) {
            Some("served") => verdict.served += 1,
            Some("refused") => verdict.refused += 1,
            Some("failed") => verdict.failed += 1,
            Some(_) => {}
            None => verdict.unanswered += 1,
        }
        let twice = call.answers.len() > 1;
        verdict.answered_twice += u64::from(twice);
        let late = call.answers.first().is_some_and(|a| a.0 > by);
        verdict.late += u64::from(late);
        let known = call.answers.iter().all(|a| matches!(a.1.as_str(), "served" | "refused" | "failed"));
        let Some(last) = call.deliveries.last() else {
            // No front end took it; an answer all the same would come from nowhere.
            verdict.not_owed += u64::from(call.answers.is_empty());
            if !call.answers.is_empty() {
                tally.check(false, || format!("{id}: answered, but never delivered to a front end"));
            }
            continue;
        };
        if twice {
            tally.check(false, || format!("{id}: {} answers", call.answers.len()));
        } else if !known {
            tally.check(false, || format!("{id}: an answer without an outcome: {:?}", call.answers));
        } else if late {
            // A reply can't leave while the broker takes none, nor a call be answered by a process that does not run.
            let shut = story.blocked.get(&last.front_end).into_iter().flatten();
            let at = call.answers[0].0;
            // Nor by a machine that runs nothing: as far as that was seen between the end of the caller's own time and the
            // answer, and no further.
            let seen = charter.seen(by - charter.answer_grace, at);
            let excused = !charter.ran(last.front_end, by)
                || shut.clone().any(|b| b.0 <= by && by <= b.1 + WAKE)
                || at - by <= seen;
            tally.check(excused, || {
                let deliveries: Vec<String> =
                    call.deliveries.iter().map(|d| format!("{} at {} ms", d.front_end, ms(d.at))).collect();
                let replies: Vec<String> = call.replies.iter().map(|r| format!("{} ms", ms(r.at))).collect();
                format!(
                    "{id}: answered at {} ms, its time ended at {} ms; to front end {}; replies left at {}; the machine \
                     seen late by {} ms",
                    ms(at),
                    ms(by),
                    deliveries.join(", "),
                    replies.join(", "),
                    ms(seen)
                )
            });
        } else if call.answers.is_empty() {
            let left = !call.replies.is_empty();
            let went_back = last.lost.is_some_and(|t| t <= by);
            let stopped = !charter.ran(last.front_end, by) || !charter.ran(last.front_end, last.at);
            let open = by > story.end;
            verdict.not_owed += u64::from(left || went_back || stopped || open);
            tally.check(left || went_back || stopped || open, || {
                format!("{id}: taken by front end {} at {} ms, never answered", last.front_end, ms(last.at))
            });
        } else {
            tally.check(true, String::new);
        }
    }
    tally.0
}
