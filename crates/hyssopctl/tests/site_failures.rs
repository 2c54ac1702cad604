//! Failures of processes and connections on a whole site over real sockets. The
//! tests assert outcomes, not times; they wait for conditions.

use hyssopctl::{
    client::{Answer, Client, Job},
    lab::{Plan, Site},
};
use serde_json::json;
use standin::store::Faults;
use std::time::Duration;

fn plan() -> Plan {
    Plan {
        hosts: 3,
        slots: 2,
        ..Plan::folia()
    }
}

async fn site() -> Site {
    Site::spawn(plan(), policies::DEFAULT, 1).await.unwrap()
}

fn job(ticket: &str, name: &str, tasks: usize, ms: u32) -> Job {
    let tasks = (0..tasks).map(|index| json!({ "task": format!("{name}-{index}"), "ms": ms }));
    Job {
        service: "proofing".to_owned(),
        ticket: Some(ticket.to_owned()),
        kind: "die-check".to_owned(),
        team: None,
        deadline_ms: Some(20_000),
        tasks: tasks.collect(),
    }
}

async fn ticket(client: &Client) -> String {
    client.tickets(1).await.unwrap().pop().unwrap()
}

/// Returns the index of the entry that is the home of a ticket.
fn home(site: &Site, ticket: &str) -> usize {
    let is_home = |entry: &hyssopctl::lab::site::Entry| {
        let incarnation = entry.handle.as_ref().unwrap().incarnation();
        ticket.starts_with(&incarnation.to_string())
    };
    site.entries.iter().position(is_home).unwrap()
}

