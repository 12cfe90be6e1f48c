"""Reports of use: what upstreams began for each client account, by windows of time.

Gateways count (`meter`) and tell the control leader with their renewals (`model`). The
leader gathers (`gathering`), the control group closes each window once and for all
(`commands`), and the leader reports it until it is confirmed (`reporter`). Windows are
those of a clock on which most processes agree (`agreed_time`).
"""
