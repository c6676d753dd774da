//! An invocation with a fingerprint is run by one host, which then fails it. The router dispatches it again, to a host
//! whose connection comes up late, and stands still meanwhile. Counted is how often each fingerprint was run.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::config::PLACEMENT_CORE;
use crate::support::*;

/// For how long all hosts drop a repeat (`window` of `place-reserve`).
const WINDOW_MS: f64 = 400.0;

/// How long the router stands still: the pages say 460 to 930 ms.
const STALL: Duration = Duration::from_millis(930);

/// When it begins to, after the request was sent. The repeat is being connected then, and has 200 ms for it.
const STALL_BEGINS: Duration = Duration::from_millis(165);

const ROUNDS: u64 = 3;

/// When each fingerprint was run; what all hosts know of each other's.
type Runs = Arc<Mutex<BTreeMap<String, Vec<f64>>>>;

/// A host: runs an invocation unless it repeats one that any host began within the window. `fails` makes it answer
/// each with an error after it has run it.
fn handler(name: &str, record: &Record, runs: &Runs, fails: &Arc<AtomicBool>) -> Arc<Handler> {
    let (name, record, runs, fails) =
        (name.to_string(), record.clone(), runs.clone(), fails.clone());
    Arc::new(move |words, stream| {
        let (at, id) = (record.now(), word(words, 2));
        let fingerprint = parameter(words, "k").unwrap_or_default();
        let told = parameter(words, "d").unwrap_or_default();
        {
            let mut runs = runs.lock().unwrap();
            let earlier = runs.entry(fingerprint.clone()).or_default();
            if earlier.iter().any(|began| at - began < WINDOW_MS) {
                record.line_at(at, &format!("host {name}: drops {id} k={fingerprint}, a repeat"));
            } else {
                earlier.push(at);
                record.line_at(at, &format!("host {name}: RUNS {id} k={fingerprint} (told d={told})"));
            }
        }
        let answer = if fails.load(Relaxed) {
            b"-ERR failed\r\n".to_vec()
        } else {
            value_answer(b"reserved")
        };
        let _ = stream.write_all(&answer);
        let text = if fails.load(Relaxed) { "-ERR failed" } else { "a value" };
        record.line(&format!("host {name}: answers {id} with {text}"));
    })
}

pub fn play(run: &Run) -> Result<Verdict, String> {
    // For the report: one of the two disruptions alone.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (comes_late, stands_still) = (run.trouble && only != "stall", run.trouble && only != "late");
    let folder = TempFolder::new();
    let runs: Runs = Arc::default();
    let (fails, never) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let a = Host::start(handler("a", &run.record, &runs, &fails));
    let target = |uid: &str, endpoint, state| Target {
        uid: uid.into(),
        endpoint,
        zone: "addis-1".into(),
        state,
        build: 41,
        boot_ms: 0,
    };
    let discovery = Discovery::start(&run.record, &[target("a", a.address, "Ready")]);
    let platform = Platform::start(&run.record);
    let config = PLACEMENT_CORE.config(discovery.address, platform.address, &discovery.list());
    let router = Router::start(&run.root, &folder.0, "n0", &config)?;
    let mut client = Client::connect(router.address).map_err(|e| e.to_string())?;
    let mut number = 0;
    let mut send = |client: &mut Client| {
        number += 1;
        let (id, fingerprint) = (request_id(number), request_id(1_000_000 + number));
        let list = format!("c=place-reserve,d=600,k={fingerprint}");
        run.record.line(&format!("client: sends {id} {list}"));
        client.send(&[b"Q.DO", b"child-3", id.as_bytes(), list.as_bytes(), b"place 7"]);
    };
    for round in 1..=ROUNDS {
        for _ in 0..20 {
            send(&mut client);
            let reply = client.reply(Duration::from_secs(2)).ok_or("usual traffic is not answered")?;
            run.record.line(&format!("client: '{}'", reply.text()));
            thread::sleep(Duration::from_millis(30));
        }
        // A further host, listed as ready.
        let name = format!("b{round}");
        let mut late = Some(LateHost::bind(comes_late)?);
        let b = handler(&name, &run.record, &runs, &never);
        let address = late.as_ref().map(|host| host.address).ok_or("no address")?;
        if !comes_late && let Some(host) = late.take() {
            host.open(&run.record, name.clone(), b.clone());
        }
        discovery.set(target(&name, address, "Ready"));
        thread::sleep(Duration::from_millis(100));
        fails.store(true, Relaxed);
        let began = Instant::now();
        send(&mut client);
        thread::sleep(STALL_BEGINS);
        let stopped = Instant::now();
        if stands_still {
            router.stop();
            run.record.line("router: stands still");
        }
        if let Some(host) = late.take() {
            host.open(&run.record, name.clone(), b);
        }
        thread::sleep(STALL.saturating_sub(stopped.elapsed()));
        if stands_still {
            run.record.line("router: goes on");
            router.go_on();
        }
        // The client gave up after 600 ms and keeps its connection.
        let reply = client.reply(Duration::from_secs(3)).map(|reply| reply.text());
        run.record.line(&format!(
            "client: '{}' {:.0} ms after it had sent",
            reply.unwrap_or("nothing".into()),
            began.elapsed().as_secs_f64() * 1e3
        ));
        fails.store(false, Relaxed);
        discovery.set(target(&name, address, "Terminating"));
        thread::sleep(Duration::from_millis(500));
    }
    let mut verdict = Verdict::Held;
    for (fingerprint, began) in runs.lock().unwrap().iter() {
        if began.len() > 1 {
            verdict = Verdict::Broken;
            run.record.line(&format!(
                "BROKEN: k={fingerprint} was run {} times, {:.0} ms apart; hosts drop a repeat for {WINDOW_MS} ms",
                began.len(),
                began[1] - began[0]
            ));
        }
    }
    Ok(verdict)
}
