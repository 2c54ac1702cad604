//! The codec decodes every frame that it encodes, and refuses other bytes
//! without a panic.

use bytes::{BufMut, BytesMut};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use tokio_util::codec::{Decoder, Encoder};
use wire::{
    Code, Frame, Payload,
    codec::{Codec, MAX_FRAME_BYTES},
    frame::{Done, Handover, Item, Kept, Load, Outcome, Refuse, Run, Void},
    id::{Incarnation, Job},
    lease,
};

/// Generates the same cases in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn job() -> impl Strategy<Value = Job> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(home, sequence, expires)| Job {
        home: Incarnation(home),
        sequence,
        expires,
    })
}

fn payload() -> impl Strategy<Value = Payload> {
    vec(any::<u8>(), 0..64).prop_map(|bytes| Payload(bytes.into()))
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        payload().prop_map(Outcome::Answer),
        payload().prop_map(Outcome::Failure),
    ]
}

fn load() -> impl Strategy<Value = Load> {
    (any::<u16>(), any::<u16>()).prop_map(|(running, queued)| Load { running, queued })
}

fn run() -> impl Strategy<Value = Frame> {
    let item = (any::<u16>(), payload()).prop_map(|(index, payload)| Item { index, payload });
    let head = (job(), any::<u64>(), any::<u64>(), "[a-z]{0,12}");
    let tail = (any::<u32>(), any::<u16>(), vec(item, 0..8));
    (head, tail).prop_map(|((job, side, permit, kind), (remaining, total, tasks))| {
        Frame::Run(Run {
            job,
            side: Incarnation(side),
            permit,
            kind,
            remaining,
            total,
            tasks,
        })
    })
}

fn done() -> impl Strategy<Value = Frame> {
    (job(), any::<u16>(), any::<u32>(), outcome(), load()).prop_map(
        |(job, index, spent, outcome, load)| {
            Frame::Done(Done {
                job,
                index,
                spent,
                outcome,
                load,
            })
        },
    )
}

fn refuse() -> impl Strategy<Value = Frame> {
    let code = prop::sample::select(Code::ALL);
    (job(), code, vec(any::<u16>(), 0..8), load()).prop_map(|(job, code, indices, load)| {
        Frame::Refuse(Refuse {
            job,
            code,
            indices,
            load,
        })
    })
}

fn handover() -> impl Strategy<Value = Frame> {
    let outcome = proptest::option::of(outcome());
    let kept =
        (job(), any::<u16>(), any::<u16>(), outcome).prop_map(|(job, index, total, outcome)| {
            Kept {
                job,
                index,
                total,
                outcome,
            }
        });
    (any::<u64>(), any::<bool>(), vec(kept, 0..8)).prop_map(|(home, fenced, kept)| {
        Frame::Handover(Handover {
            home: Incarnation(home),
            fenced,
            kept,
        })
    })
}

fn forwarding() -> impl Strategy<Value = Frame> {
    let times = (
        any::<u64>(),
        any::<u32>(),
        proptest::option::of(any::<u32>()),
    );
    let target = ("[a-z.]{0,12}", "[a-z/]{0,12}", payload());
    let forward = (any::<u64>(), any::<u64>(), any::<u64>(), times, target).prop_map(
        |(call, clock, job, (patience_ms, waited_ms, exit_ms), (host, path, body))| {
            lease::Frame::Forward(lease::Forward {
                call,
                clock,
                job,
                host,
                path,
                patience_ms,
                waited_ms,
                exit_ms,
                body,
            })
        },
    );
    let retry_after = proptest::option::of(any::<u64>());
    let reply = (any::<u16>(), retry_after, "[a-z{}]{0,12}", any::<bool>());
    let forwarded =
        (any::<u64>(), reply).prop_map(|(call, (status, retry_after, body, elsewhere))| {
            let reply = lease::Reply {
                status,
                retry_after,
                body,
                elsewhere,
            };
            lease::Frame::Forwarded(lease::Forwarded { call, reply })
        });
    let withdraw = any::<u64>().prop_map(|call| lease::Frame::Withdraw(lease::Withdraw { call }));
    let pulse = (any::<u64>(), any::<u64>())
        .prop_map(|(clock, echo)| lease::Frame::Pulse(lease::Pulse { clock, echo }));
    prop_oneof![forward, forwarded, withdraw, pulse].prop_map(Frame::Lease)
}

fn frame() -> impl Strategy<Value = Frame> {
    let void = (job(), vec(any::<u16>(), 0..8))
        .prop_map(|(job, indices)| Frame::Void(Void { job, indices }));
    prop_oneof![
        run(),
        done(),
        refuse(),
        handover(),
        void,
        Just(Frame::Pull),
        forwarding()
    ]
}

fn encode(frame: &Frame) -> BytesMut {
    let mut bytes = BytesMut::new();
    Codec::default().encode(frame, &mut bytes).unwrap();
    bytes
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn round_trip(frames in vec(frame(), 1..6)) {
        let mut bytes = BytesMut::new();
        for frame in &frames {
            bytes.extend_from_slice(&encode(frame));
        }
        let mut codec = Codec::default();
        for frame in frames {
            prop_assert_eq!(codec.decode(&mut bytes).unwrap(), Some(frame));
        }
        prop_assert!(bytes.is_empty());
    }

    #[test]
    fn truncated_frame_waits(frame in frame(), cut in any::<prop::sample::Index>()) {
        let bytes = encode(&frame);
        let mut part = BytesMut::from(&bytes[..cut.index(bytes.len())]);
        prop_assert_eq!(Codec::default().decode(&mut part).unwrap(), None);
    }

    #[test]
    fn garbage_refused(body in vec(any::<u8>(), 0..256)) {
        let mut bytes = BytesMut::new();
        bytes.put_u32(u32::try_from(body.len()).unwrap());
        bytes.extend_from_slice(&body);
        // Any result but a panic is correct; a decoded frame must encode.
        if let Ok(Some(frame)) = Codec::default().decode(&mut bytes) {
            prop_assert!(!encode(&frame).is_empty());
        }
    }
}

#[test]
fn oversized_refused() {
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(MAX_FRAME_BYTES + 1).unwrap());
    assert!(Codec::default().decode(&mut bytes).is_err());
}
