//! Stand-ins and scenarios of the review's scripts: `standin SCENARIO FOLDER`, or `standin runner ...`.

mod http;
mod json;
mod proxy;
mod runner;
mod scenarios;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("runner") => runner::run(runner::Options::from_args(&args[1..])),
        Some(name) if args.len() == 2 => {
            let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
            world::limit_time();
            let (name, folder) = (name.to_owned(), args[1].clone());
            let result = std::panic::catch_unwind(move || scenarios::play(&name, &folder, trouble));
            std::process::exit(result.unwrap_or(2));
        }
        _ => std::process::exit(2),
    }
}
