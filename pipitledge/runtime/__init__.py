"""Services shared by all programs of the system: settings, logs, timers, HTTP, datagrams and disk storage."""
