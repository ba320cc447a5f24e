"""Development tasks that ``make`` starts: the demo and a local system."""
