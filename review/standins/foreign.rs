//! A host brings second copies of good answers some milliseconds late, when nothing else waits on the connection.
//! Each value names the request it was made for, so that every client can tell whether it got its own.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::config::CALOR_SERRANO;
use crate::support::*;

const SECONDS: u64 = 45;

/// The clients of the router, each with one connection and one request at a time.
const CLIENTS: u64 = 12;

/// How long a client waits after an answer before its next request, at most.
const CLIENT_PAUSE_MS: f64 = 4.0;

/// The host's answers leave it in batches, one each so many milliseconds.
const BATCH_MS: f64 = 16.0;

/// What an invocation takes the host at least.
const WORK_MS: f64 = 2.0;

/// The share of the answers that are followed by a second copy, and when that comes.
const COPY_SHARE: f64 = 0.3;
const COPY_DELAY_MS: (f64, f64) = (0.5, 5.0);

fn sleep_ms(milliseconds: f64) {
    thread::sleep(Duration::from_secs_f64(milliseconds.max(0.0) / 1e3));
}

/// The host: answers a command with the next batch, and may bring a second copy of the answer.
fn host(run: &Run, copies: &Arc<AtomicU64>) -> Host {
    let (record, trouble, copies) = (run.record.clone(), run.trouble, copies.clone());
    let random = Mutex::new(Random::new(7));
    Host::start(Arc::new(move |words, stream| {
        let id = word(words, 2);
        let (brings_copy, delay) = {
            let mut random = random.lock().unwrap();
            (random.unit() < COPY_SHARE, random.between(COPY_DELAY_MS.0, COPY_DELAY_MS.1))
        };
        let began = record.now();
        record.line_at(began, &format!("host: runs {id}"));
        let done = began + WORK_MS;
        let answer_at = (done / BATCH_MS).ceil() * BATCH_MS;
        sleep_ms(answer_at - began);
        let answer = value_answer(format!("made for {id}").as_bytes());
        let _ = stream.write_all(&answer);
        if trouble && brings_copy {
            sleep_ms(delay);
            if !something_waits(stream) {
                let _ = stream.write_all(&answer);
                record.line(&format!("host: second copy of the answer to {id}"));
                copies.fetch_add(1, Relaxed);
            }
        }
    }))
}

pub fn play(run: &Run) -> Result<Verdict, String> {
    let folder = TempFolder::new();
    let copies = Arc::new(AtomicU64::new(0));
    let target = Target {
        uid: "a".into(),
        endpoint: host(run, &copies).address,
        zone: "caxias".into(),
        state: "Ready",
        build: 41,
        boot_ms: 0,
    };
    let discovery = Discovery::start(&run.record, &[target]);
    let platform = Platform::start(&run.record);
    let config = CALOR_SERRANO.config(discovery.address, platform.address, &discovery.list());
    let router = Router::start(&run.root, &folder.0, "n0", &config)?;
    let until = Instant::now() + Duration::from_secs(SECONDS);
    let numbers = Arc::new(AtomicU64::new(0));
    let counts = Arc::new(Mutex::new(BTreeMap::<&'static str, u64>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (numbers, counts) = (numbers.clone(), counts.clone());
            let (record, address) = (run.record.clone(), router.address);
            thread::spawn(move || ask_until(until, client, address, &numbers, &counts, &record))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client could not go on")?;
    }
    let counts = counts.lock().unwrap().clone();
    let summary = format!("answers {counts:?}, second copies {}", copies.load(Relaxed));
    run.record.line(&summary);
    println!("{summary}");
    Ok(match counts.get("foreign") {
        Some(_) => Verdict::Broken,
        None if counts.get("served").is_none_or(|served| *served < 1000) => Verdict::CouldNotRun,
        None => Verdict::Held,
    })
}

/// One client: asks, looks whose answer it got, and asks again.
fn ask_until(
    until: Instant,
    client: u64,
    address: std::net::SocketAddr,
    numbers: &AtomicU64,
    counts: &Mutex<BTreeMap<&'static str, u64>>,
    record: &Record,
) {
    let mut random = Random::new(100 + client);
    let mut connection = Client::connect(address).expect("the router takes connections");
    while Instant::now() < until {
        let id = request_id(numbers.fetch_add(1, Relaxed));
        record.line(&format!("client {client}: asks {id}"));
        let list: &[u8] = b"c=schedule-read,d=2500";
        connection.send(&[b"Q.ASK", b"zone-7", id.as_bytes(), list]);
        let reply = connection.reply(Duration::from_secs(4));
        let text = reply.as_ref().map_or("nothing".into(), Reply::text);
        let kind = match &reply {
            Some(reply) if reply.value() == Some(format!("made for {id}").as_bytes()) => "served",
            Some(reply) if reply.value().is_some() => "foreign",
            Some(Reply::Error(text)) if text.starts_with("BUSY") => "refused",
            Some(_) => "failed",
            None => "none",
        };
        if kind == "foreign" {
            record.line(&format!("BROKEN: client {client} asked {id} and got '{text}'"));
        } else {
            record.line(&format!("client {client}: '{text}' to {id}"));
        }
        *counts.lock().unwrap().entry(kind).or_default() += 1;
        if reply.is_none() {
            connection = Client::connect(address).expect("the router takes connections");
        }
        sleep_ms(random.between(0.0, CLIENT_PAUSE_MS));
    }
}
