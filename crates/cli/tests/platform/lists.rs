//! The event bus: reported drains persist whatever happens to the bus.

use crate::stage::{config, ms, served, Stage};
use rustix::process::Signal;
use stagehoist_emulator::platform::bus::SubscriptionFault;
use stagehoist_emulator::platform::EventBus;
use std::time::Instant;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drains_persist_over_breaks_silence_repeats_and_a_new_address_of_the_bus() {
    let mut stage = Stage::start(5, 256).await;
    let mut client = stage.client().await;
    let mut n = 0;
    for step in 0..4 {
        match step {
            0 => stage.bus.mood(SubscriptionFault::Twice),
            1 => stage.bus.mood(SubscriptionFault::Cut),
            2 => {
                // The bus is silent with its connection open: the front end detects it by a timeout, and gets the
                // event on the next connection.
                stage.bus.mood(SubscriptionFault::Silent);
                tokio::time::sleep(ms(1200)).await;
            }
            _ => {
                let bus = EventBus::start(1).await.unwrap();
                stage.bus.copy_to(&bus);
                stage.bus = bus;
                std::fs::write(&stage.config, "{ broken").unwrap();
                stage.signal(Signal::HUP);
                tokio::time::sleep(ms(100)).await;
                let text = config(&stage.executors, stage.bus.address, 256).to_string();
                std::fs::write(&stage.config, text).unwrap();
                (0..10).for_each(|_| stage.signal(Signal::HUP));
            }
        }
        stage.drain(step);
        if step == 2 {
            stage.bus.mood(SubscriptionFault::Well);
        }
        // An event counts later if the bus breaks, is silent or moves when it is published.
        let allowed = [0, 2000, 4000, 4000][step];
        let id = stage.executors[step].id;
        *stage.rules.drained.get_mut(&id).unwrap() += ms(allowed);
        let deadline = Instant::now() + ms(allowed + 350);
        while Instant::now() < deadline {
            n += 1;
            stage.call(&mut client, n).await;
            tokio::time::sleep(ms(20)).await;
        }
        let before = stage.runs(step);
        stage.calls(&mut client, n + 1..=n + 20, ms(10)).await;
        n += 20;
        assert_eq!(stage.runs(step), before, "step {step}: sent to a drained executor");
    }
    let answers = client.wait(n as usize, ms(4000)).await;
    assert_eq!(answers.len(), n as usize);
    assert!(served(&answers) * 10 >= answers.len() * 9, "{} of {n}", served(&answers));
    stage.verdict(&answers);
}
