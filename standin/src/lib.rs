//! Small stand-ins for the platform, runners and workers.
