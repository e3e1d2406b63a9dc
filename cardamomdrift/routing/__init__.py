"""Read floors, choice of instances, and execution of reads, writes and transactions."""
