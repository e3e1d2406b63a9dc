"""Table service and object store by their published cloud protocols."""
