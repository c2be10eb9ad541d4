"""Contract tests of the etcd adapter against the store stand-in."""
