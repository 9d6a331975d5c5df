//! Pings and their acknowledgements.

use crate::cluster::name;
use azuretally_policy::fleet::Monitor;

/// Guards against a record that is never sent again, because the late acknowledgement of an earlier
/// ping counted for the ping that carried it.
#[test]
fn late_acknowledgement_counts_for_the_record_of_its_own_ping() {
    let peer = name(1);
    let mut monitor = Monitor::default();
    let first = monitor.ping(&peer, 1);
    let second = monitor.ping(&peer, 2);
    assert!(first.send_record && second.send_record);
    assert!(monitor.acknowledge(&peer, first.number));
    assert!(monitor.ping(&peer, 2).send_record, "the second ping is not acknowledged");
    assert!(monitor.acknowledge(&peer, second.number));
    assert!(!monitor.ping(&peer, 2).send_record);
}
