"""Admission queue, concurrency limits, retry budgets and connection shares."""
