"""Ledger of idempotency keys at the egress, and the owner of a key."""
