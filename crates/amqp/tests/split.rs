//! Decoding of streams that arrive in arbitrary pieces, and of malformed streams: the frames and faults do not depend on the
//! split, and no input causes a panic.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use stagehoist_amqp::codec::{put_content, put_heartbeat, put_method, FRAME_MIN};
use stagehoist_amqp::content::Item;
use stagehoist_amqp::error::reply;
use stagehoist_amqp::{
    basic, long, short, AMQPClass, Assembler, BasicProperties, Client, ClientEvent, ClientOptions, Decoder,
    Fault, FieldTable, Frame,
};

fn message(out: &mut BytesMut, channel: u16, n: u64, body: &[u8], frame_max: u32) {
    let deliver = basic::Deliver {
        consumer_tag: short("c"),
        delivery_tag: n,
        redelivered: n.is_multiple_of(2),
        exchange: short(""),
        routing_key: short("calls"),
    };
    put_method(out, channel, AMQPClass::Basic(basic::AMQPMethod::Deliver(deliver)));
    let mut headers = FieldTable::default();
    headers.insert(short("function"), long("free-times"));
    let properties =
        BasicProperties::default().with_headers(headers).with_correlation_id(short(&n.to_string()));
    put_content(out, channel, &properties, body, frame_max);
}

fn frames(parts: &[&[u8]]) -> Result<Vec<Frame>, Fault> {
    let mut decoder = Decoder::client();
    let mut all = Vec::new();
    for part in parts {
        decoder.push(part);
        while let Some(frame) = decoder.next_frame()? {
            all.push(frame);
        }
    }
    Ok(all)
}

fn split<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    let mut parts = Vec::new();
    let mut from = 0;
    for cut in cuts {
        parts.push(&bytes[from..cut]);
        from = cut;
    }
    parts.push(&bytes[from..]);
    parts
}

proptest! {
    #[test]
    fn frames_do_not_depend_on_the_split(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..20_000), 1..5),
        cuts in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        let mut stream = BytesMut::new();
        for (n, body) in bodies.iter().enumerate() {
            message(&mut stream, 1, n as u64, body, 8192);
            put_heartbeat(&mut stream);
        }
        let whole = frames(&[&stream]).unwrap();
        prop_assert_eq!(&frames(&split(&stream, &cuts)).unwrap(), &whole);
        let mut assembler = Assembler::default();
        let mut received = Vec::new();
        for frame in whole.into_iter().filter(|f| !matches!(f, Frame::Heartbeat)) {
            if let Item::Message(m) = assembler.take(frame, 1 << 20).unwrap() {
                received.push(m.body.to_vec());
            }
        }
        prop_assert_eq!(received, bodies);
    }

    #[test]
    fn any_bytes_give_frames_or_a_fault_and_never_a_panic(
        mut bytes in prop::collection::vec(any::<u8>(), 0..600),
        kind in 0u8..9,
        cuts in prop::collection::vec(any::<usize>(), 0..5),
    ) {
        if let Some(first) = bytes.first_mut() {
            *first = kind;
        }
        let whole = frames(&[&bytes]);
        let parts = frames(&split(&bytes, &cuts));
        prop_assert_eq!(whole.is_err(), parts.is_err());
        let mut client = Client::new(ClientOptions::default(), 0);
        client.receive(&bytes, 0);
        while client.event().is_some() {}
    }

    #[test]
    fn a_flipped_byte_is_a_fault_or_another_stream_but_never_a_panic(at in any::<usize>(), bit in 0u8..8) {
        let mut stream = BytesMut::new();
        message(&mut stream, 1, 7, b"body", 8192);
        let at = at % stream.len();
        stream[at] ^= 1 << bit;
        let _ = frames(&[&stream]);
    }
}

fn code(bytes: &[u8]) -> u16 {
    frames(&[bytes]).expect_err("malformed frames must give a fault").code()
}

#[test]
fn faults_have_the_reply_codes_of_the_specification() {
    let mut method = BytesMut::new();
    put_method(&mut method, 1, AMQPClass::Basic(basic::AMQPMethod::QosOk(basic::QosOk {})));
    assert_eq!(frames(&[&method]).unwrap().len(), 1);
    let mut wrong_end = method.clone();
    let last = wrong_end.len() - 1;
    wrong_end[last] = 0;
    assert_eq!(code(&wrong_end), reply::FRAME_ERROR);
    assert_eq!(code(b"\x01\x00\x01\x7f\xff\xff\xff"), reply::FRAME_ERROR);
    assert_eq!(code(b"\x06\x00\x01"), reply::FRAME_ERROR);
    // Class 99; basic.qos without its arguments; a content header on channel 0.
    assert_eq!(code(b"\x01\x00\x01\x00\x00\x00\x04\x00\x63\x00\x0a\xce"), reply::COMMAND_INVALID);
    assert_eq!(code(b"\x01\x00\x01\x00\x00\x00\x04\x00\x3c\x00\x0a\xce"), reply::SYNTAX_ERROR);
    assert_eq!(code(b"\x02\x00\x00\x00\x00\x00\x02\x00\x3c\xce"), reply::CHANNEL_ERROR);
    assert_eq!(code(b"\x08\x00\x01\x00\x00\x00\x00\xce"), reply::FRAME_ERROR);
}

#[test]
fn a_body_over_the_limit_is_read_to_its_end_and_discarded() {
    let mut stream = BytesMut::new();
    message(&mut stream, 1, 1, &[7; 5000], 1024);
    message(&mut stream, 1, 2, b"small", 1024);
    let mut assembler = Assembler::default();
    let mut received = Vec::new();
    for frame in frames(&[&stream]).unwrap() {
        if let Item::Message(m) = assembler.take(frame, 100).unwrap() {
            received.push((m.size, m.body.clone()));
        }
    }
    assert_eq!(received, [(5000, Bytes::new()), (5, Bytes::from_static(b"small"))]);
}

#[test]
fn content_out_of_place_is_an_unexpected_frame() {
    let mut assembler = Assembler::default();
    let body = Frame::Body(1, Bytes::from_static(b"x"));
    assert_eq!(assembler.take(body, 10).unwrap_err().code(), reply::UNEXPECTED_FRAME);
}

#[test]
fn a_broker_of_another_version_fails_the_connection_at_once() {
    let mut client = Client::new(ClientOptions::default(), 0);
    client.receive(b"AMQP\x00\x01\x00\x00", 0);
    assert!(matches!(client.event(), Some(ClientEvent::Failed(Fault::ProtocolHeader(_)))));
    assert!(client.is_over());
    assert_eq!(FRAME_MIN, 4096);
}
