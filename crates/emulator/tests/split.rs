//! The broker takes bytes in any split, and any bytes at all.

use bytes::BytesMut;
use proptest::prelude::*;
use stagehoist_amqp::{basic, queue, short, AMQPClass, BasicProperties, Client, ClientOptions};
use stagehoist_emulator::broker::{Broker, BrokerOptions};

/// What an ordinary client says while it declares, publishes, consumes and acknowledges, and what it hears.
fn script() -> (Vec<u8>, Vec<u8>) {
    let mut broker = Broker::new(BrokerOptions::default());
    let number = broker.connect(0);
    let mut client = Client::new(ClientOptions::default(), 0);
    let (mut said, mut heard) = (Vec::new(), Vec::new());
    let mut carry = |client: &mut Client| {
        for _ in 0..10 {
            let out = client.output().split();
            said.extend_from_slice(&out);
            broker.receive(number, &out, 0);
            let back = broker.take_output(number).unwrap();
            heard.extend_from_slice(&back);
            client.receive(&back, 0);
        }
    };
    carry(&mut client);
    let channel = client.open_channel().unwrap();
    let declare = queue::Declare { durable: true, ..stagehoist_amqp::declare("calls") };
    client.send(channel, AMQPClass::Queue(queue::AMQPMethod::Declare(declare)));
    for n in 0..5u8 {
        let publish = basic::Publish {
            exchange: short(""),
            routing_key: short("calls"),
            mandatory: true,
            immediate: false,
        };
        let body = vec![n; usize::from(n) * 70_000].into();
        client.publish(channel, publish, &BasicProperties::default(), &body);
    }
    let consume = stagehoist_amqp::consume("calls", "c");
    client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Consume(consume)));
    carry(&mut client);
    let ack = basic::Ack { delivery_tag: 5, multiple: true };
    client.send(channel, AMQPClass::Basic(basic::AMQPMethod::Ack(ack)));
    client.close(200, "done");
    carry(&mut client);
    (said, heard)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn the_broker_says_the_same_in_any_split(cuts in prop::collection::vec(any::<usize>(), 0..30)) {
        let (said, heard) = script();
        let mut broker = Broker::new(BrokerOptions::default());
        let number = broker.connect(0);
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (said.len() + 1)).collect();
        cuts.push(said.len());
        cuts.sort_unstable();
        let (mut from, mut got) = (0, BytesMut::new());
        for cut in cuts {
            broker.receive(number, &said[from..cut], 0);
            from = cut;
            got.extend_from_slice(&broker.take_output(number).unwrap());
        }
        prop_assert_eq!(&got[..], &heard[..]);
        prop_assert_eq!(broker.stats.acked, 5);
        prop_assert!(broker.is_over(number));
    }

    #[test]
    fn a_client_hears_the_same_in_any_split(cuts in prop::collection::vec(any::<usize>(), 0..30)) {
        let (_, heard) = script();
        let hear = |parts: &[&[u8]]| {
            let mut client = Client::new(ClientOptions::default(), 0);
            let (mut events, mut opened) = (Vec::new(), false);
            for part in parts {
                client.receive(part, 0);
                while let Some(event) = client.event() {
                    events.push(event);
                }
                // As the script's client did, so that its channel is known when messages come.
                opened = opened || client.open_channel().is_some();
            }
            events
        };
        // The channel is opened right after open-ok: the first cut stays there.
        let at = heard.windows(4).position(|w| w == [0, 10, 0, 41]).unwrap() + 6;
        let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (heard.len() + 1)).chain([at, heard.len()]).collect();
        cuts.sort_unstable();
        let mut from = 0;
        let mut parts = Vec::new();
        for cut in cuts {
            parts.push(&heard[from..cut]);
            from = cut;
        }
        prop_assert_eq!(hear(&parts), hear(&[&heard[..at], &heard[at..]]));
    }

    #[test]
    fn bytes_flipped_anywhere_end_a_connection_at_worst(flips in prop::collection::vec((any::<usize>(), 0u8..8), 1..6)) {
        let (mut said, _) = script();
        for (at, bit) in flips {
            let at = at % said.len();
            said[at] ^= 1 << bit;
        }
        let mut broker = Broker::new(BrokerOptions::default());
        let number = broker.connect(0);
        broker.receive(number, &said, 0);
        broker.disconnect(number, 0);
        let other = broker.connect(0);
        broker.receive(other, b"AMQP\x00\x00\x09\x01", 0);
        prop_assert!(!broker.is_over(other));
    }
}
