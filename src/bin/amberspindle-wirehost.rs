//! Hosts instances of the decision module on the line protocol. No decisions are made here.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use amberspindle::api::{Action, Micros};
use amberspindle::brain::Brain;
use amberspindle::wire::{self, Incoming, Instance, Reader};

/// Passes one message to its instance; returns the text of a panic as the error.
fn deliver(
    brains: &mut BTreeMap<Instance, Brain>,
    instance: Instance,
    now: Micros,
    incoming: Incoming,
) -> Result<Vec<Action>, String> {
    let mut actions = Vec::new();
    match incoming {
        Incoming::Attach { seed, settings } => {
            brains.remove(&instance);
            let settings = (*settings)?;
            let brain = catch_unwind(|| Brain::new(settings, seed)).map_err(panic_text)?;
            brains.insert(instance, brain);
        }
        Incoming::Retire => {
            brains.remove(&instance);
        }
        Incoming::Event(event) => {
            if let Some(brain) = brains.get_mut(&instance) {
                let handle = AssertUnwindSafe(|| brain.handle(now, event, &mut actions));
                if let Err(panic) = catch_unwind(handle) {
                    brains.remove(&instance);
                    return Err(panic_text(panic));
                }
            }
        }
    }
    Ok(actions)
}

fn panic_text(panic: Box<dyn std::any::Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    format!("panic: {}", text.unwrap_or("without a message"))
}

fn main() -> ExitCode {
    // A panic is reported over the wire; the standard hook would print it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    let mut reader = Reader::new(io::stdin().lock());
    let mut stdout = io::stdout().lock();
    let mut brains = BTreeMap::new();
    loop {
        let batch = match reader.batch() {
            Ok(Some(batch)) => batch,
            Ok(None) => return ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        let mut reply = String::new();
        for (instance, incoming) in batch.events {
            match deliver(&mut brains, instance, batch.now, incoming) {
                Ok(actions) => actions.iter().for_each(|action| wire::print(instance, action, &mut reply)),
                Err(text) => wire::print_failure(instance, &text, &mut reply),
            }
        }
        wire::print_end(&mut reply);
        if let Err(error) = stdout.write_all(reply.as_bytes()).and_then(|()| stdout.flush()) {
            eprintln!("cannot write the reply: {error}");
            return ExitCode::FAILURE;
        }
    }
}
