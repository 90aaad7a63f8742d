use super::event::{Event, Filter};
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
fn arrange_slowclock() {
    let mut events = vec![
        event("agent", "a", 100, 7, "revision in use"),
        event("agent", "a", 150, 7, "members changed"),
        event("control", "c", 1000, 7, "applied"),
        event("entry", "e", 1200, 7, "revision in use"),
    ];
    order::arrange(&mut events);
    let order: Vec<_> = events.iter().map(|e| (&*e.vm, e.wall_us)).collect();
    assert_eq!(order, [("a", 1000), ("c", 1000), ("a", 1050), ("e", 1200)]);
}

#[test]
fn admits_eachfilter() {
    let seen = event("agent", "a", 3000, 7, "flow admitted");
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
        assert_eq!(Filter::new(&matches).admits(&seen, 1000), expected, "{arguments:?}");
    }
}

#[test]
fn render_escapes() {
    let page = page::render(&[event("agent", "a", 5, 1, "x<y")], 5);
    assert!(page.contains("x&lt;y"));
    assert!(!page.contains("x<y"));
    assert!(!page.contains("http"), "the page must need no network");
}
