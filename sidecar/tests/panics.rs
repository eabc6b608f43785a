//! A driver that panics is replaced.
//!
//! Guards against a sidecar that runs on without a driver.

#![allow(clippy::unwrap_used, reason = "a test that fails may panic")]

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use loftcove_interface::engine::{Counts, Engine, Error, Held, Order, Report, Verdict};
use loftcove_interface::store::{
    self, Changes, Lease, Listing, Outcome, Revision, Store, Wait, Write,
};
use loftcove_platform::adapter;
use loftcove_settings::gateway as settings;
use loftcove_startup::signals;

/// Number of reports that panic.
const PANICS: u32 = 2;
/// Time within which the driver is replaced each time, and asks for several reports.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An engine whose first reports panic, and whose other calls fail. It counts the reports.
struct Panicking(Arc<AtomicU32>);

impl Engine for Panicking {
    async fn report(&self) -> Result<Report, Error> {
        let count = self.0.fetch_add(1, Ordering::Relaxed);
        assert!(count >= PANICS, "a panic for the test");
        Err(Error::NoAnswer(String::new()))
    }

    async fn counts(&self) -> Result<Counts, Error> {
        Err(Error::NoAnswer(String::new()))
    }

    async fn lists(&self) -> Result<(Held, Option<Held>), Error> {
        Err(Error::NoAnswer(String::new()))
    }

    async fn order(&self, _: &Order, _: u64, _: Option<u64>) -> Result<Verdict, Error> {
        Err(Error::NoAnswer(String::new()))
    }
}

/// A store that rejects all calls.
struct Rejecting;

fn reject<T>() -> Result<T, store::Error> {
    Err(store::Error::Refused { status: 503, rest: Duration::from_secs(1) })
}

impl Store for Rejecting {
    async fn list(&self, _: &str) -> Result<Listing, store::Error> {
        reject()
    }

    async fn watch(&self, _: &str, _: Revision, _: Wait) -> Result<Changes, store::Error> {
        reject()
    }

    async fn write(&self, _: &Write) -> Result<Outcome, store::Error> {
        reject()
    }

    async fn grant(&self, _: Duration) -> Result<Lease, store::Error> {
        reject()
    }

    async fn renew(&self, _: Lease) -> Result<bool, store::Error> {
        reject()
    }

    async fn revoke(&self, _: Lease) -> Result<(), store::Error> {
        reject()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_driver_that_panics_is_replaced() {
    let file = std::env::temp_dir().join(format!("loftcove-panics-{}.toml", std::process::id()));
    let text = "[host]\nname = \"one\"\nzone = \"norte\"\nstore_address = \"127.0.0.1:1\"\n\
                metrics_address = \"127.0.0.1:0\"\n\
                [peering]\npeer_address = \"127.0.0.1:0\"\n\
                [engine]\naddress = \"127.0.0.1:1\"\nservice = \"modelo\"\n";
    std::fs::write(&file, text).unwrap();
    let settings = settings::Sidecar::read(&file).unwrap();
    let reports = Arc::new(AtomicU32::new(0));
    let signals = signals::Signals::install().unwrap().receiver().unwrap();
    let connect = {
        let reports = reports.clone();
        move |_| Panicking(reports.clone())
    };
    let path = file.clone();
    let sidecar = tokio::spawn(async move {
        loftcove_sidecar::run::<adapter::Adapter, _, _>(
            &path, settings, Rejecting, connect, signals,
        )
        .await
    });
    let asked = async {
        while reports.load(Ordering::Relaxed) < PANICS + 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let asked = tokio::time::timeout(TIMEOUT, asked).await;
    std::fs::remove_file(&file).ok();
    assert!(asked.is_ok(), "{} reports", reports.load(Ordering::Relaxed));
    assert!(!sidecar.is_finished());
}
