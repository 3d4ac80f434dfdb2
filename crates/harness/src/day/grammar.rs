//! The words of a trouble.

use super::trouble::{LinkFault, Pick, ScenarioFault, StoreFault};
use super::words::{Step, Words};
use crate::relay::Fault;

pub(super) fn trouble(w: &mut Words<'_>) -> Step<ScenarioFault> {
    const EXPECTED: &str =
        "worker, hall, store, answers, broker, list, flood, surge, front-end, machine, shards, link, leader, retire or \
                            everything";
    match w.word(EXPECTED)? {
        "worker" => {
            let worker = w.word("a worker's name")?.to_string();
            let what = w.word("drain, die, reset, stall, garbage, truncate, late, slow or fail")?;
            Ok(match what {
                "drain" => {
                    let span = w.span()?;
                    w.is("list-lag", "list-lag and a duration")?;
                    ScenarioFault::Drain { worker, span, lag: w.duration()? }
                }
                "die" => ScenarioFault::Die { worker, span: w.span()? },
                "reset" => ScenarioFault::Reset { worker, percent: w.percent()?, span: w.span()? },
                "stall" => ScenarioFault::Stall { worker, span: w.span()? },
                "garbage" => ScenarioFault::Garbage { worker, percent: w.percent()?, span: w.span()? },
                "truncate" => ScenarioFault::Truncate { worker, percent: w.percent()?, span: w.span()? },
                "late" => ScenarioFault::Late { worker, by: w.duration()?, span: w.span()? },
                "slow" => ScenarioFault::Slow { worker, percent: w.percent()?, span: w.span()? },
                "fail" => ScenarioFault::Fail { worker, percent: w.percent()?, span: w.span()? },
                _ => return w.wrong("drain, die, reset, stall, garbage, truncate, late, slow or fail"),
            })
        }
        "hall" => {
            let hall = w.word("a hall's name")?.to_string();
            w.is("vanish", "vanish")?;
            Ok(ScenarioFault::Vanish { hall, span: w.span()? })
        }
        "store" => store(w),
        "answers" => {
            w.is("lost", "lost and a share")?;
            Ok(ScenarioFault::LoseAnswers { percent: w.percent()?, span: w.span()? })
        }
        "broker" => Ok(
            match w.word("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")? {
                "cut-reply" => ScenarioFault::BrokerCut { how: LinkFault::BeforeRouting },
                "cut-confirm" => ScenarioFault::BrokerCut { how: LinkFault::BeforeConfirm },
                "cut-delivery" => ScenarioFault::BrokerCut { how: LinkFault::MidDelivery },
                "delay" => ScenarioFault::BrokerDelay { by: w.duration()?, span: w.span()? },
                "deaf" => ScenarioFault::BrokerDeaf { span: w.span()? },
                "blocked" => ScenarioFault::BrokerBlocked { span: w.span()? },
                "flow" => ScenarioFault::BrokerFlow { span: w.span()? },
                "restart" => ScenarioFault::BrokerRestart,
                _ => {
                    return w
                        .wrong("cut-reply, cut-confirm, cut-delivery, delay, deaf, blocked, flow or restart")
                }
            },
        ),
        "list" => Ok(match w.word("fails, lags, flaps or index-resets")? {
            "fails" => ScenarioFault::ListFails { span: w.span()? },
            "lags" => ScenarioFault::ListLags { by: w.duration()?, span: w.span()? },
            "flaps" => {
                let worker = w.word("a worker's name")?.to_string();
                ScenarioFault::ListFlaps { worker, span: w.span()? }
            }
            "index-resets" => ScenarioFault::ListIndexResets,
            _ => return w.wrong("fails, lags, flaps or index-resets"),
        }),
        "flood" => {
            Ok(ScenarioFault::Flood { times: w.number("x", "a multiple such as 5x")?, span: w.span()? })
        }
        "front-end" => {
            let front_end = w.pick()?;
            Ok(match w.word("stop, terminate or kill")? {
                "stop" => ScenarioFault::Stop { front_end, span: w.span()? },
                "terminate" => ScenarioFault::Terminate { front_end },
                "kill" => ScenarioFault::Kill { front_end, span: w.maybe_span()? },
                _ => return w.wrong("stop, terminate or kill"),
            })
        }
        "machine" => {
            let machine = w.pick()?;
            Ok(match w.word("stop or kill")? {
                "stop" => ScenarioFault::MachineStop { machine, span: w.span()? },
                "kill" => ScenarioFault::MachineKill { machine, span: w.span()? },
                _ => return w.wrong("stop or kill"),
            })
        }
        "shards" => Ok(ScenarioFault::Shards { to: w.number("", "a number of shards")? }),
        "link" => {
            let front_end = w.pick()?;
            let fault = match w.word("cut, stall, half-out, half-in or delay")? {
                "cut" => Fault::Cut,
                "stall" => Fault::Stall,
                "half-out" => Fault::HalfOut,
                "half-in" => Fault::HalfIn,
                "delay" => Fault::Delay(w.duration()?),
                _ => return w.wrong("cut, stall, half-out, half-in or delay"),
            };
            Ok(ScenarioFault::Link { front_end, fault, span: w.span()? })
        }
        "leader" => Ok(match w.word("kill or stop")? {
            "kill" => ScenarioFault::LeaderKill { span: w.maybe_span()? },
            "stop" => ScenarioFault::LeaderStop { span: w.span()? },
            _ => return w.wrong("kill or stop"),
        }),
        "retire" => retire(w),
        "everything" => {
            w.is("kill", "kill")?;
            Ok(ScenarioFault::Everything { span: w.span()? })
        }
        "surge" => {
            let tenant = w.word("a tenant's name")?.to_string();
            let times = w.number("x", "a multiple such as 10x")?;
            let only = w.maybe("only").then(|| w.is("front-end", "front-end").and_then(|()| w.pick()));
            Ok(ScenarioFault::Surge { tenant, times, only: only.transpose()?, span: w.span()? })
        }
        _ => w.wrong(EXPECTED),
    }
}

/// The program store's slowness, or a replica's own store.
fn store(w: &mut Words<'_>) -> Step<ScenarioFault> {
    let expected = "slow and a share such as 600%, or a front end's number or any";
    let front_end = match w.word(expected)? {
        "slow" => return Ok(ScenarioFault::StoreSlow { percent: w.percent()?, span: w.span()? }),
        "any" => Pick::Any,
        number => match number.parse() {
            Ok(number) => Pick::Number(number),
            Err(_) => return w.wrong(expected),
        },
    };
    let how = match w.word("copy, set-back or damage")? {
        "copy" => StoreFault::Copy,
        "set-back" => StoreFault::SetBack,
        "damage" => StoreFault::Damage,
        _ => return w.wrong("copy, set-back or damage"),
    };
    Ok(ScenarioFault::Store { front_end, how })
}

fn retire(w: &mut Words<'_>) -> Step<ScenarioFault> {
    let functions = match w.word("a function's name, or any-of and names separated by commas")? {
        "any-of" => w.names("functions' names separated by commas")?,
        name => vec![name.to_string()],
    };
    let successor = match w.rest().is_empty() {
        true => None,
        false => {
            w.is("successor", "successor or the end of the line")?;
            Some(w.word("the successor's name")?.to_string())
        }
    };
    Ok(ScenarioFault::Retire { functions, successor })
}
