//! Clients that violate the protocol.

use crate::stage::{ms, served, Stage, KEYS, LOOK};
use stagehoist_emulator::platform::client::array;
use stagehoist_emulator::platform::{Client, Fault};
use std::time::Instant;

/// Each kind of misbehaving client is answered or disconnected within 3 s (6 s with a large body) and never served,
/// while an ordinary client is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn misbehaving_clients_are_rejected_in_time_and_ordinary_ones_are_served() {
    let mut stage = Stage::start(2, 256).await;
    let mut ordinary = stage.client().await;
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
            let started_at = Instant::now();
            let mut client = Client::connect(to).await.unwrap();
            // A close during the write counts as an answer too.
            let _ = client.raw(&bytes).await;
            let answers = client.wait(1, ms(6000)).await;
            let limit = if bytes.len() > 10_000_000 { 6000 } else { 3000 };
            let answer = answers.first().map(|a| a.word.clone());
            assert!(answer.is_some() || client.closed().is_some(), "{name}: neither answer nor close");
            assert!(started_at.elapsed() < ms(limit), "{name}: {:?}", started_at.elapsed());
            assert!(answers.iter().all(|a| a.word != "200"), "{name} was served");
        });
    }
    stage.calls(&mut ordinary, 1..=60, ms(20)).await;
    while let Some(done) = tasks.join_next().await {
        done.unwrap();
    }
    let answers = ordinary.wait(60, ms(4000)).await;
    assert_eq!(answers.len(), 60);
    assert!(served(&answers) >= 57, "{}", served(&answers));
    stage.verdict(&answers);
}

/// There are more connections than descriptors: inactive ones are evicted, the ordinary client is served, and the
/// process neither spins nor ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hundreds_of_inactive_connections_do_not_block_other_clients() {
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
    assert_eq!(closed, 300, "not all inactive connections are closed in time");
    assert_eq!(stage.child.try_wait().unwrap(), None);
}
