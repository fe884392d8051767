"""Paths of the HTTP interfaces that the platform calls."""

CONFIGURATION_PATH = "/pipitledge/config"
INSTANCES_PREFIX = "/pipitledge/instances/"
READY_PATH = "/pipitledge/ready"
