"""Decision logic of mangowell configuration distribution, without I/O."""
