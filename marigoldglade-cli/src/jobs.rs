//! Commands on jobs and requests: submit, cancel, status, list, explain and request.

use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use marigoldglade::api::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, JobSpec, JobView, KEY_HEADER, LABELS_HEADER,
    WORKSPACE_HEADER,
};
use marigoldglade::prelude::*;
use serde_json::Value;

use crate::call::Client;
use crate::show::{self, Output};

/// The columns of a job.
const COLUMNS: [&str; 6] = ["id", "state", "attempt", "vms", "reason", "result"];
/// The deadline of each call that waits for a job's end, in milliseconds from the call.
const WAIT_MS: u64 = 20_000;

/// Reads the file argument, or standard input for `-`; returns its name and text.
pub(crate) fn read_file(matches: &ArgMatches) -> Result<(String, String)> {
    let path = matches
        .get_one::<PathBuf>("file")
        .ok_or_else(|| Error::new(Kind::BadInput, "the file argument is missing"))?;
    let name = path.display().to_string();
    let text = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    text.map(|text| (name.clone(), text))
        .map_err(|e| Error::new(Kind::BadInput, format!("{name}: {e}")))
}

fn now() -> UnixMs {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMs(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Submits a job. The job's key makes it safe to submit it again.
pub(crate) fn submit(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    let (file, text) = read_file(matches)?;
    let spec = JobSpec::parse(&file, &text)?;
    spec.check(now())?;
    let body = serde_json::to_vec(&spec).map_err(|e| Error::new(Kind::Internal, e.to_string()))?;
    let value = client.json("POST", "jobs", &[], &body)?;
    if matches.get_flag("wait") {
        let id = value["id"].as_str().unwrap_or_default();
        return wait(client, output, id);
    }
    show::print(output, &value, &COLUMNS);
    Ok(())
}

/// Cancels a job.
pub(crate) fn cancel(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    let value = client.json("DELETE", &format!("jobs/{}", job_id(matches)), &[], &[])?;
    show::print(output, &value, &COLUMNS);
    Ok(())
}

/// Shows a job; with `--wait`, once it has ended.
pub(crate) fn status(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    if matches.get_flag("wait") {
        return wait(client, output, job_id(matches));
    }
    let value = client.json("GET", &format!("jobs/{}", job_id(matches)), &[], &[])?;
    show::print(output, &value, &COLUMNS);
    Ok(())
}

/// Waits until a job has ended, then shows it.
fn wait(client: &Client, output: Output, id: &str) -> Result<()> {
    loop {
        let deadline = now().after(WAIT_MS);
        let headers = [(DEADLINE_HEADER, deadline.0.to_string())];
        let value = client.json("GET", &format!("jobs/{id}?wait=true"), &headers, &[])?;
        let view: JobView = serde_json::from_value(value.clone())
            .map_err(|e| Error::new(Kind::BadAnswer, e.to_string()))?;
        if view.state.ended() {
            show::print(output, &value, &COLUMNS);
            return Ok(());
        }
        // Avoids a busy loop if the daemon answers before the job has ended.
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
}

/// Lists jobs.
pub(crate) fn list(client: &Client, output: Output) -> Result<()> {
    let value = client.json("GET", "jobs", &[], &[])?;
    show::print(output, &value, &COLUMNS);
    Ok(())
}

/// Explains the state of a job.
pub(crate) fn explain(client: &Client, output: Output, matches: &ArgMatches) -> Result<()> {
    let value = client.json("GET", &format!("explain/{}", job_id(matches)), &[], &[])?;
    let Value::Array(_) = &value["reasons"] else {
        show::print(output, &value, &[]);
        return Ok(());
    };
    if output == Output::Json {
        show::print(output, &value, &[]);
    } else {
        show::print(output, &value, &COLUMNS[..4]);
        println!();
        show::print(output, &value["reasons"], &[]);
    }
    Ok(())
}

/// Sends one request and prints the answer's body.
pub(crate) fn request(client: &Client, matches: &ArgMatches) -> Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let mut headers = Vec::new();
    let options = [
        ("caller", CALLER_HEADER),
        ("workspace", WORKSPACE_HEADER),
        ("labels", LABELS_HEADER),
        ("key", KEY_HEADER),
    ];
    for (option, header) in options {
        headers.extend(text(option).map(|value| (header, value)));
    }
    if let Some(ms) = matches.get_one::<u64>("deadline-ms") {
        headers.push((DEADLINE_HEADER, now().after(*ms).0.to_string()));
    }
    let idempotent = !matches.get_flag("non-idempotent");
    headers.push((IDEMPOTENT_HEADER, idempotent.to_string()));
    let route = format!("request/{}", text("service").unwrap_or_default());
    let body = text("body").unwrap_or_default();
    let answer = client.text("POST", &route, &headers, body.as_bytes())?;
    println!("{answer}");
    Ok(())
}

fn job_id(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("job").map_or("", String::as_str)
}
