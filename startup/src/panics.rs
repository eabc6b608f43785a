//! Panics of tasks, which end the task and not the process.

use std::sync::LazyLock;

use loftcove_line::field;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Registers the number of panics.
pub fn register(registry: &mut Registry) {
    registry.register("panics", "Panics of tasks and threads", PANICS.clone());
}

/// Counts panics from now on and passes a line about each to `log`.
pub fn install(log: impl Fn(&str) + Send + Sync + 'static) {
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.inc();
        let message = field::Quoted(panic.payload_as_str().unwrap_or("unknown"));
        let thread = std::thread::current();
        let name = field::Text(thread.name().unwrap_or("unnamed"));
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        log(&format!("[ERROR] panicked at {place} thread={name} message={message}\n"));
    }));
}
