"""Cases of an independent review: each shows a rule that the system breaks."""
