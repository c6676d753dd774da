//! Invocations whose value has the full 64 KiB. Their bytes arrive while the router stands still. Each has to get its
//! final answer.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::config::PLACEMENT_CORE;
use crate::support::*;

/// What a value holds at most.
const VALUE_BYTES: usize = 64 * 1024;

/// The client's time, and the half second after it from which an invocation without a final answer is lost.
const TIME_MS: f64 = 600.0;
const LOST_AFTER_MS: f64 = TIME_MS + 500.0;

/// How long the router stands still: the pages say 460 to 930 ms.
const STALL: Duration = Duration::from_millis(470);

/// A client writes the command in pieces, as a network delivers it.
const PIECE_BYTES: usize = 8 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(4);

const ROUNDS: u64 = 5;

pub fn play(run: &Run) -> Result<Verdict, String> {
    let folder = TempFolder::new();
    let begun = Arc::new(Mutex::new(Vec::<String>::new()));
    let (record, seen) = (run.record.clone(), begun.clone());
    let host = Host::start(Arc::new(move |words, stream| {
        let id = word(words, 2);
        record.line(&format!("host: runs {id}, a value of {} bytes", words.last().map_or(0, Vec::len)));
        seen.lock().unwrap().push(id.clone());
        thread::sleep(Duration::from_millis(20));
        let _ = stream.write_all(&value_answer(format!("of {id}").as_bytes()));
    }));
    let target = Target {
        uid: "a".into(),
        endpoint: host.address,
        zone: "addis-1".into(),
        state: "Ready",
        build: 41,
        boot_ms: 0,
    };
    let discovery = Discovery::start(&run.record, &[target]);
    let platform = Platform::start(&run.record);
    let config = PLACEMENT_CORE.config(discovery.address, platform.address, &discovery.list());
    let router = Router::start(&run.root, &folder.0, "n0", &config)?;
    let command = |number: u64, bytes: usize| {
        let id = request_id(number);
        let list = format!("c=place-reserve,d={TIME_MS},k={}", request_id(1_000_000 + number));
        let value = vec![b'v'; bytes];
        (id.clone(), command_bytes(&[b"Q.DO", b"child-3", id.as_bytes(), list.as_bytes(), &value]))
    };
    let mut verdict = Verdict::Held;
    for round in 0..ROUNDS {
        let mut client = Client::connect(router.address).map_err(|e| e.to_string())?;
        for step in 0..3 {
            let (id, bytes) = command(100 * round + step, 100);
            run.record.line(&format!("client: sends {id}, {} bytes, d={TIME_MS}", bytes.len()));
            client.send_bytes(&bytes);
            let reply = client.reply(Duration::from_secs(3));
            let text = reply.as_ref().map_or("nothing".into(), Reply::text);
            run.record.line(&format!("client: '{text}' to {id}"));
            let served = reply.as_ref().and_then(Reply::value) == Some(format!("of {id}").as_bytes());
            if !served {
                return Err("usual traffic is not served".into());
            }
        }
        let (id, bytes) = command(100 * round + 10, VALUE_BYTES);
        run.record.line(&format!("client: sends {id}, {} bytes, d={TIME_MS}", bytes.len()));
        let stopped = Instant::now();
        if run.trouble {
            router.stop();
            run.record.line("router: stands still");
        }
        for piece in bytes.chunks(PIECE_BYTES) {
            client.send_bytes(piece);
            thread::sleep(PIECE_PAUSE);
        }
        let sent_at = Instant::now();
        run.record.line(&format!("client: the last byte of {id} is written"));
        if run.trouble {
            thread::sleep(STALL.saturating_sub(stopped.elapsed()));
            run.record.line("router: goes on");
            router.go_on();
        }
        let reply = client.reply(Duration::from_secs(6));
        let took = sent_at.elapsed().as_secs_f64() * 1e3;
        let text = reply.map_or("nothing".into(), |reply| reply.text());
        run.record.line(&format!("client: '{text}' to {id}, {took:.0} ms after its last byte"));
        if took > LOST_AFTER_MS || text == "nothing" {
            let times = begun.lock().unwrap().iter().filter(|seen| **seen == id).count();
            verdict = Verdict::Broken;
            run.record.line(&format!(
                "BROKEN: {id} has no final answer {LOST_AFTER_MS} ms after its last byte (d={TIME_MS}); \
                 hosts got it {times} times"
            ));
        }
    }
    Ok(verdict)
}
