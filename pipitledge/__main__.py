"""Start one real node from the configuration that BALANCER_CONFIG names."""

from __future__ import annotations

import sys


def main() -> int:
    """Say plainly that there is nothing to serve with yet."""
    print("pipitledge: the decision module is here, the node that serves it is not built yet", flush=True)
    return 1


if __name__ == "__main__":
    sys.exit(main())
