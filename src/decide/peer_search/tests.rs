use super::*;

fn search(registered: Option<Time>) -> PeerSearch {
    PeerSearch { has_seeds: false, has_registry: true, registered }
}

fn after(seconds: u64) -> Time {
    CLOCK_START + Duration::from_secs(seconds)
}

/// Guards against hosts that start while the registry is away, and each take an upstream's whole rate
/// limit (soak, seed 915).
#[test]
fn a_host_that_could_not_register_may_have_peers() {
    assert!(search(None).may_find_peers(after(5)));
    assert!(search(None).may_find_peers(after(60)));
    assert!(search(Some(after(7))).may_find_peers(after(8)));
    assert!(!search(Some(after(7))).may_find_peers(after(9)));
}

#[test]
fn a_host_that_registered_and_heard_of_nobody_is_alone() {
    assert!(search(Some(after(1))).may_find_peers(after(3)));
    assert!(!search(Some(after(1))).may_find_peers(after(4)));
}

#[test]
fn a_host_with_seeds_may_have_peers_and_one_without_a_registry_is_alone_in_the_end() {
    let seeds = PeerSearch { has_seeds: true, ..search(Some(after(1))) };
    assert!(seeds.may_find_peers(after(60)));
    let no_registry = PeerSearch { has_registry: false, ..search(None) };
    assert!(no_registry.may_find_peers(after(3)));
    assert!(!no_registry.may_find_peers(after(4)));
}
