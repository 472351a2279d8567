//! Stand-in for the platform's key-value service, as a program of its own.

fn main() -> std::io::Result<()> {
    standin::http::run(
        "standin-kv",
        "Stand-in for the platform's key-value service",
        |addr, _| standin::kv::start(addr),
    )
}
