//! Small stand-ins for engines and plain services, for tests and the demo.
