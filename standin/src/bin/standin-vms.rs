//! Stand-in for the platform's VM list, which `PUT /v1/vms` replaces, as a program of its own.

fn main() -> std::io::Result<()> {
    standin::http::run(
        "standin-vms",
        "Stand-in for the platform's VM list; PUT /v1/vms fills it",
        |addr, _| standin::vms::start(addr, Default::default()),
    )
}
