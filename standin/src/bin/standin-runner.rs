//! Stand-in for a runner, as a program of its own.

fn main() -> std::io::Result<()> {
    standin::http::run("standin-runner", "Stand-in for a runner", |addr, _| {
        standin::runner::start(addr, Default::default())
    })
}
