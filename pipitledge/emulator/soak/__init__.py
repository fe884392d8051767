"""Soak runs: the shipped programs as real processes on loopback, under planned work that comes in series and overlaps.

A run is drawn from its seed: machines, workers, clients, jobs, and the signals, restarts and changes of configuration.
What is checked is what clients saw on their connections, what workers ran, and how each process ended.
"""
