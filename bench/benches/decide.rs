//! Criterion benchmarks of the planner's decisions, with 50 to 1,100 workers.

#[path = "../src/full.rs"]
mod full;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use full::FullPlanner;

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide");
    for workers in [50, 200, 550, 1_100] {
        let mut full = FullPlanner::new(workers);
        group.bench_function(BenchmarkId::new("turn", workers), |b| {
            b.iter(|| full.turn());
        });
        group.bench_function(BenchmarkId::new("tick", workers), |b| {
            b.iter(|| full.tick());
        });
        group.bench_function(BenchmarkId::new("flap", workers), |b| {
            b.iter(|| full.flap());
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
