"""What the control group decides for all gateways: policy, upstreams, versions."""
