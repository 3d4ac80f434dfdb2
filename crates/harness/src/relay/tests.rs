use super::*;

/// Longest time for what must come; and a time in which what must not come would have come many times over.
const SURE: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(150);

/// A far side that sends back what it gets, behind a relay.
async fn echo() -> (SocketAddr, watch::Sender<Fault>) {
    let far = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = far.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = far.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    let (command, fault) = watch::channel(Fault::None);
    let port = Port::reserve().unwrap();
    let near = port.address;
    tokio::spawn(serve(port, address, fault));
    (near, command)
}

async fn open(address: SocketAddr) -> TcpStream {
    let by = Instant::now() + SURE;
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(e) if Instant::now() > by => panic!("{e}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn hears(stream: &mut TcpStream, what: &[u8]) {
    let mut got = vec![0; what.len()];
    tokio::time::timeout(SURE, stream.read_exact(&mut got)).await.unwrap().unwrap();
    assert_eq!(got, what);
}

async fn hears_nothing(stream: &mut TcpStream) {
    let mut got = [0; 1];
    assert!(tokio::time::timeout(QUIET, stream.read(&mut got)).await.is_err(), "something came");
}

#[tokio::test]
async fn bytes_cross_in_order_and_an_end_crosses_after_them() {
    let (address, _command) = echo().await;
    let mut stream = open(address).await;
    let sent: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let (mut read, mut write) = stream.split();
    let send = async {
        write.write_all(&sent).await.unwrap();
        write.shutdown().await.unwrap();
    };
    let mut got = Vec::new();
    let both = async { tokio::join!(send, read.read_to_end(&mut got)).1.unwrap() };
    tokio::time::timeout(SURE, both).await.unwrap();
    assert!(got == sent);
}

#[tokio::test]
async fn a_cut_ends_connections_and_refuses_new_ones_until_it_is_healed() {
    let (address, command) = echo().await;
    let mut stream = open(address).await;
    stream.write_all(b"a").await.unwrap();
    hears(&mut stream, b"a").await;
    command.send_replace(Fault::Cut);
    let ended = tokio::time::timeout(SURE, stream.read(&mut [0; 1])).await.unwrap();
    assert!(ended.is_err(), "a cut is no end in order: {ended:?}");
    // The port is kept for the relay all the while; nobody listens at it.
    assert_eq!(TcpStream::connect(address).await.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
    command.send_replace(Fault::None);
    let mut stream = open(address).await;
    stream.write_all(b"b").await.unwrap();
    hears(&mut stream, b"b").await;
}

#[tokio::test]
async fn a_stall_holds_both_ways_and_keeps_the_connection() {
    let (address, command) = echo().await;
    let mut stream = open(address).await;
    stream.write_all(b"a").await.unwrap();
    hears(&mut stream, b"a").await;
    command.send_replace(Fault::Stall);
    stream.write_all(b"b").await.unwrap();
    hears_nothing(&mut stream).await;
    let mut other = open(address).await;
    other.write_all(b"c").await.unwrap();
    hears_nothing(&mut other).await;
    command.send_replace(Fault::None);
    hears(&mut stream, b"b").await;
    hears(&mut other, b"c").await;
}

#[tokio::test]
async fn what_a_stalled_relay_holds_back_is_bounded() {
    let (address, command) = echo().await;
    let mut stream = open(address).await;
    stream.write_all(b"a").await.unwrap();
    hears(&mut stream, b"a").await;
    command.send_replace(Fault::Stall);
    // Sockets' own buffers take a few megabytes each at most; a relay without a bound would take all of it.
    let much = vec![7; 64 << 20];
    let all = tokio::time::timeout(Duration::from_secs(2), stream.write_all(&much)).await;
    assert!(all.is_err(), "64 MB went into a relay that lets nothing through");
}

/// A far side that tells what it heard and says `word` each 10 ms.
async fn talker(word: &'static [u8]) -> (SocketAddr, watch::Sender<Fault>, mpsc::UnboundedReceiver<u8>) {
    let far = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = far.local_addr().unwrap().to_string();
    let (heard, hears) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (mut stream, _) = far.accept().await.unwrap();
        let (mut read, mut write) = stream.split();
        let talk = async {
            while write.write_all(word).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let listen = async {
            while let Ok(byte) = read.read_u8().await {
                let _ = heard.send(byte);
            }
        };
        tokio::join!(talk, listen);
    });
    let (command, fault) = watch::channel(Fault::None);
    let port = Port::reserve().unwrap();
    let near = port.address;
    tokio::spawn(serve(port, address, fault));
    (near, command, hears)
}

async fn drained(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    while tokio::time::timeout(QUIET, stream.read(&mut buffer)).await.is_ok_and(|n| n.is_ok_and(|n| n > 0)) {}
}

#[tokio::test]
async fn half_a_link_carries_one_way_only() {
    let (address, command, mut heard) = talker(b"x").await;
    let mut stream = open(address).await;
    hears(&mut stream, b"x").await;
    command.send_replace(Fault::HalfOut);
    drained(&mut stream).await;
    stream.write_all(b"o").await.unwrap();
    assert_eq!(tokio::time::timeout(SURE, heard.recv()).await.unwrap(), Some(b'o'));
    hears_nothing(&mut stream).await;
    command.send_replace(Fault::HalfIn);
    hears(&mut stream, b"xxx").await;
    stream.write_all(b"i").await.unwrap();
    assert!(tokio::time::timeout(QUIET, heard.recv()).await.is_err(), "crossed the shut way");
    command.send_replace(Fault::None);
    assert_eq!(tokio::time::timeout(SURE, heard.recv()).await.unwrap(), Some(b'i'));
}

#[tokio::test]
async fn a_delay_holds_each_way_for_its_time() {
    let (address, command) = echo().await;
    let mut stream = open(address).await;
    command.send_replace(Fault::Delay(Duration::from_millis(200)));
    let sent = Instant::now();
    stream.write_all(b"a").await.unwrap();
    hears(&mut stream, b"a").await;
    assert!(sent.elapsed() >= Duration::from_millis(400), "{:?}", sent.elapsed());
}

#[tokio::test]
async fn a_far_side_that_is_gone_ends_the_connection() {
    let port = Port::reserve().unwrap();
    let gone = Port::reserve().unwrap();
    let (_command, fault) = watch::channel(Fault::None);
    let near = port.address;
    tokio::spawn(serve(port, gone.address.to_string(), fault));
    let mut stream = open(near).await;
    let ended = tokio::time::timeout(SURE, stream.read(&mut [0; 1])).await.unwrap();
    assert!(ended.is_err() || ended.unwrap() == 0);
}
