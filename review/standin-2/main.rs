//! Plays one case: the stand-ins run in this process, the daemons as processes of their own.
//!
//! `review-2 CASE FOLDER DAEMON`, with `TROUBLE=0` in the environment for the same without the disruption.

mod daemon;
mod http;
mod json;
mod large_job;
mod lost_answer;
mod proxy;
mod replaced_owner;
mod restart;
mod runner;
mod store;

use std::process::exit;

/// How a case ends.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = &args[..] else {
        eprintln!("usage: review-2 CASE FOLDER DAEMON");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let mut record = daemon::Record::new(folder, trouble);
    let verdict = match case.as_str() {
        "large-job" => large_job::play(&mut record, program, trouble),
        "replaced-owner" => replaced_owner::play(&mut record, program, trouble),
        "restart" => restart::play(&mut record, program, trouble),
        "lost-answer" => lost_answer::play(&mut record, program, trouble),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let code = match verdict {
        Verdict::Held => {
            record.line("the rule held");
            0
        }
        Verdict::Broken => {
            record.line("the rule was broken");
            1
        }
        Verdict::NotRun(why) => {
            record.line(&format!("the case couldn't run: {why}"));
            2
        }
    };
    exit(code);
}
