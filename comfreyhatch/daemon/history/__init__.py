"""What is kept of requests: records, journals and their copies, reports."""
