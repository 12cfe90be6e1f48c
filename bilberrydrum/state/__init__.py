"""The replicated state: log, election, membership and the state machine."""
