//! Panics of tasks, which end the task and not the process.

use std::sync::LazyLock;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);

/// Registers the number of panics.
pub fn register(registry: &mut Registry) {
    registry.register("panics", "Panics of tasks and threads", PANICS.clone());
}

/// Counts panics from now on and passes a line about each to `log`. Those of the main thread, which
/// end the process, are also written to standard error. Others are not, because its reader could
/// block the thread.
pub fn install(log: impl Fn(&str) + Send + Sync + 'static) {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        PANICS.inc();
        let message = panic.payload_as_str().unwrap_or("unknown");
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("unnamed");
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        log(&format!("[ERROR] panicked at {place} thread={name} message={message:?}\n"));
        if name == "main" {
            before(panic);
        }
    }));
}
