"""Decisions: pure, without input or output; a clock and chance are handed in."""
