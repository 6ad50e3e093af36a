"""What operators do with a fleet, as functions on the operators' port."""
