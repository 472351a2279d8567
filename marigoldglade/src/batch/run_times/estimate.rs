//! Robust estimates from few values of different precision. All values are natural logarithms of times, so
//! that "twice as long" and "half as long" are equally far from "as long".

/// How far a value may be from the middle of the others before its pull is limited: beyond a factor of two it
/// is rather an outlier than noise.
const PULL_LIMIT: f64 = 0.7;

/// A value and its precision, the inverse of its variance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Value {
    pub ln: f64,
    pub precision: f64,
}

impl Value {
    pub fn new(ln: f64, variance: f64) -> Self {
        Self {
            ln,
            precision: 1.0 / variance,
        }
    }

    pub fn variance(self) -> f64 {
        1.0 / self.precision
    }

    /// Returns the value with its distance from `middle` limited.
    pub fn pulled(self, middle: f64) -> f64 {
        self.ln.clamp(middle - PULL_LIMIT, middle + PULL_LIMIT)
    }
}

/// Returns the median of values weighted by their precision: the lower one of two in the middle, because
/// outliers are long rather than short. `None` if there are none. Sorts the values.
pub(super) fn weighted_median(values: &mut [Value]) -> Option<f64> {
    values.sort_by(|a, b| a.ln.total_cmp(&b.ln));
    let total: f64 = values.iter().map(|v| v.precision).sum();
    let mut sum = 0.0;
    for value in values.iter() {
        sum += value.precision;
        if sum * 2.0 >= total {
            return Some(value.ln);
        }
    }
    None
}

/// Returns the mean of values weighted by their precision, with the pull of outliers limited. `None` if there
/// are none. Sorts the values.
pub(super) fn robust_mean(values: &mut [Value]) -> Option<Value> {
    let middle = weighted_median(values)?;
    let precision: f64 = values.iter().map(|v| v.precision).sum();
    let sum: f64 = values.iter().map(|v| v.pulled(middle) * v.precision).sum();
    Some(Value {
        ln: sum / precision,
        precision,
    })
}
