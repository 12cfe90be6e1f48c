from bilberrydrum import runtime

runtime.prepare()
