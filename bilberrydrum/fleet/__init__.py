"""The control group: traffic policy, upstream registry and announced versions."""
