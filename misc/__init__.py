"""Scripts for developers: demo, measurements, soak and test runner."""
