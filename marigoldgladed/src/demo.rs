//! The demo: a daemon and a stand-in platform in one process, with a request and a job.

use marigoldglade::api::{JobSpec, JobView, Shape};
use marigoldglade::prelude::*;
use marigoldglade::settings::{Limits, Log, Settings};
use serde::de::DeserializeOwned;
use standin::platform::{Platform, Size};

use crate::{app, clock, logs};

/// The configuration that the demo applies.
const CONFIG: &str = include_str!("demo.yaml");
/// The data centre of the demo.
const DC: &str = "kista";
/// The timeout of a step of the demo, in milliseconds.
const STEP_TIMEOUT_MS: u64 = 10_000;

/// Runs the demo until a signal stops it.
///
/// # Errors
///
/// [`Kind::Internal`] if the platform or the daemon can't be started.
pub(crate) fn run() -> Result<()> {
    let size = Size {
        runners: 4,
        workers: 16,
        work_ms: 5,
    };
    let platform =
        Platform::start(DC, size).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        name: "demo".to_owned(),
        dc: DC.to_owned(),
        listen: any_port,
        mesh: any_port,
        admin: any_port,
        store: vec![platform.store.addr],
        vm_list: platform.vm_list.addr,
        peers: Vec::new(),
        mesh_key: "a key for the demo only".to_owned(),
        log: Log {
            level: log::LevelFilter::Warn,
            ..Log::default()
        },
        limits: Limits::default(),
        platform: None,
    };
    logs::start(&settings.log)?;
    app::run(settings, |settings| {
        let (listen, admin) = (settings.listen, settings.admin);
        std::thread::spawn(move || {
            if let Err(e) = show(listen, admin) {
                eprintln!("the demo failed: {e}");
            }
        });
    })
}

fn show(listen: std::net::SocketAddr, admin: std::net::SocketAddr) -> Result<()> {
    let base = format!("http://{listen}/v1");
    println!("a daemon with 4 runners and 16 workers listens on {listen}");
    let put = ureq::put(format!("{base}/config")).send(CONFIG);
    put.map_err(internal)?;
    let deadline = clock::now().after(STEP_TIMEOUT_MS);
    while ureq::get(format!("http://{admin}/readyz")).call().is_err() {
        pause(deadline)?;
    }
    println!("the configuration is in force");
    let mut answer = loop {
        let sent = ureq::post(format!("{base}/request/helmet"))
            .header("mg-caller", "foreman")
            .header("mg-labels", "tier=gate")
            .send("is helmet 4711 fit to wear?");
        match sent {
            Ok(answer) => break answer,
            Err(_) => pause(deadline)?,
        }
    };
    let text = answer.body_mut().read_to_string().map_err(internal)?;
    println!("a gate check was answered: {text}");
    let spec = JobSpec {
        workspace: "register".to_owned(),
        key: "sweep-1".to_owned(),
        labels: [("tier".to_owned(), "sweep".to_owned())].into(),
        shape: Shape {
            tasks: 2,
            accels: 8,
        },
        checkpoint: true,
        idempotent: true,
        run_ms: 500,
        deadline: UnixMs::MAX,
        body: "run_ms=500".to_owned(),
    };
    let mut answer = ureq::post(format!("{base}/jobs"))
        .send_json(&spec)
        .map_err(internal)?;
    let mut view: JobView = read(&mut answer)?;
    let mut shown = None;
    let deadline = clock::now().after(STEP_TIMEOUT_MS);
    while shown != Some(view.state) || !view.state.ended() {
        if shown != Some(view.state) {
            println!(
                "job {} is {}: {} {}",
                view.id,
                view.state,
                view.reason,
                view.vms.join(" ")
            );
            shown = Some(view.state);
        }
        pause(deadline)?;
        let mut answer = ureq::get(format!("{base}/jobs/{}", view.id))
            .call()
            .map_err(internal)?;
        view = read(&mut answer)?;
    }
    println!("it gave: {}", view.result);
    println!("try it: marigoldglade --daemon {listen} list (metrics on http://{admin}/metrics)");
    Ok(())
}

fn pause(deadline: UnixMs) -> Result<()> {
    if deadline.passed(clock::now()) {
        return Err(Error::new(
            Kind::Timeout,
            "a step of the demo took longer than its timeout",
        ));
    }
    std::thread::sleep(std::time::Duration::from_millis(20));
    Ok(())
}

fn internal(e: ureq::Error) -> Error {
    Error::new(Kind::Internal, e.to_string())
}

fn read<T: DeserializeOwned>(answer: &mut ureq::http::Response<ureq::Body>) -> Result<T> {
    answer.body_mut().read_json().map_err(internal)
}
