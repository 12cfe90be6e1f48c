"""The demo: a complete deployment on one machine, its checks and its figures."""