/// Resubmits a job under its ticket until it is no longer temporarily refused.
async fn resubmit(site: &Site, from: usize, job: &Job) -> Answer {
    for attempt in from.. {
        let index = attempt % site.entries.len();
        if site.entries[index].handle.is_some()
            && let Ok(answer) = site.client(index).unwrap().submit(job).await
            && ![202, 203, 204, 206].contains(&answer.code)
        {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    unreachable!("the loop ends with an answer");
}

async fn wait_started(site: &Site, name: &str, tasks: usize) {
    let all_started =
        || (0..tasks).all(|index| !site.audit.starts(&format!("{name}-{index}")).is_empty());
    while !all_started() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn home_killed() {
    let mut site = site().await;
    let ticket = ticket(&site.client(0).unwrap()).await;
    let home = home(&site, &ticket);
    let job = job(&ticket, "k", 4, 400);
    let first = tokio::spawn({
        let (client, job) = (site.client(home).unwrap(), job.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "k", 4).await;
    site.kill_entry(home);
    let answer = resubmit(&site, home + 1, &job).await;
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.answers.len(), 4);
    assert_eq!(site.audit.totals(), (4, 0));
    first.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn side_killed_then_restarted() {
    let mut site = site().await;
    let ticket = ticket(&site.client(0).unwrap()).await;
    let job = job(&ticket, "s", 6, 300);
    let first = tokio::spawn({
        let (client, job) = (site.client(0).unwrap(), job.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "s", 6).await;
    site.kill_side(1);
    site.start_side(1).await.unwrap();
    let answer = first.await.unwrap().unwrap();
    assert_eq!(
        answer.name.as_deref(),
        Some("outcome-unknown"),
        "{answer:?}"
    );
    let repeated = resubmit(&site, 0, &job).await;
    assert_eq!(
        repeated.code, answer.code,
        "a resubmission gets the same answer"
    );
    assert_eq!(site.audit.totals(), (6, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_replaced() {
    let site = site().await;
    let ticket = ticket(&site.client(0).unwrap()).await;
    let job = job(&ticket, "q", 6, 300);
    let first = tokio::spawn({
        let (client, job) = (site.client(0).unwrap(), job.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "q", 6).await;
    for relay in site.entries.iter().flat_map(|entry| &entry.sides) {
        relay.blackhole();
    }
    let answer = first.await.unwrap().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(site.audit.totals(), (6, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_drains() {
    let mut site = site().await;
    let client = site.client(0).unwrap();
    let ticket = ticket(&client).await;
    let home = home(&site, &ticket);
    let job = job(&ticket, "d", 4, 300);
    let first = tokio::spawn({
        let (client, job) = (site.client(home).unwrap(), job.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "d", 4).await;
    let handle = site.entries[home].handle.take().unwrap();
    handle.drain(std::future::pending()).await.unwrap();
    let answer = first.await.unwrap().unwrap();
    assert!(
        answer.is_complete(),
        "a drain waits for open requests: {answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn side_drains() {
    let mut site = site().await;
    let client = site.client(0).unwrap();
    let ticket = ticket(&client).await;
    let job = job(&ticket, "e", 6, 300);
    let first = tokio::spawn({
        let (client, job) = (site.client(0).unwrap(), job.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "e", 6).await;
    let handle = site.nodes[0].side.take().unwrap();
    handle.drain(std::future::pending()).await.unwrap();
    let answer = first.await.unwrap().unwrap();
    assert!(answer.is_complete(), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn domain_out_and_in() {
    let site = site().await;
    let client = site.client(0).unwrap();
    site.publish(&["nord-a"], "out").await.unwrap();
    // The removal takes effect at a process when it has the new revision.
    loop {
        let (entries, sides) = site.dumps().await.unwrap();
        let is_current = |dump: &serde_json::Value| dump["configuration"]["revision"] == 2;
        if entries.iter().all(is_current) && sides.iter().all(is_current) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let out_ticket = ticket(&client).await;
    let answer = client.submit(&job(&out_ticket, "o", 8, 20)).await.unwrap();
    assert!(answer.is_complete());
    let hosts = site.hosts_of("nord-a");
    for index in 0..8 {
        let starts = site.audit.starts(&format!("o-{index}"));
        assert!(starts.iter().all(|start| !hosts.contains(&start.host)));
    }
    site.publish(&[], "in").await.unwrap();
    site.wait_ready().await.unwrap();
    let back_ticket = ticket(&client).await;
    let answer = client
        .submit(&job(&back_ticket, "i", 6, 100))
        .await
        .unwrap();
    assert!(answer.is_complete());
    assert_eq!(site.nodes[0].host.started(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_with_lost_answer() {
    let site = site().await;
    let faults = |lost_answers| Faults {
        lost_answers,
        ..Faults::default()
    };
    site.store.inject(faults(1));
    let record = site.publish(&["nord-b"], "lost").await.unwrap();
    assert_eq!(
        record.revision, 2,
        "written once, recognised by the change's identifier"
    );
    let repeated = site.publish(&[], "next").await.unwrap();
    assert_eq!(repeated.revision, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_in_outage() {
    let site = site().await;
    site.store.set_outage(true);
    let error = site.publish(&["nord-b"], "out").await.unwrap_err();
    assert_eq!(error.exit_code(), 4, "{error}");
    let client = site.client(0).unwrap();
    let ticket = ticket(&client).await;
    let answer = client.submit(&job(&ticket, "x", 3, 10)).await.unwrap();
    assert!(
        answer.is_complete(),
        "jobs run during an outage of the store"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_changes() {
    use store::publication::{self, Change, Error};
    let site = site().await;
    let environment = &site.plan.environment;
    let base = publication::read(&site.operator, environment)
        .await
        .unwrap();
    let text = site.plan.document(&["nord-c"]);
    let change = |id| Change {
        id,
        author: "ana",
        time: 0,
        text: &text,
    };
    let first = publication::publish(&site.operator, environment, base.as_ref(), change("one"));
    assert_eq!(first.await.unwrap().revision, 2);
    let second = publication::publish(&site.operator, environment, base.as_ref(), change("two"));
    let Err(Error::Conflict {
        revision, change, ..
    }) = second.await
    else {
        panic!("the second change must be refused");
    };
    assert_eq!((revision, change.as_str()), (2, "one"));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_store_refused() {
    let site = site().await;
    let environment = site.plan.environment.clone();
    let key = store::publication::key(&environment);
    let old = store::publication::read(&site.operator, &environment)
        .await
        .unwrap();
    let old = serde_json::to_vec(&old.unwrap().record).unwrap();
    site.publish(&["nord-b"], "newer").await.unwrap();
    let all_at = |revision: u64, entries: &[serde_json::Value]| {
        entries
            .iter()
            .all(|dump| dump["configuration"]["revision"] == revision)
    };
    while !all_at(2, &site.dumps().await.unwrap().0) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.store.restore(&key, &old);
    let stale = |entries: &[serde_json::Value]| {
        entries
            .iter()
            .all(|dump| dump["counts"]["stale_configs"].as_u64() > Some(0))
    };
    loop {
        let (entries, _) = site.dumps().await.unwrap();
        assert!(
            all_at(2, &entries),
            "a lower revision must not come into force"
        );
        if stale(&entries) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key_refused() {
    use hyssoppost::link::{self, Local};
    use wire::{frame::Hello, id::Incarnation, proof::Keyring};
    let site = site().await;
    let entry = site.entries[0].handle.as_ref().unwrap();
    let hello = Hello {
        version: wire::frame::VERSION,
        role: wire::frame::Role::Side,
        name: "stranger".to_owned(),
        incarnation: Incarnation(42),
        domain: "nord-a".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 0,
        nonce: 0,
    };
    let local = Local::new(hello, Keyring::new("another-shared-key", None));
    let (events, mut inbox) = tokio::sync::mpsc::channel::<link::Event>(8);
    let dialer = link::dial(entry.links(), local, events);
    loop {
        let (entries, _) = site.dumps().await.unwrap();
        if entries[0]["process"]["connections_refused"].as_u64() > Some(0) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(inbox.try_recv().is_err(), "no connection was established");
    dialer.abort();
}

#[tokio::test(flavor = "multi_thread")]
async fn customer_disconnects() {
    let site = site().await;
    let client = site.client(0).unwrap();
    let abandoned_ticket = ticket(&client).await;
    let abandoned = job(&abandoned_ticket, "g", 2, 300);
    let submission = tokio::spawn({
        let (client, job) = (client.clone(), abandoned.clone());
        async move { client.submit(&job).await }
    });
    wait_started(&site, "g", 2).await;
    submission.abort();
    // Later jobs on the reused connections of the same client get their own answers.
    for round in 0..5 {
        let name = format!("r{round}");
        let next_ticket = ticket(&client).await;
        let answer = client
            .submit(&job(&next_ticket, &name, 2, 5))
            .await
            .unwrap();
        let own = |answer: &serde_json::value::RawValue| answer.get().contains(&name);
        assert!(
            answer.answers.iter().all(|answer| own(answer)),
            "{answer:?}"
        );
    }
    let answer = client.answer(&abandoned_ticket).await.unwrap();
    assert!(
        answer.is_complete(),
        "the job completes without its customer"
    );
    assert_eq!(site.audit.totals(), (12, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_frames_refused() {
    use tokio::io::AsyncWriteExt;
    let site = site().await;
    let links = site.entries[0].handle.as_ref().unwrap().links();
    let oversized = [0xff; 64].to_vec();
    let malformed = [&[0, 0, 0, 4][..], &[0xee; 4]].concat();
    let truncated = vec![0, 0, 1, 0, 7];
    for bytes in [oversized, malformed, truncated] {
        let mut stream = tokio::net::TcpStream::connect(links).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
    }
    loop {
        let (entries, _) = site.dumps().await.unwrap();
        if entries[0]["process"]["connections_refused"].as_u64() >= Some(3) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let client = site.client(0).unwrap();
    let next_ticket = ticket(&client).await;
    let answer = client.submit(&job(&next_ticket, "z", 2, 5)).await.unwrap();
    assert!(answer.is_complete(), "the entry keeps running");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_version_refused() {
    use futures::StreamExt;
    use tokio::io::AsyncWriteExt;
    use tokio_util::codec::{Encoder, FramedRead};
    use wire::{Frame, codec::Codec, frame::Hello, id::Incarnation};
    let site = site().await;
    let links = site.entries[0].handle.as_ref().unwrap().links();
    let hello = Hello {
        version: wire::frame::VERSION + 1,
        role: wire::frame::Role::Side,
        name: "newer".to_owned(),
        incarnation: Incarnation(42),
        domain: "nord-a".to_owned(),
        rack: String::new(),
        address: String::new(),
        processor: 0,
        number: 1,
        nonce: 7,
    };
    let (reader, mut writer) = tokio::net::TcpStream::connect(links)
        .await
        .unwrap()
        .into_split();
    let mut bytes = bytes::BytesMut::new();
    Codec::default()
        .encode(&Frame::Hello(hello), &mut bytes)
        .unwrap();
    writer.write_all(&bytes).await.unwrap();
    let mut frames = FramedRead::new(reader, Codec::default());
    assert!(matches!(frames.next().await, Some(Ok(Frame::Hello(_)))));
    assert!(
        frames.next().await.is_none(),
        "closed before authentication"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn separate_regions() {
    use hyssoppost::{entry, settings::Entry};
    use store::Store;
    let site = site().await;
    let text = format!(
        "[entry]\nname = far\nenvironment = {}\ndomain = nord-a\nregion = far\n\n\
         [listen]\ncallers = 127.0.0.1:0\nlinks = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\n\
         [store]\naddress = {}\n\n\
         [security]\nkey = lab-shared-key-0001\nadmin_token = {}\n",
        site.plan.environment,
        site.store.address(),
        hyssopctl::lab::site::ADMIN_TOKEN,
    );
    let mut far = entry::spawn(Entry::parse(&text).unwrap()).await.unwrap();
    far.ready().await;
    // It is registered in the store, under its own region.
    let prefix = store::publication::entries_prefix(&site.plan.environment, "far");
    while site.operator.list(&prefix).await.unwrap().items.is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let dump = hyssopctl::client::dump(far.admin(), hyssopctl::lab::site::ADMIN_TOKEN).await;
    let dump = dump.unwrap();
    assert_eq!(dump["configuration"]["revision"], 1);
    assert_eq!(dump["entries"].as_array().unwrap().len(), 0);
    assert_eq!(dump["sides"].as_array().unwrap().len(), 0);
    // The entries of this region only connect to the two others of the region.
    loop {
        let (entries, _) = site.dumps().await.unwrap();
        let count = |entry: &serde_json::Value| entry["entries"].as_array().unwrap().len();
        assert!(entries.iter().all(|entry| count(entry) <= 2));
        if entries.iter().all(|entry| count(entry) == 2) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
