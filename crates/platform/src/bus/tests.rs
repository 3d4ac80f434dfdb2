use super::*;

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut b = ((HEAD + payload.len()) as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(kind);
    b.extend(payload);
    b
}

fn numbers(news: &[Event]) -> Vec<u64> {
    news.iter().map(|e| e.number).collect()
}

#[test]
fn numbers_decide_what_is_news() {
    let (mut bus, mut news) = (Bus::new(3, 0), Vec::new());
    assert_eq!(bus.connected(0), 3u64.to_be_bytes());
    let mut bytes = frame(3, 2, &[]);
    bytes.extend(frame(4, 2, &[0; 27]));
    bytes.extend(frame(4, 2, &[0; 27]));
    bytes.extend(frame(4, 0, &[]));
    bytes.extend(frame(5, 1, &[]));
    for piece in bytes.chunks(5) {
        bus.feed(piece, 10, &mut news).unwrap();
    }
    assert_eq!((numbers(&news), bus.last(), bus.silent_at()), (vec![4, 5], 5, 10 + SILENCE));
}

#[test]
fn a_frame_cut_off_is_dropped_whole_and_told_again() {
    let (mut bus, mut news) = (Bus::new(0, 0), Vec::new());
    let bytes = frame(1, 1, &[0; 54]);
    bus.feed(&bytes[..40], 0, &mut news).unwrap();
    assert_eq!(bus.connected(1), 0u64.to_be_bytes());
    bus.feed(&bytes, 2, &mut news).unwrap();
    assert_eq!(numbers(&news), [1]);
}

#[test]
fn a_gap_is_asked_for_once_and_then_taken_as_it_is() {
    let (mut bus, mut news) = (Bus::new(1, 0), Vec::new());
    let gap = Err(BusError::Gap { expected: 2, got: 4 });
    assert_eq!(bus.feed(&frame(4, 2, &[]), 0, &mut news), gap);
    bus.connected(1);
    bus.feed(&frame(4, 2, &[]), 1, &mut news).unwrap();
    assert_eq!(numbers(&news), [4]);
}

#[test]
fn absurd_frames_end_the_connection_before_anything_is_kept() {
    for length in [0u32, 8, 1 << 30, u32::MAX] {
        let mut bus = Bus::new(0, 0);
        let fed = bus.feed(&length.to_be_bytes(), 0, &mut Vec::new());
        assert_eq!(fed, Err(BusError::Length(length as usize)));
    }
    let mut bus = Bus::new(0, 0);
    assert!(matches!(bus.feed(&frame(1, 7, &[]), 0, &mut Vec::new()), Err(BusError::Event { .. })));
}

#[test]
fn connections_follow_at_once_and_then_with_short_pauses() {
    let mut bus = Bus::new(0, 0);
    let pauses: Vec<_> = (0..6).map(|_| bus.pause() / 1000).collect();
    assert_eq!(pauses, [0, 50, 100, 200, 400, 400]);
    bus.feed(&frame(0, 0, &[]), 0, &mut Vec::new()).unwrap();
    assert_eq!(bus.pause(), 0);
}
