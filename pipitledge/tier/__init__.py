"""What the nodes of a tier say to each other: who serves, and which policy is in force on all of them."""
