//! All events that can affect one attempt, in every order, in one batch and in separate batches: through the executor
//! connections, the state and the module.

use crate::attempt::{Stage, Step, Step::*};

fn orders(left: &[Step], so_far: &mut Vec<Step>, each: &mut impl FnMut(&[Step])) {
    if left.is_empty() {
        return each(so_far);
    }
    for n in 0..left.len() {
        let mut rest = left.to_vec();
        so_far.push(rest.remove(n));
        orders(&rest, so_far, each);
        so_far.pop();
    }
}

#[test]
fn each_send_ends_once_and_each_call_is_answered_once_in_every_order_of_turns() {
    for class in [0, 1] {
        orders(&[Write, Answer, Again, Gone, Cut, Reset, Drain], &mut Vec::new(), &mut |order| {
            let mut stage = Stage::new(class);
            let mut runs = None;
            for step in order {
                let mut inputs = Vec::new();
                stage.step(*step, &mut inputs);
                stage.turn(inputs);
                if *step == Gone {
                    runs = Some(stage.runs);
                }
            }
            assert_eq!(runs, Some(stage.runs), "written after its client disconnected: {order:?}");
            stage.end();
            stage.check(class, order);
        });
    }
}

#[test]
fn each_send_ends_once_and_each_call_is_answered_once_in_every_order_within_a_turn() {
    for class in [0, 1] {
        for steps in [
            &[Write, Answer, Again, Gone, Reset, Drain][..],
            &[Write, Answer, Again, Gone, Reset, Drain, Cut],
            &[Write, Answer, Again, Reset, Drain, Cut],
            &[Write, Reset, Drain, Cut, Gone],
            &[Write, Reset, Drain],
        ] {
            orders(steps, &mut Vec::new(), &mut |order| {
                let mut stage = Stage::new(class);
                let mut inputs = Vec::new();
                order.iter().for_each(|step| stage.step(*step, &mut inputs));
                stage.turn(inputs);
                stage.end();
                stage.check(class, order);
            });
        }
    }
}
