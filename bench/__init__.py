"""Measure the quality of scheduling decisions and their cost."""
