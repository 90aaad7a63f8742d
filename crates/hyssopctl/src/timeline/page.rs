//! Self-contained HTML page of a timeline, with a lane for each VM.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::event::Event;

/// Width of the lanes, height of a lane, and width of the column of names, in pixels.
const LANE_WIDTH: f64 = 1600.0;
const LANE_HEIGHT: f64 = 26.0;
const NAME_WIDTH: f64 = 170.0;

/// Number of intervals between ticks on the time axis.
const TICKS: u32 = 10;

const STYLE: &str = "body{font:14px sans-serif;margin:16px}svg{background:#fafafa}\
    text{font:12px sans-serif}circle:hover{stroke:#000}tr:target{background:#ffe9a8}\
    td{padding:1px 8px;font:12px monospace}.warning{color:#b34700}.error{color:#b00020}\
    input{width:30em;margin:8px 0}";

const SCRIPT: &str = "const box=document.getElementById('find');box.oninput=()=>{\
    const want=box.value.toLowerCase();for(const row of document.querySelectorAll('tbody tr')){\
    const hit=row.textContent.toLowerCase().includes(want);row.hidden=!hit;\
    const mark=document.getElementById('m'+row.id.slice(1));\
    if(mark)mark.style.display=hit?'':'none';}};";

/// Renders the page of events on a timeline that starts at `start`, in microseconds.
pub(crate) fn render(events: &[Event], start: u64) -> String {
    let mut lanes: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for event in events {
        lanes.insert((lane_order(&event.process), &event.vm), 0.0);
    }
    for (index, y) in lanes.values_mut().enumerate() {
        *y = LANE_HEIGHT * (index as f64 + 1.5);
    }
    let end = events.last().map_or(start, |event| event.wall_us);
    let span = (end - start).max(1) as f64;
    let mut page = String::new();
    // Writing to a `String` cannot fail.
    let _ = write!(
        page,
        "<!doctype html><meta charset=utf-8><title>hyssopdyke timeline</title>\
         <style>{STYLE}</style><h1>Timeline</h1><p>{} events of {} VMs in {:.3} s. A mark links \
         to its row below.</p>",
        events.len(),
        lanes.len(),
        span / 1e6,
    );
    draw_lanes(&mut page, events, &lanes, start, span);
    let _ =
        write!(page, "<input id=find placeholder='Find: a VM, an event, a flow'><table><tbody>");
    for (index, event) in events.iter().enumerate() {
        let _ = write!(
            page,
            "<tr id=e{index} class={}><td>{:.3} ms<td>{}<td>{}<td>r{}<td>{}<td>{}</tr>",
            escape(&event.level.to_lowercase()),
            (event.wall_us - start) as f64 / 1000.0,
            escape(&event.vm),
            escape(&event.domain),
            event.revision,
            escape(&event.event),
            escape(&event.format_fields()),
        );
    }
    let _ = write!(page, "</tbody></table><script>{SCRIPT}</script>");
    page
}

fn draw_lanes(
    page: &mut String,
    events: &[Event],
    lanes: &BTreeMap<(&str, &str), f64>,
    start: u64,
    span: f64,
) {
    let height = LANE_HEIGHT * (lanes.len() as f64 + 2.0);
    let _ = write!(page, "<svg width={} height={height}>", LANE_WIDTH + NAME_WIDTH + 20.0);
    for tick in 0..=TICKS {
        let share = f64::from(tick) / f64::from(TICKS);
        let x = NAME_WIDTH + share * LANE_WIDTH;
        let _ = write!(
            page,
            "<line x1={x} x2={x} y1=20 y2={height} stroke=#ddd /><text x={x} y=14 \
             text-anchor=middle>{:.2} s</text>",
            share * span / 1e6,
        );
    }
    for ((_, vm), y) in lanes {
        let _ = write!(
            page,
            "<text x=4 y={}>{}</text><line x1={NAME_WIDTH} x2={} y1={y} y2={y} stroke=#bbb />",
            y + 4.0,
            escape(vm),
            NAME_WIDTH + LANE_WIDTH,
        );
    }
    for (index, event) in events.iter().enumerate() {
        let y = lanes.get(&(lane_order(&event.process), &*event.vm)).copied().unwrap_or(0.0);
        let x = NAME_WIDTH + (event.wall_us - start) as f64 / span * LANE_WIDTH;
        let color = match &*event.level {
            "ERROR" => "#b00020",
            "WARN" | "WARNING" => "#e07000",
            "INFO" => "#1565c0",
            _ => "#9e9e9e",
        };
        let _ = write!(
            page,
            "<a href=#e{index}><circle id=m{index} cx={x:.1} cy={y} r=4 fill={color} \
             fill-opacity=.7><title>{} {}</title></circle></a>",
            escape(&event.event),
            escape(&event.format_fields()),
        );
    }
    let _ = write!(page, "</svg>");
}

/// Returns the sort key of a lane: control is above the entries, and entries are above the agents.
fn lane_order(process: &str) -> &'static str {
    match process {
        "control" => "1",
        "entry" => "2",
        _ => "3",
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
