"""The whole cluster in one process: the real planes among model workers, disks, links, clocks and clients."""
