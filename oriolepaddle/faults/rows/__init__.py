"""The rows of the fault matrix, a file for each group."""
