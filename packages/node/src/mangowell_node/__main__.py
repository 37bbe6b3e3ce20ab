"""Runs the node with ``python -m mangowell_node``."""

from mangowell_node.app import main

if __name__ == "__main__":
    main()
