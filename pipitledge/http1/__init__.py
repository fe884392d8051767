"""HTTP/1.1 as state machines that are fed bytes and know no socket."""
