"""The load of endpoints as this daemon sees it: probes of their health paths, and estimates."""
