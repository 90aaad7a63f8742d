use super::event::{Event, Filter};
use super::why::{Cause, Diagnosis};
use super::{order, page};

fn event(process: &str, vm: &str, wall_us: u64, revision: u64, name: &str) -> Event {
    let line = format!(
        "{{\"process\":\"{process}\",\"vm\":\"{vm}\",\"domain\":\"d\",\"pid\":1,\"revision\":\
         {revision},\"wall_us\":{wall_us},\"mono_us\":{wall_us},\"level\":\"INFO\",\"event\":\
         \"{name}\",\"flow\":\"tcp:10.0.0.1:5>10.1.0.1:80\"}}"
    );
    serde_json::from_str(&line).unwrap()
}

#[test]
fn sort_slow_clock() {
    let mut events = vec![
        event("agent", "a", 100, 7, "revision in use"),
        event("agent", "a", 150, 7, "members changed"),
        event("control", "c", 1000, 7, "revision in use"),
        event("control", "c", 5000, 8, "order carried out"),
        event("agent", "b", 1300, 8, "revision in use"),
        event("entry", "e", 1200, 7, "revision in use"),
    ];
    order::sort(&mut events);
    let order: Vec<_> = events.iter().map(|e| (&*e.vm, e.wall_us)).collect();
    assert_eq!(
        order,
        [("a", 1000), ("c", 1000), ("a", 1050), ("e", 1200), ("b", 1300), ("c", 5000)]
    );
}

#[test]
fn sort_clock_step() {
    // The clock of a VM stepped back while its agent ran, and cause came after effect in the time line.
    let at = |mono_us, wall_us, name| Event { mono_us, ..event("agent", "a", wall_us, 7, name) };
    let mut events = vec![
        at(100, 1000, "first"),
        at(200, 1100, "second"),
        at(300, 400, "after the step"),
        event("entry", "e", 1150, 7, "between"),
        at(400, u64::MAX, "after another"),
        // The next process of the same identity.
        at(50, 2000, "restarted"),
    ];
    order::sort(&mut events);
    let names: Vec<_> = events.iter().map(|event| &*event.event).collect();
    let expected = ["first", "second", "between", "after the step", "after another", "restarted"];
    assert_eq!(names, expected);
}

#[test]
fn matches_each_filter() {
    let admitted = event("agent", "a", 3000, 7, "flow admitted");
    let cases: [(&[&str], bool); 8] = [
        (&["--flow", "10.0.0.1:5"], true),
        (&["--flow", "10.0.0.2:5"], false),
        (&["--service", "10.1.0.1:80"], true),
        (&["--vm", "b"], false),
        (&["--event", "admitted"], true),
        (&["--from", "3"], false),
        (&["--from", "2"], true),
        (&["--until", "1"], false),
    ];
    for (arguments, expected) in cases {
        let line = ["timeline", "x.log"].iter().chain(arguments);
        let matches = super::command().try_get_matches_from(line).unwrap();
        assert_eq!(Filter::new(&matches).matches(&admitted, 1000), expected, "{arguments:?}");
    }
}

#[test]
fn render_escapes_html() {
    let page = page::render(&[event("agent", "a", 5, 1, "x<y")], 5);
    assert!(page.contains("x&lt;y"));
    assert!(!page.contains("x<y"));
    assert!(!page.contains("http"), "the page must be self-contained");
}

/// Creates an event with further fields, given as JSON, after the prefix of a log collector.
fn event_with(vm: &str, wall_us: u64, name: &str, fields: &str) -> Event {
    let line = format!(
        "  12.5 {vm} {{\"process\":\"agent\",\"vm\":\"{vm}\",\"domain\":\"d\",\"pid\":1,\
         \"revision\":1,\"wall_us\":{wall_us},\"mono_us\":{wall_us},\"level\":\"INFO\",\
         \"event\":\"{name}\"{fields}}}"
    );
    Event::parse(&line).unwrap()
}

#[test]
fn parse_invalid_line() {
    for line in ["", "day  own/srv  score", "{}", "12.5 edge-1 {\"event\":"] {
        assert!(Event::parse(line).is_none(), "{line}");
    }
}

#[test]
fn diagnosis_refused_flow() {
    let flow = ",\"flow\":\"tcp:10.0.0.1:5>10.1.0.1:80\"";
    let events = [
        event_with(
            "e",
            1_000_000,
            "first packet goes to its home",
            &format!("{flow},\"to\":\"h\""),
        ),
        event_with("h", 1_001_000, "flow declined", &format!("{flow},\"by\":\"a\"")),
        event_with("a", 1_100_000, "upstream ejected", ""),
        event_with("b", 1_100_000, "upstream ejected", ""),
        event_with("h", 1_200_000, "flow refused", &format!("{flow},\"declined\":4")),
        event_with("h", 2_000_000, "events left out", ",\"kind\":\"flow declined\",\"count\":7"),
        event_with("a", 9_000_000, "upstream answers again", ""),
    ];
    let diagnosis = Diagnosis::new(&events, "10.0.0.1:5>");
    assert_eq!(diagnosis.cause, Cause::NoSlot);
    assert_eq!(&*diagnosis.deciding_event.unwrap().vm, "h");
    assert_eq!(diagnosis.suppressed, 7);
    let names: Vec<_> = diagnosis.events.iter().map(|event| (&*event.vm, &*event.event)).collect();
    assert!(names.contains(&("a", "upstream ejected")), "{names:?}");
    assert!(!names.contains(&("b", "upstream ejected")), "event of an unrelated VM: {names:?}");
    assert_eq!(names.len(), 5, "{names:?}");
}

#[test]
fn diagnosis_causes() {
    let cases = [
        ("flow ended with its upstream", Cause::UpstreamEnded),
        ("flow failed at the upstream", Cause::UpstreamFailed),
        ("unknown flow reset", Cause::UnknownFlow),
        ("packet waits for its owner", Cause::OwnerMissing),
        ("answer late", Cause::LateAnswer),
        ("caller repeats a packet", Cause::Unanswered),
        ("flow admitted", Cause::Undetermined),
    ];
    for (name, cause) in cases {
        let event = event_with("a", 1, name, ",\"flow\":\"tcp:10.0.0.1:5>10.1.0.1:80\"");
        assert_eq!(Diagnosis::new(&[event], "10.0.0.1:5>").cause, cause, "{name}");
    }
}
