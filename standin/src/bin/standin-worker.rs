//! Stand-in for a worker of 8 accelerators, as a program of its own.

fn main() -> std::io::Result<()> {
    standin::http::run(
        "standin-worker",
        "Stand-in for a worker of 8 accelerators",
        |addr, name| {
            standin::worker::start(
                addr,
                standin::worker::Worker::new(name, marigoldglade::api::WORKER_ACCELS),
            )
        },
    )
}
