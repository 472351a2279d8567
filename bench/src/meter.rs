//! Processor time and memory of this process, and linear fits of measurements.

use std::fs;
use std::hint::black_box;

/// The bytes of a page, the unit in which `/proc` counts memory.
const PAGE_BYTES: f64 = 4_096.0;
/// The shortest total processor time from which a mean is computed, in nanoseconds.
const MIN_CPU_NS: u64 = 100_000_000;

/// Returns the processor time of this thread, in nanoseconds.
pub(crate) fn cpu_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().unwrap_or_default()
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).unwrap_or_default();
    pages.parse::<f64>().unwrap_or_default() * PAGE_BYTES
}

/// Returns the mean processor time of a call in microseconds. The call is repeated until all calls
/// together take [`MIN_CPU_NS`], because the kernel's counter is coarse.
pub(crate) fn cost_us<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut count = 1_u32;
    loop {
        let start = cpu_ns();
        for _ in 0..count {
            black_box(work());
        }
        let spent = cpu_ns() - start;
        if spent >= MIN_CPU_NS {
            return spent as f64 / f64::from(count) / 1_000.0;
        }
        count *= 2;
    }
}

/// Returns the mean memory of a value in bytes, over `count` copies. The copies are never freed, so
/// that later measurements can't reuse their memory.
pub(crate) fn state_bytes<T>(count: usize, mut make: impl FnMut() -> T) -> f64 {
    let mut copies = Vec::with_capacity(count);
    std::mem::forget(make());
    let start = resident_bytes();
    copies.extend((0..count).map(|_| make()));
    let bytes = (resident_bytes() - start) / count as f64;
    std::mem::forget(black_box(copies));
    bytes
}

/// A linear fit of measured points by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) base: f64,
    pub(crate) slope: f64,
}

impl Line {
    /// Fits a line to the points.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let sum_xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let sum_xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Self {
            base: y - slope * x,
            slope,
        }
    }

    /// Returns the line's value at `x`.
    pub(crate) fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Prints a quantity: its measured points, the fitted line, and the line's value at the planned
/// size `plan`.
pub(crate) fn print_line(what: &str, unit: &str, points: &[(f64, f64)], plan: f64) {
    let line = Line::fit(points);
    let shown: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.1}")).collect();
    println!(
        "{what:<34} {unit:<8} {:<44} {:>10.2} + {:>9.3} x   at {plan}: {:.1}",
        shown.join("  "),
        line.base,
        line.slope,
        line.at(plan)
    );
}
