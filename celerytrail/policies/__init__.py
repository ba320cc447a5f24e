"""Decision policies without input or output; clock and random generator are passed."""
