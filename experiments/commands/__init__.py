"""How engines of a data centre come to their placements side by side."""
