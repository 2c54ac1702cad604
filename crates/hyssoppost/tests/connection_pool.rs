//! Who gives way when the connections of a listener hold all that they may.

use hyssoppost::budget::{CONNECTION_BYTES, Limits, Pool, REVIEW_INTERVAL, Share, Stage};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

const BODY: usize = 10_000;

fn pool(connections: usize) -> Arc<Pool> {
    Pool::new(
        "test",
        Limits {
            connections,
            bytes: connections * (CONNECTION_BYTES + BODY),
            head_bytes: 1_000,
            body_bytes: BODY,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
        },
    )
}

async fn is_closed(share: &Share) -> bool {
    let closed = tokio::time::timeout(Duration::from_millis(1), share.closed());
    closed.await.is_ok()
}

/// Admits `count` connections that are in `stage`, a millisecond apart.
async fn admit(pool: &Arc<Pool>, count: usize, stage: Stage) -> Vec<Share> {
    let mut shares = Vec::new();
    for _ in 0..count {
        let share = pool.admit().expect("there is room");
        share.enter(stage);
        shares.push(share);
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    shares
}

/// Reviews the pool at the usual interval, and at the end.
async fn review_for(pool: &Pool, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        let left = end - Instant::now();
        tokio::time::advance(left.min(REVIEW_INTERVAL)).await;
        pool.review();
    }
}

#[tokio::test(start_paused = true)]
async fn longest_in_stage_closed() {
    let pool = pool(3);
    let mut shares = admit(&pool, 3, Stage::Body).await;
    // The oldest connection makes progress.
    shares[0].enter(Stage::Answer);
    assert!(pool.admit().is_none());
    let place = pool.queue().await.expect("a place");
    let admission = tokio::spawn(place.wait());
    tokio::task::yield_now().await;
    assert!(!is_closed(&shares[0]).await);
    assert!(!is_closed(&shares[2]).await);
    assert!(is_closed(&shares[1]).await);
    drop(shares.remove(1));
    assert!(admission.await.unwrap().is_ok());
}

#[tokio::test(start_paused = true)]
async fn served_request_kept() {
    let pool = pool(2);
    let shares = admit(&pool, 2, Stage::Serving).await;
    let place = pool.queue().await.expect("a place");
    assert!(!shares[0].is_wanted());
    let admission = tokio::spawn(place.wait());
    tokio::task::yield_now().await;
    assert!(shares[0].is_wanted(), "the next answer closes");
    assert!(admission.await.unwrap().is_err());
    assert!(!shares[0].is_wanted());
    // A client that takes no answers gives way.
    shares[1].record_write(true);
    let place = pool.queue().await.expect("a place");
    let admission = tokio::spawn(place.wait());
    tokio::task::yield_now().await;
    assert!(is_closed(&shares[1]).await);
    drop(shares);
    assert!(admission.await.unwrap().is_ok());
}

#[tokio::test(start_paused = true)]
async fn body_waits_for_room() {
    let pool = pool(2);
    let shares = admit(&pool, 2, Stage::Body).await;
    shares[0].grow(2 * BODY).await.unwrap();
    // The one that is oldest in its stage gets no more at the other's cost.
    assert!(shares[0].grow(BODY).await.is_err());
    let [old, new] = <[Share; 2]>::try_from(shares).unwrap();
    let growth = tokio::spawn(async move { new.grow(BODY).await });
    tokio::task::yield_now().await;
    assert!(is_closed(&old).await);
    assert!(!growth.is_finished());
    drop(old);
    growth.await.unwrap().unwrap();
}

#[tokio::test(start_paused = true)]
async fn stages_end() {
    let cases = [
        (Stage::Idle, 5),
        (Stage::Head, 1),
        (Stage::Body, 5),
        (Stage::Answer, 5),
    ];
    for (stage, seconds) in cases {
        let pool = pool(1);
        let shares = admit(&pool, 1, stage).await;
        review_for(&pool, Duration::from_millis(seconds * 1_000 - 10)).await;
        assert!(!is_closed(&shares[0]).await, "{stage:?}");
        review_for(&pool, Duration::from_millis(20)).await;
        assert!(is_closed(&shares[0]).await, "{stage:?}");
    }
    let pool = pool(1);
    let shares = admit(&pool, 1, Stage::Serving).await;
    review_for(&pool, Duration::from_mins(1)).await;
    assert!(!is_closed(&shares[0]).await);
}

/// What a client has sent while the process was paused is read after it.
#[tokio::test(start_paused = true)]
async fn pause_closes_nothing() {
    let pool = pool(1);
    let shares = admit(&pool, 1, Stage::Head).await;
    pool.review();
    tokio::time::advance(Duration::from_secs(10)).await;
    pool.review();
    assert!(!is_closed(&shares[0]).await);
    tokio::time::advance(REVIEW_INTERVAL).await;
    pool.review();
    assert!(is_closed(&shares[0]).await);
}
