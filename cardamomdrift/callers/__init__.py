"""The callers' side: sessions over the MySQL protocol."""
