//! Logging: the settings flow in, a `log` sink by `fern` is set for the process.

use marigoldglade::prelude::*;
use marigoldglade::settings::{Log, LogFormat};

/// Sets the process's log sink: standard error, one event a line.
///
/// # Errors
///
/// [`Kind::Internal`] when a sink is set already.
pub(crate) fn start(log: &Log) -> Result<()> {
    let format = log.format;
    let mut sink = fern::Dispatch::new()
        .level(log.level)
        .format(move |out, message, record| {
            let at = crate::clock::now().0;
            let (level, module) = (record.level(), record.target());
            match format {
                LogFormat::Text => out.finish(format_args!("{at} {level} {module}: {message}")),
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "at_ms": at,
                        "level": level.as_str(),
                        "module": module,
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr());
    for (module, level) in &log.modules {
        sink = sink.level_for(module.clone(), *level);
    }
    sink.apply()
        .map_err(|e| Error::new(Kind::Internal, e.to_string()))
}
