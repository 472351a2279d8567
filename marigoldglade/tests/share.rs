//! Tests of the weights of callers that use several daemons.

use marigoldglade::share::{CallerKey, FULL_WEIGHT, Meter, SKETCH_CALLERS};
use marigoldglade::time::UnixMs;

fn key(name: &str) -> CallerKey {
    CallerKey::new("norden", name)
}

#[test]
fn reduces_the_weight_of_a_caller_that_is_heavy_elsewhere() {
    let now = UnixMs(1_000);
    let (mut local, mut remote) = (Meter::new(now), Meter::new(now));
    for i in 0..50 {
        let small = key(&format!("gate-{i}"));
        local.record_use(small, 20);
        remote.record_use(small, 20);
    }
    local.record_use(key("sweep"), 1_000);
    remote.record_use(key("sweep"), 3_000);
    local.receive(now, "entry-2", remote.sketch());
    assert_eq!(local.weight(key("sweep")), 250);
    assert_eq!(local.weight(key("gate-7")), FULL_WEIGHT);
    local.tick(now.after(10_000));
    assert_eq!(local.weight(key("sweep")), FULL_WEIGHT);
}

#[test]
fn limits_a_sketch_to_the_heaviest_callers() {
    let mut meter = Meter::new(UnixMs(1_000));
    for i in 0..5_000 {
        let ms = if i % 50 == 0 { 1_000 } else { 1 };
        meter.record_use(key(&format!("caller-{i}")), ms);
    }
    meter.record_use(key("sweep"), 100_000);
    let sketch = meter.sketch();
    assert_eq!(sketch.callers.len(), SKETCH_CALLERS);
    assert_eq!(sketch.callers[0].0, key("sweep"));
}
