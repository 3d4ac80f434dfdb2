//! The words of a trouble.

use super::trouble::{Cut, Trouble};
use super::words::{Step, Words};

pub(super) fn trouble(w: &mut Words<'_>) -> Step<Trouble> {
    match w.word("worker, hall, store, answers, broker, list, flood or front-end")? {
        "worker" => {
            let worker = w.word("a worker's name")?.to_string();
            let what = w.word("drain, die, reset, stall, garbage, truncate, late, slow or fail")?;
            Ok(match what {
                "drain" => {
                    let span = w.span()?;
                    w.is("list-lag", "list-lag and a duration")?;
                    Trouble::Drain { worker, span, lag: w.duration()? }
                }
                "die" => Trouble::Die { worker, span: w.span()? },
                "reset" => Trouble::Reset { worker, percent: w.percent()?, span: w.span()? },
                "stall" => Trouble::Stall { worker, span: w.span()? },
                "garbage" => Trouble::Garbage { worker, percent: w.percent()?, span: w.span()? },
                "truncate" => Trouble::Truncate { worker, percent: w.percent()?, span: w.span()? },
                "late" => Trouble::Late { worker, by: w.duration()?, span: w.span()? },
                "slow" => Trouble::Slow { worker, percent: w.percent()?, span: w.span()? },
                "fail" => Trouble::Fail { worker, percent: w.percent()?, span: w.span()? },
                _ => return w.wrong("drain, die, reset, stall, garbage, truncate, late, slow or fail"),
            })
        }
        "hall" => {
            let hall = w.word("a hall's name")?.to_string();
            w.is("vanish", "vanish")?;
            Ok(Trouble::Vanish { hall, span: w.span()? })
        }
        "store" => {
            w.is("slow", "slow and a share such as 600%")?;
            Ok(Trouble::StoreSlow { percent: w.percent()?, span: w.span()? })
        }
        "answers" => {
            w.is("lost", "lost and a share")?;
            Ok(Trouble::LoseAnswers { percent: w.percent()?, span: w.span()? })
        }
        "broker" => Ok(
            match w.word("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")? {
                "cut-reply" => Trouble::BrokerCut { how: Cut::BeforeRouting },
                "cut-confirm" => Trouble::BrokerCut { how: Cut::BeforeConfirm },
                "cut-delivery" => Trouble::BrokerCut { how: Cut::MidDelivery },
                "delay" => Trouble::BrokerDelay { by: w.duration()?, span: w.span()? },
                "deaf" => Trouble::BrokerDeaf { span: w.span()? },
                "blocked" => Trouble::BrokerBlocked { span: w.span()? },
                "flow" => Trouble::BrokerFlow { span: w.span()? },
                "restart" => Trouble::BrokerRestart,
                _ => {
                    return w
                        .wrong("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")
                }
            },
        ),
        "list" => Ok(match w.word("fails, lags, flaps or index-resets")? {
            "fails" => Trouble::ListFails { span: w.span()? },
            "lags" => Trouble::ListLags { by: w.duration()?, span: w.span()? },
            "flaps" => {
                let worker = w.word("a worker's name")?.to_string();
                Trouble::ListFlaps { worker, span: w.span()? }
            }
            "index-resets" => Trouble::ListIndexResets,
            _ => return w.wrong("fails, lags, flaps or index-resets"),
        }),
        "flood" => Ok(Trouble::Flood { times: w.number("x", "a multiple such as 5x")?, span: w.span()? }),
        "front-end" => {
            let front_end = w.number("", "a front end's number")?;
            Ok(match w.word("stop, terminate or kill")? {
                "stop" => Trouble::Stop { front_end, span: w.span()? },
                "terminate" => Trouble::Terminate { front_end },
                "kill" => Trouble::Kill { front_end },
                _ => return w.wrong("stop, terminate or kill"),
            })
        }
        _ => w.wrong("worker, hall, store, answers, broker, list, flood or front-end"),
    }
}
