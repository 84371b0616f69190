"""What the cases of the review add to the project's emulator."""
