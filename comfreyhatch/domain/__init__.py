"""Plain data of the domain: contracts, versions, changes, requests."""
