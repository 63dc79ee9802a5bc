//! An operator's plug-in runs into an endless loop at one request, while other viewers ask.
#[path = "../rig/rig.rs"]
mod rig;

use rig::*;

const SERVERS: usize = 6;
/// Viewers ask three times a second for so long.
const LAST_S: f64 = 40.0;
/// The plug-in meets the title that it does not end at so long after the start.
const LOOP_AT_S: f64 = 10.0;
/// An answer is lost if it comes later than this after the viewer's time (half a second, and 50 ms on sockets).
const LATE_S: f64 = 0.55;
/// The title that the plug-in is wrong about has this number.
const LOOPS_AT: usize = 5;

/// The plug-in. It lets every request pass, and is to lower the top rung of one title that is on its list: with the
/// trouble, its loop over the list has no end.
fn plug_in(loops: bool) -> String {
    let (head, step) =
        if loops { ("while titles.len() > 0", "t != name") } else { ("if titles.len() > 0", "t == name") };
    format!(
        "// Clips on the list start one rung lower.\n\
         fn on_request(request) {{\n\
         \x20   if request.title != \"k{LOOPS_AT:04}\" {{ return; }}\n\
         \x20   let name = request.title;\n\
         \x20   let titles = [];\n\
         \x20   for n in 0..3500 {{ titles.push(\"clip-\" + n); }}\n\
         \x20   {head} {{ titles = titles.filter(|t| {step}); }}\n\
         }}\n"
    )
}

fn main() {
    let record = Record::create();
    let servers: Vec<_> = (0..SERVERS).map(|cell| Server::start(&record, cell, 3250)).collect();
    let (folder, listen) = (temporary_folder("plug-in"), free_port());
    // The settings of the deploy folder's operator's file; addresses, servers and the plug-in are this run's.
    let root = std::env::var("ROOT").unwrap_or_default();
    let text = std::fs::read_to_string(format!("{root}/deploy/operator.toml")).unwrap_or_default();
    let Some(settings) = text.find("\n[settings]").map(|at| &text[at..]) else {
        finish(&record, &mut [], 2, "deploy/operator.toml has no [settings]");
    };
    let settings = settings.replace("Places = 3", &format!("Places = {SERVERS}"));
    let mut file =
        format!("name = \"showroom\"\n[platform]\nlisten = \"{listen}\"\n[hook]\nscript = \"hook.rhai\"\n");
    for server in &servers {
        file += &format!(
            "[[server]]\nid = \"{}\"\naddress = \"{}\"\ncell = {}\nkind = \"box-2core\"\nweight = 4.0\n",
            server.name, server.address, server.cell
        );
    }
    file += &settings;
    file += "\n[[settings.Tenants]]\nName = \"corrib-home\"\nQuotaRps = 1.6\n\
        [[settings.Tenants]]\nName = \"lee-beds\"\nQuotaRps = 1.4\n";
    std::fs::write(folder.join("hook.rhai"), plug_in(trouble())).expect("a file");
    let mut brokers = vec![Broker::start_operator(&record, "showroom", &folder, &file, listen)];
    if !wait_ready(listen, 30) {
        finish(&record, &mut brokers, 2, "the broker is not ready");
    }
    let mut crowd = Crowd::new(SERVERS, 31);
    let (start, mut next, mut met) = (record.now(), record.now(), false);
    while record.now() < start + LAST_S + 7.0 {
        let now = record.now();
        if !met && now >= start + LOOP_AT_S {
            met = true;
            record.line("a viewer asks for the title that the plug-in is wrong about");
            crowd.comes_for(&record, listen, LOOPS_AT, Some(1));
        } else if now >= next && now < start + LAST_S {
            next += 0.33;
            let home = crowd.random.below(LOOPS_AT as u64) as usize;
            let class = crowd.random.below(2) as usize;
            crowd.comes_for(&record, listen, home, Some(class));
        }
        if brokers[0].has_ended() {
            finish(&record, &mut brokers, 1, "the broker has ended");
        }
        sleep_ms(5);
    }
    let book = crowd.book.lock().unwrap().clone();
    let (mut lost, mut twice) = (0, 0);
    for (id, seen) in &book {
        let left = if seen.class == "assembly-guide" { 3.0 } else { 5.0 };
        let late = seen.answer.is_empty() || seen.answered > seen.asked + left + LATE_S;
        twice += usize::from(seen.answers > 1);
        if late {
            lost += 1;
            record.say(format!(
                "not answered in its time: id={id:016x} class={} asked at {:.3} answer={:?} at {:.3}",
                seen.class, seen.asked, seen.answer, seen.answered
            ));
        }
    }
    let played = book.values().filter(|seen| seen.answer == "plays").count();
    record.say(format!("requests={} played={played} lost={lost} answered twice={twice}", book.len()));
    if played < 20 {
        finish(&record, &mut brokers, 2, "too few requests were served");
    }
    match lost + twice {
        0 => finish(&record, &mut brokers, 0, "each request had one answer in its time"),
        n => finish(&record, &mut brokers, 1, &format!("{n} requests had no single answer in their time")),
    }
}
