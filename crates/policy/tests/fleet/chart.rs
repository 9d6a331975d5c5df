//! Binding of state charts to their enums.

use azuretally_policy::{
    chart::{Chart, ChartError},
    fleet::{ENTRY_CHART, Lifecycle, LifecycleEvent, PEER_CHART, PeerEvent, PeerState},
};

type EntryChart = Chart<Lifecycle, LifecycleEvent>;

#[test]
fn charts_match_their_enums() {
    assert_eq!(EntryChart::parse(ENTRY_CHART).unwrap().initial(), Lifecycle::Starting);
    let peer = Chart::<PeerState, PeerEvent>::parse(PEER_CHART).unwrap();
    assert_eq!(peer.initial(), PeerState::Listed);
    assert_eq!(peer.next(PeerState::Alive, PeerEvent::Accused), PeerState::Suspect);
    assert_eq!(peer.next(PeerState::Alive, PeerEvent::Expired), PeerState::Alive);
}

#[test]
fn mismatched_names_and_unreachable_states_are_errors() {
    let unknown = ENTRY_CHART.replace("[states.stopping]", "[states.sleeping]");
    assert_eq!(
        EntryChart::parse(&unknown).unwrap_err(),
        ChartError::UnknownState("sleeping".to_owned())
    );
    let missing = ENTRY_CHART.replace("[states.stopping]", "");
    assert_eq!(EntryChart::parse(&missing).unwrap_err(), ChartError::MissingState("stopping"));
    let event = ENTRY_CHART.replace("cut-off =", "cut =");
    assert_eq!(EntryChart::parse(&event).unwrap_err(), ChartError::UnknownEvent("cut".to_owned()));
    let cycle = ENTRY_CHART.replace("\"stale\"", "\"serving\"");
    assert_eq!(EntryChart::parse(&cycle).unwrap_err(), ChartError::Unreachable("stale"));
    let unused = ENTRY_CHART.replace("contact = \"serving\"", "");
    assert_eq!(EntryChart::parse(&unused).unwrap_err(), ChartError::UnusedEvent("contact"));
}

#[test]
fn diagram_shows_every_transition() {
    let text = EntryChart::parse(ENTRY_CHART).unwrap().mermaid();
    assert!(text.starts_with("stateDiagram-v2\n"));
    assert!(text.contains("    [*] --> starting\n"));
    assert!(text.contains("    serving --> stale: cut-off\n"));
}
