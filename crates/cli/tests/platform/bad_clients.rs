//! Clients that keep no rule.

use crate::stage::{ms, served, Stage, KEYS, LOOK};
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, Fault};
use std::time::Instant;

/// Each kind of bad client is answered or closed within 3 s (6 s with a large body), never served, and the usual one goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_clients_are_turned_away_in_time_and_the_usual_go_on() {
    let mut stage = Stage::start(2, 256).await;
    let mut usual = stage.client().await;
    let good = |id: &str| format!("ref={id},allow={LOOK},project=acme,lookup={}", KEYS[0]);
    let request = |fields: &str| array(&[b"REQ", b"7", b"look", fields.as_bytes(), b"x"]);
    let mut big = b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\nlook\r\n$1\r\n-\r\n$60000000\r\n".to_vec();
    big.resize(60_000_000, b'x');
    let open = good("00000000000000f1");
    stage.executors.iter().for_each(|e| e.spoil([Fault::Never]));
    let mut holder = stage.client().await;
    holder.raw(&request(&open)).await.unwrap();
    tokio::time::sleep(ms(50)).await;
    let bad: Vec<(&str, Vec<u8>)> = vec![
        ("not RESP", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("noise", vec![0x16, 3, 1, 0, 0xff, 0]),
        ("endless", vec![b'*'; 2_000_000]),
        ("endless number", [b"*1\r\n$".to_vec(), vec![b'1'; 100_000]].concat()),
        ("negative length", b"*1\r\n$-7\r\n".to_vec()),
        ("60 MB", big),
        ("unknown class", array(&[b"REQ", b"7", b"nothing", good("00000000000000f2").as_bytes(), b""])),
        ("unknown tenant", request(&good("00000000000000f3").replace("acme", "nobody"))),
        ("no number", request(&good("00000000000000f4").replace("1500", "soon"))),
        ("out of range", request(&good("00000000000000f5").replace("1500", "1e12"))),
        ("no id", request(&good("x").replace("ref=x,", ""))),
        ("id of an open request", request(&open)),
        (
            "one number twice",
            [request(&good("00000000000000f6")), request(&good("00000000000000f7"))].concat(),
        ),
        ("half a request", request(&good("00000000000000f8"))[..40].to_vec()),
        ("nothing", Vec::new()),
    ];
    let mut tasks = tokio::task::JoinSet::new();
    for (name, bytes) in bad {
        let to = stage.listen;
        tasks.spawn(async move {
            let begun = Instant::now();
            let mut client = Client::connect(to).await.unwrap();
            // A close while it writes is an answer too.
            let _ = client.raw(&bytes).await;
            let answers = client.wait(1, ms(6000)).await;
            let limit = if bytes.len() > 10_000_000 { 6000 } else { 3000 };
            let told = answers.first().map(|a| a.word.clone());
            assert!(told.is_some() || client.closed().is_some(), "{name}: neither answer nor close");
            assert!(begun.elapsed() < ms(limit), "{name}: {:?}", begun.elapsed());
            assert!(answers.iter().all(|a| a.word != "200"), "{name} was served");
        });
    }
    stage.calls(&mut usual, 1..=60, ms(20)).await;
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    let answers = usual.wait(60, ms(4000)).await;
    assert_eq!(answers.len(), 60);
    assert!(served(&answers) >= 57, "{}", served(&answers));
    stage.verdict(&answers);
}

/// More connections than descriptors allow: the silent make way, the usual client is served, and nothing spins or ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundreds_of_silent_connections_keep_no_one_out() {
    let mut stage = Stage::start(2, 64).await;
    let mut silent = Vec::new();
    for n in 0..300 {
        silent.push(Client::connect(stage.listen).await.unwrap());
        if n % 30 == 29 {
            let mut client = stage.client().await;
            stage.call(&mut client, n).await;
            let answers = client.wait(1, ms(3000)).await;
            assert_eq!(served(&answers), 1, "at {n} connections");
        }
    }
    tokio::time::sleep(ms(2800)).await;
    let closed = silent.iter().filter(|c| c.closed().is_some()).count();
    assert_eq!(closed, 300, "silent connections are closed in time");
    assert_eq!(stage.child.try_wait().unwrap(), None);
}
