"""Usage reports: how many requests upstreams began for each account per time window.

Gateways count requests (`meter`) and send their counts to the control leader with their
renewals (`model`). The leader collects the counts (`collector`), the control group
closes each window exactly once (`commands`), and the leader reports a window until the
receiver has confirmed it (`reporter`). Windows are those of the cluster's clock, the
median of the processes' clocks (`cluster_clock`).
"""
