"""Sockets without HTTP: the greenlet scheduler, its timers, buffers and gathered writes."""
