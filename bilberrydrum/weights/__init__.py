"""Weight versions: publication, orders to engines and the roll-out."""
