use rand::SeedableRng;

use super::*;

const OLD: BuildId = BuildId(7);
const NEW: BuildId = BuildId(8);
const TERMS: ColdTerms = ColdTerms {
    share: 0.5,
    time: 2.0,
    overload_multiple: 3.0,
    overload_duration: 2.0,
    fair: 1.0,
};

fn one() -> (Hosts, ChaCha8Rng) {
    let mut hosts = Hosts::new(TERMS);
    hosts.add_machine(Place { region: 0, zone: 0 }, OLD);
    (hosts, ChaCha8Rng::seed_from_u64(1))
}

#[test]
fn work_waits_for_a_free_place() {
    let (mut hosts, mut random) = one();
    let mut times = vec![];
    for _ in 0..20 {
        let Answer::Served { after, error } = hosts.start_attempt(HostId(0), 100.0, &mut random)
        else {
            panic!()
        };
        assert!(!error);
        times.push(after);
    }
    assert!(times[..2].iter().all(|after| *after < 0.3), "{times:?}");
    assert!(times[18..].iter().all(|after| *after > 0.3), "{times:?}");
    let later = hosts.start_attempt(HostId(0), 110.0, &mut random);
    assert!(
        matches!(later, Answer::Served { after, .. } if after < 0.3),
        "{later:?}"
    );
}

#[test]
fn what_comes_to_a_cold_host_is_held_against_what_it_bears() {
    let (mut hosts, mut random) = one();
    (0..9).for_each(|_| _ = hosts.start_attempt(HostId(0), 100.0, &mut random));
    assert_eq!(hosts.worst_cold, 0.0, "it is warm");
    let cold = hosts.start(0, NEW, GOOD, 100.0);
    (0..3).for_each(|_| _ = hosts.start_attempt(cold.host, 100.0, &mut random));
    // Half warm, three times a dispatch a second for two seconds: three.
    assert_eq!(hosts.worst_cold, 1.0);
}

#[test]
fn a_lost_machine_keeps_silent_and_an_ended_process_refuses() {
    let (mut hosts, mut random) = one();
    let next = hosts.start(0, NEW, GOOD, 100.0);
    assert!(hosts.runs(OLD) && hosts.runs(NEW));
    hosts.drain(HostId(0));
    assert_eq!(hosts.end(HostId(0)).state, HostState::Removed);
    assert_eq!(
        hosts.start_attempt(HostId(0), 101.0, &mut random),
        Answer::Refused
    );
    assert_eq!(hosts.lose(0, 102.0).len(), 1, "only what ran");
    assert_eq!(
        hosts.start_attempt(next.host, 103.0, &mut random),
        Answer::Silence
    );
    assert!(hosts.lost_since(next.host, 101.0) && !hosts.lost_since(next.host, 102.5));
    assert!(!hosts.runs(NEW) && !hosts.is_up(0));
    hosts.restore(0);
    assert!(hosts.is_up(0));
}
