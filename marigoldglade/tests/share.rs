//! Callers' use across daemons.

use marigoldglade::share::{CallerKey, FULL_WEIGHT, Meter, SKETCH_CALLERS};
use marigoldglade::time::UnixMs;

fn key(name: &str) -> CallerKey {
    CallerKey::new("norden", name)
}

#[test]
fn a_caller_that_is_heavy_elsewhere_weighs_less_and_small_ones_keep_theirs() {
    let now = UnixMs(1_000);
    let (mut here, mut there) = (Meter::new(now), Meter::new(now));
    for i in 0..50 {
        let small = key(&format!("gate-{i}"));
        here.record_use(small, 20);
        there.record_use(small, 20);
    }
    here.record_use(key("sweep"), 1_000);
    there.record_use(key("sweep"), 3_000);
    here.receive(now, "entry-2", there.sketch());
    assert_eq!(here.weight(key("sweep")), 250);
    assert_eq!(here.weight(key("gate-7")), FULL_WEIGHT);
    here.tick(now.after(10_000));
    assert_eq!(here.weight(key("sweep")), FULL_WEIGHT);
}

#[test]
fn a_sketch_has_a_fixed_size_and_holds_the_heaviest() {
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
