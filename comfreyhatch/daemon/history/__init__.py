"""Request history: records, the journal and its copies, and counts for burn reports."""
